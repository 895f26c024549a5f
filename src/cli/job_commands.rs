use smol_str::format_smolstr;

use super::commands::{CtlOutput, Printer, usage_error};
use super::note_command::refused_error;
use super::operator_client::ApiRequest;
use super::options::{CancelOptions, JobsCommand, JobsOptions, KeysOptions, ListOptions};
use super::table::{Table, cell};
use super::{OperatorClient, Result};
use crate::control::JobView;
use crate::entry::CancelJobs;
use crate::scheduler::{JobKey, JobOutcome, NotRunReason};

/// Maximum number of a team's jobs that one command cancels, starting with the oldest.
const CANCEL_MAX: u32 = 1_000;

pub(super) async fn jobs(
    client: &OperatorClient,
    printer: Printer,
    options: JobsOptions,
) -> Result<CtlOutput> {
    let command = options
        .command
        .ok_or_else(|| usage_error("jobs needs a command: list, explain or cancel"))?;
    let views = match command {
        JobsCommand::List(options) => list(client, &options).await?,
        JobsCommand::Explain(options) => explain(client, &options).await?,
        JobsCommand::Cancel(options) => cancel(client, &options).await?,
    };
    Ok(CtlOutput::done(printer.print(views.as_slice(), table)))
}

async fn list(client: &OperatorClient, options: &ListOptions) -> Result<Vec<JobView>> {
    let mut path = format!(
        "/v1/jobs?limit={}&unended_only={}",
        options.limit, !options.all
    );
    if let Some(team) = &options.team {
        path.push_str("&team=");
        path.push_str(&percent_encode(team.as_str()));
    }
    client.call(&ApiRequest::get(path)).await
}

async fn explain(client: &OperatorClient, options: &KeysOptions) -> Result<Vec<JobView>> {
    let keys = parse_keys(&options.jobs)?;
    let mut views = Vec::with_capacity(keys.len());
    for key in keys {
        let path = format!(
            "/v1/jobs/{}/{}",
            percent_encode(key.team.as_str()),
            percent_encode(key.id.as_str())
        );
        views.push(client.call(&ApiRequest::get(path)).await?);
    }
    Ok(views)
}

async fn cancel(client: &OperatorClient, options: &CancelOptions) -> Result<Vec<JobView>> {
    let jobs = match &options.team {
        Some(_) if !options.jobs.is_empty() => {
            return Err(usage_error("jobs cancel takes jobs or --team, not both"));
        }
        Some(team) => {
            let of_team = ListOptions {
                help: false,
                team: Some(team.clone()),
                all: false,
                limit: CANCEL_MAX,
            };
            let views = list(client, &of_team).await?;
            views.into_iter().map(|view| view.key).collect()
        }
        None => parse_keys(&options.jobs)?,
    };
    if jobs.is_empty() {
        return Ok(Vec::new());
    }
    let requested = jobs.len();
    let body = serde_json::to_vec(&CancelJobs { jobs }).expect("keys are text");
    let views: Vec<JobView> = client
        .call(&ApiRequest::post("/v1/jobs/cancel", body))
        .await?;
    if views.len() < requested && options.team.is_none() {
        let unknown = requested - views.len();
        return Err(refused_error(
            "not_found",
            format_smolstr!(
                "{unknown} of {requested} jobs are not known; the others are cancelled"
            ),
        ));
    }
    Ok(views)
}

fn parse_keys(texts: &[String]) -> Result<Vec<JobKey>> {
    if texts.is_empty() {
        return Err(usage_error("give jobs as TEAM/ID"));
    }
    texts.iter().map(|text| parse_key(text)).collect()
}

fn parse_key(text: &str) -> Result<JobKey> {
    let (team, id) = text
        .split_once('/')
        .ok_or_else(|| usage_error(format_smolstr!("{text:?} is not a job; give TEAM/ID")))?;
    let fault = |cause| usage_error(format_smolstr!("{text:?} is not a job: {cause}"));
    Ok(JobKey {
        team: team.parse().map_err(fault)?,
        id: id.parse().map_err(fault)?,
    })
}

/// Percent-encodes an id for a URL path or query. Ids may contain non-ASCII letters.
fn percent_encode(id: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let encode = |byte: u8| {
        if plain(byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    };
    id.bytes().map(encode).collect()
}

fn table(views: &[JobView]) -> String {
    let mut table = Table::new(&["job", "phase", "attempt", "age", "outcome", "explanation"]);
    for view in views {
        let explanation = view.explanation.as_ref();
        let explained = explanation
            .map(|explanation| format!("{}: {}", explanation.code, explanation.sentence));
        table.row(vec![
            view.key.to_string(),
            view.phase.to_string(),
            view.attempt.to_string(),
            view.age_ms.to_string(),
            cell(view.outcome.as_ref().map(outcome_text)),
            cell(explained),
        ]);
    }
    table.render()
}

fn outcome_text(outcome: &JobOutcome) -> String {
    match outcome {
        JobOutcome::Succeeded { results } => format!("succeeded, {} results", results.len()),
        JobOutcome::Failed { cause } => format!("failed: {cause}"),
        JobOutcome::NotRun { reason } => format!("not run: {}", not_run_text(reason)),
        JobOutcome::Cancelled => "cancelled after it had run in part".to_owned(),
        JobOutcome::Unknown { cause } => format!("unknown: {cause}"),
    }
}

fn not_run_text(reason: &NotRunReason) -> String {
    match reason {
        NotRunReason::NeverFits { nearest } => {
            format!("no declared rack could hold it; nearest: {nearest}")
        }
        NotRunReason::Cancelled => "cancelled before it started".to_owned(),
        NotRunReason::QueueFull => "the team's queue is full".to_owned(),
        NotRunReason::NoSuchTeam => "there is no such team".to_owned(),
        NotRunReason::TooOld => "its id is too old to be submitted".to_owned(),
        NotRunReason::NoMadeTime => {
            "its id was made in the future, or at no stated time".to_owned()
        }
        NotRunReason::AttemptsExhausted { cause } => format!("attempts exhausted: {cause}"),
    }
}
