use futures::FutureExt;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder};
use gotham::state::State;
use http::StatusCode;
use std::sync::Arc;

use super::context::EntryContext;
use super::response::{json_response, text_response};
use super::route::{RouteFuture, route};

/// Body of a readiness check.
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Health {
    /// Whether the load balancer should send callers here.
    pub ready: bool,
    /// Whether this entry holds a grant.
    pub grant: bool,
    /// Whether a planned stop has begun.
    pub leaving: bool,
}

/// Adds the health routes, which the load balancer queries.
pub fn add_health_routes(builder: &mut RouterBuilder<'_, (), ()>, context: &Arc<EntryContext>) {
    builder
        .get("/health/live")
        .to_new_handler(route(context, live));
    builder
        .get("/health/ready")
        .to_new_handler(route(context, ready));
}

/// Adds the metrics route.
pub fn add_metrics_route(builder: &mut RouterBuilder<'_, (), ()>, context: &Arc<EntryContext>) {
    builder
        .get("/metrics")
        .to_new_handler(route(context, metrics));
}

fn live<'a>(_context: &'a EntryContext, _state: &'a mut State) -> RouteFuture<'a> {
    async { Ok(text_response(StatusCode::OK, "live\n".to_owned())) }.boxed()
}

fn ready<'a>(context: &'a EntryContext, _state: &'a mut State) -> RouteFuture<'a> {
    async {
        let grant = context.exchange.may_start();
        let leaving = context.leaving.is_cancelled();
        let health = Health {
            ready: grant && !leaving,
            grant,
            leaving,
        };
        let status = if health.ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Ok(json_response(status, &health))
    }
    .boxed()
}

fn metrics<'a>(context: &'a EntryContext, _state: &'a mut State) -> RouteFuture<'a> {
    async { Ok(text_response(StatusCode::OK, context.metrics.render())) }.boxed()
}
