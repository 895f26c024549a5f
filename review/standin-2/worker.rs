//! A runner as the platform's pages describe it: it reports, holds its runs under a lease that it
//! measures on its own clock, and does what the answers say.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Client, Request};
use crate::json::Json;
use crate::record::Record;
use crate::system::{HEARTBEAT_MS, HOLD_MAX_MS};

/// A larger answer does not acknowledge a heartbeat.
const ANSWER_MAX_BYTES: usize = 4 * 1_024 * 1_024;
const ANSWER_VALID: Duration = Duration::from_secs(1);
const STOP: Duration = Duration::from_millis(300);
const AFTER_END: Duration = Duration::from_millis(50);
/// How long a member of a gang waits for the others, `gang_timeout_ms`.
const GANG_WAIT: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(10);

/// What a worker is and has.
#[derive(Clone, Debug)]
pub struct Description {
    pub id: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub gpu: u64,
    pub slots: u64,
    /// The nodes that it knows, the first one first.
    pub control: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Running {
    run: u64,
    began: Instant,
    work: Duration,
    cpu: u64,
    gpu: u64,
    /// How it ends after its work.
    how: &'static str,
    /// The number of members of its gang; 0 for a single task.
    members: usize,
    /// Since when all members of its gang are there.
    works_since: Option<Instant>,
    stop_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    sequence: u64,
    token: u64,
    lease: Option<Instant>,
    running: BTreeMap<String, Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    closed: HashMap<String, u64>,
    next_beat: Option<Instant>,
    draining_until: Option<Instant>,
    target: Option<SocketAddr>,
    at: usize,
}

/// One life of a worker.
#[derive(Debug)]
pub struct Worker {
    pub about: Description,
    born: u64,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
    cut_off: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    record: Record,
}

#[derive(Clone)]
struct Life {
    about: Description,
    born: u64,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
    cut_off: Arc<AtomicBool>,
    record: Record,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Worker {
    pub fn start(about: Description, record: &Record) -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let born = u64::try_from(since.as_millis()).unwrap_or(0);
        let life = Life {
            about: about.clone(),
            born,
            state: Arc::new(Mutex::new(State {
                next_beat: Some(Instant::now()),
                ..State::default()
            })),
            over: Arc::new(AtomicBool::new(false)),
            cut_off: Arc::new(AtomicBool::new(false)),
            record: record.clone(),
        };
        record.note(&format!("{} begins a life, born {born}", about.id));
        let (ticker, beater) = (life.clone(), life.clone());
        let threads = vec![
            thread::spawn(move || ticker.tick_until_over()),
            thread::spawn(move || beater.beat_until_over()),
        ];
        Self {
            about,
            born,
            state: life.state,
            over: life.over,
            cut_off: life.cut_off,
            threads,
            record: record.clone(),
        }
    }

    /// Begins to drain; reports say so from now on.
    pub fn drain(&self, remaining: Duration) {
        self.record
            .note(&format!("{} reports that it drains", self.about.id));
        let mut state = lock(&self.state);
        state.draining_until = Some(Instant::now() + remaining);
        state.next_beat = Some(Instant::now());
    }

    /// Cuts the worker off from all machines of the system, or ends that. What it sends meanwhile is
    /// not delivered, and it hears nothing.
    pub fn set_cut_off(&self, cut_off: bool) {
        self.cut_off.store(cut_off, Ordering::SeqCst);
    }

    /// Sends its deregistration to these nodes in turn until one acknowledges it, then exits.
    pub fn leave(mut self, nodes: &[SocketAddr]) {
        let path = format!("/api/instances/{}", self.about.id);
        let mut pause = Duration::from_millis(50);
        for node in nodes {
            let request = Request {
                method: "DELETE",
                path: &path,
                headers: &[],
                body: "",
            };
            let answer = Client::new(*node).send(&request, Duration::from_secs(1));
            match &answer {
                Ok((status, _)) => self.record.note(&format!(
                    "{}: DELETE {path} at {node}: {status}",
                    self.about.id
                )),
                Err(cause) => self.record.note(&format!(
                    "{}: DELETE {path} at {node}: {cause}",
                    self.about.id
                )),
            }
            if matches!(answer, Ok((200..=299, _))) {
                break;
            }
            thread::sleep(pause);
            pause *= 2;
        }
        self.exit("exits");
    }

