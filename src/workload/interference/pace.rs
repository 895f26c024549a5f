use crate::units::Millis;

/// The full rate, at which a run starts.
pub const FULL_PERCENT: u32 = 100;
/// Best-effort tasks below this rate make no progress that is worth their memory.
const USEFUL_PERCENT: u32 = 10;
/// The rate of tasks that may still be paced by an earlier leader.
const INHERITED_PERCENT: u32 = 25;
/// The first rate beside a task that the image is known to slow down.
const HARMFUL_START_PERCENT: u32 = 50;
/// At the first miss, the rate is divided by this.
const CUT_DIVISOR: u32 = 4;
/// The rate is raised only while the tail is at most this share of its target, in percent, so that
/// a raise does not by itself lead to a miss.
const RELAXED_PERCENT: u64 = 80;
/// Between that and this share, it is raised carefully; above, only up to the useful rate. A tail
/// that is near its target without best-effort tasks must not stop them for good.
const TIGHT_PERCENT: u64 = 95;
/// The target is missed when the tail is above this share of it, in percent.
const MISSED_PERCENT: u64 = 100;
/// A raise while far below the rate of the last miss, in percentage points, and how often.
const RAISE_POINTS: u32 = 10;
const RAISE_INTERVAL_MS: Millis = Millis(1_000);
/// The same near and above that rate, where the next miss is likely.
const CAREFUL_RAISE_POINTS: u32 = 2;
const CAREFUL_RAISE_INTERVAL_MS: Millis = Millis(10_000);
/// How many points below the rate of the last miss raises become careful.
const CAREFUL_POINTS: u32 = 10;
/// The period that a reading covers.
const READING_MS: Millis = Millis(500);
/// If the target is still missed after so long at a rate of 0, something else is the cause.
const OTHER_CAUSE_MS: Millis = Millis(3_000);
/// If no reading has been known for so long, they are taken to have stopped: workers with paced
/// tasks report several times a second. Best-effort tasks must not stay throttled for good.
const READINGS_STOPPED_MS: Millis = Millis(30_000);
/// The parts of `harm_ms`: a quarter for a report to arrive, and half for a trial at another rate.
const REPORT_DIVISOR: u64 = 4;
const TRIAL_DIVISOR: u64 = 2;

/// Timing of pacing, as the platform specifies it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PaceTiming {
    /// How long after its receipt a rate takes effect.
    pub pace_ms: Millis,
    /// For how long a serving task may exceed its target.
    pub harm_ms: Millis,
}

/// Why a rate changed.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum PaceCause {
    /// A serving task misses its target.
    #[display("target_missed")]
    TargetMissed,
    /// All serving tasks are well below their target.
    #[display("target_kept")]
    TargetKept,
    /// The target is missed also without best-effort tasks.
    #[display("other_cause")]
    OtherCause,
    /// No serving task with a target is left.
    #[display("no_target")]
    NoTarget,
    /// Readings of the serving tasks have stopped.
    #[display("no_reading")]
    NoReading,
}

/// How the best-effort tasks of a worker begin beside serving tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceStart {
    /// Nothing is known.
    Unknown,
    /// Their images are known to slow down a serving one.
    Harmful,
    /// An earlier leader may have paced them.
    Inherited,
}

/// The rate of the best-effort tasks of one worker.
#[derive(Clone, Debug)]
pub struct Pace {
    percent: u32,
    changed_ms: Millis,
    reported_ms: Millis,
    /// When a reading was last known.
    read_ms: Millis,
    /// The rate at which the target was last missed.
    limit_percent: Option<u32>,
    /// Whether the target was missed in the last report with a reading.
    is_missed: bool,
    has_other_cause: bool,
}

impl PaceTiming {
    /// The longest time between two reports of a worker with paced tasks.
    #[must_use]
    pub const fn report_interval_ms(&self) -> Millis {
        Millis(self.harm_ms.get() / REPORT_DIVISOR)
    }
}

impl Pace {
    /// Creates the pace of tasks that are first seen at `now`.
    #[must_use]
    pub const fn new(start: PaceStart, now: Millis) -> Self {
        let percent = match start {
            PaceStart::Unknown => FULL_PERCENT,
            PaceStart::Harmful => HARMFUL_START_PERCENT,
            PaceStart::Inherited => INHERITED_PERCENT,
        };
        Self {
            percent,
            changed_ms: now,
            reported_ms: now,
            read_ms: now,
            limit_percent: None,
            is_missed: false,
            has_other_cause: false,
        }
    }

    /// The present rate in percent.
    #[must_use]
    pub const fn percent(&self) -> u32 {
        self.percent
    }

    /// When the rate last changed.
    #[must_use]
    pub const fn changed_ms(&self) -> Millis {
        self.changed_ms
    }

