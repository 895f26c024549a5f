//! VMs that go down for maintenance: never more at once than allowed, in time, emptied before where there
//! is time for it, and lasting tasks never missed beyond what their step allows.
//!
//! What the platform may have been told is committed before it is told, so that the next leader counts the
//! same VMs as down. docs/PLATFORM.md has the design.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;
use tracing::{info, warn};

use super::Planner;
use crate::units::{Millis, VmId, WallMs, WorkerId};
use crate::workload::{
    Maintenance, MaintenanceNumber, MaintenanceRefusal, OutsideAnswer, OutsideCall, RunKey, Step,
    StepKey, StepState, TaskKey, Vm, VmProgress, Workload, WorkloadCommand,
};

/// How often the platform's list of VMs is read while a VM is down or none is known.
const LIST_MS: Millis = Millis(700);
/// How old the list may be where something is decided on it.
const LIST_FRESH_MS: Millis = Millis(3_000);
/// The pause before a call is made again that was refused or got no answer.
const AGAIN_MS: Millis = Millis(500);
/// The time that a VM is down, with the calls round it, as far as the rounds of a maintenance are planned.
const ROUND_MS: u64 = 4_500;
/// The longest time in which a VM is emptied before it goes down.
const EMPTY_MAX_MS: u64 = 8_000;

/// What the leader knows of maintenances beyond the replicated state.
#[derive(Debug, Default)]
pub(super) struct MaintenanceDesk {
    listed: BTreeMap<VmId, Listed>,
    /// When the last whole list was asked for.
    listed_ms: Option<Millis>,
    listing: Option<Listing>,
    /// VMs that are emptied, and until when.
    emptied: BTreeMap<VmId, Millis>,
    calling: BTreeSet<VmId>,
    again_ms: BTreeMap<VmId, Millis>,
    list_again_ms: Millis,
    /// When this leader first saw that a VM's maintenance had begun.
    begun_ms: BTreeMap<VmId, Millis>,
    /// Whether another leader has used a higher term: then this one gives no more orders.
    superseded: bool,
    /// Commands that follow from answers.
    commands: Vec<WorkloadCommand>,
}

/// A VM in the last whole list.
#[derive(Clone, Debug)]
struct Listed {
    is_up: bool,
    worker: Option<WorkerId>,
}

/// A list that is being read page by page.
#[derive(Debug)]
struct Listing {
    began_ms: Millis,
    vms: BTreeMap<VmId, Listed>,
    next: NextPage,
}

/// What is asked for next.
#[derive(Clone, Debug, Eq, PartialEq)]
enum NextPage {
    First,
    At(SmolStr),
    /// A page is on its way.
    OnItsWay,
}

impl MaintenanceDesk {
    /// The workers that get no new tasks, as their VM is about to go down.
    pub(super) fn barred(&self, state: &Workload) -> BTreeSet<WorkerId> {
        let mut barred = self.going(state);
        let emptied = self.emptied.keys().filter_map(|vm| self.worker_of(vm));
        barred.extend(emptied.cloned());
        barred
    }

    /// The workers whose VM may have been told to go down, and is not known to be back.
    fn going(&self, state: &Workload) -> BTreeSet<WorkerId> {
        let maintenances = state.maintenances().values();
        let going = maintenances.flat_map(|of| {
            let ordered = of.with(VmProgress::Ordered);
            ordered.chain(of.with(VmProgress::Begun))
        });
        going.filter_map(|vm| self.worker_of(vm).cloned()).collect()
    }

    /// The worker that a VM's present life is.
    fn worker_of(&self, vm: &VmId) -> Option<&WorkerId> {
        self.listed.get(vm)?.worker.as_ref()
    }

    /// Whether the list is young enough to decide on.
    fn is_fresh(&self, now: Millis) -> bool {
        let listed_ms = self.listed_ms;
        listed_ms.is_some_and(|listed_ms| now.since(listed_ms) < LIST_FRESH_MS)
    }

    fn is_listed_since(&self, since_ms: Millis) -> bool {
        self.listed_ms.is_some_and(|listed_ms| listed_ms > since_ms)
    }

