use std::path::PathBuf;

use gumdrop::Options;

use super::Exit;

// gumdrop prints this doc comment as help text.
/// Serves until SIGTERM, then stops in order.
#[derive(Clone, Debug, Default, Options)]
pub struct DaemonOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Path of the settings file.
    #[options(help = "the settings file", meta = "FILE")]
    pub settings: Option<PathBuf>,
    /// Whether to check the settings and exit.
    #[options(no_short, help = "only check the settings")]
    pub check: bool,
}

/// Action requested on a daemon's command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonAction {
    /// Run with this settings file.
    Run(PathBuf),
    /// Check this settings file and exit.
    Check(PathBuf),
    /// Print a text and exit.
    Print {
        /// The text.
        text: String,
        /// The exit status; unless it is [`Exit::Done`], the text goes to standard error.
        exit: Exit,
    },
}

/// Parses a daemon's command-line arguments, which exclude the program name.
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
