use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::job_table::JobTable;
use super::note_history::NoteHistory;
use super::{Command, CommandBody, JobFilter, Reply, StateUpdate};
use crate::release_note::{ClusterConfig, Digest, NoteAnswer, ReleaseNote};
use crate::request_ledger::Ledger;
use crate::scheduler::{self, JobKey, JobRecord, JobSpec, SubmitAnswer};
use crate::units::{LogIndex, Revision, WallMs};
use crate::workload::Workload;

/// The replicated state machine of the control group.
///
/// It is deterministic: the same commands give the same state and replies on each replica, and a
/// snapshot restores to the state that replaying the log would give.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateMachine {
    applied: LogIndex,
    wall_ms: WallMs,
    in_force: Arc<ClusterConfig>,
    notes: NoteHistory,
    jobs: JobTable,
    ledger: Ledger,
    workload: Workload,
}

impl StateMachine {
    /// Applies the command at log index `index`. A command at or below the last applied index
    /// changes nothing.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> Reply {
        if index <= self.applied {
            return Reply::Done;
        }
        self.applied = index;
        self.wall_ms = self.wall_ms.max(command.wall_ms);
        let reply = self.apply_body(index, &command.body);
        self.jobs.expire(self.wall_ms);
        self.ledger.expire(self.wall_ms);
        self.workload.expire(self.wall_ms);
        reply
    }

    /// Encodes the complete state.
    ///
    /// # Panics
    /// Never: every state encodes.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a state always encodes")
    }

    /// Decodes a state from a snapshot; none if the bytes are not a valid snapshot.
    #[must_use]
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        let decoded = postcard::from_bytes(bytes).or_else(|_fault| {
            let completed = [bytes, &Workload::MISSING_TAIL].concat();
            postcard::from_bytes(&completed)
        });
        let mut state_machine: Self = decoded.ok()?;
        state_machine.workload.rebuild_index();
        Some(state_machine)
    }

    /// Returns the workload: queues, their jobs and closed availability zones.
    #[must_use]
    pub const fn workload(&self) -> &Workload {
        &self.workload
    }

    /// Returns the index of the last applied command.
    #[must_use]
    pub const fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the state machine's clock: the latest time of an applied command.
    #[must_use]
    pub const fn wall_ms(&self) -> WallMs {
        self.wall_ms
    }

    /// Returns the declared state in force.
    #[must_use]
    pub fn in_force(&self) -> Arc<ClusterConfig> {
        Arc::clone(&self.in_force)
    }

    /// Returns the update that brings an entry at revision `known` to the state in force.
    #[must_use]
    pub fn update_since(&self, known: Revision) -> StateUpdate {
        self.notes.update_since(known, &self.in_force)
    }

    /// Returns a job's record, if the job is known.
    #[must_use]
    pub fn job(&self, key: &JobKey) -> Option<&JobRecord> {
        self.jobs.get(key)
    }

    /// Lists jobs in the order of their submission.
    #[must_use]
    pub fn jobs(&self, filter: &JobFilter) -> Vec<&JobRecord> {
        self.jobs.list(filter)
    }

    /// Returns all jobs that have not ended, in the order of their submission.
    #[must_use]
    pub fn unended_jobs(&self) -> Vec<JobRecord> {
        let filter = JobFilter {
            team: None,
            unended_only: true,
            limit: u32::MAX,
        };
        self.jobs.list(&filter).into_iter().cloned().collect()
    }

    fn apply_body(&mut self, index: LogIndex, body: &CommandBody) -> Reply {
        match body {
            CommandBody::ApplyNote { note, digest } => {
                Reply::Note(self.apply_note(Revision(index.get()), note, digest))
            }
            CommandBody::BeginRequest(request) => {
                Reply::Begin(self.ledger.begin(request, self.wall_ms))
            }
            CommandBody::FinishRequest(request) => {
                Reply::Finish(self.ledger.finish(request, self.wall_ms))
            }
            CommandBody::SubmitJob(spec) => Reply::Submit(self.submit(spec)),
            CommandBody::Job(transition) => Reply::Job {
                applied: self.jobs.apply(transition, self.wall_ms),
            },
            CommandBody::Workload(commands) => {
                let now = self.wall_ms;
                let apply = |command| self.workload.apply(command, now);
                Reply::Workload(commands.iter().map(apply).collect())
            }
            CommandBody::Clock => Reply::Done,
        }
    }

    fn apply_note(
        &mut self,
        revision: Revision,
        note: &ReleaseNote,
        digest: &Digest,
    ) -> NoteAnswer {
        let current = self.in_force.note_version;
        if let Some(answer) = self.notes.earlier_answer(note.version, digest, current) {
            return answer;
        }
        let faults = self.in_force.validate(note);
        if !faults.is_empty() {
            return NoteAnswer::Invalid { faults };
        }
        let after = self.in_force.revision;
        Arc::make_mut(&mut self.in_force).apply(note, revision);
        let note = Arc::new(note.clone());
        self.notes.record(note, digest.clone(), after, revision);
        NoteAnswer::Accepted { revision }
    }

    fn submit(&mut self, spec: &JobSpec) -> SubmitAnswer {
        let in_force = Arc::clone(&self.in_force);
        self.jobs.submit(spec, self.wall_ms, |waiting| {
            scheduler::admit(spec, &in_force, waiting)
        })
    }
}
