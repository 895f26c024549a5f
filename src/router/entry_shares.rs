use std::net::SocketAddr;

use super::shared_endpoint::{Holder, SharedEndpoint};
use crate::control::{EndpointCapacity, EndpointShare, EndpointUsage};
use crate::fleet::EndpointAnnouncement;
use crate::units::{Incarnation, Sequence, Slots};

/// One incarnation of an entry's process, as known to the leader.
#[derive(Clone, Debug)]
pub(super) struct EntryRecord {
    pub(super) sequence: Sequence,
    /// The version of the shares that the leader assigns to it.
    pub(super) version: u64,
    pub(super) leaving: bool,
    pub(super) usage: Vec<EndpointUsage>,
    /// Whether it keeps the shares assigned by an earlier leader. It does until their endpoints
    /// have announced themselves to this leader or all grants of earlier leaders have expired.
    pub(super) frozen: bool,
}

/// The data of an endpoint that is sent to entries with their shares.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ListedEndpoint {
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
}

impl ListedEndpoint {
    pub(super) fn of(endpoint: &SharedEndpoint) -> Self {
        Self {
            incarnation: endpoint.announcement.incarnation,
            address: endpoint.announcement.address,
        }
    }
}

pub(super) fn is_newer(announcement: &EndpointAnnouncement, known: &EndpointAnnouncement) -> bool {
    (announcement.incarnation, announcement.sequence) > (known.incarnation, known.sequence)
}

pub(super) fn share_of(endpoint: &SharedEndpoint, holder: &Holder) -> EndpointShare {
    let announced = &endpoint.announcement;
    let holding = endpoint.holdings.get(holder);
    let slots = holding.map_or(0, |holding| holding.assigned);
    let connections = slots.saturating_mul(endpoint.connections_per_slot());
    EndpointShare {
        endpoint: announced.endpoint.clone(),
        incarnation: announced.incarnation,
        address: announced.address,
        service: announced.service.clone(),
        zone: announced.zone.clone(),
        slots: Slots(slots),
        connections: Slots(connections),
        leaving: announced.leaving,
        abandoned_acked: holding.map_or_else(EndpointCapacity::default, |h| h.abandoned_acked),
    }
}
