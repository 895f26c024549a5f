use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::units::{Millis, ServiceName, TeamId};

/// A complete configuration as an operator sent it: it replaces the one before as a whole.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Declaration {
    /// The operator's number; the highest one is in force.
    pub version: u64,
    /// The queues to which jobs are submitted.
    pub queues: Vec<Queue>,
    /// The services that workers belong to.
    pub services: Vec<Service>,
    /// The teams with their keys and guarantees.
    pub teams: Vec<Team>,
    /// The text that was sent, which a reader gets back unchanged.
    #[serde(with = "serde_bytes")]
    pub text: Vec<u8>,
}

/// Where a queue's calls arrive.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct QueuePath {
    /// The host that callers name.
    pub host: SmolStr,
    /// What the path begins with.
    pub prefix: SmolStr,
}

/// A queue of jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// The operator's name for it.
    pub name: SmolStr,
    /// Where its calls arrive.
    pub path: QueuePath,
    /// How its jobs are run.
    pub policy: QueuePolicy,
    /// How long a call may take.
    pub timeout_ms: Millis,
    /// Whether calls need no key.
    pub public: bool,
}

/// How a queue's jobs are run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// The service whose workers run the tasks.
    pub service: ServiceName,
    /// 0 comes first and may make others leave.
    pub priority: u32,
    /// How often a task or gang may fail.
    pub attempts_max: u32,
    /// How many times its shortest run time a job may take, in percent.
    pub stretch_percent: u64,
    /// The time that a job may take beyond that.
    pub target_ms: Millis,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether its workers refuse what does not fit.
    pub enforces_capacity: bool,
}

/// A team.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// The keys of its callers.
    pub keys: Vec<SmolStr>,
    /// The accelerators that it can always reclaim for its jobs of priority 0.
    pub guaranteed_accelerators: u64,
}

/// Why a declaration is refused as a whole.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum DeclarationFault {
    /// It cannot be read.
    #[error("the declaration cannot be read: {cause}")]
    Unreadable {
        /// Where and why.
        cause: SmolStr,
    },
    /// A queue names a service that is not declared.
    #[error("queue {queue} names the unknown service {service}")]
    UnknownService {
        /// The queue.
        queue: SmolStr,
        /// The service.
        service: ServiceName,
    },
    /// Two queues take the same calls.
    #[error("two queues have the host {} and the prefix {}", path.host, path.prefix)]
    SamePath {
        /// What they share.
        path: QueuePath,
    },
    /// A call may take no time at all.
    #[error("queue {queue} has a timeout of 0")]
    NoTimeout {
        /// The queue.
        queue: SmolStr,
    },
    /// Two teams share a key.
    #[error("the teams {first} and {second} share a key")]
    SharedKey {
        /// One of them.
        first: TeamId,
        /// The other one.
        second: TeamId,
    },
}

impl Declaration {
    /// Checks the declaration as a whole.
    ///
    /// # Errors
    /// The first fault found.
    pub fn check(&self) -> Result<(), DeclarationFault> {
        let services: BTreeSet<_> = self.services.iter().map(|service| &service.name).collect();
        let mut paths = BTreeSet::new();
        for queue in &self.queues {
            if !services.contains(&queue.policy.service) {
                return Err(DeclarationFault::UnknownService {
                    queue: queue.name.clone(),
                    service: queue.policy.service.clone(),
                });
            }
            if !paths.insert(&queue.path) {
                let path = queue.path.clone();
                return Err(DeclarationFault::SamePath { path });
            }
            if queue.timeout_ms == Millis::ZERO {
                let queue = queue.name.clone();
                return Err(DeclarationFault::NoTimeout { queue });
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), DeclarationFault> {
        let mut holders = std::collections::BTreeMap::new();
        for team in &self.teams {
            for key in &team.keys {
                let first = holders.insert(key, &team.name);
                if let Some(first) = first.filter(|first| **first != team.name) {
                    return Err(DeclarationFault::SharedKey {
                        first: first.clone(),
                        second: team.name.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    /// The queue that takes a call: the longest prefix of the path under that host.
    #[must_use]
    pub fn queue_for_path(&self, host: &str, path: &str) -> Option<&Queue> {
        let takes = |queue: &&Queue| {
            queue.path.host == host && path.starts_with(queue.path.prefix.as_str())
        };
        let queues = self.queues.iter().filter(takes);
        queues.max_by_key(|queue| queue.path.prefix.len())
    }

    /// The queue with this path.
    #[must_use]
    pub fn queue(&self, path: &QueuePath) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.path == *path)
    }

    /// The team that holds a key.
    #[must_use]
    pub fn team_for_key(&self, key: &str) -> Option<&Team> {
        let holds = |team: &&Team| team.keys.iter().any(|held| held == key);
        self.teams.iter().find(holds)
    }

    /// The accelerators that a team can always reclaim.
    #[must_use]
    pub fn guaranteed_accelerators(&self, team: &TeamId) -> u64 {
        let team = self.teams.iter().find(|declared| declared.name == *team);
        team.map_or(0, |team| team.guaranteed_accelerators)
    }

    /// Whether the workers of a service refuse what does not fit.
    #[must_use]
    pub fn enforces_capacity(&self, service: &ServiceName) -> bool {
        let service = self
            .services
            .iter()
            .find(|declared| declared.name == *service);
        service.is_some_and(|service| service.enforces_capacity)
    }
}
