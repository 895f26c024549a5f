//! Orders to workers, from the scheduler through leader and entry: jobs run, and an entry without a
//! grant relays no orders.

#[path = "support/control_net.rs"]
mod control_net;
#[path = "support/notes.rs"]
mod notes;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use assert_matches::assert_matches;
use control_net::{FakeReplica, Network, SharedLog};
use marjoramknot::control::{
    Client, Command, CommandBody, ControlError, JobFilter, RESULTS_MAX_BYTES,
};
use marjoramknot::entry::exchange::Exchange;
use marjoramknot::fleet::{
    AnnouncementResponse, DesiredState, EndpointAnnouncement, TaskReport, TaskState, Usage,
    WorkerCapacity, WorkerOrders, WorkerPoll,
};
use marjoramknot::release_note::{Adjacency, NoteAnswer};
use marjoramknot::scheduler::{
    JobKey, JobOutcome, JobSpec, JobTransition, NotRunReason, SubmitAnswer,
};
use marjoramknot::units::{
    Accelerators, Cores, Incarnation, MemoryMb, Millis, OrdersVersion, Sequence, Slots, Term,
    WallMs,
};
use notes::{INITIAL_NOTE, note, zone_note};
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant, sleep, timeout};

/// A worker that carries out its orders and polls the entries in rotation.
struct Worker {
    poll: WorkerPoll,
    /// The number of polls before a running task succeeds.
    run_polls: u64,
    /// The result of its tasks.
    result: String,
    /// The job and attempt of each task that ran.
    ran: Vec<String>,
}

impl Worker {
    fn new(name: &str, zone: &str, accelerators: u32) -> Self {
        let capacity = WorkerCapacity {
            accelerators: Accelerators(accelerators),
            cores: Cores(32),
            memory_mb: MemoryMb(65_536),
        };
        let poll = WorkerPoll {
            worker: name.parse().expect("an id"),
            zone: zone.parse().expect("an id"),
            rack: "r1".parse().expect("an id"),
            incarnation: Incarnation(1),
            sequence: Sequence(0),
            capacity,
            usage: Usage::default(),
            tasks: Vec::new(),
            orders_version: OrdersVersion::ZERO,
            term: Term::ZERO,
        };
        Self {
            poll,
            run_polls: 3,
            result: "done".to_owned(),
            ran: Vec::new(),
        }
    }

    fn next_poll(&mut self) -> WorkerPoll {
        self.poll.sequence = self.poll.sequence.next();
        self.poll.clone()
    }

    fn apply_orders(&mut self, orders: &WorkerOrders) {
        if orders.term < self.poll.term {
            return;
        }
        self.poll.term = orders.term;
        self.poll.orders_version = orders.version;
        let mut tasks = Vec::new();
        for order in &orders.tasks {
            let task = order.task.clone();
            let known = self.poll.tasks.iter().find(|known| known.task == task);
            let state = match (order.desired_state, known.map(|known| &known.state)) {
                (DesiredState::Stop, _) => continue,
                (_, Some(ended @ TaskState::Succeeded { .. })) => ended.clone(),
                (DesiredState::Run, Some(TaskState::Running)) if self.run_polls == 0 => {
                    TaskState::Succeeded {
                        result: self.result.as_str().into(),
                    }
                }
                (DesiredState::Run, _) => {
                    self.run_polls = self.run_polls.saturating_sub(1);
                    self.ran.push(format!("{} {}", task.job, task.attempt));
                    TaskState::Running
                }
                _ => TaskState::Prepared,
            };
            tasks.push(TaskReport { task, state });
        }
        self.poll.tasks = tasks;
    }

    /// Polls until the returned task is aborted.
    fn run(mut self, entries: Vec<Arc<Exchange>>) -> JoinHandle<()> {
        tokio::spawn(async move {
            let mut turn = 0;
            loop {
                turn += 1;
                let poll = self.next_poll();
                match entries[turn % entries.len()].poll_worker(poll).await {
                    Ok(orders) => self.apply_orders(&orders),
                    Err(_) => sleep(Duration::from_millis(100)).await,
                }
            }
        })
    }
}

fn job(id: &str) -> JobSpec {
    JobSpec {
        key: JobKey {
            team: "ponds".parse().expect("an id"),
            id: id.parse().expect("an id"),
        },
        class: "rescore".parse().expect("an id"),
        tasks: 2,
        accelerators: Accelerators(4),
        cores: Cores(1),
        memory_mb: MemoryMb(1_024),
        adjacency: Adjacency::Rack,
        idempotent: true,
        made_ms: None,
        urgent: false,
        declared_run_ms: Millis(1_000),
        deadline_ms: None,
        payload: "work".into(),
    }
}

