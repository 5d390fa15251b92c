//! Reads the settings of a relay into the core's types.
//!
//! Both front ends share it: the adapter finds the settings in `Spawn`, the relay on sockets in its configuration file.
//! It has no defaults of its own and decides nothing.

mod conversion;
mod display;
mod error;
mod raw;
mod settings;
mod validation;

pub use error::{IncompatibleSettings, InvalidSetting, SettingProblem};
pub use raw::RawSettings;
pub use settings::{Connections, Settings};
