//! Compares four protocols for distributing the configuration to entries, with real messages in
//! virtual time.
//!
//! - `pull` is the implemented exchange: a long poll with the entry's revision, answered with
//!   deltas.
//! - `ask` polls every second and gets the whole state if its revision is outdated.
//! - `full` gets the whole state every second.
//! - `push` is sent every change as an event, renews its grant every second, and gets the whole
//!   state every 30 s, since it does not otherwise detect a lost event.
//!
//! All four see the same changes and the same rate of silent connections.

mod check;
mod figures;
mod messages;
mod state;
mod timeline;

use figures::Figures;
use timeline::{Protocol, Timeline};

/// Configuration changes per day at the target size.
const CHANGES_PER_DAY: u64 = 15_000;
const DAY_US: u64 = 24 * 3_600 * 1_000_000;

/// Measures note validation, then runs all protocols at the target rate of changes and at 100 times
/// that rate, and prints one `key=value` line per figure.
pub fn run() {
    check::measure_validation();
    for (suffix, rate_factor, duration_s) in [("", 1, 3_600), ("_x100", 100, 1_200)] {
        let change_interval_us = DAY_US / (CHANGES_PER_DAY * rate_factor);
        for protocol in [
            Protocol::Pull,
            Protocol::Ask,
            Protocol::Full,
            Protocol::Push,
        ] {
            let figures = Timeline::new(protocol, change_interval_us, duration_s).run();
            print(protocol, suffix, &figures);
        }
    }
}

fn print(protocol: Protocol, suffix: &str, figures: &Figures) {
    let name = protocol.name();
    println!("{name}_bytes_s{suffix}={}", figures.bytes_s);
    println!("{name}_entry_bytes_s{suffix}={}", figures.entry_bytes_s);
    println!("{name}_leader_cpu_us_s{suffix}={}", figures.leader_cpu_us_s);
    println!("{name}_entry_cpu_us_s{suffix}={}", figures.entry_cpu_us_s);
    print_ms(
        &format!("{name}_staleness_ms{suffix}"),
        figures.staleness_mean_us,
    );
    print_ms(
        &format!("{name}_staleness_p99_ms{suffix}"),
        figures.staleness_p99_us,
    );
    print_ms(
        &format!("{name}_staleness_max_ms{suffix}"),
        figures.staleness_max_us,
    );
    println!("{name}_missing{suffix}={}", figures.unseen_changes);
}

fn print_ms(key: &str, us: u64) {
    println!("{key}={}.{:03}", us / 1_000, us % 1_000);
}
