//! Kills the leader after each of its actions while it accepts a release note. The operator resends
//! the note to the next leader, and another operator sends a different note with the same version.

use std::collections::BTreeMap;
use std::ops::Bound;

use assert_matches::assert_matches;
use marjoramknot::control::{Command, CommandBody, Reply, StateMachine};
use marjoramknot::release_note::{Digest, NoteAnswer, ReleaseNote};
use marjoramknot::replica::Payload;
use marjoramknot::units::{LogIndex, Revision, WallMs};
use rstest::rstest;

use crate::notes::{INITIAL_NOTE, deadline_note, note};
use crate::simulation::Simulation;

/// Upper limit for the remaining two of three replicas to elect a leader. `failures::killed_leader`
/// checks how fast that is.
const FAILOVER_MAX_MS: u64 = 5_000;
/// Longest time to a commit without faults.
const COMMIT_MAX_MS: u64 = 1_000;
/// More actions than the leader takes from the proposal to its answer.
const MAX_ACTIONS: u32 = 16;

/// When the other operator's note reaches a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CompetingNote {
    Absent,
    BeforeOwn,
    AfterOwn,
    AtNextLeader,
}

/// The group together with the state machine of each replica.
struct NoteSimulation {
    sim: Simulation,
    machines: Vec<StateMachine>,
    /// The answer to each log entry, which must be the same on all replicas.
    answers: BTreeMap<LogIndex, NoteAnswer>,
    /// The highest revision that any leader had in force.
    highest_revision: Revision,
    sent_count: u64,
}

impl NoteSimulation {
    fn new(seed: u64) -> Self {
        let mut sim = Simulation::started(3, seed);
        sim.faults.max_delay_ms = 5;
        sim.faults.max_sync_ms = 5;
        let machines = vec![StateMachine::default(); 3];
        let mut notes = Self {
            sim,
            machines,
            answers: BTreeMap::new(),
            highest_revision: Revision::ZERO,
            sent_count: 0,
        };
        notes.run_until(5_000, "a leader", |n| n.sim.leader().is_some());
        let first = notes.send(&note(INITIAL_NOTE));
        assert_matches!(notes.answer(first), NoteAnswer::Accepted { .. });
        notes.run_until(5_000, "the first note on all replicas", |n| {
            n.sim.is_converged()
        });
        notes
    }

    fn step(&mut self) {
        self.sim.step();
        for position in 0..self.machines.len() {
            self.catch_up(position);
        }
        if let Some(leader) = self.sim.leader() {
            let revision = self.machines[leader].in_force().revision;
            assert!(
                revision >= self.highest_revision,
                "{revision} after {}",
                self.highest_revision
            );
            self.highest_revision = revision;
        }
    }

    /// Applies the entries that the replica has applied to its state machine. A restarted replica
    /// starts from an empty state machine.
    fn catch_up(&mut self, position: usize) {
        let applied = self.sim.replicas[position].applied_index;
        if self.machines[position].applied() > applied {
            self.machines[position] = StateMachine::default();
        }
        let machine = &mut self.machines[position];
        let new = (Bound::Excluded(machine.applied()), Bound::Included(applied));
        let records = self.sim.committed.range(new);
        for (index, entry) in records {
            let Payload::Command(bytes) = &entry.payload else {
                continue;
            };
            let Ok(command) = postcard::from_bytes::<Command>(bytes) else {
                continue;
            };
            let before = machine.in_force().revision;
            let answer =
                assert_matches!(machine.apply(*index, &command), Reply::Note(answer) => answer);
            assert!(
                machine.in_force().revision >= before,
                "the revision decreased"
            );
            let first_answer = self.answers.entry(*index).or_insert_with(|| answer.clone());
            assert_eq!(*first_answer, answer, "replicas answered differently");
        }
    }

    fn run_until(&mut self, timeout_ms: u64, what: &str, done: impl Fn(&Self) -> bool) {
        let from_ms = self.sim.now_ms;
        while !done(self) {
            let (seed, state) = (self.sim.seed, self.sim.describe());
            let in_time = self.sim.now_ms < from_ms + timeout_ms;
            assert!(
                in_time,
                "seed {seed}: timed out waiting for: {what}\n{state}"
            );
            self.step();
        }
    }

    /// Sends a note to the leader, which must accept it. Each send has a different time and
    /// therefore different bytes.
    fn send(&mut self, note: &ReleaseNote) -> LogIndex {
        let leader = self.sim.leader().expect("the group has a leader");
        self.sent_count += 1;
        let command = Command {
            wall_ms: WallMs(self.sent_count),
            body: CommandBody::ApplyNote {
                note: Box::new(note.clone()),
                digest: note.digest(),
            },
        };
        let bytes = postcard::to_allocvec(&command).expect("a command encodes");
        let taken = self.sim.propose_bytes(leader, bytes);
        taken.expect("the leader accepts the note")
    }

    /// Waits for the answer to a note that was just sent to a leader that keeps running.
    fn answer(&mut self, index: LogIndex) -> NoteAnswer {
        self.run_until(COMMIT_MAX_MS, "an answer", |n| {
            n.answers.contains_key(&index)
        });
        self.answers[&index].clone()
    }

