//! A control group with the real state machine, files on disk and loopback connections.

use std::net::SocketAddr;
use std::time::Duration;

use marjoramknot::control::{Command, CommandBody, Reply, SharedStateMachine};
use marjoramknot::release_note::{
    NoteAnswer, NoteDefinitions, RackSpec, ReleaseNote, TeamSpec, WithdrawnNames, ZoneSpec,
    ZoneState,
};
use marjoramknot::replica::{Handle, Peer, ReplicaOptions, bind, start};
use marjoramknot::scheduler::SubmitAnswer;
use marjoramknot::units::{Accelerators, Cores, MemoryMb, NoteVersion, WallMs};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Settings of a group.
#[derive(Clone, Copy)]
pub struct Settings {
    pub voters: usize,
    pub max_batch_proposals: usize,
    pub snapshot_entries: u64,
}

impl Settings {
    /// The defaults of [`ReplicaOptions`].
    pub const DEFAULT: Self = Self {
        voters: 3,
        max_batch_proposals: 512,
        snapshot_entries: 4_096,
    };
}

pub struct Replica {
    pub handle: Handle,
    pub state_machine: SharedStateMachine,
    task: JoinHandle<()>,
}

pub struct Group {
    pub replicas: Vec<Option<Replica>>,
    pub settings: Settings,
    peers: Vec<Peer>,
    data_folder: TempDir,
}

impl Group {
    pub async fn start(settings: Settings) -> Self {
        Self::start_with_proxies(settings, async |address| address).await
    }

    /// Starts a group whose replicas connect to each other through the addresses that
    /// `proxy_for` returns for their listeners, for example those of a proxy.
    pub async fn start_with_proxies(
        settings: Settings,
        proxy_for: impl AsyncFn(SocketAddr) -> SocketAddr,
    ) -> Self {
        let mut peers = Vec::new();
        let mut listeners = Vec::new();
        for position in 0..settings.voters {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
            let listener = listener.expect("no free loopback port");
            let address = listener
                .local_addr()
                .expect("a bound socket has an address");
            let name = format!("replica-{position}");
            peers.push(Peer {
                name: name.parse().expect("the name is an id"),
                peer_address: proxy_for(address).await,
                control_address: address,
            });
            listeners.push(listener);
        }
        let mut group = Self {
            replicas: Vec::new(),
            settings,
            peers,
            data_folder: tempfile::tempdir().expect("cannot create a temporary folder"),
        };
        for (position, listener) in listeners.into_iter().enumerate() {
            let replica = group.start_replica(position, listener).await;
            group.replicas.push(Some(replica));
        }
        group
    }

    async fn start_replica(&self, position: usize, listener: TcpListener) -> Replica {
        let peer = &self.peers[position];
        let options = ReplicaOptions::builder()
            .name(peer.name.clone())
            .listener(listener)
            .control_address(peer.control_address)
            .peers(self.peers.clone())
            .data_folder(self.data_folder.path().join(peer.name.as_str()))
            .seed(position as u64)
            .max_batch_proposals(self.settings.max_batch_proposals)
            .snapshot_entries(self.settings.snapshot_entries)
            .build();
        let state_machine = SharedStateMachine::default();
        let started = start(options, state_machine.hooks(), CancellationToken::new()).await;
        let (handle, task) = started.expect("the replica failed to start");
        Replica {
            handle,
            state_machine,
            task,
        }
    }

    pub fn replica_at(&self, position: usize) -> &Replica {
        let replica = self.replicas[position].as_ref();
        replica.expect("the replica is not running")
    }

    /// Aborts a replica without a hand-over of leadership.
    pub async fn kill(&mut self, position: usize) {
        let replica = self.replicas[position].take();
        let replica = replica.expect("the replica is not running");
        replica.task.abort();
        drop(replica.task.await);
    }

    /// Restarts a killed replica on its old address and data folder. The killed replica's writer
    /// thread must have released the folder before.
    pub async fn restart(&mut self, position: usize) {
        let address = self.peers[position].peer_address;
        let listener = loop {
            match bind(address).await {
                Ok(listener) => break listener,
                Err(_in_use) => sleep_1ms().await,
            }
        };
        let replica = self.start_replica(position, listener).await;
        self.replicas[position] = Some(replica);
    }

