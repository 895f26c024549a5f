//! Service container that starts and stops the services of a process.
//!
//! Services are registered by name, start in the order of their dependencies, look each other up in
//! a registry and stop in reverse order. See docs/DESIGN.md.

mod builder;
mod clock;
mod registry;
mod running;
mod service;

pub use builder::KernelBuilder;
pub use clock::Clock;
pub use registry::Registry;
pub use running::Kernel;
pub use service::{Service, ServiceFuture, StartFn, StopFn};

use smol_str::SmolStr;
use thiserror::Error;

/// Result of starting services or looking up what they published.
pub type Result<T> = std::result::Result<T, KernelError>;

/// Why the kernel could not start a service or look up a published value.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KernelError {
    /// Two services have the same name.
    #[error("service {name} is registered twice")]
    DuplicateName {
        /// The name.
        name: SmolStr,
    },
    /// A service depends on one that is not registered.
    #[error("service {name} depends on {missing}, which is not registered")]
    MissingDependency {
        /// The service.
        name: SmolStr,
        /// The dependency that is not registered.
        missing: SmolStr,
    },
    /// Services depend on each other in a cycle.
    #[error("services depend on each other in a cycle: {names}")]
    DependencyCycle {
        /// Names of the services that could not be ordered, separated by commas.
        names: SmolStr,
    },
    /// Nothing is published under this name, or the published value has another type.
    #[error("nothing of that type is published under {name}")]
    NotFound {
        /// The name.
        name: SmolStr,
    },
    /// A service failed to start.
    #[error("service {name} failed to start: {cause}")]
    StartFailed {
        /// The service.
        name: SmolStr,
        /// The error that the service returned.
        cause: SmolStr,
    },
}
