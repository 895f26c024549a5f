use std::net::SocketAddr;

use super::table_reader::TableReader;
use crate::units::Millis;

/// What a listening address looks like, for messages.
const ADDRESS_FORMAT: &str = "an IP address with a port, such as \"10.0.0.5:7000\"";

/// Where a listener listens and what it allows its clients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenerSettings {
    /// Where it listens; port 0 lets the system choose one, which the log tells.
    pub listen: SocketAddr,
    /// Connections that it holds at once.
    pub connections_max: usize,
    /// Largest head of a request in bytes.
    pub header_max_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_max_bytes: usize,
    /// How long a client may take to send a head, and how long a connection may stay idle.
    pub header_timeout_ms: Millis,
    /// How long a client may take to send a body.
    pub body_timeout_ms: Millis,
    /// How long a client may take none of the bytes that are ready for it.
    pub write_timeout_ms: Millis,
}

impl ListenerSettings {
    /// Settings with the defaults for everything but the address.
    #[must_use]
    pub const fn with_defaults(listen: SocketAddr) -> Self {
        Self {
            listen,
            connections_max: 1_024,
            header_max_bytes: 32 * 1_024,
            body_max_bytes: 1_024 * 1_024,
            header_timeout_ms: Millis(10_000),
            body_timeout_ms: Millis(30_000),
            write_timeout_ms: Millis(30_000),
        }
    }

    pub(super) fn read(reader: &mut TableReader) -> Option<Self> {
        let listen = reader.required("listen", ADDRESS_FORMAT);
        let defaults = Self::with_defaults(SocketAddr::from(([127, 0, 0, 1], 0)));
        let mut size = |key, default: usize, range| {
            let number = reader.number(key, u64::try_from(default).unwrap_or(u64::MAX), range);
            usize::try_from(number).unwrap_or(default)
        };
        let connections_max = size("connections_max", defaults.connections_max, 1..=100_000);
        let header_max_bytes = size(
            "header_max_bytes",
            defaults.header_max_bytes,
            8_192..=65_536,
        );
        let body_max_bytes = size(
            "body_max_bytes",
            defaults.body_max_bytes,
            1_024..=64 * 1_024 * 1_024,
        );
        let mut span = |key, default| reader.millis(key, default, 100..=300_000);
        let header_timeout_ms = span("header_timeout_ms", defaults.header_timeout_ms);
        let body_timeout_ms = span("body_timeout_ms", defaults.body_timeout_ms);
        let write_timeout_ms = span("write_timeout_ms", defaults.write_timeout_ms);
        reader.reject_unknown_fields();
        Some(Self {
            listen: listen?,
            connections_max,
            header_max_bytes,
            body_max_bytes,
            header_timeout_ms,
            body_timeout_ms,
            write_timeout_ms,
        })
    }
}

/// Takes an address that others must be able to dial.
pub(super) fn read_dialable_address(reader: &mut TableReader, key: &str) -> Option<SocketAddr> {
    let address: SocketAddr = reader.required(key, ADDRESS_FORMAT)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        reader.fault(
            key,
            format!(
                "is \"{address}\", which nobody can dial; give {ADDRESS_FORMAT}, port 1 to 65535"
            ),
        );
        return None;
    }
    Some(address)
}
