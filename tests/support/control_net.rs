//! Control replicas with a simulated consensus, and an in-memory network that can drop messages.

#![allow(dead_code, reason = "each test file uses some of these")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use futures::{SinkExt, StreamExt};
use marjoramknot::control::{
    Client, Command, Connection, ControlApiClient, ControlApiResponse, ControlOptions,
    ControlService, Dialer, GroupStatus, SharedStateMachine,
};
use marjoramknot::entry::exchange::{Exchange, ExchangeOptions};
use marjoramknot::kernel::Clock;
use marjoramknot::replica::{Applied, Handle, Leadership, Proposal, ProposeError};
use marjoramknot::units::{Incarnation, LogIndex, Term};
use tarpc::{Response, client, transport};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// The committed log, shared by all fake replicas of a group.
pub type SharedLog = Arc<Mutex<Vec<Vec<u8>>>>;

/// A control replica whose consensus is a shared log, and whose leadership is set by the test.
pub struct FakeReplica {
    pub address: SocketAddr,
    pub state_machine: SharedStateMachine,
    pub service: ControlService,
    leadership: watch::Sender<Leadership>,
    /// While set, proposals are received but neither applied nor answered.
    pub stalled: Arc<AtomicBool>,
}

impl FakeReplica {
    pub async fn start(log: &SharedLog) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a loopback port is free");
        let state_machine = SharedStateMachine::default();
        let (proposals, receiver) = mpsc::channel(64);
        let leadership = watch::Sender::new(Leadership::default());
        let status = watch::Sender::new(GroupStatus {
            term: Term(1),
            leader: None,
            committed: LogIndex::ZERO,
            replicas: Vec::new(),
        });
        let stalled = Arc::new(AtomicBool::new(false));
        let consensus = FakeConsensus {
            log: Arc::clone(log),
            state_machine: state_machine.clone(),
            leadership: leadership.subscribe(),
            stalled: Arc::clone(&stalled),
        };
        tokio::spawn(consensus.run(receiver));
        let handle = Handle::new(proposals, leadership.subscribe(), status.subscribe());
        let options = ControlOptions::builder().build();
        let service = ControlService::start(options, handle, state_machine.clone(), listener)
            .expect("a bound listener has an address");
        Self {
            address: service.address(),
            state_machine,
            service,
            leadership,
            stalled,
        }
    }

    /// Applies the committed log and becomes the leader of `term`.
    pub fn become_leader(&self, log: &SharedLog, term: u64) {
        apply_committed(log, &self.state_machine);
        self.leadership.send_replace(Leadership {
            term: Term(term),
            leader: None,
            leader_address: Some(self.address),
            is_ready_leader: true,
            has_quorum: true,
        });
    }

    /// Commits a command that this replica's service did not propose.
    pub fn commit(&self, log: &SharedLog, command: &Command) {
        let bytes = postcard::to_allocvec(command).expect("a command encodes");
        log.lock()
            .expect("the log's lock is not poisoned")
            .push(bytes);
        apply_committed(log, &self.state_machine);
    }

    pub fn lose_quorum(&self) {
        self.leadership.send_modify(|seen| seen.has_quorum = false);
    }

    pub fn become_follower(&self, term: u64, leader: Option<SocketAddr>) {
        self.leadership.send_replace(Leadership {
            term: Term(term),
            leader: None,
            leader_address: leader,
            is_ready_leader: false,
            has_quorum: false,
        });
    }
}

struct FakeConsensus {
    log: SharedLog,
    state_machine: SharedStateMachine,
    leadership: watch::Receiver<Leadership>,
    stalled: Arc<AtomicBool>,
}

impl FakeConsensus {
    async fn run(self, mut proposals: mpsc::Receiver<Proposal>) {
        let mut stalled_proposals = Vec::new();
        while let Some(proposal) = proposals.recv().await {
            if self.stalled.load(Ordering::SeqCst) {
                stalled_proposals.push(proposal);
                continue;
            }
            let result = if self.leadership.borrow().is_ready_leader {
                Ok(self.commit(&proposal.command))
            } else {
                Err(ProposeError::NotLeader)
            };
            drop(proposal.reply.send(result));
        }
    }

    fn commit(&self, command: &[u8]) -> Applied {
        let mut log = self.log.lock().expect("the log's lock is not poisoned");
        log.push(command.to_vec());
        let index = LogIndex(log.len() as u64);
        let reply = (self.state_machine.hooks().apply)(index, command);
        Applied { index, reply }
    }
}

pub fn apply_committed(log: &SharedLog, state_machine: &SharedStateMachine) {
    let log = log.lock().expect("the log's lock is not poisoned");
    let mut hooks = state_machine.hooks();
    let applied = state_machine
        .read(marjoramknot::control::StateMachine::applied)
        .get();
    for (command, index) in log.iter().zip(1_u64..) {
        if index > applied {
            (hooks.apply)(LogIndex(index), command);
        }
    }
}

/// Faults on the links between one entry and one replica.
#[derive(Default)]
pub struct LinkFaults {
    pub drop_to_control: AtomicBool,
    pub drop_to_entry: AtomicBool,
    /// Drops answers to exchanges, but not those to reports.
    pub drop_exchange_answers: AtomicBool,
    /// Connections up to this number drop everything in both directions.
    pub blackholed_up_to: AtomicU64,
    pub opened_connections: AtomicU64,
}

impl LinkFaults {
    pub fn set(&self, drop_to_control: bool, drop_to_entry: bool) {
        self.drop_to_control
            .store(drop_to_control, Ordering::SeqCst);
        self.drop_to_entry.store(drop_to_entry, Ordering::SeqCst);
    }

