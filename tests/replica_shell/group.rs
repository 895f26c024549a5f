//! A group of replicas on loopback, with a state machine that records its commands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use marjoramknot::replica::files::Folder;
use marjoramknot::replica::{
    Applied, Handle, Peer, ProposeError, ReplicaOptions, StateMachineHooks, bind, start,
    start_with_folder,
};
use marjoramknot::units::LogIndex;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Maximum time that a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(12);

/// The commands that a replica has applied, in order, with their log indexes.
pub type AppliedCommands = Arc<Mutex<Vec<(LogIndex, Vec<u8>)>>>;

/// One replica of the group.
pub struct Member {
    pub peer: Peer,
    pub folder: PathBuf,
    pub applied: AppliedCommands,
    pub running: Option<Running>,
}

/// A running replica.
pub struct Running {
    pub handle: Handle,
    pub task: JoinHandle<()>,
    pub shutdown: CancellationToken,
}

/// A group of replicas and their data folders.
pub struct Group {
    pub members: Vec<Member>,
    pub snapshot_entries: u64,
    _data_folders: TempDir,
}

/// Returns a state machine that records the applied commands and replies with each command.
pub fn recording_machine(applied: &AppliedCommands) -> StateMachineHooks {
    let (on_apply, on_snapshot, on_restore) = (
        Arc::clone(applied),
        Arc::clone(applied),
        Arc::clone(applied),
    );
    StateMachineHooks {
        apply: Box::new(move |index, command| {
            on_apply
                .lock()
                .expect("no test thread panics")
                .push((index, command.to_vec()));
            command.to_vec()
        }),
        snapshot: Box::new(move || {
            let list = on_snapshot.lock().expect("no test thread panics");
            postcard::to_stdvec(&*list).expect("the commands can be serialized")
        }),
        restore: Box::new(move |bytes| {
            let Ok(list) = postcard::from_bytes(bytes) else {
                return false;
            };
            *on_restore.lock().expect("no test thread panics") = list;
            true
        }),
    }
}

impl Group {
    /// Creates a group of `count` replicas and binds their listeners without starting the replicas.
    pub async fn bind(count: usize) -> (Self, Vec<TcpListener>) {
        let folders = tempfile::tempdir().expect("a temporary folder can be made");
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for position in 0..count {
            let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
            let listener = listener.expect("loopback has free ports");
            let address = listener
                .local_addr()
                .expect("a bound socket has an address");
            let name = format!("replica-{position}");
            members.push(Member {
                folder: folders.path().join(&name),
                peer: Peer {
                    name: name.parse().expect("the name is an id"),
                    peer_address: address,
                    control_address: address,
                },
                applied: AppliedCommands::default(),
                running: None,
            });
            listeners.push(listener);
        }
        let group = Self {
            members,
            snapshot_entries: 4_096,
            _data_folders: folders,
        };
        (group, listeners)
    }

    /// Starts a group of `count` replicas.
    pub async fn start(count: usize) -> Self {
        let (mut group, listeners) = Self::bind(count).await;
        for (position, listener) in listeners.into_iter().enumerate() {
            group.run_on(position, listener).await;
        }
        group
    }

    pub fn options(&self, position: usize, listener: TcpListener) -> ReplicaOptions {
        let member = &self.members[position];
        ReplicaOptions::builder()
            .name(member.peer.name.clone())
            .listener(listener)
            .control_address(member.peer.control_address)
            .peers(self.members.iter().map(|m| m.peer.clone()).collect())
            .data_folder(member.folder.clone())
            .seed(position as u64 + 7)
            .snapshot_entries(self.snapshot_entries)
            .retained_entries(self.snapshot_entries / 4)
            .build()
    }

    pub async fn run_on(&mut self, position: usize, listener: TcpListener) {
        let options = self.options(position, listener);
        self.run_with(position, options, None).await;
    }

