//! Settings of the programs, read from TOML files.
//!
//! Absent fields get their defaults; docs/OPERATORS.md lists all fields. Unknown fields are errors,
//! so that a misspelt field is not silently replaced by its default. All errors of a file are
//! reported together.

mod control;
mod entry;
mod gateway;
mod listener;
mod seeds;
mod table_reader;

use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

use thiserror::Error;

pub use control::{ControlSettings, ReplicaAddresses};
pub use entry::{EntrySettings, StopSettings};
pub use gateway::GatewaySettings;
pub use listener::ListenerSettings;
pub use seeds::SeedSettings;

use table_reader::TableReader;

/// Maximum size of a settings file, in bytes.
const SETTINGS_MAX_BYTES: u64 = 1024 * 1024;

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// An invalid field of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path of the field, for example `callers.connections_max`.
    pub field: String,
    /// What is wrong with the value, and which values are allowed.
    pub fault: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.fault)
    }
}

/// Why settings could not be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read {}: {cause}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The underlying I/O error.
        cause: std::io::Error,
    },
    /// The file exceeds the maximum size of a settings file.
    #[error("{} is {bytes} bytes long, at most {SETTINGS_MAX_BYTES} are allowed", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Size of the file in bytes.
        bytes: u64,
    },
    /// The text is not valid TOML.
    #[error("not TOML: {0}")]
    Syntax(#[from] toml::de::Error),
    /// One or more fields are invalid.
    #[error("{} wrong:\n{}", count(faults), indented_lines(faults))]
    Invalid {
        /// All invalid fields.
        faults: Vec<Fault>,
    },
}

fn count(faults: &[Fault]) -> String {
    match faults.len() {
        1 => "1 field is".to_owned(),
        many => format!("{many} fields are"),
    }
}

fn indented_lines(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}

/// Reads a settings file, provided that it does not exceed [`SETTINGS_MAX_BYTES`].
fn read_file(path: &Path) -> Result<String> {
    let failed = |cause| SettingsError::Read {
        path: path.to_owned(),
        cause,
    };
    let bytes = fs::metadata(path).map_err(failed)?.len();
    if bytes > SETTINGS_MAX_BYTES {
        return Err(SettingsError::TooLarge {
            path: path.to_owned(),
            bytes,
        });
    }
    fs::read_to_string(path).map_err(failed)
}

/// Parses TOML text with `read`, and returns an error with all invalid fields if there are any.
fn parse<T>(text: &str, read: impl FnOnce(&mut TableReader) -> Option<T>) -> Result<T> {
    let table: toml::Table = text.parse()?;
    let mut reader = TableReader::root(table);
    let settings = read(&mut reader);
    let faults = reader.into_faults();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(SettingsError::Invalid { faults }),
    }
}
