use super::limits::{REQUESTS_PER_RETRY, RETRY_BURST};

/// Bounds retries to a part of the first attempts, so that failures never multiply the load.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    /// Retries left, each counted as [`REQUESTS_PER_RETRY`].
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: RETRY_BURST * REQUESTS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Earns a part of a retry.
    pub(super) fn earn(&mut self) {
        self.credit = (self.credit + 1).min(RETRY_BURST * REQUESTS_PER_RETRY);
    }

    /// Takes one retry; false where none is left.
    pub(super) const fn spend(&mut self) -> bool {
        if self.credit < REQUESTS_PER_RETRY {
            return false;
        }
        self.credit -= REQUESTS_PER_RETRY;
        true
    }
}
