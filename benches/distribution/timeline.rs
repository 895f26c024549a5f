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
const LONG_POLL_HOLD_US: u64 = 1_000_000;
/// Pause between exchanges of the protocols without long polling.
const POLL_INTERVAL_US: u64 = 1_000_000;
/// Pause between an answer and the next long poll.
const PULL_PAUSE_US: u64 = 20_000;
const EXCHANGE_DEADLINE_US: u64 = 1_400_000;
const RECONCILE_INTERVAL_US: u64 = 30_000_000;
/// Warm-up time, which is left out of the figures.
const WARM_UP_US: u64 = 5_000_000;
/// Mean time between silent connections of one entry.
const SILENCE_INTERVAL_US: u64 = 600_000_000;
/// Size of a frame's length prefix.
const FRAME_BYTES: u64 = 4;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Protocol {
    Pull,
    Ask,
    Full,
    Push,
}

impl Protocol {
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
    ConfigChange,
    ConnectionSilent {
        entry: usize,
    },
    SendRequest {
        entry: usize,
    },
    RequestArrived {
        entry: usize,
        exchange_number: u64,
        bytes: Vec<u8>,
    },
    HoldExpired {
        entry: usize,
        exchange_number: u64,
    },
    AnswerArrived {
        entry: usize,
        exchange_number: u64,
        bytes: Vec<u8>,
    },
    PushArrived {
        entry: usize,
        bytes: Vec<u8>,
    },
    DeadlineExpired {
        entry: usize,
        exchange_number: u64,
    },
}

#[derive(Default)]
struct Entry {
    holder: GrantHolder,
    /// Configuration from pushed events and answers; staleness is measured on it.
    in_force_copy: Arc<ClusterConfig>,
    /// Number of the current exchange, starting from 1.
    exchange_number: u64,
    is_answered: bool,
    held_request: Option<ExchangeRequest>,
    is_silent: bool,
    changes_seen: usize,
    reconciled_us: u64,
}

pub(super) struct Timeline {
    protocol: Protocol,
    change_interval_us: u64,
    end_us: u64,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events_scheduled: u64,
    state_machine: StateMachine,
    index: u64,
    changes: Vec<(Revision, u64)>,
    entries: Vec<Entry>,
    rng: StdRng,
    bytes: u64,
    leader_ns: u128,
    entry_ns: u128,
    staleness_us: Vec<u64>,
}

impl Timeline {
    pub(super) fn new(protocol: Protocol, change_interval_us: u64, duration_s: u64) -> Self {
        let mut state_machine = StateMachine::default();
        state::apply_note(&mut state_machine, 1, state::target_size_note());
        assert_eq!(state_machine.in_force().revision, Revision(1));
        Self {
            protocol,
            change_interval_us,
            end_us: duration_s * 1_000_000,
            now_us: 0,
            events: BinaryHeap::new(),
            events_scheduled: 0,
            state_machine,
            index: 1,
            changes: Vec::new(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            rng: StdRng::seed_from_u64(4),
            bytes: 0,
            leader_ns: 0,
            entry_ns: 0,
            staleness_us: Vec::new(),
        }
    }

    /// Runs the timeline to its end and returns the figures without the warm-up.
    pub(super) fn run(mut self) -> Figures {
        self.schedule(10_000_000, Event::ConfigChange);
        for entry in 0..ENTRIES {
            self.schedule(entry as u64 * 110_000, Event::SendRequest { entry });
            self.schedule_silence(entry);
        }
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us >= self.end_us {
                break;
            }
            if self.now_us < WARM_UP_US && at_us >= WARM_UP_US {
                (self.bytes, self.leader_ns, self.entry_ns) = (0, 0, 0);
            }
            self.now_us = at_us;
            self.handle(event);
        }
        self.figures()
    }

