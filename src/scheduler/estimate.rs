use std::collections::BTreeMap;

use crate::units::{ClassName, Millis, TeamId};

/// The run time assumed where none was declared.
const UNDECLARED_MS: u64 = 600_000;
/// A ratio of one, in thousandths.
const RATIO_ONE: u64 = 1_000;
/// Bounds of a correction, in thousandths.
const RATIO_MIN: u64 = 20;
const RATIO_MAX: u64 = 50_000;
/// Each new run counts one part in this many.
const SMOOTHING: u64 = 4;
/// Classes kept a team, so that class names made up for each job cost no memory.
const CLASSES_MAX: usize = 64;

/// Running ratios of measured to declared run time, by team and class.
#[derive(Debug, Default)]
pub(super) struct RunTimeEstimates {
    ratios: BTreeMap<TeamId, BTreeMap<ClassName, u64>>,
}

impl RunTimeEstimates {
    /// The run time to expect of a job, never zero.
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

    /// Takes one whole run into account.
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