    pub fn blackhole_open_connections(&self) {
        self.blackholed_up_to.store(
            self.opened_connections.load(Ordering::SeqCst),
            Ordering::SeqCst,
        );
    }

    fn is_blackholed(&self, connection: u64) -> bool {
        connection <= self.blackholed_up_to.load(Ordering::SeqCst)
    }
}

/// The network links from one entry to all replicas.
#[derive(Clone, Default)]
pub struct Network {
    replicas: Arc<Mutex<BTreeMap<SocketAddr, Arc<FakeReplica>>>>,
    link_faults: Arc<Mutex<BTreeMap<SocketAddr, Arc<LinkFaults>>>>,
}

impl Network {
    pub fn new(replicas: &[Arc<FakeReplica>]) -> Self {
        let network = Self::default();
        for replica in replicas {
            let replicas = &mut *network.replicas.lock().expect("the lock is not poisoned");
            replicas.insert(replica.address, Arc::clone(replica));
            let link_faults = &mut *network
                .link_faults
                .lock()
                .expect("the lock is not poisoned");
            link_faults.insert(replica.address, Arc::default());
        }
        network
    }

    pub fn link_faults(&self, address: SocketAddr) -> Arc<LinkFaults> {
        Arc::clone(&self.link_faults.lock().expect("the lock is not poisoned")[&address])
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        let replicas = self.replicas.lock().expect("the lock is not poisoned");
        replicas.keys().copied().collect()
    }

    pub fn client(&self) -> Client {
        let network = self.clone();
        let dialer: Dialer = Arc::new(move |address| {
            let network = network.clone();
            Box::pin(async move { Ok(network.dial(address).await) })
        });
        Client::with_dialer(self.addresses(), dialer)
    }

    pub fn entry(&self, id: &str, incarnation: u64) -> Exchange {
        let options = ExchangeOptions::builder()
            .entry(id.parse().expect("an id"))
            .incarnation(Incarnation(incarnation))
            .zone("senec".parse().expect("an id"))
            .client(self.client())
            .clock(Clock::start())
            .build();
        Exchange::start(options)
    }

    async fn dial(&self, address: SocketAddr) -> Connection {
        let faults = self.link_faults(address);
        if faults.drop_to_control.load(Ordering::SeqCst)
            || faults.drop_to_entry.load(Ordering::SeqCst)
        {
            std::future::pending::<()>().await;
        }
        let connection = faults.opened_connections.fetch_add(1, Ordering::SeqCst) + 1;
        let (client_end, near) = transport::channel::unbounded();
        let (far, server_end) = transport::channel::unbounded();
        let replica =
            Arc::clone(&self.replicas.lock().expect("the lock is not poisoned")[&address]);
        let server = replica.service.attach(server_end);
        let (mut client_tx, mut client_rx) = near.split();
        let (mut server_tx, mut server_rx) = far.split();
        let (up_faults, down_faults) = (Arc::clone(&faults), faults);
        let upward = async move {
            while let Some(Ok(message)) = client_rx.next().await {
                let lost = up_faults.drop_to_control.load(Ordering::SeqCst)
                    || up_faults.is_blackholed(connection);
                if !lost && server_tx.send(message).await.is_err() {
                    return;
                }
            }
        };
        let downward = async move {
            while let Some(Ok(message)) = server_rx.next().await {
                let lost = down_faults.drop_to_entry.load(Ordering::SeqCst)
                    || down_faults.is_blackholed(connection)
                    || down_faults.drop_exchange_answers.load(Ordering::SeqCst)
                        && is_exchange_answer(&message);
                if !lost && client_tx.send(message).await.is_err() {
                    return;
                }
            }
        };
        let new = ControlApiClient::new(client::Config::default(), client_end);
        let driver = tokio::spawn(async move {
            tokio::select! {
                ended = new.dispatch => drop(ended),
                ((), ()) = async { tokio::join!(upward, downward) } => {}
            }
            server.abort();
        });
        Connection::new(new.client, driver.abort_handle())
    }
}

fn is_exchange_answer(message: &Response<ControlApiResponse>) -> bool {
    matches!(message.message, Ok(ControlApiResponse::Exchange(_)))
}

/// Starts a service that commits each proposal after a delay, and a client that does not retry.
pub async fn slow_service(commit_after: std::time::Duration) -> (ControlService, ControlApiClient) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a loopback port is free");
    let state_machine = SharedStateMachine::default();
    let (proposals, mut receiver) = mpsc::channel::<Proposal>(64);
    let leadership = watch::Sender::new(Leadership {
        term: Term(1),
        leader: None,
        leader_address: None,
        is_ready_leader: true,
        has_quorum: true,
    });
    let status = watch::Sender::new(GroupStatus {
        term: Term(1),
        leader: None,
        committed: LogIndex::ZERO,
        replicas: Vec::new(),
    });
    let handle = Handle::new(proposals, leadership.subscribe(), status.subscribe());
    let applies = state_machine.clone();
    tokio::spawn(async move {
        let _senders = (leadership, status);
        let mut index = LogIndex::ZERO;
        while let Some(proposal) = receiver.recv().await {
            tokio::time::sleep(commit_after).await;
            index = index.next();
            let reply = (applies.hooks().apply)(index, &proposal.command);
            drop(proposal.reply.send(Ok(Applied { index, reply })));
        }
    });
    let options = ControlOptions::builder().build();
    let service = ControlService::start(options, handle, state_machine, listener)
        .expect("a bound listener has an address");
    let (near, far) = transport::channel::unbounded();
    service.attach(far);
    let client = ControlApiClient::new(client::Config::default(), near).spawn();
    (service, client)
}
