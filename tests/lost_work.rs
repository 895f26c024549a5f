//! Work that is discarded when runs are stopped: which checkpoint a gang resumes from, and which
//! runs are stopped when.

#[path = "support/planner_fixtures.rs"]
mod planner_fixtures;
#[path = "support/simulated_worker.rs"]
mod simulated_worker;
#[path = "support/workload_fixtures.rs"]
mod workload_fixtures;
#[path = "support/workload_simulation.rs"]
mod workload_simulation;

use std::sync::Arc;

use marjoramknot::units::{JobId, Millis, Sequence, Term, WallMs};
use marjoramknot::workload::{
    Planner, ReportedEnd, ReportedRun, RunEnd, Step, TaskName, Transition, WorkerIncarnation,
    WorkerOrders, WorkerReport, Workload, WorkloadCommand, WorkloadReply,
};
use metrics_exporter_prometheus::PrometheusBuilder;
use rstest::rstest;
use smol_str::SmolStr;

use planner_fixtures::options;
use workload_fixtures::{declaration, job, resources, step};
use workload_simulation::Simulation;

/// When the members on silent workers of a gang that has begun to end count as lost.
const LOST_MS: u64 = 3_000;

/// A leader's state and planner, and the number of reports that it received.
struct Leader {
    state: Workload,
    planner: Planner,
    sequence: u64,
}

impl Leader {
    fn new() -> Self {
        let mut state = Workload::default();
        let declare = WorkloadCommand::Declare(Arc::new(declaration()));
        assert_eq!(state.apply(&declare, WallMs(0)), WorkloadReply::Done);
        Self {
            state,
            planner: Planner::new(options(), Term(3), Millis::ZERO),
            sequence: 0,
        }
    }

    fn submit(&mut self, id: &str, prefix: &str, tasks: Step) {
        let submit = WorkloadCommand::Submit {
            id: job_id(id),
            host: "ponds.example".into(),
            path: format!("{prefix}{id}").into(),
            team: Some("clubs".parse().expect("a valid id")),
            spec: Arc::new(job(vec![tasks])),
        };
        let reply = self.state.apply(&submit, WallMs(1_000_000));
        assert_eq!(reply, WorkloadReply::Done);
    }

    /// Replaces the leader; the replicated state stays.
    fn change_leader(&mut self, now: u64) {
        self.planner = Planner::new(options(), Term(4), Millis(now));
    }

    fn commit(&mut self, transitions: Vec<Transition>) {
        let command = WorkloadCommand::Transitions(transitions);
        self.state.apply(&command, WallMs(1_005_000));
    }

    fn plan(&mut self, now: u64) {
        let wall = WallMs(1_000_000 + now);
        let transitions = self.planner.plan(&self.state, Millis(now), wall);
        self.commit(transitions);
    }

    /// Handles a report without committing its transitions.
    fn hear(&mut self, report: &mut WorkerReport, now: u64) -> Vec<Transition> {
        self.sequence += 1;
        report.sequence = Sequence(self.sequence);
        let reported = self.planner.handle_report(report, &self.state, Millis(now));
        assert!(reported.is_current);
        reported.transitions
    }

    /// Handles a report, commits its transitions and returns the orders.
    fn exchange(&mut self, mut report: WorkerReport, now: u64) -> WorkerOrders {
        let transitions = self.hear(&mut report, now);
        self.commit(transitions);
        let received = Millis(now);
        self.planner
            .orders_for_report(&report, received, Millis::ZERO, &self.state)
    }

    /// The checkpoint from which the gang's next run resumes.
    fn gang_checkpoint(&self) -> SmolStr {
        let key = self.state.task_key(&name("job1", 0));
        let step = key.and_then(|key| self.state.step(key.step));
        step.map(|(_step, tasks)| tasks.gang_checkpoint.clone())
            .expect("the gang is known")
    }