    /// Records a report. `load_percent` is the largest tail of the serving tasks in percent of its
    /// target, if known. Returns the cause if the rate has changed.
    pub fn observe(
        &mut self,
        load_percent: Option<u64>,
        timing: PaceTiming,
        now: Millis,
    ) -> Option<PaceCause> {
        let is_slow_reporter = now.since(self.reported_ms) > timing.report_interval_ms();
        self.reported_ms = now;
        let Some(load_percent) = load_percent else {
            return self.raise_without_readings(now);
        };
        self.read_ms = now;
        if load_percent > MISSED_PERCENT {
            return self.throttle(is_slow_reporter, timing, now);
        }
        self.has_other_cause = false;
        self.is_missed = false;
        self.raise(load_percent, timing, now)
    }

    /// Raises the rate to the full one, as no serving task is left. Returns the cause if the rate
    /// has changed.
    pub fn release(&mut self, now: Millis) -> Option<PaceCause> {
        self.limit_percent = None;
        self.has_other_cause = false;
        (self.percent < FULL_PERCENT).then(|| self.set(FULL_PERCENT, PaceCause::NoTarget, now))
    }

    fn throttle(
        &mut self,
        is_slow_reporter: bool,
        timing: PaceTiming,
        now: Millis,
    ) -> Option<PaceCause> {
        let unchanged = now.since(self.changed_ms);
        if self.has_other_cause {
            let trial_ms = Millis(timing.harm_ms.get() / TRIAL_DIVISOR);
            let next = USEFUL_PERCENT - self.percent.min(USEFUL_PERCENT);
            return (unchanged >= trial_ms).then(|| self.set(next, PaceCause::OtherCause, now));
        }
        if self.percent == 0 {
            if unchanged < OTHER_CAUSE_MS {
                return None;
            }
            self.has_other_cause = true;
            return Some(self.set(USEFUL_PERCENT, PaceCause::OtherCause, now));
        }
        if self.is_missed && unchanged < settle_ms(timing) {
            // The reading may be from before the last cut.
            return None;
        }
        let cut = self.percent / CUT_DIVISOR;
        let next = if is_slow_reporter || self.is_missed || cut < USEFUL_PERCENT {
            0
        } else {
            cut
        };
        if !self.is_missed {
            self.limit_percent = Some(self.percent);
        }
        self.is_missed = true;
        Some(self.set(next, PaceCause::TargetMissed, now))
    }

    fn raise(&mut self, load_percent: u64, timing: PaceTiming, now: Millis) -> Option<PaceCause> {
        let unchanged = now.since(self.changed_ms);
        if self.percent >= FULL_PERCENT || unchanged < settle_ms(timing) {
            return None;
        }
        let careful_from = self
            .limit_percent
            .map(|limit| limit.saturating_sub(CAREFUL_POINTS).max(USEFUL_PERCENT));
        let is_careful =
            load_percent > RELAXED_PERCENT || careful_from.is_some_and(|from| self.percent >= from);
        let (interval_ms, next) = if is_careful {
            let next = self.percent + CAREFUL_RAISE_POINTS;
            (CAREFUL_RAISE_INTERVAL_MS, next.max(USEFUL_PERCENT))
        } else {
            let next = self.percent + RAISE_POINTS;
            let most = careful_from.unwrap_or(FULL_PERCENT);
            (RAISE_INTERVAL_MS, next.min(most))
        };
        let is_tight = load_percent > TIGHT_PERCENT && self.percent >= USEFUL_PERCENT;
        if unchanged < interval_ms || is_tight {
            return None;
        }
        let next = next.min(FULL_PERCENT);
        if self
            .limit_percent
            .is_some_and(|limit| next >= limit + CAREFUL_POINTS)
        {
            // What made the target be missed there is over.
            self.limit_percent = None;
        }
        Some(self.set(next, PaceCause::TargetKept, now))
    }

    /// Raises the rate carefully if readings have stopped. After a miss, it is raised only to the
    /// useful rate, since it can't be seen whether the target would be missed again.
    fn raise_without_readings(&mut self, now: Millis) -> Option<PaceCause> {
        let most = if self.limit_percent.is_some() {
            USEFUL_PERCENT
        } else {
            FULL_PERCENT
        };
        if self.percent >= most
            || now.since(self.read_ms) < READINGS_STOPPED_MS
            || now.since(self.changed_ms) < CAREFUL_RAISE_INTERVAL_MS
        {
            return None;
        }
        let raised = (self.percent + CAREFUL_RAISE_POINTS).max(USEFUL_PERCENT);
        Some(self.set(raised.min(most), PaceCause::NoReading, now))
    }

    const fn set(&mut self, percent: u32, cause: PaceCause, now: Millis) -> PaceCause {
        self.percent = percent;
        self.changed_ms = now;
        cause
    }
}

/// How long after a change readings may still cover the earlier rate.
const fn settle_ms(timing: PaceTiming) -> Millis {
    timing.pace_ms.saturating_add(READING_MS)
}
