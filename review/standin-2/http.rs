//! An HTTP/1.1 client on one connection that stays open between requests.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A client of one server.
#[derive(Debug)]
pub struct Client {
    pub address: SocketAddr,
    stream: Option<TcpStream>,
}

/// A request; the body is JSON.
#[derive(Clone, Debug, Default)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a str,
}

impl Client {
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Sends a request and returns the status and the body. A failed request closes the connection.
    pub fn send(&mut self, request: &Request<'_>, within: Duration) -> Result<(u16, String)> {
        let deadline = Instant::now() + within;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.address, within)?,
        };
        stream.set_nodelay(true)?;
        let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
        if !request.headers.iter().any(|(name, _)| *name == "Host") {
            head.push_str(&format!("Host: {}\r\n", self.address));
        }
        for (name, value) in request.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Content-Type: application/json\r\n");
        head.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
        head.push_str(request.body);
        stream.write_all(head.as_bytes())?;
        let (status, text, is_open) = read_response(&mut stream, deadline)?;
        if is_open {
            self.stream = Some(stream);
        }
        Ok((status, text))
    }
}

fn read_response(stream: &mut TcpStream, deadline: Instant) -> Result<(u16, String, bool)> {
    let mut received = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(end) = find(&received, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:"))
                .and_then(|value| value.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if received.len() >= end + 4 + length {
                let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
                let body = &received[end + 4..end + 4 + length];
                let text = String::from_utf8_lossy(body).into_owned();
                let is_open = !head.contains("connection: close");
                return Ok((status.unwrap_or(0), text, is_open));
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => received.extend_from_slice(&buffer[..count]),
            Err(cause) if cause.kind() == ErrorKind::WouldBlock => {
                return Err(Error::from(ErrorKind::TimedOut));
            }
            Err(cause) => return Err(cause),
        }
    }
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}
