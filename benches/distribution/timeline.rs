use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Instant;

use marjoramknot::control::{
    ExchangeAnswer, ExchangeRequest, GRANT_MS, Grant, StateMachine, StateUpdate,
};
use marjoramknot::entry::GrantHolder;
use marjoramknot::release_note::ClusterConfig;
use marjoramknot::units::{Millis, Revision, Term};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::figures::Figures;
use super::messages::{decode_answer, decode_request, encode_answer, encode_request};
use super::state;

const ENTRIES: usize = 9;
/// One-way network delay between availability zones.
const DELAY_US: u64 = 1_400;
/// Maximum time for which the leader holds a long poll.
const HOLD_US: u64 = 1_000_000;
/// Pause between exchanges of the protocols without long polling.
const PERIOD_US: u64 = 1_000_000;
/// Pause between an answer and the next long poll.
const PACE_US: u64 = 20_000;
const DEADLINE_US: u64 = 1_400_000;
const RECONCILE_US: u64 = 30_000_000;
/// Warm-up time, which is left out of the figures.
const START_US: u64 = 5_000_000;
/// Mean time between silent connections of one entry.
const SILENCE_US: u64 = 600_000_000;
/// Size of a frame's length prefix.
const FRAME_BYTES: u64 = 4;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Way {
    Pull,
    Ask,
    Full,
    Push,
}

impl Way {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Pull => "pull",
            Self::Ask => "ask",
            Self::Full => "full",
            Self::Push => "push",
        }
    }
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Change,
    Silence {
        entry: usize,
    },
    Send {
        entry: usize,
    },
    Arrive {
        entry: usize,
        number: u64,
        bytes: Vec<u8>,
    },
    HoldEnds {
        entry: usize,
        number: u64,
    },
    Answered {
        entry: usize,
        number: u64,
        bytes: Vec<u8>,
    },
    Pushed {
        entry: usize,
        bytes: Vec<u8>,
    },
    Deadline {
        entry: usize,
        number: u64,
    },
}

#[derive(Default)]
struct Entry {
    holder: GrantHolder,
    /// Configuration from pushed events and answers; staleness is measured on it.
    pushed: Arc<ClusterConfig>,
    /// Number of the current exchange, starting from 1.
    number: u64,
    answered: bool,
    held: Option<ExchangeRequest>,
    silent: bool,
    seen: usize,
    reconciled_us: u64,
}

pub(super) struct Timeline {
    way: Way,
    every_us: u64,
    end_us: u64,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    queued: u64,
    machine: StateMachine,
    index: u64,
    changes: Vec<(Revision, u64)>,
    entries: Vec<Entry>,
    random: StdRng,
    bytes: u64,
    leader_ns: u128,
    entry_ns: u128,
    staleness_us: Vec<u64>,
}

impl Timeline {
    pub(super) fn new(way: Way, every_us: u64, span_s: u64) -> Self {
        let mut machine = StateMachine::default();
        state::apply(&mut machine, 1, state::first_note());
        assert_eq!(machine.in_force().revision, Revision(1));
        Self {
            way,
            every_us,
            end_us: span_s * 1_000_000,
            now_us: 0,
            events: BinaryHeap::new(),
            queued: 0,
            machine,
            index: 1,
            changes: Vec::new(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            random: StdRng::seed_from_u64(4),
            bytes: 0,
            leader_ns: 0,
            entry_ns: 0,
            staleness_us: Vec::new(),
        }
    }

    /// Runs the timeline to its end and returns the figures without the warm-up.
    pub(super) fn run(mut self) -> Figures {
        self.queue(10_000_000, Event::Change);
        for entry in 0..ENTRIES {
            self.queue(entry as u64 * 110_000, Event::Send { entry });
            self.queue_silence(entry);
        }
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us >= self.end_us {
                break;
            }
            if self.now_us < START_US && at_us >= START_US {
                (self.bytes, self.leader_ns, self.entry_ns) = (0, 0, 0);
            }
            self.now_us = at_us;
            self.handle(event);
        }
        self.figures()
    }

