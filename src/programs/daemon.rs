use std::env;
use std::fmt::Display;
use std::io;
use std::num::NonZero;
use std::path::Path;
use std::process::ExitCode;

use futures::future::BoxFuture;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tracing::{error, info};

use super::Result;
use super::settings_feed::SettingsFeed;
use crate::cli::{DaemonAction, Exit, parse_daemon_args};
use crate::settings;
use crate::telemetry::{LogLevel, Metrics, init_logging, init_metrics};

/// Describes a daemon: its name, its settings and what it runs.
#[derive(Debug)]
pub struct Daemon<S> {
    /// Name of the program, used in messages and in the log.
    pub program: &'static str,
    /// Reads and validates a settings file.
    pub load: fn(&Path) -> settings::Result<S>,
    /// Returns the log level of the settings.
    pub log_level: fn(&S) -> LogLevel,
    /// Runs the daemon until the token is cancelled, then shuts down gracefully.
    pub serve: fn(SettingsFeed<S>, Metrics, CancellationToken) -> BoxFuture<'static, Result<()>>,
}

/// Runs a daemon with the command-line arguments of this process.
#[must_use]
pub fn run_daemon<S: Eq + Send + Sync + 'static>(daemon: &Daemon<S>) -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    let exit = match parse_daemon_args(daemon.program, &args) {
        DaemonAction::Run(path) => {
            let settings = load(daemon, &path);
            settings.map_or_else(|exit| exit, |settings| run(daemon, settings, &path))
        }
        DaemonAction::Check(path) => check(daemon, &path),
        DaemonAction::Print { text, exit } => print(&text, exit),
    };
    exit.into()
}

fn check<S>(daemon: &Daemon<S>, path: &Path) -> Exit {
    match load(daemon, path) {
        Ok(_settings) => print(&format!("{} is valid", path.display()), Exit::Done),
        Err(exit) => exit,
    }
}

fn load<S>(daemon: &Daemon<S>, path: &Path) -> std::result::Result<S, Exit> {
    (daemon.load)(path).map_err(|cause| {
        let text = format!("{}: {}: {cause}", daemon.program, path.display());
        print(&text, Exit::Usage)
    })
}

fn run<S: Eq + Send + Sync + 'static>(daemon: &Daemon<S>, settings: S, path: &Path) -> Exit {
    match serve(daemon, settings, path) {
        Ok(()) => Exit::Done,
        Err(cause) => print(&format!("{}: {cause}", daemon.program), Exit::Failed),
    }
}

fn serve<S: Eq + Send + Sync + 'static>(
    daemon: &Daemon<S>,
    settings: S,
    path: &Path,
) -> Result<()> {
    let _log_guard = init_logging((daemon.log_level)(&settings)).map_err(error_text)?;
    let metrics = init_metrics().map_err(error_text)?;
    let runtime = runtime().map_err(error_text)?;
    let stop = CancellationToken::new();
    runtime.block_on(async {
        stop_on_signal(&stop)?;
        let settings = SettingsFeed::follow_file(settings, daemon.load, path.to_owned())?;
        info!(event = "started", program = daemon.program);
        let served = (daemon.serve)(settings, metrics, stop).await;
        match &served {
            Ok(()) => info!(event = "stopped", program = daemon.program),
            Err(cause) => error!(event = "failed", program = daemon.program, cause = %cause),
        }
        served
    })
}

/// Builds a multi-threaded runtime, or a single-threaded one on a single CPU.
///
/// With one CPU, moving tasks between threads costs time and gains nothing.
fn runtime() -> io::Result<Runtime> {
    let processors = std::thread::available_parallelism().map_or(1, NonZero::get);
    if processors > 1 {
        return Runtime::new();
    }
    Builder::new_current_thread().enable_all().build()
}

fn stop_on_signal(stop: &CancellationToken) -> Result<()> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signals = signal(kind).map_err(error_text)?;
        let stop = stop.clone();
        tokio::spawn(async move {
            signals.recv().await;
            info!(event = "stop_asked");
            stop.cancel();
        });
    }
    Ok(())
}

fn print(text: &str, exit: Exit) -> Exit {
    if exit == Exit::Done {
        println!("{text}");
    } else {
        eprintln!("{text}");
    }
    exit
}

fn error_text(cause: impl Display) -> String {
    cause.to_string()
}
