//! Measures processor time and network traffic (heartbeats and responses) of an idle group.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::Figure;
use crate::group::{Group, Settings, runtime};

const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;

pub fn measure() -> Vec<Figure> {
    let mut figures = Vec::new();
    for voters in [3_u32, 5] {
        let settings = Settings {
            voters: voters as usize,
            ..Settings::DEFAULT
        };
        let cores_per_voter = runtime().block_on(cpu_usage(settings)) / f64::from(voters);
        let bytes = runtime().block_on(bytes_per_second(settings));
        figures.push(Figure::new(
            format!("idle_core_percent_{voters}_voters"),
            cores_per_voter * 100.0,
        ));
        // All traffic of the group is to or from the leader.
        figures.push(Figure::new(
            format!("idle_leader_bytes_s_{voters}_voters"),
            bytes,
        ));
    }
    figures
}

async fn cpu_usage(settings: Settings) -> f64 {
    let group = Group::start(settings).await;
    group.leader().await;
    let before = cpu_time_s();
    tokio::time::sleep(MEASURED_TIME).await;
    (cpu_time_s() - before) / MEASURED_TIME.as_secs_f64()
}

async fn bytes_per_second(settings: Settings) -> f64 {
    let bytes = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&bytes);
    let group = Group::start_with_proxies(settings, async move |address| {
        start_counting_proxy(address, Arc::clone(&counted)).await
    });
    let group = group.await;
    group.leader().await;
    let before = bytes.load(Ordering::Relaxed);
    tokio::time::sleep(MEASURED_TIME).await;
    let counted = u32::try_from(bytes.load(Ordering::Relaxed) - before).unwrap_or(u32::MAX);
    f64::from(counted) / MEASURED_TIME.as_secs_f64()
}

/// Returns the user and system time of this process in seconds.
fn cpu_time_s() -> f64 {
    /// Indices of `utime` and `stime` among the fields after the command name.
    const CPU_TIME_FIELDS: std::ops::Range<usize> = 11..13;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let times = fields
        .skip(CPU_TIME_FIELDS.start)
        .take(CPU_TIME_FIELDS.len());
    times
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_S
}

/// Starts a proxy in front of `target` that counts the bytes sent in both directions, and returns
/// its address.
async fn start_counting_proxy(target: SocketAddr, bytes: Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("no free loopback port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else {
                continue;
            };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::spawn(copy_counted(client_read, server_write, Arc::clone(&bytes)));
            tokio::spawn(copy_counted(server_read, client_write, Arc::clone(&bytes)));
        }
    });
    address
}

async fn copy_counted(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
        bytes.fetch_add(read as u64, Ordering::Relaxed);
    }
}
