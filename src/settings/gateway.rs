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

/// Settings of an entry that serves callers of a seeded control group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// The entry's name, unique among entries.
    pub name: EntryId,
    /// The availability zone that it stands in.
    pub zone: ZoneId,
    /// Some control replicas; only the IP addresses count.
    pub seeds: Vec<SocketAddr>,
    /// Where each control replica takes calls of entries.
    pub entries_port: u16,
    /// The log's level.
    pub log_level: LogLevel,
    /// The callers' listener.
    pub callers: ListenerSettings,
    /// The listener for the balancer's health check and metrics.
    pub health: ListenerSettings,
    /// How the entry stops.
    pub stop: StopSettings,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The file cannot be read, is not TOML, or has faults, all of which are listed.
    pub fn load(path: &Path) -> Result<Self> {
        read_file(path)?.parse()
    }

    /// Where the control replicas that the settings name take calls.
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
