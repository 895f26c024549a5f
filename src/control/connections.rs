use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::time::{Duration, Instant, timeout};
use tracing::{debug, info};

use super::dialer::{Connection, Dialer, OpaqueDialer};
use super::outage::{Outage, OutageAction, OutageEvent};
use crate::kernel::Clock;
use crate::telemetry::record_control_outage;
use crate::units::Millis;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a replica that failed is not tried again merely because another replica, or a hint,
/// names it as the leader.
const FAILED_REPLICA_BACKOFF: Duration = Duration::from_secs(1);

/// Open connections to the control replicas, and the replica that is assumed to be the leader.
#[derive(Debug)]
pub(super) struct Connections {
    dialer: OpaqueDialer,
    state: Mutex<State>,
    /// The replica that answered last as the leader.
    confirmed: watch::Sender<Option<SocketAddr>>,
    /// Whether no replica answers as the leader. Each receiver but that of the search itself belongs
    /// to a call that waits for a leader.
    lost: watch::Sender<bool>,
    clock: Clock,
}

#[derive(Debug, Default)]
struct State {
    /// The replicas that the settings name. All of them may have been replaced meanwhile.
    configured: Vec<SocketAddr>,
    /// The replicas of the group, as its leader named them last; empty until then.
    members: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    next_index: usize,
    open: HashMap<SocketAddr, Arc<Connection>>,
    /// When each replica failed that has not answered since.
    failed_at: HashMap<SocketAddr, Instant>,
    outage: Outage,
    /// Whether a task looks for the leader.
    is_searching: bool,
}

impl State {
    /// The replicas to try while no leader is known. Those of the settings are tried only once all
    /// known members have failed, because replaced ones cost a time-out each.
    fn candidates(&self) -> Vec<SocketAddr> {
        let is_reachable = |member: &SocketAddr| !self.failed_at.contains_key(member);
        let mut candidates = self.members.clone();
        if !self.members.iter().any(is_reachable) {
            let others = self.configured.iter();
            candidates.extend(others.filter(|address| !self.members.contains(address)));
        }
        candidates
    }

    /// Drops what is kept of replicas that neither the settings nor the group name any more.
    fn forget_removed(&mut self) {
        let Self {
            configured,
            members,
            leader,
            open,
            failed_at,
            ..
        } = self;
        let is_named = |address: &SocketAddr| {
            members.contains(address) || configured.contains(address) || *leader == Some(*address)
        };
        open.retain(|address, _connection| is_named(address));
        failed_at.retain(|address, _when| is_named(address));
    }
}

impl Connections {
    pub(super) fn new(addresses: Vec<SocketAddr>, dialer: Dialer) -> Self {
        let state = State {
            configured: addresses,
            ..State::default()
        };
        Self {
            dialer: OpaqueDialer(dialer),
            state: Mutex::new(state),
            confirmed: watch::Sender::new(None),
            lost: watch::Sender::new(false),
            clock: Clock::start(),
        }
    }

    /// Returns the replica to call: the leader if one is known, else the next one in rotation.
    pub(super) fn target(&self) -> Option<SocketAddr> {
        let state = self.lock();
        state.leader.or_else(|| {
            let candidates = state.candidates();
            let next = state.next_index.checked_rem(candidates.len())?;
            Some(candidates[next])
        })
    }

    /// Replaces the replicas that the settings name.
    pub(super) fn set_configured(&self, addresses: Vec<SocketAddr>) {
        let mut state = self.lock();
        if state.configured != addresses {
            info!(event = "control_seeds", addresses = ?addresses);
            state.configured = addresses;
            state.forget_removed();
        }
    }

    /// Replaces the replicas that are known to form the group. An empty list changes nothing.
    pub(super) fn set_members(&self, members: &[SocketAddr]) {
        let mut state = self.lock();
        if !members.is_empty() && state.members != members {
            info!(event = "control_members", addresses = ?members);
            state.members = members.to_vec();
            state.forget_removed();
        }
    }

    /// Sets the leader as told by another source, for example the replica in the same process.
    pub(super) fn hint_leader(&self, leader: SocketAddr) {
        let mut state = self.lock();
        let failed = state.failed_at.get(&leader);
        let is_avoided = failed.is_some_and(|when| when.elapsed() < FAILED_REPLICA_BACKOFF);
        if state.leader != Some(leader) && !is_avoided {
            state.leader = Some(leader);
        }
    }

    /// Returns the open connection to the replica, if there is one. One that the replica has closed
    /// is dropped, so that no call is sent on it in vain.
    fn known(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        let mut state = self.lock();
        if state.open.get(&address)?.is_closed() {
            state.open.remove(&address);
        }
        state.open.get(&address).map(Arc::clone)
    }

    /// Returns a connection to the replica, opening one if needed; none if it cannot be opened
    /// within [`CONNECT_TIMEOUT`].
    pub(super) async fn open(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        if let Some(known) = self.known(address) {
            return Some(known);
        }
        match timeout(CONNECT_TIMEOUT, (self.dialer.0)(address)).await {
            Ok(Ok(connection)) => {
                let connection = Arc::new(connection);
                let mut state = self.lock();
                let open = state.open.entry(address);
                Some(Arc::clone(open.or_insert(connection)))
            }
            Ok(Err(cause)) => {
                debug!(event = "control_unreachable", %address, %cause);
                None
            }
            Err(_elapsed) => {
                debug!(event = "control_unreachable", %address, cause = "timeout");
                None
            }
        }
    }

