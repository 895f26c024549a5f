use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;

use crate::units::TeamId;

// gumdrop prints the doc comments of the structs below, and of fields without `help`, as help text.

/// Applies release notes, and shows and cancels what the system runs.
#[derive(Clone, Debug, Options)]
pub struct CtlOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Operators' addresses of entries, tried in turn.
    #[options(
        help = "operators' address of an entry; may be given several times",
        meta = "ADDRESS"
    )]
    pub entry: Vec<SocketAddr>,
    /// Whether to print JSON instead of tables.
    #[options(help = "print JSON for programs")]
    pub json: bool,
    /// Time in milliseconds after which a request without an answer fails.
    #[options(
        no_short,
        help = "how long to go on asking",
        meta = "MS",
        default = "10000"
    )]
    pub timeout_ms: u64,
    /// The command to run.
    #[options(command)]
    pub command: Option<CtlCommand>,
}

/// Commands of `marjoramctl`.
#[derive(Clone, Debug, Options)]
pub enum CtlCommand {
    /// Release notes.
    #[options(help = "apply a release note")]
    ReleaseNote(ReleaseNoteOptions),
    /// The control group.
    #[options(help = "show the control group and the revision in force")]
    Status(PlainOptions),
    /// Availability zones.
    #[options(help = "list availability zones")]
    Zones(PlainOptions),
    /// Teams.
    #[options(help = "list teams with guarantee, used, borrowed and at risk")]
    Teams(PlainOptions),
    /// Endpoints.
    #[options(help = "list endpoints as they announce themselves")]
    Endpoints(PlainOptions),
    /// Workers.
    #[options(help = "list workers with health and quarantine")]
    Workers(PlainOptions),
    /// Entries.
    #[options(help = "list entries with revision and grant")]
    Entries(PlainOptions),
    /// Jobs.
    #[options(help = "list, explain and cancel jobs")]
    Jobs(JobsOptions),
}

/// A command without options of its own.
#[derive(Clone, Debug, Options)]
pub struct PlainOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// `marjoramctl release-note`.
#[derive(Clone, Debug, Options)]
pub struct ReleaseNoteOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<ReleaseNoteCommand>,
}

/// Commands of `marjoramctl release-note`.
#[derive(Clone, Debug, Options)]
pub enum ReleaseNoteCommand {
    /// Apply it.
    #[options(help = "apply a note; safe to send again")]
    Apply(ApplyOptions),
}

/// `marjoramctl release-note apply`.
#[derive(Clone, Debug, Options)]
pub struct ApplyOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to wait until every entry with a grant has applied the note.
    #[options(help = "wait until every entry with a grant has applied it")]
    pub wait: bool,
    /// The note's file.
    #[options(free)]
    pub file: Option<PathBuf>,
}

/// `marjoramctl jobs`.
#[derive(Clone, Debug, Options)]
pub struct JobsOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<JobsCommand>,
}

/// Commands of `marjoramctl jobs`.
#[derive(Clone, Debug, Options)]
pub enum JobsCommand {
    /// List them.
    #[options(help = "list jobs that have not ended")]
    List(ListOptions),
    /// Explain them.
    #[options(help = "tell why jobs wait or how they ended")]
    Explain(KeysOptions),
    /// Cancel them.
    #[options(help = "cancel jobs")]
    Cancel(CancelOptions),
}

/// `marjoramctl jobs list`.
#[derive(Clone, Debug, Options)]
pub struct ListOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Team whose jobs to list; all teams if absent.
    #[options(help = "only this team's jobs", meta = "TEAM")]
    pub team: Option<TeamId>,
    /// Whether to include jobs that have ended.
    #[options(help = "also jobs that have ended")]
    pub all: bool,
    /// Maximum number of jobs to list.
    #[options(help = "at most this many", meta = "N", default = "100")]
    pub limit: u32,
}

/// `marjoramctl jobs explain`.
#[derive(Clone, Debug, Options)]
pub struct KeysOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Jobs as TEAM/ID.
    #[options(free, help = "jobs as TEAM/ID")]
    pub jobs: Vec<String>,
}

/// `marjoramctl jobs cancel`.
#[derive(Clone, Debug, Options)]
pub struct CancelOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Team whose unfinished jobs to cancel, instead of listing jobs.
    #[options(help = "all jobs of this team that have not ended", meta = "TEAM")]
    pub team: Option<TeamId>,
    /// Jobs as TEAM/ID.
    #[options(free, help = "jobs as TEAM/ID")]
    pub jobs: Vec<String>,
}
