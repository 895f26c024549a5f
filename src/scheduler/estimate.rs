use std::collections::BTreeMap;

use crate::units::{ClassName, Millis, TeamId};

/// The run time assumed if none was declared.
const UNDECLARED_MS: u64 = 600_000;
/// The ratio 1, in thousandths.
const RATIO_ONE: u64 = 1_000;
/// Limits of the correction ratio, in thousandths.
const RATIO_MIN: u64 = 20;
const RATIO_MAX: u64 = 50_000;
/// The weight of a new run in the moving average is one divided by this.
const SMOOTHING: u64 = 4;
/// Classes kept per team; limits memory if callers invent a class name for each job.
const CLASSES_MAX: usize = 64;

/// Moving averages of the ratio of measured to declared run time, by team and class.
#[derive(Debug, Default)]
pub(super) struct RunTimeEstimates {
    ratios: BTreeMap<TeamId, BTreeMap<ClassName, u64>>,
}

impl RunTimeEstimates {
    /// The expected run time of a job in milliseconds, never zero.
    pub(super) fn expected_run_time(
        &self,
        team: &TeamId,
        class: &ClassName,
        declared: Millis,
    ) -> Millis {
        let declared = declared_or_default(declared);
        let ratio = self.ratios.get(team).and_then(|classes| classes.get(class));
        let ratio = ratio.copied().unwrap_or(RATIO_ONE);
        Millis((declared.saturating_mul(ratio) / RATIO_ONE).max(1))
    }

    /// Updates the average with the run time of a completed job.
    pub(super) fn record_run(
        &mut self,
        team: &TeamId,
        class: &ClassName,
        declared: Millis,
        ran: Millis,
    ) {
        let declared = declared_or_default(declared);
        let observed = ran.0.saturating_mul(RATIO_ONE) / declared;
        let observed = observed.clamp(RATIO_MIN, RATIO_MAX);
        let classes = self.ratios.entry(team.clone()).or_default();
        if classes.len() >= CLASSES_MAX && !classes.contains_key(class) {
            classes.pop_first();
        }
        let ratio = classes.entry(class.clone()).or_insert(observed);
        *ratio = (*ratio * (SMOOTHING - 1) + observed) / SMOOTHING;
    }
}

const fn declared_or_default(declared: Millis) -> u64 {
    if declared.0 == 0 {
        UNDECLARED_MS
    } else {
        declared.0
    }
}
