use std::collections::BTreeSet;

use smol_str::{SmolStr, format_smolstr};

use super::{
    Adjacency, EndpointRule, GuaranteeSpec, NoteDefinitions, NoteFault, ServiceSpec, TeamSpec,
    ZoneSpec,
};
use crate::units::{Accelerators, Millis};

/// Maximum number of teams in force.
pub(super) const TEAMS_MAX: usize = 2_000;
/// Maximum number of availability zones in force.
pub(super) const ZONES_MAX: usize = 200;
/// Maximum number of racks in force, over all zones.
pub(super) const RACKS_MAX: usize = 4_000;
/// Maximum number of groups of guaranteed cells in force.
pub(super) const CELL_GROUPS_MAX: usize = 4_000;
/// Maximum number of services in force.
pub(super) const SERVICES_MAX: usize = 2_000;
/// Maximum number of endpoint rules in force.
pub(super) const ENDPOINT_RULES_MAX: usize = 2_000;
/// Maximum number of single endpoints that are refused although a rule accepts them.
pub(super) const REFUSED_ENDPOINTS_MAX: usize = 10_000;

const RACK_WORKERS_MAX: u32 = 1_000;
const GROUP_CELLS_MAX: u32 = 100_000;
const ATTEMPTS_MAX: u32 = 100;
const QUEUED_JOBS_MAX: u32 = 1_000_000;
const REQUEST_WEIGHT_MAX: u32 = 1_000;
const SLOTS_MAX: u32 = 100_000;
const MEMORY_MAX_MB: u64 = 1 << 30;
const CORES_MAX: u32 = 10_000;
const DEADLINE_MAX_MS: Millis = Millis(24 * 60 * 60 * 1_000);

/// Checks each definition on its own, without the others or the configuration in force.
pub(super) fn check_definitions(
    definitions: &NoteDefinitions,
    section: &str,
    faults: &mut Vec<NoteFault>,
) {
    for (index, team) in definitions.teams.iter().enumerate() {
        check_team(team, &format_smolstr!("{section}.teams[{index}]"), faults);
    }
    for (index, guarantee) in definitions.guarantees.iter().enumerate() {
        let path = format_smolstr!("{section}.guarantees[{index}]");
        check_guarantee(guarantee, &path, faults);
    }
    for (index, zone) in definitions.zones.iter().enumerate() {
        check_zone(zone, &format_smolstr!("{section}.zones[{index}]"), faults);
    }
    for (index, service) in definitions.services.iter().enumerate() {
        let path = format_smolstr!("{section}.services[{index}]");
        check_service(service, &path, faults);
    }
    for (index, rule) in definitions.endpoints.iter().enumerate() {
        let path = format_smolstr!("{section}.endpoints[{index}]");
        check_endpoint_rule(rule, &path, faults);
    }
}

fn check_team(team: &TeamSpec, path: &SmolStr, faults: &mut Vec<NoteFault>) {
    let memory = team.task_memory_max_mb.get();
    let ranges = [
        (
            "attempts_max",
            team.attempts_max.into(),
            ATTEMPTS_MAX.into(),
        ),
        (
            "queued_jobs_max",
            team.queued_jobs_max.into(),
            QUEUED_JOBS_MAX.into(),
        ),
        ("task_memory_max_mb", memory, MEMORY_MAX_MB),
        (
            "request_weight",
            team.request_weight.into(),
            REQUEST_WEIGHT_MAX.into(),
        ),
    ];
    check_ranges(&ranges, path, faults);
}

fn check_guarantee(guarantee: &GuaranteeSpec, path: &SmolStr, faults: &mut Vec<NoteFault>) {
    if guarantee.cells.is_empty() {
        faults.push(NoteFault::new(
            format_smolstr!("{path}.cells"),
            "is empty, at least one group of cells is needed",
        ));
    }
    for (index, cells) in guarantee.cells.iter().enumerate() {
        let path = format_smolstr!("{path}.cells[{index}]");
        check_ranges(
            &[("count", cells.count.into(), GROUP_CELLS_MAX.into())],
            &path,
            faults,
        );
        let size = cells.accelerators.get();
        if !matches!(size, 1 | 2 | 4 | 8) {
            let fault = format_smolstr!("is {size}; 1, 2, 4 and 8 are allowed");
            faults.push(NoteFault::new(
                format_smolstr!("{path}.accelerators"),
                fault,
            ));
        }
        let total = u64::from(cells.count).saturating_mul(size.into());
        if cells.adjacency == Adjacency::Worker && total > 8 {
            let fault =
                format_smolstr!("asks for {total} accelerators on one worker, which has 8 at most");
            faults.push(NoteFault::new(path, fault));
        }
    }
}

fn check_zone(zone: &ZoneSpec, path: &SmolStr, faults: &mut Vec<NoteFault>) {
    let mut names = BTreeSet::new();
    for (index, rack) in zone.racks.iter().enumerate() {
        let path = format_smolstr!("{path}.racks[{index}]");
        if !names.insert(&rack.name) {
            let fault = format_smolstr!("{} is named more than once", rack.name);
            faults.push(NoteFault::new(format_smolstr!("{path}.name"), fault));
        }
        let ranges = [
            ("workers", rack.workers.into(), RACK_WORKERS_MAX.into()),
            ("cores", rack.cores.get().into(), CORES_MAX.into()),
            ("memory_mb", rack.memory_mb.get(), MEMORY_MAX_MB),
        ];
        check_ranges(&ranges, &path, faults);
        check_rack_accelerators(rack.accelerators, &path, faults);
    }
}

fn check_rack_accelerators(count: Accelerators, path: &SmolStr, faults: &mut Vec<NoteFault>) {
    if !matches!(count.get(), 0 | 1 | 2 | 4 | 8) {
        let fault = format_smolstr!("is {count}; 0, 1, 2, 4 and 8 are allowed");
        faults.push(NoteFault::new(
            format_smolstr!("{path}.accelerators"),
            fault,
        ));
    }
}

fn check_service(service: &ServiceSpec, path: &SmolStr, faults: &mut Vec<NoteFault>) {
    let deadline = service.deadline_max_ms.get();
    let ranges = [("deadline_max_ms", deadline, DEADLINE_MAX_MS.get())];
    check_ranges(&ranges, path, faults);
}

fn check_endpoint_rule(rule: &EndpointRule, path: &SmolStr, faults: &mut Vec<NoteFault>) {
    let ranges = [
        ("slots_max", rule.slots_max.get().into(), SLOTS_MAX.into()),
        (
            "connections_max",
            rule.connections_max.get().into(),
            SLOTS_MAX.into(),
        ),
    ];
    check_ranges(&ranges, path, faults);
    let mut zones = BTreeSet::new();
    for (index, zone) in rule.zones.iter().enumerate() {
        if !zones.insert(zone) {
            let fault = format_smolstr!("{zone} is named more than once");
            faults.push(NoteFault::new(
                format_smolstr!("{path}.zones[{index}]"),
                fault,
            ));
        }
    }
}

/// Checks that each value is between 1 and its maximum.
fn check_ranges(ranges: &[(&str, u64, u64)], path: &SmolStr, faults: &mut Vec<NoteFault>) {
    for (field, value, max) in ranges {
        if !(1..=*max).contains(value) {
            let fault = format_smolstr!("is {value}; 1 to {max} are allowed");
            faults.push(NoteFault::new(format_smolstr!("{path}.{field}"), fault));
        }
    }
}