    fn figures(mut self) -> Figures {
        let measured_us = self.end_us - WARM_UP_US;
        let per_second = |count: u64| count.saturating_mul(1_000_000) / measured_us;
        let cpu_us_s = |ns: u128| per_second(u64::try_from(ns).unwrap_or(u64::MAX)) / 1_000;
        let seen_counts = self.entries.iter().map(|entry| entry.changes_seen as u64);
        let unseen_changes = (self.changes.len() * ENTRIES) as u64 - seen_counts.sum::<u64>();
        self.staleness_us.sort_unstable();
        let count = self.staleness_us.len();
        let permille = |part: usize| self.staleness_us[(count * part / 1_000).min(count - 1)];
        let entries = ENTRIES as u64;
        Figures {
            bytes_s: per_second(self.bytes),
            entry_bytes_s: per_second(self.bytes) / entries,
            leader_cpu_us_s: cpu_us_s(self.leader_ns),
            entry_cpu_us_s: cpu_us_s(self.entry_ns) / entries,
            staleness_mean_us: self.staleness_us.iter().sum::<u64>() / count as u64,
            staleness_p99_us: permille(990),
            staleness_max_us: permille(1_000),
            unseen_changes,
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.events_scheduled += 1;
        self.events
            .push(Reverse((at_us, self.events_scheduled, event)));
    }

    fn schedule_silence(&mut self, entry: usize) {
        let after_us = self
            .rng
            .random_range(SILENCE_INTERVAL_US / 2..SILENCE_INTERVAL_US * 3 / 2);
        self.schedule(self.now_us + after_us, Event::ConnectionSilent { entry });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ConfigChange => self.change_config(),
            Event::ConnectionSilent { entry } => {
                self.entries[entry].is_silent = true;
                self.schedule_silence(entry);
            }
            Event::SendRequest { entry } => self.send_request(entry),
            Event::RequestArrived {
                entry,
                exchange_number,
                bytes,
            } => self.handle_request(entry, exchange_number, &bytes),
            Event::HoldExpired {
                entry,
                exchange_number,
            } => {
                if self.entries[entry].exchange_number == exchange_number {
                    self.answer_held(entry);
                }
            }
            Event::AnswerArrived {
                entry,
                exchange_number,
                bytes,
            } => self.handle_answer(entry, exchange_number, &bytes),
            Event::PushArrived { entry, bytes } => self.handle_push(entry, &bytes),
            Event::DeadlineExpired {
                entry,
                exchange_number,
            } => {
                let entry_state = &mut self.entries[entry];
                if entry_state.exchange_number == exchange_number && !entry_state.is_answered {
                    entry_state.is_silent = false;
                    entry_state.held_request = None;
                    self.send_request(entry);
                }
            }
        }
    }

    fn change_config(&mut self) {
        self.index += 1;
        let note = state::change_note(self.index);
        let shared_note = Arc::new(note.clone());
        state::apply_note(&mut self.state_machine, self.index, note);
        let revision = Revision(self.index);
        assert_eq!(self.state_machine.in_force().revision, revision);
        self.changes.push((revision, self.now_us));
        if self.now_us + 10_000_000 < self.end_us {
            self.schedule(self.now_us + self.change_interval_us, Event::ConfigChange);
        }
        for entry in 0..ENTRIES {
            if self.protocol == Protocol::Push {
                let notes = vec![(revision, Arc::clone(&shared_note))];
                let update = StateUpdate::Delta { notes };
                let bytes = self.encode_answer(0, update, false);
                if !self.entries[entry].is_silent {
                    self.schedule(self.now_us + DELAY_US, Event::PushArrived { entry, bytes });
                }
            } else {
                self.answer_held(entry);
            }
        }
    }

    fn send_request(&mut self, entry: usize) {
        let started = Instant::now();
        let entry_state = &mut self.entries[entry];
        entry_state.exchange_number += 1;
        entry_state.is_answered = false;
        let sent = entry_state
            .holder
            .begin_exchange(Millis(self.now_us / 1_000));
        let bytes = encode_request(entry, entry_state.exchange_number, sent);
        self.entry_ns += started.elapsed().as_nanos();
        self.bytes += bytes.len() as u64 + FRAME_BYTES;
        let (exchange_number, is_silent) = (entry_state.exchange_number, entry_state.is_silent);
        if !is_silent {
            let arrival = Event::RequestArrived {
                entry,
                exchange_number,
                bytes,
            };
            self.schedule(self.now_us + DELAY_US, arrival);
        }
        self.schedule(
            self.now_us + EXCHANGE_DEADLINE_US,
            Event::DeadlineExpired {
                entry,
                exchange_number,
            },
        );
    }

