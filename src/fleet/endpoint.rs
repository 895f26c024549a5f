use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{EndpointId, Incarnation, Millis, Sequence, ServiceName, Slots, ZoneId};

/// What an endpoint says of itself, again and again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointAnnouncement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens for requests.
    pub address: SocketAddr,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Larger in each announcement of one incarnation.
    pub sequence: Sequence,
    /// Requests it runs at once.
    pub slots: Slots,
    /// Connections it accepts.
    pub connections: Slots,
    /// Slots in use when it sent this.
    #[serde(default)]
    pub slots_used: Slots,
    /// Connections open when it sent this.
    #[serde(default)]
    pub connections_used: Slots,
    /// Whether it is leaving and wants no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// The answer to an announcement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnouncementResponse {
    /// The endpoint counts until it must have announced itself again.
    Accepted {
        /// When to announce again.
        renew_ms: Millis,
    },
    /// The endpoint gets no work.
    Refused {
        /// Why, for example that no rule accepts it.
        reason: SmolStr,
    },
}
