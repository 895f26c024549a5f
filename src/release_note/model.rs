use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::units::{
    Accelerators, Cores, EndpointId, MemoryMb, Millis, NoteVersion, RackId, Revision, ServiceName,
    Slots, TeamId, ZoneId,
};

/// How close together the members of a gang or the cells of a guarantee must stand.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All on one worker.
    Worker,
    /// All in one rack.
    Rack,
    /// All in one availability zone.
    #[default]
    Zone,
    /// Anywhere.
    Any,
}

/// One release note as an operator writes it in TOML.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// The operator's version number; it must be larger than the one in force.
    pub version: NoteVersion,
    /// What does not exist yet.
    #[serde(default)]
    pub added: NoteDefinitions,
    /// What exists and gets a new definition.
    #[serde(default)]
    pub changed: NoteDefinitions,
    /// What ceases to exist, by name.
    #[serde(default)]
    pub withdrawn: WithdrawnNames,
}

/// The definitions that a note adds or changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NoteDefinitions {
    /// Teams.
    pub teams: Vec<TeamSpec>,
    /// Guarantees, at most one a team.
    pub guarantees: Vec<GuaranteeSpec>,
    /// Availability zones with their racks.
    pub zones: Vec<ZoneSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Rules for the endpoints that are accepted.
    pub endpoints: Vec<EndpointRule>,
}

/// The names that a note withdraws.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct WithdrawnNames {
    /// Teams.
    pub teams: Vec<TeamId>,
    /// Teams whose guarantee ends.
    pub guarantees: Vec<TeamId>,
    /// Availability zones.
    pub zones: Vec<ZoneId>,
    /// Services.
    pub services: Vec<ServiceName>,
    /// Rule names, or single endpoints that a rule accepts and that are refused from now on.
    pub endpoints: Vec<EndpointId>,
}

/// A team and its limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The team's name.
    pub name: TeamId,
    /// How often one job of the team may be attempted.
    #[serde(default = "TeamSpec::default_attempts")]
    pub attempts_max: u32,
    /// How many jobs of the team may wait.
    #[serde(default = "TeamSpec::default_queue")]
    pub queued_jobs_max: u32,
    /// The largest memory that one task may be retried with.
    #[serde(default = "TeamSpec::default_memory")]
    pub task_memory_max_mb: MemoryMb,
    /// The team's weight among requests that queue for endpoints.
    #[serde(default = "TeamSpec::default_weight")]
    pub request_weight: u32,
}

impl TeamSpec {
    fn default_attempts() -> u32 {
        4
    }

    fn default_queue() -> u32 {
        10_000
    }

    fn default_memory() -> MemoryMb {
        MemoryMb(512 * 1024)
    }

    fn default_weight() -> u32 {
        1
    }
}

/// The shape of accelerators that a team is guaranteed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteeSpec {
    /// The team that holds the guarantee.
    pub team: TeamId,
    /// The cells, each group bound by itself.
    pub cells: Vec<GuaranteedCells>,
}

/// A group of equal cells that stand together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteedCells {
    /// How many cells.
    pub count: u32,
    /// Accelerators of one cell: 1, 2, 4 or 8, all on one worker.
    pub accelerators: Accelerators,
    /// How close together the cells of this group stand.
    #[serde(default)]
    pub adjacency: Adjacency,
}

/// Whether an availability zone may run work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Work may start there.
    #[default]
    In,
    /// Nothing may start there, and what runs there is moved away.
    Out,
}

/// An availability zone and its declared racks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// The zone's name.
    pub name: ZoneId,
    /// Whether work may start there.
    #[serde(default)]
    pub state: ZoneState,
    /// The racks that workers of this zone stand in.
    #[serde(default)]
    pub racks: Vec<RackSpec>,
}

/// A rack of equal workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RackSpec {
    /// The rack's name, unique in its zone.
    pub name: RackId,
    /// How many workers stand in it.
    pub workers: u32,
    /// Accelerators of each worker: 0, 1, 2, 4 or 8.
    pub accelerators: Accelerators,
    /// Processor cores of each worker.
    pub cores: Cores,
    /// Memory of each worker.
    pub memory_mb: MemoryMb,
}

/// A service that callers send requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: ServiceName,
    /// The longest time that one request may take in all.
    #[serde(default = "ServiceSpec::default_deadline")]
    pub deadline_max_ms: Millis,
}

impl ServiceSpec {
    fn default_deadline() -> Millis {
        Millis(60_000)
    }
}

/// A rule that accepts endpoints which announce themselves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRule {
    /// The rule's name.
    pub name: EndpointId,
    /// Endpoint ids that start with this prefix are accepted; the longest matching prefix decides.
    pub prefix: EndpointId,
    /// The service that they serve.
    pub service: ServiceName,
    /// The zones they may stand in; empty accepts every declared zone.
    #[serde(default)]
    pub zones: Vec<ZoneId>,
    /// The most request slots one endpoint may announce.
    pub slots_max: Slots,
    /// The most connections one endpoint may announce.
    pub connections_max: Slots,
}

/// The state that accepted notes have made.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClusterConfig {
    /// The revision of this state; zero before the first note.
    pub revision: Revision,
    /// The version of the last accepted note.
    pub note_version: NoteVersion,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamSpec>,
    /// Guarantees by team.
    pub guarantees: BTreeMap<TeamId, GuaranteeSpec>,
    /// Availability zones by name.
    pub zones: BTreeMap<ZoneId, ZoneSpec>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Endpoint rules by name.
    pub endpoint_rules: BTreeMap<EndpointId, EndpointRule>,
    /// Single endpoints that were withdrawn although a rule accepts them.
    pub refused_endpoints: BTreeSet<EndpointId>,
}
