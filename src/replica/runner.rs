use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use tracing::{error, info};

use super::core::{Action, Core, Event, NodeStatus, ProposalRefusal};
use super::lease::LeaseClock;
use super::options::AddressBook;
use super::peer::Links;
use super::writer::{DiskEvent, Writer};
use super::{
    Applied, Entry, Leadership, Message, Payload, Proposal, ProposeError, Result, StateMachineHooks,
};
use crate::control::{GroupStatus, ReplicaStatus};
use crate::units::{LogIndex, Millis, ReplicaId, Term};

/// Interval of the timer events for the consensus core.
const TICK: Duration = Duration::from_millis(20);
/// Interval at which the status for operators is updated.
const STATUS_INTERVAL: Millis = Millis(200);
/// How long a planned shutdown waits for the leadership transfer and pending proposals.
const STOP_TIMEOUT: Millis = Millis(3_000);

type Reply = oneshot::Sender<Result<Applied>>;

/// What a replica's task publishes to its handles.
pub(super) struct Published {
    pub(super) leadership: watch::Sender<Leadership>,
    pub(super) status: watch::Sender<GroupStatus>,
    /// Addresses at which entry processes reach the replicas of the group.
    pub(super) members: watch::Sender<Vec<SocketAddr>>,
}

/// The task of a replica. It passes events to the consensus core and executes its actions.
pub(super) struct Runner {
    core: Core,
    hooks: StateMachineHooks,
    links: Links,
    writer: Writer,
    published: Published,
    next_status_ms: Millis,
    lease: Arc<LeaseClock>,
    pending: BTreeMap<LogIndex, (Term, Reply)>,
    addresses: AddressBook,
    max_batch_proposals: usize,
    failed: bool,
}

impl Runner {
    pub(super) fn new(
        core: Core,
        hooks: StateMachineHooks,
        links: Links,
        writer: Writer,
        published: Published,
        addresses: AddressBook,
        max_batch_proposals: usize,
    ) -> Self {
        Self {
            core,
            hooks,
            links,
            writer,
            published,
            next_status_ms: Millis::ZERO,
            lease: Arc::new(LeaseClock::start()),
            pending: BTreeMap::new(),
            addresses,
            max_batch_proposals,
            failed: false,
        }
    }

    pub(super) fn lease(&self) -> Arc<LeaseClock> {
        Arc::clone(&self.lease)
    }

    pub(super) async fn run(
        mut self,
        mut proposals: mpsc::Receiver<Proposal>,
        mut messages: mpsc::Receiver<Message>,
        mut disk: mpsc::UnboundedReceiver<DiskEvent>,
        shutdown: CancellationToken,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        let mut stopping: Option<Millis> = None;
        let mut is_open = true;
        while !self.failed && !self.may_stop(stopping) {
            tokio::select! {
                () = shutdown.cancelled(), if stopping.is_none() => {
                    stopping = Some(self.lease.now().saturating_add(STOP_TIMEOUT));
                    self.handle(Event::TransferLeadership);
                }
                Some(event) = disk.recv() => self.handle_disk_event(event),
                Some(message) = messages.recv() => self.handle(Event::Received(Box::new(message))),
                received = proposals.recv_many(&mut batch, self.max_batch_proposals), if is_open => {
                    // The replica keeps serving its peers after all handles are dropped.
                    is_open = received > 0;
                    self.propose_batch(&mut batch);
                }
                _ = tick.tick() => self.handle(Event::Tick),
            }
            self.publish();
        }
        self.stop(proposals).await;
    }

    /// Whether a planned shutdown is complete: no proposal is pending, and another replica leads or
    /// there is no other voter. It is also complete at its deadline.
    fn may_stop(&self, stopping: Option<Millis>) -> bool {
        let Some(until) = stopping else {
            return false;
        };
        let no_other_voters = self.core.members().is_none_or(|m| m.voters.len() <= 1);
        let is_leader = self.core.is_leader();
        let transferred = !is_leader && self.core.leader().is_some();
        let drained = self.pending.is_empty() && (no_other_voters || transferred);
        drained || self.lease.now() >= until
    }

    async fn stop(mut self, mut proposals: mpsc::Receiver<Proposal>) {
        self.lease.set(Millis::ZERO);
        self.fail_pending();
        proposals.close();
        while let Ok(proposal) = proposals.try_recv() {
            answer(proposal.reply, Err(ProposeError::NotLeader));
        }
        self.published.leadership.send_replace(Leadership {
            term: self.core.term(),
            ..Leadership::default()
        });
        drop(self.links);
        self.writer.finish().await;
        info!(event = "replica_stopped", failed = self.failed);
    }

    fn handle_disk_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Persisted(sequence) => self.handle(Event::Persisted { sequence }),
            DiskEvent::Full(full) => self.handle(Event::DiskFull(full)),
            DiskEvent::Failed(cause) => {
                error!(event = "replica_failed", %cause);
                self.failed = true;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.lease.now();
        let actions = self.core.handle(event, now);
        self.perform(actions);
    }

