use gumdrop::Options;
use serde::Serialize;
use smol_str::SmolStr;

use super::job_commands::jobs;
use super::note_command::release_note;
use super::operator_client::ApiRequest;
use super::options::{CtlCommand, CtlOptions};
use super::views::{self, StatusView};
use super::{CommandError, Exit, OperatorClient, Result};
use crate::control::Status;
use crate::units::Millis;

/// Output and exit status of `marjoramctl`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CtlOutput {
    /// Text for standard output if `exit` is [`Exit::Done`], otherwise for standard error.
    pub text: String,
    /// The exit status.
    pub exit: Exit,
}

impl CtlOutput {
    pub(super) const fn done(text: String) -> Self {
        Self {
            text,
            exit: Exit::Done,
        }
    }
}

/// Output format of a command.
#[derive(Clone, Copy, Debug)]
pub(super) struct Printer {
    pub(super) json: bool,
}

impl Printer {
    /// Formats `value` as JSON, or as a table if JSON was not requested.
    pub(super) fn print<T: Serialize + ?Sized>(
        self,
        value: &T,
        table: impl FnOnce(&T) -> String,
    ) -> String {
        if self.json {
            serde_json::to_string_pretty(value).expect("views have string keys and finite numbers")
        } else {
            table(value)
        }
    }
}

/// Runs `marjoramctl` with these command-line arguments, which exclude the program name.
pub async fn run_ctl(args: &[String]) -> CtlOutput {
    match run(args).await {
        Ok(output) => output,
        Err(error) => CtlOutput {
            text: format!("marjoramctl: {error}"),
            exit: error.exit(),
        },
    }
}

async fn run(args: &[String]) -> Result<CtlOutput> {
    let options = CtlOptions::parse_args_default(args)
        .map_err(|cause| usage_error(format!("{cause}; try marjoramctl --help")))?;
    if options.help_requested() {
        return Ok(CtlOutput::done(help(&options)));
    }
    if options.version {
        let text = format!("marjoramctl {}", env!("CARGO_PKG_VERSION"));
        return Ok(CtlOutput::done(text));
    }
    let command = options
        .command
        .ok_or_else(|| usage_error("no command is given; try marjoramctl --help"))?;
    if options.entry.is_empty() {
        return Err(usage_error("no entry is given; give --entry ADDRESS"));
    }
    let client = OperatorClient::new(options.entry, Millis(options.timeout_ms));
    let printer = Printer { json: options.json };
    run_command(&client, printer, command).await
}

async fn run_command(
    client: &OperatorClient,
    printer: Printer,
    command: CtlCommand,
) -> Result<CtlOutput> {
    match command {
        CtlCommand::ReleaseNote(options) => return release_note(client, printer, options).await,
        CtlCommand::Jobs(options) => return jobs(client, printer, options).await,
        _ => {}
    }
    let status: Status = client.call(&ApiRequest::get("/v1/status")).await?;
    let text = match command {
        CtlCommand::Zones(_) => printer.print(views::zones(&status).as_slice(), views::zones_table),
        CtlCommand::Teams(_) => printer.print(status.teams.as_slice(), views::teams_table),
        CtlCommand::Endpoints(_) => {
            printer.print(status.endpoints.as_slice(), views::endpoints_table)
        }
        CtlCommand::Workers(_) => printer.print(status.workers.as_slice(), views::workers_table),
        CtlCommand::Entries(_) => printer.print(status.entries.as_slice(), views::entries_table),
        _ => printer.print(&StatusView::new(&status), views::status_table),
    };
    Ok(CtlOutput::done(text))
}

fn help(options: &CtlOptions) -> String {
    let commands = options
        .command
        .as_ref()
        .map_or_else(CtlOptions::command_list, |command| {
            command.self_command_list()
        });
    let usage = options
        .command
        .as_ref()
        .map_or_else(|| options.self_usage(), |command| command.self_usage());
    let mut text = format!("Usage: marjoramctl --entry ADDRESS [OPTIONS] COMMAND\n\n{usage}");
    if let Some(commands) = commands {
        text.push_str("\n\nCommands:\n");
        text.push_str(commands);
    }
    text
}

pub(super) fn usage_error(fault: impl Into<SmolStr>) -> CommandError {
    CommandError::Usage {
        fault: fault.into(),
    }
}
