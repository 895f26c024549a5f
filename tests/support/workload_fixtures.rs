//! A declaration and jobs shared by the tests of the workload.

use marjoramknot::units::Millis;
use marjoramknot::workload::{
    Declaration, JobSpec, Queue, QueuePath, QueuePolicy, ResourceLimits, Resources, Service, Step,
    Team,
};

pub fn resources(cores: u64, accelerators: u64) -> Resources {
    Resources {
        cpu_millicores: cores * 1_000,
        memory_mb: cores * 100,
        accelerators,
    }
}

pub fn step(tasks: u32, accelerators: u64) -> Step {
    Step {
        tasks,
        demand: resources(1, accelerators),
        estimate_ms: Millis(1_000),
        ..Step::default()
    }
}

pub fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec {
        payload: "work".into(),
        steps,
        schedule: None,
    }
}

/// Three queues, one urgent, and two teams, one with a guarantee.
pub fn declaration() -> Declaration {
    let queue = |prefix: &str, priority| Queue {
        name: prefix.into(),
        path: path(prefix),
        policy: QueuePolicy {
            service: "ponds".parse().expect("a valid id"),
            priority,
            attempts_max: 3,
            stretch_percent: 150,
            target_ms: Millis(800),
        },
        timeout_ms: Millis(3_000),
        public: false,
    };
    let team = |name: &str, guaranteed| Team {
        name: name.parse().expect("a valid id"),
        keys: vec![format!("key-{name}").into()],
        guaranteed_accelerators: guaranteed,
        maximum: ResourceLimits::default(),
    };
    Declaration {
        version: 1,
        queues: vec![
            queue("/urgent/", 0),
            queue("/normal/", 1),
            queue("/batch/", 2),
        ],
        services: vec![Service {
            name: "ponds".parse().expect("a valid id"),
            enforces_capacity: true,
        }],
        teams: vec![team("judges", 16), team("clubs", 0)],
        text: b"{}".to_vec(),
    }
}

pub fn path(prefix: &str) -> QueuePath {
    QueuePath {
        host: "ponds.example".into(),
        prefix: prefix.into(),
    }
}
