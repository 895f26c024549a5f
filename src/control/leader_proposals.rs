use smol_str::{SmolStr, format_smolstr};
use tokio::sync::oneshot;
use tracing::{error, info, warn};

use super::job_metrics;
use super::job_table::is_ended;
use super::leader_loop::LeaderLoop;
use super::leader_request::{FinishedProposal, Proposer};
use super::leader_state::release_note_applied_event;
use super::{CallExpiry, Command, CommandBody, ControlError, Reply, Result};
use crate::release_note::NoteAnswer;
use crate::replica::ProposeError;
use crate::scheduler::{Event, JobOutcome, JobTransition, SubmitAnswer};

/// The maximum number of proposals in progress.
const PROPOSALS_MAX: usize = 20_000;
/// The maximum total size of the results of a job's tasks, in bytes.
pub const RESULTS_MAX_BYTES: usize = 1024 * 1024;
/// The maximum size of an encoded command, in bytes; well below the frame limit between replicas.
const COMMAND_MAX_BYTES: usize = 4 * 1024 * 1024;

impl LeaderLoop {
    pub(super) fn handle_proposal(
        &mut self,
        expires: CallExpiry,
        body: CommandBody,
        reply: oneshot::Sender<Result<Reply>>,
    ) {
        if self.call_clock.has_passed(expires) {
            info!(event = "call_expired", expired_ms = %expires);
            drop(reply.send(Err(ControlError::Expired)));
            return;
        }
        if !self.may_act() {
            drop(reply.send(Err(self.not_leader())));
            return;
        }
        if self.proposals.len() >= PROPOSALS_MAX {
            let reason = "too many changes are in progress".into();
            drop(reply.send(Err(ControlError::Refused { reason })));
            return;
        }
        self.propose(body, Proposer::Caller(reply));
    }

