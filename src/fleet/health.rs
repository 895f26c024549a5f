use crate::units::Millis;

/// How many different jobs must fail on a worker, none succeeding between, to take it out.
const FAILURE_THRESHOLD: usize = 3;
/// How long a failure counts.
const FAILURE_WINDOW_MS: Millis = Millis(1_800_000);
/// How long a worker stays out the first time; doubled each time after.
const QUARANTINE_MIN_MS: u64 = 30_000;
/// The longest time out: one hour.
const QUARANTINE_MAX_MS: u64 = 3_600_000;
/// How long a probe waits for a single small task before a task of any gang will do.
const GANG_PROBE_DELAY_MS: Millis = Millis(60_000);

/// Whether a worker may run work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// Work may start.
    Up,
    /// Nothing may start until the time given.
    Quarantined {
        /// When a probe may start.
        until_ms: Millis,
    },
    /// One idempotent task may start; its result decides.
    Probing {
        /// When the quarantine ended.
        since_ms: Millis,
        /// The job that probes, once one was placed.
        job: Option<u64>,
    },
}

/// The evidence for and against one worker.
///
/// Only failures of different jobs count, and a job that proves to fail elsewhere too is withdrawn,
/// so that neither a broken worker draws the queue nor a broken job takes out the fleet.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    /// Whether the worker may run work.
    pub state: HealthState,
    failures: Vec<(u64, Millis)>,
    backoff_level: u32,
    succeeded_ms: Option<Millis>,
    /// Whether more than unproved evidence took it out.
    confirmed: bool,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self::new()
    }
}

impl WorkerHealth {
    /// A worker without any evidence.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            state: HealthState::Up,
            failures: Vec::new(),
            backoff_level: 0,
            succeeded_ms: None,
            confirmed: false,
        }
    }

    /// Whether ordinary work may start.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.state == HealthState::Up
    }

    /// Whether there is evidence that keeps it from being chosen first.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        !self.failures.is_empty()
    }

    /// Failures that count at present.
    #[must_use]
    pub fn failures(&self) -> u32 {
        u32::try_from(self.failures.len()).unwrap_or(u32::MAX)
    }

    /// How long the quarantine still lasts.
    #[must_use]
    pub const fn quarantine_remaining(&self, now: Millis) -> Option<Millis> {
        match self.state {
            HealthState::Quarantined { until_ms } => Some(until_ms.since(now)),
            HealthState::Up | HealthState::Probing { .. } => None,
        }
    }

    /// Counts the failure of one job's task.
    pub fn record_failure(&mut self, job: u64, now: Millis) {
        self.failures
            .retain(|(failed, when)| *failed != job && now.since(*when) < FAILURE_WINDOW_MS);
        self.failures.push((job, now));
        let probe_failed = matches!(self.state, HealthState::Probing { .. });
        let over_threshold = self.is_up() && self.failures.len() >= FAILURE_THRESHOLD;
        if probe_failed || over_threshold {
            self.confirmed = probe_failed;
            self.quarantine(now);
        }
    }

    fn quarantine(&mut self, now: Millis) {
        let span = QUARANTINE_MIN_MS
            .saturating_mul(1 << self.backoff_level.min(16))
            .min(QUARANTINE_MAX_MS);
        self.backoff_level = self.backoff_level.saturating_add(1);
        self.state = HealthState::Quarantined {
            until_ms: now.saturating_add(Millis(span)),
        };
        self.failures.truncate(FAILURE_THRESHOLD);
    }

    /// A task succeeded: earlier failures were the jobs' own.
    pub fn record_success(&mut self, job: u64, now: Millis) {
        self.failures.clear();
        self.succeeded_ms = Some(now);
        let probe =
            matches!(self.state, HealthState::Probing { job: Some(probe), .. } if probe == job);
        if probe {
            self.state = HealthState::Up;
            self.backoff_level = self.backoff_level.saturating_sub(1);
        }
    }

    /// A job that failed here at a time has succeeded elsewhere, so the worker was the cause.
    pub fn confirm_failure(&mut self, failed_ms: Millis, now: Millis) {
        let succeeded_since = self.succeeded_ms.is_some_and(|at| at >= failed_ms);
        if self.is_up() && !succeeded_since {
            self.confirmed = true;
            self.quarantine(now);
        }
    }

    /// The job fails on other workers too, so its failure here is no evidence.
    pub fn withdraw_failure(&mut self, job: u64, now: Millis) {
        let before = self.failures.len();
        self.failures.retain(|(failed, _when)| *failed != job);
        let cleared = self.failures.len() < before && self.failures.len() < FAILURE_THRESHOLD;
        let quarantined = matches!(self.state, HealthState::Quarantined { .. });
        if cleared && quarantined && !self.confirmed {
            self.backoff_level = self.backoff_level.saturating_sub(1);
            self.state = match self.backoff_level {
                0 => HealthState::Up,
                _earlier => HealthState::Probing {
                    since_ms: now,
                    job: None,
                },
            };
        }
    }

    /// Lets time pass: a quarantine ends with a probe.
    pub fn tick(&mut self, now: Millis) {
        if let HealthState::Quarantined { until_ms } = self.state
            && now >= until_ms
        {
            self.failures.clear();
            self.state = HealthState::Probing {
                since_ms: now,
                job: None,
            };
        }
    }

    /// Whether this worker may take one task as its probe; gangs only after some patience.
    #[must_use]
    pub fn accepts_probe(&self, single: bool, now: Millis) -> bool {
        match self.state {
            HealthState::Probing {
                since_ms,
                job: None,
            } => single || now.since(since_ms) >= GANG_PROBE_DELAY_MS,
            HealthState::Up | HealthState::Quarantined { .. } | HealthState::Probing { .. } => {
                false
            }
        }
    }

    /// The job was placed as the probe.
    pub const fn begin_probe(&mut self, probe: u64) {
        if let HealthState::Probing { job, .. } = &mut self.state {
            *job = Some(probe);
        }
    }

    /// The probing job went away without a result, so another may probe.
    pub fn end_probe(&mut self, probe: u64) {
        if let HealthState::Probing { job, .. } = &mut self.state
            && *job == Some(probe)
        {
            *job = None;
        }
    }
}
