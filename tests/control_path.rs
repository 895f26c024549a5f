//! End to end over TCP: entry, control service and real replicas with their files.

#[path = "support/notes.rs"]
mod notes;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use assert_matches::assert_matches;
use marjoramknot::control::{
    Client, ControlOptions, ControlService, SharedStateMachine, StateMachine,
};
use marjoramknot::entry::exchange::{Exchange, ExchangeOptions};
use marjoramknot::kernel::Clock;
use marjoramknot::release_note::{Adjacency, NoteAnswer};
use marjoramknot::replica::{self, Leadership, Peer, ReplicaOptions};
use marjoramknot::scheduler::{JobKey, JobSpec, SubmitAnswer};
use marjoramknot::units::{Accelerators, Cores, Incarnation, MemoryMb, Millis, Revision};
use marjoramknot::workload::{WorkAnswer, WorkRequest};
use notes::{INITIAL_NOTE, deadline_note, note};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// How long the client waits for one attempt at a change.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// A control group of a single replica.
struct Replica {
    service: ControlService,
    state_machine: SharedStateMachine,
    task: JoinHandle<()>,
    shutdown: CancellationToken,
}

impl Replica {
    async fn start(folder: &Path) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        Self::start_on(folder, listener.expect("a free port")).await
    }

    async fn start_on(folder: &Path, listener: TcpListener) -> Self {
        let control_address = listener.local_addr().expect("a bound address");
        let peers = replica::bind("127.0.0.1:0".parse().expect("an address"));
        let options = ReplicaOptions::builder()
            .name("c1".parse().expect("an id"))
            .listener(peers.await.expect("a free port"))
            .control_address(control_address)
            .data_folder(folder.to_path_buf())
            .snapshot_entries(64)
            .build();
        let state_machine = SharedStateMachine::default();
        let shutdown = CancellationToken::new();
        let started = replica::start(options, state_machine.hooks(), shutdown.clone()).await;
        let (handle, task) = started.expect("the folder is usable");
        let options = ControlOptions::builder().build();
        let service = ControlService::start(options, handle, state_machine.clone(), listener)
            .expect("a bound listener has an address");
        Self {
            service,
            state_machine,
            task,
            shutdown,
        }
    }

    fn client(&self) -> Client {
        Client::new(vec![self.service.address()]).with_deadline(Millis(20_000))
    }

    async fn stop(self) {
        self.service.stop().await;
        self.shutdown.cancel();
        self.task.await.expect("the replica ends");
    }
}

fn entry(address: SocketAddr) -> Exchange {
    let options = ExchangeOptions::builder()
        .entry("e1".parse().expect("an id"))
        .incarnation(Incarnation(1))
        .zone("senec".parse().expect("an id"))
        .client(Client::new(vec![address]))
        .clock(Clock::start())
        .build();
    Exchange::start(options)
}

async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < Duration::from_secs(20), "{what}");
        sleep(Duration::from_millis(5)).await;
    }
    start.elapsed()
}

