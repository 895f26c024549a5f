//! The leader is killed after each of its actions while it accepts a note; the operator sends the note
//! again to the next leader, and another operator's note has the same version.

use std::collections::BTreeMap;
use std::ops::Bound;

use assert_matches::assert_matches;
use marjoramknot::control::{Command, CommandBody, Reply, StateMachine};
use marjoramknot::release_note::{Digest, NoteAnswer, ReleaseNote};
use marjoramknot::replica::Payload;
use marjoramknot::units::{LogIndex, Revision, WallMs};
use rstest::rstest;

use crate::notes::{FIRST, deadline_note, note};
use crate::world::World;

/// A group of two of three leads again in the end; how soon is checked by `failures::killed_leader`.
const FAILOVER_MS: u64 = 5_000;
/// The longest time to a commit without faults.
const COMMIT_MS: u64 = 1_000;
/// More actions than the leader needs from the proposal to its answer.
const ACTIONS: u32 = 16;

/// When the other operator's note reaches a leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rival {
    Absent,
    First,
    Second,
    AtNextLeader,
}

/// The group with the replicated state of each replica.
struct Notes {
    world: World,
    machines: Vec<StateMachine>,
    /// What applying each record answered, on whichever replica.
    answers: BTreeMap<LogIndex, NoteAnswer>,
    /// The highest revision that a leader had in force.
    led: Revision,
    sent: u64,
}

impl Notes {
    fn new(seed: u64) -> Self {
        let mut world = World::started(3, seed);
        world.faults.max_delay_ms = 5;
        world.faults.max_sync_ms = 5;
        let machines = vec![StateMachine::default(); 3];
        let mut notes = Self {
            world,
            machines,
            answers: BTreeMap::new(),
            led: Revision::ZERO,
            sent: 0,
        };
        notes.until(5_000, "a leader", |n| n.world.leader().is_some());
        let first = notes.send(&note(FIRST));
        assert_matches!(notes.answer(first), NoteAnswer::Accepted { .. });
        notes.until(5_000, "the first note everywhere", |n| n.world.is_whole());
        notes
    }

    fn step(&mut self) {
        self.world.step();
        for position in 0..self.machines.len() {
            self.follow(position);
        }
        if let Some(leader) = self.world.leader() {
            let revision = self.machines[leader].in_force().revision;
            assert!(revision >= self.led, "{revision} after {}", self.led);
            self.led = revision;
        }
    }

    /// Brings a replica's state to what the replica applied; one that was started again starts anew.
    fn follow(&mut self, position: usize) {
        let applied = self.world.replicas[position].applied_index;
        if self.machines[position].applied() > applied {
            self.machines[position] = StateMachine::default();
        }
        let machine = &mut self.machines[position];
        let new = (Bound::Excluded(machine.applied()), Bound::Included(applied));
        let records = self.world.committed.range(new);
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
            assert!(machine.in_force().revision >= before, "a revision fell");
            let known = self.answers.entry(*index).or_insert_with(|| answer.clone());
            assert_eq!(*known, answer, "replicas answered differently");
        }
    }

    fn until(&mut self, most_ms: u64, what: &str, done: impl Fn(&Self) -> bool) {
        let from_ms = self.world.now_ms;
        while !done(self) {
            let (seed, state) = (self.world.seed, self.world.describe());
            let in_time = self.world.now_ms < from_ms + most_ms;
            assert!(in_time, "seed {seed}: not in time: {what}\n{state}");
            self.step();
        }
    }

    /// Sends a note to the leader, which takes it; a resend has another time and thus other bytes.
    fn send(&mut self, note: &ReleaseNote) -> LogIndex {
        let leader = self.world.leader().expect("the group has a leader");
        self.sent += 1;
        let command = Command {
            wall_ms: WallMs(self.sent),
            body: CommandBody::ApplyNote {
                note: Box::new(note.clone()),
                digest: note.digest(),
            },
        };
        let bytes = postcard::to_allocvec(&command).expect("a command encodes");
        let taken = self.world.propose_bytes(leader, bytes);
        taken.expect("a leader takes a note")
    }

    /// Waits for the answer to a note that was just sent to a leader that stays.
    fn answer(&mut self, index: LogIndex) -> NoteAnswer {
        self.until(COMMIT_MS, "an answer", |n| n.answers.contains_key(&index));
        self.answers[&index].clone()
    }

    /// The answers that operators got from a leader before it was killed.
    fn acknowledged(&self) -> Vec<(Digest, NoteAnswer)> {
        let commands = self.world.acknowledged.iter();
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
        let is_it = |bytes: &[u8]| {
            postcard::from_bytes::<Command>(bytes).is_ok_and(|command| command.wall_ms == sent)
        };
        let mut records = self.world.committed.iter();
        let found = records.find(
            |(_index, entry)| matches!(&entry.payload, Payload::Command(bytes) if is_it(bytes)),
        );
        let (index, _entry) = found.expect("what was answered is committed");
        self.answers[index].clone()
    }
}

