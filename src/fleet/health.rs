use crate::units::Millis;

/// Number of different jobs that must fail on a worker, with no success in between, to quarantine
/// it.
const FAILURE_THRESHOLD: usize = 3;
/// How long a failure counts towards the threshold.
const FAILURE_WINDOW_MS: Millis = Millis(1_800_000);
/// Duration of a worker's first quarantine, in milliseconds; doubled for each further one.
const QUARANTINE_MIN_MS: u64 = 30_000;
/// Maximum duration of a quarantine, in milliseconds: one hour.
const QUARANTINE_MAX_MS: u64 = 3_600_000;
/// How long a probe is reserved for a single-task job before a task of a larger gang may be used.
const GANG_PROBE_DELAY_MS: Millis = Millis(60_000);

/// Whether work may start on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// Work may start.
    Up,
    /// No work may start until the given time.
    Quarantined {
        /// When a probe may start.
        until_ms: Millis,
    },
    /// One idempotent task may start; its result ends or extends the quarantine.
    Probing {
        /// When the quarantine ended.
        since_ms: Millis,
        /// The job that was placed as the probe, if any.
        job: Option<u64>,
    },
}

/// Failure tracking and quarantine of one worker.
///
/// Only failures of different jobs count, and the failure of a job that fails on other workers too
/// is withdrawn. This keeps a broken worker from attracting and failing the whole queue, and a
/// broken job from quarantining the whole fleet.
#[derive(Clone, Debug)]
pub struct WorkerHealth {
    /// Whether work may start on the worker.
    pub state: HealthState,
    /// The recorded failures, each with the ordinal of its job and its time. Those outside the
    /// window are dropped when the next failure is recorded.
    failures: Vec<(u64, Millis)>,
    /// Number of times that the duration of the next quarantine is doubled.
    backoff_level: u32,
    succeeded_ms: Option<Millis>,
    /// Whether the quarantine was confirmed, by a failed probe or by a job that succeeded
    /// elsewhere; it is then not lifted when a failure is withdrawn.
    confirmed: bool,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self::new()
    }
}

impl WorkerHealth {
    /// Creates the state of a healthy worker without failures.
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

    /// Whether work other than a probe may start.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.state == HealthState::Up
    }

    /// Whether failures are recorded against it, so that other workers are preferred.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        !self.failures.is_empty()
    }

    /// Number of failures recorded.
    #[must_use]
    pub fn failures(&self) -> u32 {
        u32::try_from(self.failures.len()).unwrap_or(u32::MAX)
    }

    /// Remaining duration of the quarantine; none if not quarantined.
    #[must_use]
    pub const fn quarantine_remaining(&self, now: Millis) -> Option<Millis> {
        match self.state {
            HealthState::Quarantined { until_ms } => Some(until_ms.since(now)),
            HealthState::Up | HealthState::Probing { .. } => None,
        }
    }

    /// Records the failure of a job's task; quarantines the worker at the threshold or after a
    /// failed probe.
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

    /// Records the success of a task and attributes earlier failures to their jobs; the success of
    /// the probe ends the quarantine.
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

    /// Quarantines the worker because a job that failed here at `failed_ms` has succeeded
    /// elsewhere.
    ///
    /// The worker is then the likely cause, unless a task has succeeded on it since.
    pub fn confirm_failure(&mut self, failed_ms: Millis, now: Millis) {
        let succeeded_since = self.succeeded_ms.is_some_and(|at| at >= failed_ms);
        if self.is_up() && !succeeded_since {
            self.confirmed = true;
            self.quarantine(now);
        }
    }

    /// Withdraws the failure of a job that fails on other workers too, as it says nothing about
    /// this one.
    ///
    /// An unconfirmed quarantine ends if the remaining failures are below the threshold. A worker
    /// with earlier quarantines must still pass a probe.
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

    /// Starts probing once the quarantine has expired.
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

    /// Whether the worker accepts a task as its probe; one of a gang only after a delay.
    ///
    /// `single` is true for a job with a single task.
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

    /// Records the job that was placed as the probe.
    pub const fn begin_probe(&mut self, probe: u64) {
        if let HealthState::Probing { job, .. } = &mut self.state {
            *job = Some(probe);
        }
    }

    /// Frees the probe for another job, because the probing job ended without a result.
    pub fn end_probe(&mut self, probe: u64) {
        if let HealthState::Probing { job, .. } = &mut self.state
            && *job == Some(probe)
        {
            *job = None;
        }
    }
}