    /// Takes one page of the list; gives the workers that were gone by the whole list when it was begun.
    pub(super) fn take_page(
        &mut self,
        vms: Vec<Vm>,
        next: Option<SmolStr>,
    ) -> Option<(Millis, Vec<WorkerId>)> {
        let listing = self.listing.as_mut()?;
        let page = vms.into_iter().map(|vm| {
            let listed = Listed {
                is_up: vm.is_up,
                worker: vm.worker,
            };
            (vm.id, listed)
        });
        listing.vms.extend(page);
        if let Some(page) = next {
            listing.next = NextPage::At(page);
            return None;
        }
        let whole = self.listing.take()?;
        let before = std::mem::replace(&mut self.listed, whole.vms);
        self.listed_ms = Some(whole.began_ms);
        let gone = before.into_iter().filter_map(|(vm, before)| {
            let worker = before.worker?;
            let now = self.listed.get(&vm);
            let lives = now.is_some_and(|now| now.is_up && now.worker.as_ref() == Some(&worker));
            (!lives).then_some(worker)
        });
        Some((whole.began_ms, gone.collect()))
    }

    /// Takes what came of a call about a VM, other than a page of the list.
    pub(super) fn take_answer(
        &mut self,
        (number, vm): (MaintenanceNumber, &VmId),
        answer: &OutsideAnswer,
        now: Millis,
    ) {
        self.calling.remove(vm);
        let progress = match answer {
            OutsideAnswer::MaintenanceBegun => Some(VmProgress::Begun),
            OutsideAnswer::MaintenanceRefused(refusal) => {
                warn!(event = "maintenance_refused", maintenance = %number, vm = %vm, cause = ?refusal);
                match refusal {
                    MaintenanceRefusal::Superseded => {
                        self.superseded = true;
                        None
                    }
                    MaintenanceRefusal::Occupied => Some(VmProgress::Waiting),
                    MaintenanceRefusal::NotPlanned | MaintenanceRefusal::NoSuchVm => {
                        Some(VmProgress::Done)
                    }
                }
            }
            _ => None,
        };
        self.again_ms
            .insert(vm.clone(), now.saturating_add(AGAIN_MS));
        if let Some(progress) = progress {
            self.commands.push(advance(number, vm, progress));
        }
    }

    /// A list that could not be read is read again from its start.
    pub(super) fn list_failed(&mut self, now: Millis) {
        self.listing = None;
        self.list_again_ms = now.saturating_add(AGAIN_MS);
    }

    /// The next page to ask for.
    fn next_page(&mut self, now: Millis) -> Option<OutsideCall> {
        let is_due = self.listed_ms.is_none_or(|at| now.since(at) >= LIST_MS);
        if self.listing.is_none() && (!is_due || now < self.list_again_ms) {
            return None;
        }
        let listing = self.listing.get_or_insert_with(|| Listing {
            began_ms: now,
            vms: BTreeMap::new(),
            next: NextPage::First,
        });
        let page = match std::mem::replace(&mut listing.next, NextPage::OnItsWay) {
            NextPage::First => None,
            NextPage::At(page) => Some(page),
            NextPage::OnItsWay => return None,
        };
        Some(OutsideCall::ListVms { page })
    }
}

impl Planner {
    /// What is to be committed for maintenances now; the platform is told only afterwards.
    pub fn maintain(
        &mut self,
        state: &Workload,
        now: Millis,
        wall: WallMs,
    ) -> Vec<WorkloadCommand> {
        let mut commands = std::mem::take(&mut self.maintenance.commands);
        for (number, maintenance) in state.maintenances() {
            if maintenance.is_complete() || !self.maintenance.is_fresh(now) {
                continue;
            }
            self.finish_vms(*number, maintenance, now, &mut commands);
            self.empty_vms(maintenance, state, (now, wall));
            self.order_vms(*number, maintenance, state, now, &mut commands);
        }
        commands
    }

