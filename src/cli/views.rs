use serde::Serialize;

use super::table::{Table, cell};
use crate::control::{EntryStatus, GroupStatus, Status};
use crate::fleet::EndpointAnnouncement;
use crate::scheduler::{TeamStatus, WorkerStatus};
use crate::units::{Revision, ZoneId};

/// A row of `marjoramctl zones`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ZoneView {
    /// The zone.
    pub(super) zone: ZoneId,
    /// Whether work may start in the zone.
    pub(super) in_service: bool,
    /// Number of known workers in the zone.
    pub(super) workers: usize,
    /// Number of known endpoints in the zone.
    pub(super) endpoints: usize,
}

/// Output of `marjoramctl status`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct StatusView<'a> {
    group: &'a GroupStatus,
    revision: Revision,
    in_force_everywhere: Revision,
    entries: usize,
    workers: usize,
    endpoints: usize,
}

impl<'a> StatusView<'a> {
    pub(super) const fn new(status: &'a Status) -> Self {
        Self {
            group: &status.group,
            revision: status.revision,
            in_force_everywhere: status.in_force_everywhere,
            entries: status.entries.len(),
            workers: status.workers.len(),
            endpoints: status.endpoints.len(),
        }
    }
}

pub(super) fn zones(status: &Status) -> Vec<ZoneView> {
    let view = |(zone, in_service): &(ZoneId, bool)| ZoneView {
        zone: zone.clone(),
        in_service: *in_service,
        workers: count(&status.workers, |worker| worker.zone == *zone),
        endpoints: count(&status.endpoints, |endpoint| endpoint.zone == *zone),
    };
    status.zones.iter().map(view).collect()
}

fn count<T>(items: &[T], matches: impl Fn(&T) -> bool) -> usize {
    items.iter().filter(|item| matches(item)).count()
}

pub(super) fn status_table(view: &StatusView) -> String {
    let mut summary = Table::new(&[
        "term",
        "leader",
        "committed",
        "revision",
        "in force everywhere",
    ]);
    summary.row(vec![
        view.group.term.to_string(),
        cell(view.group.leader.as_ref()),
        view.group.committed.to_string(),
        view.revision.to_string(),
        view.in_force_everywhere.to_string(),
    ]);
    let mut replicas = Table::new(&["replica", "role", "on disk", "silent", "folder"]);
    for replica in &view.group.replicas {
        let leads = view.group.leader.as_ref() == Some(&replica.replica);
        let role = match (leads, replica.voter) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        replicas.row(vec![
            replica.replica.to_string(),
            role.to_owned(),
            replica.matched.to_string(),
            cell(replica.silent_ms),
            cell(replica.folder.as_ref()),
        ]);
    }
    format!("{}\n\n{}", summary.render(), replicas.render())
}

pub(super) fn zones_table(zones: &[ZoneView]) -> String {
    let mut table = Table::new(&["zone", "state", "workers", "endpoints"]);
    for view in zones {
        let state = if view.in_service { "in" } else { "out" };
        table.row(vec![
            view.zone.to_string(),
            state.to_owned(),
            view.workers.to_string(),
            view.endpoints.to_string(),
        ]);
    }
    table.render()
}

pub(super) fn teams_table(teams: &[TeamStatus]) -> String {
    let mut table = Table::new(&[
        "team",
        "guaranteed",
        "used",
        "borrowed",
        "at risk",
        "waiting",
        "running",
        "cause of risk",
    ]);
    for team in teams {
        table.row(vec![
            team.team.to_string(),
            team.guaranteed.to_string(),
            team.used.to_string(),
            team.borrowed.to_string(),
            team.at_risk.to_string(),
            team.waiting.to_string(),
            team.running.to_string(),
            cell(team.risk_cause.as_ref()),
        ]);
    }
    table.render()
}

pub(super) fn endpoints_table(endpoints: &[EndpointAnnouncement]) -> String {
    let mut table = Table::new(&[
        "endpoint",
        "service",
        "zone",
        "address",
        "slots",
        "connections",
        "leaving",
    ]);
    for endpoint in endpoints {
        table.row(vec![
            endpoint.endpoint.to_string(),
            endpoint.service.to_string(),
            endpoint.zone.to_string(),
            endpoint.address.to_string(),
            format!("{}/{}", endpoint.slots_used, endpoint.slots),
            format!("{}/{}", endpoint.connections_used, endpoint.connections),
            endpoint.leaving.to_string(),
        ]);
    }
    table.render()
}

pub(super) fn workers_table(workers: &[WorkerStatus]) -> String {
    let mut table = Table::new(&[
        "worker",
        "zone",
        "rack",
        "state",
        "for",
        "accelerators",
        "failures",
    ]);
    for worker in workers {
        table.row(vec![
            worker.worker.to_string(),
            worker.zone.to_string(),
            worker.rack.to_string(),
            worker.state.to_string(),
            cell(worker.remaining_ms),
            format!("{}/{}", worker.accelerators_used, worker.accelerators),
            worker.failures.to_string(),
        ]);
    }
    table.render()
}

pub(super) fn entries_table(entries: &[EntryStatus]) -> String {
    let mut table = Table::new(&["entry", "zone", "revision", "grant"]);
    for entry in entries {
        table.row(vec![
            entry.entry.to_string(),
            entry.zone.to_string(),
            entry.revision.to_string(),
            cell(entry.grant_ms),
        ]);
    }
    table.render()
}
