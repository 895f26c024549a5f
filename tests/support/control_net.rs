//! A control service over a stand-in for consensus, and an in-memory network with cuts.

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

/// Records that all stand-ins of one group share: what a real group agrees on.
pub type SharedLog = Arc<Mutex<Vec<Vec<u8>>>>;

/// A control replica whose consensus is a shared log and a leadership set by the test.
pub struct FakeReplica {
    pub address: SocketAddr,
    pub state_machine: SharedStateMachine,
    pub service: ControlService,
    leadership: watch::Sender<Leadership>,
    /// While set, proposals are taken and neither applied nor answered.
    pub stalled: Arc<AtomicBool>,
}

impl FakeReplica {
    pub async fn start(log: &SharedLog) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a loopback port is free");
        let state_machine = SharedStateMachine::default();
        let (proposals, taken) = mpsc::channel(64);
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
        tokio::spawn(consensus.run(taken));
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

    /// Applies what the group has committed and leads in this term.
    pub fn lead(&self, log: &SharedLog, term: u64) {
        apply_all(log, &self.state_machine);
        self.leadership.send_replace(Leadership {
            term: Term(term),
            leader: None,
            leader_address: Some(self.address),
            is_ready_leader: true,
            has_quorum: true,
        });
    }

    /// Commits a record that this leader's service did not propose.
    pub fn commit(&self, log: &SharedLog, command: &Command) {
        let bytes = postcard::to_allocvec(command).expect("a command encodes");
        log.lock()
            .expect("no test thread panics with the log")
            .push(bytes);
        apply_all(log, &self.state_machine);
    }

    pub fn lose_quorum(&self) {
        self.leadership.send_modify(|seen| seen.has_quorum = false);
    }

    pub fn follow(&self, term: u64, leader: Option<SocketAddr>) {
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
        let mut kept = Vec::new();
        while let Some(proposal) = proposals.recv().await {
            if self.stalled.load(Ordering::SeqCst) {
                kept.push(proposal);
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
        let mut log = self.log.lock().expect("no test thread panics with the log");
        log.push(command.to_vec());
        let index = LogIndex(log.len() as u64);
        let reply = (self.state_machine.hooks().apply)(index, command);
        Applied { index, reply }
    }
}

pub fn apply_all(log: &SharedLog, state_machine: &SharedStateMachine) {
    let log = log.lock().expect("no test thread panics with the log");
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

/// What is lost on the way between one entry and one replica.
#[derive(Default)]
pub struct Cut {
    pub to_control: AtomicBool,
    pub to_entry: AtomicBool,
    /// Loses answers to exchanges and lets those to reports pass.
    pub exchanges: AtomicBool,
    /// Connections opened up to this number swallow everything.
    pub silent_up_to: AtomicU64,
    pub opened: AtomicU64,
}

impl Cut {
    pub fn set(&self, to_control: bool, to_entry: bool) {
        self.to_control.store(to_control, Ordering::SeqCst);
        self.to_entry.store(to_entry, Ordering::SeqCst);
    }

    pub fn silence_open(&self) {
        self.silent_up_to
            .store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn is_silent(&self, connection: u64) -> bool {
        connection <= self.silent_up_to.load(Ordering::SeqCst)
    }
}

/// The ways from one entry to all replicas.
#[derive(Clone, Default)]
pub struct Network {
    services: Arc<Mutex<BTreeMap<SocketAddr, Arc<FakeReplica>>>>,
    cuts: Arc<Mutex<BTreeMap<SocketAddr, Arc<Cut>>>>,
}

impl Network {
    pub fn new(replicas: &[Arc<FakeReplica>]) -> Self {
        let network = Self::default();
        for replica in replicas {
            let services = &mut *network.services.lock().expect("no panic holds it");
            services.insert(replica.address, Arc::clone(replica));
            let cuts = &mut *network.cuts.lock().expect("no panic holds it");
            cuts.insert(replica.address, Arc::default());
        }
        network
    }

    pub fn cut(&self, address: SocketAddr) -> Arc<Cut> {
        Arc::clone(&self.cuts.lock().expect("no panic holds it")[&address])
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        let services = self.services.lock().expect("no panic holds it");
        services.keys().copied().collect()
    }

    pub fn client(&self) -> Client {
        let network = self.clone();
        let dial: Dialer = Arc::new(move |address| {
            let network = network.clone();
            Box::pin(async move { Ok(network.dial(address).await) })
        });
        Client::with_dialer(self.addresses(), dial)
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
        let cut = self.cut(address);
        if cut.to_control.load(Ordering::SeqCst) || cut.to_entry.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let connection = cut.opened.fetch_add(1, Ordering::SeqCst) + 1;
        let (client_end, near) = transport::channel::unbounded();
        let (far, server_end) = transport::channel::unbounded();
        let replica = Arc::clone(&self.services.lock().expect("no panic holds it")[&address]);
        let server = replica.service.attach(server_end);
        let (mut near_out, mut near_in) = near.split();
        let (mut far_out, mut far_in) = far.split();
        let (up, down) = (Arc::clone(&cut), cut);
        let upward = async move {
            while let Some(Ok(message)) = near_in.next().await {
                let lost = up.to_control.load(Ordering::SeqCst) || up.is_silent(connection);
                if !lost && far_out.send(message).await.is_err() {
                    return;
                }
            }
        };
        let downward = async move {
            while let Some(Ok(message)) = far_in.next().await {
                let lost = down.to_entry.load(Ordering::SeqCst)
                    || down.is_silent(connection)
                    || down.exchanges.load(Ordering::SeqCst) && is_exchange(&message);
                if !lost && near_out.send(message).await.is_err() {
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

fn is_exchange(message: &Response<ControlApiResponse>) -> bool {
    matches!(message.message, Ok(ControlApiResponse::Exchange(_)))
}

/// A service whose proposals are committed after a while, and a client without retries.
pub async fn slow_service(commit_after: std::time::Duration) -> (ControlService, ControlApiClient) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a loopback port is free");
    let state_machine = SharedStateMachine::default();
    let (proposals, mut taken) = mpsc::channel::<Proposal>(64);
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
        let _kept = (leadership, status);
        let mut index = LogIndex::ZERO;
        while let Some(proposal) = taken.recv().await {
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
