use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use super::entry::{ID_FORMAT, LOG_LEVEL_FORMAT, StopSettings};
use super::listener::ListenerSettings;
use super::seeds::{SEED_FORMAT, read_port};
use super::table_reader::TableReader;
use super::{Result, SettingsError, parse, read_file};
use crate::telemetry::LogLevel;
use crate::units::{EntryId, ZoneId};

/// Settings of an entry that serves callers in front of a seeded control group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// The entry's name, unique among entries.
    pub name: EntryId,
    /// The availability zone in which it runs.
    pub zone: ZoneId,
    /// Addresses of some control replicas. Only the IP addresses are used, not the ports.
    pub seeds: Vec<SocketAddr>,
    /// Port on which every control replica accepts calls from entries.
    pub entries_port: u16,
    /// Minimum level of the events that are logged.
    pub log_level: LogLevel,
    /// The listener for callers.
    pub callers: ListenerSettings,
    /// The listener for the load balancer's health check and for metrics.
    pub health: ListenerSettings,
    /// Timing of the graceful shutdown.
    pub stop: StopSettings,
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not TOML or has invalid fields. All invalid
    /// fields are listed in one error.
    pub fn load(path: &Path) -> Result<Self> {
        read_file(path)?.parse()
    }

    /// Returns the addresses at which the seeds accept calls from entries.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.seeds.iter().map(SocketAddr::ip);
        hosts
            .map(|host| SocketAddr::new(host, self.entries_port))
            .collect()
    }

    fn read(reader: &mut TableReader) -> Option<Self> {
        let name = reader.required("name", ID_FORMAT);
        let zone = reader.required("zone", ID_FORMAT);
        let seeds = reader.list("seeds", 1..=9, SEED_FORMAT);
        let entries_port = read_port(reader, "entries_port");
        let log_level = reader.optional("log_level", LogLevel::default(), LOG_LEVEL_FORMAT);
        let callers = ListenerSettings::read(&mut reader.table("callers"));
        let health = ListenerSettings::read(&mut reader.table("health"));
        let stop = StopSettings::read(&mut reader.table("stop"));
        Some(Self {
            name: name?,
            zone: zone?,
            seeds,
            entries_port: entries_port?,
            log_level,
            callers: callers?,
            health: health?,
            stop,
        })
    }
}

impl FromStr for GatewaySettings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self> {
        parse(text, Self::read)
    }
}
