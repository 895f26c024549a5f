use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;
use smol_str::SmolStr;

use crate::control::{EndpointShare, EndpointUsage};
use crate::release_note::InForce;
use crate::units::{EndpointId, Incarnation, Millis, ServiceName, TeamId};

/// A request inside one router.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A connection to an endpoint inside one router.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// One run of an endpoint's process.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EndpointInstance {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// What an entry knows from the leader.
#[derive(Clone, Debug, Default)]
pub struct RouterView {
    /// The state in force.
    pub in_force: Arc<InForce>,
    /// The entry's shares of endpoints.
    pub shares: Arc<Vec<EndpointShare>>,
    /// The version of the shares.
    pub shares_version: u64,
    /// Until when new work may start, on the entry's clock.
    pub granted_until_ms: Millis,
}

/// What an entry tells the leader of its shares.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UsageReport {
    /// The version of the shares that the router obeyed when it counted; 0 once it dropped them.
    pub shares_version: u64,
    /// What it uses of each endpoint.
    pub uses: Vec<EndpointUsage>,
}

/// A request that wants an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// The caller's team.
    pub team: TeamId,
    /// The service asked.
    pub service: ServiceName,
    /// Whether an attempt that may have run may be followed by another.
    pub idempotent: bool,
    /// When its caller wants to be told, on the entry's clock.
    pub deadline_ms: Millis,
}

/// What the router is told.
#[derive(Clone, Debug)]
pub enum RouterEvent {
    /// The leader's view changed.
    ViewChanged(RouterView),
    /// A request arrived whole.
    Arrived {
        /// Its ticket, larger than any before.
        ticket: Ticket,
        /// The request.
        request: QueuedRequest,
    },
    /// A request that the router gave up an attempt for wants a slot again, from `not_before_ms` on.
    RetryScheduled {
        /// Its ticket.
        ticket: Ticket,
        /// When it may be tried.
        not_before_ms: Millis,
    },
    /// Nobody waits for the request any more; an attempt in progress ends by its own event.
    Cancelled {
        /// Its ticket.
        ticket: Ticket,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        ticket: Ticket,
        /// The endpoint that it was sent to.
        instance: EndpointInstance,
        /// The connection that it had.
        connection: ConnectionId,
        /// How.
        outcome: AttemptOutcome,
    },
    /// An idle connection was closed by the endpoint or failed.
    ConnectionClosed {
        /// Its endpoint.
        instance: EndpointInstance,
        /// The connection.
        connection: ConnectionId,
    },
    /// Time passed.
    Tick,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Completed {
        /// Whether the connection can take another request.
        reusable: bool,
    },
    /// No connection could be had; no byte went out.
    ConnectFailed,
    /// The connection had closed before the first byte went out.
    NotSent,
    /// The endpoint itself said that it did not run the request.
    Busy {
        /// Whether the connection can take another request.
        reusable: bool,
    },
    /// Nothing was sent, and the request is settled or asks again later.
    Released {
        /// Whether the connection can take another request.
        reusable: bool,
    },
    /// This entry gave it up: its caller went away or its deadline passed. The work may run still.
    Abandoned,
    /// The connection failed or gave an answer that cannot be delivered; the work may have run.
    Failed,
    /// No answer came in time; the work may run still.
    TimedOut,
}

/// What the router asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouterAction {
    /// Send the request to this endpoint and tell how it ended.
    Send(SendOrder),
    /// The request is not tried any more.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why.
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

/// One attempt at a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendOrder {
    /// The request.
    pub ticket: Ticket,
    /// The endpoint.
    pub instance: EndpointInstance,
    /// Where it listens.
    pub address: SocketAddr,
    /// The connection to use.
    pub connection: ConnectionId,
    /// Whether that connection must be opened first.
    pub new_connection: bool,
    /// How long to wait for the head of the answer.
    pub response_timeout_ms: Millis,
}

/// Why a request is not tried any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterRefusal {
    /// What kind of refusal.
    pub kind: RefusalKind,
    /// Whether an attempt of this request may have run.
    pub may_have_run: bool,
    /// When it is worth coming again.
    pub retry_after_ms: Millis,
}

/// The kinds of refusals.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum RefusalKind {
    /// The service is not declared.
    #[display("service {_0} does not exist")]
    NoSuchService(ServiceName),
    /// The team is not declared.
    #[display("team {_0} does not exist")]
    NoSuchTeam(TeamId),
    /// The team's queue is full.
    #[display("the team has as many requests waiting as it may have")]
    QueueFull,
    /// The queue is so long that the deadline would pass.
    #[display("the requests that wait would take longer than the deadline allows")]
    WouldBeLate,
    /// The deadline passed.
    #[display("the deadline passed before an endpoint was free{_0}")]
    DeadlinePassed(SmolStr),
    /// An attempt failed and may have run, and the request is not tried again.
    #[display("the endpoint gave no whole answer")]
    AttemptFailed,
}