    fn figures(mut self) -> Figures {
        let span_us = self.end_us - START_US;
        let per_second = |count: u64| count.saturating_mul(1_000_000) / span_us;
        let cpu_us_s = |ns: u128| per_second(u64::try_from(ns).unwrap_or(u64::MAX)) / 1_000;
        let seen = self.entries.iter().map(|entry| entry.seen as u64);
        let missing = (self.changes.len() * ENTRIES) as u64 - seen.sum::<u64>();
        self.staleness_us.sort_unstable();
        let count = self.staleness_us.len();
        let at = |part: usize| self.staleness_us[(count * part / 1_000).min(count - 1)];
        let entries = ENTRIES as u64;
        Figures {
            bytes_s: per_second(self.bytes),
            entry_bytes_s: per_second(self.bytes) / entries,
            leader_cpu_us_s: cpu_us_s(self.leader_ns),
            entry_cpu_us_s: cpu_us_s(self.entry_ns) / entries,
            staleness_mean_us: self.staleness_us.iter().sum::<u64>() / count as u64,
            staleness_p99_us: at(990),
            staleness_max_us: at(1_000),
            missing,
        }
    }

    fn queue(&mut self, at_us: u64, event: Event) {
        self.queued += 1;
        self.events.push(Reverse((at_us, self.queued, event)));
    }

