//! A service endpoint that responds over HTTP and announces itself to entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures::FutureExt;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::state::{FromState, State};
use http::{HeaderMap, Method, StatusCode};
use marjoramknot::entry::{
    Listener, ListenerHandle, RouteFuture, RouteResult, read_body, route, text_response,
};
use marjoramknot::fleet::EndpointAnnouncement;
use marjoramknot::settings::ListenerSettings;
use marjoramknot::units::{Incarnation, Sequence, Slots};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::http_client::HttpClient;

/// Headers by which a response is matched to its request.
const ECHOED_HEADERS: [&str; 2] = ["marjoramknot-request-id", "marjoramknot-attempt"];
/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// A running endpoint.
pub struct HttpEndpoint {
    pub address: SocketAddr,
    pub name: &'static str,
    /// Number of requests that ran.
    pub ran: Arc<AtomicU32>,
    /// Releases requests to `/slow`, one per permit.
    pub gate: Arc<Semaphore>,
    _listener: ListenerHandle,
}

struct Work {
    ran: Arc<AtomicU32>,
    gate: Arc<Semaphore>,
}

impl HttpEndpoint {
    /// Starts an endpoint on a free port.
    pub async fn start(name: &'static str) -> Self {
        let settings = ListenerSettings::with_defaults(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = Listener::bind("endpoint", settings).await;
        let listener = listener.expect("a free port is bound");
        let ran = Arc::new(AtomicU32::new(0));
        let gate = Arc::new(Semaphore::new(0));
        let work = Arc::new(Work {
            ran: Arc::clone(&ran),
            gate: Arc::clone(&gate),
        });
        let router = build_simple_router(|builder| {
            builder.post("/bookings").to_new_handler(route(&work, book));
            builder
                .post("/slow")
                .to_new_handler(route(&work, book_slowly));
        });
        let address = listener.address();
        let listener = listener.serve(router, &CancellationToken::new());
        Self {
            address,
            name,
            ran,
            gate,
            _listener: listener,
        }
    }

    /// Announces the endpoint to the entries in turn until the future is dropped.
    pub async fn announce(&self, service: &str, zone: &str, entries: Vec<SocketAddr>) {
        let http = HttpClient::default();
        let mut announcement = EndpointAnnouncement {
            endpoint: self.name.parse().expect("the name is an id"),
            service: service.parse().expect("the name is an id"),
            zone: zone.parse().expect("the name is an id"),
            address: self.address,
            incarnation: Incarnation(1),
            sequence: Sequence::ZERO,
            slots: Slots(8),
            connections: Slots(64),
            slots_used: Slots::ZERO,
            connections_used: Slots::ZERO,
            leaving: false,
        };
        for entry in entries.iter().cycle() {
            announcement.sequence = announcement.sequence.next();
            let body = serde_json::to_vec(&announcement).expect("an announcement is JSON");
            let path = "/v1/endpoints/announce";
            // If an announcement is lost, the next one replaces it.
            let _answer = http.send(Method::POST, *entry, path, &[], body).await;
            sleep(ANNOUNCE_INTERVAL).await;
        }
    }
}

fn book<'a>(work: &'a Work, state: &'a mut State) -> RouteFuture<'a> {
    async {
        let count = work.ran.fetch_add(1, Ordering::Relaxed) + 1;
        answer(state, count).await
    }
    .boxed()
}

fn book_slowly<'a>(work: &'a Work, state: &'a mut State) -> RouteFuture<'a> {
    async {
        let count = work.ran.fetch_add(1, Ordering::Relaxed) + 1;
        let permit = work.gate.acquire().await;
        permit.expect("the semaphore is never closed").forget();
        answer(state, count).await
    }
    .boxed()
}

async fn answer(state: &mut State, count: u32) -> RouteResult {
    let headers = HeaderMap::borrow_from(state).clone();
    let body = read_body(state).await?;
    let text = format!("booking {count}: {}", String::from_utf8_lossy(&body));
    let mut answer = text_response(StatusCode::OK, text);
    for name in ECHOED_HEADERS {
        if let Some(value) = headers.get(name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    Ok(answer)
}
