use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use super::ResourceLimits;
use crate::units::{Millis, ServiceName, TeamId};

/// A complete configuration from an operator, which replaces the previous one as a whole.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Declaration {
    /// The version assigned by the operator; the highest accepted one is in force.
    pub version: u64,
    /// The queues to which jobs are submitted.
    pub queues: Vec<Queue>,
    /// The services that workers belong to.
    pub services: Vec<Service>,
    /// The teams with their API keys and guarantees.
    pub teams: Vec<Team>,
    /// The original text, which is returned unchanged when the declaration is read back.
    #[serde(with = "serde_bytes")]
    pub text: Vec<u8>,
}

/// The host and path prefix at which a queue receives requests.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct QueuePath {
    /// The host name in a request.
    pub host: SmolStr,
    /// The prefix of a request's path.
    pub prefix: SmolStr,
}

/// A queue of jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Queue {
    /// The operator's name for the queue, used in metrics and faults.
    pub name: SmolStr,
    /// Where the queue receives requests.
    pub path: QueuePath,
    /// How the queue's jobs are run.
    pub policy: QueuePolicy,
    /// How long a request may take.
    pub timeout_ms: Millis,
    /// Whether requests need no API key.
    pub public: bool,
}

/// How a queue's jobs are run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// The service whose workers run the tasks.
    pub service: ServiceName,
    /// The priority; 0 is the highest and may reclaim resources from other jobs.
    pub priority: u32,
    /// The number of failed attempts of a task or gang after which its job fails.
    pub attempts_max: u32,
    /// The target run time of a job, in percent of its critical path.
    pub stretch_percent: u64,
    /// Time added to the stretched run time to give the job's completion objective.
    pub target_ms: Millis,
}

/// A service that runs the tasks of one or more queues.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// The unique name of the service.
    pub name: ServiceName,
    /// Whether its workers refuse tasks that exceed their free resources.
    pub enforces_capacity: bool,
}

/// A team that submits jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Team {
    /// The unique name of the team.
    pub name: TeamId,
    /// The API keys of its callers.
    pub keys: Vec<SmolStr>,
    /// The accelerators that the team can always reclaim for its jobs of priority 0.
    pub guaranteed_accelerators: u64,
    /// The most that all runs of the team may use at a time.
    pub maximum: ResourceLimits,
}

/// Why a declaration is rejected as a whole.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum DeclarationFault {
    /// The text cannot be decoded.
    #[error("the declaration cannot be read: {cause}")]
    Unreadable {
        /// The position and reason of the failure.
        cause: SmolStr,
    },
    /// A queue names a service that is not declared.
    #[error("queue {queue} names the unknown service {service}")]
    UnknownService {
        /// The queue with the reference.
        queue: SmolStr,
        /// The undeclared service.
        service: ServiceName,
    },
    /// Two queues match the same requests.
    #[error("two queues have the host {} and the prefix {}", path.host, path.prefix)]
    SamePath {
        /// The path that both queues have.
        path: QueuePath,
    },
    /// A queue's timeout leaves no time for any request.
    #[error("queue {queue} has a timeout of 0")]
    NoTimeout {
        /// The queue with the timeout of 0.
        queue: SmolStr,
    },
    /// Two teams share an API key.
    #[error("the teams {first} and {second} share a key")]
    SharedKey {
        /// The first team with the key.
        first: TeamId,
        /// The second team with the key.
        second: TeamId,
    },
}

impl Declaration {
    /// Checks the consistency of the declaration.
    ///
    /// # Errors
    /// Returns the first fault found.
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

    /// Finds the queue for a request: the one with the longest matching prefix on this host.
    #[must_use]
    pub fn queue_for_path(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches_request = |queue: &&Queue| {
            queue.path.host == host && path.starts_with(queue.path.prefix.as_str())
        };
        let queues = self.queues.iter().filter(matches_request);
        queues.max_by_key(|queue| queue.path.prefix.len())
    }

    /// Finds the queue with exactly this path.
    #[must_use]
    pub fn queue(&self, path: &QueuePath) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.path == *path)
    }

    /// Finds the team that holds an API key.
    #[must_use]
    pub fn team_for_key(&self, key: &str) -> Option<&Team> {
        let holds = |team: &&Team| team.keys.iter().any(|held| held == key);
        self.teams.iter().find(holds)
    }

    /// The accelerators guaranteed to a team; 0 for an undeclared one.
    #[must_use]
    pub fn guaranteed_accelerators(&self, team: &TeamId) -> u64 {
        let team = self.teams.iter().find(|declared| declared.name == *team);
        team.map_or(0, |team| team.guaranteed_accelerators)
    }

    /// The most that all runs of a team may use at a time; nothing limits an undeclared one.
    #[must_use]
    pub fn team_maximum(&self, team: &TeamId) -> ResourceLimits {
        let team = self.teams.iter().find(|declared| declared.name == *team);
        team.map_or_else(ResourceLimits::default, |team| team.maximum)
    }

    /// Whether the workers of a service refuse tasks that exceed their free resources.
    #[must_use]
    pub fn enforces_capacity(&self, service: &ServiceName) -> bool {
        let service = self
            .services
            .iter()
            .find(|declared| declared.name == *service);
        service.is_some_and(|service| service.enforces_capacity)
    }
}
