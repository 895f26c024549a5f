//! What was sent, answered and run, in the order in which the stand-ins saw it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A run of a task on a worker.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub zone: String,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: String,
}

/// A run of a gang, as its members know of each other.
#[derive(Debug, Default)]
struct Gang {
    present: BTreeSet<String>,
    ended: Option<&'static str>,
}

#[derive(Debug, Default)]
struct Seen {
    gangs: BTreeMap<(String, u64), Gang>,
    acknowledged_failures: Vec<(String, u64)>,
    lines: Vec<String>,
    runs: Vec<SeenRun>,
    numbers: BTreeMap<(String, String, u64), usize>,
    broken: Vec<String>,
}

/// The record of one play.
#[derive(Clone, Debug)]
pub struct Record {
    began: Instant,
    seen: Arc<Mutex<Seen>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            seen: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} ms  {text}", self.now_ms());
        println!("{line}");
        self.lock().lines.push(line);
    }

    /// Notes that a rule was broken.
    pub fn broken(&self, text: &str) {
        self.note(&format!("BROKEN {text}"));
        self.lock().broken.push(text.to_owned());
    }

    pub fn is_broken(&self) -> bool {
        !self.lock().broken.is_empty()
    }

    /// Notes that a worker began a run, and where else the task runs at that moment.
    pub fn started(&self, task: &str, run: u64, worker: &str, zone: &str) {
        self.note(&format!("{worker} ({zone}) starts {task} run {run}"));
        let others: Vec<String> = self
            .runs()
            .into_iter()
            .filter(|seen| seen.task == task && seen.ended_ms.is_none())
            .map(|seen| format!("{} (run {})", seen.worker, seen.run))
            .collect();
        if !others.is_empty() {
            self.broken(&format!(
                "TWICE: {task} starts on {worker} while it runs on {}",
                others.join(", ")
            ));
        }
        let started_ms = self.now_ms();
        let mut seen = self.lock();
        let number = seen.runs.len();
        seen.numbers
            .insert((task.to_owned(), worker.to_owned(), run), number);
        seen.runs.push(SeenRun {
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            zone: zone.to_owned(),
            started_ms,
            ended_ms: None,
            how: String::new(),
        });
    }

    pub fn ended(&self, task: &str, run: u64, worker: &str, how: &str) {
        self.note(&format!("{worker} ends {task} run {run}: {how}"));
        let now_ms = self.now_ms();
        let mut seen = self.lock();
        let key = (task.to_owned(), worker.to_owned(), run);
        if let Some(number) = seen.numbers.get(&key).copied() {
            seen.runs[number].ended_ms = Some(now_ms);
            seen.runs[number].how = how.to_owned();
        }
    }

    /// Notes that a member of a gang's run is there, and returns how many are.
    pub fn member_present(&self, task: &str, run: u64) -> usize {
        let mut seen = self.lock();
        let gang = seen.gangs.entry((step_of(task), run)).or_default();
        gang.present.insert(task.to_owned());
        gang.present.len()
    }

    /// Notes how the first member of a gang's run has ended.
    pub fn member_ended(&self, task: &str, run: u64, how: &'static str) {
        let mut seen = self.lock();
        let gang = seen.gangs.entry((step_of(task), run)).or_default();
        gang.ended.get_or_insert(how);
    }

    pub fn gang_end(&self, task: &str, run: u64) -> Option<&'static str> {
        let seen = self.lock();
        seen.gangs
            .get(&(step_of(task), run))
            .and_then(|gang| gang.ended)
    }

    /// Notes that an end `failed` was acknowledged to its worker, under a lease that has not lapsed
    /// since.
    pub fn failure_acknowledged(&self, task: &str, run: u64) {
        self.note(&format!(
            "the end `failed` of {task} run {run} is acknowledged"
        ));
        self.lock()
            .acknowledged_failures
            .push((task.to_owned(), run));
    }

    pub fn acknowledged_failures(&self) -> Vec<(String, u64)> {
        self.lock().acknowledged_failures.clone()
    }

    pub fn runs(&self) -> Vec<SeenRun> {
        self.lock().runs.clone()
    }

    pub fn write(&self, path: &str, verdict: &str) {
        let mut text = self.lock().lines.join("\n");
        text.push_str(&format!("\nresult: {verdict}\n"));
        if let Err(cause) = std::fs::write(path, text) {
            eprintln!("cannot write {path}: {cause}");
        }
    }
}

fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or(task, |(step, _index)| step)
        .to_owned()
}