    /// The number of the first of two workers that holds a member of the gang.
    fn holder_of(&self, index: u32) -> u32 {
        let key = self.state.task_key(&name("job1", index));
        let task = key.and_then(|key| self.state.task(key));
        let place = task.and_then(|task| task.placement.as_ref());
        let worker = &place.expect("the member is placed").worker;
        if worker.as_str() == "w1" { 1 } else { 2 }
    }
}

fn job_id(id: &str) -> JobId {
    id.parse().expect("a valid id")
}

fn name(job: &str, index: u32) -> TaskName {
    TaskName {
        job: job_id(job),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn report(worker: u32) -> WorkerReport {
    WorkerReport {
        worker: format!("w{worker}").parse().expect("a valid id"),
        incarnation: WorkerIncarnation(1),
        sequence: Sequence::ZERO,
        service: "ponds".parse().expect("a valid id"),
        zone: "senec".parse().expect("a valid id"),
        rack: Some("r1".into()),
        labels: vec!["a".into(), "r1".into()],
        capacity: resources(8, 8),
        clock_ms: None,
        draining: false,
        remaining_ms: None,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

fn running(job: &str, index: u32, percent: u32, checkpoint: &str) -> ReportedRun {
    ReportedRun {
        task: name(job, index),
        run: 1,
        checkpoint: checkpoint.into(),
        percent,
        reading: None,
    }
}

fn ended(index: u32, run: u32, end: RunEnd, checkpoint: &str) -> ReportedEnd {
    ReportedEnd {
        number: 1,
        task: name("job1", index),
        run,
        end,
        checkpoint: checkpoint.into(),
    }
}

fn gang(tasks: u32, checkpoints: bool) -> Step {
    Step {
        gang: true,
        checkpoints,
        ..step(tasks, 8)
    }
}

/// A gang of two members, each on a worker of its own, both of which have made progress and have a
/// first periodic checkpoint. Returns the workers of the members.
fn running_gang(checkpoints: bool) -> (Leader, [u32; 2]) {
    let mut leader = Leader::new();
    leader.submit("job1", "/batch/", gang(2, checkpoints));
    leader.exchange(report(1), 10);
    leader.exchange(report(2), 10);
    leader.plan(20);
    let holders = [leader.holder_of(0), leader.holder_of(1)];
    for worker in 1..=2 {
        assert_eq!(leader.exchange(report(worker), 30).starts.len(), 1);
    }
    for (now, percent) in [(200, 0), (300, 1)] {
        for (index, worker) in (0..).zip(holders) {
            let mut listed = report(worker);
            listed.running.push(running("job1", index, percent, "old"));
            leader.exchange(listed, now);
        }
    }
    (leader, holders)
}

/// The end of a member, listed by its worker.
fn end_report(worker: u32, end: ReportedEnd) -> WorkerReport {
    let mut listed = report(worker);
    listed.ended.push(end);
    listed
}

/// Guards against a gang that resumes from an older checkpoint: the member that is stopped first
/// saves the newest one, and the others end as broken with their last periodic one, which replaced
/// it whenever it was reported later.
#[rstest]
#[case::stopped_first([(0, RunEnd::Stopped, "new"), (1, RunEnd::Broken, "old")])]
#[case::stopped_last([(1, RunEnd::Broken, "old"), (0, RunEnd::Stopped, "new")])]
#[case::without_periodic([(0, RunEnd::Stopped, "new"), (1, RunEnd::Broken, "")])]
#[case::nothing_saved_at_the_stop([(0, RunEnd::Stopped, ""), (1, RunEnd::Broken, "old")])]
fn gang_resumes_from_the_newest_checkpoint(#[case] ends: [(u32, RunEnd, &str); 2]) {
    let (mut leader, holders) = running_gang(true);
    let expected = if ends.iter().any(|(.., saved)| *saved == "new") {
        "new"
    } else {
        "old"
    };
    for (now, (index, end, saved)) in (500..).step_by(100).zip(ends) {
        let end = ended(index, 1, end, saved);
        leader.exchange(end_report(holders[index as usize], end), now);
        leader.plan(now + 10);
    }
    assert_eq!(leader.gang_checkpoint(), expected);
}

/// The number of runs that these transitions end.
fn ends(transitions: &[Transition]) -> usize {
    let is_end = |transition: &&Transition| matches!(transition, Transition::Ended { .. });
    transitions.iter().filter(is_end).count()
}

/// The worker of the other member is lost; the checkpoint that it reported last is older.
#[test]
fn lost_member_does_not_replace_the_newest_checkpoint() {
    let (mut leader, holders) = running_gang(true);
    let end = ended(0, 1, RunEnd::Stopped, "new");
    leader.exchange(end_report(holders[0], end), 500);
    let lost = leader.planner.expire_leases(&leader.state, Millis(LOST_MS));
    assert_eq!(ends(&lost), 1);
    leader.commit(lost);
    assert_eq!(leader.gang_checkpoint(), "new");
}

/// Guards against a late failure that replaces the newest checkpoint once no member of its run is
/// placed any more: the worker of the other member was given up and then lists its end.
#[test]
fn late_failure_of_the_latest_run_keeps_the_newest_checkpoint() {
    let (mut leader, holders) = running_gang(true);
    let mut stopped = end_report(holders[0], ended(0, 1, RunEnd::Stopped, "new"));
    stopped.draining = true;
    leader.exchange(stopped, 500);
    let lost = leader.planner.expire_leases(&leader.state, Millis(LOST_MS));
    assert_eq!(ends(&lost), 1);
    leader.commit(lost);
    let later = Millis(LOST_MS + 10);
    assert_eq!(leader.planner.expire_leases(&leader.state, later), []);
    let mut late = end_report(holders[1], ended(1, 1, RunEnd::Failed, "old"));
    late.draining = true;
    leader.exchange(late, LOST_MS + 100);
    assert_eq!(leader.gang_checkpoint(), "new");
}

/// A member that ends as broken has worked on after the last report of the lost member.
#[test]
fn lost_member_does_not_replace_a_reported_end() {
    let (mut leader, holders) = running_gang(true);
    let end = ended(0, 1, RunEnd::Broken, "newer");
    leader.exchange(end_report(holders[0], end), 500);
    let lost = leader.planner.expire_leases(&leader.state, Millis(LOST_MS));
    leader.commit(lost);
    assert_eq!(leader.gang_checkpoint(), "newer");
}

/// The batch with the end of the stopped member is refused, and the end is listed again or lost
/// with its worker. In both cases its checkpoint is known and must not be lost.
#[rstest]
#[case::listed_again(false)]
#[case::lost_with_its_worker(true)]
fn newest_checkpoint_outlives_a_refused_batch(#[case] is_lost: bool) {
    let (mut leader, holders) = running_gang(true);
    let mut stopped = end_report(holders[0], ended(0, 1, RunEnd::Stopped, "new"));
    assert_eq!(leader.hear(&mut stopped, 500).len(), 1);
    let broken = ended(1, 1, RunEnd::Broken, "old");
    leader.exchange(end_report(holders[1], broken), 600);
    if is_lost {
        let lost = leader.planner.expire_leases(&leader.state, Millis(LOST_MS));
        assert_eq!(ends(&lost), 1);
        leader.commit(lost);
    } else {
        leader.exchange(stopped.clone(), 700);
        leader.exchange(stopped, 800);
    }
    assert_eq!(leader.gang_checkpoint(), "new");
}

/// The leader is killed between the stop and the other member's end. The next one knows of no
/// stop, so the last end decides as before; the gang must resume from some checkpoint.
#[test]
fn checkpoint_survives_a_change_of_leader() {
    let (mut leader, holders) = running_gang(true);
    let end = ended(0, 1, RunEnd::Stopped, "new");
    leader.exchange(end_report(holders[0], end), 500);
    leader.change_leader(600);
    let broken = ended(1, 1, RunEnd::Broken, "");
    leader.exchange(end_report(holders[1], broken), 700);
    assert_eq!(leader.gang_checkpoint(), "new");
}

/// Guards against a run that resumes from the checkpoint of an earlier run: the worker of the first
/// run was given up and later lists that run as failed, after the second run has saved more.
#[rstest]
#[case::gang(gang(1, true))]
#[case::single_task(Step { checkpoints: true, ..step(1, 8) })]
fn late_failure_does_not_replace_a_newer_checkpoint(#[case] tasks: Step) {
    let mut leader = Leader::new();
    leader.submit("job1", "/batch/", tasks);
    leader.exchange(report(1), 10);
    leader.plan(20);
    assert_eq!(leader.exchange(report(1), 30).starts.len(), 1);
    let lost = leader.planner.expire_leases(&leader.state, Millis(9_000));
    leader.commit(lost);
    leader.exchange(report(2), 9_000);
    leader.plan(9_010);
    assert_eq!(leader.exchange(report(2), 9_100).starts.len(), 1);
    let newer = ended(0, 2, RunEnd::Stopped, "newer");
    leader.exchange(end_report(2, newer), 9_500);
    let late = ended(0, 1, RunEnd::Failed, "old");
    let mut late = end_report(1, late);
    late.draining = true;
    leader.exchange(late, 9_600);
    leader.plan(9_610);
    let orders = leader.exchange(report(2), 9_700);
    assert_eq!(orders.starts[0].checkpoint, "newer");
}

/// Worker 1 lists the only task of its job with these percentages, one every 200 ms; in the last
/// report it announces that it leaves in `remaining_ms`. Returns whether the task is then stopped.
fn is_stopped_on_leave(tasks: Step, percents: &[u32], remaining_ms: u64) -> bool {
    let mut leader = Leader::new();
    leader.submit("job1", "/batch/", tasks);
    leader.exchange(report(1), 10);
    leader.plan(20);
    leader.exchange(report(1), 30);
    let mut now = 100;
    for percent in percents {
        now += 200;
        let mut listed = report(1);
        listed.running.push(running("job1", 0, *percent, ""));
        leader.exchange(listed, now);
        leader.plan(now + 10);
    }
    let mut leaving = report(1);
    leaving.draining = true;
    leaving.remaining_ms = Some(Millis(remaining_ms));
    let last = percents.last().copied().unwrap_or_default();
    leaving.running.push(running("job1", 0, last, ""));
    leader.exchange(leaving.clone(), now + 20);
    leader.plan(now + 30);
    !leader.exchange(leaving, now + 60).stops.is_empty()
}

/// Guards against work for nothing: a run without checkpoints on a worker that leaves in 2 s used to
/// go on until shortly before, also if it could not end by then.
#[rstest]
#[case::slow_progress(step(1, 1), &[2, 4, 6], true)]
#[case::ends_in_time(step(1, 1), &[20, 40, 60], false)]
#[case::nothing_since_the_first_rise(step(1, 1), &[2, 4, 4], false)]
#[case::might_end_in_time(step(1, 1), &[10, 22, 34], false)]
#[case::checkpoints(Step { checkpoints: true, ..step(1, 1) }, &[2, 4, 6], false)]
#[case::long_running(Step { long_running: true, ..step(1, 1) }, &[2, 4, 6], false)]
#[case::long_estimate(Step { estimate_ms: Millis(9_000), ..step(1, 1) }, &[0], true)]
#[case::short_estimate(Step { estimate_ms: Millis(2_000), ..step(1, 1) }, &[0], false)]
fn run_that_cannot_end_is_stopped(
    #[case] tasks: Step,
    #[case] percents: &[u32],
    #[case] is_stopped: bool,
) {
    assert_eq!(is_stopped_on_leave(tasks, percents, 2_000), is_stopped);
}

/// Guards against a run that is stopped shortly before its end: the stop used to be due so early that
/// it may take its longest time, which a run that ends by itself does not need.
#[rstest]
#[case::ends_in_time(&[20, 45, 70], false)]
#[case::ends_too_late(&[20, 30, 40], true)]
#[case::shows_no_progress(&[70], true)]
#[case::stands_still_at_the_end(&[70, 90, 99, 99, 99, 99], true)]
#[case::has_just_reached_the_end(&[70, 90, 99], false)]
fn run_about_to_end_is_left_to_end(#[case] percents: &[u32], #[case] is_stopped: bool) {
    assert_eq!(is_stopped_on_leave(step(1, 1), percents, 750), is_stopped);
}

/// A gang that is stopped because one of its workers leaves, with the workers of its members.
fn gang_on_leaving_worker() -> (Leader, [u32; 2]) {
    let (mut leader, holders) = running_gang(false);
    for (now, percent) in [(400, 2), (600, 4), (800, 6)] {
        for (index, worker) in (0..).zip(holders) {
            let mut listed = report(worker);
            listed.running.push(running("job1", index, percent, ""));
            if now == 800 && index == 0 {
                listed.draining = true;
                listed.remaining_ms = Some(Millis(2_000));
            }
            leader.exchange(listed, now);
        }
    }
    leader.plan(810);
    (leader, holders)
}

/// One member that cannot end decides for all: the others used to work on until it was stopped, and
/// for up to a report longer.
#[test]
fn gang_that_cannot_end_is_stopped_as_a_whole() {
    let (mut leader, holders) = gang_on_leaving_worker();
    for (index, worker) in (0..).zip(holders) {
        let mut listed = report(worker);
        listed.draining = index == 0;
        listed.running.push(running("job1", index, 8, ""));
        let orders = leader.exchange(listed, 1_000);
        assert_eq!(orders.stops, [(name("job1", index), 1)]);
    }
}

/// Guards against a gang that is left to end because its member on the leaving worker is nearly
/// done, although another one is not, or is not known to be.
#[rstest]
#[case::alike(Some(25), false)]
#[case::slower(Some(3), true)]
#[case::not_listed(None, true)]
fn slowest_member_decides_when_a_gang_ends(#[case] other: Option<u32>, #[case] is_stopped: bool) {
    let (mut leader, holders) = running_gang(false);
    let mut stops = Vec::new();
    for (now, round) in [(500, 1), (700, 2), (900, 3), (950, 3)] {
        let mut second = report(holders[1]);
        let listed = other.map(|percent| running("job1", 1, percent * round, ""));
        second.running.extend(listed);
        leader.exchange(second, now);
        let mut first = report(holders[0]);
        first.draining = now >= 900;
        first.remaining_ms = first.draining.then_some(Millis(750));
        first.running.push(running("job1", 0, 25 * round, ""));
        stops = leader.exchange(first, now).stops;
        leader.plan(now + 10);
    }
    assert_eq!(!stops.is_empty(), is_stopped);
}

/// The leader is killed between the stop and its end. The next one must not start the gang again
/// before both ends are known, and may not keep a member waiting either.
#[test]
fn stop_on_leave_outlives_its_leader() {
    let (mut leader, holders) = gang_on_leaving_worker();
    let mut listed = report(holders[1]);
    listed.running.push(running("job1", 1, 8, ""));
    assert_eq!(leader.exchange(listed, 900).stops.len(), 1);
    leader.change_leader(950);
    leader.exchange(report(3), 1_000);
    leader.exchange(report(4), 1_000);
    // The first member has not received its stop, the second is stopping.
    let mut first = report(holders[0]);
    first.draining = true;
    first.remaining_ms = Some(Millis(1_750));
    first.running.push(running("job1", 0, 9, ""));
    leader.exchange(first, 1_050);
    // The worker refuses the start of a run that it is stopping.
    let again = leader.exchange(report(holders[1]), 1_050);
    assert!(again.starts.iter().all(|start| start.run == 1));
    leader.plan(1_060);
    assert!(leader.exchange(report(3), 1_100).starts.is_empty());
    let stopped = ended(1, 1, RunEnd::Stopped, "");
    leader.exchange(end_report(holders[1], stopped), 1_200);
    leader.plan(1_210);
    let broken = ended(0, 1, RunEnd::Broken, "");
    let mut first = end_report(holders[0], broken);
    first.draining = true;
    leader.exchange(first, 1_300);
    leader.exchange(report(3), 1_310);
    leader.exchange(report(4), 1_310);
    leader.plan(1_320);
    let key = leader.state.task_key(&name("job1", 0));
    let task = key.and_then(|key| leader.state.task(key));
    assert!(task.is_some_and(|task| task.run == 2 && task.placement.is_some()));
}

/// Runs gangs without checkpoints on workers that leave with 2 s of notice, one every second, and
/// changes the leader in between. Returns the simulation after all jobs have ended.
fn gangs_on_leaving_workers(seed: u64, changes_leader: bool) -> Simulation {
    let mut simulation = Simulation::new(24, seed);
    simulation.run_duration_ms = 3_000;
    for round in 0..60 {
        simulation.submit("/batch/", "clubs", job(vec![gang(3, false)]));
        simulation.submit("/urgent/", "clubs", job(vec![gang(2, false)]));
        let at = simulation.pick(24);
        let until_ms = simulation.now_ms + 2_000;
        let worker = &mut simulation.workers[at];
        if worker.is_running && worker.leaves_at_ms.is_none() {
            worker.draining = true;
            worker.leaves_at_ms = Some(until_ms);
        }
        if changes_leader && round % 5 == 0 {
            simulation.change_leader();
        }
        for _step in 0..50 {
            simulation.run(20);
            simulation.terminate_leaving(1_000);
        }
    }
    for _step in 0..3_000 {
        simulation.run(20);
        simulation.terminate_leaving(1_000);
    }
    assert_eq!(simulation.state.open_jobs().count(), 0, "seed {seed}");
    simulation
}

/// Guards against work that is discarded although its end was near, or continued although it could
/// not end: 421,180 ms of progress were lost here over five seeds when each run went on until its
/// stop was due, and none any longer.
#[test]
fn leaving_workers_discard_little() {
    let simulations = (0..5).map(|seed| gangs_on_leaving_workers(seed, false));
    let discarded_ms: u64 = simulations.map(|simulation| simulation.discarded_ms).sum();
    assert!(discarded_ms < 350_000, "{discarded_ms} ms of progress lost");
}

/// No task runs twice and all jobs end, whichever leader decides what happens to the runs on leaving
/// workers.
#[test]
fn leaving_workers_under_changing_leaders() {
    for seed in 0..5 {
        gangs_on_leaving_workers(seed, true);
    }
}

/// Two jobs, each with one task that fills a worker of its own, and what their workers list of them.
/// Returns the job that is stopped for an urgent job that needs one worker.
fn reclaimed_job(
    tasks: [Step; 2],
    listed: &[(u64, [(u32, &str); 2])],
    new_leader_ms: Option<u64>,
) -> String {
    let mut leader = Leader::new();
    let [first, second] = tasks;
    leader.submit("job1", "/batch/", first);
    leader.submit("job2", "/batch/", second);
    let mut holders = [0; 2];
    leader.exchange(report(1), 10);
    leader.exchange(report(2), 10);
    leader.plan(20);
    for worker in 1..=2 {
        let starts = leader.exchange(report(worker), 30).starts;
        let at = usize::from(starts[0].task.job != job_id("job1"));
        holders[at] = worker;
    }
    let mut last = 0;
    for (now, runs) in listed {
        if new_leader_ms.is_some_and(|at| (last..*now).contains(&at)) {
            leader.change_leader(*now);
        }
        last = *now;
        for (at, (percent, checkpoint)) in runs.iter().enumerate() {
            let mut next = report(holders[at]);
            let id = ["job1", "job2"][at];
            next.running.push(running(id, 0, *percent, checkpoint));
            leader.exchange(next, *now);
        }
    }
    leader.submit("urgent1", "/urgent/", step(1, 8));
    leader.plan(last + 10);
    let mut stopped = Vec::new();
    for worker in holders {
        let mut next = report(worker);
        let at = usize::from(worker == holders[1]);
        let (percent, checkpoint) = listed.last().expect("some are listed").1[at];
        next.running
            .push(running(["job1", "job2"][at], 0, percent, checkpoint));
        stopped.extend(leader.exchange(next, last + 50).stops);
    }
    assert_eq!(stopped.len(), 1);
    stopped[0].0.job.to_string()
}

/// Guards against a reclaim that takes any gang that checkpoints, as if it had just saved one.
#[rstest]
#[case::first_saved_last([(300, [(5, ""), (5, "")]), (500, [(9, ""), (9, "b")]), (900, [(15, "a"), (15, "b")])], "job1")]
#[case::second_saved_last([(300, [(5, ""), (5, "")]), (500, [(9, "a"), (9, "")]), (900, [(15, "a"), (15, "b")])], "job2")]
fn gang_with_the_latest_checkpoint_is_reclaimed(
    #[case] listed: [(u64, [(u32, &str); 2]); 3],
    #[case] expected: &str,
) {
    let tasks = [gang(1, true), gang(1, true)];
    assert_eq!(reclaimed_job(tasks, &listed, None), expected);
}

/// Guards against a new leader that takes all runs for new ones, as it sees them for the first time.
#[rstest]
#[case::first_is_new([(300, [(1, ""), (1, "")]), (900, [(5, ""), (80, "")])], "job1")]
#[case::second_is_new([(300, [(1, ""), (1, "")]), (900, [(80, ""), (5, "")])], "job2")]
fn new_leader_reclaims_the_newer_run(
    #[case] listed: [(u64, [(u32, &str); 2]); 2],
    #[case] expected: &str,
) {
    assert_eq!(
        reclaimed_job([step(1, 8), step(1, 8)], &listed, Some(500)),
        expected
    );
}

/// An urgent job is not delayed because the work that a gang has not saved exceeds its own: the
/// gang resumes from what its first stopped member saves.
#[test]
fn unsaved_work_of_a_gang_delays_no_urgent_work() {
    let short = Step {
        estimate_ms: Millis(100),
        ..gang(1, true)
    };
    let listed = [(300, [(5, ""), (5, "")]), (2_000, [(40, ""), (90, "")])];
    let tasks = [short, step(1, 8)];
    assert_eq!(reclaimed_job(tasks, &listed, None), "job1");
}

/// Operators see how much work is lost, by the way in which runs end. A task here counts as 65 cores:
/// 1 core and 8 accelerators.
#[rstest]
#[case::broken(true, RunEnd::Broken, "old", "19.5")]
#[case::stopped_with_checkpoint(true, RunEnd::Stopped, "new", "")]
#[case::stopped_without_checkpoint(false, RunEnd::Stopped, "", "19.5")]
#[case::done(false, RunEnd::Done, "", "")]
fn lost_work_is_measured(
    #[case] checkpoints: bool,
    #[case] end: RunEnd,
    #[case] saved: &str,
    #[case] expected: &str,
) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let rendered = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        let (mut leader, holders) = running_gang(checkpoints);
        leader.exchange(end_report(holders[0], ended(0, 1, end, saved)), 500);
    });
    let text = rendered.render();
    let sum = format!("lost_work_core_seconds_sum{{end=\"{end}\"}} ");
    let measured = text.lines().find_map(|line| line.strip_prefix(&*sum));
    assert_eq!(measured.unwrap_or_default(), expected);
}
