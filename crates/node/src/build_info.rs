//! Identity of the build: which version and which sources a running program was compiled from.

use std::fmt;

use slog::{KV, Record, Serializer};

/// The version of the workspace.
const VERSION: &str = env!("CARGO_PKG_VERSION");
/// The value of [`BuildInfo::source_digest`] in a build that `deploy/build` did not make.
const UNKNOWN_DIGEST: &str = "unknown";

/// The build of this program.
pub const CURRENT: BuildInfo = BuildInfo {
    version: VERSION,
    source_digest: match option_env!("JUNIPERWING_SOURCE_DIGEST") {
        Some(digest) => digest,
        None => UNKNOWN_DIGEST,
    },
};

/// Identifies a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BuildInfo {
    /// The version.
    pub version: &'static str,
    /// The digest of the sources, as `deploy/source-digest` prints it.
    pub source_digest: &'static str,
}

impl BuildInfo {
    /// The names and values by which logs and metrics tell the build.
    pub fn labels(&self) -> [(&'static str, &'static str); 2] {
        [("version", self.version), ("source_digest", self.source_digest)]
    }
}

impl KV for BuildInfo {
    fn serialize(&self, _: &Record, serializer: &mut dyn Serializer) -> slog::Result {
        self.labels().into_iter().try_for_each(|(name, value)| serializer.emit_str(name, value))
    }
}

impl fmt::Display for BuildInfo {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "juniperwing {} (source digest {})", self.version, self.source_digest)
    }
}
