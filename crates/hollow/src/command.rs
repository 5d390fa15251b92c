//! The command line of `juniperwing hollow`.

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;

use crate::load::Load;
use crate::measure::{Plan, measure};
use crate::{endpoint, program, relay};

const USAGE: &str = "\
Usage: juniperwing hollow KIND [OPTIONS]

Kinds:
  relay     relays that subscribe to keepers and count what they are told
  endpoint  endpoints that send heartbeats, with a changer of the configuration
  program   programs that begin and finish turns at the stores
  measure   starts keepers, stores and a relay, runs the others at several sizes, and fits slopes
";

/// Seconds of a measured run where nothing is said.
const DEFAULT_SECONDS: u64 = 6;
/// Seconds of a measured run at the most.
const MAX_SECONDS: u64 = 300;

/// Runs a kind of hollow process with the arguments behind its name.
pub fn run(arguments: &[String]) -> ExitCode {
    let Some((kind, rest)) = arguments.split_first() else { return misused("a kind is missing") };
    let wants_help = rest.iter().any(|word| word == "--help" || word == "-h");
    match kind.as_str() {
        "relay" | "endpoint" | "program" if wants_help => {
            print!("{}", Load::options().usage(&format!("Usage: juniperwing hollow {kind} [OPTIONS]")));
            ExitCode::SUCCESS
        }
        "relay" | "endpoint" | "program" => run_load(kind, rest),
        "measure" => run_measure(rest),
        "help" | "--help" | "-h" => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        other => misused(&format!("unknown kind {other:?}")),
    }
}

fn run_load(kind: &str, arguments: &[String]) -> ExitCode {
    let load = match Load::parse(arguments) {
        Ok(load) => load,
        Err(error) => return misused(&error.to_string()),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error),
    };
    runtime.block_on(async {
        match kind {
            "relay" => relay::run(&load).await,
            "endpoint" => endpoint::run(&load).await,
            _ => program::run(&load).await,
        }
    });
    ExitCode::SUCCESS
}

fn run_measure(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seconds", "how long each run is measured, 1 to 300 [default: 6]", "S");
    options.optopt("", "data", "the data file [default: docs/capacity.json]", "FILE");
    options.optopt("", "page", "the page whose tables are rewritten [default: docs/CAPACITY.md]", "FILE");
    options.optflag("h", "help", "print this");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return misused(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: juniperwing hollow measure [OPTIONS]"));
        return ExitCode::SUCCESS;
    }
    let seconds = matches.opt_str("seconds").map_or(Some(DEFAULT_SECONDS), |text| text.parse().ok());
    let Some(seconds) = seconds.filter(|seconds| (1..=MAX_SECONDS).contains(seconds)) else {
        return misused("--seconds: a whole number, 1 to 300");
    };
    let path = |option, default: &str| PathBuf::from(matches.opt_str(option).unwrap_or(default.to_owned()));
    let plan = Plan {
        seconds,
        data: path("data", "docs/capacity.json"),
        page: path("page", "docs/CAPACITY.md"),
        folder: std::env::temp_dir(),
    };
    measure(&plan).map_or_else(|error| failed(&error), |()| ExitCode::SUCCESS)
}

fn misused(why: &str) -> ExitCode {
    eprintln!("juniperwing hollow: {why}\n{USAGE}");
    ExitCode::from(2)
}

fn failed(error: &std::io::Error) -> ExitCode {
    eprintln!("juniperwing hollow: {error}");
    ExitCode::FAILURE
}