/// Restarts a replica from a snapshot and the log after it. The state must be the same, resent
/// notes must be recognized, and an entry must get its grant within 3 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_after_changes() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let replica = Replica::start(folder.path()).await;
    let client = replica.client();
    let first = client.apply_note(note(INITIAL_NOTE)).await;
    let first = assert_matches!(first, Ok(NoteAnswer::Accepted { revision }) => revision);
    let mut newest = first;
    for version in 2..=300 {
        let start = Instant::now();
        let answer = client.apply_note(deadline_note(version, version)).await;
        let revision = match answer {
            Ok(NoteAnswer::Accepted { revision }) => revision,
            // The client sends a note again whose commit takes longer than an attempt.
            Ok(NoteAnswer::AlreadyAccepted { revision }) if start.elapsed() >= ATTEMPT_TIMEOUT => {
                revision
            }
            other => panic!("note {version}: {other:?} after {:?}", start.elapsed()),
        };
        assert!(revision > newest, "revisions only rise");
        newest = revision;
    }
    let before = replica.state_machine.read(StateMachine::in_force);
    replica.stop().await;

    let replica = Replica::start(folder.path()).await;
    let client = replica.client();
    let entry = entry(replica.service.address());
    let same = client.apply_note(note(INITIAL_NOTE)).await;
    assert_eq!(same, Ok(NoteAnswer::AlreadyAccepted { revision: first }));
    let other = client.apply_note(deadline_note(7, 1)).await;
    assert_matches!(other, Ok(NoteAnswer::VersionTaken { .. }));
    assert_eq!(replica.state_machine.read(StateMachine::in_force), before);
    let state = entry.state();
    wait_until("the entry is current", || {
        state.borrow().in_force.revision == before.revision
    })
    .await;
    assert!(wait_until("the grant", || entry.may_start()).await < Duration::from_secs(3));
    replica.stop().await;
}

/// A TCP relay whose open connections can be made to drop all data.
struct Relay {
    address: SocketAddr,
    opened: Arc<AtomicU64>,
    blackholed_up_to: Arc<AtomicU64>,
}

impl Relay {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let relay = Self {
            address: listener.local_addr().expect("a bound address"),
            opened: Arc::default(),
            blackholed_up_to: Arc::default(),
        };
        let (opened, silent) = (
            Arc::clone(&relay.opened),
            Arc::clone(&relay.blackholed_up_to),
        );
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = opened.fetch_add(1, Ordering::SeqCst) + 1;
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                let (near_in, near_out) = near.into_split();
                let (far_in, far_out) = far.into_split();
                tokio::spawn(forward_bytes(near_in, far_out, number, Arc::clone(&silent)));
                tokio::spawn(forward_bytes(far_in, near_out, number, Arc::clone(&silent)));
            }
        });
        relay
    }

    fn blackhole_open_connections(&self) {
        self.blackholed_up_to
            .store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

async fn forward_bytes(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    number: u64,
    blackholed_up_to: Arc<AtomicU64>,
) {
    let mut bytes = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        let is_blackholed = number <= blackholed_up_to.load(Ordering::SeqCst);
        if !is_blackholed && to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connection_recovery() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let replica = Replica::start(folder.path()).await;
    let direct = replica.client();
    let first = direct.apply_note(note(INITIAL_NOTE)).await;
    assert_matches!(first, Ok(NoteAnswer::Accepted { .. }));
    let relay = Relay::start(replica.service.address()).await;
    let entry = entry(relay.address);
    wait_until("the grant", || entry.may_start()).await;
    for version in 2..4 {
        relay.blackhole_open_connections();
        let start = Instant::now();
        let answer = direct.apply_note(deadline_note(version, version)).await;
        let wanted = assert_matches!(answer, Ok(NoteAnswer::Accepted { revision }) => revision);
        let client = entry.client().clone();
        let status = client
            .status()
            .await
            .expect("an answer over a new connection");
        assert_eq!(status.revision, wanted);
        let state = entry.state();
        wait_until("the entry is current", || {
            state.borrow().in_force.revision == wanted
        })
        .await;
        let took = start.elapsed();
        println!("recovery_ms={}", took.as_millis());
        assert!(relay.opened.load(Ordering::SeqCst) >= version);
        assert!(took < Duration::from_secs(2), "{took:?}");
    }
    assert!(entry.state().borrow().in_force.revision > Revision::ZERO);
    replica.stop().await;
}

/// A call that waits for a replica without an answer is sent to the leader as soon as another call
/// has found it. It used to wait for its own time-out and was overtaken by later calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn found_leader_releases_waiting_calls() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let replica = Replica::start(folder.path()).await;
    let ready = replica.client().work(WorkRequest::CheckLeader).await;
    assert_matches!(ready, Ok(WorkAnswer::Done));
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let silent_address = silent.local_addr().expect("a bound address");
    let client = Client::new(vec![silent_address, replica.service.address()]);
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.work(WorkRequest::CheckLeader).await }
    });
    let (_held_open, _peer) = silent.accept().await.expect("the call connects");
    client.hint_leader(replica.service.address());
    let found = client.work(WorkRequest::CheckLeader).await;
    assert_matches!(found, Ok(WorkAnswer::Done));
    let released = timeout(Duration::from_millis(200), waiting).await;
    let answer = released.expect("the call is released before its own time-out of 450 ms");
    assert_matches!(answer, Ok(Ok(WorkAnswer::Done)));
    replica.stop().await;
}

