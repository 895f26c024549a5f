use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::fleet::{AnnouncementResponse, EndpointAnnouncement, WorkerOrders, WorkerPoll};
use crate::release_note::{ClusterConfig, ReleaseNote};
use crate::units::{
    EndpointId, EntryId, Incarnation, Millis, Revision, Sequence, ServiceName, Slots, Term,
    WorkerId, ZoneId,
};

/// An entry's periodic request for updates, with what it has applied and what it uses.
///
/// An entry has at most one exchange outstanding.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExchangeRequest {
    /// The entry.
    pub entry: EntryId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Increases with each exchange of an incarnation.
    pub sequence: Sequence,
    /// The revision that the entry has applied.
    pub revision: Revision,
    /// What the entry uses of its shares.
    pub usage: Vec<EndpointUsage>,
    /// The version of the shares that the entry applies. The leader counts capacity of a reduced
    /// share as free only once the entry reports the version that reduces it.
    pub shares_version: u64,
    /// Whether the entry is shutting down; its shares go to other entries as they fall free.
    pub leaving: bool,
}

/// A number of slots and connections: an endpoint's capacity or part of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointCapacity {
    /// Request slots.
    pub slots: Slots,
    /// Open connections.
    pub connections: Slots,
}

/// What an entry uses of one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointUsage {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint's process.
    pub incarnation: Incarnation,
    /// Slots in use.
    pub slots: Slots,
    /// Connections open.
    pub connections: Slots,
    /// Requests for this endpoint's service that are queued at the entry.
    pub waiting: u32,
    /// The share that the entry applies; a new leader adopts it.
    pub share: EndpointCapacity,
    /// The cumulative number of requests and connections of this incarnation that the entry
    /// abandoned and the endpoint may still process. They count as used until a share includes them
    /// in its `abandoned_acked`.
    pub abandoned: EndpointCapacity,
    /// The `abandoned_acked` of the share that the entry applies.
    pub abandoned_acked: EndpointCapacity,
}

/// A time-limited permission of the leader to start new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The term of the leader that issued the grant.
    pub term: Term,
    /// How long the grant lasts, counted from when the entry *sent* the exchange that it answers.
    pub length_ms: Millis,
}

/// The leader's answer to an exchange.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExchangeAnswer {
    /// The sequence of the exchange that this answers.
    pub sequence: Sequence,
    /// The grant; none if the entry is leaving or reports a revision that the leader does not have.
    pub grant: Option<Grant>,
    /// The changes since the revision that the entry reported.
    pub update: StateUpdate,
    /// Orders for workers whose polls this entry holds.
    pub orders: Vec<WorkerOrders>,
    /// The current version of the entry's shares.
    pub shares_version: u64,
    /// All shares of the entry; none if it already applies the current version.
    pub shares: Option<Vec<EndpointShare>>,
}

/// How an entry updates its state to the revision in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StateUpdate {
    /// The entry's state is up to date.
    Current,
    /// Notes to apply in order.
    Delta {
        /// Each note with the revision that it leads to.
        notes: Vec<(Revision, Arc<ReleaseNote>)>,
    },
    /// The complete state.
    Full(Arc<ClusterConfig>),
}

/// One entry's share of one endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointShare {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint's process.
    pub incarnation: Incarnation,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The maximum number of slots that the entry may use at once.
    pub slots: Slots,
    /// The maximum number of connections that the entry may have open at once.
    pub connections: Slots,
    /// Whether the endpoint is leaving and takes no new work.
    pub leaving: bool,
    /// How much of the entry's abandoned work the leader has already deducted from this share.
    pub abandoned_acked: EndpointCapacity,
}

/// Reports of workers and endpoints that an entry forwards together, collected over some
/// milliseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportBatch {
    /// The entry.
    pub entry: EntryId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Worker polls, which this entry holds open from now on.
    pub workers: Vec<WorkerPoll>,
    /// Workers whose polls this entry no longer holds.
    pub released: Vec<WorkerId>,
    /// Announcements of endpoints.
    pub endpoints: Vec<EndpointAnnouncement>,
}

/// The leader's immediate answer to a batch of reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportAnswer {
    /// Orders for workers of the batch that have an older version of their orders.
    pub orders: Vec<WorkerOrders>,
    /// Unchanged orders, which only renew the worker's lease. The entry holds the poll and answers
    /// with these when the hold ends.
    pub unchanged: Vec<WorkerOrders>,
    /// Answers to the announcements, in the order of the batch.
    pub endpoints: Vec<(EndpointId, AnnouncementResponse)>,
}

/// The leader's view of an entry, for operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The revision that the entry has applied.
    pub revision: Revision,
    /// The remaining time of its grant; none if the grant has expired.
    pub grant_ms: Option<Millis>,
}
