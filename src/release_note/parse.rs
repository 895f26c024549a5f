use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};
use toml::{Table, Value};

use super::{
    GuaranteedCells, NoteDefinitions, NoteFault, RackSpec, ReleaseNote, Result, WithdrawnNames,
};
use crate::units::NoteVersion;

/// Maximum size of a release note, in bytes.
pub const NOTE_MAX_BYTES: usize = 1024 * 1024;

/// Maximum number of faults that one answer lists.
pub(super) const FAULTS_MAX: usize = 200;

/// Returns the error from parsing a table as a given type, or `None` if it parses.
type TableCheck = fn(&Table) -> Option<String>;

impl ReleaseNote {
    /// Parses a note from TOML and reports every fault of its form with its path, up to a fixed
    /// number of faults.
    ///
    /// # Errors
    /// Returns the faults found: size, syntax, and unknown, missing or ill-typed fields.
    pub fn parse(text: &str) -> Result<Self> {
        if text.len() > NOTE_MAX_BYTES {
            let fault = format_smolstr!(
                "is {} bytes long, at most {NOTE_MAX_BYTES} are allowed",
                text.len()
            );
            return Err(vec![NoteFault::new("note", fault)]);
        }
        let table: Table = text
            .parse()
            .map_err(|error: toml::de::Error| vec![NoteFault::new("note", error.message())])?;
        let mut faults = Vec::new();
        let note = read_note(table, &mut faults);
        if faults.is_empty() {
            return Ok(note);
        }
        faults.truncate(FAULTS_MAX);
        Err(faults)
    }
}

fn read_note(mut table: Table, faults: &mut Vec<NoteFault>) -> ReleaseNote {
    let note = ReleaseNote {
        version: read_version(table.remove("version"), faults),
        added: read_definitions(table.remove("added"), "added", faults),
        changed: read_definitions(table.remove("changed"), "changed", faults),
        withdrawn: read_withdrawn(table.remove("withdrawn"), faults),
    };
    for key in table.keys() {
        let fault = "is not known; version, added, changed and withdrawn are allowed";
        faults.push(NoteFault::new(key.as_str(), fault));
    }
    note
}

fn read_version(value: Option<Value>, faults: &mut Vec<NoteFault>) -> NoteVersion {
    let Some(value) = value else {
        faults.push(NoteFault::new("version", "is missing"));
        return NoteVersion::ZERO;
    };
    value.try_into().unwrap_or_else(|error: toml::de::Error| {
        faults.push(NoteFault::new("version", error.message()));
        NoteVersion::ZERO
    })
}

fn read_definitions(
    value: Option<Value>,
    section: &str,
    faults: &mut Vec<NoteFault>,
) -> NoteDefinitions {
    let Some(mut lists) = read_section(value, section, faults) else {
        return NoteDefinitions::default();
    };
    let definitions = NoteDefinitions {
        teams: read_list(&mut lists, section, "teams", faults),
        guarantees: read_list(&mut lists, section, "guarantees", faults),
        zones: read_list(&mut lists, section, "zones", faults),
        services: read_list(&mut lists, section, "services", faults),
        endpoints: read_list(&mut lists, section, "endpoints", faults),
    };
    report_unknown_lists(&lists, section, faults);
    definitions
}

fn read_withdrawn(value: Option<Value>, faults: &mut Vec<NoteFault>) -> WithdrawnNames {
    let section = "withdrawn";
    let Some(mut lists) = read_section(value, section, faults) else {
        return WithdrawnNames::default();
    };
    let names = WithdrawnNames {
        teams: read_list(&mut lists, section, "teams", faults),
        guarantees: read_list(&mut lists, section, "guarantees", faults),
        zones: read_list(&mut lists, section, "zones", faults),
        services: read_list(&mut lists, section, "services", faults),
        endpoints: read_list(&mut lists, section, "endpoints", faults),
    };
    report_unknown_lists(&lists, section, faults);
    names
}

fn read_section(value: Option<Value>, section: &str, faults: &mut Vec<NoteFault>) -> Option<Table> {
    match value? {
        Value::Table(lists) => Some(lists),
        other => {
            let fault = format_smolstr!("is a {}, a table is expected", other.type_str());
            faults.push(NoteFault::new(section, fault));
            None
        }
    }
}

fn report_unknown_lists(lists: &Table, section: &str, faults: &mut Vec<NoteFault>) {
    for key in lists.keys() {
        let path = format_smolstr!("{section}.{key}");
        let fault = "is not known; teams, guarantees, zones, services and endpoints are allowed";
        faults.push(NoteFault::new(path, fault));
    }
}

