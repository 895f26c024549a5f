use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use super::control::ReplicaAddresses;
use super::table_reader::TableReader;
use crate::replica::HostPorts;
use crate::units::{Millis, ReplicaId};

/// Description of the IP address format in error messages.
const IP_FORMAT: &str = "an IP address, such as \"10.0.0.5\"";
/// Description of the seed format in error messages.
pub(super) const SEED_FORMAT: &str = "the address of a control replica, such as \"10.0.0.5:7000\"";
/// Maximum number of seeds.
const SEEDS_MAX: usize = 9;
/// Default of `repair_s`, in seconds.
const DEFAULT_REPAIR_S: u64 = 16;
/// Default of `election_ms`.
const DEFAULT_ELECTION_MS: Millis = Millis(1_000);
/// Maximum of `losses_borne`.
const LOSSES_MAX: u64 = 3;

/// How a control group forms and grows when the settings name only some of its replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeedSettings {
    /// IP address at which other replicas and entries reach this replica; also its name.
    pub host: IpAddr,
    /// IP address on which this replica listens. It differs from `host` if this replica is behind a
    /// proxy.
    pub listen_host: IpAddr,
    /// The ports, which are the same for all replicas.
    pub ports: HostPorts,
    /// Addresses of some replicas of the group. Only the IP addresses are used, not the ports.
    pub seeds: Vec<SocketAddr>,
    /// Whether the system starts for the first time, in which case the seeds form a new group.
    pub bootstrap: bool,
    /// How many replicas may fail at once. This determines the number of voters.
    pub losses_borne: u32,
    /// How soon a lost replica must be replaced, in seconds, counted from the start of the replica
    /// that replaces it.
    pub repair_s: u64,
    /// Minimum time without a leader before an election starts. It should cover a few network round
    /// trips and disk syncs.
    pub election_ms: Millis,
}

impl SeedSettings {
    pub(super) fn read(mut reader: TableReader) -> Option<Self> {
        let host: Option<IpAddr> = reader.required("host", IP_FORMAT);
        let unset = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
        let listen_host = reader.optional("listen_host", host.unwrap_or(unset), IP_FORMAT);
        let peers = read_port(&mut reader, "peers_port");
        let entries = read_port(&mut reader, "entries_port");
        let seeds = reader.list("seeds", 1..=SEEDS_MAX, SEED_FORMAT);
        let bootstrap = reader.flag("bootstrap", false);
        let losses = reader.number("losses_borne", 1, 0..=LOSSES_MAX);
        let repair_s = reader.number("repair_s", DEFAULT_REPAIR_S, 1..=3_600);
        let election_ms = reader.millis("election_ms", DEFAULT_ELECTION_MS, 100..=60_000);
        reader.reject_unknown_fields();
        Some(Self {
            host: host?,
            listen_host,
            ports: HostPorts {
                peer: peers?,
                control: entries?,
            },
            seeds,
            bootstrap,
            losses_borne: u32::try_from(losses).unwrap_or_default(),
            repair_s,
            election_ms,
        })
    }

    /// Returns the name of this replica, which is its IP address.
    ///
    /// # Panics
    /// Does not panic, because every IP address is a valid replica name.
    #[must_use]
    pub fn own_name(&self) -> ReplicaId {
        replica_id(self.host)
    }

    /// Returns the addresses of this replica and of the seeds, each named by its IP address.
    #[must_use]
    pub fn replicas(&self) -> Vec<ReplicaAddresses> {
        let mut hosts: Vec<IpAddr> = self.seeds.iter().map(SocketAddr::ip).collect();
        hosts.push(self.host);
        hosts.sort_unstable();
        hosts.dedup();
        let addresses = hosts.into_iter().map(|host| ReplicaAddresses {
            name: replica_id(host),
            peers: SocketAddr::new(host, self.ports.peer),
            entries: SocketAddr::new(host, self.ports.control),
        });
        addresses.collect()
    }

    /// Returns the listen addresses for other replicas and for entries, in this order.
    #[must_use]
    pub const fn listen_addresses(&self) -> (SocketAddr, SocketAddr) {
        (
            SocketAddr::new(self.listen_host, self.ports.peer),
            SocketAddr::new(self.listen_host, self.ports.control),
        )
    }

    /// Whether this replica may form a new group together with the other seeds.
    ///
    /// Only seeds may, and only at the first start of the system.
    #[must_use]
    pub fn may_bootstrap(&self) -> bool {
        self.bootstrap && self.seeds.iter().any(|seed| seed.ip() == self.host)
    }

    /// How long a voter may be silent before another replica replaces it.
    ///
    /// This is half of the repair time, because the membership change takes time too.
    #[must_use]
    pub const fn replace_after_ms(&self) -> Millis {
        Millis(self.repair_s * 500)
    }

    /// Maximum time without a leader before an election starts.
    ///
    /// Replicas wait for different times between `election_ms` and this value, so that they do not
    /// all request votes at the same moment.
    #[must_use]
    pub const fn election_max_ms(&self) -> Millis {
        Millis(self.election_ms.get() * 7 / 5)
    }

    /// Maximum interval between two messages of the leader to each follower.
    ///
    /// It is a fifth of `election_ms`, so that a few lost messages do not cause an election.
    #[must_use]
    pub const fn heartbeat_ms(&self) -> Millis {
        Millis(self.election_ms.get() / 5)
    }

    /// How many replicas vote, so that a majority remains after `losses_borne` failures.
    #[must_use]
    pub const fn target_voters(&self) -> usize {
        self.losses_borne as usize * 2 + 1
    }
}

/// Reads a required port, to which other processes connect.
pub(super) fn read_port(reader: &mut TableReader, key: &str) -> Option<u16> {
    let port = reader.number(key, 0, 1..=u64::from(u16::MAX));
    if port == 0 {
        reader.fault(key, "is missing; give a port, 1 to 65535");
        return None;
    }
    u16::try_from(port).ok()
}

fn replica_id(host: IpAddr) -> ReplicaId {
    host.to_string()
        .parse()
        .expect("an IP address is a valid name")
}
