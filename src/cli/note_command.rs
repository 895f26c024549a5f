use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::sleep;

use super::commands::{CtlOutput, Printer, usage_error};
use super::operator_client::{ApiRequest, error_from_response, parse_body};
use super::options::{ApplyOptions, ReleaseNoteCommand, ReleaseNoteOptions};
use super::{CommandError, Exit, OperatorClient, Result};
use crate::control::Status;
use crate::release_note::NoteAnswer;
use crate::units::Revision;

/// Interval between checks of whether a note is in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks before giving up.
const IN_FORCE_POLLS: u32 = 150;

/// JSON output of `release-note apply`.
#[derive(Serialize)]
struct Applied {
    answer: NoteAnswer,
    /// Whether the note came into force everywhere in time; absent without `--wait`.
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force: Option<bool>,
}

pub(super) async fn release_note(
    client: &OperatorClient,
    printer: Printer,
    options: ReleaseNoteOptions,
) -> Result<CtlOutput> {
    match options.command {
        Some(ReleaseNoteCommand::Apply(options)) => apply(client, printer, options).await,
        None => Err(usage_error("release-note needs a command: apply FILE")),
    }
}

async fn apply(
    client: &OperatorClient,
    printer: Printer,
    options: ApplyOptions,
) -> Result<CtlOutput> {
    let file = options
        .file
        .ok_or_else(|| usage_error("release-note apply needs the note's file"))?;
    let note = read_note(&file)?;
    let (status, body) = client
        .send(&ApiRequest::post("/v1/release-notes", note))
        .await?;
    let answer: NoteAnswer =
        parse_body(&body).map_err(|_other| error_from_response(status, &body))?;
    let in_force = match (&answer, options.wait) {
        (NoteAnswer::Accepted { revision } | NoteAnswer::AlreadyAccepted { revision }, true) => {
            Some(wait_in_force(client, *revision).await?)
        }
        _ => None,
    };
    let exit = exit_of(&answer, in_force);
    let applied = Applied { answer, in_force };
    let text = printer.print(&applied, describe);
    Ok(CtlOutput { text, exit })
}

fn read_note(file: &Path) -> Result<String> {
    fs::read_to_string(file)
        .map_err(|cause| usage_error(format_smolstr!("cannot read {}: {cause}", file.display())))
}

async fn wait_in_force(client: &OperatorClient, revision: Revision) -> Result<bool> {
    for _poll in 0..IN_FORCE_POLLS {
        let status: Status = client.call(&ApiRequest::get("/v1/status")).await?;
        if status.in_force_everywhere >= revision {
            return Ok(true);
        }
        sleep(IN_FORCE_POLL_INTERVAL).await;
    }
    Ok(false)
}

const fn exit_of(answer: &NoteAnswer, in_force: Option<bool>) -> Exit {
    match (answer, in_force) {
        (_, Some(false)) => Exit::Failed,
        (NoteAnswer::Accepted { .. } | NoteAnswer::AlreadyAccepted { .. }, _) => Exit::Done,
        _ => Exit::Failed,
    }
}

fn describe(applied: &Applied) -> String {
    let mut text = match &applied.answer {
        NoteAnswer::Accepted { revision } => format!("accepted as revision {revision}"),
        NoteAnswer::AlreadyAccepted { revision } => {
            format!("already accepted as revision {revision}")
        }
        NoteAnswer::VersionTaken { digest, revision } => {
            format!("version taken: another note holds it, revision {revision}, digest {digest}")
        }
        NoteAnswer::Stale { current } => format!("stale: version {current} is in force"),
        NoteAnswer::Invalid { faults } => {
            let lines: Vec<_> = faults.iter().map(|fault| format!("\n  {fault}")).collect();
            format!("invalid, nothing was changed:{}", lines.concat())
        }
    };
    match applied.in_force {
        Some(true) => text.push_str(", in force everywhere"),
        Some(false) => text.push_str(", not yet in force everywhere"),
        None => {}
    }
    text
}

/// Returns the error for a refused request.
pub(super) fn refused_error(code: &'static str, message: SmolStr) -> CommandError {
    CommandError::Refused {
        code: SmolStr::new_static(code),
        message,
    }
}
