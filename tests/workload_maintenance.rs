//! VMs that go down for maintenance, under lost answers, refusals and leader changes.

#[path = "support/model_worker.rs"]
mod model_worker;
#[path = "support/planner_parts.rs"]
mod planner_parts;
#[path = "support/worker_model.rs"]
mod worker_model;
#[path = "support/workload_parts.rs"]
mod workload_parts;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use marjoramknot::units::{Millis, Term, VmId};
use marjoramknot::workload::{
    MaintenanceNumber, MaintenanceRefusal, OutsideAnswer, OutsideCall, Step, Vm, WorkloadCommand,
};
use rstest::rstest;

use model_worker::ModelWorker;
use worker_model::Model;
use workload_parts::{job, step};

const WAVE: MaintenanceNumber = MaintenanceNumber(7);
/// How long a VM is down.
const DOWN_MS: u64 = 2_000;
/// How long a call takes.
const CALL_MS: u64 = 20;

/// The platform's side: which VMs are down for their maintenance, and which have had it.
#[derive(Debug, Default)]
struct Platform {
    down_until_ms: BTreeMap<VmId, u64>,
    begun: BTreeSet<VmId>,
    highest: BTreeMap<VmId, Term>,
    most_down: usize,
    calls: u32,
    /// Each so manieth answer is lost; 0 for none.
    lose_each: u32,
}

fn vm(worker: &ModelWorker) -> VmId {
    format!("m-{}", worker.id).parse().expect("an id")
}

impl Platform {
    /// Wakes the VMs whose time is over.
    fn wake(&mut self, workers: &mut [ModelWorker], now_ms: u64) {
        for worker in workers {
            let until_ms = self.down_until_ms.get(&vm(worker)).copied();
            if until_ms.is_some_and(|until_ms| now_ms >= until_ms) {
                self.down_until_ms.remove(&vm(worker));
                worker.restart(now_ms);
            }
        }
    }

    fn answer(
        &mut self,
        workers: &mut [ModelWorker],
        call: &OutsideCall,
        now_ms: u64,
    ) -> OutsideAnswer {
        self.calls += 1;
        let answer = match call {
            OutsideCall::ListVms { .. } => OutsideAnswer::Vms {
                vms: workers.iter().map(listed).collect(),
                next: None,
            },
            OutsideCall::BeginMaintenance { vm, term, .. } => {
                self.begin(workers, vm, *term, now_ms)
            }
            OutsideCall::AskPermits { .. } => panic!("no queue needs permits"),
        };
        if self.lose_each > 0 && self.calls.is_multiple_of(self.lose_each) {
            return OutsideAnswer::Failed {
                cause: "no answer in time".into(),
            };
        }
        answer
    }

    fn begin(
        &mut self,
        workers: &mut [ModelWorker],
        id: &VmId,
        term: Term,
        now_ms: u64,
    ) -> OutsideAnswer {
        let highest = self.highest.entry(id.clone()).or_default();
        if term < *highest {
            return OutsideAnswer::MaintenanceRefused(MaintenanceRefusal::Superseded);
        }
        *highest = term;
        if self.begun.contains(id) {
            return OutsideAnswer::MaintenanceBegun;
        }
        let worker = workers.iter_mut().find(|worker| vm(worker) == *id);
        let Some(worker) = worker else {
            return OutsideAnswer::MaintenanceRefused(MaintenanceRefusal::NoSuchVm);
        };
        if !worker.up {
            return OutsideAnswer::MaintenanceRefused(MaintenanceRefusal::Occupied);
        }
        worker.crash();
        self.begun.insert(id.clone());
        self.down_until_ms.insert(id.clone(), now_ms + DOWN_MS);
        self.most_down = self.most_down.max(self.down_until_ms.len());
        OutsideAnswer::MaintenanceBegun
    }
}

fn listed(worker: &ModelWorker) -> Vm {
    Vm {
        id: vm(worker),
        is_up: worker.up,
        worker: Some(worker.id.clone()),
    }
}

/// A model whose platform can do maintenance, asked for the first `count` VMs with two down at once.
fn asked(
    seed: u64,
    count: usize,
    duration_ms: u64,
    lose_each: u32,
) -> (Model, Rc<RefCell<Platform>>) {
    let mut model = Model::new(8, seed);
    let platform = Rc::new(RefCell::new(Platform {
        lose_each,
        ..Platform::default()
    }));
    let shared = Rc::clone(&platform);
    model.outside = Some(Box::new(move |workers, call, now_ms| {
        let mut platform = shared.borrow_mut();
        (CALL_MS, platform.answer(workers, call, now_ms))
    }));
    model.run(500);
    let vms = model.workers.iter().take(count).map(vm).collect();
    model.command(WorkloadCommand::Maintain {
        number: WAVE,
        vms,
        duration_ms: Millis(duration_ms),
        down_max: 2,
    });
    (model, platform)
}

