use std::any::Any;
use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use smol_str::SmolStr;

use super::{KernelError, Result};

type PublishedValue = Arc<dyn Any + Send + Sync>;

/// What running services have published under their names.
#[derive(Clone, Default)]
pub struct Registry {
    published: Arc<Mutex<HashMap<SmolStr, PublishedValue>>>,
}

impl Registry {
    /// Publishes `value` under `name` and replaces what stood there.
    pub fn publish<T: Send + Sync + 'static>(&self, name: &str, value: T) {
        let mut published = self
            .published
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        published.insert(SmolStr::new(name), Arc::new(value));
    }

    /// Finds what is published under `name`.
    ///
    /// # Errors
    /// [`KernelError::NotFound`] where nothing of type `T` is published under that name.
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

    /// Removes what is published under `name`.
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
