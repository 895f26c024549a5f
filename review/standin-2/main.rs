//! Plays one case of the review against the project's own programs.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod cases;
mod http;
mod json;
mod proxy;
mod record;
mod system;
mod worker;

use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if !system::can_run() {
        eprintln!("the programs are not built, or this is not the project's root");
        return ExitCode::from(2);
    }
    let record = Record::new();
    record.note(&format!("case {case}, with the disruption: {trouble}"));
    let (verdict, code) = match cases::play(case, &record, trouble) {
        Err(cause) => (format!("could not run: {cause}"), 2),
        Ok(()) if record.is_broken() => ("the rule was broken".to_owned(), 1),
        Ok(()) => ("the rule held".to_owned(), 0),
    };
    record.write(path, &verdict);
    println!("{verdict}");
    ExitCode::from(code)
}
