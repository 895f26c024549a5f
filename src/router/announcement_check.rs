use smol_str::{SmolStr, format_smolstr};

use crate::fleet::EndpointAnnouncement;
use crate::release_note::{ClusterConfig, EndpointRule, ZoneState};
use crate::units::{EndpointId, Slots, ZoneId};

/// Whether the state in force accepts an announcement; the error text is sent to the endpoint.
pub type AnnouncementCheck = Result<(), SmolStr>;

/// Checks an announcement against the state in force.
///
/// # Errors
/// Returns the first reason to refuse the endpoint.
pub fn check_announcement(
    announcement: &EndpointAnnouncement,
    in_force: &ClusterConfig,
) -> AnnouncementCheck {
    let endpoint = &announcement.endpoint;
    if in_force.refused_endpoints.contains(endpoint) {
        return Err(format_smolstr!("endpoint {endpoint} was withdrawn"));
    }
    let Some(rule) = rule_for(endpoint, in_force) else {
        return Err(format_smolstr!("no endpoint rule accepts {endpoint}"));
    };
    if rule.service != announcement.service {
        return Err(format_smolstr!(
            "rule {} accepts {endpoint} for service {} only",
            rule.name,
            rule.service
        ));
    }
    if !in_force.services.contains_key(&rule.service) {
        return Err(format_smolstr!("service {} does not exist", rule.service));
    }
    check_zone(&announcement.zone, rule, in_force)?;
    check_size("slots", announcement.slots, rule.slots_max)?;
    check_size(
        "connections",
        announcement.connections,
        rule.connections_max,
    )
}

/// Whether new work may be sent to an endpoint of this name in this zone: its zone is in service,
/// its rule accepts the zone, and its name is not withdrawn.
#[must_use]
pub fn accepts_new_work(endpoint: &EndpointId, zone: &ZoneId, in_force: &ClusterConfig) -> bool {
    let zone_in = in_force
        .zones
        .get(zone)
        .is_some_and(|spec| spec.state == ZoneState::In);
    let accepted = rule_for(endpoint, in_force)
        .is_some_and(|rule| rule.zones.is_empty() || rule.zones.contains(zone));
    zone_in && accepted && !in_force.refused_endpoints.contains(endpoint)
}

/// Returns the matching rule with the longest prefix; ties go to the first by name.
fn rule_for<'a>(endpoint: &EndpointId, in_force: &'a ClusterConfig) -> Option<&'a EndpointRule> {
    let matching = in_force
        .endpoint_rules
        .values()
        .filter(|rule| endpoint.as_str().starts_with(rule.prefix.as_str()));
    matching.rev().max_by_key(|rule| rule.prefix.as_str().len())
}

fn check_zone(zone: &ZoneId, rule: &EndpointRule, in_force: &ClusterConfig) -> AnnouncementCheck {
    if !in_force.zones.contains_key(zone) {
        return Err(format_smolstr!("availability zone {zone} does not exist"));
    }
    if rule.zones.is_empty() || rule.zones.contains(zone) {
        return Ok(());
    }
    Err(format_smolstr!(
        "rule {} does not accept availability zone {zone}",
        rule.name
    ))
}

fn check_size(what: &str, announced: Slots, max: Slots) -> AnnouncementCheck {
    if announced >= Slots(1) && announced <= max {
        return Ok(());
    }
    Err(format_smolstr!(
        "{announced} {what} were announced, from 1 to {max} are accepted"
    ))
}
