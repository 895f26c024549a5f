use std::collections::BTreeMap;

use super::limits::{
    BACKOFF_MAX_MS, BACKOFF_MIN_MS, BUSY_BACKOFF_MIN_MS, CLOSE_GRACE_MS, DISABLED_RETENTION_MS,
    FAILURE_THRESHOLD, IDLE_TIMEOUT_MS, NON_IDEMPOTENT_IDLE_MAX_MS,
};
use super::{AttemptOutcome, ConnectionId, EndpointInstance};
use crate::control::{EndpointCapacity, EndpointShare, EndpointUsage};
use crate::units::{Millis, Slots};

/// An open connection without a request.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    answered_ms: Millis,
}

/// A connection with a request in progress.
#[derive(Clone, Copy, Debug)]
struct ActiveConnection {
    new_connection: bool,
}

/// Connections, slots and health of one endpoint instance, as seen by one entry.
#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) share: EndpointShare,
    /// Whether new work may be sent to it.
    pub(super) enabled: bool,
    disabled_since_ms: Option<Millis>,
    active: BTreeMap<ConnectionId, ActiveConnection>,
    idle: BTreeMap<ConnectionId, IdleConnection>,
    /// Closed connections that the endpoint may not have noticed yet, by the time at which they
    /// stop counting as open.
    closing: Vec<Millis>,
    /// Total slots and connections abandoned on this instance, which it may still hold.
    abandoned: EndpointCapacity,
    /// Consecutive failures.
    failures: u32,
    backoff_ms: Millis,
    /// Time until which no work is sent to it.
    backoff_until_ms: Millis,
    /// Whether a single probe request must succeed before others are sent.
    probing: bool,
}

/// The connection to use for an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ConnectionChoice {
    /// Reuse an idle connection.
    Idle(ConnectionId),
    /// Open a new connection.
    New,
}

impl EndpointState {
    pub(super) const fn new(share: EndpointShare) -> Self {
        Self {
            abandoned: share.abandoned_acked,
            share,
            enabled: true,
            disabled_since_ms: None,
            active: BTreeMap::new(),
            idle: BTreeMap::new(),
            closing: Vec::new(),
            failures: 0,
            backoff_ms: Millis::ZERO,
            backoff_until_ms: Millis::ZERO,
            probing: false,
        }
    }

    /// Slots that count as used: those of attempts in progress, and abandoned ones that the leader
    /// has not yet deducted from the share.
    pub(super) fn slots_used(&self) -> u32 {
        let acked = self.share.abandoned_acked.slots;
        let abandoned = self.abandoned.slots.saturating_sub(acked);
        to_u32(self.active.len()).saturating_add(abandoned.get())
    }

    fn connections_used(&self) -> u32 {
        let acked = self.share.abandoned_acked.connections;
        let abandoned = self.abandoned.connections.saturating_sub(acked);
        let open = self.active.len() + self.idle.len() + self.closing.len();
        to_u32(open).saturating_add(abandoned.get())
    }

    pub(super) const fn enable(&mut self) {
        self.enabled = true;
        self.disabled_since_ms = None;
    }

    pub(super) fn disable(&mut self, now: Millis) {
        self.enabled = false;
        self.disabled_since_ms.get_or_insert(now);
    }

    /// Whether the state of this instance can be dropped.
    pub(super) fn is_removable(&self, now: Millis) -> bool {
        let since_ms = self.disabled_since_ms;
        let long_ago = since_ms.is_some_and(|since_ms| now.since(since_ms) > DISABLED_RETENTION_MS);
        let open = !self.active.is_empty() || !self.idle.is_empty();
        let all_acked = self.abandoned == self.share.abandoned_acked;
        !self.enabled && !open && (all_acked || long_ago)
    }

    /// Whether a slot is free and the endpoint is neither backed off nor being probed.
    fn has_slot(&self, now: Millis) -> bool {
        let probe_active = self.probing && !self.active.is_empty();
        let free_slot = self.slots_used() < self.share.slots.get();
        self.enabled && free_slot && !probe_active && now >= self.backoff_until_ms
    }

    /// Chooses the connection for one more request; none if it cannot be sent now.
    pub(super) fn choose_connection(
        &self,
        idempotent: bool,
        now: Millis,
    ) -> Option<ConnectionChoice> {
        if !self.has_slot(now) {
            return None;
        }
        let idle = self.best_idle(idempotent, now).map(ConnectionChoice::Idle);
        idle.or_else(|| self.choose_new_connection(now))
    }

    /// Chooses a new connection, if the share allows one more.
    pub(super) fn choose_new_connection(&self, now: Millis) -> Option<ConnectionChoice> {
        let room = self.connections_used() < self.share.connections.get();
        (self.has_slot(now) && room).then_some(ConnectionChoice::New)
    }

    /// The idle connection that answered most recently, which is the least likely to be dead.
    ///
    /// None while the endpoint is probed, because a probe must test a new connection.
    fn best_idle(&self, idempotent: bool, now: Millis) -> Option<ConnectionId> {
        if self.probing {
            return None;
        }
        let (connection, idle) = self.idle.iter().max_by_key(|(_, idle)| idle.answered_ms)?;
        let age_ms = now.since(idle.answered_ms);
        let young = if idempotent {
            age_ms < IDLE_TIMEOUT_MS
        } else {
            age_ms < NON_IDEMPOTENT_IDLE_MAX_MS
        };
        young.then_some(*connection)
    }

