//! A proxy in front of a replica's ports for replicas and entries, which can cut one machine off from
//! the core as a partition does: bytes are held up and arrive after it, unless their sender resets.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How long a direction waits for bytes before it checks the cut again.
const POLL: Duration = Duration::from_millis(5);
/// The sender's kernel sends the end of a closed connection once the held bytes are acknowledged.
const ROUND_TRIP: Duration = Duration::from_millis(3);
const NOBODY: usize = usize::MAX;

/// The machine that is cut off from the core, and the processes of all machines: the replicas first.
#[derive(Debug)]
pub struct Partition {
    cut_off: AtomicUsize,
    processes: Mutex<Vec<u32>>,
}

impl Partition {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            cut_off: AtomicUsize::new(NOBODY),
            processes: Mutex::default(),
        })
    }

    pub fn set_processes(&self, ids: Vec<u32>) {
        *self
            .processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = ids;
    }

    pub fn cut(&self, machine: usize) {
        self.cut_off.store(machine, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.cut_off.store(NOBODY, Ordering::SeqCst);
    }

    fn separates(&self, from: Option<usize>, to: usize) -> bool {
        let cut_off = self.cut_off.load(Ordering::SeqCst);
        from.is_some() && cut_off != NOBODY && (from == Some(cut_off) || to == cut_off)
    }

    /// The machine whose process has this end of a connection.
    fn machine_of(&self, local: SocketAddr, remote: SocketAddr) -> Option<usize> {
        let inode = inode_of(local, remote)?;
        let wanted = format!("socket:[{inode}]");
        let ids = self
            .processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ids.iter().position(|id| {
            let Ok(files) = fs::read_dir(format!("/proc/{id}/fd")) else {
                return false;
            };
            files
                .flatten()
                .filter_map(|file| fs::read_link(file.path()).ok())
                .any(|link| link.to_str() == Some(wanted.as_str()))
        })
    }
}

/// Finds the inode of the socket with these two ends.
fn inode_of(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (hex(local)?, hex(remote)?);
    table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_it =
            columns.get(1) == Some(&local.as_str()) && columns.get(2) == Some(&remote.as_str());
        is_it.then(|| columns.get(9).map(|inode| (*inode).to_owned()))?
    })
}

fn hex(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let number = u32::from_ne_bytes(ip.octets());
    Some(format!("{number:08X}:{:04X}", address.port()))
}

/// Serves the connections to one port of the replica `to`.
pub fn serve(
    outer: SocketAddr,
    inner: SocketAddr,
    to: usize,
    partition: &Arc<Partition>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(outer)?;
    let partition = Arc::clone(partition);
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let partition = Arc::clone(&partition);
            thread::spawn(move || forward(client, inner, to, &partition));
        }
    });
    Ok(())
}

fn forward(client: TcpStream, inner: SocketAddr, to: usize, partition: &Arc<Partition>) {
    let (Ok(near), Ok(far)) = (client.local_addr(), client.peer_addr()) else {
        return;
    };
    let from = partition.machine_of(far, near);
    if partition.separates(from, to) && !wait_for_heal(&client, from, to, partition) {
        return;
    }
    let Ok(server) = TcpStream::connect(inner) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(client_in), Ok(server_in)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let back = Arc::clone(partition);
    thread::spawn(move || forward_direction(server_in, client, from, to, &back));
    forward_direction(client_in, server, from, to, partition);
}

/// Waits until a connection that was opened during the cut can be established. Returns false if its
/// client gave up before, in which case nothing of it ever arrives.
fn wait_for_heal(
    client: &TcpStream,
    from: Option<usize>,
    to: usize,
    partition: &Partition,
) -> bool {
    let mut first = [0; 64 * 1024];
    while partition.separates(from, to) {
        thread::sleep(POLL);
    }
    if client.set_nonblocking(true).is_err() {
        return false;
    }
    // What the client has sent meanwhile stays in its socket. A peek does not show an end behind
    // it, so a client that has closed is recognized by the state of its connection.
    let peeked = client.peek(&mut first);
    let is_open = match peeked {
        Ok(0) => false,
        Ok(_) => !has_closed(client),
        Err(cause) => cause.kind() == ErrorKind::WouldBlock,
    };
    is_open && client.set_nonblocking(false).is_ok()
}

/// Whether the peer has closed its end: the socket is in the state CLOSE_WAIT.
fn has_closed(stream: &TcpStream) -> bool {
    let (Ok(near), Ok(far)) = (stream.local_addr(), stream.peer_addr()) else {
        return true;
    };
    let (Some(near), Some(far)) = (hex(near), hex(far)) else {
        return true;
    };
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let line = table.lines().find(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns.get(1) == Some(&near.as_str()) && columns.get(2) == Some(&far.as_str())
    });
    line.is_none_or(|line| line.split_whitespace().nth(3) != Some("01"))
}

fn forward_direction(
    mut input: TcpStream,
    mut output: TcpStream,
    from: Option<usize>,
    to: usize,
    partition: &Partition,
) {
    let mut held = Vec::new();
    let mut has_ended = false;
    let mut buffer = [0; 64 * 1024];
    if input.set_read_timeout(Some(POLL)).is_err() {
        return;
    }
    loop {
        if has_ended {
            thread::sleep(POLL);
        } else {
            match input.read(&mut buffer) {
                Ok(0) => has_ended = true,
                Ok(count) => held.extend_from_slice(&buffer[..count]),
                Err(cause)
                    if matches!(cause.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                // A reset: what was held up is lost.
                Err(_) => {
                    let _ = output.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
        if partition.separates(from, to) {
            continue;
        }
        if !held.is_empty() {
            if output.write_all(&held).is_err() {
                let _ = input.shutdown(Shutdown::Both);
                return;
            }
            held.clear();
        }
        if has_ended {
            thread::sleep(ROUND_TRIP);
            let _ = output.shutdown(Shutdown::Write);
            return;
        }
    }
}
