use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use super::entry::{ID_FORMAT, LOG_LEVEL_FORMAT};
use super::listener::{ListenerSettings, read_dialable_address};
use super::seeds::SeedSettings;
use super::table_reader::TableReader;
use super::{Result, SettingsError, parse, read_file};
use crate::telemetry::LogLevel;
use crate::units::{ReplicaId, ZoneId};
use crate::workload::PlannerOptions;

/// Maximum number of replicas listed for a control group.
const REPLICAS_MAX: usize = 7;

/// Addresses at which a control replica is reachable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaAddresses {
    /// The replica's name, unique in the group.
    pub name: ReplicaId,
    /// Address for traffic from other replicas.
    pub peers: SocketAddr,
    /// Address for calls from entries.
    pub entries: SocketAddr,
}

/// Settings of `marjoramknot-control`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// This replica's name, one of `replicas`.
    pub name: ReplicaId,
    /// The availability zone in which it runs.
    pub zone: ZoneId,
    /// The folder that holds the replica's log, snapshots and identity.
    pub data_folder: PathBuf,
    /// Minimum level of the events that are logged.
    pub log_level: LogLevel,
    /// All replicas of the group at its first start, including this one. For a seeded group, the
    /// seeds and this replica.
    pub replicas: Vec<ReplicaAddresses>,
    /// How the group forms and grows if the settings do not list all replicas.
    pub seeded: Option<SeedSettings>,
    /// Timeouts and limits of the workload planner.
    pub planner: PlannerOptions,
    /// The listener for operators, which serves health checks and metrics.
    pub operators: ListenerSettings,
}

impl ControlSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not TOML or has invalid fields. All invalid
    /// fields are listed in one error.
    pub fn load(path: &Path) -> Result<Self> {
        read_file(path)?.parse()
    }

    /// Returns this replica's entry in `replicas`.
    ///
    /// # Panics
    /// Panics if `replicas` does not contain `name`. Settings that passed validation do.
    #[must_use]
    pub fn own_addresses(&self) -> &ReplicaAddresses {
        self.replicas
            .iter()
            .find(|replica| replica.name == self.name)
            .expect("validated settings list this replica")
    }

    /// Returns the addresses at which `replicas` accept calls from entries.
    #[must_use]
    pub fn entries_addresses(&self) -> Vec<SocketAddr> {
        let replicas = self.replicas.iter();
        replicas.map(|replica| replica.entries).collect()
    }

    fn read(reader: &mut TableReader) -> Option<Self> {
        let name: Option<ReplicaId> = reader.required("name", ID_FORMAT);
        let zone = reader.required("zone", ID_FORMAT);
        let data_folder = reader.required::<PathBuf>("data_folder", "a folder on a disk");
        if data_folder
            .as_ref()
            .is_some_and(|path| path.as_os_str().is_empty())
        {
            reader.fault("data_folder", "is empty; give a folder on a disk");
        }
        let log_level = reader.optional("log_level", LogLevel::default(), LOG_LEVEL_FORMAT);
        let planner = read_planner(&mut reader.table("planner"));
        let seeds = reader.table("seeded");
        let (name, replicas, seeded) = if seeds.is_empty() {
            let replicas = read_replicas(reader);
            if let Some(name) = &name {
                check_own_name(reader, name, &replicas);
            }
            (name, replicas, None)
        } else {
            let seeded = SeedSettings::read(seeds);
            let own = seeded.as_ref().map(SeedSettings::own_name);
            let replicas = seeded.as_ref().map(SeedSettings::replicas);
            (own, replicas.unwrap_or_default(), seeded)
        };
        let operators = ListenerSettings::read(&mut reader.table("operators"));
        Some(Self {
            name: name?,
            zone: zone?,
            data_folder: data_folder?,
            log_level,
            replicas,
            seeded,
            planner,
            operators: operators?,
        })
    }
}

