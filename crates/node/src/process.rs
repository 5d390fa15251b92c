//! The environment that a role is started with.

use std::path::PathBuf;

use slog::Logger;

use crate::settings::Settings;
use crate::signals::Signals;

/// The environment of a role: its settings, its log and its signals.
pub struct Process {
    /// The settings.
    pub settings: Settings,
    /// The file from which settings are reloaded; `None` if an environment variable names it.
    pub settings_file: Option<PathBuf>,
    /// The log of the process.
    pub log: Logger,
    /// The signals received from the platform.
    pub signals: Signals,
}