    /// Starts a replica on the given folder, or on its folder in the file system.
    pub async fn run_with(
        &mut self,
        position: usize,
        options: ReplicaOptions,
        folder: Option<Folder>,
    ) {
        let shutdown = CancellationToken::new();
        let applied = AppliedCommands::default();
        let hooks = recording_machine(&applied);
        let started = match folder {
            Some(folder) => start_with_folder(options, folder, hooks, shutdown.clone()).await,
            None => start(options, hooks, shutdown.clone()).await,
        };
        let (handle, task) = started.expect("the replica starts");
        let member = &mut self.members[position];
        member.applied = applied;
        member.running = Some(Running {
            handle,
            task,
            shutdown,
        });
    }

    /// Restarts a replica on its previous address.
    pub async fn run(&mut self, position: usize) {
        let address = self.members[position].peer.peer_address;
        let listener = eventually("the previous address is free", async || {
            bind(address).await.ok()
        });
        let listener = listener.await;
        // The writer thread of a killed replica may keep the folder locked for a short time.
        let folder = eventually("the previous folder is unlocked", async || {
            Folder::open(&self.members[position].folder).ok()
        });
        let folder = folder.await;
        let options = self.options(position, listener);
        self.run_with(position, options, Some(folder)).await;
    }

    pub fn handle(&self, position: usize) -> &Handle {
        let running = self.members[position].running.as_ref();
        &running.expect("the replica runs").handle
    }

    /// Shuts a replica down gracefully and waits until it has stopped.
    pub async fn stop(&mut self, position: usize) {
        let running = self.members[position].running.take();
        let running = running.expect("the replica runs");
        running.shutdown.cancel();
        let ended = timeout(WAIT_TIMEOUT, running.task).await;
        ended
            .expect("the shutdown completes in time")
            .expect("the replica's task does not panic");
    }

    /// Aborts a replica's task without a transfer of leadership.
    pub async fn kill(&mut self, position: usize) {
        let running = self.members[position].running.take();
        let running = running.expect("the replica runs");
        running.task.abort();
        drop(running.task.await);
    }

    /// Removes the folder of a stopped replica, or damages its snapshot.
    pub fn lose_disk(&self, position: usize, damaged: bool) {
        let folder = &self.members[position].folder;
        if damaged {
            let snapshot = folder.join("snapshot");
            let mut content = std::fs::read(&snapshot).expect("there is a snapshot");
            content[20] ^= 1;
            std::fs::write(&snapshot, content).expect("the file can be written");
        } else {
            std::fs::remove_dir_all(folder).expect("the folder can be removed");
        }
    }

    /// Waits for a leader with a quorum and returns its position.
    pub async fn leader(&self) -> usize {
        eventually("there is a leader", async || {
            (0..self.members.len()).find(|position| {
                let running = self.members[*position].running.as_ref();
                running.is_some_and(|running| running.handle.has_quorum())
            })
        })
        .await
    }

    /// Proposes a command to the current leader and retries until it is applied.
    pub async fn propose(&self, command: &[u8]) -> Applied {
        eventually("the command is applied", async || {
            let leader = self.leader().await;
            match self.handle(leader).propose(command.to_vec()).await {
                Ok(applied) => Some(applied),
                Err(ProposeError::NotLeader | ProposeError::Uncertain) => None,
                Err(other) => panic!("the proposal failed: {other}"),
            }
        })
        .await
    }

    /// Returns the commands that a replica has applied.
    pub fn commands(&self, position: usize) -> Vec<Vec<u8>> {
        let applied = self.members[position].applied.lock();
        let applied = applied.expect("no test thread panics");
        applied.iter().map(|(_, command)| command.clone()).collect()
    }

    /// Waits until a replica has applied a command.
    pub async fn wait_applied(&self, position: usize, command: &[u8]) {
        eventually("the replica has applied the command", async || {
            let commands = self.commands(position);
            commands.iter().any(|c| c == command).then_some(())
        })
        .await;
    }
}

/// Repeats a check until it returns a value. Panics after [`WAIT_TIMEOUT`].
pub async fn eventually<T>(what: &str, check: impl AsyncFn() -> Option<T>) -> T {
    let waited = timeout(WAIT_TIMEOUT, async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            sleep(Duration::from_millis(10)).await;
        }
    });
    waited
        .await
        .unwrap_or_else(|_elapsed| panic!("timed out waiting until {what}"))
}