/// Reads the planner's timeouts and limits; absent fields keep the planner's defaults.
fn read_planner(reader: &mut TableReader) -> PlannerOptions {
    let defaults = PlannerOptions::builder().build();
    let mut duration = |key, default, range| reader.millis(key, default, range);
    let lease_ms = duration("lease_ms", defaults.lease_ms, 500..=600_000);
    let report_after_ms = duration("report_after_ms", defaults.report_after_ms, 20..=60_000);
    let fresh_ms = duration("fresh_ms", defaults.fresh_ms, 100..=60_000);
    let stop_ms = duration("stop_ms", defaults.stop_ms, 10..=600_000);
    let gang_wait_ms = duration("gang_wait_ms", defaults.gang_wait_ms, 100..=600_000);
    let urgent_start_ms = duration("urgent_start_ms", defaults.urgent_start_ms, 500..=600_000);
    let early_ms = duration("early_ms", defaults.early_ms, 0..=60_000);
    let pace_ms = duration("pace_ms", defaults.pace_ms, 10..=10_000);
    let harm_ms = duration("harm_ms", defaults.harm_ms, 500..=600_000);
    let interference = reader.flag("interference", defaults.interference);
    let far_factor = reader.number("far_factor", defaults.far_factor, 1..=100);
    let spread = reader.number("report_spread_us", defaults.report_spread_us, 0..=1_000_000);
    let uneven = reader.number(
        "uneven_speed_percent",
        defaults.uneven_speed_percent,
        0..=10_000,
    );
    reader.reject_unknown_fields();
    PlannerOptions::builder()
        .lease_ms(lease_ms)
        .report_after_ms(report_after_ms)
        .report_spread_us(spread)
        .fresh_ms(fresh_ms)
        .stop_ms(stop_ms)
        .far_factor(far_factor)
        .gang_wait_ms(gang_wait_ms)
        .urgent_start_ms(urgent_start_ms)
        .early_ms(early_ms)
        .uneven_speed_percent(uneven)
        .interference(interference)
        .pace_ms(pace_ms)
        .harm_ms(harm_ms)
        .build()
}

impl FromStr for ControlSettings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self> {
        parse(text, Self::read)
    }
}

fn read_replicas(reader: &mut TableReader) -> Vec<ReplicaAddresses> {
    let tables = reader.tables("replicas", 1..=REPLICAS_MAX);
    if tables.len().is_multiple_of(2) && !tables.is_empty() {
        let fault = format!("has {} items; an odd number is allowed", tables.len());
        reader.fault("replicas", fault);
    }
    let replicas: Vec<_> = tables.into_iter().filter_map(read_replica).collect();
    check_distinct(reader, &replicas);
    replicas
}

fn read_replica(mut reader: TableReader) -> Option<ReplicaAddresses> {
    let name = reader.required("name", ID_FORMAT);
    let peers = read_dialable_address(&mut reader, "peers");
    let entries = read_dialable_address(&mut reader, "entries");
    reader.reject_unknown_fields();
    Some(ReplicaAddresses {
        name: name?,
        peers: peers?,
        entries: entries?,
    })
}

fn check_distinct(reader: &TableReader, replicas: &[ReplicaAddresses]) {
    let names: BTreeSet<_> = replicas.iter().map(|replica| &replica.name).collect();
    if names.len() < replicas.len() {
        reader.fault("replicas", "has a name twice; names are unique");
    }
    let addresses = replicas
        .iter()
        .flat_map(|replica| [replica.peers, replica.entries]);
    let distinct: BTreeSet<_> = addresses.collect();
    if distinct.len() < 2 * replicas.len() {
        reader.fault("replicas", "has an address twice; addresses are unique");
    }
}

fn check_own_name(reader: &TableReader, name: &ReplicaId, replicas: &[ReplicaAddresses]) {
    let known = replicas.iter().any(|replica| replica.name == *name);
    if !known && !replicas.is_empty() {
        let names: Vec<_> = replicas
            .iter()
            .map(|replica| replica.name.as_str())
            .collect();
        let fault = format!(
            "is \"{name}\"; one of replicas is allowed: {}",
            names.join(", ")
        );
        reader.fault("name", fault);
    }
}
