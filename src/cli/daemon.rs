use std::path::PathBuf;

use gumdrop::Options;

use super::Exit;

/// Serves until SIGTERM, then stops in order.
#[derive(Clone, Debug, Default, Options)]
pub struct DaemonOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// The settings file.
    #[options(help = "the settings file", meta = "FILE")]
    pub settings: Option<PathBuf>,
    /// Whether only to check the settings.
    #[options(no_short, help = "only check the settings")]
    pub check: bool,
}

/// What a daemon's command line asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonAction {
    /// Run with this settings file.
    Run(PathBuf),
    /// Check this settings file.
    Check(PathBuf),
    /// Print a text and end.
    Print {
        /// The text.
        text: String,
        /// How to end; anything but [`Exit::Done`] goes to standard error.
        exit: Exit,
    },
}

/// Reads a daemon's command line, without the program's own name.
#[must_use]
pub fn parse_daemon_args(program: &str, args: &[String]) -> DaemonAction {
    let options = match DaemonOptions::parse_args_default(args) {
        Ok(options) => options,
        Err(cause) => return usage(program, &cause.to_string()),
    };
    if options.help {
        let text = format!(
            "Usage: {program} --settings FILE [--check]\n\n{}",
            DaemonOptions::usage()
        );
        return print(text);
    }
    if options.version {
        return print(format!("{program} {}", env!("CARGO_PKG_VERSION")));
    }
    match options.settings {
        Some(path) if options.check => DaemonAction::Check(path),
        Some(path) => DaemonAction::Run(path),
        None => usage(program, "no settings file is given"),
    }
}

fn print(text: String) -> DaemonAction {
    DaemonAction::Print {
        text,
        exit: Exit::Done,
    }
}

fn usage(program: &str, fault: &str) -> DaemonAction {
    let text = format!("{program}: {fault}\nTry: {program} --settings FILE, or {program} --help");
    DaemonAction::Print {
        text,
        exit: Exit::Usage,
    }
}
