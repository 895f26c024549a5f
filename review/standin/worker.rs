//! A worker: it reports by heartbeats, holds a lease, and runs, stops and ends tasks.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Client;
use crate::json::Json;
use crate::record::Record;

/// A response that takes longer is dropped, and the next node is called.
const RESPONSE_LIMIT: Duration = Duration::from_secs(1);
/// Pause after an end, or after a failed call, until the next heartbeat.
const SHORT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub gpus: u64,
    /// How long a task takes, by the prefix of its name.
    pub work: Vec<(String, Duration)>,
    /// How long a stop takes.
    pub stop: Duration,
    pub nodes: Vec<SocketAddr>,
}

/// A handle to a worker's thread.
pub struct Worker {
    crashed: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    pub fn start(options: Options, record: Record) -> Self {
        let crashed = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&crashed);
        let thread = thread::spawn(move || Life::new(options, record).run(&flag));
        Self {
            crashed,
            thread: Some(thread),
        }
    }

    /// Ends the worker without a word; it ignores all answers from now on.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.crash();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

struct Task {
    run: u64,
    start: Instant,
    work: Duration,
    stop_at: Option<Instant>,
}

struct Life {
    options: Options,
    record: Record,
    born: u64,
    sequence: u64,
    fence: u64,
    lease: Option<Instant>,
    running: BTreeMap<String, Task>,
    /// The highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    end_number: u64,
}

