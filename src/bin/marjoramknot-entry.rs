//! Daemon that runs an entry, with listeners for callers, for endpoints and workers, and for
//! operators.

use std::process::ExitCode;

use marjoramknot::programs::{Daemon, run_daemon, serve_entry};
use marjoramknot::settings::EntrySettings;

fn main() -> ExitCode {
    run_daemon(&Daemon {
        program: "marjoramknot-entry",
        load: EntrySettings::load,
        log_level: |settings| settings.log_level,
        serve: serve_entry,
    })
}
