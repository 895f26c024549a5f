use std::sync::Arc;

use smol_str::SmolStr;

use crate::control::{EndpointShare, ExchangeAnswer, GRANT_MS, StateUpdate};
use crate::release_note::ClusterConfig;
use crate::units::{Millis, Revision, Sequence, Term};

/// What an entry may act on: the state in force, its shares and its grant.
#[derive(Clone, Debug, Default)]
pub struct EntryState {
    /// The state in force, as far as this entry knows.
    pub in_force: Arc<ClusterConfig>,
    /// This entry's shares of endpoints.
    pub shares: Arc<Vec<EndpointShare>>,
    /// The version of the shares.
    pub shares_version: u64,
    /// When the grant ends, by this process's clock; zero before the first.
    pub grant_until_ms: Millis,
}

impl EntryState {
    /// Whether new work may start at `now`.
    #[must_use]
    pub fn may_start(&self, now: Millis) -> bool {
        now < self.grant_until_ms
    }
}

/// What was sent with an exchange.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentExchange {
    /// Its sequence.
    pub sequence: Sequence,
    /// The revision that it named.
    pub revision: Revision,
    /// The version of the shares that it named.
    pub shares_version: u64,
}

/// What became of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerOutcome {
    /// It was applied.
    Applied,
    /// It was ignored, for example because it came late.
    Ignored {
        /// Why.
        cause: SmolStr,
    },
}

/// The entry's side of exchanges: a pure core.
///
/// State moves forward only, and a grant counts from when its exchange was sent, so that nothing the
/// network delays, repeats or reorders makes it longer.
#[derive(Clone, Debug, Default)]
pub struct GrantHolder {
    state: EntryState,
    term: Term,
    sequence: Sequence,
    outstanding: Option<(SentExchange, Millis)>,
    leaving: bool,
}

impl GrantHolder {
    /// What the entry may act on.
    #[must_use]
    pub const fn state(&self) -> &EntryState {
        &self.state
    }

    /// Whether the entry is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Begins an exchange that is sent at `now`; the one before can no longer be answered.
    ///
    /// The sequence skips a number where the one before was not answered, which tells the leader not
    /// to hold this one.
    pub fn begin_exchange(&mut self, now: Millis) -> SentExchange {
        if self.outstanding.is_some() {
            self.sequence = self.sequence.next();
        }
        self.sequence = self.sequence.next();
        let sent = SentExchange {
            sequence: self.sequence,
            revision: self.state.in_force.revision,
            shares_version: self.state.shares_version,
        };
        self.outstanding = Some((sent, now));
        sent
    }

    /// Takes an answer. Nothing of it counts unless it answers the outstanding exchange, comes from
    /// no older leader than the last, and does not lead back.
    pub fn apply_answer(&mut self, answer: &ExchangeAnswer) -> AnswerOutcome {
        let Some((sent, sent_ms)) = self.outstanding else {
            return ignored("no exchange is outstanding");
        };
        if answer.sequence != sent.sequence {
            return ignored("it answers another exchange");
        }
        if answer.grant.is_some_and(|grant| grant.term < self.term) {
            return ignored("a newer leader is known");
        }
        let Some(in_force) = self.updated_state(&answer.update) else {
            return ignored("its state is older");
        };
        self.outstanding = None;
        self.state.in_force = in_force;
        if let Some(shares) = &answer.shares {
            self.state.shares = Arc::new(shares.clone());
            self.state.shares_version = answer.shares_version;
        }
        if let Some(grant) = answer.grant {
            self.term = grant.term;
            let until_ms = sent_ms.saturating_add(grant.length_ms.min(GRANT_MS));
            if !self.leaving {
                self.state.grant_until_ms = self.state.grant_until_ms.max(until_ms);
            }
        }
        AnswerOutcome::Applied
    }

    /// Gives the grant up for a planned stop; no later answer renews it.
    pub const fn leave(&mut self) {
        self.leaving = true;
        self.state.grant_until_ms = Millis::ZERO;
    }

    /// The state that an update gives; none where it would lead back.
    fn updated_state(&self, update: &StateUpdate) -> Option<Arc<ClusterConfig>> {
        let own = &self.state.in_force;
        match update {
            StateUpdate::Current => Some(Arc::clone(own)),
            StateUpdate::Full(state) => (state.revision >= own.revision).then(|| Arc::clone(state)),
            StateUpdate::Delta { notes } => {
                let mut next = ClusterConfig::clone(own);
                for (revision, note) in notes {
                    if *revision <= next.revision {
                        return None;
                    }
                    next.apply(note, *revision);
                }
                Some(Arc::new(next))
            }
        }
    }
}

fn ignored(cause: &str) -> AnswerOutcome {
    AnswerOutcome::Ignored {
        cause: cause.into(),
    }
}
