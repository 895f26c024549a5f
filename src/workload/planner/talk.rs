//! What the leader asks of systems outside the group, and what it makes of their answers.

use super::Planner;
use crate::units::Millis;
use crate::workload::{OutsideAnswer, OutsideCall, Workload};

impl Planner {
    /// The calls to be made now; each answer comes back by [`Planner::take_answer`].
    pub fn next_calls(&mut self, state: &Workload, now: Millis) -> Vec<OutsideCall> {
        let mut calls = self.maintenance_calls(state, now);
        calls.extend(self.permit_call(state, now));
        calls
    }

    /// Takes what came of a call.
    pub fn take_answer(&mut self, call: &OutsideCall, answer: OutsideAnswer, now: Millis) {
        self.dirty = true;
        match (call, answer) {
            (OutsideCall::AskPermits { .. }, answer) => self.take_permits(answer, now),
            (OutsideCall::ListVms { .. }, OutsideAnswer::Vms { vms, next }) => {
                if let Some((began_ms, gone)) = self.maintenance.take_page(vms, next) {
                    self.lose_gone(began_ms, gone, now);
                }
            }
            (OutsideCall::ListVms { .. }, _failed) => self.maintenance.list_failed(now),
            (
                OutsideCall::BeginMaintenance {
                    vm, maintenance, ..
                },
                answer,
            ) => self
                .maintenance
                .take_answer((*maintenance, vm), &answer, now),
        }
    }
}
