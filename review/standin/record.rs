//! What was sent, answered and run, with times in milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One run of a task on a worker, as the worker saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
    pub how: &'static str,
}

#[derive(Default)]
struct Inner {
    lines: Vec<(u64, String)>,
    runs: Vec<Run>,
    stops: usize,
}

#[derive(Clone)]
pub struct Record {
    origin: Instant,
    inner: Arc<Mutex<Inner>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            inner: Arc::default(),
        }
    }

    pub fn ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.origin).as_millis() as u64
    }

    pub fn now_ms(&self) -> u64 {
        self.ms(Instant::now())
    }

    pub fn note(&self, text: impl Into<String>) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: impl Into<String>) {
        let at = self.ms(at);
        self.inner.lock().unwrap().lines.push((at, text.into()));
    }

    pub fn run_started(&self, task: &str, run: u64, worker: &str, at: Instant) {
        let start_ms = self.ms(at);
        self.note_at(at, format!("worker {worker}: run {run} of {task} starts"));
        self.inner.lock().unwrap().runs.push(Run {
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            start_ms,
            end_ms: None,
            how: "",
        });
    }

    pub fn run_ended(&self, task: &str, run: u64, worker: &str, at: Instant, how: &'static str) {
        let end_ms = self.ms(at);
        self.note_at(
            at,
            format!("worker {worker}: run {run} of {task} ends, {how}"),
        );
        let mut inner = self.inner.lock().unwrap();
        let found = inner
            .runs
            .iter_mut()
            .rev()
            .find(|known| known.task == task && known.run == run && known.worker == worker);
        if let Some(found) = found {
            found.end_ms = Some(end_ms);
            found.how = how;
        }
    }

    /// Counts that a worker has begun to stop a run.
    pub fn stop_begun(&self, task: &str, run: u64, worker: &str, at: Instant) {
        self.note_at(at, format!("worker {worker}: stop of run {run} of {task}"));
        self.inner.lock().unwrap().stops += 1;
    }

    pub fn stops(&self) -> usize {
        self.inner.lock().unwrap().stops
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.lock().unwrap().runs.clone()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.inner.lock().unwrap().lines.clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut file = File::create(path).expect("the record can be written");
        for (at, text) in lines {
            writeln!(file, "{at:>7} ms  {text}").expect("the record can be written");
        }
    }
}

/// Pairs of runs of one task that were active at the same time, with the length of the overlap.
pub fn overlaps(runs: &[Run], until_ms: u64) -> Vec<(Run, Run, u64)> {
    let mut found = Vec::new();
    for (at, first) in runs.iter().enumerate() {
        for second in &runs[at + 1..] {
            if first.task != second.task {
                continue;
            }
            let from = first.start_ms.max(second.start_ms);
            let to = first
                .end_ms
                .unwrap_or(until_ms)
                .min(second.end_ms.unwrap_or(until_ms));
            if to > from {
                found.push((first.clone(), second.clone(), to - from));
            }
        }
    }
    found
}
