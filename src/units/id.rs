use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

/// Longest accepted id in bytes, so that ids stay cheap to keep and to log.
const ID_MAX_BYTES: usize = 64;

/// Why a text is not an id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("is empty")]
    Empty,
    /// The text is longer than an id may be.
    #[error("is {bytes} bytes long, at most {ID_MAX_BYTES} are allowed")]
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text holds a character that ids do not allow.
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
            /// The id as text.
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
    /// A team: the tenant that holds a guarantee.
    TeamId
);
id!(
    /// An availability zone.
    ZoneId
);
id!(
    /// A rack inside an availability zone.
    RackId
);
id!(
    /// A worker: a machine with accelerators that runs tasks.
    WorkerId
);
id!(
    /// A VM of the platform; a worker is one life of it.
    VmId
);
id!(
    /// A service that endpoints serve.
    ServiceName
);
id!(
    /// An endpoint: one runner of a service.
    EndpointId
);
id!(
    /// A request, chosen by its caller and unique within a team.
    RequestId
);
id!(
    /// A job, chosen by its caller and unique within a team's jobs.
    JobId
);
id!(
    /// A class of jobs that share run-time statistics.
    ClassName
);
id!(
    /// An entry process.
    EntryId
);
id!(
    /// A control replica's name in the settings.
    ReplicaId
);
id!(
    /// A control replica's data folder, drawn at random when the folder is made.
    FolderId
);
id!(
    /// A control group, drawn when it first forms.
    GroupId
);
