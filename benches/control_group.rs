//! Measures the control group with real files and loopback connections and prints `key=value`
//! lines.
//!
//! `cargo bench --bench control_group` runs all parts. With an argument, as in `-- commits`, it
//! runs only the parts whose name contains the argument.

#[path = "control_group/commits.rs"]
mod commits;
#[path = "distribution/mod.rs"]
mod distribution;
#[path = "control_group/failover.rs"]
mod failover;
#[path = "control_group/group.rs"]
mod group;
#[path = "control_group/idle.rs"]
mod idle;
#[path = "control_group/memory.rs"]
mod memory;
#[path = "control_group/restart.rs"]
mod restart;

use std::fmt::{self, Display};

/// One measured figure.
#[derive(Debug)]
pub struct Figure {
    key: String,
    value: f64,
}

impl Figure {
    fn new(key: impl Into<String>, value: f64) -> Self {
        Self {
            key: key.into(),
            value,
        }
    }
}

impl Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}={:.3}", self.key, self.value)
    }
}

/// A part's name and function. Memory is measured first, since pages that other parts leave
/// resident would count.
type Part = (&'static str, fn() -> Vec<Figure>);

const PARTS: [Part; 5] = [
    ("memory", memory::measure),
    ("commits", commits::measure),
    ("restart", restart::measure),
    ("failover", failover::measure),
    ("idle", idle::measure),
];

fn main() {
    let filter = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    let is_wanted = |name: &str| filter.as_ref().is_none_or(|w| name.contains(w.as_str()));
    let mut figures = Vec::new();
    for (name, measure) in PARTS.iter().filter(|(name, _)| is_wanted(name)) {
        println!("measuring {name}");
        figures.extend(measure());
    }
    if is_wanted("distribution") {
        println!("measuring distribution");
        distribution::run();
    }
    for figure in figures {
        println!("{figure}");
    }
}
