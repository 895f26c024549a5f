//! Checks on the history of everything that ran.

use std::collections::{BTreeMap, BTreeSet};

use marjoramknot::scheduler::{JobKey, JobOutcome, JobPhase};
use marjoramknot::units::{Attempt, Millis};

use super::Driver;

impl Driver {
    /// Checks that gangs ran as a whole, that jobs which must not run again ran at most once, and
    /// that nothing started in closed zones.
    pub fn check_history(&self, partial_max_ms: Millis) {
        self.check_gangs_whole(partial_max_ms);
        self.check_attempts_disjoint();
        self.check_runs_at_most_once();
        self.check_closed_zones();
    }

    fn check_gangs_whole(&self, partial_max_ms: Millis) {
        let mut spans: BTreeMap<(JobKey, Attempt), BTreeMap<u32, (Millis, Millis)>> =
            BTreeMap::new();
        for ran in self.slots.iter().flat_map(|slot| &slot.worker.history) {
            let attempt = (ran.task.job.clone(), ran.task.attempt);
            let to_ms = ran.to_ms.unwrap_or(self.now);
            spans
                .entry(attempt)
                .or_default()
                .insert(ran.task.index.0, (ran.from_ms, to_ms));
        }
        for ((key, attempt), members) in spans {
            let tasks = self.records[&key].spec.tasks as usize;
            let last_end = members
                .values()
                .map(|(_from, to)| *to)
                .max()
                .expect("a recorded attempt has tasks");
            let first_start = members
                .values()
                .map(|(from, _to)| *from)
                .min()
                .expect("a recorded attempt has tasks");
            let partial_from = if members.len() < tasks {
                first_start
            } else if self.succeeded(&key) && self.records[&key].attempt == attempt {
                last_end
            } else {
                let first_end = members.values().map(|(_from, to)| *to).min();
                first_end.expect("a recorded attempt has tasks")
            };
            // A new leader does not know when a worker fell silent before its election, so it counts
            // the timeout from the election.
            let elections = self.elections.iter().filter(|at| **at < last_end);
            let heard_from = elections.max().copied().unwrap_or_default();
            let partial = last_end.since(partial_from.max(heard_from));
            assert!(
                partial <= partial_max_ms,
                "{key} attempt {attempt} ran as a partial gang for {partial}: {members:?}\n{}",
                self.job_log(&key)
            );
        }
    }

    fn write_log(&mut self, line: impl Fn(Millis) -> String) {
        if self.check_each_step {
            self.log.push(line(self.now));
        }
    }

    /// Checks that no attempt starts before everything of earlier attempts has ended.
    fn check_attempts_disjoint(&self) {
        let mut spans: BTreeMap<&JobKey, BTreeMap<Attempt, (Millis, Millis)>> = BTreeMap::new();
        for ran in self.slots.iter().flat_map(|slot| &slot.worker.history) {
            let to_ms = ran.to_ms.unwrap_or(self.now);
            let attempts = spans.entry(&ran.task.job).or_default();
            let span = attempts
                .entry(ran.task.attempt)
                .or_insert((ran.from_ms, to_ms));
            *span = (span.0.min(ran.from_ms), span.1.max(to_ms));
        }
        for (key, attempts) in spans {
            let mut last_end = Millis::ZERO;
            for (attempt, (from_ms, to_ms)) in attempts {
                let log = || self.job_log(key);
                assert!(
                    from_ms >= last_end,
                    "{key} attempt {attempt} overlaps an earlier one: {}",
                    log()
                );
                last_end = last_end.max(to_ms);
            }
        }
    }

    /// The log lines about a job, and the elections.
    pub fn job_log(&self, key: &JobKey) -> String {
        let name = format!("{key} ");
        let lines = self.log.iter();
        let about = lines.filter(|line| line.contains(&name) || line.ends_with("elected"));
        about.cloned().collect::<Vec<_>>().join("\n")
    }

    fn check_runs_at_most_once(&self) {
        for (key, record) in &self.records {
            let ran = self.slots.iter().flat_map(|slot| &slot.worker.history);
            let ran: Vec<_> = ran.filter(|ran| ran.task.job == *key).collect();
            if !record.spec.idempotent {
                let attempts: BTreeSet<_> = ran.iter().map(|ran| ran.task.attempt).collect();
                assert!(attempts.len() <= 1, "{key} ran in attempts {attempts:?}");
                let tasks: BTreeSet<_> = ran.iter().map(|ran| ran.task.index).collect();
                assert_eq!(tasks.len(), ran.len(), "a task of {key} ran twice");
            }
            if let JobPhase::Ended {
                outcome: JobOutcome::NotRun { .. },
            } = record.phase
            {
                assert!(
                    ran.is_empty(),
                    "{key} ended as not run, but a task of it ran"
                );
            }
        }
    }

    fn check_closed_zones(&self) {
        for (zone, out_ms, in_ms) in &self.closures {
            let until = in_ms.unwrap_or(Millis::MAX);
            let late = out_ms.saturating_add(Millis(3_000));
            for slot in self
                .slots
                .iter()
                .filter(|s| s.worker.spec.zone.as_str() == zone)
            {
                for ran in &slot.worker.history {
                    let inside = ran.from_ms > late && ran.from_ms < until;
                    assert!(!inside, "{ran:?} started in {zone}, out at {out_ms}");
                }
            }
        }
    }
}
