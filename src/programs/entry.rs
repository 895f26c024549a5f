use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::Result;
use super::forwarder::{ProcessRun, announcement_relay, forwarder_service};
use super::group_view::group_view_service;
use super::listener::{find_published, start_listener};
use super::settings_feed::SettingsFeed;
use crate::control::Client;
use crate::entry::{
    EntryContext, Exchange, ExchangeOptions, Forwarder, add_endpoint_routes, add_health_routes,
    add_job_routes, add_service_routes, add_worker_routes, operators_router,
};
use crate::kernel::{Kernel, KernelBuilder, Service, StopFn};
use crate::settings::{EntrySettings, ListenerSettings};
use crate::telemetry::Metrics;

/// Starts the services of an entry.
///
/// Cancelling `leaving` makes the health check fail and asks clients to close their connections.
/// Stop the kernel once the load balancer has stopped sending requests.
///
/// # Errors
/// Returns which service failed to start, and why.
pub async fn start_entry(
    settings: impl Into<SettingsFeed<EntrySettings>>,
    metrics: Metrics,
    leaving: CancellationToken,
) -> Result<Kernel> {
    let feed = settings.into();
    let settings = feed.current();
    let control = Client::new(settings.control.clone());
    let run = ProcessRun::start();
    let started = KernelBuilder::default()
        .with(group_view_service(control.clone(), feed, |settings| {
            settings.control.clone()
        }))
        .with(exchange_service(Arc::clone(&settings), control, run))
        .with(forwarder_service(Arc::clone(&settings), run))
        .with(context_service(metrics, leaving))
        .with(listener_service(&settings, &OPERATORS))
        .with(listener_service(&settings, &FLEET))
        .with(listener_service(&settings, &CALLERS))
        .start()
        .await;
    started.map_err(|cause| cause.to_string())
}

/// Runs an entry until `stop` is cancelled, then shuts down gracefully.
///
/// The health check fails for `stop.balancer_wait_ms` before the listeners close, so that the load
/// balancer sends no request that would be lost.
#[must_use]
pub fn serve_entry(
    settings: SettingsFeed<EntrySettings>,
    metrics: Metrics,
    stop: CancellationToken,
) -> BoxFuture<'static, Result<()>> {
    async move {
        let wait_ms = settings.current().stop.balancer_wait_ms;
        let leaving = CancellationToken::new();
        let kernel = start_entry(settings, metrics, leaving.clone()).await?;
        stop.cancelled().await;
        leaving.cancel();
        info!(event = "leaving", balancer_wait_ms = wait_ms.get());
        sleep(wait_ms.duration()).await;
        kernel.stop().await;
        Ok(())
    }
    .boxed()
}

fn exchange_service(settings: Arc<EntrySettings>, control: Client, run: ProcessRun) -> Service {
    Service::new("exchange", &[], move |registry| async move {
        let options = ExchangeOptions::builder()
            .entry(settings.name.clone())
            .incarnation(run.incarnation)
            .zone(settings.zone.clone())
            .client(control)
            .clock(run.clock)
            .build();
        let exchange = Arc::new(Exchange::start(options));
        registry.publish("exchange", Arc::clone(&exchange));
        let stop: StopFn = Box::new(move || Box::pin(async move { exchange.leave().await }));
        Ok(stop)
    })
}

fn context_service(metrics: Metrics, leaving: CancellationToken) -> Service {
    let needs = ["exchange", "forwarder"];
    Service::new("context", &needs, move |registry| async move {
        let exchange = find_published::<Arc<Exchange>>(&registry, "exchange")?;
        let forwarder = find_published::<Arc<Forwarder>>(&registry, "forwarder")?;
        let context = EntryContext {
            exchange: Arc::clone(&exchange),
            forwarder: Arc::clone(&forwarder),
            metrics,
            leaving,
        };
        registry.publish("context", context);
        let stop: StopFn = Box::new(|| Box::pin(async {}));
        Ok(stop)
    })
}

/// A listener of an entry: its name, settings and routes.
struct EntryListener {
    name: &'static str,
    settings: fn(&EntrySettings) -> &ListenerSettings,
    router: fn(&Arc<EntryContext>) -> Router,
}

static OPERATORS: EntryListener = EntryListener {
    name: "operators",
    settings: |settings| &settings.operators,
    router: operators_router,
};

static FLEET: EntryListener = EntryListener {
    name: "fleet",
    settings: |settings| &settings.fleet,
    router: |context| {
        let relay = Arc::new(announcement_relay(&context.exchange));
        build_simple_router(|builder| {
            add_worker_routes(builder, context);
            add_endpoint_routes(builder, &relay);
        })
    },
};

static CALLERS: EntryListener = EntryListener {
    name: "callers",
    settings: |settings| &settings.callers,
    router: |context| {
        build_simple_router(|builder| {
            add_health_routes(builder, context);
            add_job_routes(builder, context);
            add_service_routes(builder, &context.forwarder);
        })
    },
};

fn listener_service(settings: &Arc<EntrySettings>, listener: &'static EntryListener) -> Service {
    let settings = Arc::clone(settings);
    Service::new(listener.name, &["context"], move |registry| async move {
        let context = find_published::<EntryContext>(&registry, "context")?;
        start_listener(
            &registry,
            listener.name,
            (listener.settings)(&settings).clone(),
            (listener.router)(&context),
            &context.leaving,
            settings.stop.drain_max_ms,
        )
        .await
    })
}
