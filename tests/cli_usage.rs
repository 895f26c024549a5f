//! Tests the command lines of the programs: help, version, errors and exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;

use assert_matches::assert_matches;
use marjoramknot::cli::{CtlOutput, DaemonAction, Exit, parse_daemon_args, run_ctl};
use rstest::rstest;
use tokio::net::TcpListener;

fn args(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

async fn ctl(line: &str) -> CtlOutput {
    run_ctl(&args(line)).await
}

/// Returns an address on which no process listens.
async fn closed_port() -> SocketAddr {
    let socket = TcpListener::bind("127.0.0.1:0").await;
    let socket = socket.expect("a free port is bound");
    socket.local_addr().expect("a bound socket has an address")
}

#[rstest]
#[case(
    "--settings entry.toml",
    DaemonAction::Run(PathBuf::from("entry.toml"))
)]
#[case(
    "-s entry.toml --check",
    DaemonAction::Check(PathBuf::from("entry.toml"))
)]
fn daemon_actions(#[case] line: &str, #[case] action: DaemonAction) {
    assert_eq!(parse_daemon_args("marjoramknot-entry", &args(line)), action);
}

#[rstest]
#[case(
    "--help",
    Exit::Done,
    "Usage: marjoramknot-entry --settings FILE [--check]"
)]
#[case("--version", Exit::Done, concat!("marjoramknot-entry ", env!("CARGO_PKG_VERSION")))]
#[case("", Exit::Usage, "no settings file is given")]
#[case("--check", Exit::Usage, "no settings file is given")]
#[case("--colour", Exit::Usage, "unrecognized option `--colour`")]
#[case("--settings", Exit::Usage, "missing argument to option `--settings`")]
#[case("entry.toml", Exit::Usage, "unexpected free argument `entry.toml`")]
fn daemon_texts(#[case] line: &str, #[case] exit: Exit, #[case] part: &str) {
    let action = parse_daemon_args("marjoramknot-entry", &args(line));
    assert_matches!(action, DaemonAction::Print { text, exit: ended } => {
        assert!(text.contains(part), "{text}");
        assert_eq!(ended, exit);
    });
}

#[rstest]
#[case("--help", Exit::Done, "release-note")]
#[case("release-note --help", Exit::Done, "apply")]
#[case("release-note apply --help", Exit::Done, "--wait")]
#[case("jobs --help", Exit::Done, "cancel")]
#[case("--version", Exit::Done, concat!("marjoramctl ", env!("CARGO_PKG_VERSION")))]
#[case("", Exit::Usage, "no command is given")]
#[case("status", Exit::Usage, "no entry is given")]
#[case(
    "--entry here status",
    Exit::Usage,
    "invalid argument to option `--entry`"
)]
#[case(
    "--entry 127.0.0.1:1 shout",
    Exit::Usage,
    "unrecognized command `shout`"
)]
#[case(
    "--entry 127.0.0.1:1 --timeout-ms soon status",
    Exit::Usage,
    "`--timeout-ms`"
)]
#[case("--entry 127.0.0.1:1 release-note", Exit::Usage, "needs a command")]
#[case(
    "--entry 127.0.0.1:1 release-note apply",
    Exit::Usage,
    "needs the note's file"
)]
#[case(
    "--entry 127.0.0.1:1 release-note apply no/such/file.toml",
    Exit::Usage,
    "cannot read no/such/file.toml"
)]
#[case("--entry 127.0.0.1:1 jobs", Exit::Usage, "needs a command")]
#[case(
    "--entry 127.0.0.1:1 jobs explain",
    Exit::Usage,
    "give jobs as TEAM/ID"
)]
#[case(
    "--entry 127.0.0.1:1 jobs explain heat",
    Exit::Usage,
    "\"heat\" is not a job"
)]
#[case("--entry 127.0.0.1:1 jobs cancel a/b/c", Exit::Usage, "holds '/'")]
#[case(
    "--entry 127.0.0.1:1 jobs cancel --team judges judges/1",
    Exit::Usage,
    "not both"
)]
#[case("--entry 127.0.0.1:1 jobs list --team a/b", Exit::Usage, "`--team`")]
#[tokio::test]
async fn ctl_texts(#[case] line: &str, #[case] exit: Exit, #[case] part: &str) {
    let output = ctl(line).await;
    assert!(output.text.contains(part), "{}", output.text);
    assert_eq!(output.exit, exit);
}

#[tokio::test]
async fn no_entry_answers() {
    let (first, second) = (closed_port().await, closed_port().await);
    let line = format!("--entry {first} --entry {second} --timeout-ms 300 status");
    let output = ctl(&line).await;
    assert_eq!(output.exit, Exit::Unreachable);
    assert!(output.text.contains(&second.to_string()), "{}", output.text);
}

#[test]
fn exit_codes() {
    let codes = [Exit::Done, Exit::Failed, Exit::Usage, Exit::Unreachable].map(Exit::code);
    assert_eq!(codes, [0, 1, 2, 3]);
}
