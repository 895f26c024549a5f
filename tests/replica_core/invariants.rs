//! Invariants of a [`Simulation`] after each step and after all faults have ended.

use std::collections::BTreeSet;

use marjoramknot::units::Millis;

use crate::simulation::{Replica, Simulation};

impl Simulation {
    /// Describes the state of all replicas for failure messages.
    pub fn describe(&self) -> String {
        let lines = self.replicas.iter().map(|replica| {
            let core = replica.core.as_ref().map(|core| {
                let voters = core.members().map_or(0, |m| m.voters.len());
                let (committed, applied) = (core.committed(), core.applied());
                let states = core.node_statuses(Millis(self.now_ms));
                let leads = core.is_leader();
                format!(
                    "{} term={} leader={:?} leads={leads} committed={committed} applied={applied} voters={voters} {states:?}",
                    replica.node, core.term(), core.leader(),
                )
            });
            core.unwrap_or_default()
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Checks that each term has one leader and that at most one replica holds a lease.
    pub fn check_leaders(&mut self) {
        let seed = self.seed;
        let mut lease_holders = Vec::new();
        for (position, replica) in self.replicas.iter_mut().enumerate() {
            let Some(core) = &replica.core else {
                continue;
            };
            if !core.is_leader() {
                replica.pending.clear();
                continue;
            }
            let known = self.leaders.entry(core.term());
            let leader = known.or_insert_with(|| replica.node.clone());
            assert_eq!(
                *leader, replica.node,
                "seed {seed}: two leaders in one term"
            );
            let local = Millis(self.now_ms + self.now_ms * replica.clock_skew_permille / 1_000);
            if core.has_quorum(local) {
                lease_holders.push((position, core.term()));
            }
        }
        assert!(
            lease_holders.len() <= 1,
            "seed {seed}: two replicas hold a lease: {lease_holders:?}"
        );
    }

    /// Whether all replicas vote with their current data folders and have applied everything
    /// committed.
    pub fn is_converged(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let members = self.core(leader).members();
        let votes = |r: &Replica| members.is_some_and(|m| m.contains(&r.node));
        let index = self.core(leader).committed();
        let count = members.map_or(0, |m| m.voters.len());
        count == self.replicas.len()
            && self
                .replicas
                .iter()
                .all(|r| votes(r) && r.applied_index == index)
    }

    /// Ends all faults and checks that the group works and no acknowledged command is lost.
    pub fn check_recovery(&mut self) {
        self.heal();
        let seed = self.seed;
        self.run_until(20_000, "all replicas to converge", Self::is_converged);
        let leader = self.leader().expect("a converged group has a leader");
        let before = self.acknowledged.len();
        assert!(
            self.propose(leader),
            "seed {seed}: a converged group accepts proposals"
        );
        self.run_until(2_000, "a commit", |s| s.acknowledged.len() > before);
        self.run_until(5_000, "the same state on all replicas", Self::is_converged);
        let applied: BTreeSet<_> = self.replicas[leader].applied.iter().collect();
        for command in &self.acknowledged {
            assert!(
                applied.contains(command),
                "seed {seed}: an acknowledged command is lost"
            );
        }
        for command in &self.refused {
            assert!(
                !applied.contains(command),
                "seed {seed}: a refused command was applied"
            );
        }
        for replica in &self.replicas {
            assert_eq!(
                replica.applied, self.replicas[leader].applied,
                "seed {seed}"
            );
        }
    }
}
