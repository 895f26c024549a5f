//! Tests that services start after their dependencies, are found by name and stop in reverse order.

use std::sync::{Arc, Mutex};

use marjoramknot::kernel::{KernelBuilder, KernelError, Service};
use rstest::rstest;

type Events = Arc<Mutex<Vec<String>>>;

fn record(events: &Events, line: String) {
    events
        .lock()
        .expect("no thread panics while it holds the lock")
        .push(line);
}

fn service(name: &'static str, dependencies: &[&str], events: &Events) -> Service {
    let events = Arc::clone(events);
    Service::new(name, dependencies, move |registry| async move {
        registry.publish(name, name.len());
        record(&events, format!("start {name}"));
        let stop: marjoramknot::kernel::StopFn = Box::new(move || {
            Box::pin(async move {
                record(&events, format!("stop {name}"));
            })
        });
        Ok(stop)
    })
}

fn failing_service(name: &'static str, dependencies: &[&str]) -> Service {
    Service::new(name, dependencies, |_registry| async {
        Err("no address".to_owned())
    })
}

#[tokio::test]
async fn start_and_stop() {
    let events = Events::default();
    let kernel = KernelBuilder::default()
        .with(service("entry", &["router", "clock"], &events))
        .with(service("router", &["clock"], &events))
        .with(service("clock", &[], &events))
        .start()
        .await
        .expect("all dependencies are registered");
    assert_eq!(
        *kernel
            .registry()
            .find::<usize>("router")
            .expect("the router is published"),
        6
    );
    let error = kernel
        .registry()
        .find::<String>("router")
        .expect_err("the type differs");
    assert_eq!(
        error,
        KernelError::NotFound {
            name: "router".into()
        }
    );
    kernel.stop().await;
    let lines = events
        .lock()
        .expect("no thread panics while it holds the lock")
        .join(", ");
    assert_eq!(
        lines,
        "start clock, start router, start entry, stop entry, stop router, stop clock"
    );
}

#[tokio::test]
async fn failed_start_stops_started_services() {
    let events = Events::default();
    let error = KernelBuilder::default()
        .with(service("clock", &[], &events))
        .with(failing_service("router", &["clock"]))
        .start()
        .await
        .expect_err("the router fails");
    assert_eq!(
        error.to_string(),
        "service router failed to start: no address"
    );
    let lines = events
        .lock()
        .expect("no thread panics while it holds the lock")
        .join(", ");
    assert_eq!(lines, "start clock, stop clock");
}

#[rstest]
#[case(&[("a", "b"), ("b", "a")], "services depend on each other in a cycle: a, b")]
#[case(&[("a", "c")], "service a depends on c, which is not registered")]
#[tokio::test]
async fn bad_dependencies(
    #[case] services: &[(&'static str, &'static str)],
    #[case] message: &str,
) {
    let mut builder = KernelBuilder::default();
    for (name, need) in services {
        builder = builder.with(failing_service(name, &[need]));
    }
    let error = builder
        .start()
        .await
        .expect_err("the dependencies are invalid");
    assert_eq!(error.to_string(), message);
}

#[tokio::test]
async fn duplicate_name() {
    let builder = KernelBuilder::default()
        .with(failing_service("a", &[]))
        .with(failing_service("a", &[]));
    let error = builder.start().await.expect_err("the names are duplicated");
    assert_eq!(error, KernelError::DuplicateName { name: "a".into() });
}
