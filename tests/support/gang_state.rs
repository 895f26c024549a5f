//! The durable state of jobs: applies transitions and asserts that none breaks the rules of the
//! job's phase.

use marjoramknot::scheduler::{JobOutcome, JobPhase, JobTransition};

use super::Driver;

impl Driver {
    /// Applies a committed transition as the replicated state machine would. Returns false if the
    /// job has already ended.
    pub(super) fn apply(&mut self, transition: &JobTransition) -> bool {
        let now = self.now;
        let key = match transition {
            JobTransition::Placed { job, .. }
            | JobTransition::Started { job, .. }
            | JobTransition::Requeued { job, .. }
            | JobTransition::CancelRequested { job }
            | JobTransition::Ended { job, .. } => job.clone(),
        };
        let not_run = matches!(
            transition,
            JobTransition::Ended {
                outcome: JobOutcome::NotRun { .. },
                ..
            }
        );
        let has_run = not_run && self.has_run(&key);
        self.log
            .push(format!("{now} {key} committed {transition:?}"));
        let record = self.records.get_mut(&key).expect("the job is known");
        if matches!(record.phase, JobPhase::Ended { .. }) {
            return false;
        }
        match transition {
            JobTransition::Placed {
                attempt, members, ..
            } => {
                assert_eq!(
                    record.phase,
                    JobPhase::Waiting,
                    "only waiting jobs are placed"
                );
                assert_eq!(
                    *attempt,
                    record.attempt.next(),
                    "attempt numbers increase by one"
                );
                record.attempt = *attempt;
                record.phase = JobPhase::Placed {
                    members: members.clone(),
                };
            }
            JobTransition::Started { attempt, .. } => {
                assert_eq!(*attempt, record.attempt, "only the current attempt starts");
                let JobPhase::Placed { members } = record.phase.clone() else {
                    panic!("{key}: only placed jobs start");
                };
                let once = record.spec.idempotent || !record.started_once;
                assert!(once, "{key} may not run again and was started twice");
                record.phase = JobPhase::Started { members };
                record.started_once = true;
                self.started_ms.entry(key.clone()).or_insert(now);
                self.starts.push((key.clone(), *attempt, now));
            }
            JobTransition::Requeued {
                attempt,
                cause,
                checkpoints,
                attained_ms,
                memory_mb,
                ..
            } => {
                assert_eq!(*attempt, record.attempt, "only the current attempt ends");
                let requeued = self.requeues.entry(format!("{cause:?}")).or_default();
                requeued.0 += 1;
                requeued.1 += record.spec.tasks * record.spec.accelerators.0;
                record.phase = JobPhase::Waiting;
                record.checkpoints.clone_from(checkpoints);
                record.attained_ms = *attained_ms;
                record.memory_mb = *memory_mb;
            }
            JobTransition::CancelRequested { .. } => record.cancel_requested = true,
            JobTransition::Ended { outcome, .. } => {
                if matches!(outcome, JobOutcome::NotRun { .. }) {
                    assert!(!has_run, "{key} ran, but ends as not run");
                }
                record.phase = JobPhase::Ended {
                    outcome: outcome.clone(),
                };
                self.ended_ms.insert(key.clone(), now);
            }
        }
        true
    }
}
