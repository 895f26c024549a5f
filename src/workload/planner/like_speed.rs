//! Places work by the speed of the workers where these are uneven.
//!
//! Load pattern: urgent gangs are due within little more than their run time, and one slow member
//! makes them late, while single tasks of other queues have time to run on slow workers. Speed only
//! decides among places that are equal in locality, and nothing waits for a fast worker.

use super::candidates::{Candidate, Candidates, PlacementRequest};
use super::speeds::SpeedClass;

/// How well the speeds of some candidates suit a gang; the smallest is best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum SpeedFit {
    /// The gang fits on workers of the preferred speed.
    Preferred,
    /// The gang fits on workers of one speed, but not of the preferred one.
    Alike,
    /// The gang needs workers of both speeds, so that the fast ones wait for the slow ones.
    Mixed,
}

impl PlacementRequest<'_> {
    /// Whether a single task should rather run on a worker of the other speed: urgent tasks on fast
    /// workers, others on slow ones.
    pub(super) fn prefers_other_speed(&self, candidate: &Candidate) -> bool {
        let is_slow = candidate.speed == SpeedClass::Slow;
        is_slow == self.is_urgent && !self.step.long_running
    }
}

impl Candidates {
    /// How the speeds of these candidates, which can hold the gang, suit it, and the speed to use;
    /// `None` to use all.
    pub(super) fn speed_fit(
        &self,
        candidates: &[usize],
        request: &PlacementRequest<'_>,
    ) -> (SpeedFit, Option<SpeedClass>) {
        if !self.has_slow {
            return (SpeedFit::Preferred, None);
        }
        let candidates = self.reliable_if_enough(candidates, request);
        let (mut fast, mut slow) = (0_u32, 0_u32);
        for at in candidates {
            let fits = request.fitting_now(at, self);
            let of_class = match self.all[at].speed {
                SpeedClass::Fast => &mut fast,
                SpeedClass::Slow => &mut slow,
            };
            *of_class = of_class.saturating_add(fits);
        }
        let needed = request.tasks;
        match (fast >= needed, slow >= needed) {
            (false, false) => (SpeedFit::Mixed, None),
            (false, true) if request.is_urgent => (SpeedFit::Alike, Some(SpeedClass::Slow)),
            // Where both hold a gang that is not urgent, best fit decides, as among racks.
            (true, holds) if request.is_urgent || !holds || fast < slow => {
                (SpeedFit::Preferred, Some(SpeedClass::Fast))
            }
            _ => (SpeedFit::Preferred, Some(SpeedClass::Slow)),
        }
    }

    /// Packs the gang onto candidates of one speed if it fits there, and otherwise onto any.
    pub(super) fn pack_like_speed(
        &self,
        candidates: &[usize],
        request: &PlacementRequest<'_>,
    ) -> Option<Vec<usize>> {
        let (_fit, Some(class)) = self.speed_fit(candidates, request) else {
            return self.pack(candidates, request);
        };
        let mut of_class = self.reliable_if_enough(candidates, request);
        of_class.retain(|at| self.all[*at].speed == class);
        self.pack(&of_class, request)
    }

    /// The reliable ones of the candidates if they hold the gang, and otherwise all of them, so that
    /// reliability takes precedence over speed.
    fn reliable_if_enough(
        &self,
        candidates: &[usize],
        request: &PlacementRequest<'_>,
    ) -> Vec<usize> {
        let mut reliable = candidates.to_vec();
        reliable.retain(|at| !self.all[*at].unreliable);
        let fits = reliable.iter().map(|at| request.fitting_now(*at, self));
        if fits.fold(0, u32::saturating_add) >= request.tasks {
            reliable
        } else {
            candidates.to_vec()
        }
    }
}