impl Life {
    fn new(options: Options, record: Record) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            options,
            record,
            born: now.map_or(1, |now| now.as_millis() as u64),
            sequence: 0,
            fence: 0,
            lease: None,
            running: BTreeMap::new(),
            closed: HashMap::new(),
            ended: Vec::new(),
            end_number: 0,
        }
    }

    fn run(mut self, crashed: &AtomicBool) {
        let mut node = 0;
        let mut client = Client::new(self.options.nodes[node]);
        while !crashed.load(Ordering::SeqCst) {
            self.advance(Instant::now());
            self.sequence += 1;
            let sent = Instant::now();
            let body = self.report();
            let path = format!("/api/instances/{}", self.options.id);
            let answer = client.send("PUT", &path, &[], &body, RESPONSE_LIMIT);
            if crashed.load(Ordering::SeqCst) {
                break;
            }
            self.advance(Instant::now());
            let orders = match answer {
                Ok(answer) if answer.status / 100 == 2 && sent.elapsed() <= RESPONSE_LIMIT => {
                    Json::parse(&answer.body).unwrap_or(Json::Null)
                }
                _ => {
                    node = (node + 1) % self.options.nodes.len();
                    client = Client::new(self.options.nodes[node]);
                    thread::sleep(SHORT_PAUSE);
                    continue;
                }
            };
            let url = orders.get("heartbeat_url").text().map(str::parse);
            if let Some(Ok(address)) = url {
                client = Client::new(address);
            }
            self.obey(&orders, sent);
            let pause = orders.get("retry_after_ms").number().unwrap_or(200);
            self.pause(Duration::from_millis(pause), crashed);
        }
        let now = Instant::now();
        for task in self.running.keys().cloned().collect::<Vec<_>>() {
            self.end(&task, now, "crash");
        }
    }

    /// Waits until the next heartbeat, which is due early after an end.
    fn pause(&mut self, pause: Duration, crashed: &AtomicBool) {
        let until = Instant::now() + pause;
        let ends = self.end_number;
        while Instant::now() < until && !crashed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
            self.advance(Instant::now());
            if self.end_number > ends {
                thread::sleep(SHORT_PAUSE);
                return;
            }
        }
    }

    fn report(&self) -> String {
        let options = &self.options;
        let running: Vec<String> = self
            .running
            .iter()
            .filter(|(_, task)| task.stop_at.is_none())
            .map(|(name, task)| {
                let done = task.start.elapsed().as_secs_f64() / task.work.as_secs_f64();
                let percent = ((done * 100.0) as u64).min(99);
                format!("[\"{name}\",{},\"\",{percent}]", task.run)
            })
            .collect();
        let ended: Vec<String> = self
            .ended
            .iter()
            .map(|(number, name, run, how)| format!("[{number},\"{name}\",{run},\"{how}\",\"\"]"))
            .collect();
        format!(
            "{{\"service\":\"{}\",\"address\":\"127.0.0.1:1\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"batch_slots\":8,\"phase\":\"ready\",\"cold_remaining_ms\":0,\"free_capacity\":\
             {{\"cpu\":128000,\"mem_mb\":524288,\"gpu\":{}}},\"labels\":[\"{}\",\"{}\"],\
             \"current_time_ms\":{},\"sequence\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            options.service,
            options.zone,
            options.gpus,
            options.kind,
            options.rack,
            self.record.now_ms(),
            self.sequence,
            self.born,
            running.join(","),
            ended.join(",")
        )
    }

    /// Ends the runs that are complete, stopped or out of lease by `now`.
    fn advance(&mut self, now: Instant) {
        for name in self.running.keys().cloned().collect::<Vec<_>>() {
            let task = &self.running[&name];
            let mut ends = vec![(task.start + task.work, "done")];
            if let Some(stop_at) = task.stop_at {
                ends = vec![(stop_at, "stopped")];
            }
            if let Some(lease) = self.lease {
                ends.push((lease, "lapsed"));
            }
            let (at, how) = ends
                .into_iter()
                .min_by_key(|(at, _)| *at)
                .expect("not empty");
            if at <= now {
                self.end(&name, at, how);
            }
        }
    }

    fn end(&mut self, name: &str, at: Instant, how: &'static str) {
        let Some(task) = self.running.remove(name) else {
            return;
        };
        self.record
            .run_ended(name, task.run, &self.options.id, at, how);
        self.close(name, task.run);
        self.end_number += 1;
        self.ended
            .push((self.end_number, name.to_owned(), task.run, how));
    }

    fn close(&mut self, name: &str, run: u64) {
        let highest = self.closed.entry(name.to_owned()).or_default();
        *highest = run.max(*highest);
    }

    fn obey(&mut self, orders: &Json, sent: Instant) {
        let fence = orders.get("fencing_token").number().unwrap_or(0);
        let Some(hold) = orders.get("hold_ms").number() else {
            return;
        };
        if fence < self.fence {
            return;
        }
        self.fence = fence;
        let lease = sent + Duration::from_millis(hold);
        self.lease = Some(self.lease.map_or(lease, |held| held.max(lease)));
        let acked = orders.get("acked_seq").number().unwrap_or(0);
        self.ended.retain(|(number, ..)| *number > acked);
        let now = Instant::now();
        for row in orders.get("stop").items() {
            if let (Some(name), Some(run)) = (row.at(0).text(), row.at(1).number()) {
                self.stop(name, run, now);
            }
        }
        for row in orders.get("start").items() {
            if let (Some(name), Some(run)) = (row.at(0).text(), row.at(1).number()) {
                self.start(name, run, now);
            }
        }
    }

    fn stop(&mut self, name: &str, run: u64, now: Instant) {
        self.close(name, run);
        let stop = self.options.stop;
        if let Some(task) = self.running.get_mut(name)
            && task.run <= run
            && task.stop_at.is_none()
        {
            task.stop_at = Some(now + stop);
            self.record.stop_begun(name, run, &self.options.id, now);
        }
    }

    fn start(&mut self, name: &str, run: u64, now: Instant) {
        if self.running.get(name).is_some_and(|task| task.run >= run) {
            return;
        }
        let is_closed = self.closed.get(name).is_some_and(|closed| run <= *closed);
        let in_use = self.running.len() as u64;
        if is_closed || in_use > 0 {
            // Each task of these cases needs the whole worker.
            let text = format!(
                "worker {}: start of run {run} of {name} refused",
                self.options.id
            );
            self.record.note_at(now, text);
            self.end_number += 1;
            self.ended
                .push((self.end_number, name.to_owned(), run, "refused"));
            self.close(name, run);
            return;
        }
        let mut known = self.options.work.iter();
        let work = known.find(|(prefix, _)| name.starts_with(prefix.as_str()));
        let work = work.map_or(Duration::from_secs(1), |(_, work)| *work);
        self.record.run_started(name, run, &self.options.id, now);
        self.running.insert(
            name.to_owned(),
            Task {
                run,
                start: now,
                work,
                stop_at: None,
            },
        );
    }
}
