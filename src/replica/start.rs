use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use tracing::{info, warn};

use super::core::{Core, CoreConfig};
use super::files::{Folder, OpenedStore, open_store};
use super::options::AddressBook;
use super::peer::{Links, serve};
use super::runner::{Published, Runner};
use super::writer::Writer;
use super::{Handle, Leadership, Node, Peer, ReplicaOptions, StartError, StateMachineHooks};
use crate::control::GroupStatus;
use crate::units::{FolderId, LogIndex, Millis, Term};

/// Capacity of the queue of proposals.
const PROPOSAL_QUEUE_CAPACITY: usize = 1_024;
/// Capacity of the queue of received messages. Further messages are dropped, which the consensus
/// core tolerates.
const INBOX_CAPACITY: usize = 4_096;

/// Binds a listener for other replicas. With port 0 the system chooses the port.
///
/// # Errors
/// The error of the operating system.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Starts a replica on its data folder.
///
/// When `shutdown` is cancelled, a leader first completes the proposals that it has accepted and
/// transfers its leadership. The returned task ends once all parts of the replica have stopped.
///
/// # Errors
/// A [`StartError`] if the data folder or the listener cannot be used.
pub async fn start(
    options: ReplicaOptions,
    hooks: StateMachineHooks,
    shutdown: CancellationToken,
) -> Result<(Handle, JoinHandle<()>), StartError> {
    let path = options.data_folder.clone();
    let opened = tokio::task::spawn_blocking(move || Folder::open(&path)).await;
    let folder = opened.map_err(io::Error::other).flatten();
    let folder = folder.map_err(|error| match error.kind() {
        io::ErrorKind::ResourceBusy => StartError::FolderInUse,
        _ => StartError::Folder(error),
    })?;
    start_with_folder(options, folder, hooks, shutdown).await
}

/// Starts a replica on the given files, for example on a test double that loses unsynced data.
///
/// # Errors
/// The same as for [`start`].
pub async fn start_with_folder(
    mut options: ReplicaOptions,
    folder: Folder,
    mut hooks: StateMachineHooks,
    shutdown: CancellationToken,
) -> Result<(Handle, JoinHandle<()>), StartError> {
    let listener = take_or_bind_listener(&mut options).await?;
    let name = options.name.clone();
    let segment_bytes = options.segment_bytes.get();
    let opening = tokio::task::spawn_blocking(move || open_store(folder, &name, segment_bytes));
    let opened = opening.await.map_err(io::Error::other).flatten();
    let opened = opened.map_err(StartError::Folder)?;
    restore_snapshot(&opened, &mut hooks)?;
    log_start(&options, &opened);

    let peers = other_peers(&options);
    let mut known = peers.clone();
    known.push(Peer {
        name: options.name.clone(),
        peer_address: options.control_address,
        control_address: options.control_address,
    });
    let addresses = AddressBook::new(&known, options.host_ports);
    let config = core_config(&options, &peers, opened.folder);
    let core = Core::new(config, opened.recovered, Millis::ZERO);
    let (disk_sender, disk_events) = mpsc::unbounded_channel();
    let writer = Writer::start(opened.store, options.max_batch_proposals, disk_sender)
        .map_err(StartError::Folder)?;
    let (inbox, messages) = mpsc::channel(INBOX_CAPACITY);
    let server = AbortOnDropHandle::new(tokio::spawn(serve(listener, inbox)));
    let (proposal_sender, proposals) = mpsc::channel(PROPOSAL_QUEUE_CAPACITY);
    let (leadership, leadership_watch) = watch::channel(Leadership::default());
    let (status, status_watch) = watch::channel(GroupStatus {
        term: Term::ZERO,
        leader: None,
        committed: LogIndex::ZERO,
        replicas: Vec::new(),
    });
    let (members, members_watch) = watch::channel(Vec::new());
    let runner = Runner::new(
        core,
        hooks,
        Links::new(addresses.clone()),
        writer,
        Published {
            leadership,
            status,
            members,
        },
        addresses,
        options.max_batch_proposals.max(1),
    );
    let lease = runner.lease();
    let run = async move {
        runner.run(proposals, messages, disk_events, shutdown).await;
        server.abort();
        drop(server.await);
    };
    let handle = Handle::new(proposal_sender, leadership_watch, status_watch)
        .with_members(members_watch)
        .with_lease(lease);
    Ok((handle, tokio::spawn(run)))
}

async fn take_or_bind_listener(options: &mut ReplicaOptions) -> Result<TcpListener, StartError> {
    if let Some(listener) = options.listener.take() {
        return Ok(listener);
    }
    let address = options.listen.ok_or(StartError::NoListener)?;
    let bound = bind(address).await;
    bound.map_err(|source| StartError::Listen { address, source })
}

/// Restores the state machine from the snapshot on disk.
fn restore_snapshot(opened: &OpenedStore, hooks: &mut StateMachineHooks) -> Result<(), StartError> {
    let Some(snapshot) = &opened.recovered.snapshot else {
        return Ok(());
    };
    if snapshot.meta.index == LogIndex::ZERO || (hooks.restore)(&snapshot.data) {
        Ok(())
    } else {
        Err(StartError::UnknownState)
    }
}

fn log_start(options: &ReplicaOptions, opened: &OpenedStore) {
    let (name, folder) = (&options.name, &opened.folder);
    if let Some(cause) = opened.retirement_cause {
        warn!(event = "folder_retired", replica = %name, folder = %folder, cause);
    }
    let records = opened.recovered.entries.len();
    info!(event = "replica_started", replica = %name, folder = %folder, records);
}

fn other_peers(options: &ReplicaOptions) -> Vec<Peer> {
    let others = options.peers.iter().filter(|p| p.name != options.name);
    others.cloned().collect()
}

fn core_config(options: &ReplicaOptions, peers: &[Peer], folder: FolderId) -> CoreConfig {
    let node = Node {
        name: options.name.clone(),
        folder,
    };
    CoreConfig::builder()
        .node(node)
        .peers(peers.iter().map(|p| p.name.clone()).collect())
        .seed(options.seed)
        .may_bootstrap(options.may_bootstrap)
        .replace_after_ms(options.replace_after_ms)
        .maybe_target_voters(options.target_voters)
        .election_min_ms(options.election_min_ms)
        .election_max_ms(options.election_max_ms)
        .heartbeat_ms(options.heartbeat_ms)
        .snapshot_entries(options.snapshot_entries)
        .snapshot_bytes(options.snapshot_bytes)
        .retained_entries(options.retained_entries)
        .build()
}
