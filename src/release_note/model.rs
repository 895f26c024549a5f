use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::units::{
    Accelerators, Cores, EndpointId, MemoryMb, Millis, NoteVersion, RackId, Revision, ServiceName,
    Slots, TeamId, ZoneId,
};

/// How close together the members of a gang or the cells of a guarantee must be placed.
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
    /// No restriction.
    Any,
}

/// A release note as an operator writes it in TOML.
///
/// The digest of a note depends on the order of the fields here and in the types that it holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// The operator's version number, larger than the one in force.
    pub version: NoteVersion,
    /// Definitions that do not exist yet.
    #[serde(default)]
    pub added: NoteDefinitions,
    /// New definitions that replace existing ones.
    #[serde(default)]
    pub changed: NoteDefinitions,
    /// Names of the definitions to remove.
    #[serde(default)]
    pub withdrawn: WithdrawnNames,
}

/// The definitions that a note adds or changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NoteDefinitions {
    /// Teams.
    pub teams: Vec<TeamSpec>,
    /// Guarantees, at most one per team.
    pub guarantees: Vec<GuaranteeSpec>,
    /// Availability zones with their racks.
    pub zones: Vec<ZoneSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Rules that accept endpoints.
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
    /// Names of rules to remove, or ids of single endpoints to refuse although a rule accepts them.
    pub endpoints: Vec<EndpointId>,
}

/// A team and its limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// The team's name.
    pub name: TeamId,
    /// Maximum number of attempts of one job of the team.
    #[serde(default = "TeamSpec::default_attempts")]
    pub attempts_max: u32,
    /// Maximum number of waiting jobs of the team.
    #[serde(default = "TeamSpec::default_queue")]
    pub queued_jobs_max: u32,
    /// Maximum memory that a retry of one task may be given, in megabytes.
    #[serde(default = "TeamSpec::default_memory")]
    pub task_memory_max_mb: MemoryMb,
    /// The team's weight when requests of several teams queue for endpoints.
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

/// The accelerators that a team is guaranteed, as groups of cells.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteeSpec {
    /// The team that holds the guarantee.
    pub team: TeamId,
    /// The groups of cells, each bound to workers independently of the others.
    pub cells: Vec<GuaranteedCells>,
}

/// A group of equal cells that are placed together.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GuaranteedCells {
    /// The number of cells in the group.
    pub count: u32,
    /// Accelerators per cell: 1, 2, 4 or 8, all on one worker.
    pub accelerators: Accelerators,
    /// How close together the cells of this group must be placed.
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
    /// No work may start there, and running work is moved to other zones.
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
    /// The racks of this zone.
    #[serde(default)]
    pub racks: Vec<RackSpec>,
}

/// A rack of equal workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RackSpec {
    /// The rack's name, unique in its zone.
    pub name: RackId,
    /// The number of workers in the rack.
    pub workers: u32,
    /// Accelerators per worker: 0, 1, 2, 4 or 8.
    pub accelerators: Accelerators,
    /// Processor cores per worker.
    pub cores: Cores,
    /// Memory per worker, in megabytes.
    pub memory_mb: MemoryMb,
}

/// A service that callers send requests to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: ServiceName,
    /// The largest total deadline of one request, in milliseconds.
    #[serde(default = "ServiceSpec::default_deadline")]
    pub deadline_max_ms: Millis,
}

impl ServiceSpec {
    fn default_deadline() -> Millis {
        Millis(60_000)
    }
}

/// A rule that accepts endpoints when they announce themselves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRule {
    /// The rule's name.
    pub name: EndpointId,
    /// Endpoints whose id starts with this prefix are accepted; the rule with the longest matching
    /// prefix decides.
    pub prefix: EndpointId,
    /// The service of these endpoints.
    pub service: ServiceName,
    /// The zones that these endpoints may be in; if empty, every declared zone.
    #[serde(default)]
    pub zones: Vec<ZoneId>,
    /// Maximum number of request slots that one endpoint may announce.
    pub slots_max: Slots,
    /// Maximum number of connections that one endpoint may announce.
    pub connections_max: Slots,
}

/// The cluster configuration that results from all accepted notes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClusterConfig {
    /// The revision of this configuration; zero before the first note.
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
    /// Single endpoints that were withdrawn and are refused although a rule accepts them.
    pub refused_endpoints: BTreeSet<EndpointId>,
}
