use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use super::entry::{ID, LEVEL, StopSettings};
use super::fields::Fields;
use super::listener::ListenerSettings;
use super::seeds::{SEED, take_port};
use super::{Result, SettingsError, parse, read};
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
        read(path)?.parse()
    }

    /// Where the control replicas that the settings name take calls.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.seeds.iter().map(SocketAddr::ip);
        hosts
            .map(|host| SocketAddr::new(host, self.entries_port))
            .collect()
    }

    fn take(fields: &mut Fields) -> Option<Self> {
        let name = fields.required("name", ID);
        let zone = fields.required("zone", ID);
        let seeds = fields.list("seeds", 1..=9, SEED);
        let entries_port = take_port(fields, "entries_port");
        let log_level = fields.optional("log_level", LogLevel::default(), LEVEL);
        let callers = ListenerSettings::take(&mut fields.table("callers"));
        let health = ListenerSettings::take(&mut fields.table("health"));
        let stop = StopSettings::take(&mut fields.table("stop"));
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
        parse(text, Self::take)
    }
}