    pub async fn leader(&self) -> usize {
        loop {
            let has_quorum =
                |r: &Option<Replica>| r.as_ref().is_some_and(|r| r.handle.has_quorum());
            if let Some(position) = self.replicas.iter().position(has_quorum) {
                return position;
            }
            sleep_1ms().await;
        }
    }

    pub async fn propose(&self, command: &Command) {
        let bytes = postcard::to_stdvec(command).expect("a command encodes");
        loop {
            let leader = self.leader().await;
            let handle = &self.replica_at(leader).handle;
            if handle.propose(bytes.clone()).await.is_ok() {
                return;
            }
        }
    }

    /// Proposes commands one after the other, since release notes must be applied in order.
    pub async fn propose_in_order(&self, commands: impl Iterator<Item = Command>) {
        let leader = self.leader().await;
        let handle = &self.replica_at(leader).handle;
        for command in commands {
            let bytes = postcard::to_stdvec(&command).expect("a command encodes");
            let proposed = handle.propose(bytes).await;
            let applied = proposed.expect("the leader failed to commit");
            let reply = postcard::from_bytes(&applied.reply).expect("a reply decodes");
            assert!(
                is_accepted(&reply),
                "the state machine rejected the command: {reply:?}"
            );
        }
    }
}

/// Returns whether the state machine accepted a command.
fn is_accepted(reply: &Reply) -> bool {
    match reply {
        Reply::Note(answer) => matches!(answer, NoteAnswer::Accepted { .. }),
        Reply::Submit(answer) => matches!(answer, SubmitAnswer::Accepted),
        Reply::Job { applied } => *applied,
        Reply::Begin(_) | Reply::Finish(_) | Reply::Workload(_) | Reply::Done => true,
    }
}

pub async fn sleep_1ms() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

pub fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(4).enable_all().build();
    runtime.expect("cannot create a runtime")
}

/// Returns release note `number + 2`, which adds a team or changes the request weight of one.
pub fn team_note(number: u64) -> Command {
    /// Number of teams over which the notes cycle.
    const TEAMS: u64 = 300;
    let team = TeamSpec {
        name: format!("team-{}", number % TEAMS).parse().expect("an id"),
        attempts_max: 4,
        queued_jobs_max: 1_000,
        task_memory_max_mb: MemoryMb(512 * 1024),
        request_weight: u32::try_from(number / TEAMS).unwrap_or(u32::MAX).max(1),
    };
    let definitions = NoteDefinitions {
        teams: vec![team],
        ..NoteDefinitions::default()
    };
    let (added, changed) = if number < TEAMS {
        (definitions, NoteDefinitions::default())
    } else {
        (NoteDefinitions::default(), definitions)
    };
    apply_note_command(ReleaseNote {
        version: NoteVersion(number + 2),
        added,
        changed,
        withdrawn: WithdrawnNames::default(),
    })
}

/// Returns release note 1, which adds 24 availability zones of 24 racks with 4,608 workers in
/// total.
pub fn zones_note() -> Command {
    let racks = (0..24).map(|rack| RackSpec {
        name: format!("rack-{rack}").parse().expect("an id"),
        workers: 8,
        accelerators: Accelerators(8),
        cores: Cores(64),
        memory_mb: MemoryMb(256 * 1024),
    });
    let racks: Vec<_> = racks.collect();
    let zones = (0..24).map(|zone| ZoneSpec {
        name: format!("zone-{zone}").parse().expect("an id"),
        state: ZoneState::In,
        racks: racks.clone(),
    });
    let added = NoteDefinitions {
        zones: zones.collect(),
        ..NoteDefinitions::default()
    };
    apply_note_command(ReleaseNote {
        version: NoteVersion(1),
        added,
        changed: NoteDefinitions::default(),
        withdrawn: WithdrawnNames::default(),
    })
}

fn apply_note_command(note: ReleaseNote) -> Command {
    let digest = note.digest();
    Command {
        wall_ms: WallMs(note.version.get()),
        body: CommandBody::ApplyNote {
            note: Box::new(note),
            digest,
        },
    }
}