/// More connections than a control replica accepts from entries at once.
const SILENT_CONNECTIONS: usize = 320;

/// Guards against a replica that serves no entry any more: connections whose other side lost power or
/// went silent stay open, and together they held all places.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_leave_room() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let replica = Replica::start(folder.path()).await;
    let early = replica.client();
    let before = early.work(WorkRequest::CheckLeader).await;
    assert_matches!(before, Ok(WorkAnswer::Done));
    let mut silent = Vec::new();
    for _ in 0..SILENT_CONNECTIONS {
        let connected = TcpStream::connect(replica.service.address()).await;
        silent.push(connected.expect("the kernel takes the connection"));
    }
    let late = replica.client().with_deadline(Millis(5_000));
    let answer = late.work(WorkRequest::CheckLeader).await;
    assert_matches!(answer, Ok(WorkAnswer::Done));
    let again = early.work(WorkRequest::CheckLeader).await;
    assert_matches!(again, Ok(WorkAnswer::Done));
    drop(silent);
    replica.stop().await;
}

/// A client leaves a leader that has closed its connection and whose port is closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_leader_is_left() {
    let folders = [(); 2].map(|()| tempfile::tempdir().expect("a temporary folder"));
    let first = Replica::start(folders[0].path()).await;
    let second = Replica::start(folders[1].path()).await;
    let addresses = vec![first.service.address(), second.service.address()];
    let client = Client::new(addresses).with_deadline(Millis(5_000));
    let before = client.work(WorkRequest::CheckLeader).await;
    assert_matches!(before, Ok(WorkAnswer::Done));
    first.stop().await;
    // The client's side of the connection ends meanwhile.
    sleep(Duration::from_millis(200)).await;
    let answer = client.work(WorkRequest::CheckLeader).await;
    assert_matches!(answer, Ok(WorkAnswer::Done));
    second.stop().await;
}

/// Invalid frames and messages close only the connection on which they arrive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_frames() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let replica = Replica::start(folder.path()).await;
    let client = replica.client();
    let first = client.apply_note(note(INITIAL_NOTE)).await;
    assert_matches!(first, Ok(NoteAnswer::Accepted { .. }));
    for bytes in [
        vec![0xff; 64],
        vec![0, 0, 0, 4, 9, 9, 9, 9],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
    ] {
        let mut stream = TcpStream::connect(replica.service.address())
            .await
            .expect("the service listens");
        stream.write_all(&bytes).await.expect("the bytes go out");
        stream.shutdown().await.expect("the stream closes");
        let mut rest = Vec::new();
        drop(stream.read_to_end(&mut rest).await);
    }
    let status = client.status().await.expect("the service answers");
    assert_eq!(status.revision, Revision(1).max(status.revision));
    replica.stop().await;
}

