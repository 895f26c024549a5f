use std::cell::RefCell;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::str::FromStr;

use toml::{Table, Value};

use super::Fault;
use crate::units::Millis;

type Faults = Rc<RefCell<Vec<Fault>>>;

/// Reads the fields of a TOML table and collects errors.
///
/// Each read removes its field from the table, so that the fields left at the end are unknown. All
/// readers of one file share a list of faults.
pub(super) struct TableReader {
    table: Table,
    path: String,
    faults: Faults,
}

impl TableReader {
    pub(super) fn root(table: Table) -> Self {
        Self {
            table,
            path: String::new(),
            faults: Faults::default(),
        }
    }

    /// Reports the remaining fields as unknown, and returns all faults of the file.
    pub(super) fn into_faults(mut self) -> Vec<Fault> {
        self.reject_unknown_fields();
        self.faults.take()
    }

    /// Whether the table has no unread field.
    pub(super) fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Reads a boolean; an absent or invalid one yields the default.
    pub(super) fn flag(&mut self, key: &str, default: bool) -> bool {
        let Some(value) = self.table.remove(key) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            self.fault(key, format!("is {value}; give true or false"));
            default
        })
    }

    /// Reports every field that has not been read as unknown.
    pub(super) fn reject_unknown_fields(&mut self) {
        let unknown: Vec<_> = self.table.keys().cloned().collect();
        for key in unknown {
            self.fault(&key, "is not a known field");
        }
        self.table.clear();
    }

    /// Records that a field is invalid.
    pub(super) fn fault(&self, key: &str, fault: impl Into<String>) {
        let field = self.path_to(key);
        let fault = fault.into();
        self.faults.borrow_mut().push(Fault { field, fault });
    }

    /// Reads a required string and parses it.
    pub(super) fn required<T>(&mut self, key: &str, allowed: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.table.remove(key);
        let Some(value) = value else {
            self.fault(key, format!("is missing; give {allowed}"));
            return None;
        };
        self.parse(key, &value, allowed)
    }

    /// Reads a string and parses it; an absent or invalid one yields the default.
    pub(super) fn optional<T>(&mut self, key: &str, default: T, allowed: &str) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.table.remove(key) {
            Some(value) => self.parse(key, &value, allowed).unwrap_or(default),
            None => default,
        }
    }

    /// Reads an integer in `range`; an absent or invalid one yields the default.
    pub(super) fn number(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.table.remove(key) else {
            return default;
        };
        let number = value.as_integer().and_then(|n| u64::try_from(n).ok());
        match number {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = range.into_inner();
                self.fault(key, format!("is {value}; {low} to {high} is allowed"));
                default
            }
        }
    }

    /// Reads a duration in milliseconds in `range`; an absent or invalid one yields the default.
    pub(super) fn millis(
        &mut self,
        key: &str,
        default: Millis,
        range: RangeInclusive<u64>,
    ) -> Millis {
        Millis(self.number(key, default.get(), range))
    }

    /// Reads a required list of strings, whose length lies in `range`, and parses each string.
    pub(super) fn list<T>(
        &mut self,
        key: &str,
        range: RangeInclusive<usize>,
        allowed: &str,
    ) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let (low, high) = (*range.start(), *range.end());
        let expected = format!("a list of {low} to {high} items, each {allowed}");
        let values = match self.table.remove(key) {
            Some(Value::Array(values)) => values,
            Some(other) => {
                self.fault(key, format!("is {other}; give {expected}"));
                return Vec::new();
            }
            None => {
                self.fault(key, format!("is missing; give {expected}"));
                return Vec::new();
            }
        };
        if !range.contains(&values.len()) {
            self.fault(key, format!("has {} items; give {expected}", values.len()));
        }
        let items = values.iter().enumerate();
        items
            .filter_map(|(index, value)| self.parse(&format!("{key}[{index}]"), value, allowed))
            .collect()
    }

    /// Returns a reader for a nested table. An absent table is empty, so that its defaults apply.
    pub(super) fn table(&mut self, key: &str) -> Self {
        let table = match self.table.remove(key) {
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.fault(key, format!("is {other}; give a table"));
                Table::new()
            }
            None => Table::new(),
        };
        self.child(key, table)
    }

    /// Returns readers for a list of tables, whose length lies in `range`.
    pub(super) fn tables(&mut self, key: &str, range: RangeInclusive<usize>) -> Vec<Self> {
        let (low, high) = (*range.start(), *range.end());
        let expected = format!("{low} to {high} tables [[{}]]", self.path_to(key));
        let values = match self.table.remove(key) {
            Some(Value::Array(values)) => values,
            Some(other) => {
                self.fault(key, format!("is {other}; give {expected}"));
                return Vec::new();
            }
            None => Vec::new(),
        };
        if !range.contains(&values.len()) {
            self.fault(key, format!("has {} items; give {expected}", values.len()));
        }
        let mut tables = Vec::with_capacity(values.len());
        for (index, value) in values.into_iter().enumerate() {
            let key = format!("{key}[{index}]");
            match value {
                Value::Table(table) => tables.push(self.child(&key, table)),
                other => self.fault(&key, format!("is {other}; give a table")),
            }
        }
        tables
    }

    fn child(&self, key: &str, table: Table) -> Self {
        Self {
            table,
            path: self.path_to(key),
            faults: Rc::clone(&self.faults),
        }
    }

    fn parse<T>(&self, key: &str, value: &Value, allowed: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = value.as_str() else {
            self.fault(key, format!("is {value}; give {allowed}"));
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(cause) => {
                self.fault(key, format!("is {text:?}: {cause}; give {allowed}"));
                None
            }
        }
    }

    fn path_to(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}