struct Cluster {
    log: SharedLog,
    leader: Arc<FakeReplica>,
    client: Client,
}

impl Cluster {
    async fn start() -> Self {
        let log = SharedLog::default();
        let leader = Arc::new(FakeReplica::start(&log).await);
        leader.become_leader(&log, 1);
        let client = Network::new(&[Arc::clone(&leader)]).client();
        let answer = client.apply_note(note(INITIAL_NOTE)).await;
        assert_matches!(answer, Ok(NoteAnswer::Accepted { .. }));
        Self {
            log,
            leader,
            client,
        }
    }

    fn network(&self) -> Network {
        Network::new(&[Arc::clone(&self.leader)])
    }

    async fn entry(&self, network: &Network, id: &str) -> Arc<Exchange> {
        let entry = Arc::new(network.entry(id, 1));
        while !entry.may_start() {
            sleep(Duration::from_millis(10)).await;
        }
        entry
    }
}

#[tokio::test(start_paused = true)]
async fn job_succeeds() {
    let cluster = Cluster::start().await;
    let network = cluster.network();
    let entries = vec![
        cluster.entry(&network, "e1").await,
        cluster.entry(&network, "e2").await,
    ];
    let workers: Vec<_> = ["w1", "w2"]
        .map(|name| Worker::new(name, "senec", 8).run(entries.clone()))
        .into();
    let spec = job("a");
    assert_eq!(
        cluster.client.submit_job(spec.clone()).await,
        Ok(SubmitAnswer::Accepted)
    );
    assert_eq!(
        cluster.client.submit_job(spec.clone()).await,
        Ok(SubmitAnswer::Accepted),
        "a resubmission gets the same answer"
    );
    let view = cluster.client.job(spec.key.clone(), Millis(60_000)).await;
    let view = view.expect("the leader answers").expect("the job is known");
    assert_matches!(view.outcome, Some(JobOutcome::Succeeded { results }) if results.len() == 2);
    assert_eq!(view.attempt.get(), 1);
    let listed = cluster
        .client
        .jobs(JobFilter {
            limit: 10,
            ..JobFilter::default()
        })
        .await;
    assert_eq!(listed.expect("the leader answers").len(), 1);
    for worker in workers {
        worker.abort();
    }
}

/// A job with results that are too large to store ends as failed, so that truncated results never
/// look complete.
#[tokio::test(start_paused = true)]
async fn long_results() {
    let cluster = Cluster::start().await;
    let entry = cluster.entry(&cluster.network(), "e1").await;
    let workers = ["w1", "w2", "w3"].map(|name| {
        let mut worker = Worker::new(name, "senec", 8);
        worker.result = "y".repeat(RESULTS_MAX_BYTES / 20);
        worker.run(vec![Arc::clone(&entry)])
    });
    let mut spec = job("a");
    (spec.tasks, spec.accelerators) = (24, Accelerators(1));
    let answer = cluster.client.submit_job(spec.clone()).await;
    assert_eq!(answer, Ok(SubmitAnswer::Accepted));
    let view = cluster.client.job(spec.key, Millis(60_000)).await;
    let view = view.expect("the leader answers").expect("the job is known");
    let Some(JobOutcome::Failed { cause }) = view.outcome else {
        panic!("the job must end as failed");
    };
    assert!(cause.contains("their results are"), "{cause}");
    for worker in workers {
        worker.abort();
    }
}

/// A job ends by a command that the scheduler did not request. The leader must notice that the
/// scheduler's view differs from the replicated state, rebuild it and schedule other jobs.
#[tokio::test(start_paused = true)]
async fn diverged_scheduler_is_rebuilt() {
    let cluster = Cluster::start().await;
    let entry = cluster.entry(&cluster.network(), "e1").await;
    for id in ["a", "b"] {
        let answer = cluster.client.submit_job(job(id)).await;
        assert_eq!(answer, Ok(SubmitAnswer::Accepted));
    }
    let ended = JobTransition::Ended {
        job: job("a").key,
        outcome: JobOutcome::NotRun {
            reason: NotRunReason::Cancelled,
        },
    };
    let command = Command {
        wall_ms: WallMs(1),
        body: CommandBody::Job(Box::new(ended)),
    };
    cluster.leader.commit(&cluster.log, &command);
    let running = Worker::new("w1", "senec", 8).run(vec![entry]);
    let view = cluster.client.job(job("b").key, Millis(60_000)).await;
    let view = view.expect("the leader answers").expect("the job is known");
    assert_matches!(view.outcome, Some(JobOutcome::Succeeded { .. }));
    let view = cluster.client.job(job("a").key, Millis::ZERO).await;
    let view = view.expect("the leader answers").expect("the job is known");
    assert_matches!(view.outcome, Some(JobOutcome::NotRun { .. }));
    running.abort();
}

