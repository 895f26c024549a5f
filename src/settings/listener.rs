use std::net::SocketAddr;

use super::table_reader::TableReader;
use crate::units::Millis;

/// Description of the address format in error messages.
const ADDRESS_FORMAT: &str = "an IP address with a port, such as \"10.0.0.5:7000\"";

/// Default of the maximum size of a request body.
const BODY_MAX_BYTES: usize = 1_024 * 1_024;
/// Number of bodies of maximum size in the default budget. On the smallest machine (120 MB) two
/// listeners with 1,024 connections each stay below 100 MB.
const BUDGET_BODIES: usize = 16;
/// Minimum number of bodies of maximum size in a budget, a quarter of which is for small bodies.
const BUDGET_MIN_BODIES: usize = 2;
/// Maximum of the default budget. A larger one must be set.
const BUDGET_DEFAULT_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Address of a listener, and the limits that it puts on its clients.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenerSettings {
    /// Address to listen on. With port 0 the operating system chooses a free port, which is logged
    /// as `address` of the event `listening`.
    pub listen: SocketAddr,
    /// Maximum number of concurrent connections.
    pub connections_max: usize,
    /// Maximum size of a request's header section, in bytes.
    pub header_max_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Maximum size of all request bodies that are received or not yet answered, in bytes.
    pub body_budget_bytes: usize,
    /// Maximum time for a client to send the header section, and maximum time that a connection
    /// may stay idle.
    pub header_timeout_ms: Millis,
    /// Maximum time for a client to send a request body.
    pub body_timeout_ms: Millis,
    /// Maximum time during which a client reads none of the bytes that are ready for it.
    pub write_timeout_ms: Millis,
}

impl ListenerSettings {
    /// Returns settings for this address with the default limits.
    #[must_use]
    pub const fn with_defaults(listen: SocketAddr) -> Self {
        Self {
            listen,
            connections_max: 1_024,
            header_max_bytes: 20 * 1_024,
            body_max_bytes: BODY_MAX_BYTES,
            body_budget_bytes: default_budget_bytes(BODY_MAX_BYTES),
            header_timeout_ms: Millis(20_000),
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
        let body_budget_bytes = size(
            "body_budget_bytes",
            default_budget_bytes(body_max_bytes),
            2_048..=1_024 * 1_024 * 1_024,
        );
        if body_budget_bytes < BUDGET_MIN_BODIES * body_max_bytes {
            let fault = format!(
                "is {body_budget_bytes}; at least {BUDGET_MIN_BODIES} times body_max_bytes \
                 ({body_max_bytes}) is allowed"
            );
            reader.fault("body_budget_bytes", fault);
        }
        let mut duration = |key, default| reader.millis(key, default, 100..=300_000);
        let header_timeout_ms = duration("header_timeout_ms", defaults.header_timeout_ms);
        let body_timeout_ms = duration("body_timeout_ms", defaults.body_timeout_ms);
        let write_timeout_ms = duration("write_timeout_ms", defaults.write_timeout_ms);
        reader.reject_unknown_fields();
        Some(Self {
            listen: listen?,
            connections_max,
            header_max_bytes,
            body_max_bytes,
            body_budget_bytes,
            header_timeout_ms,
            body_timeout_ms,
            write_timeout_ms,
        })
    }
}

/// Returns the default budget for bodies of this maximum size.
const fn default_budget_bytes(body_max_bytes: usize) -> usize {
    let wanted = BUDGET_BODIES.saturating_mul(body_max_bytes);
    let bounded = if wanted < BUDGET_DEFAULT_MAX_BYTES {
        wanted
    } else {
        BUDGET_DEFAULT_MAX_BYTES
    };
    let least = BUDGET_MIN_BODIES.saturating_mul(body_max_bytes);
    if bounded < least { least } else { bounded }
}

/// Reads an address to which other processes connect.
///
/// Port 0 and unspecified addresses such as 0.0.0.0 are valid only for listening, and are rejected.
pub(super) fn read_dialable_address(reader: &mut TableReader, key: &str) -> Option<SocketAddr> {
    let address: SocketAddr = reader.required(key, ADDRESS_FORMAT)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        reader.fault(
            key,
            format!(
                "is \"{address}\", to which no process can connect; give {ADDRESS_FORMAT}, port 1 to 65535"
            ),
        );
        return None;
    }
    Some(address)
}
