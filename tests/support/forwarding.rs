//! Forwarders of one or more entries in front of fake endpoints, with a ledger in this process.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use marjoramknot::control::{ControlError, EndpointCapacity, EndpointShare};
use marjoramknot::entry::{CallerRequest, ForwardOptions, ForwardResponse, Forwarder};
use marjoramknot::kernel::Clock;
use marjoramknot::release_note::ClusterConfig;
use marjoramknot::request_ledger::{Ledger, Outcome, RecordState};
use marjoramknot::router::RouterView;
use marjoramknot::units::{Incarnation, Millis, Revision, Slots, WallMs};

use crate::fake_endpoint::FakeEndpoint;
use crate::shares;

/// A fake control group: a ledger that can be unreachable or lose its answers.
#[derive(Debug, Default)]
pub struct FakeControl {
    pub ledger: Mutex<Ledger>,
    /// Offset added to the ledger's clock.
    pub skew_ms: AtomicU32,
    pub unreachable: AtomicBool,
    /// Number of upcoming commits that take effect although their answers are lost.
    pub lose_answers: AtomicU32,
    /// Number of begin requests received.
    pub begins: AtomicU32,
    /// States of the committed finish requests.
    pub finishes: Mutex<Vec<RecordState>>,
}

impl FakeControl {
    pub fn call<T>(&self, apply: impl FnOnce(&mut Ledger, WallMs) -> T) -> Result<T, ControlError> {
        if self.unreachable.load(Ordering::Acquire) {
            return Err(ControlError::Unreachable);
        }
        let now = WallMs(wall_clock().0 + u64::from(self.skew_ms.load(Ordering::Acquire)));
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = apply(&mut ledger, now);
        let lost = self
            .lose_answers
            .try_update(Ordering::AcqRel, Ordering::Acquire, |left| {
                left.checked_sub(1)
            });
        if lost.is_ok() {
            return Err(ControlError::Uncertain);
        }
        Ok(answer)
    }

    /// Restarts the control group from its serialized state.
    pub fn restart(&self) {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        let bytes = postcard::to_stdvec(&*ledger).expect("a ledger serializes");
        *ledger = postcard::from_bytes(&bytes).expect("a ledger deserializes");
    }
}

/// An entry's forwarder with its own view.
#[derive(Debug)]
pub struct TestEntry {
    pub forwarder: Arc<Forwarder>,
    pub clock: Clock,
    pub in_force: ClusterConfig,
    pub shares: Vec<EndpointShare>,
    pub granted_until_ms: Millis,
}

impl TestEntry {
    /// Creates an entry with 8 slots and 64 connections on each endpoint and an unlimited grant.
    pub fn new(name: &str, control: &Arc<FakeControl>, endpoints: &[&FakeEndpoint]) -> Self {
        let clock = Clock::start();
        let mut in_force = shares::in_force();
        in_force.revision = Revision(1);
        let shares = endpoints.iter().enumerate();
        let entry = Self {
            forwarder: Forwarder::start(options(name, control, clock)),
            clock,
            in_force,
            shares: shares
                .map(|(number, endpoint)| share(number, endpoint))
                .collect(),
            granted_until_ms: Millis::MAX,
        };
        entry.update_view();
        entry
    }

    /// Passes the current view to the forwarder.
    pub fn update_view(&self) {
        self.forwarder.update_view(RouterView {
            in_force: Arc::new(self.in_force.clone()),
            shares: Arc::new(self.shares.clone()),
            shares_version: 1,
            granted_until_ms: self.granted_until_ms,
        });
    }

    pub fn request(&self, id: &str, within: Duration) -> CallerRequest {
        CallerRequest {
            team: "regatta".parse().expect("the team is an id"),
            service: "booking".parse().expect("the service is an id"),
            id: id.parse().expect("the request is an id"),
            idempotent: true,
            made_ms: None,
            deadline_ms: self.clock.now().saturating_add(within.into()),
            method: Method::POST,
            path: "/ponds/4".into(),
            content_type: None,
            body: Bytes::from_static(b"heat 2"),
        }
    }

    /// Creates a non-idempotent request whose id was created now.
    pub fn at_most_once(&self, id: &str, within: Duration) -> CallerRequest {
        CallerRequest {
            idempotent: false,
            made_ms: Some(made_ms(id)),
            ..self.request(id, within)
        }
    }

    pub async fn send(&self, request: CallerRequest) -> CallerResult {
        read_response(self.forwarder.forward(request).await).await
    }
}

/// Creation time of an id: the same for each resend of a test.
fn made_ms(_id: &str) -> WallMs {
    static MADE: std::sync::OnceLock<WallMs> = std::sync::OnceLock::new();
    *MADE.get_or_init(wall_clock)
}

/// The result of a request as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerResult {
    /// A complete response.
    Complete(u16, String),
    /// A response body that broke off after this many bytes.
    Truncated(usize),
    /// No response, with the outcome and the error code.
    Failed(Outcome, &'static str),
}

pub async fn read_response(answer: ForwardResponse) -> CallerResult {
    match answer {
        ForwardResponse::Completed { status, body, .. } => read(status, body).await,
        ForwardResponse::Failed(refusal) => CallerResult::Failed(refusal.outcome, refusal.code),
    }
}

async fn read(status: StatusCode, mut body: gotham::helpers::http::Body) -> CallerResult {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_early) => return CallerResult::Truncated(bytes.len()),
        }
    }
    CallerResult::Complete(
        status.as_u16(),
        String::from_utf8_lossy(&bytes).into_owned(),
    )
}

/// The response of a fake endpoint to the requests above.
pub fn expected_response() -> CallerResult {
    CallerResult::Complete(200, "/ponds/4 heat 2".into())
}

fn options(name: &str, control: &Arc<FakeControl>, clock: Clock) -> ForwardOptions {
    let (begin, finish) = (Arc::clone(control), Arc::clone(control));
    ForwardOptions::builder()
        .entry(name.parse().expect("the entry is an id"))
        .incarnation(Incarnation(1))
        .clock(clock)
        .begin(Arc::new(move |request| {
            let answer = begin.call(|ledger, now| ledger.begin(&request, now));
            begin.begins.fetch_add(1, Ordering::AcqRel);
            async { answer }.boxed()
        }))
        .finish(Arc::new(move |request| {
            let answer = finish.call(|ledger, now| ledger.finish(&request, now));
            if answer.is_ok() {
                let mut finishes = finish
                    .finishes
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                finishes.push(request.state);
            }
            async { answer }.boxed()
        }))
        .report_usage(Arc::new(|_uses| {}))
        .build()
}

/// A share with all slots and connections of a fake endpoint.
pub fn share(number: usize, endpoint: &FakeEndpoint) -> EndpointShare {
    let announced = shares::announcement(u16::try_from(number).expect("few endpoints"));
    EndpointShare {
        endpoint: announced.endpoint,
        incarnation: announced.incarnation,
        address: endpoint.address,
        service: announced.service,
        zone: announced.zone,
        slots: Slots(8),
        connections: Slots(64),
        leaving: false,
        abandoned_acked: EndpointCapacity::default(),
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("condition not met within 10 s: {what}");
}

pub fn wall_clock() -> WallMs {
    Clock::start().wall()
}
