//! Failures on workers that are cut off, which are heard only when the gang could have been started
//! again.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/planner_session.rs"]
mod planner_session;
#[path = "support/simulated_worker.rs"]
mod simulated_worker;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;
#[path = "support/workload_simulation.rs"]
mod workload_simulation;

use marjoramknot::control::{Command, CommandBody, StateMachine};
use marjoramknot::units::{JobId, LogIndex, Millis, WallMs};
use marjoramknot::workload::{Phase, PlannerOptions, RunEnd, Step, WorkerReport};
use rstest::rstest;

use planner_session::PlannerSession;
use workload_fixtures::{job, step};
use workload_simulation::Simulation;

const LEASE_MS: u64 = 10_000;
const WORKERS: u32 = 6;
/// The attempts that the queues of the declaration grant.
const ATTEMPTS_MAX: u32 = 3;
/// From the last report of a worker until its lease has certainly ended.
const LEASE_END_MS: u64 = LEASE_MS + LEASE_MS * 3 / 100 + 20;

fn options() -> PlannerOptions {
    PlannerOptions::builder()
        .lease_ms(Millis(LEASE_MS))
        .gang_wait_ms(Millis(4_000))
        .stop_ms(Millis(300))
        .build()
}

fn gang() -> Step {
    Step {
        gang: true,
        ..step(2, 8)
    }
}

/// A gang whose latest run was broken while one of its members was cut off.
struct BrokenGang {
    session: PlannerSession,
    /// The worker of the member of which nothing was heard since `heard_ms`.
    silent: u32,
    /// The report by which that worker lists the failure.
    failure: WorkerReport,
    heard_ms: u64,
    now_ms: u64,
}

impl BrokenGang {
    /// Reports of all workers but the silent one, which have room, and a planning pass.
    fn plan(&mut self, now_ms: u64) {
        for worker in (0..WORKERS).filter(|worker| *worker != self.silent) {
            self.session.idle(worker, now_ms);
        }
        self.session.plan(now_ms + 10);
        self.now_ms = now_ms + 10;
    }

    fn is_placed(&self) -> bool {
        (0..WORKERS).any(|worker| !self.session.placed_on(worker).is_empty())
    }

    fn phase(&self) -> Phase {
        let id: JobId = "job1".parse().expect("a valid id");
        let number = self
            .session
            .state
            .job_number(&id)
            .expect("the job is known");
        self.session
            .state
            .job(number)
            .expect("the job is known")
            .phase
    }
}

/// Breaks a gang with a silent member after this number of failed attempts.
fn broken_gang(failed: u32) -> BrokenGang {
    let mut session = PlannerSession::new(options(), job(vec![gang()]));
    let mut now_ms = 0;
    for attempt in 0..=failed {
        // Long enough for a quarantine to end.
        now_ms += 30_000;
        session.all_idle(0..WORKERS, now_ms);
        session.plan(now_ms + 10);
        let members: Vec<u32> = (0..WORKERS)
            .filter(|worker| !session.placed_on(*worker).is_empty())
            .collect();
        assert_eq!(members.len(), 2, "attempt {attempt} was not placed");
        for (worker, percent) in members.iter().zip([1, 1]) {
            session.idle(*worker, now_ms + 20);
            session.running(*worker, now_ms + 200, percent);
            session.running(*worker, now_ms + 400, percent + 1);
        }
        if attempt < failed {
            session.ended(members[0], now_ms + 600, RunEnd::Failed);
            session.ended(members[1], now_ms + 600, RunEnd::Broken);
            continue;
        }
        let silent = members[0];
        let mut failure = session.next_report(silent);
        failure.ended = session.listed_ends(silent, RunEnd::Failed, "");
        session.ended(members[1], now_ms + 600, RunEnd::Broken);
        return BrokenGang {
            session,
            silent,
            failure,
            heard_ms: now_ms + 400,
            now_ms: now_ms + 600,
        };
    }
    unreachable!("the last attempt returns")
}

/// Guards against a start after the last attempt: the failure of the silent member is heard once its
/// worker is back, and counts.
#[rstest]
#[case::same_leader(false)]
#[case::new_leader(true)]
fn last_attempt_waits_for_its_end(#[case] changes_leader: bool) {
    let mut broken = broken_gang(ATTEMPTS_MAX - 1);
    let mut now_ms = broken.now_ms + 2_000;
    broken.plan(now_ms);
    assert!(broken.session.placed_on(broken.silent).is_empty());
    if changes_leader {
        broken.session.change_leader(now_ms + 50);
    }
    for _pass in 0..6 {
        now_ms += 1_000;
        broken.plan(now_ms);
        assert!(!broken.is_placed(), "started again at {now_ms} ms");
    }
    let failure = broken.failure.clone();
    broken.session.exchange(&failure, now_ms + 50);
    assert_eq!(broken.phase(), Phase::Failed);
}