fn read_list<T: DeserializeOwned>(
    lists: &mut Table,
    section: &str,
    list: &str,
    faults: &mut Vec<NoteFault>,
) -> Vec<T> {
    let path = format_smolstr!("{section}.{list}");
    let items = match lists.remove(list) {
        None => return Vec::new(),
        Some(Value::Array(items)) => items,
        Some(other) => {
            let fault = format_smolstr!("is a {}, an array is expected", other.type_str());
            faults.push(NoteFault::new(path, fault));
            return Vec::new();
        }
    };
    let mut read = Vec::with_capacity(items.len());
    for (index, item) in items.into_iter().enumerate() {
        if faults.len() >= FAULTS_MAX {
            break;
        }
        match item.clone().try_into() {
            Ok(item) => read.push(item),
            Err(error) => {
                let path = format_smolstr!("{path}[{index}]");
                report_item::<T>(item, &path, &error, faults);
            }
        }
    }
    read
}

fn report_item<T: DeserializeOwned>(
    item: Value,
    path: &str,
    error: &toml::de::Error,
    faults: &mut Vec<NoteFault>,
) {
    match item {
        Value::Table(mut table) => report_table(&mut table, path, parse_error::<T>, faults),
        _ => faults.push(NoteFault::new(path, error.message())),
    }
}

fn parse_error<T: DeserializeOwned>(table: &Table) -> Option<String> {
    let result: std::result::Result<T, toml::de::Error> = table.clone().try_into();
    result.err().map(|error| error.message().to_owned())
}

/// Reports every fault of a table.
///
/// The parser stops at the first error. Therefore the field at fault is reported and removed, or
/// filled in if it is missing, and the table is parsed again until no error remains.
fn report_table(table: &mut Table, path: &str, check: TableCheck, faults: &mut Vec<NoteFault>) {
    let mut reported: Vec<String> = Vec::new();
    while let Some(error) = check(table) {
        if faults.len() >= FAULTS_MAX {
            return;
        }
        if let Some(field) = missing_field(&error) {
            if !reported.contains(&field) {
                faults.push(NoteFault::new(
                    format_smolstr!("{path}.{field}"),
                    "is missing",
                ));
            }
            if !insert_placeholder(table, &field, &error, check) {
                return;
            }
            continue;
        }
        let Some(field) = field_at_fault(table, &error, check) else {
            faults.push(NoteFault::new(path, error));
            return;
        };
        let value = table.remove(&field);
        report_field(value, &format_smolstr!("{path}.{field}"), &error, faults);
        reported.push(field);
    }
}

fn report_field(value: Option<Value>, path: &str, error: &str, faults: &mut Vec<NoteFault>) {
    let before = faults.len();
    let nested = nested_check(path);
    if let (Some(Value::Array(items)), Some(check)) = (value, nested) {
        for (index, item) in items.into_iter().enumerate() {
            if let Value::Table(mut table) = item {
                report_table(&mut table, &format!("{path}[{index}]"), check, faults);
            }
        }
    }
    if faults.len() == before {
        faults.push(NoteFault::new(path, error));
    }
}

fn nested_check(path: &str) -> Option<TableCheck> {
    match path.rsplit('.').next() {
        Some("racks") => Some(parse_error::<RackSpec>),
        Some("cells") => Some(parse_error::<GuaranteedCells>),
        _ => None,
    }
}

fn missing_field(error: &str) -> Option<String> {
    let field = error.strip_prefix("missing field `")?;
    field.strip_suffix('`').map(str::to_owned)
}

/// Inserts a value of a matching type for a missing field, so that parsing reaches the faults that
/// the missing field hides. Returns false if no placeholder has a matching type.
fn insert_placeholder(table: &mut Table, field: &str, error: &str, check: TableCheck) -> bool {
    let placeholders = [
        Value::Integer(1),
        Value::String("placeholder".to_owned()),
        Value::Array(Vec::new()),
        Value::Boolean(true),
    ];
    for placeholder in placeholders {
        table.insert(field.to_owned(), placeholder);
        let next = check(table);
        let fits = next
            .as_deref()
            .is_none_or(|next| next != error && missing_field(next).is_some());
        if fits {
            return true;
        }
    }
    false
}

/// Finds the field that causes the error: the first one whose removal changes it.
fn field_at_fault(table: &Table, error: &str, check: TableCheck) -> Option<String> {
    let mut trial = table.clone();
    for (field, value) in table {
        trial.remove(field);
        let next = check(&trial);
        if next.is_none_or(|next| next != error) {
            return Some(field.clone());
        }
        trial.insert(field.clone(), value.clone());
    }
    None
}

impl NoteFault {
    pub(super) fn new(path: impl Into<SmolStr>, fault: impl Into<SmolStr>) -> Self {
        Self {
            path: path.into(),
            fault: fault.into(),
        }
    }
}