    /// Records that the replica answered as the leader.
    pub(super) fn confirm_leader(&self, address: SocketAddr) {
        let mut state = self.lock();
        if state.leader != Some(address) {
            info!(event = "control_leader", %address);
            state.leader = Some(address);
        }
        state.failed_at.remove(&address);
        self.record(&mut state, OutageEvent::LeaderAnswered);
        self.confirmed.send_if_modified(|confirmed| {
            let differs = *confirmed != Some(address);
            *confirmed = Some(address);
            differs
        });
    }

    /// Watches which replica answers as the leader.
    pub(super) fn watch_leader(&self) -> watch::Receiver<Option<SocketAddr>> {
        let mut leader = self.confirmed.subscribe();
        leader.mark_unchanged();
        leader
    }

    /// Handles the answer of a replica that is not the leader, which may name the leader. Returns
    /// whether a usable leader was named, so that the caller can retry at once.
    pub(super) fn redirect(&self, from: SocketAddr, leader: Option<SocketAddr>) -> bool {
        let mut state = self.lock();
        state.failed_at.remove(&from);
        let failed = |address: &SocketAddr| {
            let failed = state.failed_at.get(address);
            failed.is_some_and(|when| when.elapsed() < FAILED_REPLICA_BACKOFF)
        };
        let leader = leader.filter(|address| *address != from && !failed(address));
        state.leader = leader;
        if leader.is_none() {
            state.next_index = state.next_index.wrapping_add(1);
        }
        leader.is_some()
    }

    /// Closes a connection that failed or missed a deadline, so that no further call waits on it,
    /// and moves on to the next replica. A newer connection to the same replica is kept.
    pub(super) fn retire(&self, address: SocketAddr, connection: Option<&Arc<Connection>>) {
        let mut state = self.lock();
        let is_same = match (state.open.get(&address), connection) {
            (Some(open), Some(connection)) => Arc::ptr_eq(open, connection),
            (None, _) => true,
            (Some(_), None) => false,
        };
        if !is_same {
            return;
        }
        if state.open.remove(&address).is_some() {
            info!(event = "control_connection_retired", %address);
        }
        state.failed_at.insert(address, Instant::now());
        if state.leader.is_none_or(|leader| leader == address) {
            state.leader = None;
            state.next_index = state.next_index.wrapping_add(1);
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Records that an attempt that began at this time reached no leader.
    pub(super) fn record_failure(&self, began_ms: Millis) {
        let mut state = self.lock();
        self.record(&mut state, OutageEvent::AttemptFailed { began_ms });
    }

    /// Records that a leader answered outside these connections.
    pub(super) fn record_answer(&self) {
        let mut state = self.lock();
        self.record(&mut state, OutageEvent::LeaderAnswered);
    }

    fn record(&self, state: &mut State, event: OutageEvent) {
        let now = self.clock.now();
        match state.outage.handle(event, now) {
            Some(OutageAction::Lost { since_ms }) => {
                info!(event = "control_lost", since_ms = since_ms.get());
            }
            Some(OutageAction::Found { lost_ms }) => {
                info!(event = "control_found", lost_ms = lost_ms.get());
            }
            None if !state.outage.is_lost() => return,
            None => {}
        }
        record_control_outage(state.outage.lost_ms(now));
        let is_lost = state.outage.is_lost();
        self.lost
            .send_if_modified(|lost| std::mem::replace(lost, is_lost) != is_lost);
    }

    /// Whether no replica answers as the leader.
    pub(super) fn is_lost(&self) -> bool {
        self.lock().outage.is_lost()
    }

    /// How long no replica has answered as the leader.
    pub(super) fn lost_ms(&self) -> Millis {
        self.lock().outage.lost_ms(self.clock.now())
    }

    /// Watches whether no replica answers as the leader, for a call that waits for one.
    pub(super) fn watch_lost(&self) -> watch::Receiver<bool> {
        self.lost.subscribe()
    }

    /// Begins the search for the leader if there is none. It ends by [`Search::ends`], or when the
    /// returned value is dropped.
    pub(super) fn begin_search(self: &Arc<Self>) -> Option<Search> {
        let was_searching = std::mem::replace(&mut self.lock().is_searching, true);
        (!was_searching).then(|| Search {
            connections: Arc::clone(self),
            has_ended: false,
        })
    }

    /// The replicas to try while no leader is known.
    pub(super) fn candidates(&self) -> Vec<SocketAddr> {
        self.lock().candidates()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The search for the leader, of which there is at most one.
#[derive(Debug)]
pub(super) struct Search {
    connections: Arc<Connections>,
    has_ended: bool,
}

impl Search {
    /// Ends the search if a replica answers as the leader or no call waits for one. A call that
    /// begins to wait afterwards starts the next search.
    pub(super) fn ends(&mut self) -> bool {
        let mut state = self.connections.lock();
        if !state.outage.is_lost() || self.connections.lost.receiver_count() == 0 {
            state.is_searching = false;
            self.has_ended = true;
        }
        self.has_ended
    }
}

impl Drop for Search {
    /// Lets the next call start a new search if the task of this one has been cut off. After a
    /// regular end the next search may have begun already.
    fn drop(&mut self) {
        if !self.has_ended {
            self.connections.lock().is_searching = false;
        }
    }
}