/// Changes in progress at a planned stop are finished, or made by the next leader, which here is
/// the same replica after its restart. None may fail or take effect twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_under_load() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let replica = Replica::start(folder.path()).await;
    let client = replica.client();
    let first = client.apply_note(note(INITIAL_NOTE)).await;
    assert_matches!(first, Ok(NoteAnswer::Accepted { .. }));
    let submits: Vec<_> = (0..400)
        .map(|index| {
            let client = client.clone();
            tokio::spawn(async move { client.submit_job(job(index)).await })
        })
        .collect();
    let state_machine = replica.state_machine.clone();
    wait_until("some changes", || {
        state_machine.read(StateMachine::applied).get() > 20
    })
    .await;
    let address = replica.service.address();
    replica.stop().await;
    let before = state_machine.read(StateMachine::unended_jobs).len();
    assert!(before >= 18, "{before}");
    let listener = TcpListener::bind(address).await.expect("its port");
    let replica = Replica::start_on(folder.path(), listener).await;
    for submit in submits {
        assert_eq!(
            submit.await.expect("the task ends"),
            Ok(SubmitAnswer::Accepted)
        );
    }
    // All answers may have come before the stop. The leader answers once it has replayed its log.
    let ready = replica.client().work(WorkRequest::CheckLeader).await;
    assert_matches!(ready, Ok(WorkAnswer::Done));
    let jobs = replica.state_machine.read(StateMachine::unended_jobs);
    assert_eq!(jobs.len(), 400);
    println!("before={before}");
    replica.stop().await;
}

fn job(index: u32) -> JobSpec {
    JobSpec {
        key: JobKey {
            team: "ponds".parse().expect("an id"),
            id: format!("job-{index}").parse().expect("an id"),
        },
        class: "rescore".parse().expect("an id"),
        tasks: 1,
        accelerators: Accelerators(1),
        cores: Cores(1),
        memory_mb: MemoryMb(1_024),
        adjacency: Adjacency::Zone,
        idempotent: true,
        made_ms: None,
        urgent: false,
        declared_run_ms: Millis(1_000),
        deadline_ms: None,
        payload: "work".into(),
    }
}

/// A control group of three replicas that communicate over TCP, as separate processes would.
struct Group {
    folders: Vec<tempfile::TempDir>,
    peers: Vec<Peer>,
    running: Vec<Option<Member>>,
}

struct Member {
    service: ControlService,
    task: JoinHandle<()>,
    shutdown: CancellationToken,
    leadership: watch::Receiver<Leadership>,
}

impl Group {
    async fn start() -> Self {
        let mut listeners = Vec::new();
        let mut peers = Vec::new();
        for name in ["c1", "c2", "c3"] {
            let peer = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            peers.push(Peer {
                name: name.parse().expect("an id"),
                peer_address: peer.local_addr().expect("a bound address"),
                control_address: control.local_addr().expect("a bound address"),
            });
            listeners.push((peer, control));
        }
        let folders = (0..3).map(|_| tempfile::tempdir().expect("a temporary folder"));
        let mut group = Self {
            folders: folders.collect(),
            peers,
            running: Vec::new(),
        };
        for (index, (peer, control)) in listeners.into_iter().enumerate() {
            let member = group.member(index, peer, control).await;
            group.running.push(Some(member));
        }
        group
    }

    async fn member(&self, index: usize, peer: TcpListener, control: TcpListener) -> Member {
        let options = ReplicaOptions::builder()
            .name(self.peers[index].name.clone())
            .listener(peer)
            .control_address(self.peers[index].control_address)
            .peers(self.peers.clone())
            .data_folder(self.folders[index].path().to_path_buf())
            .seed(index as u64)
            .build();
        let state_machine = SharedStateMachine::default();
        let shutdown = CancellationToken::new();
        let started = replica::start(options, state_machine.hooks(), shutdown.clone()).await;
        let (handle, task) = started.expect("the folder is usable");
        let leadership = handle.leadership();
        let options = ControlOptions::builder().build();
        let service = ControlService::start(options, handle, state_machine, control)
            .expect("a bound listener has an address");
        Member {
            service,
            task,
            shutdown,
            leadership,
        }
    }

    fn client(&self) -> Client {
        let addresses = self.peers.iter().map(|peer| peer.control_address);
        Client::new(addresses.collect()).with_deadline(Millis(10_000))
    }