    fn propose_batch(&mut self, batch: &mut Vec<Proposal>) {
        let now = self.lease.now();
        for proposal in batch.drain(..) {
            match self.core.propose(proposal.command) {
                Ok(index) => {
                    let term = self.core.term();
                    self.pending.insert(index, (term, proposal.reply));
                }
                Err(refusal) => answer(proposal.reply, Err(propose_error(refusal))),
            }
        }
        let actions = self.core.flush(now);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(message) => self.links.send(message),
                Action::Persist(update) => self.writer.write(update),
                Action::Apply(entries) => {
                    for entry in entries {
                        self.apply(&entry);
                    }
                }
                Action::Restore(snapshot) => {
                    if !(self.hooks.restore)(&snapshot.data) {
                        error!(event = "unknown_state", index = %snapshot.meta.index);
                        self.failed = true;
                    }
                }
                Action::TakeSnapshot { index } => {
                    let data = (self.hooks.snapshot)();
                    info!(event = "snapshot_taken", index = %index, bytes = data.len());
                    self.handle(Event::SnapshotTaken { index, data });
                }
            }
        }
        if !self.core.is_leader() && !self.pending.is_empty() {
            self.fail_pending();
        }
    }

    fn apply(&mut self, entry: &Entry) {
        let reply = match &entry.payload {
            Payload::Command(command) => (self.hooks.apply)(entry.index, command),
            Payload::Empty | Payload::Members(_) => Vec::new(),
        };
        let Some((term, pending)) = self.pending.remove(&entry.index) else {
            return;
        };
        let index = entry.index;
        let result = if term == entry.term {
            Ok(Applied { index, reply })
        } else {
            Err(ProposeError::NotLeader)
        };
        answer(pending, result);
    }

    fn fail_pending(&mut self) {
        for (_index, (_term, reply)) in std::mem::take(&mut self.pending) {
            answer(reply, Err(ProposeError::Uncertain));
        }
    }

    /// Publishes the leadership if it has changed, and the status at a fixed interval.
    fn publish(&mut self) {
        let now = self.lease.now();
        let until = self.core.lease_until(now).unwrap_or(Millis::ZERO);
        self.lease.set(until);
        let leader = self.core.leader();
        let address = leader.and_then(|node| self.addresses.lookup(&node.name));
        let next = Leadership {
            term: self.core.term(),
            leader: leader.map(|node| node.name.clone()),
            leader_address: address.map(|peer| peer.control_address),
            is_ready_leader: self.core.is_ready_leader(),
            has_quorum: self.core.has_quorum(now),
        };
        let changed = self.published.leadership.send_if_modified(|present| {
            let differs = *present != next;
            *present = next;
            differs
        });
        if changed {
            self.log_leadership();
        }
        if changed || now >= self.next_status_ms {
            self.next_status_ms = now.saturating_add(STATUS_INTERVAL);
            self.publish_status(now);
        }
    }

    fn log_leadership(&self) {
        let now = self.published.leadership.borrow();
        let leader = now.leader.as_ref().map_or("none", ReplicaId::as_str);
        let (term, leads, has_quorum) = (now.term, now.is_ready_leader, now.has_quorum);
        info!(event = "leadership", %term, leader, leads, has_quorum);
    }

    fn publish_metrics(&self) {
        metrics::gauge!("replica_term").set(gauge_value(self.core.term().get()));
        metrics::gauge!("replica_committed").set(gauge_value(self.core.committed().get()));
        let dropped = self.core.dropped();
        let causes = [
            ("other_group", dropped.other_group),
            ("other_receiver", dropped.other_receiver),
            ("unknown_sender", dropped.unknown_sender),
            ("stale_term", dropped.stale_term),
        ];
        for (cause, count) in causes {
            metrics::counter!("replica_messages_dropped", "cause" => cause).absolute(count);
        }
    }

    fn publish_status(&self, now: Millis) {
        self.publish_metrics();
        let nodes = self.core.node_statuses(now);
        self.publish_members(&nodes);
        let replicas = nodes.into_iter().map(|state| ReplicaStatus {
            replica: state.node.name,
            folder: Some(state.node.folder),
            voter: state.voter,
            matched: state.match_index,
            silent_ms: state.silent_ms,
        });
        self.published.status.send_replace(GroupStatus {
            term: self.core.term(),
            leader: self.core.leader().map(|node| node.name.clone()),
            committed: self.core.committed(),
            replicas: replicas.collect(),
        });
    }

    fn publish_members(&self, nodes: &[NodeStatus]) {
        let addresses = nodes
            .iter()
            .filter_map(|status| self.addresses.lookup(&status.node.name));
        let mut members: Vec<_> = addresses.map(|peer| peer.control_address).collect();
        members.sort_unstable();
        self.published.members.send_if_modified(|published| {
            let differs = *published != members;
            *published = members;
            differs
        });
    }
}

/// Converts a term or log index to the floating-point value of a gauge. Values above `u32::MAX` are
/// reported as `u32::MAX`.
fn gauge_value(number: u64) -> f64 {
    u32::try_from(number).map_or(f64::from(u32::MAX), f64::from)
}

fn answer(reply: Reply, result: Result<Applied>) {
    // The proposer may have stopped waiting.
    drop(reply.send(result));
}

fn propose_error(refusal: ProposalRefusal) -> ProposeError {
    let reason = match refusal {
        ProposalRefusal::NotLeader => return ProposeError::NotLeader,
        ProposalRefusal::DiskFull => "the disk is full",
        ProposalRefusal::UncommittedLimit => "too many changes wait to be committed",
        ProposalRefusal::TooLarge => "the change is too large",
    };
    ProposeError::Refused {
        reason: reason.to_owned(),
    }
}
