use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use super::control::ReplicaAddresses;
use super::table_reader::TableReader;
use crate::replica::HostPorts;
use crate::units::{Millis, ReplicaId};

/// What an IP address looks like, for messages.
const IP_FORMAT: &str = "an IP address, such as \"10.0.0.5\"";
/// What a seed looks like, for messages.
pub(super) const SEED_FORMAT: &str = "the address of a control replica, such as \"10.0.0.5:7000\"";
/// Most seeds.
const SEEDS_MAX: usize = 9;
/// How soon a lost replica is made good where the settings do not say.
const DEFAULT_REPAIR_S: u64 = 16;
/// Shortest time without a leader after which an election starts, where the settings do not say.
const DEFAULT_ELECTION_MS: Millis = Millis(1_000);
/// Most lost replicas that a group can be asked to bear.
const LOSSES_MAX: u64 = 3;

/// How a control group forms and grows where the settings name only some of its replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeedSettings {
    /// This replica's IP address, by which the others know it.
    pub host: IpAddr,
    /// Where this replica listens, where that differs from the address by which others reach it.
    pub listen_host: IpAddr,
    /// The ports of all replicas.
    pub ports: HostPorts,
    /// Some replicas of the group; only the IP addresses count.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time: then the seeds form the group.
    pub bootstrap: bool,
    /// How many replicas may be lost at once, which decides how many vote.
    pub losses_borne: u32,
    /// How soon after the start of its successor a lost replica must be made good.
    pub repair_s: u64,
    /// Shortest time without a leader after which an election starts: a few round trips and syncs.
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

    /// The name of this replica.
    ///
    /// # Panics
    /// Never: an IP address is a valid name.
    #[must_use]
    pub fn own_name(&self) -> ReplicaId {
        replica_id(self.host)
    }

    /// This replica and the seeds, each named by its IP address.
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

    /// Where this replica listens for the others, and for entries.
    #[must_use]
    pub const fn listen_addresses(&self) -> (SocketAddr, SocketAddr) {
        (
            SocketAddr::new(self.listen_host, self.ports.peer),
            SocketAddr::new(self.listen_host, self.ports.control),
        )
    }

    /// Whether this replica may form the group together with the other seeds.
    #[must_use]
    pub fn may_bootstrap(&self) -> bool {
        self.bootstrap && self.seeds.iter().any(|seed| seed.ip() == self.host)
    }

    /// How long a voter may be silent before another takes its place: half of the time for repair, as
    /// the change itself takes time too.
    #[must_use]
    pub const fn replace_after_ms(&self) -> Millis {
        Millis(self.repair_s * 500)
    }

    /// Longest time without a leader after which an election starts; the span keeps replicas from asking for
    /// votes at the same moment.
    #[must_use]
    pub const fn election_max_ms(&self) -> Millis {
        Millis(self.election_ms.get() * 7 / 5)
    }

    /// How often a leader sends to each follower at least: a few messages may be lost before an election.
    #[must_use]
    pub const fn heartbeat_ms(&self) -> Millis {
        Millis(self.election_ms.get() / 5)
    }

    /// How many replicas vote, so that a majority is left after the losses to be borne.
    #[must_use]
    pub const fn target_voters(&self) -> usize {
        self.losses_borne as usize * 2 + 1
    }
}

/// Takes a port that others dial.
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
