//! Command-line tool for operators.

use std::env;
use std::process::ExitCode;

use marjoramknot::cli::{Exit, run_ctl};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    let output = run_ctl(&args).await;
    if output.exit == Exit::Done {
        println!("{}", output.text);
    } else {
        eprintln!("{}", output.text);
    }
    output.exit.into()
}