    /// The least recently used idle connection, if the share allows no further connection.
    pub(super) fn idle_to_evict(&self) -> Option<ConnectionId> {
        let full = self.connections_used() >= self.share.connections.get();
        let oldest = self.idle.iter().min_by_key(|(_, idle)| idle.answered_ms);
        oldest.filter(|_| full).map(|(connection, _)| *connection)
    }

    pub(super) fn start_attempt(&mut self, connection: ConnectionId, new_connection: bool) {
        self.idle.remove(&connection);
        self.active
            .insert(connection, ActiveConnection { new_connection });
    }

    /// Records the end of an attempt; returns true if idle connections can no longer be trusted.
    pub(super) fn end_attempt(
        &mut self,
        connection: ConnectionId,
        outcome: AttemptOutcome,
        now: Millis,
    ) -> bool {
        let Some(ActiveConnection { new_connection }) = self.active.remove(&connection) else {
            return false;
        };
        match outcome {
            AttemptOutcome::Completed { reusable } => {
                self.mark_healthy();
                self.keep_or_close(connection, reusable, now);
            }
            AttemptOutcome::Busy { reusable } => {
                self.probing = false;
                self.back_off(BUSY_BACKOFF_MIN_MS, now);
                self.keep_or_close(connection, reusable, now);
            }
            AttemptOutcome::Released { reusable } => self.keep_or_close(connection, reusable, now),
            AttemptOutcome::Abandoned => {
                self.abandoned.slots = self.abandoned.slots.next();
                self.mark_closing(now);
            }
            AttemptOutcome::ConnectFailed => self.record_failure(FAILURE_THRESHOLD, now),
            AttemptOutcome::NotSent => self.mark_closing(now),
            AttemptOutcome::Failed => {
                self.abandoned.slots = self.abandoned.slots.next();
                self.mark_closing(now);
                self.record_failure(1, now);
            }
            AttemptOutcome::TimedOut => {
                self.abandoned.slots = self.abandoned.slots.next();
                self.abandoned.connections = self.abandoned.connections.next();
                if new_connection {
                    self.record_failure(1, now);
                }
                return true;
            }
        }
        false
    }

    /// Records that an idle connection was closed.
    pub(super) fn close(&mut self, connection: ConnectionId, now: Millis) {
        if self.idle.remove(&connection).is_some() {
            self.mark_closing(now);
        }
    }

    /// Removes and returns the idle connections that are too old, last answered before
    /// `answered_before` or exceed the share; all of them if the endpoint is disabled.
    pub(super) fn take_stale(&mut self, answered_before: Millis, now: Millis) -> Vec<ConnectionId> {
        self.closing.retain(|until_ms| *until_ms > now);
        let disabled = !self.enabled;
        let mut stale: Vec<ConnectionId> = self
            .idle
            .iter()
            .filter(|(_, idle)| {
                disabled
                    || now.since(idle.answered_ms) >= IDLE_TIMEOUT_MS
                    || idle.answered_ms < answered_before
            })
            .map(|(connection, _)| *connection)
            .collect();
        let open = to_u32(self.active.len() + self.idle.len() - stale.len());
        let surplus = open.saturating_sub(self.share.connections.get());
        let kept = self.idle.keys().filter(|id| !stale.contains(id));
        let more: Vec<ConnectionId> = kept.take(surplus as usize).copied().collect();
        stale.extend(more);
        for connection in &stale {
            self.close(*connection, now);
        }
        stale
    }

    /// Reports the usage; a disabled endpoint or an entry without shares holds no capacity.
    pub(super) fn report(
        &self,
        instance: &EndpointInstance,
        waiting: u32,
        holds_shares: bool,
    ) -> EndpointUsage {
        let share = if self.enabled && holds_shares {
            EndpointCapacity {
                slots: self.share.slots,
                connections: self.share.connections,
            }
        } else {
            EndpointCapacity::default()
        };
        EndpointUsage {
            endpoint: instance.endpoint.clone(),
            incarnation: instance.incarnation,
            slots: Slots(self.slots_used()),
            connections: Slots(self.connections_used()),
            waiting,
            share,
            abandoned: self.abandoned,
            abandoned_acked: self.share.abandoned_acked,
        }
    }

    fn keep_or_close(&mut self, connection: ConnectionId, reusable: bool, now: Millis) {
        if reusable {
            self.idle
                .insert(connection, IdleConnection { answered_ms: now });
        } else {
            self.mark_closing(now);
        }
    }

    fn mark_closing(&mut self, now: Millis) {
        self.closing.push(now.saturating_add(CLOSE_GRACE_MS));
    }

    const fn mark_healthy(&mut self) {
        self.failures = 0;
        self.backoff_ms = Millis::ZERO;
        self.probing = false;
    }

    /// Counts failures. At the threshold the endpoint is backed off, for longer each time, and then
    /// probed with one request.
    fn record_failure(&mut self, failures: u32, now: Millis) {
        self.failures = self.failures.saturating_add(failures);
        if self.failures >= FAILURE_THRESHOLD {
            self.probing = true;
            self.back_off(BACKOFF_MIN_MS, now);
        }
    }

    fn back_off(&mut self, first_ms: Millis, now: Millis) {
        let doubled = Millis(self.backoff_ms.get().saturating_mul(2));
        self.backoff_ms = doubled.clamp(first_ms, BACKOFF_MAX_MS);
        self.backoff_until_ms = now.saturating_add(self.backoff_ms);
    }
}

fn to_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
