//! Fixtures of the share and router tests: a state in force and endpoint announcements.

use std::net::SocketAddr;

use marjoramknot::fleet::EndpointAnnouncement;
use marjoramknot::release_note::{
    ClusterConfig, EndpointRule, ServiceSpec, TeamSpec, ZoneSpec, ZoneState,
};
use marjoramknot::units::{EndpointId, Incarnation, MemoryMb, Millis, Sequence, Slots};

/// Returns a state with two zones, two teams with request weights 3 and 1, one service, and a rule
/// that accepts endpoints named `booking-` with up to 8 slots and 64 connections.
pub fn in_force() -> ClusterConfig {
    let mut state = ClusterConfig::default();
    for (name, zone_state) in [("Senec", ZoneState::In), ("Nitra", ZoneState::In)] {
        let zone = ZoneSpec {
            name: name.parse().expect("the zone is an id"),
            state: zone_state,
            racks: Vec::new(),
        };
        state.zones.insert(zone.name.clone(), zone);
    }
    for (name, weight) in [("regatta", 3), ("judges", 1)] {
        let team = TeamSpec {
            name: name.parse().expect("the team is an id"),
            attempts_max: 4,
            queued_jobs_max: 10,
            task_memory_max_mb: MemoryMb(1024),
            request_weight: weight,
        };
        state.teams.insert(team.name.clone(), team);
    }
    let service = ServiceSpec {
        name: "booking".parse().expect("the service is an id"),
        deadline_max_ms: Millis(60_000),
    };
    state.services.insert(service.name.clone(), service);
    add_rule(&mut state, "runners", "booking-");
    state
}

/// Adds an endpoint rule for a prefix, with the limits of the rule in [`in_force`].
pub fn add_rule(state: &mut ClusterConfig, name: &str, prefix: &str) {
    let rule = EndpointRule {
        name: name.parse().expect("the rule is an id"),
        prefix: prefix.parse().expect("the prefix is an id"),
        service: "booking".parse().expect("the service is an id"),
        zones: Vec::new(),
        slots_max: Slots(8),
        connections_max: Slots(64),
    };
    state.endpoint_rules.insert(rule.name.clone(), rule);
}

/// Returns the first announcement of endpoint `booking-N`.
pub fn announcement(number: u16) -> EndpointAnnouncement {
    EndpointAnnouncement {
        endpoint: endpoint_id(number),
        service: "booking".parse().expect("the service is an id"),
        zone: "Senec".parse().expect("the zone is an id"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number)),
        incarnation: Incarnation(1),
        sequence: Sequence(1),
        slots: Slots(8),
        connections: Slots(64),
        slots_used: Slots(0),
        connections_used: Slots(0),
        leaving: false,
    }
}

/// Returns the id of endpoint `booking-N`.
pub fn endpoint_id(number: u16) -> EndpointId {
    format!("booking-{number}")
        .parse()
        .expect("the endpoint is an id")
}
