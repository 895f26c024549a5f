use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tracing::error;

use super::{Command, Reply, StateMachine};
use crate::replica::StateMachineHooks;
use crate::units::LogIndex;

/// The state machine, shared between the replica's task, which applies commands, and readers.
#[derive(Clone, Debug)]
pub struct SharedStateMachine {
    state_machine: Arc<Mutex<StateMachine>>,
    applied: watch::Sender<LogIndex>,
}

impl Default for SharedStateMachine {
    fn default() -> Self {
        Self::new(StateMachine::default())
    }
}

impl SharedStateMachine {
    /// Wraps a state machine for sharing.
    #[must_use]
    pub fn new(state_machine: StateMachine) -> Self {
        let applied = watch::Sender::new(state_machine.applied());
        Self {
            state_machine: Arc::new(Mutex::new(state_machine)),
            applied,
        }
    }

    /// Calls `read` with the state machine, holding the lock while it runs.
    pub fn read<T>(&self, read: impl FnOnce(&StateMachine) -> T) -> T {
        read(&self.lock())
    }

    /// Subscribes to the index of the last applied log entry, whichever replica proposed it.
    #[must_use]
    pub fn subscribe_applied(&self) -> watch::Receiver<LogIndex> {
        self.applied.subscribe()
    }

    /// Returns the callbacks through which the replica applies commands and handles snapshots.
    #[must_use]
    pub fn hooks(&self) -> StateMachineHooks {
        let (applies, snapshots, restores) = (self.clone(), self.clone(), self.clone());
        StateMachineHooks {
            apply: Box::new(move |index, bytes| applies.apply(index, bytes)),
            snapshot: Box::new(move || snapshots.read(StateMachine::snapshot)),
            restore: Box::new(move |bytes| restores.restore(bytes)),
        }
    }

    fn apply(&self, index: LogIndex, bytes: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes::<Command>(bytes) {
            Ok(command) => self.lock().apply(index, &command),
            Err(cause) => {
                error!(event = "record_unreadable", %index, %cause);
                Reply::Done
            }
        };
        self.applied.send_replace(index);
        postcard::to_allocvec(&reply).unwrap_or_default()
    }

    fn restore(&self, bytes: &[u8]) -> bool {
        let Some(state_machine) = StateMachine::restore(bytes) else {
            return false;
        };
        let applied = state_machine.applied();
        *self.lock() = state_machine;
        self.applied.send_replace(applied);
        true
    }

    fn lock(&self) -> MutexGuard<'_, StateMachine> {
        self.state_machine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
