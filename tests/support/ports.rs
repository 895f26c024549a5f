//! Ports for control replicas, which must know each other's addresses before they start.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Listening addresses of one control replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaPorts {
    pub peers: SocketAddr,
    pub entries: SocketAddr,
}

/// Next unused port of this process. The range lies below the ephemeral ports of the operating
/// system.
static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);

/// Returns a loopback address derived from the process id, so that no other process on this host
/// uses it.
fn process_loopback_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), middle, low.max(1)))
}

/// Reserves ports on an address of this process, each only once, so that no other process can take
/// them before they are bound.
pub fn replica_ports(count: usize) -> Vec<ReplicaPorts> {
    let ip = process_loopback_ip();
    let next = || SocketAddr::new(ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed));
    let ports = (0..count).map(|_replica| ReplicaPorts {
        peers: next(),
        entries: next(),
    });
    ports.collect()
}
