use std::fmt;

use smol_str::SmolStr;
use tracing::info;

use super::{Registry, StopFn};

pub(super) struct RunningService {
    pub(super) name: SmolStr,
    pub(super) stop: StopFn,
}

/// The running services of a process.
pub struct Kernel {
    pub(super) registry: Registry,
    pub(super) started: Vec<RunningService>,
}

impl Kernel {
    pub(super) const fn new(registry: Registry) -> Self {
        Self {
            registry,
            started: Vec::new(),
        }
    }

    /// Returns the registry in which the services publish values.
    #[must_use]
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Stops all services in reverse order of their start.
    pub async fn stop(mut self) {
        while let Some(RunningService { name, stop }) = self.started.pop() {
            stop().await;
            self.registry.remove(&name);
            info!(event = "service_stopped", service = %name);
        }
    }
}

impl fmt::Debug for Kernel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<_> = self.started.iter().map(|started| &started.name).collect();
        f.debug_struct("Kernel")
            .field("started", &names)
            .finish_non_exhaustive()
    }
}