/// Runs until the maintenance is told to be complete; the platform wakes VMs meanwhile.
fn run_to_end(model: &mut Model, platform: &RefCell<Platform>, most_ms: u64) {
    let until_ms = model.now_ms + most_ms;
    loop {
        let complete = model.state.maintenances().get(&WAVE);
        if complete.is_some_and(marjoramknot::workload::Maintenance::is_complete) {
            return;
        }
        assert!(model.now_ms < until_ms, "seed {}: not in time", model.seed);
        platform.borrow_mut().wake(&mut model.workers, model.now_ms);
        model.step();
    }
}

#[rstest]
fn each_vm_has_its_turn_in_time(#[values(0, 3, 2)] lose_each: u32) {
    for seed in 0..10 {
        let (mut model, platform) = asked(seed, 8, 40_000, lose_each);
        for _job in 0..6 {
            model.submit("/batch/", "clubs", job(vec![step(4, 2)]));
        }
        run_to_end(&mut model, &platform, 40_000);
        let platform = platform.borrow();
        assert_eq!(platform.begun.len(), 8, "seed {seed}");
        assert_eq!(platform.most_down, 2, "seed {seed}");
    }
}

/// A new leader does not know which orders were carried out: what was committed counts as down.
#[test]
fn leaders_change_meanwhile() {
    for seed in 0..20 {
        let (mut model, platform) = asked(seed, 8, 60_000, 4);
        for _change in 0..5 {
            let span_ms = model.now_ms + 300 + model.pick(1_500) as u64;
            while model.now_ms < span_ms {
                platform.borrow_mut().wake(&mut model.workers, model.now_ms);
                model.step();
            }
            model.change_leader();
        }
        run_to_end(&mut model, &platform, 60_000);
        let platform = platform.borrow();
        assert_eq!(platform.begun.len(), 8, "seed {seed}");
        assert!(platform.most_down <= 2, "seed {seed}");
    }
}

#[test]
fn vms_that_are_gone_hold_nothing_up() {
    let (mut model, platform) = asked(1, 2, 20_000, 0);
    let gone = ["m-gone".parse().expect("an id")].into_iter().collect();
    model.command(WorkloadCommand::Maintain {
        number: MaintenanceNumber(8),
        vms: gone,
        duration_ms: Millis(10_000),
        down_max: 1,
    });
    run_to_end(&mut model, &platform, 20_000);
    model.run(3_000);
    let gone = &model.state.maintenances()[&MaintenanceNumber(8)];
    assert!(gone.is_complete());
}

/// With time to spare VMs are emptied first, so that nothing that runs is lost.
#[test]
fn work_ends_before_its_vm_goes_down() {
    let (mut model, platform) = asked(5, 4, 60_000, 0);
    model.work_ms = 4_000;
    for _job in 0..4 {
        model.submit("/batch/", "clubs", job(vec![step(4, 2)]));
    }
    run_to_end(&mut model, &platform, 60_000);
    model.run_until(20_000, "all jobs are done", |model| {
        model.state.open_jobs().next().is_none()
    });
    assert_eq!(model.starts, 16, "each task was started once");
}

/// Two tasks of a lasting step stand on workers that go down; one may be missed.
#[test]
fn lasting_tasks_are_missed_one_at_a_time() {
    for seed in 0..5 {
        let (mut model, platform) = asked(seed, 8, 40_000, 0);
        model.work_ms = 600_000;
        model.lasting_from_percent_100 = true;
        let lasting = Step {
            lasting: true,
            away_max: Some(1),
            per_worker_max: Some(1),
            ..step(4, 8)
        };
        model.submit("/batch/", "clubs", job(vec![lasting]));
        let until_ms = model.now_ms + 60_000;
        let mut settled = false;
        while model.now_ms < until_ms {
            platform.borrow_mut().wake(&mut model.workers, model.now_ms);
            model.step();
            let running = model.workers.iter().filter(|worker| worker.up);
            let tasks: usize = running.map(|worker| worker.runs.len()).sum();
            settled |= tasks == 4;
            assert!(
                !settled || tasks >= 3,
                "seed {seed}: {tasks} at {}",
                model.now_ms
            );
        }
        assert_eq!(platform.borrow().begun.len(), 8, "seed {seed}");
    }
}
