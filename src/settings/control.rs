use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use super::entry::{ID, LEVEL};
use super::fields::Fields;
use super::listener::{ListenerSettings, dialled};
use super::seeds::SeedSettings;
use super::{Result, SettingsError, parse, read};
use crate::telemetry::LogLevel;
use crate::units::{ReplicaId, ZoneId};
use crate::workload::PlannerOptions;

/// Most replicas of a control group.
const REPLICAS_MAX: usize = 7;

/// Where a control replica is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaAddresses {
    /// The replica's name.
    pub name: ReplicaId,
    /// Where other replicas reach it.
    pub peers: SocketAddr,
    /// Where entries reach it.
    pub entries: SocketAddr,
}

/// Settings of `marjoramknot-control`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// This replica's name, one of `replicas`.
    pub name: ReplicaId,
    /// The availability zone that it stands in.
    pub zone: ZoneId,
    /// The folder that holds all its files.
    pub data_folder: PathBuf,
    /// The log's level.
    pub log_level: LogLevel,
    /// All replicas of the group at its first start, this one among them; in a seeded group those
    /// that the settings know.
    pub replicas: Vec<ReplicaAddresses>,
    /// How the group forms and grows where not all replicas are listed.
    pub seeded: Option<SeedSettings>,
    /// Times and limits of the planner.
    pub planner: PlannerOptions,
    /// The listener for health and metrics.
    pub operators: ListenerSettings,
}

impl ControlSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The file cannot be read, is not TOML, or has faults, all of which are listed.
    pub fn load(path: &Path) -> Result<Self> {
        read(path)?.parse()
    }

    /// Where this replica listens.
    ///
    /// # Panics
    /// Checked settings name this replica among the replicas.
    #[must_use]
    pub fn own_addresses(&self) -> &ReplicaAddresses {
        self.replicas
            .iter()
            .find(|replica| replica.name == self.name)
            .expect("checked settings name this replica")
    }

    fn take(fields: &mut Fields) -> Option<Self> {
        let name: Option<ReplicaId> = fields.required("name", ID);
        let zone = fields.required("zone", ID);
        let data_folder = fields.required::<PathBuf>("data_folder", "a folder on a disk");
        if data_folder
            .as_ref()
            .is_some_and(|path| path.as_os_str().is_empty())
        {
            fields.fault("data_folder", "is empty; give a folder on a disk");
        }
        let log_level = fields.optional("log_level", LogLevel::default(), LEVEL);
        let planner = take_planner(&mut fields.table("planner"));
        let seeds = fields.table("seeded");
        let (name, replicas, seeded) = if seeds.is_empty() {
            let replicas = take_replicas(fields);
            if let Some(name) = &name {
                check_named(fields, name, &replicas);
            }
            (name, replicas, None)
        } else {
            let seeded = SeedSettings::take(seeds);
            let own = seeded.as_ref().map(SeedSettings::own_name);
            let replicas = seeded.as_ref().map(SeedSettings::replicas);
            (own, replicas.unwrap_or_default(), seeded)
        };
        let operators = ListenerSettings::take(&mut fields.table("operators"));
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

/// Takes the planner's times and limits.
fn take_planner(fields: &mut Fields) -> PlannerOptions {
    let defaults = PlannerOptions::builder().build();
    let mut span = |key, default, range| fields.millis(key, default, range);
    let lease_ms = span("lease_ms", defaults.lease_ms, 500..=600_000);
    let report_after_ms = span("report_after_ms", defaults.report_after_ms, 20..=60_000);
    let fresh_ms = span("fresh_ms", defaults.fresh_ms, 100..=60_000);
    let stop_ms = span("stop_ms", defaults.stop_ms, 10..=600_000);
    let gang_wait_ms = span("gang_wait_ms", defaults.gang_wait_ms, 100..=600_000);
    let urgent_start_ms = span("urgent_start_ms", defaults.urgent_start_ms, 500..=600_000);
    let early_ms = span("early_ms", defaults.early_ms, 0..=60_000);
    let far_factor = fields.number("far_factor", defaults.far_factor, 1..=100);
    let spread = fields.number("report_spread_us", defaults.report_spread_us, 0..=1_000_000);
    fields.close();
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
        .build()
}

impl FromStr for ControlSettings {
    type Err = SettingsError;

    fn from_str(text: &str) -> Result<Self> {
        parse(text, Self::take)
    }
}

fn take_replicas(fields: &mut Fields) -> Vec<ReplicaAddresses> {
    let tables = fields.tables("replicas", 1..=REPLICAS_MAX);
    if tables.len().is_multiple_of(2) && !tables.is_empty() {
        let fault = format!("has {} items; an odd number is allowed", tables.len());
        fields.fault("replicas", fault);
    }
    let replicas: Vec<_> = tables.into_iter().filter_map(take_replica).collect();
    check_distinct(fields, &replicas);
    replicas
}

fn take_replica(mut fields: Fields) -> Option<ReplicaAddresses> {
    let name = fields.required("name", ID);
    let peers = dialled(&mut fields, "peers");
    let entries = dialled(&mut fields, "entries");
    fields.close();
    Some(ReplicaAddresses {
        name: name?,
        peers: peers?,
        entries: entries?,
    })
}

fn check_distinct(fields: &Fields, replicas: &[ReplicaAddresses]) {
    let names: BTreeSet<_> = replicas.iter().map(|replica| &replica.name).collect();
    if names.len() < replicas.len() {
        fields.fault("replicas", "has a name twice; names are unique");
    }
    let addresses = replicas
        .iter()
        .flat_map(|replica| [replica.peers, replica.entries]);
    let distinct: BTreeSet<_> = addresses.collect();
    if distinct.len() < 2 * replicas.len() {
        fields.fault("replicas", "has an address twice; addresses are unique");
    }
}

fn check_named(fields: &Fields, name: &ReplicaId, replicas: &[ReplicaAddresses]) {
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
        fields.fault("name", fault);
    }
}
