use std::collections::BTreeSet;

use smol_str::SmolStr;
use tracing::info;

use super::running::RunningService;
use super::{Kernel, KernelError, Registry, Result, Service};

/// Collects services and starts them in the order of their dependencies.
#[derive(Debug, Default)]
pub struct KernelBuilder {
    services: Vec<Service>,
}

impl KernelBuilder {
    /// Adds a service.
    #[must_use]
    pub fn with(mut self, service: Service) -> Self {
        self.services.push(service);
        self
    }

    /// Starts all services. If one fails, those that have started are stopped again.
    ///
    /// # Errors
    /// Returns an error if two services have the same name, a dependency is not registered,
    /// dependencies form a cycle or a service fails to start.
    pub async fn start(self) -> Result<Kernel> {
        let ordered = sort_by_dependencies(self.services)?;
        let mut kernel = Kernel::new(Registry::default());
        for service in ordered {
            let name = service.name.clone();
            match (service.start)(kernel.registry.clone()).await {
                Ok(stop) => {
                    info!(event = "service_started", service = %name);
                    kernel.started.push(RunningService { name, stop });
                }
                Err(cause) => {
                    kernel.stop().await;
                    return Err(KernelError::StartFailed {
                        name,
                        cause: cause.into(),
                    });
                }
            }
        }
        Ok(kernel)
    }
}

/// Sorts services so that each follows its dependencies.
///
/// Services that do not depend on each other keep the order in which they were added.
fn sort_by_dependencies(services: Vec<Service>) -> Result<Vec<Service>> {
    check_names(&services)?;
    let mut remaining = services;
    let mut started = BTreeSet::new();
    let mut ordered = Vec::with_capacity(remaining.len());
    while !remaining.is_empty() {
        let ready = remaining.iter().position(|service| {
            service
                .dependencies
                .iter()
                .all(|dependency| started.contains(dependency))
        });
        let Some(ready) = ready else {
            let names: Vec<_> = remaining
                .iter()
                .map(|service| service.name.as_str())
                .collect();
            return Err(KernelError::DependencyCycle {
                names: names.join(", ").into(),
            });
        };
        let service = remaining.remove(ready);
        started.insert(service.name.clone());
        ordered.push(service);
    }
    Ok(ordered)
}

fn check_names(services: &[Service]) -> Result<()> {
    let mut names: BTreeSet<SmolStr> = BTreeSet::new();
    for service in services {
        if !names.insert(service.name.clone()) {
            return Err(KernelError::DuplicateName {
                name: service.name.clone(),
            });
        }
    }
    for service in services {
        if let Some(missing) = service
            .dependencies
            .iter()
            .find(|dependency| !names.contains(*dependency))
        {
            return Err(KernelError::MissingDependency {
                name: service.name.clone(),
                missing: missing.clone(),
            });
        }
    }
    Ok(())
}
