use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use bon::Builder;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::units::{Bytes, Millis, ReplicaId};

/// Another replica as the settings name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its name.
    pub name: ReplicaId,
    /// Where its replica listens for the others.
    pub peer_address: SocketAddr,
    /// Where entries reach it.
    pub control_address: SocketAddr,
}

/// Ports of replicas that are named by their IP address.
///
/// They make the group open: a replica that no settings name is reached by its name, and may join.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostPorts {
    /// Where each replica listens for the others.
    pub peer: u16,
    /// Where entries reach each replica.
    pub control: u16,
}

/// Where replicas are reached.
#[derive(Clone, Debug, Default)]
pub(super) struct AddressBook {
    named: BTreeMap<ReplicaId, Peer>,
    ports: Option<HostPorts>,
}

impl AddressBook {
    pub(super) fn new(peers: &[Peer], ports: Option<HostPorts>) -> Self {
        let named = peers.iter().map(|peer| (peer.name.clone(), peer.clone()));
        Self {
            named: named.collect(),
            ports,
        }
    }

    /// The replica of this name: as configured, else by its IP address.
    pub(super) fn lookup(&self, name: &ReplicaId) -> Option<Peer> {
        if let Some(peer) = self.named.get(name) {
            return Some(peer.clone());
        }
        let ports = self.ports?;
        let host: IpAddr = name.as_str().parse().ok()?;
        Some(Peer {
            name: name.clone(),
            peer_address: SocketAddr::new(host, ports.peer),
            control_address: SocketAddr::new(host, ports.control),
        })
    }
}

/// How a replica runs.
#[derive(Builder, Debug)]
pub struct ReplicaOptions {
    /// This replica's name.
    pub name: ReplicaId,
    /// Where it listens for the other replicas, unless `listener` is given.
    pub listen: Option<SocketAddr>,
    /// A bound listener for the other replicas, for example on port 0; see [`bind`](super::bind).
    pub listener: Option<TcpListener>,
    /// Where entries reach this replica; other replicas and entries are told of it.
    pub control_address: SocketAddr,
    /// The other voters; this replica may be among them and is passed over.
    #[builder(default)]
    pub peers: Vec<Peer>,
    /// Ports of replicas that are named by their IP address; none where only `peers` belong to the
    /// group.
    pub host_ports: Option<HostPorts>,
    /// How many voters an open group keeps; further replicas stand by as learners.
    pub target_voters: Option<usize>,
    /// Whether this replica may form a new group together with its peers.
    #[builder(default = true)]
    pub may_bootstrap: bool,
    /// How long a voter is silent before a replica that stands by takes its place.
    #[builder(default = Millis(8_000))]
    pub replace_after_ms: Millis,
    /// The data folder, used by no other process.
    pub data_folder: PathBuf,
    /// Seed of the election times; replicas should differ in it.
    #[builder(default)]
    pub seed: u64,
    /// Shortest time without a leader after which an election starts.
    #[builder(default = Millis(1_000))]
    pub election_min_ms: Millis,
    /// Longest such time.
    #[builder(default = Millis(1_400))]
    pub election_max_ms: Millis,
    /// How often a leader sends to each follower at least.
    #[builder(default = Millis(200))]
    pub heartbeat_ms: Millis,
    /// A snapshot is taken after this many records.
    #[builder(default = 4_096)]
    pub snapshot_entries: u64,
    /// A snapshot is taken after records of this many bytes.
    #[builder(default = Bytes(4 * 1024 * 1024))]
    pub snapshot_bytes: Bytes,
    /// Records kept behind a snapshot for slow followers.
    #[builder(default = 512)]
    pub retained_entries: u64,
    /// A log file is followed by the next one from this size on.
    #[builder(default = Bytes(4 * 1024 * 1024))]
    pub segment_bytes: Bytes,
    /// Most proposals that share one sync; 1 syncs each alone.
    #[builder(default = 512)]
    pub max_batch_proposals: usize,
}

/// Why a replica does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Neither an address nor a listener was given.
    #[error("neither a listen address nor a listener was given")]
    NoListener,
    /// The listener could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Another process uses the data folder.
    #[error("another process uses the data folder")]
    FolderInUse,
    /// The data folder cannot be read or written.
    #[error("the data folder cannot be used: {0}")]
    Folder(io::Error),
    /// The state in the data folder is whole but the state machine does not take it.
    #[error("the snapshot in the data folder is of an unknown form")]
    UnknownState,
}
