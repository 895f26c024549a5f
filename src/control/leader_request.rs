use tokio::sync::oneshot;

use super::{
    CallExpiry, CommandBody, ExchangeAnswer, ExchangeRequest, Reply, ReportAnswer, ReportBatch,
    Result, Status,
};
use crate::replica::{self, Applied};
use crate::scheduler::{Explanation, JobKey};
use crate::units::{Millis, Term};

/// A request of an RPC handler to the leader loop.
#[derive(Debug)]
pub(super) enum LeaderRequest {
    Exchange {
        request: ExchangeRequest,
        reply: oneshot::Sender<Result<ExchangeAnswer>>,
    },
    Report {
        batch: ReportBatch,
        reply: oneshot::Sender<Result<ReportAnswer>>,
    },
    Propose {
        expires: CallExpiry,
        body: CommandBody,
        reply: oneshot::Sender<Result<Reply>>,
    },
    Explain {
        jobs: Vec<JobKey>,
        reply: oneshot::Sender<Vec<Option<Explanation>>>,
    },
    Status {
        reply: oneshot::Sender<Result<Status>>,
    },
}

/// An exchange that the leader holds open until there is an update for the entry.
pub(super) struct HeldExchange {
    pub(super) request: ExchangeRequest,
    pub(super) received_ms: Millis,
    pub(super) reply: oneshot::Sender<Result<ExchangeAnswer>>,
}

/// The origin of a proposal.
pub(super) enum Proposer {
    Caller(oneshot::Sender<Result<Reply>>),
    Scheduler,
    Clock,
}

/// A proposal that was committed or failed.
pub(super) struct FinishedProposal {
    pub(super) term: Term,
    pub(super) body: CommandBody,
    pub(super) proposer: Proposer,
    pub(super) result: replica::Result<Applied>,
}
