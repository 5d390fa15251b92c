//! What a hollow load consists of, as read from the command line. Everything is bounded.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options};
use snafu::{OptionExt, Snafu, ensure};

/// Participants at the most.
pub const MAX_COUNT: u64 = 20_000;
/// Seconds at the most.
pub const MAX_SECONDS: u64 = 600;
/// Turns or changes a second at the most.
pub const MAX_RATE: f64 = 10_000.0;
/// Bytes that one turn brings at the most.
pub const MAX_TURN_BYTES: u64 = 1 << 20;
/// Routes of a made configuration at the most.
pub const MAX_ROUTES: u64 = 20_000;
/// Turns of one program at the most.
pub const MAX_DEPTH: u64 = 1_000;

/// What is wrong with the command line.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum LoadError {
    /// The options don't parse.
    #[snafu(display("{message}"))]
    Syntax {
        /// What the parser says.
        message: String,
    },
    /// A value is not of its kind or beyond its bounds.
    #[snafu(display("--{option}: {expected}"))]
    Value {
        /// The option.
        option: &'static str,
        /// What it takes.
        expected: String,
    },
}

/// A hollow load.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Participants.
    pub count: u64,
    /// How long.
    pub duration: Duration,
    /// The keepers: control listeners for endpoints and changes, internal ones for relays and programs.
    pub keepers: Vec<SocketAddr>,
    /// Between two heartbeats of an endpoint.
    pub heartbeat: Duration,
    /// Changes of the configuration each second.
    pub changes_per_s: f64,
    /// Routes in a made configuration.
    pub routes: u64,
    /// Turns a second of all programs; 0 runs a closed loop.
    pub turns_per_s: f64,
    /// Bytes of input that a turn brings.
    pub turn_bytes: u64,
    /// Turns of a program, which then begins anew.
    pub depth: u64,
}

impl Load {
    /// The options of all hollow loads.
    pub fn options() -> Options {
        let mut options = Options::new();
        options.optopt("", "count", "participants, 1 to 20000 [default: 10]", "N");
        options.optopt("", "seconds", "how long, 1 to 600 [default: 10]", "S");
        options.optopt("", "keepers", "addresses of keepers, with commas between", "IP:PORT,...");
        options.optopt("", "heartbeat-ms", "endpoints: between heartbeats [default: 1000]", "MS");
        options.optopt("", "changes-per-s", "endpoints: configurations put a second [default: 0]", "RATE");
        options.optopt("", "routes", "endpoints: routes of such a configuration [default: 10]", "N");
        options.optopt("", "turns-per-s", "programs: turns a second; 0: closed loop [default: 0]", "RATE");
        options.optopt("", "turn-bytes", "programs: bytes that a turn brings [default: 1000]", "N");
        options.optopt("", "depth", "programs: turns before one begins anew [default: 9]", "N");
        options.optflag("h", "help", "print this");
        options
    }

    /// Takes a load from options that were parsed.
    ///
    /// # Errors
    ///
    /// If a value is not of its kind or beyond its bounds; the error names the option.
    pub fn from_matches(matches: &Matches) -> Result<Load, LoadError> {
        Ok(Load {
            count: whole(matches, "count", 10, 1, MAX_COUNT)?,
            duration: Duration::from_secs(whole(matches, "seconds", 10, 1, MAX_SECONDS)?),
            keepers: keepers(matches)?,
            heartbeat: Duration::from_millis(whole(matches, "heartbeat-ms", 1_000, 10, 600_000)?),
            changes_per_s: rate(matches, "changes-per-s")?,
            routes: whole(matches, "routes", 10, 1, MAX_ROUTES)?,
            turns_per_s: rate(matches, "turns-per-s")?,
            turn_bytes: whole(matches, "turn-bytes", 1_000, 0, MAX_TURN_BYTES)?,
            depth: whole(matches, "depth", 9, 1, MAX_DEPTH)?,
        })
    }

    /// Parses the arguments behind the name of a load.
    ///
    /// # Errors
    ///
    /// As for [`Load::from_matches`], and if an option is unknown.
    pub fn parse(arguments: &[String]) -> Result<Load, LoadError> {
        let matches = Load::options()
            .parse(arguments)
            .map_err(|error| LoadError::Syntax { message: error.to_string() })?;
        let message = format!("unknown arguments {:?}", matches.free);
        ensure!(matches.free.is_empty(), SyntaxSnafu { message });
        Load::from_matches(&matches)
    }
}

fn whole(
    matches: &Matches, option: &'static str, default: u64, least: u64, most: u64,
) -> Result<u64, LoadError> {
    let Some(text) = matches.opt_str(option) else { return Ok(default) };
    let value = text.parse().ok().filter(|value| (least..=most).contains(value));
    value.with_context(|| ValueSnafu { option, expected: format!("a whole number, {least} to {most}") })
}

fn rate(matches: &Matches, option: &'static str) -> Result<f64, LoadError> {
    let Some(text) = matches.opt_str(option) else { return Ok(0.0) };
    let value = text.parse().ok().filter(|value| (0.0..=MAX_RATE).contains(value));
    value.with_context(|| ValueSnafu { option, expected: format!("a number, 0 to {MAX_RATE}") })
}

fn keepers(matches: &Matches) -> Result<Vec<SocketAddr>, LoadError> {
    let expected = || "addresses as IP:PORT, with commas between".to_owned();
    let text = matches.opt_str("keepers").unwrap_or_default();
    let parsed: Option<Vec<SocketAddr>> = text.split(',').map(|address| address.parse().ok()).collect();
    parsed.with_context(|| ValueSnafu { option: "keepers", expected: expected() })
}
