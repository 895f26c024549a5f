use std::fmt;
use std::pin::Pin;

use smol_str::SmolStr;

use super::Registry;

/// What a starter or stopper runs.
pub type ServiceFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Starts a service, which publishes itself in the registry; the error is a sentence.
pub type StartFn = Box<dyn FnOnce(Registry) -> ServiceFuture<Result<StopFn, String>> + Send>;
/// Stops a service and completes when nothing of it runs any more.
pub type StopFn = Box<dyn FnOnce() -> ServiceFuture<()> + Send>;

/// A service before it starts.
pub struct Service {
    /// Its name, under which it publishes itself.
    pub name: SmolStr,
    /// Names of services that must have started before it.
    pub dependencies: Vec<SmolStr>,
    /// Starts it.
    pub start: StartFn,
}

impl Service {
    /// Describes a service by its name, its needs and the closure that starts it.
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
