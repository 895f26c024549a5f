use std::collections::BTreeSet;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Duration, Instant, timeout_at};
use tracing::debug;

use super::grant::EntryState;
use super::held_polls::HeldPolls;
use crate::control::{Client, ControlError, ReportAnswer, ReportBatch, Result};
use crate::fleet::{AnnouncementResponse, EndpointAnnouncement, WorkerPoll};
use crate::kernel::Clock;
use crate::units::{EntryId, Incarnation, Millis, WorkerId};

/// Time during which reports are collected into one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(20);
/// Maximum number of reports per batch.
const BATCH_REPORTS_MAX: usize = 512;
/// Deadline for sending a batch.
const REPORT_DEADLINE_MS: Millis = Millis(1_800);

/// A report to the leader.
#[derive(Debug)]
pub(super) enum Report {
    /// A worker's poll, held under this id.
    Poll { poll: Box<WorkerPoll>, id: u64 },
    /// A poll that is no longer held.
    Released { worker: WorkerId },
    /// An endpoint's announcement.
    Announced {
        announcement: Box<EndpointAnnouncement>,
        answer: oneshot::Sender<Result<AnnouncementResponse>>,
    },
}

/// Collects reports and sends them to the leader, one batch at a time to preserve their order.
#[derive(Debug)]
pub(super) struct Reporter {
    pub(super) entry: EntryId,
    pub(super) incarnation: Incarnation,
    pub(super) client: Client,
    pub(super) polls: Arc<HeldPolls>,
    pub(super) state: watch::Receiver<EntryState>,
    pub(super) clock: Clock,
}

impl Reporter {
    /// Runs until all senders of reports are dropped.
    pub(super) async fn run(self, mut reports: mpsc::Receiver<Report>) {
        while let Some(first) = reports.recv().await {
            let collected = collect_batch(first, &mut reports).await;
            self.send_batch(collected).await;
        }
    }

    async fn send_batch(&self, collected: Vec<Report>) {
        let (batch, waiters) = self.batch(collected);
        let client = self.client.with_deadline(REPORT_DEADLINE_MS);
        match client.report(batch).await {
            Ok(answer) => self.deliver(answer, waiters),
            Err(cause) => {
                debug!(event = "report_failed", %cause);
                for waiter in waiters {
                    drop(waiter.send(Err(cause.clone())));
                }
            }
        }
    }

    fn batch(&self, collected: Vec<Report>) -> (ReportBatch, Vec<Waiter>) {
        let mut released = BTreeSet::new();
        let (mut workers, mut endpoints) = (Vec::new(), Vec::new());
        let mut waiters = Vec::new();
        for report in collected {
            match report {
                Report::Poll { poll, id } if self.polls.holds(&poll.worker, id) => {
                    workers.push(*poll);
                }
                Report::Poll { .. } => {}
                Report::Released { worker } => {
                    released.insert(worker);
                }
                Report::Announced {
                    announcement,
                    answer,
                } => {
                    endpoints.push(*announcement);
                    waiters.push(answer);
                }
            }
        }
        let batch = ReportBatch {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            workers,
            released: released.into_iter().collect(),
            endpoints,
        };
        (batch, waiters)
    }

    /// Delivers the leader's answers. Orders are relayed only while the entry holds a grant;
    /// without one the leases of the workers must expire.
    fn deliver(&self, answer: ReportAnswer, waiters: Vec<Waiter>) {
        if self.state.borrow().may_start(self.clock.now()) {
            for orders in answer.orders {
                self.polls.deliver(orders);
            }
            for orders in answer.unchanged {
                self.polls.store_unchanged(orders);
            }
        }
        let mut answers = answer.endpoints.into_iter();
        for waiter in waiters {
            let answer = answers.next().map(|(_, answer)| answer);
            drop(waiter.send(answer.ok_or(ControlError::Uncertain)));
        }
    }
}

type Waiter = oneshot::Sender<Result<AnnouncementResponse>>;

async fn collect_batch(first: Report, reports: &mut mpsc::Receiver<Report>) -> Vec<Report> {
    let until = Instant::now() + BATCH_WINDOW;
    let mut collected = vec![first];
    while collected.len() < BATCH_REPORTS_MAX {
        match timeout_at(until, reports.recv()).await {
            Ok(Some(report)) => collected.push(report),
            Ok(None) | Err(_) => break,
        }
    }
    collected
}
