use std::sync::Arc;

use smol_str::SmolStr;

use crate::control::{EndpointShare, ExchangeAnswer, GRANT_MS, StateUpdate};
use crate::release_note::ClusterConfig;
use crate::units::{Millis, Revision, Sequence, Term};

/// State that an entry may act on: the configuration in force, its shares and its grant.
#[derive(Clone, Debug, Default)]
pub struct EntryState {
    /// Cluster configuration in force, as far as this entry knows.
    pub in_force: Arc<ClusterConfig>,
    /// This entry's shares of endpoints.
    pub shares: Arc<Vec<EndpointShare>>,
    /// Version of the shares.
    pub shares_version: u64,
    /// End of the grant on this process's clock; zero before the first grant.
    pub grant_until_ms: Millis,
}

impl EntryState {
    /// Returns whether new work may start at `now`.
    #[must_use]
    pub fn may_start(&self, now: Millis) -> bool {
        now < self.grant_until_ms
    }
}

/// Contents of an exchange request that was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentExchange {
    /// Sequence number of the exchange.
    pub sequence: Sequence,
    /// Revision of the configuration in force that the exchange named.
    pub revision: Revision,
    /// Version of the shares that the entry held when the exchange began.
    pub shares_version: u64,
}

/// Result of processing an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerOutcome {
    /// The answer was applied.
    Applied,
    /// The answer was ignored, for example because it arrived late.
    Ignored {
        /// Why the answer was ignored.
        cause: SmolStr,
    },
}

/// The entry's side of exchanges, without I/O.
///
/// The state only moves forward, and a grant is counted from the time at which its exchange was
/// sent. Messages that the network delays, repeats or reorders therefore cannot prolong it.
#[derive(Clone, Debug, Default)]
pub struct GrantHolder {
    state: EntryState,
    term: Term,
    sequence: Sequence,
    outstanding: Option<(SentExchange, Millis)>,
    leaving: bool,
}

impl GrantHolder {
    /// Returns the state that the entry may act on.
    #[must_use]
    pub const fn state(&self) -> &EntryState {
        &self.state
    }

    /// Returns whether the entry is leaving.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Begins an exchange that is sent at `now`. The previous exchange can no longer be answered.
    ///
    /// If the previous exchange was not answered, a sequence number is skipped. This tells the
    /// leader not to hold the new exchange open.
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

    /// Applies an answer. It is ignored unless it answers the outstanding exchange, comes from a
    /// leader that is not older than the last one, and does not move the state backwards.
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

    /// Gives up the grant for a planned stop. Later answers do not renew it.
    pub const fn leave(&mut self) {
        self.leaving = true;
        self.state.grant_until_ms = Millis::ZERO;
    }

    /// Returns the state after an update, or `None` if the update would move the state backwards.
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
