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
use timeline::{Timeline, Way};

/// Configuration changes per day at the target size.
const CHANGES_A_DAY: u64 = 15_000;
const DAY_US: u64 = 24 * 3_600 * 1_000_000;

/// Measures note validation, then runs all protocols at the target rate of changes and at 100 times
/// that rate, and prints one `key=value` line per figure.
pub fn run() {
    check::run();
    for (suffix, factor, span_s) in [("", 1, 3_600), ("_x100", 100, 1_200)] {
        let every_us = DAY_US / (CHANGES_A_DAY * factor);
        for way in [Way::Pull, Way::Ask, Way::Full, Way::Push] {
            let figures = Timeline::new(way, every_us, span_s).run();
            print(way, suffix, &figures);
        }
    }
}

fn print(way: Way, suffix: &str, figures: &Figures) {
    let name = way.name();
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
    println!("{name}_missing{suffix}={}", figures.missing);
}

fn print_ms(key: &str, us: u64) {
    println!("{key}={}.{:03}", us / 1_000, us % 1_000);
}
