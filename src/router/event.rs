use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use smol_str::SmolStr;

use crate::control::{EndpointShare, EndpointUsage};
use crate::release_note::ClusterConfig;
use crate::units::{EndpointId, Incarnation, Millis, ServiceName, TeamId};

/// Identifies a request within one router.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies a connection to an endpoint within one router.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// One incarnation of an endpoint's process.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointInstance {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// The state and shares that an entry has received from the leader.
#[derive(Clone, Debug, Default)]
pub struct RouterView {
    /// The state in force.
    pub in_force: Arc<ClusterConfig>,
    /// The entry's shares of endpoints, one per endpoint.
    pub shares: Arc<Vec<EndpointShare>>,
    /// The version of these shares.
    pub shares_version: u64,
    /// When the grant to start new work expires, on the entry's clock.
    pub granted_until_ms: Millis,
}

/// An entry's usage of its shares, as reported to the leader.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageReport {
    /// The version of the shares in effect when usage was counted; 0 after they were given up.
    pub shares_version: u64,
    /// The usage of each endpoint.
    pub endpoints: Vec<EndpointUsage>,
}

/// What the router needs to know of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// The caller's team.
    pub team: TeamId,
    /// The requested service.
    pub service: ServiceName,
    /// Whether the request may be retried after an attempt that may have run.
    pub idempotent: bool,
    /// When the caller must have an answer, on the entry's clock.
    pub deadline_ms: Millis,
}

/// An input to the router.
#[derive(Clone, Debug)]
pub enum RouterEvent {
    /// The state, shares or grant received from the leader changed.
    ViewChanged(RouterView),
    /// A request was received completely.
    Arrived {
        /// The request's ticket, larger than all earlier ones.
        ticket: Ticket,
        /// The request.
        request: QueuedRequest,
    },
    /// A request whose attempt was released must be sent again, no earlier than `not_before_ms`.
    RetryScheduled {
        /// Its ticket.
        ticket: Ticket,
        /// When the next attempt may start, on the entry's clock.
        not_before_ms: Millis,
    },
    /// The request has been answered or its caller has left. An attempt in progress still ends with
    /// [`RouterEvent::AttemptEnded`].
    Cancelled {
        /// Its ticket.
        ticket: Ticket,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        ticket: Ticket,
        /// The endpoint instance that it was assigned to.
        instance: EndpointInstance,
        /// The connection that it used.
        connection: ConnectionId,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// An idle connection failed or was closed by the endpoint.
    ConnectionClosed {
        /// Its endpoint.
        instance: EndpointInstance,
        /// The connection.
        connection: ConnectionId,
    },
    /// Time has passed; deadlines and connection ages are checked.
    Tick,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The complete response was received.
    Completed {
        /// Whether the connection can take another request.
        reusable: bool,
    },
    /// The connection could not be established; no byte was sent.
    ConnectFailed,
    /// No byte was sent, for example because the connection had been closed.
    NotSent,
    /// The endpoint responded that it did not run the request.
    Busy {
        /// Whether the connection can take another request.
        reusable: bool,
    },
    /// Nothing was sent, and the router must not requeue the request by itself: the request has
    /// been answered, or [`RouterEvent::RetryScheduled`] follows.
    Released {
        /// Whether the connection can take another request.
        reusable: bool,
    },
    /// This entry stopped waiting because the caller left or the deadline passed; the work may
    /// still be running.
    Abandoned,
    /// The connection failed or the response cannot be delivered; the work may have run.
    Failed,
    /// The response did not arrive in time; the work may still be running.
    TimedOut,
}

/// An action that the router requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouterAction {
    /// Send the request to this endpoint and report how the attempt ended.
    Send(SendOrder),
    /// Refuse the request; no further attempt is made.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        refusal: RouterRefusal,
    },
    /// Close an idle connection.
    Close {
        /// Its endpoint.
        instance: EndpointInstance,
        /// The connection.
        connection: ConnectionId,
    },
}

/// An instruction to make one attempt at a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendOrder {
    /// The request.
    pub ticket: Ticket,
    /// The endpoint.
    pub instance: EndpointInstance,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The connection to use.
    pub connection: ConnectionId,
    /// Whether the connection must be opened first.
    pub new_connection: bool,
    /// How long to wait for the response head.
    pub response_timeout_ms: Millis,
}

/// The refusal of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterRefusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Whether an attempt of this request may have run.
    pub may_have_run: bool,
    /// How long the caller should wait before it sends the request again.
    pub retry_after_ms: Millis,
}

/// The reason of a refusal; its text is sent to the caller.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RefusalKind {
    /// The service does not exist in the state in force.
    #[display("service {_0} does not exist")]
    NoSuchService(ServiceName),
    /// The team does not exist in the state in force.
    #[display("team {_0} does not exist")]
    NoSuchTeam(TeamId),
    /// The team's queue or the entry's request table is full.
    #[display("the team has as many requests waiting as it may have")]
    QueueFull,
    /// The estimated latency exceeds the time to the deadline, less a margin.
    #[display("the requests that wait would take longer than the deadline allows")]
    WouldBeLate,
    /// The deadline passed, or can no longer be met; the text adds what the request waited for.
    #[display("the deadline passed before an endpoint was free{_0}")]
    DeadlinePassed(SmolStr),
    /// An attempt failed that may have run, and the request is not retried.
    #[display("the endpoint gave no whole answer")]
    AttemptFailed,
}