    fn queue_silence(&mut self, entry: usize) {
        let after_us = self.random.random_range(SILENCE_US / 2..SILENCE_US * 3 / 2);
        self.queue(self.now_us + after_us, Event::Silence { entry });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Change => self.change(),
            Event::Silence { entry } => {
                self.entries[entry].silent = true;
                self.queue_silence(entry);
            }
            Event::Send { entry } => self.send(entry),
            Event::Arrive {
                entry,
                number,
                bytes,
            } => self.arrive(entry, number, &bytes),
            Event::HoldEnds { entry, number } => {
                if self.entries[entry].number == number {
                    self.answer_held(entry);
                }
            }
            Event::Answered {
                entry,
                number,
                bytes,
            } => self.take_answer(entry, number, &bytes),
            Event::Pushed { entry, bytes } => self.take_event(entry, &bytes),
            Event::Deadline { entry, number } => {
                let known = &mut self.entries[entry];
                if known.number == number && !known.answered {
                    known.silent = false;
                    known.held = None;
                    self.send(entry);
                }
            }
        }
    }

    fn change(&mut self) {
        self.index += 1;
        let note = state::change(self.index);
        let shared = Arc::new(note.clone());
        state::apply(&mut self.machine, self.index, note);
        let revision = Revision(self.index);
        assert_eq!(self.machine.in_force().revision, revision);
        self.changes.push((revision, self.now_us));
        if self.now_us + 10_000_000 < self.end_us {
            self.queue(self.now_us + self.every_us, Event::Change);
        }
        for entry in 0..ENTRIES {
            if self.way == Way::Push {
                let notes = vec![(revision, Arc::clone(&shared))];
                let update = StateUpdate::Delta { notes };
                let bytes = self.encode_answer(0, update, false);
                if !self.entries[entry].silent {
                    self.queue(self.now_us + DELAY_US, Event::Pushed { entry, bytes });
                }
            } else {
                self.answer_held(entry);
            }
        }
    }

    fn send(&mut self, entry: usize) {
        let started = Instant::now();
        let known = &mut self.entries[entry];
        known.number += 1;
        known.answered = false;
        let sent = known.holder.begin_exchange(Millis(self.now_us / 1_000));
        let bytes = encode_request(entry, known.number, sent);
        self.entry_ns += started.elapsed().as_nanos();
        self.bytes += bytes.len() as u64 + FRAME_BYTES;
        let (number, silent) = (known.number, known.silent);
        if !silent {
            let arrive = Event::Arrive {
                entry,
                number,
                bytes,
            };
            self.queue(self.now_us + DELAY_US, arrive);
        }
        self.queue(self.now_us + DEADLINE_US, Event::Deadline { entry, number });
    }

    fn arrive(&mut self, entry: usize, number: u64, bytes: &[u8]) {
        let started = Instant::now();
        let request = decode_request(bytes);
        self.leader_ns += started.elapsed().as_nanos();
        let is_new = request.revision != self.machine.in_force().revision;
        self.entries[entry].held = Some(request);
        if self.way == Way::Pull && !is_new {
            let ends = Event::HoldEnds { entry, number };
            self.queue(self.now_us + HOLD_US, ends);
        } else {
            self.answer_held(entry);
        }
    }

    fn answer_held(&mut self, entry: usize) {
        let Some(request) = self.entries[entry].held.take() else {
            return;
        };
        let started = Instant::now();
        let in_force = self.machine.in_force();
        let is_due = self.now_us >= self.entries[entry].reconciled_us + RECONCILE_US;
        let update = match self.way {
            Way::Pull => self.machine.update_since(request.revision),
            Way::Ask if request.revision == in_force.revision => StateUpdate::Current,
            Way::Push if !is_due && request.revision != Revision::ZERO => StateUpdate::Current,
            Way::Ask | Way::Full | Way::Push => StateUpdate::Full(in_force),
        };
        if matches!(update, StateUpdate::Full(_)) {
            self.entries[entry].reconciled_us = self.now_us;
        }
        self.leader_ns += started.elapsed().as_nanos();
        let bytes = self.encode_answer(request.sequence.get(), update, true);
        if !self.entries[entry].silent {
            let number = self.entries[entry].number;
            let answered = Event::Answered {
                entry,
                number,
                bytes,
            };
            self.queue(self.now_us + DELAY_US, answered);
        }
    }

    fn encode_answer(&mut self, sequence: u64, update: StateUpdate, grants: bool) -> Vec<u8> {
        let started = Instant::now();
        let answer = ExchangeAnswer {
            sequence: sequence.into(),
            grant: grants.then_some(Grant {
                term: Term(1),
                length_ms: GRANT_MS,
            }),
            update,
            orders: Vec::new(),
            shares_version: 0,
            shares: None,
        };
        let bytes = encode_answer(answer);
        self.leader_ns += started.elapsed().as_nanos();
        self.bytes += bytes.len() as u64 + FRAME_BYTES;
        bytes
    }

    fn take_answer(&mut self, entry: usize, number: u64, bytes: &[u8]) {
        let started = Instant::now();
        let answer = decode_answer(bytes);
        let known = &mut self.entries[entry];
        if known.number != number || known.answered {
            return;
        }
        known.answered = true;
        known.holder.apply_answer(&answer);
        let held = Arc::clone(&known.holder.state().in_force);
        if held.revision > known.pushed.revision {
            known.pushed = held;
        }
        self.entry_ns += started.elapsed().as_nanos();
        self.note_seen(entry);
        let pause_us = if self.way == Way::Pull {
            PACE_US
        } else {
            PERIOD_US
        };
        self.queue(self.now_us + pause_us, Event::Send { entry });
    }

    /// Applies a pushed event if it is the next revision. After a gap, events are ignored until the
    /// next full reconciliation.
    fn take_event(&mut self, entry: usize, bytes: &[u8]) {
        let started = Instant::now();
        let answer = decode_answer(bytes);
        let known = &mut self.entries[entry];
        if let StateUpdate::Delta { notes } = answer.update {
            for (revision, note) in notes {
                if revision == known.pushed.revision.next() {
                    Arc::make_mut(&mut known.pushed).apply(&note, revision);
                }
            }
        }
        self.entry_ns += started.elapsed().as_nanos();
        self.note_seen(entry);
    }

    fn note_seen(&mut self, entry: usize) {
        let known = &mut self.entries[entry];
        let revision = known.pushed.revision;
        while let Some((changed, at_us)) = self.changes.get(known.seen) {
            if *changed > revision {
                break;
            }
            known.seen += 1;
            self.staleness_us.push(self.now_us - at_us);
        }
    }
}
