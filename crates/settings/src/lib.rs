//! Reads, validates and converts the settings of a relay to the core's types.
//!
//! Both front ends use this crate: the adapter reads the settings from `Spawn` events, and the relay on sockets from
//! its configuration file. It has no defaults of its own and contains no decision logic.

mod conversion;
mod display;
mod error;
mod raw;
mod settings;
mod validation;

pub use error::{IncompatibleSettings, InvalidSetting, SettingProblem};
pub use raw::RawSettings;
pub use settings::{ConnectionSettings, Settings};