    /// Proposes a change. Returns false if nothing was proposed.
    pub(super) fn propose(&mut self, body: CommandBody, proposer: Proposer) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let (term, handle) = (leader.term, self.handle.clone());
        let command = Command {
            wall_ms: self.clock.wall(),
            body,
        };
        let bytes = postcard::to_allocvec(&command).expect("a command always encodes");
        if bytes.len() > COMMAND_MAX_BYTES {
            refuse_too_long(bytes.len(), proposer);
            return false;
        }
        self.proposals.push(Box::pin(async move {
            let result = handle.propose(bytes).await;
            FinishedProposal {
                term,
                body: command.body,
                proposer,
                result,
            }
        }));
        true
    }

    pub(super) fn propose_transitions(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let pending_transitions = leader.take_pending_transitions();
        if self.scheduler_stale {
            self.rebuild();
            return;
        }
        for transition in pending_transitions {
            let body = CommandBody::Job(Box::new(fail_oversized_results(transition)));
            if self.propose(body, Proposer::Scheduler) {
                self.transitions_in_flight += 1;
            }
        }
    }

    /// Rebuilds the scheduler, once none of its transitions is in progress.
    fn rebuild(&mut self) {
        let now = self.clock.now();
        if let Some(leader) = self
            .leader
            .as_mut()
            .filter(|_| self.transitions_in_flight == 0)
        {
            self.state_machine
                .read(|state_machine| leader.rebuild(state_machine, now));
            self.scheduler_stale = false;
        }
    }

    pub(super) fn finish(&mut self, done: FinishedProposal) {
        let reply = done.result.and_then(|applied| {
            let unreadable = |_error| ProposeError::Uncertain;
            postcard::from_bytes::<Reply>(&applied.reply).map_err(unreadable)
        });
        let is_same_term = self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.term == done.term);
        if is_same_term {
            if matches!(done.proposer, Proposer::Scheduler) {
                self.transitions_in_flight = self.transitions_in_flight.saturating_sub(1);
            }
            match &reply {
                Ok(reply) => self.on_committed(&done.body, reply, &done.proposer),
                Err(cause) => self.on_proposal_failed(&done.body, cause, &done.proposer),
            }
        }
        if let Proposer::Caller(caller) = done.proposer {
            drop(caller.send(reply.map_err(|cause| self.to_control_error(cause))));
        }
    }

    fn on_committed(&mut self, body: &CommandBody, reply: &Reply, proposer: &Proposer) {
        let now = self.clock.now();
        let Some(leader) = &mut self.leader else {
            return;
        };
        match (body, reply) {
            (
                CommandBody::ApplyNote { note, .. },
                Reply::Note(NoteAnswer::Accepted { revision }),
            ) => {
                info!(event = "note_accepted", version = %note.version, %revision);
                leader.handle_event(self.state_machine.read(release_note_applied_event), now);
                self.state_machine
                    .read(|state_machine| leader.tick(state_machine, now));
            }
            (CommandBody::SubmitJob(spec), Reply::Submit(SubmitAnswer::Accepted)) => {
                let job = self
                    .state_machine
                    .read(|state_machine| state_machine.job(&spec.key).cloned());
                if let Some(job) = job.filter(|job| !is_ended(job)) {
                    leader.handle_event(Event::Submitted { job: Box::new(job) }, now);
                }
            }
            (CommandBody::Job(transition), Reply::Job { applied: true }) => {
                let (term, wall) = (leader.term, self.clock.wall());
                self.state_machine.read(|state_machine| {
                    job_metrics::record_transition(state_machine, transition, term, wall);
                });
                let transition = JobTransition::clone(transition);
                leader.handle_event(Event::Committed { transition }, now);
            }
            (CommandBody::Job(transition), Reply::Job { applied: false })
                if matches!(proposer, Proposer::Scheduler) =>
            {
                warn!(event = "transition_unfit", ?transition);
                self.scheduler_stale = true;
            }
            _ => {}
        }
    }

    fn on_proposal_failed(
        &mut self,
        body: &CommandBody,
        cause: &ProposeError,
        proposer: &Proposer,
    ) {
        warn!(event = "change_failed", %cause);
        let now = self.clock.now();
        if let (CommandBody::Job(transition), Proposer::Scheduler) = (body, proposer)
            && let Some(leader) = &mut self.leader
        {
            let transition = JobTransition::clone(transition);
            leader.handle_event(Event::CommitFailed { transition }, now);
        }
    }

    fn to_control_error(&self, cause: ProposeError) -> ControlError {
        match cause {
            ProposeError::NotLeader => self.not_leader(),
            ProposeError::Uncertain | ProposeError::Stopped => ControlError::Uncertain,
            ProposeError::Refused { reason } => ControlError::Refused {
                reason: reason.into(),
            },
        }
    }
}

/// Turns the success of a job with results above [`RESULTS_MAX_BYTES`] into a failure, so that
/// truncated results never look complete.
fn fail_oversized_results(transition: JobTransition) -> JobTransition {
    let JobTransition::Ended {
        job,
        outcome: JobOutcome::Succeeded { results },
    } = transition
    else {
        return transition;
    };
    let bytes: usize = results.iter().map(SmolStr::len).sum();
    let outcome = if bytes <= RESULTS_MAX_BYTES {
        JobOutcome::Succeeded { results }
    } else {
        let cause = format_smolstr!(
            "all tasks ran, but their results are {bytes} bytes and {RESULTS_MAX_BYTES} can be kept"
        );
        JobOutcome::Failed { cause }
    };
    JobTransition::Ended { job, outcome }
}

fn refuse_too_long(bytes: usize, proposer: Proposer) {
    error!(event = "command_too_long", bytes);
    if let Proposer::Caller(caller) = proposer {
        let reason = format_smolstr!("{bytes} bytes, at most {COMMAND_MAX_BYTES} are allowed");
        drop(caller.send(Err(ControlError::Refused { reason })));
    }
}
