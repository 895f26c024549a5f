use std::any::Any;
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use smol_str::SmolStr;

use super::{KernelError, Result};

type PublishedValue = Arc<dyn Any + Send + Sync>;

/// Values that running services have published, by name.
#[derive(Clone, Default)]
pub struct Registry {
    published: Arc<Mutex<HashMap<SmolStr, PublishedValue>>>,
}

impl Registry {
    /// Publishes `value` under `name`, replacing any earlier value.
    pub fn publish<T: Send + Sync + 'static>(&self, name: &str, value: T) {
        let mut published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        published.insert(SmolStr::new(name), Arc::new(value));
    }

    /// Returns the value published under `name`.
    ///
    /// # Errors
    /// Returns [`KernelError::NotFound`] if no value of type `T` is published under `name`.
    pub fn find<T: Send + Sync + 'static>(&self, name: &str) -> Result<Arc<T>> {
        let published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let value = published.get(name).map(Arc::clone);
        drop(published);
        value
            .and_then(|value| value.downcast::<T>().ok())
            .ok_or_else(|| KernelError::NotFound {
                name: SmolStr::new(name),
            })
    }

    /// Removes the value published under `name`, if any.
    pub fn remove(&self, name: &str) {
        let mut published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        published.remove(name);
    }
}

impl fmt::Debug for Registry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut names: Vec<_> = published.keys().collect();
        names.sort();
        f.debug_struct("Registry").field("names", &names).finish()
    }
}