#[tokio::test(start_paused = true)]
async fn cancelled_jobs() {
    let cluster = Cluster::start().await;
    let keys: Vec<JobKey> = ["a", "b", "c"].map(|id| job(id).key).into();
    for id in ["a", "b", "c"] {
        let answer = cluster.client.submit_job(job(id)).await;
        assert_eq!(answer, Ok(SubmitAnswer::Accepted));
    }
    let views = cluster.client.cancel_jobs(keys.clone()).await;
    assert_eq!(views.expect("the leader answers").len(), 3);
    for key in keys {
        let view = cluster.client.job(key, Millis(20_000)).await;
        let view = view.expect("the leader answers").expect("the job is known");
        assert_matches!(view.outcome, Some(JobOutcome::NotRun { .. }));
    }
}

/// An entry that gets the leader's answers to reports but no grants must not relay orders.
#[tokio::test(start_paused = true)]
async fn no_order_without_grant() {
    let cluster = Cluster::start().await;
    let network = cluster.network();
    let entry = cluster.entry(&network, "e1").await;
    let mut worker = Worker::new("w1", "senec", 8);
    let orders = entry.poll_worker(worker.next_poll()).await;
    worker.apply_orders(&orders.expect("the first orders"));
    network
        .link_faults(cluster.leader.address)
        .drop_exchange_answers
        .store(true, Ordering::SeqCst);
    while entry.may_start() {
        sleep(Duration::from_millis(10)).await;
    }
    for _poll in 0..5 {
        // With orders version zero, the leader answers at once rather than when the hold ends.
        worker.poll.orders_version = OrdersVersion::ZERO;
        let answer = entry.poll_worker(worker.next_poll()).await;
        assert_eq!(answer, Err(ControlError::Unreachable));
    }
    network
        .link_faults(cluster.leader.address)
        .drop_exchange_answers
        .store(false, Ordering::SeqCst);
    sleep(Duration::from_secs(2)).await;
    assert_matches!(entry.poll_worker(worker.next_poll()).await, Ok(_));
}

#[tokio::test(start_paused = true)]
async fn released_polls() {
    let cluster = Cluster::start().await;
    let network = cluster.network();
    let (first, second) = (
        cluster.entry(&network, "e1").await,
        cluster.entry(&network, "e2").await,
    );
    let mut workers = [Worker::new("w1", "senec", 8), Worker::new("w2", "senec", 8)];
    // Both workers poll through the first entry until their orders are up to date.
    for _round in 0..3 {
        for worker in &mut workers {
            let orders = first.poll_worker(worker.next_poll()).await;
            worker.apply_orders(&orders.expect("orders under a grant"));
        }
    }
    // Their connections break while the polls are held, and they poll again through the second
    // entry.
    for worker in &mut workers {
        let held = first.poll_worker(worker.next_poll());
        let broken = timeout(Duration::from_millis(300), held).await;
        assert_matches!(broken, Err(_));
    }
    let held = workers.map(|mut worker| {
        let second = Arc::clone(&second);
        tokio::spawn(async move {
            let mut prepared = 0;
            for _poll in 0..2 {
                if let Ok(orders) = second.poll_worker(worker.next_poll()).await {
                    let wanted = orders.tasks.iter();
                    prepared += wanted
                        .filter(|order| order.desired_state == DesiredState::Prepare)
                        .count();
                    worker.apply_orders(&orders);
                }
            }
            (prepared, Instant::now())
        })
    });
    sleep(Duration::from_millis(200)).await;
    let start = Instant::now();
    let answer = cluster.client.submit_job(job("a")).await;
    assert_eq!(answer, Ok(SubmitAnswer::Accepted));
    let mut prepared = 0;
    for task in held {
        let (tasks, when) = task.await.expect("the worker ends");
        prepared += tasks;
        let took = when.duration_since(start);
        assert!(tasks == 0 || took < Duration::from_secs(1), "{took:?}");
    }
    assert_eq!(
        prepared, 2,
        "the orders must be sent through the entry that holds the polls"
    );
}

