//! Four ways to keep entries current, with real messages on a virtual timeline.
//!
//! `pull` is the exchange as it is built: held, versioned, answered with deltas. `ask` asks each
//! second for the version and gets the whole state where it differs, `full` gets the whole state
//! each second, and `push` is sent each change as an event, renews its grant each second and fetches
//! the whole state each 30 s, since a lost event is not noticed otherwise. All see the same changes
//! and the same silent connections.

mod check;
mod figures;
mod messages;
mod state;
mod timeline;

use figures::Figures;
use timeline::{Timeline, Way};

/// Changes a day at the size aimed for.
const CHANGES_A_DAY: u64 = 15_000;
const DAY_US: u64 = 24 * 3_600 * 1_000_000;

/// Runs all ways at both rates and prints one `key=value` line a figure.
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