    async fn leader(&self) -> usize {
        loop {
            let leads = |member: &Option<Member>| {
                let member = member.as_ref();
                member.is_some_and(|member| member.leadership.borrow().is_ready_leader)
            };
            if let Some(leader) = self.running.iter().position(leads) {
                return leader;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Stops a replica in the same order as the program does, and starts it on the same folder and
    /// ports.
    async fn restart(&mut self, index: usize) {
        let member = self.running[index].take().expect("it runs");
        member.service.stop().await;
        member.shutdown.cancel();
        member.task.await.expect("the replica ends");
        let peer = TcpListener::bind(self.peers[index].peer_address).await;
        let control = TcpListener::bind(self.peers[index].control_address).await;
        let (peer, control) = (peer.expect("its port"), control.expect("its port"));
        self.running[index] = Some(self.member(index, peer, control).await);
    }

    /// Aborts a replica without a clean stop, which breaks its connections.
    async fn kill(&mut self, index: usize) {
        let member = self.running[index].take().expect("it runs");
        member.task.abort();
        drop(member.task.await);
        member.service.stop().await;
    }
}

/// Applies notes throughout a planned stop and a crash of the leader. Accepted notes must persist,
/// resent ones must be recognized, and an entry's revision must never decrease.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leader_restart_and_crash() {
    let mut group = Group::start().await;
    let client = group.client().with_deadline(Millis(20_000));
    let first = client.apply_note(note(INITIAL_NOTE)).await;
    assert_matches!(first, Ok(NoteAnswer::Accepted { .. }));
    let entry = Exchange::start(
        ExchangeOptions::builder()
            .entry("e1".parse().expect("an id"))
            .incarnation(Incarnation(1))
            .zone("senec".parse().expect("an id"))
            .client(group.client())
            .clock(Clock::start())
            .build(),
    );
    let mut states = entry.state();
    let watching = tokio::spawn(async move {
        let mut last = Revision::ZERO;
        while states.changed().await.is_ok() {
            let revision = states.borrow_and_update().in_force.revision;
            assert!(revision >= last, "revision {revision} after {last}");
            last = revision;
        }
    });
    let operator = {
        let client = group.client();
        tokio::spawn(async move {
            let mut accepted = Vec::new();
            let start = Instant::now();
            for version in 2_u64.. {
                if start.elapsed() > Duration::from_secs(7) {
                    break;
                }
                match client.apply_note(deadline_note(version, version)).await {
                    Ok(
                        NoteAnswer::Accepted { revision }
                        | NoteAnswer::AlreadyAccepted { revision },
                    ) => accepted.push((version, revision)),
                    other => panic!("a change failed: {other:?}"),
                }
                sleep(Duration::from_millis(10)).await;
            }
            accepted
        })
    };
    sleep(Duration::from_millis(500)).await;
    let leader = group.leader().await;
    group.restart(leader).await;
    sleep(Duration::from_millis(1_500)).await;
    let leader = group.leader().await;
    group.kill(leader).await;
    let accepted = operator.await.expect("no change fails");
    assert!(accepted.len() > 50, "{}", accepted.len());
    assert!(
        accepted.is_sorted_by(|a, b| a.1 < b.1),
        "revisions of accepted notes must increase"
    );
    for (version, revision) in accepted.iter().step_by(10) {
        let again = client.apply_note(deadline_note(*version, *version)).await;
        let revision = *revision;
        assert_eq!(again, Ok(NoteAnswer::AlreadyAccepted { revision }));
    }
    let (last, revision) = accepted.last().copied().expect("some were accepted");
    let state = entry.state();
    wait_until("the entry is current", || {
        state.borrow().in_force.revision == revision
    })
    .await;
    let in_force = Arc::clone(&state.borrow().in_force);
    assert_eq!(in_force.services["booking"].deadline_max_ms, Millis(last));
    drop(entry);
    watching.await.expect("no revision fell");
}