/// The revision of a note that is in force; none where another note has its version.
fn accepted(answer: &NoteAnswer) -> Option<Revision> {
    match answer {
        NoteAnswer::Accepted { revision } | NoteAnswer::AlreadyAccepted { revision } => {
            Some(*revision)
        }
        NoteAnswer::VersionTaken { .. } => None,
        other => panic!("no other answer is right: {other:?}"),
    }
}

/// One kill; gives whether the own note won, and whether its sender had an answer before the kill.
fn kill_while_accepting(seed: u64, actions: u32, rival: Rival) -> (bool, bool) {
    let mut notes = Notes::new(seed);
    let (own, other) = (deadline_note(2, 2_000), deadline_note(2, 3_000));
    let leader = notes.world.leader().expect("the group has a leader");
    notes.world.faults.max_delay_ms = 60;
    notes.world.faults.max_sync_ms = 60;
    if rival == Rival::First {
        notes.send(&other);
    }
    notes.world.kill_after = Some((leader, actions));
    notes.send(&own);
    if rival == Rival::Second && notes.world.replicas[leader].core.is_some() {
        notes.send(&other);
    }
    notes.until(FAILOVER_MS, "the kill", |n| n.world.kill_after.is_none());
    notes.world.faults.max_delay_ms = 5;
    notes.world.faults.max_sync_ms = 5;
    let early = notes.acknowledged();
    let answered = early
        .iter()
        .any(|(digest, _answer)| *digest == own.digest());
    notes.until(FAILOVER_MS, "the next leader", |n| {
        n.world.leader().is_some()
    });
    if rival == Rival::AtNextLeader {
        notes.send(&other);
    }
    let again = notes.send(&own);
    let resent = notes.answer(again);
    let third = notes.send(&own);
    let third = notes.answer(third);
    let rivals = notes.send(&other);
    let rivals = notes.answer(rivals);
    let in_force = match (accepted(&resent), accepted(&rivals)) {
        (Some(revision), None) => (own.digest(), revision),
        (None, Some(revision)) => (other.digest(), revision),
        both => panic!("seed {seed}, {actions} actions: one of two wins, not {both:?}"),
    };
    assert_eq!(accepted(&third), accepted(&resent));
    let (digest, revision) = in_force.clone();
    let taken = NoteAnswer::VersionTaken { digest, revision };
    for loser in [resent, third, rivals] {
        assert!(accepted(&loser).is_some() || loser == taken, "{loser:?}");
    }
    for (digest, answer) in early.into_iter().skip(1) {
        let is_kept = match accepted(&answer) {
            Some(revision) => (digest, revision) == in_force,
            None => answer == taken,
        };
        assert!(
            is_kept,
            "seed {seed}, {actions} actions: {answer:?} was told"
        );
    }
    notes.world.heal();
    notes.until(20_000, "a whole group", |n| n.world.is_whole());
    for machine in &notes.machines {
        assert_eq!(*machine, notes.machines[0], "seed {seed}");
        assert_eq!(machine.in_force().revision, in_force.1);
    }
    notes.world.check_end();
    (in_force.0 == own.digest(), answered)
}

#[rstest]
#[case(Rival::Absent)]
#[case(Rival::First)]
#[case(Rival::Second)]
#[case(Rival::AtNextLeader)]
fn killed_leader(#[case] rival: Rival) {
    let (mut won, mut answered, mut runs) = (0, 0, 0);
    for actions in 0..ACTIONS {
        for seed in 0..12 {
            let (wins, told) = kill_while_accepting(seed, actions, rival);
            won += u32::from(wins);
            answered += u32::from(told);
            runs += 1;
        }
    }
    println!("rival={rival:?} runs={runs} own_won={won} told_before_kill={answered}");
    assert!(answered > 0, "some are killed after the answer");
    assert!(answered < runs, "some are killed before the answer");
}
