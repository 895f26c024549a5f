use std::str::FromStr;
use std::sync::Arc;

use futures::FutureExt;
use gotham::helpers::http::Body;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, RouterBuilder};
use gotham::state::{FromState, State};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Uri};
use smol_str::{SmolStr, format_smolstr};
use tracing::{debug, info};

use super::body::read_body;
use super::endpoint_client::{DEADLINE_MS, IDEMPOTENT, OUTCOME, REQUEST_ID, TEAM};
use super::forward::Forwarder;
use super::forward_idempotent::into_response;
use super::forward_request::{CallerRequest, ForwardError, ForwardResponse};
use super::response::{StreamedResponse, error_response};
use super::route::{HttpError, RouteFuture, route};
use crate::request_ledger::Outcome;
use crate::telemetry::record_request;
use crate::units::{Millis, RequestId, ServiceName, TeamId, WallMs};

/// Header with the time at which the caller created the request id, in milliseconds since the Unix
/// epoch.
const MADE_MS: &str = "marjoramknot-made-ms";
/// Path prefix of requests to services.
const SERVICES_PREFIX: &str = "/v1/services/";
/// Deadline of requests to services that this entry does not know yet.
const DEADLINE_DEFAULT_MS: Millis = Millis(60_000);
/// Maximum length of path and query in bytes.
const PATH_BYTES_MAX: usize = 4_096;

/// State shared by the service routes.
#[derive(Debug)]
struct ServiceRoutes {
    forwarder: Arc<Forwarder>,
}

/// Adds the callers' routes for requests to services; see docs/INTERFACES.md.
pub fn add_service_routes(builder: &mut RouterBuilder<'_, (), ()>, forwarder: &Arc<Forwarder>) {
    let routes = Arc::new(ServiceRoutes {
        forwarder: Arc::clone(forwarder),
    });
    let methods = || vec![Method::GET, Method::POST, Method::PUT, Method::DELETE];
    for path in ["/v1/services/:service", "/v1/services/:service/*"] {
        builder
            .request(methods(), path)
            .to_new_handler(route(&routes, call_service));
    }
}

fn call_service<'a>(routes: &'a ServiceRoutes, state: &'a mut State) -> RouteFuture<'a> {
    let forwarder = &routes.forwarder;
    async move {
        let arrived_ms = forwarder.now();
        let request = read_request(forwarder, state).await;
        let request = match request {
            Ok(request) => request,
            Err(error) => return Ok(invalid_request_response(&error)),
        };
        let (team, service, id) = (
            request.team.clone(),
            request.service.clone(),
            request.id.clone(),
        );
        let response = forwarder.forward(request).await;
        let took_ms = forwarder.now().since(arrived_ms);
        log_response(&response, &team, &service, &id, took_ms);
        if forwarder.has_team(&team) && forwarder.deadline_max(&service).is_some() {
            record_request(&team, &service, took_ms);
        }
        Ok(to_http_response(response, &id))
    }
    .boxed()
}

/// Logs how a request ended.
///
/// Only requests that may have run without a complete response are logged at info level, because
/// their callers may have to investigate. Requests that did not run are logged at debug level, so
/// that an overload does not flood the log.
fn log_response(
    response: &ForwardResponse,
    team: &TeamId,
    service: &ServiceName,
    request: &RequestId,
    took_ms: Millis,
) {
    match response {
        ForwardResponse::Completed { status, .. } => {
            debug!(event = "request_answered", %request, %team, %service, %status, %took_ms);
        }
        ForwardResponse::Failed(error) if error.outcome == Outcome::NotRun => {
            let code = error.code;
            debug!(event = "request_not_run", %request, %team, %service, code, %took_ms);
        }
        ForwardResponse::Failed(error) => {
            let (code, outcome) = (error.code, error.outcome);
            info!(event = "request_lost", %request, %team, %service, code, %outcome, %took_ms);
        }
    }
}