    /// The calls to the platform that maintenances need now.
    pub(super) fn maintenance_calls(&mut self, state: &Workload, now: Millis) -> Vec<OutsideCall> {
        let open = state.maintenances().iter();
        let open: Vec<_> = open.filter(|(_number, of)| !of.is_complete()).collect();
        if open.is_empty() {
            return Vec::new();
        }
        let mut calls: Vec<_> = self.maintenance.next_page(now).into_iter().collect();
        if self.maintenance.superseded {
            return calls;
        }
        let term = self.term;
        let desk = &mut self.maintenance;
        for (number, maintenance) in open {
            for vm in maintenance.with(VmProgress::Ordered) {
                let again_ms = desk.again_ms.get(vm).copied().unwrap_or_default();
                if now < again_ms || !desk.calling.insert(vm.clone()) {
                    continue;
                }
                info!(event = "maintenance_ordered", maintenance = %number, vm = %vm);
                calls.push(OutsideCall::BeginMaintenance {
                    vm: vm.clone(),
                    maintenance: *number,
                    term,
                });
            }
        }
        calls
    }

    /// What ran on workers that were gone when a list was begun has ended.
    ///
    /// A worker that has reported since then is a new life of its VM.
    pub(super) fn lose_gone(&mut self, began_ms: Millis, gone: Vec<WorkerId>, now: Millis) {
        for worker in gone {
            let heard_ms = self.workers.get(&worker).map(|worker| worker.heard_ms);
            if heard_ms.is_some_and(|heard_ms| heard_ms < began_ms) {
                self.left(&worker, now);
            }
        }
    }

    /// Notes the VMs that are back, or are not listed any more.
    fn finish_vms(
        &mut self,
        number: MaintenanceNumber,
        maintenance: &Maintenance,
        now: Millis,
        commands: &mut Vec<WorkloadCommand>,
    ) {
        for vm in maintenance.with(VmProgress::Begun) {
            let begun_ms = *self.maintenance.begun_ms.entry(vm.clone()).or_insert(now);
            let listed = self.maintenance.listed.get(vm);
            let is_back = listed.is_none_or(|listed| listed.is_up);
            if is_back && self.maintenance.is_listed_since(begun_ms) {
                info!(event = "maintenance_of_vm_done", maintenance = %number, vm = %vm);
                commands.push(advance(number, vm, VmProgress::Done));
            }
        }
        for vm in maintenance.with(VmProgress::Waiting) {
            if !self.maintenance.listed.contains_key(vm) {
                info!(event = "maintenance_of_vm_gone", maintenance = %number, vm = %vm);
                commands.push(advance(number, vm, VmProgress::Done));
            }
        }
    }

    /// Chooses the VMs that go down next, those with the least work first, and empties them.
    fn empty_vms(
        &mut self,
        maintenance: &Maintenance,
        state: &Workload,
        (now, wall): (Millis, WallMs),
    ) {
        let waiting: Vec<VmId> = maintenance.with(VmProgress::Waiting).cloned().collect();
        let chosen = waiting
            .iter()
            .filter(|vm| self.maintenance.emptied.contains_key(*vm));
        let down = maintenance.down() + chosen.count();
        let free = (maintenance.down_max as usize).saturating_sub(down);
        let mut ready: Vec<(u64, VmId)> = waiting
            .iter()
            .filter(|vm| !self.maintenance.emptied.contains_key(*vm))
            .filter(|vm| self.maintenance.listed.get(*vm).is_some_and(|of| of.is_up))
            .map(|vm| (self.work_on(vm, state), vm.clone()))
            .collect();
        ready.sort_unstable();
        let until_ms = now.saturating_add(emptying_time(maintenance, waiting.len(), wall));
        for (_work, vm) in ready.into_iter().take(free) {
            info!(event = "vm_emptied", vm = %vm, until_ms = until_ms.get());
            let worker = self
                .maintenance
                .listed
                .get(&vm)
                .and_then(|of| of.worker.clone());
            if let Some(worker) = worker {
                self.stop_saving_tasks(&worker, state);
            }
            self.maintenance.emptied.insert(vm, until_ms);
        }
    }

    /// Stops the tasks that save their progress: they lose nothing by going on elsewhere.
    fn stop_saving_tasks(&mut self, worker: &WorkerId, state: &Workload) {
        let saving = state.placed_on(worker).filter(|(run, _life)| {
            state
                .step(run.task.step)
                .is_some_and(|(step, _tasks)| step.checkpoints && !step.gang && !step.lasting)
        });
        self.stopping.extend(saving.map(|(run, _life)| run));
    }

