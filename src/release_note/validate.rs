use std::collections::BTreeSet;
use std::fmt::Display;

use smol_str::{SmolStr, format_smolstr};

use super::apply::longest_match;
use super::packing::unplaced_groups;
use super::parse::FAULTS_MAX;
use super::{ClusterConfig, NoteDefinitions, NoteFault, ReleaseNote, limits};
use crate::units::{NoteVersion, Revision};

/// The section of a note that contains a definition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Section {
    Added,
    Changed,
}

impl Section {
    const fn name(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Changed => "changed",
        }
    }
}

impl ClusterConfig {
    /// Checks a note against this configuration; an empty list means that it can be applied.
    ///
    /// Each fault has its path in the note, or its path in the configuration if the note breaks a
    /// definition that it does not contain. The number of faults is limited.
    #[must_use]
    pub fn validate(&self, note: &ReleaseNote) -> Vec<NoteFault> {
        let mut faults = Vec::new();
        if note.version == NoteVersion::ZERO {
            faults.push(NoteFault::new("version", "is 0, at least 1 is allowed"));
        }
        self.check_names(note, &mut faults);
        limits::check_definitions(&note.added, Section::Added.name(), &mut faults);
        limits::check_definitions(&note.changed, Section::Changed.name(), &mut faults);
        self.check_repeated_refusals(note, &mut faults);
        let mut after = self.clone();
        after.apply(note, Revision::ZERO);
        after.check_totals(&mut faults);
        after.check_references(note, &mut faults);
        if faults.is_empty() && self.packing_input_differs(&after) {
            after.check_packing(note, &mut faults);
        }
        faults.truncate(FAULTS_MAX);
        faults
    }

    fn check_names(&self, note: &ReleaseNote, faults: &mut Vec<NoteFault>) {
        let (added, changed, withdrawn) = (&note.added, &note.changed, &note.withdrawn);
        NameLists {
            list: "teams",
            added: added.teams.iter().map(|team| &team.name).collect(),
            changed: changed.teams.iter().map(|team| &team.name).collect(),
            withdrawn: withdrawn.teams.iter().collect(),
        }
        .check(|name| self.teams.contains_key(name), faults);
        NameLists {
            list: "guarantees",
            added: added
                .guarantees
                .iter()
                .map(|guarantee| &guarantee.team)
                .collect(),
            changed: changed
                .guarantees
                .iter()
                .map(|guarantee| &guarantee.team)
                .collect(),
            withdrawn: withdrawn.guarantees.iter().collect(),
        }
        .check(|team| self.guarantees.contains_key(team), faults);
        NameLists {
            list: "zones",
            added: added.zones.iter().map(|zone| &zone.name).collect(),
            changed: changed.zones.iter().map(|zone| &zone.name).collect(),
            withdrawn: withdrawn.zones.iter().collect(),
        }
        .check(|name| self.zones.contains_key(name), faults);
        NameLists {
            list: "services",
            added: added.services.iter().map(|service| &service.name).collect(),
            changed: changed
                .services
                .iter()
                .map(|service| &service.name)
                .collect(),
            withdrawn: withdrawn.services.iter().collect(),
        }
        .check(|name| self.services.contains_key(name), faults);
        let rules = withdrawn.endpoints.iter();
        NameLists {
            list: "endpoints",
            added: added.endpoints.iter().map(|rule| &rule.name).collect(),
            changed: changed.endpoints.iter().map(|rule| &rule.name).collect(),
            withdrawn: rules.clone().collect(),
        }
        .check(
            |name| {
                self.endpoint_rules.contains_key(name)
                    || note.withdrawn.endpoints.contains(name) && self.is_single_endpoint(name)
            },
            faults,
        );
    }

    /// Whether the name is the id of a single endpoint that a rule accepts, not the name of a rule.
    fn is_single_endpoint(&self, name: &crate::units::EndpointId) -> bool {
        !self.endpoint_rules.contains_key(name)
            && longest_match(&self.endpoint_rules, name).is_some()
    }

    fn check_repeated_refusals(&self, note: &ReleaseNote, faults: &mut Vec<NoteFault>) {
        for (index, name) in note.withdrawn.endpoints.iter().enumerate() {
            if self.is_single_endpoint(name) && self.refused_endpoints.contains(name) {
                let path = format_smolstr!("withdrawn.endpoints[{index}]");
                faults.push(NoteFault::new(
                    path,
                    format_smolstr!("{name} is already withdrawn"),
                ));
            }
        }
    }

    fn check_totals(&self, faults: &mut Vec<NoteFault>) {
        let racks = self.zones.values().map(|zone| zone.racks.len()).sum();
        let groups = self
            .guarantees
            .values()
            .map(|guarantee| guarantee.cells.len())
            .sum();
        let totals = [
            ("teams", self.teams.len(), limits::TEAMS_MAX),
            ("zones", self.zones.len(), limits::ZONES_MAX),
            ("racks", racks, limits::RACKS_MAX),
            ("guaranteed cell groups", groups, limits::CELL_GROUPS_MAX),
            ("services", self.services.len(), limits::SERVICES_MAX),
            (
                "endpoint rules",
                self.endpoint_rules.len(),
                limits::ENDPOINT_RULES_MAX,
            ),
            (
                "withdrawn endpoints",
                self.refused_endpoints.len(),
                limits::REFUSED_ENDPOINTS_MAX,
            ),
        ];
        for (what, count, max) in totals {
            if count > max {
                let fault = format_smolstr!("would make {count} {what}, at most {max} are allowed");
                faults.push(NoteFault::new("note", fault));
            }
        }
    }

