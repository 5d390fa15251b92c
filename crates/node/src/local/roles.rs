//! The roles to run, read from a directory of settings files.

use std::io;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

use crate::role::Role;

/// Maximum number of roles in a directory.
pub(super) const MAX_ROLES: usize = 64;

/// Why the roles cannot be read.
#[derive(Debug, Snafu)]
pub enum LocalError {
    /// The directory or a file in it cannot be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    Unreadable {
        /// The directory or file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file names no role or is not valid TOML.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The error of the parser.
        source: toml::de::Error,
    },
    /// A file names a role that does not exist.
    #[snafu(display("{}: role: {role:?} is not one of relay, keeper, store", path.display()))]
    UnknownRole {
        /// The file.
        path: PathBuf,
        /// The name given in the file.
        role: String,
    },
    /// The directory contains no settings files, or too many.
    #[snafu(display("{}: {count} settings files; there must be 1 to {MAX_ROLES}", folder.display()))]
    SettingsFileCount {
        /// The directory.
        folder: PathBuf,
        /// The number of settings files.
        count: usize,
    },
}

/// The key of a settings file that names its role.
#[derive(Deserialize)]
struct RoleSetting {
    role: String,
}

/// A role to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalRole {
    /// The role.
    pub role: Role,
    /// Its settings file.
    pub settings_file: PathBuf,
}

/// Reads the roles of a directory, in the order of their file names.
///
/// # Errors
///
/// If the directory cannot be read, contains no or too many settings files, or a file names no valid role.
pub fn read_roles(folder: &Path) -> Result<Vec<LocalRole>, LocalError> {
    let entries = std::fs::read_dir(folder).context(UnreadableSnafu { path: folder })?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.context(UnreadableSnafu { path: folder })?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            files.push(path);
        }
    }
    ensure!((1..=MAX_ROLES).contains(&files.len()), SettingsFileCountSnafu { folder, count: files.len() });
    files.sort();
    files.into_iter().map(read_role).collect()
}

fn read_role(path: PathBuf) -> Result<LocalRole, LocalError> {
    let text = std::fs::read_to_string(&path).context(UnreadableSnafu { path: &path })?;
    let setting: RoleSetting = toml::from_str(&text).context(MalformedSnafu { path: &path })?;
    match Role::from_name(&setting.role) {
        Some(role) => Ok(LocalRole { role, settings_file: path }),
        None => UnknownRoleSnafu { path, role: setting.role }.fail(),
    }
}
