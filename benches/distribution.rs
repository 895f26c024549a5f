//! Bytes, processor time and staleness of four ways to keep entries current.

#[path = "distribution/mod.rs"]
mod ways;

fn main() {
    ways::run();
}
