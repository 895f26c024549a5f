//! Daemon that runs a replica of the control group.

use std::process::ExitCode;

use marjoramknot::programs::{Daemon, run_daemon, serve_control};
use marjoramknot::settings::ControlSettings;

fn main() -> ExitCode {
    run_daemon(&Daemon {
        program: "marjoramknot-control",
        load: ControlSettings::load,
        log_level: |settings| settings.log_level,
        serve: serve_control,
    })
}
