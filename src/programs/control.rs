use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::state::State;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::Result;
use super::listener::{find_published, start_listener};
use super::settings_feed::SettingsFeed;
use crate::control::{ControlOptions, ControlService, SharedStateMachine};
use crate::entry::{RouteFuture, json_response, route, text_response};
use crate::kernel::{Kernel, KernelBuilder, Service, StopFn};
use crate::replica::{self, Handle, Peer, ReplicaOptions, StateMachineHooks};
use crate::settings::{ControlSettings, SeedSettings};
use crate::telemetry::Metrics;
use crate::units::Millis;

/// Maximum time for requests of operators to finish during shutdown.
const OPERATORS_DRAIN_MAX_MS: Millis = Millis(5_000);

/// Starts the services of a control replica.
///
/// # Errors
/// Returns which service failed to start, and why.
pub async fn start_control(settings: ControlSettings, metrics: Metrics) -> Result<Kernel> {
    let settings = Arc::new(settings);
    let started = control_services(&settings)
        .with(operators_service(settings, metrics))
        .start()
        .await;
    started.map_err(|cause| cause.to_string())
}

/// Returns the services of a control replica except its listener for operators.
///
/// The replica's handle is published as `replica`, the workload's handle as `work`.
#[must_use]
pub fn control_services(settings: &Arc<ControlSettings>) -> KernelBuilder {
    KernelBuilder::default()
        .with(replica_service(Arc::clone(settings)))
        .with(control_service(Arc::clone(settings)))
}

/// Runs a control replica until `stop` is cancelled, then hands over leadership and stops.
#[must_use]
pub fn serve_control(
    settings: SettingsFeed<ControlSettings>,
    metrics: Metrics,
    stop: CancellationToken,
) -> BoxFuture<'static, Result<()>> {
    async move {
        let settings = ControlSettings::clone(&settings.current());
        let kernel = start_control(settings, metrics).await?;
        stop.cancelled().await;
        kernel.stop().await;
        Ok(())
    }
    .boxed()
}

fn replica_service(settings: Arc<ControlSettings>) -> Service {
    Service::new("replica", &[], move |registry| async move {
        let machine = SharedStateMachine::default();
        let shutdown = CancellationToken::new();
        let started =
            start_on_own_thread(options(&settings), machine.hooks(), shutdown.clone()).await;
        let (handle, running) = started?;
        registry.publish("replica", handle);
        registry.publish("machine", machine);
        let stop: StopFn = Box::new(move || {
            Box::pin(async move {
                shutdown.cancel();
                drop(running.await);
            })
        });
        Ok(stop)
    })
}

/// Starts the replica on a thread of its own.
///
/// Otherwise its messages would wait behind thousands of reports and reconnecting workers, and an
/// overloaded leader would lose its lease and be replaced, which sends all workers to the next one.
async fn start_on_own_thread(
    options: ReplicaOptions,
    hooks: StateMachineHooks,
    shutdown: CancellationToken,
) -> Result<(Handle, oneshot::Receiver<()>)> {
    let (started, result) = oneshot::channel();
    let (ended, running) = oneshot::channel::<()>();
    let run = move || {
        let runtime = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(cause) => {
                drop(started.send(Err(cause.to_string())));
                return;
            }
        };
        runtime.block_on(async move {
            match replica::start(options, hooks, shutdown).await {
                Ok((handle, task)) => {
                    drop(started.send(Ok(handle)));
                    drop(task.await);
                }
                Err(cause) => drop(started.send(Err(cause.to_string()))),
            }
        });
        drop(ended);
    };
    let thread = std::thread::Builder::new().name("replica".to_owned());
    thread.spawn(run).map_err(|cause| cause.to_string())?;
    let handle = result.await.map_err(|cause| cause.to_string())??;
    Ok((handle, running))
}

fn options(settings: &ControlSettings) -> ReplicaOptions {
    let peers = settings.replicas.iter().map(|replica| Peer {
        name: replica.name.clone(),
        peer_address: replica.peers,
        control_address: replica.entries,
    });
    let own = settings.own_addresses();
    let seeded = settings.seeded.as_ref();
    ReplicaOptions::builder()
        .maybe_host_ports(seeded.map(|seeded| seeded.ports))
        .maybe_target_voters(seeded.map(SeedSettings::target_voters))
        .maybe_replace_after_ms(seeded.map(SeedSettings::replace_after_ms))
        .maybe_election_min_ms(seeded.map(|seeded| seeded.election_ms))
        .maybe_election_max_ms(seeded.map(SeedSettings::election_max_ms))
        .maybe_heartbeat_ms(seeded.map(SeedSettings::heartbeat_ms))
        .may_bootstrap(seeded.is_none_or(SeedSettings::may_bootstrap))
        .name(settings.name.clone())
        .listen(seeded.map_or(own.peers, |seeded| seeded.listen_addresses().0))
        .control_address(own.entries)
        .peers(peers.collect())
        .data_folder(settings.data_folder.clone())
        .seed(rand::random())
        .build()
}

fn control_service(settings: Arc<ControlSettings>) -> Service {
    Service::new("control", &["replica"], move |registry| async move {
        let replica = find_published::<Handle>(&registry, "replica")?;
        let machine = find_published::<SharedStateMachine>(&registry, "machine")?;
        let seeded = settings.seeded.as_ref();
        let address = seeded.map_or(settings.own_addresses().entries, |seeded| {
            seeded.listen_addresses().1
        });
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(|cause| format!("cannot listen on {address}: {cause}"))?;
        let options = ControlOptions::builder()
            .planner(settings.planner.clone())
            .build();
        let (replica, machine) = (Handle::clone(&replica), SharedStateMachine::clone(&machine));
        let service = ControlService::start(options, replica, machine, listener)
            .map_err(|cause| cause.to_string())?;
        registry.publish("work", service.workload());
        let stop: StopFn = Box::new(move || Box::pin(service.stop()));
        Ok(stop)
    })
}

fn operators_service(settings: Arc<ControlSettings>, metrics: Metrics) -> Service {
    Service::new("operators", &["replica"], move |registry| async move {
        let replica = find_published::<Handle>(&registry, "replica")?;
        let context = Arc::new(OperatorsContext { replica, metrics });
        let router = operators_router(&context);
        let listener = settings.operators.clone();
        let leaving = CancellationToken::new();
        start_listener(
            &registry,
            "operators",
            listener,
            router,
            &leaving,
            OPERATORS_DRAIN_MAX_MS,
        )
        .await
    })
}

/// Shared state of the operators' routes.
struct OperatorsContext {
    replica: Arc<Handle>,
    metrics: Metrics,
}

fn operators_router(context: &Arc<OperatorsContext>) -> Router {
    build_simple_router(|builder| {
        builder
            .get("/health/live")
            .to_new_handler(route(context, liveness));
        builder
            .get("/v1/group")
            .to_new_handler(route(context, group));
        builder
            .get("/metrics")
            .to_new_handler(route(context, metrics));
    })
}

fn liveness<'a>(_context: &'a OperatorsContext, _state: &'a mut State) -> RouteFuture<'a> {
    async { Ok(text_response(StatusCode::OK, "live\n".to_owned())) }.boxed()
}

fn group<'a>(context: &'a OperatorsContext, _state: &'a mut State) -> RouteFuture<'a> {
    async { Ok(json_response(StatusCode::OK, &context.replica.status())) }.boxed()
}

fn metrics<'a>(context: &'a OperatorsContext, _state: &'a mut State) -> RouteFuture<'a> {
    async { Ok(text_response(StatusCode::OK, context.metrics.render())) }.boxed()
}
