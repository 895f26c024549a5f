use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::endpoint_client::RequestSender;
use super::forward::Forwarder;
use crate::router::{AttemptOutcome, SendOrder};

/// An attempt in progress. Dropping it releases the endpoint's slot.
#[derive(Debug)]
pub(super) struct AttemptGuard {
    forwarder: Arc<Forwarder>,
    pub(super) order: SendOrder,
    sent: AtomicBool,
    open: AtomicBool,
}

impl AttemptGuard {
    pub(super) fn new(forwarder: &Arc<Forwarder>, order: SendOrder) -> Self {
        Self {
            forwarder: Arc::clone(forwarder),
            order,
            sent: AtomicBool::new(false),
            open: AtomicBool::new(true),
        }
    }

    /// Marks that data may be sent to the endpoint from now on.
    pub(super) fn mark_sent(&self) {
        self.sent.store(true, Ordering::Release);
    }

    /// Returns whether data may have been sent.
    pub(super) fn is_sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }

    /// Ends the attempt. Only the first call has an effect.
    pub(super) fn end(&self, end: AttemptOutcome) {
        if self.open.swap(false, Ordering::AcqRel) {
            self.forwarder.end_attempt(&self.order, end);
        }
    }

    /// Ends the attempt after its complete response and returns the connection to the pool if it is
    /// still usable.
    pub(super) fn end_answered(&self, sender: RequestSender) {
        let reusable = self
            .forwarder
            .keep_connection(self.order.connection, sender);
        self.end(AttemptOutcome::Completed { reusable });
    }

    /// Transfers the responsibility for ending the attempt to a new guard.
    pub(super) fn transfer(&self) -> Self {
        Self {
            forwarder: Arc::clone(&self.forwarder),
            order: self.order.clone(),
            sent: AtomicBool::new(self.is_sent()),
            open: AtomicBool::new(self.open.swap(false, Ordering::AcqRel)),
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let end = if self.is_sent() {
            AttemptOutcome::Abandoned
        } else {
            AttemptOutcome::NotSent
        };
        self.end(end);
    }
}
