//! Identity of the build: which version and which sources a running program was compiled from.

use std::fmt;

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

impl fmt::Display for BuildInfo {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "juniperwing {} (source digest {})", self.version, self.source_digest)
    }
}
