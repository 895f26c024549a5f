use smol_str::{SmolStr, format_smolstr};
use tokio::sync::oneshot;
use tracing::{error, info, warn};

use super::job_metrics;
use super::job_table::is_ended;
use super::leader_loop::LeadLoop;
use super::leader_request::{Proposed, Proposer};
use super::leader_state::note_event;
use super::{Command, CommandBody, ControlError, Reply, Result};
use crate::release_note::NoteAnswer;
use crate::replica::ProposeError;
use crate::scheduler::{Event, JobOutcome, JobTransition, SubmitAnswer};

/// How many changes may be in progress at once.
const CHANGES_MAX: usize = 20_000;
/// The most bytes of results that a job's tasks may give together.
pub const RESULTS_MAX_BYTES: usize = 1024 * 1024;
/// The longest record, well below a frame between replicas.
const COMMAND_MAX_BYTES: usize = 4 * 1024 * 1024;

impl LeadLoop {
    pub(super) fn take_change(&mut self, body: CommandBody, reply: oneshot::Sender<Result<Reply>>) {
        if !self.may_act() {
            drop(reply.send(Err(self.not_leader())));
            return;
        }
        if self.changes.len() >= CHANGES_MAX {
            let reason = "too many changes are in progress".into();
            drop(reply.send(Err(ControlError::Refused { reason })));
            return;
        }
        self.propose(body, Proposer::Caller(reply));
    }

    /// Begins a change; false where it was not begun.
    pub(super) fn propose(&mut self, body: CommandBody, proposer: Proposer) -> bool {
        let Some(lead) = &self.lead else {
            return false;
        };
        let (term, handle) = (lead.term, self.handle.clone());
        let command = Command {
            wall_ms: self.clock.wall(),
            body,
        };
        let bytes = postcard::to_allocvec(&command).expect("a command always encodes");
        if bytes.len() > COMMAND_MAX_BYTES {
            refuse_long(bytes.len(), proposer);
            return false;
        }
        self.changes.push(Box::pin(async move {
            let result = handle.propose(bytes).await;
            Proposed {
                term,
                body: command.body,
                proposer,
                result,
            }
        }));
        true
    }

    pub(super) fn propose_wanted(&mut self) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let wanted = lead.take_wanted();
        if self.rebuild_due {
            self.rebuild();
            return;
        }
        for transition in wanted {
            let body = CommandBody::Job(Box::new(limit_results(transition)));
            if self.propose(body, Proposer::Scheduler) {
                self.transitions += 1;
            }
        }
    }

    /// Builds the scheduler anew as soon as nothing that it asked for is in progress.
    fn rebuild(&mut self) {
        let now = self.clock.now();
        if let Some(lead) = self.lead.as_mut().filter(|_| self.transitions == 0) {
            self.machine.read(|machine| lead.rebuild(machine, now));
            self.rebuild_due = false;
        }
    }

    pub(super) fn finish(&mut self, done: Proposed) {
        let reply = done.result.and_then(|applied| {
            let unreadable = |_error| ProposeError::Uncertain;
            postcard::from_bytes::<Reply>(&applied.reply).map_err(unreadable)
        });
        let is_present = self
            .lead
            .as_ref()
            .is_some_and(|lead| lead.term == done.term);
        if is_present {
            if matches!(done.proposer, Proposer::Scheduler) {
                self.transitions = self.transitions.saturating_sub(1);
            }
            match &reply {
                Ok(reply) => self.tell_committed(&done.body, reply, &done.proposer),
                Err(cause) => self.tell_failed(&done.body, cause, &done.proposer),
            }
        }
        if let Proposer::Caller(caller) = done.proposer {
            drop(caller.send(reply.map_err(|cause| self.control_error(cause))));
        }
    }

    fn tell_committed(&mut self, body: &CommandBody, reply: &Reply, proposer: &Proposer) {
        let now = self.clock.now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        match (body, reply) {
            (
                CommandBody::ApplyNote { note, .. },
                Reply::Note(NoteAnswer::Accepted { revision }),
            ) => {
                info!(event = "note_accepted", version = %note.version, %revision);
                lead.tell(self.machine.read(note_event), now);
                self.machine.read(|machine| lead.tick(machine, now));
            }
            (CommandBody::SubmitJob(spec), Reply::Submit(SubmitAnswer::Accepted)) => {
                let job = self.machine.read(|machine| machine.job(&spec.key).cloned());
                if let Some(job) = job.filter(|job| !is_ended(job)) {
                    lead.tell(Event::Submitted { job: Box::new(job) }, now);
                }
            }
            (CommandBody::Job(transition), Reply::Job { applied: true }) => {
                let (term, wall) = (lead.term, self.clock.wall());
                self.machine
                    .read(|machine| job_metrics::record(machine, transition, term, wall));
                let transition = JobTransition::clone(transition);
                lead.tell(Event::Committed { transition }, now);
            }
            (CommandBody::Job(transition), Reply::Job { applied: false })
                if matches!(proposer, Proposer::Scheduler) =>
            {
                warn!(event = "transition_unfit", ?transition);
                self.rebuild_due = true;
            }
            _ => {}
        }
    }

    fn tell_failed(&mut self, body: &CommandBody, cause: &ProposeError, proposer: &Proposer) {
        warn!(event = "change_failed", %cause);
        let now = self.clock.now();
        if let (CommandBody::Job(transition), Proposer::Scheduler) = (body, proposer)
            && let Some(lead) = &mut self.lead
        {
            let transition = JobTransition::clone(transition);
            lead.tell(Event::CommitFailed { transition }, now);
        }
    }

    fn control_error(&self, cause: ProposeError) -> ControlError {
        match cause {
            ProposeError::NotLeader => self.not_leader(),
            ProposeError::Uncertain | ProposeError::Stopped => ControlError::Uncertain,
            ProposeError::Refused { reason } => ControlError::Refused {
                reason: reason.into(),
            },
        }
    }
}

/// Results that cannot be kept whole are not passed off as whole: the job ends as failed instead.
fn limit_results(transition: JobTransition) -> JobTransition {
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

fn refuse_long(bytes: usize, proposer: Proposer) {
    error!(event = "command_too_long", bytes);
    if let Proposer::Caller(caller) = proposer {
        let reason = format_smolstr!("{bytes} bytes, at most {COMMAND_MAX_BYTES} are allowed");
        drop(caller.send(Err(ControlError::Refused { reason })));
    }
}