    /// Commits to the VMs that are empty, or whose time to be emptied is over.
    fn order_vms(
        &mut self,
        number: MaintenanceNumber,
        maintenance: &Maintenance,
        state: &Workload,
        now: Millis,
        commands: &mut Vec<WorkloadCommand>,
    ) {
        let mut free = (maintenance.down_max as usize).saturating_sub(maintenance.down());
        let mut going = self.maintenance.going(state);
        for vm in maintenance.with(VmProgress::Waiting) {
            let Some(until_ms) = self.maintenance.emptied.get(vm).copied() else {
                continue;
            };
            let is_ready = now >= until_ms || self.work_on(vm, state) == 0;
            if free == 0 || !is_ready || !self.may_go_down(vm, state, &going) {
                continue;
            }
            free -= 1;
            going.extend(self.maintenance.worker_of(vm).cloned());
            self.maintenance.emptied.remove(vm);
            commands.push(advance(number, vm, VmProgress::Ordered));
        }
    }

    /// What runs on a VM, by its weight.
    fn work_on(&self, vm: &VmId, state: &Workload) -> u64 {
        let listed = self.maintenance.listed.get(vm);
        let worker = listed.and_then(|listed| listed.worker.as_ref());
        let runs = worker
            .into_iter()
            .flat_map(|worker| state.placed_on(worker));
        let weights = runs.filter_map(|(run, _life)| {
            let (step, _tasks) = state.step(run.task.step)?;
            Some(step.demand.weight().max(1))
        });
        weights.fold(0, u64::saturating_add)
    }

    /// Whether the lasting tasks on a VM can be missed, with those of their steps that are away already.
    fn may_go_down(&self, vm: &VmId, state: &Workload, going: &BTreeSet<WorkerId>) -> bool {
        let Some(worker) = self.maintenance.worker_of(vm) else {
            return true;
        };
        let mut here: BTreeMap<StepKey, usize> = BTreeMap::new();
        for (run, _life) in state.placed_on(worker) {
            if self.is_at_work(run) {
                *here.entry(run.task.step).or_default() += 1;
            }
        }
        here.into_iter().all(|(key, count)| {
            let Some((step, tasks)) = state.step(key) else {
                return true;
            };
            let limit = step.away_max.filter(|_limit| step.lasting);
            limit.is_none_or(|limit| self.away(key, step, tasks, going) + count <= limit as usize)
        })
    }

    /// How many tasks of a lasting step are not at work, or will soon not be.
    fn away(
        &self,
        key: StepKey,
        step: &Step,
        tasks: &StepState,
        going: &BTreeSet<WorkerId>,
    ) -> usize {
        let indices = 0..step.tasks;
        let at_work = indices.zip(&tasks.tasks).filter(|(index, task)| {
            let place = task.place.as_ref();
            let stays = place.is_some_and(|place| !going.contains(&place.worker));
            let task_key = TaskKey {
                step: key,
                index: *index,
            };
            stays
                && self.is_at_work(RunKey {
                    task: task_key,
                    run: task.run,
                })
        });
        tasks.tasks.len() - at_work.count()
    }

    /// Whether a run is at its full work and is not to be stopped.
    fn is_at_work(&self, run: RunKey) -> bool {
        let running = self
            .workers
            .values()
            .filter_map(|worker| worker.running.get(&run));
        !self.stopping.contains(&run) && running.clone().any(|seen| seen.percent >= 100)
    }
}

/// How long a VM may be emptied so that all that wait still have their turn in time.
fn emptying_time(maintenance: &Maintenance, waiting: usize, wall: WallMs) -> Millis {
    let rounds = waiting
        .div_ceil((maintenance.down_max as usize).max(1))
        .max(1);
    let rounds = u64::try_from(rounds).unwrap_or(u64::MAX);
    let passed = wall.since(maintenance.asked_ms);
    let left = maintenance.duration_ms.get().saturating_sub(passed.get());
    Millis((left / rounds).saturating_sub(ROUND_MS).min(EMPTY_MAX_MS))
}

fn advance(number: MaintenanceNumber, vm: &VmId, progress: VmProgress) -> WorkloadCommand {
    WorkloadCommand::AdvanceVm {
        number,
        vm: vm.clone(),
        progress,
    }
}