    fn check_references(&self, note: &ReleaseNote, faults: &mut Vec<NoteFault>) {
        for team in self.guarantees.keys() {
            if !self.teams.contains_key(team) {
                let at = guarantee_path(note, team.as_str());
                let fault =
                    format_smolstr!("the guarantee is held by team {team}, which would not exist");
                faults.push(NoteFault::new(at, fault));
            }
        }
        let mut prefixes = BTreeSet::new();
        for rule in self.endpoint_rules.values() {
            let at = rule_path(note, rule.name.as_str());
            if !self.services.contains_key(&rule.service) {
                let fault =
                    format_smolstr!("names service {}, which would not exist", rule.service);
                faults.push(NoteFault::new(format_smolstr!("{at}.service"), fault));
            }
            let zones: BTreeSet<_> = rule.zones.iter().collect();
            for zone in zones
                .into_iter()
                .filter(|zone| !self.zones.contains_key(*zone))
            {
                let fault = format_smolstr!("names zone {zone}, which would not exist");
                faults.push(NoteFault::new(format_smolstr!("{at}.zones"), fault));
            }
            if !prefixes.insert(&rule.prefix) {
                let fault = format_smolstr!("another rule has the prefix {}", rule.prefix);
                faults.push(NoteFault::new(format_smolstr!("{at}.prefix"), fault));
            }
        }
    }

    /// Whether racks or guarantees differ, so that the guarantees must be packed again.
    fn packing_input_differs(&self, after: &Self) -> bool {
        let racks = |state: &Self| -> Vec<_> {
            let zones = state.zones.iter();
            zones
                .map(|(name, zone)| (name.clone(), zone.racks.clone()))
                .collect()
        };
        self.guarantees != after.guarantees || racks(self) != racks(after)
    }

    fn check_packing(&self, note: &ReleaseNote, faults: &mut Vec<NoteFault>) {
        for group in unplaced_groups(self) {
            let at = guarantee_path(note, group.team.as_str());
            let path = format_smolstr!("{at}.cells[{}]", group.index);
            let fault = "does not fit into the declared racks beside all other guarantees";
            faults.push(NoteFault::new(path, fault));
        }
    }
}

/// The names that the three sections of a note have in one list.
struct NameLists<'a, T> {
    list: &'static str,
    added: Vec<&'a T>,
    changed: Vec<&'a T>,
    withdrawn: Vec<&'a T>,
}

impl<T: Display + Ord> NameLists<'_, T> {
    fn check(&self, exists: impl Fn(&T) -> bool, faults: &mut Vec<NoteFault>) {
        let mut seen = BTreeSet::new();
        self.check_section("added", &self.added, &mut seen, faults, |name| {
            exists(name).then(|| format_smolstr!("{name} exists already"))
        });
        self.check_section("changed", &self.changed, &mut seen, faults, |name| {
            (!exists(name)).then(|| format_smolstr!("{name} does not exist"))
        });
        self.check_section("withdrawn", &self.withdrawn, &mut seen, faults, |name| {
            (!exists(name)).then(|| format_smolstr!("{name} does not exist"))
        });
    }

    fn check_section<'b>(
        &self,
        section: &str,
        names: &[&'b T],
        seen: &mut BTreeSet<&'b T>,
        faults: &mut Vec<NoteFault>,
        fault_of: impl Fn(&T) -> Option<SmolStr>,
    ) {
        for (index, name) in names.iter().copied().enumerate() {
            let path = format_smolstr!("{section}.{}[{index}]", self.list);
            if !seen.insert(name) {
                let fault = format_smolstr!("{name} is named more than once");
                faults.push(NoteFault::new(path.clone(), fault));
            }
            if let Some(fault) = fault_of(name) {
                faults.push(NoteFault::new(path, fault));
            }
        }
    }
}

/// The path of this guarantee in the note, or in the configuration if the note does not define it.
fn guarantee_path(note: &ReleaseNote, team: &str) -> SmolStr {
    let find = |items: &NoteDefinitions| {
        items
            .guarantees
            .iter()
            .position(|guarantee| guarantee.team.as_str() == team)
    };
    path_of(note, find, "guarantees", team)
}

/// The path of this rule in the note, or in the configuration if the note does not define it.
fn rule_path(note: &ReleaseNote, name: &str) -> SmolStr {
    let find = |items: &NoteDefinitions| {
        items
            .endpoints
            .iter()
            .position(|rule| rule.name.as_str() == name)
    };
    path_of(note, find, "endpoints", name)
}

fn path_of(
    note: &ReleaseNote,
    find: impl Fn(&NoteDefinitions) -> Option<usize>,
    list: &str,
    name: &str,
) -> SmolStr {
    let sections = [
        (Section::Changed, &note.changed),
        (Section::Added, &note.added),
    ];
    let found = sections
        .into_iter()
        .find_map(|(section, items)| find(items).map(|index| (section, index)));
    found.map_or_else(
        || format_smolstr!("in_force.{list}.{name}"),
        |(section, index)| format_smolstr!("{}.{list}[{index}]", section.name()),
    )
}
