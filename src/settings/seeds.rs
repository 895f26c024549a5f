use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use super::control::ReplicaAddresses;
use super::fields::Fields;
use crate::replica::HostPorts;
use crate::units::{Millis, ReplicaId};

/// What an IP address looks like, for messages.
const HOST: &str = "an IP address, such as \"10.0.0.5\"";
/// What a seed looks like, for messages.
pub(super) const SEED: &str = "the address of a control replica, such as \"10.0.0.5:7000\"";
/// Most seeds.
const SEEDS_MAX: usize = 9;
/// How soon a lost replica is made good where the settings do not say.
const REPAIR_S: u64 = 16;
/// Shortest time without a leader after which an election starts, where the settings do not say.
const ELECTION_MS: Millis = Millis(1_000);
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
    pub(super) fn take(mut fields: Fields) -> Option<Self> {
        let host: Option<IpAddr> = fields.required("host", HOST);
        let unset = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
        let listen_host = fields.optional("listen_host", host.unwrap_or(unset), HOST);
        let peers = take_port(&mut fields, "peers_port");
        let entries = take_port(&mut fields, "entries_port");
        let seeds = fields.list("seeds", 1..=SEEDS_MAX, SEED);
        let bootstrap = fields.flag("bootstrap", false);
        let losses = fields.number("losses_borne", 1, 0..=LOSSES_MAX);
        let repair_s = fields.number("repair_s", REPAIR_S, 1..=3_600);
        let election_ms = fields.millis("election_ms", ELECTION_MS, 100..=60_000);
        fields.close();
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
        name_of(self.host)
    }

    /// This replica and the seeds, each named by its IP address.
    #[must_use]
    pub fn replicas(&self) -> Vec<ReplicaAddresses> {
        let mut hosts: Vec<IpAddr> = self.seeds.iter().map(SocketAddr::ip).collect();
        hosts.push(self.host);
        hosts.sort_unstable();
        hosts.dedup();
        let addresses = hosts.into_iter().map(|host| ReplicaAddresses {
            name: name_of(host),
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
pub(super) fn take_port(fields: &mut Fields, key: &str) -> Option<u16> {
    let port = fields.number(key, 0, 1..=u64::from(u16::MAX));
    if port == 0 {
        fields.fault(key, "is missing; give a port, 1 to 65535");
        return None;
    }
    u16::try_from(port).ok()
}

fn name_of(host: IpAddr) -> ReplicaId {
    host.to_string()
        .parse()
        .expect("an IP address is a valid name")
}
