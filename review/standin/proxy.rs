//! A TCP proxy whose open connections can go silent while new ones work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    /// Connections with a lower generation pass nothing on, neither bytes nor their end.
    generation: Arc<AtomicU64>,
    /// Connections with a lower generation pass on nothing towards the client.
    answers: Arc<AtomicU64>,
    pub opened: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let proxy = Self {
            generation: Arc::default(),
            answers: Arc::default(),
            opened: Arc::default(),
        };
        let listener = TcpListener::bind(listen).expect("the proxy's port is free");
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                accepting.serve(client, target);
            }
        });
        proxy
    }

    /// Silences all connections that are open now, in both directions and for good.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Silences all connections that are open now towards the client, for good.
    pub fn silence_answers(&self) {
        self.answers.fetch_add(1, Ordering::SeqCst);
    }

    fn serve(&self, client: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect_timeout(&target, Duration::from_millis(400)) else {
            return;
        };
        self.opened.fetch_add(1, Ordering::SeqCst);
        drop(client.set_nodelay(true));
        drop(server.set_nodelay(true));
        let own = self.generation.load(Ordering::SeqCst);
        let own_answers = self.answers.load(Ordering::SeqCst);
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let (generation, answers) = (Arc::clone(&self.generation), Arc::clone(&self.answers));
        let is_open = move || generation.load(Ordering::SeqCst) == own;
        let to_server = is_open.clone();
        thread::spawn(move || pump(client, server, to_server));
        let to_client = move || is_open() && answers.load(Ordering::SeqCst) == own_answers;
        thread::spawn(move || pump(server_copy, client_copy, to_client));
    }
}

/// Passes bytes on while `is_open`. A silenced connection is kept open, like one whose packets are
/// lost.
fn pump(mut from: TcpStream, mut to: TcpStream, is_open: impl Fn() -> bool) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if !is_open() {
            loop {
                thread::sleep(Duration::from_secs(3_600));
            }
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            drop(to.shutdown(std::net::Shutdown::Both));
            return;
        }
    }
}