#[tokio::test(start_paused = true)]
async fn replaced_poll() {
    let cluster = Cluster::start().await;
    let entry = cluster.entry(&cluster.network(), "e1").await;
    let mut worker = Worker::new("w1", "senec", 8);
    let orders = entry.poll_worker(worker.next_poll()).await;
    worker.apply_orders(&orders.expect("the first orders"));
    let older = worker.next_poll();
    let held = {
        let entry = Arc::clone(&entry);
        tokio::spawn(async move { entry.poll_worker(older).await })
    };
    sleep(Duration::from_millis(100)).await;
    let newer = entry.poll_worker(worker.next_poll()).await;
    assert_matches!(newer, Ok(orders) if orders.sequence == Sequence(3));
    assert_matches!(held.await, Ok(Err(ControlError::Refused { .. })));
}

#[tokio::test(start_paused = true)]
async fn leaving_entry() {
    let cluster = Cluster::start().await;
    let entry = cluster.entry(&cluster.network(), "e1").await;
    let mut worker = Worker::new("w1", "senec", 8);
    let orders = entry.poll_worker(worker.next_poll()).await;
    worker.apply_orders(&orders.expect("the first orders"));
    let poll = worker.next_poll();
    let held = {
        let entry = Arc::clone(&entry);
        tokio::spawn(async move { entry.poll_worker(poll).await })
    };
    sleep(Duration::from_millis(100)).await;
    entry.leave().await;
    assert_matches!(held.await, Ok(Err(ControlError::Refused { .. })));
    let refused = entry.poll_worker(worker.next_poll()).await;
    assert_matches!(refused, Err(ControlError::Refused { .. }));
}

/// Taking a zone out stops the tasks that run there within 45 s.
#[tokio::test(start_paused = true)]
async fn zone_out_stops() {
    let cluster = Cluster::start().await;
    let entry = cluster.entry(&cluster.network(), "e1").await;
    let mut worker = Worker::new("n1", "nitra", 4);
    worker.run_polls = 10_000;
    let mut spec = job("a");
    spec.tasks = 1;
    spec.adjacency = Adjacency::Zone;
    cluster
        .client
        .submit_job(spec)
        .await
        .expect("the leader answers");
    while worker.ran.is_empty() {
        if let Ok(orders) = entry.poll_worker(worker.next_poll()).await {
            worker.apply_orders(&orders);
        }
    }
    let out = cluster.client.apply_note(zone_note(2, "out")).await;
    assert_matches!(out, Ok(NoteAnswer::Accepted { .. }));
    let start = Instant::now();
    let mut runs = true;
    while runs {
        assert!(start.elapsed() < Duration::from_secs(45));
        if let Ok(orders) = entry.poll_worker(worker.next_poll()).await {
            runs = orders
                .tasks
                .iter()
                .any(|order| order.desired_state == DesiredState::Run);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn announced_endpoint() {
    let cluster = Cluster::start().await;
    let entry = cluster.entry(&cluster.network(), "e1").await;
    let mut announcement = EndpointAnnouncement {
        endpoint: "booking-1".parse().expect("an id"),
        service: "booking".parse().expect("an id"),
        zone: "senec".parse().expect("an id"),
        address: "127.0.0.1:9".parse().expect("an address"),
        incarnation: Incarnation(1),
        sequence: Sequence(1),
        slots: Slots(8),
        connections: Slots(64),
        slots_used: Slots::ZERO,
        connections_used: Slots::ZERO,
        leaving: false,
    };
    let mut slots = 0;
    for _second in 0..20 {
        let answer = entry.announce(announcement.clone()).await;
        assert_matches!(answer, Ok(AnnouncementResponse::Accepted { .. }));
        announcement.sequence = announcement.sequence.next();
        sleep(Duration::from_secs(1)).await;
        slots = entry
            .state()
            .borrow()
            .shares
            .iter()
            .map(|share| share.slots.get())
            .sum();
        if slots > 0 {
            break;
        }
    }
    assert!(slots > 0 && slots <= 8, "{slots}");
    announcement.endpoint = "swap-1".parse().expect("an id");
    let refused = entry.announce(announcement).await;
    assert_matches!(refused, Ok(AnnouncementResponse::Refused { .. }));
}