/// Reads and validates a caller's request.
///
/// # Errors
/// Returns an error if a header is missing or malformed, or if the body is too large or too slow.
/// No part of the request has run in that case.
pub async fn read_request(
    forwarder: &Forwarder,
    state: &mut State,
) -> Result<CallerRequest, HttpError> {
    let now = forwarder.now();
    let headers = HeaderMap::borrow_from(state).clone();
    let (service, path) = split_service_path(Uri::borrow_from(state))?;
    let idempotent = optional(&headers, IDEMPOTENT)?.unwrap_or(false);
    let made_ms = optional::<u64>(&headers, MADE_MS)?.map(WallMs);
    if !idempotent && made_ms.is_none() {
        let message = format_smolstr!("{MADE_MS} is needed where {IDEMPOTENT} is not true");
        return Err(malformed(message));
    }
    let longest_ms = forwarder
        .deadline_max(&service)
        .unwrap_or(DEADLINE_DEFAULT_MS);
    let asked_ms = optional::<u64>(&headers, DEADLINE_MS)?.map(Millis);
    let deadline_ms = now.saturating_add(asked_ms.unwrap_or(longest_ms).min(longest_ms));
    let team: TeamId = required(&headers, TEAM)?;
    let id: RequestId = required(&headers, REQUEST_ID)?;
    let method = Method::borrow_from(state).clone();
    let body = read_body(state).await?;
    Ok(CallerRequest {
        team,
        service,
        id,
        idempotent,
        made_ms,
        deadline_ms,
        method,
        path,
        content_type: headers.get(CONTENT_TYPE).cloned(),
        body,
    })
}

/// Splits a path into the service name and the path and query for its endpoint.
fn split_service_path(uri: &Uri) -> Result<(ServiceName, SmolStr), HttpError> {
    let whole = uri.path_and_query().map_or("", |path| path.as_str());
    if whole.len() > PATH_BYTES_MAX {
        let message = format_smolstr!("the path has more than {PATH_BYTES_MAX} bytes");
        return Err(malformed(message));
    }
    let rest = whole.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let service = name.parse();
    let service = service.map_err(|fault| malformed(format_smolstr!("the service {fault}")))?;
    let path = if path.starts_with('/') {
        SmolStr::new(path)
    } else {
        format_smolstr!("/{path}")
    };
    Ok((service, path))
}

fn required<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<T, HttpError> {
    optional(headers, name)?.ok_or_else(|| malformed(format_smolstr!("{name} is missing")))
}

fn optional<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, HttpError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(format_smolstr!("{name} is given twice")));
    }
    let text = std::str::from_utf8(value.as_bytes()).ok();
    let parsed = text.and_then(|text| text.parse().ok());
    match parsed {
        Some(parsed) => Ok(Some(parsed)),
        None => Err(malformed(format_smolstr!("{name} cannot be read"))),
    }
}

fn malformed(message: SmolStr) -> HttpError {
    HttpError::new(StatusCode::BAD_REQUEST, "malformed", message)
}

/// Converts the result into an HTTP response. Every failure names the outcome of the work.
fn to_http_response(response: ForwardResponse, id: &RequestId) -> Response<Body> {
    let mut response = match response {
        ForwardResponse::Completed {
            status,
            headers,
            body,
            streamed,
        } => {
            let mut response = into_response(status, headers, body);
            if streamed {
                response.extensions_mut().insert(StreamedResponse);
            }
            response
        }
        ForwardResponse::Failed(error) => error_to_response(error),
    };
    set_header(&mut response, REQUEST_ID, id.as_str());
    response
}

/// Builds the response to a request that could not be read, so that none of it ran.
fn invalid_request_response(error: &HttpError) -> Response<Body> {
    let not_run = Some(Outcome::NotRun);
    let message = error.message.clone();
    let mut response = error_response(error.status, &error.code, message, not_run);
    set_header(&mut response, OUTCOME, &Outcome::NotRun.to_string());
    response
}

fn error_to_response(error: ForwardError) -> Response<Body> {
    let ForwardError {
        status,
        code,
        message,
        outcome,
        retry_after_ms,
    } = error;
    let mut response = error_response(status, code, message, Some(outcome));
    set_header(&mut response, OUTCOME, &outcome.to_string());
    response.headers_mut().remove(RETRY_AFTER);
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = retry_after_ms.get().div_ceil(1_000).max(1);
        set_header(&mut response, RETRY_AFTER.as_str(), &seconds.to_string());
    }
    response
}

fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    let value = HeaderValue::try_from(value).expect("ids and numbers are valid header values");
    response.headers_mut().insert(name, value);
}
