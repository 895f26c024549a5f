use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Maximum length of an id in bytes, so that ids are cheap to store and to log.
const ID_MAX_BYTES: usize = 64;

/// Why a text is not a valid id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("is empty")]
    Empty,
    /// The text exceeds the maximum length of an id.
    #[error("is {bytes} bytes long, at most {ID_MAX_BYTES} are allowed")]
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text contains a character that is not allowed in ids.
    #[error("holds {found:?}; letters, digits, '-', '_', '.' and ':' are allowed")]
    BadCharacter {
        /// The first character that is not allowed.
        found: char,
    },
}

fn check(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > ID_MAX_BYTES {
        return Err(IdError::TooLong { bytes: text.len() });
    }
    let bad = text
        .chars()
        .find(|c| !(c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')));
    match bad {
        Some(found) => Err(IdError::BadCharacter { found }),
        None => Ok(()),
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(transparent)]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the id as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check(text)?;
                Ok(Self(SmolStr::new(text)))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = SmolStr::deserialize(deserializer)?;
                check(&text).map_err(serde::de::Error::custom)?;
                Ok(Self(text))
            }
        }
    };
}

id!(
    /// Id of a team, the unit to which guarantees of accelerators are given.
    TeamId
);
id!(
    /// Id of an availability zone.
    ZoneId
);
id!(
    /// Id of a rack in an availability zone.
    RackId
);
id!(
    /// Id of a worker, a machine with accelerators that runs tasks.
    WorkerId
);
id!(
    /// Name of a service that endpoints provide.
    ServiceName
);
id!(
    /// Id of an endpoint, one instance of a service.
    EndpointId
);
id!(
    /// Id of a request, chosen by its caller and unique within a team.
    RequestId
);
id!(
    /// Id of a job, chosen by its caller and unique among the team's jobs.
    JobId
);
id!(
    /// Name of a class of jobs that share run-time statistics.
    ClassName
);
id!(
    /// Id of an entry process.
    EntryId
);
id!(
    /// Name of a control replica, as given in the settings.
    ReplicaId
);
id!(
    /// Random id of a control replica's data folder, assigned when the folder is created.
    FolderId
);
id!(
    /// Random id of a control group, assigned when the group first forms.
    GroupId
);
