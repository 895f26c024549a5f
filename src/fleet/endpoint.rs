use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::units::{EndpointId, Incarnation, Millis, Sequence, ServiceName, Slots, ZoneId};

/// The periodic announcement by which an endpoint registers itself and reports its load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointAnnouncement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that it provides.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The address that it listens on for requests.
    pub address: SocketAddr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Increases with each announcement of one incarnation.
    pub sequence: Sequence,
    /// Maximum number of concurrent requests.
    pub slots: Slots,
    /// Maximum number of open connections.
    pub connections: Slots,
    /// Slots in use when the announcement was sent.
    #[serde(default)]
    pub slots_used: Slots,
    /// Connections open when the announcement was sent.
    #[serde(default)]
    pub connections_used: Slots,
    /// Whether it is shutting down and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// The response to an announcement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnouncementResponse {
    /// The endpoint is registered; it must announce itself again to remain so.
    Accepted {
        /// Time until the next announcement is due.
        renew_ms: Millis,
    },
    /// The endpoint is not registered and gets no work.
    Refused {
        /// The reason, for example that no endpoint rule accepts it.
        reason: SmolStr,
    },
}
