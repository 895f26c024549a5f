use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::fleet::{AnnouncementResponse, EndpointAnnouncement, WorkerOrders, WorkerPoll};
use crate::release_note::{InForce, ReleaseNote};
use crate::units::{
    EndpointId, EntryId, Incarnation, Millis, Revision, Sequence, ServiceName, Slots, Term,
    WorkerId, ZoneId,
};

/// An entry's pull: what it knows and uses. One is outstanding at a time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExchangeRequest {
    /// The entry.
    pub entry: EntryId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Larger in each exchange of one incarnation.
    pub sequence: Sequence,
    /// The revision that it has applied.
    pub revision: Revision,
    /// What it uses of its shares.
    pub usage: Vec<EndpointUsage>,
    /// The version of the shares that it obeys; a smaller share counts only from then on.
    pub shares_version: u64,
    /// Whether it is leaving: its shares go to others as they fall free.
    pub leaving: bool,
}

/// Slots and connections of an endpoint, or a part of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointCapacity {
    /// Request slots.
    pub slots: Slots,
    /// Connections.
    pub connections: Slots,
}

/// What an entry uses of one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointUsage {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Slots in use.
    pub slots: Slots,
    /// Connections open.
    pub connections: Slots,
    /// Requests that wait for this endpoint's service at this entry.
    pub waiting: u32,
    /// The share that the entry obeys, which a new leader adopts.
    pub share: EndpointCapacity,
    /// Requests and connections given up in this incarnation that the endpoint may still hold; they
    /// count as used until a share takes them over in its `abandoned_acked`.
    pub abandoned: EndpointCapacity,
    /// The `abandoned_acked` of the share that the entry obeys.
    pub abandoned_acked: EndpointCapacity,
}

/// The leader's leave to start new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The term of the leader that gave it.
    pub term: Term,
    /// How long it lasts from when the entry *sent* the exchange that it answers.
    pub length_ms: Millis,
}

/// The leader's answer to an exchange.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExchangeAnswer {
    /// The exchange that this answers.
    pub sequence: Sequence,
    /// The grant; none while the leader lacks a quorum or the entry's state is too old.
    pub grant: Option<Grant>,
    /// What changed since the revision that the entry named.
    pub update: StateUpdate,
    /// Orders for workers whose polls this entry holds.
    pub orders: Vec<WorkerOrders>,
    /// The version of the shares.
    pub shares_version: u64,
    /// All shares, where they differ from the version that the entry named.
    pub shares: Option<Vec<EndpointShare>>,
}

/// How an entry's state moves forward.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StateUpdate {
    /// The entry's revision is in force.
    Current,
    /// Notes to apply in order.
    Delta {
        /// Each note with the revision that it makes.
        notes: Vec<(Revision, Arc<ReleaseNote>)>,
    },
    /// The whole state.
    Full(Arc<InForce>),
}

/// One entry's share of one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointShare {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Slots that this entry may use at once.
    pub slots: Slots,
    /// Connections that this entry may have open at once.
    pub connections: Slots,
    /// Whether the endpoint takes no new work.
    pub leaving: bool,
    /// How much of what this entry has abandoned the leader has taken off this share.
    pub abandoned_acked: EndpointCapacity,
}

/// Reports that an entry passes on at once, gathered for some milliseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportBatch {
    /// The entry.
    pub entry: EntryId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Polls of workers, which this entry holds open from now on.
    pub workers: Vec<WorkerPoll>,
    /// Polls that this entry no longer holds.
    pub released: Vec<WorkerId>,
    /// Announcements of endpoints.
    pub endpoints: Vec<EndpointAnnouncement>,
}

/// What the leader answers at once to a batch of reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportAnswer {
    /// Orders for workers of the batch whose orders differ from the version they hold.
    pub orders: Vec<WorkerOrders>,
    /// Orders that renew a lease without a change; an entry gives them when it stops holding the poll.
    pub unchanged: Vec<WorkerOrders>,
    /// Answers to the announcements, in the order of the batch.
    pub endpoints: Vec<(EndpointId, AnnouncementResponse)>,
}

/// What the leader knows of an entry, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The revision that it has applied.
    pub revision: Revision,
    /// How long its grant still lasts; none when it ended.
    pub grant_ms: Option<Millis>,
}
