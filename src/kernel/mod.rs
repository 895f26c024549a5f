//! The micro-kernel: services that are registered by name, find each other by name, start in the
//! order of their needs and stop in reverse. See docs/DESIGN.md.

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

/// Result of starting a service or finding one.
pub type Result<T> = std::result::Result<T, KernelError>;

/// Why the kernel could not start or find a service.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KernelError {
    /// Two services have the same name.
    #[error("service {name} is registered twice")]
    DuplicateName {
        /// The name.
        name: SmolStr,
    },
    /// A service needs one that is not registered.
    #[error("service {name} needs {missing}, which is not registered")]
    MissingDependency {
        /// The service.
        name: SmolStr,
        /// What it needs.
        missing: SmolStr,
    },
    /// Services need each other in a circle.
    #[error("services need each other in a circle: {names}")]
    DependencyCycle {
        /// Their names.
        names: SmolStr,
    },
    /// Nothing is published under this name, or it is of another type.
    #[error("nothing of that type is published under {name}")]
    NotFound {
        /// The name.
        name: SmolStr,
    },
    /// The service failed to start.
    #[error("service {name} failed to start: {cause}")]
    StartFailed {
        /// The service.
        name: SmolStr,
        /// Why.
        cause: SmolStr,
    },
}
