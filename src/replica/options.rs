use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use bon::Builder;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::units::{Bytes, Millis, ReplicaId};

/// Another replica as configured in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the replica.
    pub name: ReplicaId,
    /// Address at which it accepts connections from other replicas.
    pub peer_address: SocketAddr,
    /// Address at which it accepts connections from entry processes.
    pub control_address: SocketAddr,
}

/// Ports of replicas that are identified by their IP address.
///
/// With these ports the group is open: a replica that is not configured can be reached by its name,
/// an IP address, and may join.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostPorts {
    /// Port on which each replica accepts connections from other replicas.
    pub peer: u16,
    /// Port on which each replica accepts connections from entry processes.
    pub control: u16,
}

/// Maps replica names to addresses.
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

    /// Returns the replica of this name: as configured, otherwise derived from the IP address that
    /// is its name.
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

/// Configuration of a replica.
#[derive(Builder, Debug)]
pub struct ReplicaOptions {
    /// Name of this replica.
    pub name: ReplicaId,
    /// Address on which to listen for other replicas, unless `listener` is given.
    pub listen: Option<SocketAddr>,
    /// An already bound listener for other replicas, for example on port 0; see
    /// [`bind`](super::bind).
    pub listener: Option<TcpListener>,
    /// Address at which entry processes reach this replica. It is announced as the leader's address
    /// while this replica leads.
    pub control_address: SocketAddr,
    /// The other voters. An item for this replica itself is ignored.
    #[builder(default)]
    pub peers: Vec<Peer>,
    /// Ports of replicas that are identified by their IP address. `None` if only `peers` belong to
    /// the group.
    pub host_ports: Option<HostPorts>,
    /// Number of voters to maintain in an open group. Further replicas join as learners.
    pub target_voters: Option<usize>,
    /// Whether this replica may bootstrap a new group together with its peers.
    #[builder(default = true)]
    pub may_bootstrap: bool,
    /// How long a voter must be silent before a learner may replace it.
    #[builder(default = Millis(8_000))]
    pub replace_after_ms: Millis,
    /// Data folder, which no other process may use.
    pub data_folder: PathBuf,
    /// Seed for the random election timeouts. It should differ between replicas.
    #[builder(default)]
    pub seed: u64,
    /// Lower bound of the election timeout, the time without a leader after which an election
    /// starts.
    #[builder(default = Millis(1_000))]
    pub election_min_ms: Millis,
    /// Upper bound of the election timeout.
    #[builder(default = Millis(1_400))]
    pub election_max_ms: Millis,
    /// Interval of the heartbeats that a leader sends to each follower.
    #[builder(default = Millis(200))]
    pub heartbeat_ms: Millis,
    /// Number of applied log entries after which a snapshot is taken.
    #[builder(default = 4_096)]
    pub snapshot_entries: u64,
    /// Bytes of applied log entries after which a snapshot is taken.
    #[builder(default = Bytes(4 * 1024 * 1024))]
    pub snapshot_bytes: Bytes,
    /// Number of log entries kept before the latest snapshot for slow followers.
    #[builder(default = 512)]
    pub retained_entries: u64,
    /// Size in bytes at which a log segment is closed and a new one is started.
    #[builder(default = Bytes(4 * 1024 * 1024))]
    pub segment_bytes: Bytes,
    /// Maximum number of proposals that share one disk sync. With 1 each proposal is synced
    /// separately.
    #[builder(default = 512)]
    pub max_batch_proposals: usize,
}

/// Why a replica could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// Neither an address nor a listener was given.
    #[error("neither a listen address nor a listener was given")]
    NoListener,
    /// The listener could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process uses the data folder.
    #[error("another process uses the data folder")]
    FolderInUse,
    /// The data folder cannot be read or written.
    #[error("the data folder cannot be used: {0}")]
    Folder(io::Error),
    /// The snapshot in the data folder is intact, but the state machine cannot decode it.
    #[error("the snapshot in the data folder cannot be decoded")]
    UnknownState,
}