/// The member may run in the next life of its worker, which has taken the start order. That life is
/// first heard by a report that it sent before, and that was held up.
#[test]
fn last_attempt_waits_for_its_end_in_the_next_life() {
    let mut session = PlannerSession::new(options(), job(vec![gang()]));
    let mut now_ms = 0;
    let mut members = Vec::new();
    for attempt in 0..ATTEMPTS_MAX {
        now_ms += 30_000;
        session.all_idle(0..WORKERS, now_ms);
        session.plan(now_ms + 10);
        members = (0..WORKERS)
            .filter(|worker| !session.placed_on(*worker).is_empty())
            .collect();
        assert_eq!(members.len(), 2, "attempt {attempt} was not placed");
        for worker in &members {
            assert_eq!(session.idle(*worker, now_ms + 20).starts.len(), 1);
        }
        session.running(members[1], now_ms + 200, 1);
        session.running(members[1], now_ms + 400, 2);
        if attempt + 1 < ATTEMPTS_MAX {
            session.running(members[0], now_ms + 400, 2);
            session.ended(members[0], now_ms + 600, RunEnd::Failed);
            session.ended(members[1], now_ms + 600, RunEnd::Broken);
        }
    }
    let silent = members[0];
    let ended = session.listed_ends(silent, RunEnd::Failed, "");
    session.ended(members[1], now_ms + 600, RunEnd::Broken);
    let mut broken = BrokenGang {
        failure: session.next_report(silent),
        session,
        silent,
        heard_ms: now_ms + 20,
        now_ms: now_ms + 600,
    };
    broken.plan(now_ms + 2_600);
    assert!(broken.session.placed_on(silent).is_empty());
    broken.plan(now_ms + 2_700);
    assert!(
        !broken.is_placed(),
        "started before the next life was heard"
    );
    let mut first = broken.session.next_report_of_life(silent, 2);
    first.clock_ms = Some(Millis(100));
    broken.session.exchange(&first, now_ms + 2_800);
    for pass in 0..3 {
        broken.plan(now_ms + 2_810 + 100 * pass);
    }
    assert!(
        !broken.is_placed(),
        "started while the next life may list a failure"
    );
    let mut failure = broken.session.next_report_of_life(silent, 2);
    failure.clock_ms = Some(Millis(2_500));
    failure.ended = ended;
    broken.session.exchange(&failure, now_ms + 3_200);
    assert_eq!(broken.phase(), Phase::Failed);
}

/// A gang that has attempts left whatever the silent member did is started again at once.
#[test]
fn earlier_attempt_does_not_wait() {
    let mut broken = broken_gang(ATTEMPTS_MAX - 2);
    broken.plan(broken.now_ms + 2_000);
    broken.plan(broken.now_ms + 100);
    assert!(broken.is_placed());
}

/// Once the lease of the silent worker is over, an end that it lists counts no more.
#[test]
fn wait_ends_with_the_lease() {
    let mut broken = broken_gang(ATTEMPTS_MAX - 1);
    let lease_end_ms = broken.heard_ms + LEASE_END_MS;
    broken.plan(broken.now_ms + 2_000);
    broken.plan(lease_end_ms - 100);
    assert!(!broken.is_placed());
    broken.plan(lease_end_ms + 1);
    broken.plan(lease_end_ms + 200);
    assert!(broken.is_placed());
}

/// A silent member that did not fail costs no attempt: the gang is started as soon as its worker says
/// how it ended, or that it is in another life.
#[rstest]
#[case::broken(Some(RunEnd::Broken))]
#[case::restarted(None)]
fn wait_ends_with_the_report(#[case] end: Option<RunEnd>) {
    let mut broken = broken_gang(ATTEMPTS_MAX - 1);
    let now_ms = broken.now_ms + 2_000;
    broken.plan(now_ms);
    assert!(!broken.is_placed());
    let mut report = broken.failure.clone();
    if let Some(end) = end {
        report.ended[0].end = end;
        broken.session.exchange(&report, now_ms + 50);
    } else {
        broken.session.restarted(broken.silent, now_ms + 50);
        broken.session.plan(now_ms + 60);
    }
    broken.plan(now_ms + 200);
    broken.plan(now_ms + 300);
    assert!(broken.is_placed());
    assert_eq!(broken.phase(), Phase::Running);
}

/// The same with simulated workers, which are cut off now and then while jobs fail. The simulation
/// checks that nothing starts after its last attempt.
#[test]
fn nothing_starts_after_failures_behind_cuts() {
    for seed in 0..40 {
        let mut simulation = Simulation::with_options(8, seed, options());
        simulation.failure_delay_ms = 700;
        simulation.run(300);
        for _round in 0..10 {
            for _job in 0..3 {
                let tasks = u32::try_from(simulation.pick(2)).expect("in range") + 2;
                let spec = Step { tasks, ..gang() };
                let id = simulation.submit("/batch/", "clubs", job(vec![spec]));
                if simulation.pick(2) == 0 {
                    simulation.failing_jobs.insert(id);
                }
            }
            for _cut in 0..2 {
                let delay_ms = 10 * simulation.pick(100) as u64;
                simulation.run(delay_ms);
                let at = simulation.pick(8);
                simulation.workers[at].disconnected = true;
            }
            if simulation.pick(4) == 0 {
                simulation.change_leader();
            }
            let cut_ms = 2_000 + 500 * simulation.pick(6) as u64;
            simulation.run(cut_ms);
            for worker in &mut simulation.workers {
                worker.reconnect();
            }
        }
        simulation.run_until(240_000, "all jobs end", |simulation| {
            simulation.state.open_jobs().next().is_none()
        });
    }
}

/// A data folder of a version that did not record such ends stays readable: its snapshots lack the
/// last field.
#[test]
fn older_snapshot_is_restored() {
    let mut state = StateMachine::default();
    let declaration = workload_fixtures::declaration();
    let declare = marjoramknot::workload::WorkloadCommand::Declare(declaration.into());
    let command = Command {
        wall_ms: WallMs(1),
        body: CommandBody::Workload(vec![declare]),
    };
    state.apply(LogIndex(1), &command);
    let snapshot = state.snapshot();
    let older = &snapshot[..snapshot.len() - 1];
    assert_eq!(StateMachine::restore(older), Some(state.clone()));
    assert_eq!(StateMachine::restore(&snapshot), Some(state));
}