    /// The answers that operators received from a leader before it was killed.
    fn acknowledged(&self) -> Vec<(Digest, NoteAnswer)> {
        let commands = self.sim.acknowledged.iter();
        let commands = commands.filter_map(|bytes| postcard::from_bytes::<Command>(bytes).ok());
        let digests = commands.map(|command| match command.body {
            CommandBody::ApplyNote { digest, .. } => (digest, command.wall_ms),
            other => panic!("only notes are sent, not {other:?}"),
        });
        digests
            .map(|(digest, sent)| (digest, self.answer_to(sent)))
            .collect()
    }

    fn answer_to(&self, sent: WallMs) -> NoteAnswer {
        let is_match = |bytes: &[u8]| {
            postcard::from_bytes::<Command>(bytes).is_ok_and(|command| command.wall_ms == sent)
        };
        let mut records = self.sim.committed.iter();
        let found = records.find(
            |(_index, entry)| matches!(&entry.payload, Payload::Command(bytes) if is_match(bytes)),
        );
        let (index, _entry) = found.expect("an answered note is committed");
        self.answers[index].clone()
    }
}

/// The revision at which the note is in force. `None` if another note took its version.
fn accepted(answer: &NoteAnswer) -> Option<Revision> {
    match answer {
        NoteAnswer::Accepted { revision } | NoteAnswer::AlreadyAccepted { revision } => {
            Some(*revision)
        }
        NoteAnswer::VersionTaken { .. } => None,
        other => panic!("unexpected answer: {other:?}"),
    }
}

/// Runs one kill. Returns whether the own note won, and whether its sender received an answer
/// before the kill.
fn kill_while_accepting(seed: u64, actions: u32, competitor: CompetingNote) -> (bool, bool) {
    let mut notes = NoteSimulation::new(seed);
    let (own, other) = (deadline_note(2, 2_000), deadline_note(2, 3_000));
    let leader = notes.sim.leader().expect("the group has a leader");
    notes.sim.faults.max_delay_ms = 60;
    notes.sim.faults.max_sync_ms = 60;
    if competitor == CompetingNote::BeforeOwn {
        notes.send(&other);
    }
    notes.sim.kill_after = Some((leader, actions));
    notes.send(&own);
    if competitor == CompetingNote::AfterOwn && notes.sim.replicas[leader].core.is_some() {
        notes.send(&other);
    }
    notes.run_until(FAILOVER_MAX_MS, "the kill", |n| n.sim.kill_after.is_none());
    notes.sim.faults.max_delay_ms = 5;
    notes.sim.faults.max_sync_ms = 5;
    let early = notes.acknowledged();
    let answered = early
        .iter()
        .any(|(digest, _answer)| *digest == own.digest());
    notes.run_until(FAILOVER_MAX_MS, "the next leader", |n| {
        n.sim.leader().is_some()
    });
    if competitor == CompetingNote::AtNextLeader {
        notes.send(&other);
    }
    let again = notes.send(&own);
    let resent = notes.answer(again);
    let third = notes.send(&own);
    let third = notes.answer(third);
    let competing = notes.send(&other);
    let competing = notes.answer(competing);
    let in_force = match (accepted(&resent), accepted(&competing)) {
        (Some(revision), None) => (own.digest(), revision),
        (None, Some(revision)) => (other.digest(), revision),
        both => panic!("seed {seed}, {actions} actions: exactly one note must win, not {both:?}"),
    };
    assert_eq!(accepted(&third), accepted(&resent));
    let (digest, revision) = in_force.clone();
    let taken = NoteAnswer::VersionTaken { digest, revision };
    for loser in [resent, third, competing] {
        assert!(accepted(&loser).is_some() || loser == taken, "{loser:?}");
    }
    for (digest, answer) in early.into_iter().skip(1) {
        let is_kept = match accepted(&answer) {
            Some(revision) => (digest, revision) == in_force,
            None => answer == taken,
        };
        assert!(
            is_kept,
            "seed {seed}, {actions} actions: the early answer {answer:?} no longer holds"
        );
    }
    notes.sim.heal();
    notes.run_until(20_000, "all replicas to converge", |n| n.sim.is_converged());
    for machine in &notes.machines {
        assert_eq!(*machine, notes.machines[0], "seed {seed}");
        assert_eq!(machine.in_force().revision, in_force.1);
    }
    notes.sim.check_recovery();
    (in_force.0 == own.digest(), answered)
}

#[rstest]
#[case(CompetingNote::Absent)]
#[case(CompetingNote::BeforeOwn)]
#[case(CompetingNote::AfterOwn)]
#[case(CompetingNote::AtNextLeader)]
fn killed_leader(#[case] competitor: CompetingNote) {
    let (mut won, mut answered, mut runs) = (0, 0, 0);
    for actions in 0..MAX_ACTIONS {
        for seed in 0..12 {
            let (wins, was_answered) = kill_while_accepting(seed, actions, competitor);
            won += u32::from(wins);
            answered += u32::from(was_answered);
            runs += 1;
        }
    }
    println!("competitor={competitor:?} runs={runs} own_won={won} answered_before_kill={answered}");
    assert!(answered > 0, "some leaders are killed after the answer");
    assert!(answered < runs, "some leaders are killed before the answer");
}
