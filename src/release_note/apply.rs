use std::collections::BTreeMap;

use super::{ClusterConfig, EndpointRule, NoteDefinitions, ReleaseNote, WithdrawnNames};
use crate::units::{EndpointId, Revision};

impl ClusterConfig {
    /// Applies a valid note as a whole and sets the version and the revision.
    ///
    /// The note must have passed [`ClusterConfig::validate`] on this configuration.
    pub fn apply(&mut self, note: &ReleaseNote, revision: Revision) {
        self.withdraw(&note.withdrawn);
        self.insert_definitions(&note.added);
        self.insert_definitions(&note.changed);
        self.prune_refused_endpoints();
        self.note_version = note.version;
        self.revision = revision;
    }

    /// The rule that accepts this endpoint, which is the one with the longest matching prefix, or
    /// `None` if no rule matches or the endpoint is refused.
    #[must_use]
    pub fn rule_for(&self, endpoint: &EndpointId) -> Option<&EndpointRule> {
        if self.refused_endpoints.contains(endpoint) {
            return None;
        }
        longest_match(&self.endpoint_rules, endpoint)
    }

    fn withdraw(&mut self, names: &WithdrawnNames) {
        for team in &names.guarantees {
            self.guarantees.remove(team);
        }
        for team in &names.teams {
            self.teams.remove(team);
        }
        for service in &names.services {
            self.services.remove(service);
        }
        for zone in &names.zones {
            self.zones.remove(zone);
        }
        for endpoint in &names.endpoints {
            if self.endpoint_rules.remove(endpoint).is_none() {
                self.refused_endpoints.insert(endpoint.clone());
            }
        }
    }

    fn insert_definitions(&mut self, definitions: &NoteDefinitions) {
        for team in &definitions.teams {
            self.teams.insert(team.name.clone(), team.clone());
        }
        for guarantee in &definitions.guarantees {
            self.guarantees
                .insert(guarantee.team.clone(), guarantee.clone());
        }
        for zone in &definitions.zones {
            self.zones.insert(zone.name.clone(), zone.clone());
        }
        for service in &definitions.services {
            self.services.insert(service.name.clone(), service.clone());
        }
        for rule in &definitions.endpoints {
            // A rule whose prefix equals the id of a refused endpoint accepts that endpoint again.
            self.refused_endpoints.remove(&rule.prefix);
            self.endpoint_rules.insert(rule.name.clone(), rule.clone());
        }
    }

    /// Removes refusals of endpoints that no rule accepts; they have no effect and would
    /// accumulate.
    fn prune_refused_endpoints(&mut self) {
        let rules = &self.endpoint_rules;
        self.refused_endpoints
            .retain(|endpoint| longest_match(rules, endpoint).is_some());
    }
}

pub(super) fn longest_match<'a>(
    rules: &'a BTreeMap<EndpointId, EndpointRule>,
    endpoint: &EndpointId,
) -> Option<&'a EndpointRule> {
    rules
        .values()
        .filter(|rule| endpoint.as_str().starts_with(rule.prefix.as_str()))
        .max_by_key(|rule| rule.prefix.as_str().len())
}
