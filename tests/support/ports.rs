//! Ports for control replicas, which must know each other's before they start.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Where one control replica listens.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaPorts {
    pub peers: SocketAddr,
    pub entries: SocketAddr,
}

/// The next port that this process has not given out; below those that systems give to clients.
static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);

/// A loopback address that no other process of this machine uses: it is made of our process id.
fn process_loopback_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), middle, low.max(1)))
}

/// Gives ports on an address of our own, each once, so that nobody takes them in between.
pub fn replica_ports(count: usize) -> Vec<ReplicaPorts> {
    let ip = process_loopback_ip();
    let next = || SocketAddr::new(ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed));
    let ports = (0..count).map(|_replica| ReplicaPorts {
        peers: next(),
        entries: next(),
    });
    ports.collect()
}
