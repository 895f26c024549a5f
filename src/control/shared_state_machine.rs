use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tracing::error;

use super::{Command, Reply, StateMachine};
use crate::replica::MachineHooks;
use crate::units::LogIndex;

/// The machine as it is shared between the replica's task, which applies, and its readers.
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
    /// Shares a machine.
    #[must_use]
    pub fn new(state_machine: StateMachine) -> Self {
        let applied = watch::Sender::new(state_machine.applied());
        Self {
            state_machine: Arc::new(Mutex::new(state_machine)),
            applied,
        }
    }

    /// Reads the machine; the lock is held only while `read` runs.
    pub fn read<T>(&self, read: impl FnOnce(&StateMachine) -> T) -> T {
        read(&self.lock())
    }

    /// Tells of each applied record, also of those that other replicas proposed.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<LogIndex> {
        self.applied.subscribe()
    }

    /// What the replica calls.
    #[must_use]
    pub fn hooks(&self) -> MachineHooks {
        let (applies, snapshots, restores) = (self.clone(), self.clone(), self.clone());
        MachineHooks {
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
