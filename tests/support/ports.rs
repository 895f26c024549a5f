//! Ports for control replicas, which must know each other's before they start.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// Where one control replica listens.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaPorts {
    pub peers: SocketAddr,
    pub entries: SocketAddr,
}

/// A loopback address that no other process of this machine uses: it is made of our process id.
fn own_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (high & 63), middle, low.max(1)))
}

/// Finds free ports on an address of our own, where nobody takes them in between.
pub fn replica_ports(count: usize) -> Vec<ReplicaPorts> {
    let bind = || TcpListener::bind((own_ip(), 0)).expect("a free port is bound");
    let held: Vec<_> = (0..count).map(|_replica| (bind(), bind())).collect();
    let address = |socket: &TcpListener| socket.local_addr().expect("a socket has an address");
    let ports = held.iter().map(|(peers, entries)| ReplicaPorts {
        peers: address(peers),
        entries: address(entries),
    });
    ports.collect()
}
