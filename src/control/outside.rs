//! Calls of the leader to systems outside the group: the loop hands them to whoever speaks their protocol,
//! and goes on with other work until the answers come.

use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tracing::warn;

use crate::workload::{OutsideAnswer, OutsideCall};

/// Calls that wait to be taken up.
const CALLS_MAX: usize = 64;

/// A call with where its answer goes.
#[derive(Debug)]
pub struct OutsideAsk {
    /// The call.
    pub call: OutsideCall,
    /// Where the answer goes; the leader may have stopped waiting.
    pub reply: oneshot::Sender<OutsideAnswer>,
}

/// The leader's end of the way to systems outside the group.
pub type OutsideSender = mpsc::Sender<OutsideAsk>;
/// The end at which the calls are taken up.
pub type OutsideReceiver = mpsc::Receiver<OutsideAsk>;

/// A way for calls to systems outside the group.
#[must_use]
pub fn outside_link() -> (OutsideSender, OutsideReceiver) {
    mpsc::channel(CALLS_MAX)
}

/// The calls that are on their way.
#[derive(Default)]
pub(super) struct Calls {
    link: Option<OutsideSender>,
    pending: FuturesUnordered<BoxFuture<'static, (OutsideCall, OutsideAnswer)>>,
}

impl Calls {
    pub(super) fn new(link: Option<OutsideSender>) -> Self {
        Self {
            link,
            pending: FuturesUnordered::new(),
        }
    }

    /// Makes a call; it fails at once where nobody takes it up.
    pub(super) fn make(&self, call: OutsideCall) {
        let (reply, answer) = oneshot::channel();
        let ask = OutsideAsk {
            call: call.clone(),
            reply,
        };
        let sent = self.link.as_ref().map(|link| link.try_send(ask));
        if !matches!(sent, Some(Ok(()))) {
            warn!(event = "outside_call_not_made", call = ?call);
        }
        let answered = async move {
            let answer = answer
                .await
                .unwrap_or_else(|_dropped| OutsideAnswer::Failed {
                    cause: "nobody took the call up".into(),
                });
            (call, answer)
        };
        self.pending.push(answered.boxed());
    }

    /// The next answer; waits for ever where no call is on its way.
    pub(super) async fn next(&mut self) -> (OutsideCall, OutsideAnswer) {
        match self.pending.next().await {
            Some(answered) => answered,
            None => std::future::pending().await,
        }
    }

    /// Forgets the calls on their way: they were made for an earlier leadership.
    pub(super) fn forget(&mut self) {
        self.pending.clear();
    }
}