    fn handle_request(&mut self, entry: usize, exchange_number: u64, bytes: &[u8]) {
        let started = Instant::now();
        let request = decode_request(bytes);
        self.leader_ns += started.elapsed().as_nanos();
        let is_new = request.revision != self.state_machine.in_force().revision;
        self.entries[entry].held_request = Some(request);
        if self.protocol == Protocol::Pull && !is_new {
            let expiry = Event::HoldExpired {
                entry,
                exchange_number,
            };
            self.schedule(self.now_us + LONG_POLL_HOLD_US, expiry);
        } else {
            self.answer_held(entry);
        }
    }

    fn answer_held(&mut self, entry: usize) {
        let Some(request) = self.entries[entry].held_request.take() else {
            return;
        };
        let started = Instant::now();
        let in_force = self.state_machine.in_force();
        let is_due = self.now_us >= self.entries[entry].reconciled_us + RECONCILE_INTERVAL_US;
        let update = match self.protocol {
            Protocol::Pull => self.state_machine.update_since(request.revision),
            Protocol::Ask if request.revision == in_force.revision => StateUpdate::Current,
            Protocol::Push if !is_due && request.revision != Revision::ZERO => StateUpdate::Current,
            Protocol::Ask | Protocol::Full | Protocol::Push => StateUpdate::Full(in_force),
        };
        if matches!(update, StateUpdate::Full(_)) {
            self.entries[entry].reconciled_us = self.now_us;
        }
        self.leader_ns += started.elapsed().as_nanos();
        let bytes = self.encode_answer(request.sequence.get(), update, true);
        if !self.entries[entry].is_silent {
            let exchange_number = self.entries[entry].exchange_number;
            let arrival = Event::AnswerArrived {
                entry,
                exchange_number,
                bytes,
            };
            self.schedule(self.now_us + DELAY_US, arrival);
        }
    }

    fn encode_answer(&mut self, sequence: u64, update: StateUpdate, has_grant: bool) -> Vec<u8> {
        let started = Instant::now();
        let answer = ExchangeAnswer {
            sequence: sequence.into(),
            grant: has_grant.then_some(Grant {
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

    fn handle_answer(&mut self, entry: usize, exchange_number: u64, bytes: &[u8]) {
        let started = Instant::now();
        let answer = decode_answer(bytes);
        let entry_state = &mut self.entries[entry];
        if entry_state.exchange_number != exchange_number || entry_state.is_answered {
            return;
        }
        entry_state.is_answered = true;
        entry_state.holder.apply_answer(&answer);
        let received = Arc::clone(&entry_state.holder.state().in_force);
        if received.revision > entry_state.in_force_copy.revision {
            entry_state.in_force_copy = received;
        }
        self.entry_ns += started.elapsed().as_nanos();
        self.record_staleness(entry);
        let pause_us = if self.protocol == Protocol::Pull {
            PULL_PAUSE_US
        } else {
            POLL_INTERVAL_US
        };
        self.schedule(self.now_us + pause_us, Event::SendRequest { entry });
    }

    /// Applies a pushed event if it is the next revision. After a gap, events are ignored until the
    /// next full reconciliation.
    fn handle_push(&mut self, entry: usize, bytes: &[u8]) {
        let started = Instant::now();
        let answer = decode_answer(bytes);
        let entry_state = &mut self.entries[entry];
        if let StateUpdate::Delta { notes } = answer.update {
            for (revision, note) in notes {
                if revision == entry_state.in_force_copy.revision.next() {
                    Arc::make_mut(&mut entry_state.in_force_copy).apply(&note, revision);
                }
            }
        }
        self.entry_ns += started.elapsed().as_nanos();
        self.record_staleness(entry);
    }

    fn record_staleness(&mut self, entry: usize) {
        let entry_state = &mut self.entries[entry];
        let revision = entry_state.in_force_copy.revision;
        while let Some((changed, at_us)) = self.changes.get(entry_state.changes_seen) {
            if *changed > revision {
                break;
            }
            entry_state.changes_seen += 1;
            self.staleness_us.push(self.now_us - at_us);
        }
    }
}
