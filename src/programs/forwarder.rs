use std::sync::Arc;

use futures::FutureExt;

use super::listener::find_published;
use crate::entry::{AnnouncementRelay, Exchange, ForwardOptions, Forwarder};
use crate::kernel::{Clock, Service, StopFn};
use crate::settings::EntrySettings;
use crate::units::{EntryId, Incarnation};

/// Clock and incarnation of this run of an entry's process.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessRun {
    pub(super) clock: Clock,
    /// Wall-clock time at the start, so that each run has a larger incarnation than the one before.
    pub(super) incarnation: Incarnation,
}

impl ProcessRun {
    pub(super) fn start() -> Self {
        let clock = Clock::start();
        Self {
            clock,
            incarnation: Incarnation(clock.wall().0),
        }
    }
}

/// Service that forwards callers' requests to endpoints.
pub(super) fn forwarder_service(settings: Arc<EntrySettings>, run: ProcessRun) -> Service {
    Service::new("forwarder", &["exchange"], move |registry| async move {
        let exchange = find_published::<Arc<Exchange>>(&registry, "exchange")?;
        let options = forward_options(settings.name.clone(), run, &exchange);
        let forwarder = Forwarder::start(options);
        registry.publish("forwarder", Arc::clone(&forwarder));
        let state_task = tokio::spawn(Arc::clone(&forwarder).follow_state(exchange.state()));
        let stop: StopFn = Box::new(move || {
            Box::pin(async move {
                forwarder.drain().await;
                state_task.abort();
            })
        });
        Ok(stop)
    })
}

fn forward_options(entry: EntryId, run: ProcessRun, exchange: &Arc<Exchange>) -> ForwardOptions {
    let (begin_client, finish_client) = (exchange.client().clone(), exchange.client().clone());
    let usage_exchange = Arc::clone(exchange);
    ForwardOptions::builder()
        .entry(entry)
        .incarnation(run.incarnation)
        .clock(run.clock)
        .begin(Arc::new(move |request| {
            let client = begin_client.clone();
            async move { client.begin_request(request).await }.boxed()
        }))
        .finish(Arc::new(move |request| {
            let client = finish_client.clone();
            async move { client.finish_request(request).await }.boxed()
        }))
        .report_usage(Arc::new(move |usage| usage_exchange.set_usage(usage)))
        .build()
}

/// Returns a relay that forwards endpoints' announcements to the leader.
pub(super) fn announcement_relay(exchange: &Arc<Exchange>) -> AnnouncementRelay {
    let exchange = Arc::clone(exchange);
    AnnouncementRelay {
        announce: Arc::new(move |announcement| {
            let exchange = Arc::clone(&exchange);
            async move { exchange.announce(announcement).await }.boxed()
        }),
    }
}
