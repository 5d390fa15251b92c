//! The log: one JSON object a line on standard error.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};

/// The log of a process, from `level` upward. Lines are written at once: a process writes few.
pub fn logger(level: Level, role: &'static str, node: &str) -> Logger {
    let lines = slog_json::Json::new(io::stderr()).add_default_keys().build();
    let drain = Mutex::new(lines).filter_level(level).ignore_res();
    Logger::root(drain, o!("role" => role, "node" => node.to_owned()))
}
