use rand::RngExt;

use super::{Core, RecoveredState};
use crate::replica::{MessageBody, Node};
use crate::units::{Millis, Term};

/// The leader whose lease may rely on an answer that this replica gave before it started.
///
/// A replica records the leader of its term as its vote before the first answer to that leader. It
/// changes to a later term as candidate or voter only when no earlier lease relies on its answers.
/// So the recorded vote names the only leader whose lease it must respect.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum PriorLease {
    /// It is not known who led.
    Unknown,
    /// This node may have led this term, and may still do so.
    Other { leader: Node, term: Term },
    /// This replica itself was a candidate or the leader, and followed no other leader in that term.
    Own,
    /// There is no such leader, or it has shown that it leads no more.
    None,
}

impl PriorLease {
    pub(super) fn of(recovered: &RecoveredState, own: &Node) -> Self {
        let hard_state = &recovered.hard_state;
        if recovered.snapshot.is_none() {
            return Self::None;
        }
        match &hard_state.vote {
            Some(vote) if recovered.vote_names_leader && vote == own => Self::Own,
            Some(vote) if recovered.vote_names_leader => Self::Other {
                leader: vote.clone(),
                term: hard_state.term,
            },
            _ => Self::Unknown,
        }
    }

    pub(super) const fn may_be_held(&self) -> bool {
        matches!(self, Self::Unknown | Self::Other { .. })
    }
}

impl Core {
    /// Stops waiting for the lease of the leader before the start, once that leader has shown that
    /// it leads that term no more: it is in a later term, or asks for votes in one. It can't become
    /// the leader of that term again, so the message may be delayed by any time.
    pub(super) fn note_prior_leader(
        &mut self,
        from: &Node,
        sender_term: Term,
        body: &MessageBody,
        now: Millis,
    ) {
        let PriorLease::Other { leader, term } = &self.prior_lease else {
            return;
        };
        let newest_term = match body {
            MessageBody::PreVoteRequest { next_term, .. } => *next_term,
            _ => sender_term,
        };
        if from != leader || newest_term <= *term {
            return;
        }
        self.prior_lease = PriorLease::None;
        // A newer leader's lease may rely on an answer of this replica, also after it has entered a
        // later term and knows no leader.
        if self.leader.is_none() && self.leader_contact_ms.is_none() {
            // The former leader's log may lack entries that this replica has.
            self.schedule_election_retry(now);
        }
    }

    /// Whether this replica was the leader or a candidate before it started and has met no leader
    /// since, so that it campaigns without waiting.
    pub(super) fn campaigns_early(&self, now: Millis) -> bool {
        self.prior_lease == PriorLease::Own
            && self.leader_contact_ms.is_none()
            && now < self.started_ms.saturating_add(self.config.election_max_ms)
    }

    /// Schedules the next pre-vote shortly after this one: after a power loss the other replicas
    /// start at about the same time, and a pre-vote disturbs no leader.
    pub(super) fn schedule_early_retry(&mut self, now: Millis) {
        let longest_ms = (self.config.election_min_ms.get() / 6).max(2);
        let delay_ms = self.rng.random_range(longest_ms / 2..=longest_ms);
        self.election_deadline_ms = now.saturating_add(Millis(delay_ms));
    }
}