    /// Ends this life at once. Everything that runs on it ends.
    pub fn exit(&mut self, how: &str) {
        self.over.store(true, Ordering::SeqCst);
        let mut state = lock(&self.state);
        let running = std::mem::take(&mut state.running);
        for (task, seen) in running {
            self.record
                .ended(&task, seen.run, &self.about.id, "gone with its worker");
        }
        drop(state);
        self.record
            .note(&format!("{} {how} (born {})", self.about.id, self.born));
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
    }
}

impl Life {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    fn tick_until_over(&self) {
        while !self.is_over() {
            self.tick();
            thread::sleep(TICK);
        }
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        if self.is_over() {
            return;
        }
        let has_lapsed = state.lease.is_some_and(|lease| now >= lease);
        let mut ends: Vec<(String, &'static str)> = Vec::new();
        for (task, running) in &mut state.running {
            let gang_end = if running.members > 0 {
                self.record.gang_end(task, running.run)
            } else {
                running.works_since = Some(running.began);
                None
            };
            if running.works_since.is_none()
                && self.record.member_present(task, running.run) >= running.members
            {
                running.works_since = Some(now);
            }
            let is_over = running
                .works_since
                .is_some_and(|since| now >= since + running.work);
            let is_alone = running.works_since.is_none() && now >= running.began + GANG_WAIT;
            if has_lapsed {
                ends.push((task.clone(), "lapsed"));
            } else if let Some(how) = gang_end {
                ends.push((task.clone(), if how == "done" { "done" } else { "broken" }));
            } else if running.stop_at.is_some_and(|at| now >= at) {
                ends.push((task.clone(), "stopped"));
            } else if is_over {
                ends.push((task.clone(), running.how));
            } else if is_alone {
                ends.push((task.clone(), "alone"));
            }
        }
        for (task, how) in ends {
            self.end(&mut state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(running) = state.running.remove(task) else {
            return;
        };
        if running.members > 0 {
            self.record.member_ended(task, running.run, how);
        }
        state.last_end += 1;
        let number = state.last_end;
        state
            .ended
            .push((number, task.to_owned(), running.run, how));
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(running.run);
        let soon = Instant::now() + AFTER_END;
        state.next_beat = Some(state.next_beat.map_or(soon, |next| next.min(soon)));
        self.record.ended(task, running.run, &self.about.id, how);
    }

    fn beat_until_over(&self) {
        let mut client: Option<Client> = None;
        while !self.is_over() {
            let due = lock(&self.state).next_beat;
            if due.is_none_or(|due| Instant::now() < due) {
                thread::sleep(TICK);
                continue;
            }
            self.beat(&mut client);
        }
    }

    fn beat(&self, client: &mut Option<Client>) {
        let (address, body) = {
            let mut state = lock(&self.state);
            state.sequence += 1;
            state.next_beat = None;
            let known = &self.about.control;
            let address = state.target.unwrap_or(known[state.at % known.len()]);
            (address, self.report(&state).to_string())
        };
        if client
            .as_ref()
            .is_none_or(|client| client.address != address)
        {
            *client = Some(Client::new(address));
        }
        let path = format!("/api/instances/{}", self.about.id);
        let request = Request {
            method: "PUT",
            path: &path,
            headers: &[],
            body: &body,
        };
        let sent = Instant::now();
        if self.cut_off.load(Ordering::SeqCst) {
            thread::sleep(ANSWER_VALID);
            let mut state = lock(&self.state);
            self.call_next(&mut state, client);
            return;
        }
        let answer = client
            .as_mut()
            .map(|client| client.send(&request, ANSWER_VALID));
        if self.is_over() {
            return;
        }
        let mut state = lock(&self.state);
        match answer {
            Some(Ok((200..=299, text))) if text.len() > ANSWER_MAX_BYTES => {
                self.record.note(&format!(
                    "{} gets an answer of {} bytes, more than {ANSWER_MAX_BYTES}, and calls the next node",
                    self.about.id,
                    text.len()
                ));
                self.call_next(&mut state, client);
            }
            Some(Ok((200..=299, text))) if sent.elapsed() <= ANSWER_VALID => {
                let orders = Json::parse(&text).unwrap_or(Json::Null);
                self.obey(&mut state, &orders, sent);
            }
            _ => self.call_next(&mut state, client),
        }
    }

    fn call_next(&self, state: &mut State, client: &mut Option<Client>) {
        state.target = None;
        state.at += 1;
        *client = None;
        state.next_beat = Some(Instant::now() + Duration::from_millis(100));
    }

    fn report(&self, state: &State) -> Json {
        let text = |text: &str| Json::Text(text.to_owned());
        let number = |number: u64| Json::Number(number as f64);
        let running = state
            .running
            .iter()
            .filter(|(_, running)| running.stop_at.is_none());
        let running = running.map(|(task, running)| {
            let share = running
                .works_since
                .map_or(0.0, |since| since.elapsed().as_secs_f64())
                / running.work.as_secs_f64().max(0.001);
            let percent = (share * 100.0).min(99.0) as u64;
            Json::Array(vec![
                text(task),
                number(running.run),
                text(""),
                number(percent),
                number(0),
            ])
        });
        let ended = state.ended.iter().take(500).map(|(n, task, run, how)| {
            Json::Array(vec![
                number(*n),
                text(task),
                number(*run),
                text(how),
                text(""),
            ])
        });
        let capacity = Json::Object(vec![
            ("cpu".to_owned(), number(self.about.cpu)),
            ("mem_mb".to_owned(), number(65_536)),
            ("gpu".to_owned(), number(self.about.gpu)),
        ]);
        let phase = if state.draining_until.is_some() {
            "draining"
        } else {
            "ready"
        };
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(0);
        let mut fields = vec![
            ("service".to_owned(), text("huvo11a")),
            ("address".to_owned(), text("127.0.0.9:8080")),
            ("zone".to_owned(), text(&self.about.zone)),
            ("version".to_owned(), text("v1")),
            ("batch_slots".to_owned(), number(self.about.slots)),
            ("phase".to_owned(), text(phase)),
            ("cold_remaining_ms".to_owned(), number(0)),
            ("free_capacity".to_owned(), capacity),
            (
                "labels".to_owned(),
                Json::Array(vec![text("a"), text(&self.about.rack)]),
            ),
            ("current_time_ms".to_owned(), number(now_ms)),
            ("sequence".to_owned(), number(state.sequence)),
            ("born".to_owned(), number(self.born)),
            ("running".to_owned(), Json::Array(running.collect())),
            ("ended".to_owned(), Json::Array(ended.collect())),
        ];
        if let Some(until) = state.draining_until {
            let left = until.saturating_duration_since(Instant::now());
            let left_ms = u64::try_from(left.as_millis()).unwrap_or(0);
            fields.push(("remaining_ms".to_owned(), number(left_ms)));
        }
        Json::Object(fields)
    }

    fn obey(&self, state: &mut State, orders: &Json, sent: Instant) {
        let after = orders.get("retry_after_ms").and_then(Json::number);
        let pause = Duration::from_millis(after.unwrap_or(HEARTBEAT_MS));
        let next = Instant::now() + pause;
        let waiting = state.next_beat.unwrap_or(next);
        state.next_beat = Some(next.min(waiting));
        if let Some(address) = orders.get("heartbeat_url").and_then(Json::text) {
            state.target = address.parse().ok();
        }
        let token = orders
            .get("fencing_token")
            .and_then(Json::number)
            .unwrap_or(0);
        if token < state.token {
            self.record
                .note(&format!("{} refuses the token {token}", self.about.id));
            return;
        }
        state.token = token;
        let has_lapsed = state.lease.is_some_and(|lease| Instant::now() >= lease);
        if let Some(acknowledged) = orders.get("acked_seq").and_then(Json::number) {
            for (number, task, run, how) in &state.ended {
                if *number <= acknowledged && *how == "failed" && !has_lapsed {
                    self.record.failure_acknowledged(task, *run);
                }
            }
            state.ended.retain(|(number, ..)| *number > acknowledged);
        }
        for order in orders.get("stop").map(Json::items).unwrap_or_default() {
            self.stop(state, order);
        }
        let Some(hold_ms) = orders.get("hold_ms").and_then(Json::number) else {
            return;
        };
        let lease = sent + Duration::from_millis(hold_ms.min(HOLD_MAX_MS));
        state.lease = Some(state.lease.map_or(lease, |held| held.max(lease)));
        for order in orders.get("start").map(Json::items).unwrap_or_default() {
            self.start_run(state, order);
        }
    }

    fn stop(&self, state: &mut State, order: &Json) {
        let row = order.items();
        let (Some(task), Some(run)) = (
            row.first().and_then(Json::text),
            row.get(1).and_then(Json::number),
        ) else {
            return;
        };
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
        if let Some(running) = state
            .running
            .get_mut(task)
            .filter(|running| running.run == run)
        {
            running.stop_at.get_or_insert(Instant::now() + STOP);
            self.record.note(&format!(
                "{} is told to stop {task} run {run}",
                self.about.id
            ));
        }
    }

    fn start_run(&self, state: &mut State, order: &Json) {
        let row = order.items();
        let (Some(task), Some(run)) = (
            row.first().and_then(Json::text),
            row.get(1).and_then(Json::number),
        ) else {
            return;
        };
        let spec = row.get(2).and_then(Json::text).unwrap_or_default();
        let amount = |name: &str| {
            let part = spec.split(' ').find_map(|part| part.strip_prefix(name));
            part.and_then(|value| value.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let is_known = state.running.contains_key(task)
            || state.closed.get(task).is_some_and(|closed| run <= *closed);
        if is_known {
            return;
        }
        let (cpu, gpu) = (amount("cpu="), amount("gpu="));
        let used_cpu: u64 = state.running.values().map(|running| running.cpu).sum();
        let used_gpu: u64 = state.running.values().map(|running| running.gpu).sum();
        if used_cpu + cpu > self.about.cpu || used_gpu + gpu > self.about.gpu {
            state.last_end += 1;
            let number = state.last_end;
            state.ended.push((number, task.to_owned(), run, "refused"));
            self.record.note(&format!(
                "{} refuses {task} run {run}: no room",
                self.about.id
            ));
            return;
        }
        let has_word = |word: &str| spec.split(' ').any(|part| part == word);
        let (work_ms, how) = if run == 1 && has_word("fails_first") {
            (amount("fails_ms="), "failed")
        } else if has_word("first_fails") && task.ends_with(".0") {
            (amount("fails_ms="), "failed")
        } else if has_word("fails") {
            (amount("work_ms="), "failed")
        } else {
            (amount("work_ms="), "done")
        };
        let running = Running {
            run,
            began: Instant::now(),
            work: Duration::from_millis(work_ms.max(50)),
            cpu,
            gpu,
            how,
            members: usize::try_from(amount("members=")).unwrap_or(0),
            works_since: None,
            stop_at: None,
        };
        state.running.insert(task.to_owned(), running);
        self.record
            .started(task, run, &self.about.id, &self.about.zone);
    }
}
