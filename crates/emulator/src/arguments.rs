//! The command line of the emulator.

use std::num::ParseIntError;

use getopts::Options;
use juniperwing_emulator::targeting::Suite;
use snafu::{ResultExt, Snafu};

/// The parsed command line.
#[derive(Debug)]
pub struct Arguments {
    /// The seed of the first scenario.
    pub first_seed: u64,
    /// How many scenarios with consecutive seeds to run.
    pub scenarios: u64,
    /// How many threads run scenarios; at least 1.
    pub threads: usize,
    /// Run the first scenario only and print its whole history.
    pub log: bool,
    /// Print violations without shrinking their scenarios.
    pub brief: bool,
    /// What the scenarios simulate.
    pub suite: Suite,
    /// Print a digest of the whole history of each scenario, with all logs, instead of violations.
    pub digest: bool,
}

/// Why a command line was rejected. The message ends with the usage text.
#[derive(Debug, Snafu)]
pub enum ArgumentsError {
    /// Help was requested, or there are arguments other than options.
    #[snafu(display("{usage}"))]
    Usage {
        /// The usage text.
        usage: String,
    },
    /// An unknown option, or an option without its value.
    #[snafu(display("{source}\n{usage}"))]
    Option {
        /// What is wrong with the option.
        source: getopts::Fail,
        /// The usage text.
        usage: String,
    },
    /// The value of an option is not a number.
    #[snafu(display("--{name}: {source}\n{usage}"))]
    Number {
        /// The option.
        name: &'static str,
        /// What is wrong with the number.
        source: ParseIntError,
        /// The usage text.
        usage: String,
    },
}

impl Arguments {
    /// Parses the arguments of the program (without its name).
    ///
    /// # Errors
    ///
    /// If help is requested, or if an argument is unknown or invalid.
    pub fn parse(arguments: &[String]) -> Result<Arguments, ArgumentsError> {
        let options = options();
        let usage = options.usage("Usage: juniperwing-emulator [OPTIONS]");
        let matches = options.parse(arguments).context(OptionSnafu { usage: &usage })?;
        if matches.opt_present("help") || !matches.free.is_empty() {
            return UsageSnafu { usage }.fail();
        }
        let number = |name: &'static str, default: u64| {
            matches.opt_get_default(name, default).context(NumberSnafu { name, usage: &usage })
        };
        Ok(Arguments {
            first_seed: number("seed", 1)?,
            scenarios: number("days", 1_000)?,
            threads: number("jobs", 4)?.max(1) as usize,
            log: matches.opt_present("log"),
            brief: matches.opt_present("brief"),
            suite: if matches.opt_present("stores") { Suite::Tier } else { Suite::Keepers },
            digest: matches.opt_present("digest"),
        })
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "days", "how many days to play [default: 1000]", "COUNT");
    options.optopt("", "jobs", "on how many cores [default: 4]", "COUNT");
    options.optopt("", "seed", "the seed of the first day [default: 1]", "SEED");
    options.optflag("", "log", "play the first day only and print all that was seen");
    options.optflag("", "brief", "count findings only; don't look for the least troubles");
    options.optflag("", "stores", "play stores and programs, too");
    options.optflag("", "digest", "print a digest of all that was seen on each day, with all logs");
    options.optflag("h", "help", "print this");
    options
}
