use super::limits::{REQUESTS_PER_RETRY, RETRY_BURST};

/// Limits retries to a fraction of new requests, so that failures cannot multiply the load.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    /// Remaining credit; one retry costs [`REQUESTS_PER_RETRY`].
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
    /// Credits one new request.
    pub(super) fn earn(&mut self) {
        self.credit = (self.credit + 1).min(RETRY_BURST * REQUESTS_PER_RETRY);
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub(super) const fn spend(&mut self) -> bool {
        if self.credit < REQUESTS_PER_RETRY {
            return false;
        }
        self.credit -= REQUESTS_PER_RETRY;
        true
    }
}
