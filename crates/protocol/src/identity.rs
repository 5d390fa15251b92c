//! Identifiers, each of a distinct type so that they cannot be mixed up.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! text_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub Arc<str>);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number_identifier {
    ($(#[$doc:meta])* $name:ident, $number:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub $number);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

text_identifier!(
    /// The name of a machine, from its settings. It remains the same when the disk of the machine is replaced.
    NodeName
);
text_identifier!(
    /// An incarnation of an endpoint: it has a new id after every restart.
    InstanceId
);
text_identifier!(
    /// A client's request (`X-Request-Id`), and the turn that it ran.
    RequestId
);
text_identifier!(
    /// An agent program.
    ProgramId
);
text_identifier!(
    /// A service of the operator's configuration (a `backend`).
    ServiceName
);
number_identifier!(
    /// The identity of a data directory, generated at random when the directory is first used. A machine whose disk was
    /// replaced has a new one, so that promises recorded on the lost disk are not attributed to the new disk.
    DiskId,
    u64
);
number_identifier!(
    /// The number of an epoch; a higher one supersedes a lower one. Used as fencing token.
    EpochNumber,
    u64
);
number_identifier!(
    /// A partition of the session store.
    PartitionId,
    u16
);
