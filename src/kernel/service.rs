use std::fmt;
use std::pin::Pin;

use smol_str::SmolStr;

use super::Registry;

/// Future returned by a [`StartFn`] or [`StopFn`].
pub type ServiceFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Starts a service, which may publish values in the registry, and returns how to stop it.
///
/// The error is a message for the operator.
pub type StartFn = Box<dyn FnOnce(Registry) -> ServiceFuture<Result<StopFn, String>> + Send>;
/// Stops a service. The future completes once no part of the service is running.
pub type StopFn = Box<dyn FnOnce() -> ServiceFuture<()> + Send>;

/// A service that has not started.
pub struct Service {
    /// Unique name, which is removed from the registry when the service stops.
    pub name: SmolStr,
    /// Names of the services that must start before this one.
    pub dependencies: Vec<SmolStr>,
    /// Function that starts the service.
    pub start: StartFn,
}

impl Service {
    /// Creates a service from its name, its dependencies and the function that starts it.
    pub fn new<F, T>(name: &str, dependencies: &[&str], start: F) -> Self
    where
        F: FnOnce(Registry) -> T + Send + 'static,
        T: Future<Output = Result<StopFn, String>> + Send + 'static,
    {
        Self {
            name: SmolStr::new(name),
            dependencies: dependencies.iter().map(SmolStr::new).collect(),
            start: Box::new(move |registry| Box::pin(start(registry))),
        }
    }
}

impl fmt::Debug for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service")
            .field("name", &self.name)
            .field("needs", &self.dependencies)
            .finish_non_exhaustive()
    }
}
