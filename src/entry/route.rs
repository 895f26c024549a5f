use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;

use futures::future::BoxFuture;
use gotham::handler::{HandlerFuture, NewHandler};
use gotham::helpers::http::Body;
use gotham::state::State;
use http::{Response, StatusCode};
use smol_str::{SmolStr, format_smolstr};

use super::body::BodyError;
use super::response::error_response;
use crate::control::ControlError;
use crate::request_ledger::Outcome;

/// Result of a route: a response, or an error that becomes one.
pub type RouteResult = std::result::Result<Response<Body>, HttpError>;
/// Future of a route that handles one request.
pub type RouteFuture<'a> = BoxFuture<'a, RouteResult>;
/// Function that handles the requests of a route.
pub type RouteFn<C> = for<'a> fn(&'a C, &'a mut State) -> RouteFuture<'a>;

/// An error response that explains why the request was not carried out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpError {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable machine-readable code.
    pub code: SmolStr,
    /// Human-readable explanation.
    pub message: SmolStr,
    /// Whether the work ran, for requests that ask for work.
    pub outcome: Option<Outcome>,
}

impl HttpError {
    /// Creates an error without an outcome.
    pub fn new(status: StatusCode, code: &str, message: impl Into<SmolStr>) -> Self {
        Self {
            status,
            code: code.into(),
            message: message.into(),
            outcome: None,
        }
    }

    /// Adds the outcome of the work, for requests that ask for work.
    #[must_use]
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome);
        self
    }
}

impl From<BodyError> for HttpError {
    fn from(fault: BodyError) -> Self {
        let (status, code) = fault.status_and_code();
        Self::new(status, code, format_smolstr!("{fault}"))
    }
}

impl From<ControlError> for HttpError {
    fn from(error: ControlError) -> Self {
        let code = match error {
            ControlError::NotLeader { .. } => "no_leader",
            ControlError::Uncertain => "uncertain",
            ControlError::Refused { .. } => "refused",
            ControlError::Unreachable => "unreachable",
            ControlError::Expired => "expired",
        };
        let message = format_smolstr!("{error}");
        Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
    }
}

/// Creates a gotham handler from a route's function and its shared state.
pub fn route<C: Send + Sync + 'static>(
    context: &Arc<C>,
    function: RouteFn<C>,
) -> impl NewHandler + use<C> {
    let context = AssertUnwindSafe(Arc::clone(context));
    move || {
        let context = Arc::clone(&context);
        let handler = move |mut state: State| -> Pin<Box<HandlerFuture>> {
            Box::pin(async move {
                let answer = function(&context, &mut state).await;
                let answer = answer.unwrap_or_else(|error| {
                    let HttpError {
                        status,
                        code,
                        message,
                        outcome,
                    } = error;
                    error_response(status, &code, message, outcome)
                });
                Ok((state, answer))
            })
        };
        Ok(handler)
    }
}
