//! A small HTTP/1.1 client over a kept-alive connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A client of one address. It opens a new connection after each failure.
pub struct Client {
    pub address: SocketAddr,
    stream: Option<TcpStream>,
}

pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Sends a request and waits up to `within` for the whole answer.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        within: Duration,
    ) -> io::Result<Answer> {
        let deadline = Instant::now() + within;
        let result = self.exchange(method, path, headers, body, deadline);
        if result.is_err() {
            self.stream = None;
        }
        result
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        deadline: Instant,
    ) -> io::Result<Answer> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, left(deadline)?)?;
            stream.set_nodelay(true)?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut().expect("the stream was just opened");
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "Host") {
            head.push_str("Host: control.example\r\n");
        }
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            head.push_str("Content-Type: application/json\r\n");
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        stream.write_all(head.as_bytes())?;
        let mut bytes = Vec::new();
        let (head_end, length, status, close) = loop {
            if let Some(found) = parse_head(&bytes) {
                break found;
            }
            read_more(stream, &mut bytes, deadline)?;
        };
        while bytes.len() < head_end + length {
            read_more(stream, &mut bytes, deadline)?;
        }
        let body = String::from_utf8_lossy(&bytes[head_end..head_end + length]).into_owned();
        if close {
            self.stream = None;
        }
        Ok(Answer { status, body })
    }
}

fn left(deadline: Instant) -> io::Result<Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(left)
}

fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>, deadline: Instant) -> io::Result<()> {
    stream.set_read_timeout(Some(left(deadline)?))?;
    let mut buffer = [0; 16 * 1024];
    let count = stream.read(&mut buffer)?;
    if count == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    bytes.extend_from_slice(&buffer[..count]);
    Ok(())
}

/// Returns the end of the head, the length of the body, the status and whether the server closes.
fn parse_head(bytes: &[u8]) -> Option<(usize, usize, u16, bool)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let field = |name: &str| {
        head.lines()
            .find_map(|line| line.strip_prefix(name))
            .map(str::trim)
            .map(str::to_owned)
    };
    let length = field("content-length:").and_then(|v| v.parse().ok());
    let close = field("connection:").is_some_and(|v| v == "close");
    Some((end, length.unwrap_or(0), status, close))
}
