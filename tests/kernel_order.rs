//! Services start behind what they need, find each other by name and stop in reverse.

use std::sync::{Arc, Mutex};

use marjoramknot::kernel::{KernelBuilder, KernelError, Service};
use rstest::rstest;

type Journal = Arc<Mutex<Vec<String>>>;

fn note(journal: &Journal, line: String) {
    journal
        .lock()
        .expect("no test thread panics with the journal")
        .push(line);
}

fn service(name: &'static str, dependencies: &[&str], journal: &Journal) -> Service {
    let journal = Arc::clone(journal);
    Service::new(name, dependencies, move |registry| async move {
        registry.publish(name, name.len());
        note(&journal, format!("start {name}"));
        let stop: marjoramknot::kernel::StopFn = Box::new(move || {
            Box::pin(async move {
                note(&journal, format!("stop {name}"));
            })
        });
        Ok(stop)
    })
}

fn broken(name: &'static str, dependencies: &[&str]) -> Service {
    Service::new(name, dependencies, |_registry| async {
        Err("no address".to_owned())
    })
}

#[tokio::test]
async fn start_and_stop() {
    let journal = Journal::default();
    let kernel = KernelBuilder::default()
        .with(service("entry", &["router", "clock"], &journal))
        .with(service("router", &["clock"], &journal))
        .with(service("clock", &[], &journal))
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
    let lines = journal
        .lock()
        .expect("no test thread panics with the journal")
        .join(", ");
    assert_eq!(
        lines,
        "start clock, start router, start entry, stop entry, stop router, stop clock"
    );
}

#[tokio::test]
async fn failed_start() {
    let journal = Journal::default();
    let error = KernelBuilder::default()
        .with(service("clock", &[], &journal))
        .with(broken("router", &["clock"]))
        .start()
        .await
        .expect_err("the router fails");
    assert_eq!(
        error.to_string(),
        "service router failed to start: no address"
    );
    let lines = journal
        .lock()
        .expect("no test thread panics with the journal")
        .join(", ");
    assert_eq!(lines, "start clock, stop clock");
}

#[rstest]
#[case(&[("a", "b"), ("b", "a")], "services need each other in a circle: a, b")]
#[case(&[("a", "c")], "service a needs c, which is not registered")]
#[tokio::test]
async fn bad_dependencies(
    #[case] services: &[(&'static str, &'static str)],
    #[case] message: &str,
) {
    let mut builder = KernelBuilder::default();
    for (name, need) in services {
        builder = builder.with(broken(name, &[need]));
    }
    let error = builder
        .start()
        .await
        .expect_err("the dependencies are invalid");
    assert_eq!(error.to_string(), message);
}

#[tokio::test]
async fn name_twice() {
    let builder = KernelBuilder::default()
        .with(broken("a", &[]))
        .with(broken("a", &[]));
    let error = builder.start().await.expect_err("the names clash");
    assert_eq!(error, KernelError::DuplicateName { name: "a".into() });
}
