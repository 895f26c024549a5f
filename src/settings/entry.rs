use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use super::listener::ListenerSettings;
use super::table_reader::TableReader;
use super::{Result, SettingsError, parse, read_file};
use crate::telemetry::LogLevel;
use crate::units::{EntryId, Millis, ZoneId};

/// Description of the id format in error messages.
pub(super) const ID_FORMAT: &str = "1 to 64 bytes of letters, digits, '-', '_', '.' and ':'";
/// Description of the log levels in error messages.
pub(super) const LOG_LEVEL_FORMAT: &str = "one of error, warn, info, debug, trace";

/// Timing of an entry's graceful shutdown.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopSettings {
    /// How long the health check fails before the listeners close, so that the load balancer stops
    /// sending requests here.
    pub balancer_wait_ms: Millis,
    /// Maximum time after that for requests in progress to finish.
    pub drain_max_ms: Millis,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            balancer_wait_ms: Millis(5_000),
            drain_max_ms: Millis(120_000),
        }
    }
}

impl StopSettings {
    pub(super) fn read(reader: &mut TableReader) -> Self {
        let defaults = Self::default();
        let stop = Self {
            balancer_wait_ms: reader.millis(
                "balancer_wait_ms",
                defaults.balancer_wait_ms,
                0..=120_000,
            ),
            drain_max_ms: reader.millis("drain_max_ms", defaults.drain_max_ms, 1_000..=3_600_000),
        };
        reader.reject_unknown_fields();
        stop
    }
}

/// Settings of `marjoramknot-entry`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// The entry's name, unique among entries.
    pub name: EntryId,
    /// The availability zone in which it runs.
    pub zone: ZoneId,
    /// Addresses at which the control replicas accept calls from entries.
    pub control: Vec<SocketAddr>,
    /// Minimum level of the events that are logged.
    pub log_level: LogLevel,
    /// The listener for callers.
    pub callers: ListenerSettings,
    /// The listener for endpoints and workers.
    pub fleet: ListenerSettings,
    /// The listener for operators, which serves health checks and metrics.
    pub operators: ListenerSettings,
    /// Timing of the graceful shutdown.
    pub stop: StopSettings,
}

impl EntrySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not TOML or has invalid fields. All invalid
    /// fields are listed in one error.
    pub fn load(path: &Path) -> Result<Self> {
        read_file(path)?.parse()
    }

    fn read(reader: &mut TableReader) -> Option<Self> {
        let name = reader.required("name", ID_FORMAT);
        let zone = reader.required("zone", ID_FORMAT);
        let control = reader.list(
            "control",
            1..=9,
            "an address of a control replica's `entries`",
        );
        check_distinct(reader, &control);
        let log_level = reader.optional("log_level", LogLevel::default(), LOG_LEVEL_FORMAT);
        let callers = ListenerSettings::read(&mut reader.table("callers"));
        let fleet = ListenerSettings::read(&mut reader.table("fleet"));
        let operators = ListenerSettings::read(&mut reader.table("operators"));
        let stop = StopSettings::read(&mut reader.table("stop"));
        Some(Self {
            name: name?,
            zone: zone?,
            control,
            log_level,
            callers: callers?,
            fleet: fleet?,
            operators: operators?,
            stop,
        })
    }
}

impl FromStr for EntrySettings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self> {
        parse(text, Self::read)
    }
}

fn check_distinct(reader: &TableReader, control: &[SocketAddr]) {
    let distinct: BTreeSet<_> = control.iter().collect();
    if distinct.len() < control.len() {
        reader.fault("control", "names an address twice; name each replica once");
    }
}
