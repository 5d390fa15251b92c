//! Command line of the roles `relay`, `keeper` and `store`, and the start of a role.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;
use slog::{Level, error, info};

use crate::build_info;
use crate::log::{flush, install_fault_logging, logger};
use crate::process::Process;
use crate::role::Role;
use crate::settings::{Settings, SettingsError};
use crate::signals::Signals;

/// How long disk operations in progress may delay the exit of the process.
const DISK_SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a role with the arguments that follow its name, until it shuts down.
pub fn run(role: Role, arguments: &[String]) -> ExitCode {
    let options = options();
    let usage = options.usage(&format!("Usage: juniperwing {} [OPTIONS]", role.name()));
    let matches = match options.parse(arguments) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return usage_error(&format!("unknown argument {:?}", matches.free[0]), &usage),
        Err(e) => return usage_error(&e.to_string(), &usage),
    };
    if matches.opt_present("help") {
        print!("{usage}");
        return ExitCode::SUCCESS;
    }
    let Some(level) = parse_level(matches.opt_str("log-level").as_deref()) else {
        return usage_error("--log-level: error, warning, info or debug", &usage);
    };
    let settings_file = matches.opt_str("settings").map(PathBuf::from);
    if !matches.opt_present("check") {
        return serve(role, settings_file, matches.opt_str("metrics"), level);
    }
    match Settings::read(settings_file.as_deref()) {
        Err(e) => settings_error(role, &e),
        Ok(settings) => check(role, &settings),
    }
}

/// The options of every role.
fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "the settings file [environment: JUNIPERWING_CONFIG]", "FILE");
    options.optopt("", "log-level", "error, warning, info or debug [default: info]", "LEVEL");
    options.optopt("", "metrics", "where to tell figures, in place of what the settings name", "PORT/PATH");
    options.optflag(
        "",
        "check",
        "read the settings, say what is in them or what is wrong with them, and exit",
    );
    options.optflag("h", "help", "print this");
    options
}

/// Prints why the settings are invalid.
fn settings_error(role: Role, error: &SettingsError) -> ExitCode {
    eprintln!("juniperwing {}: {error}", role.name());
    ExitCode::from(2)
}

/// Prints a description of the settings, or the keys that the role lacks.
fn check(role: Role, settings: &Settings) -> ExitCode {
    let missing = settings.missing_keys(role);
    if missing.is_empty() {
        print!("{}", settings.describe(role));
        return ExitCode::SUCCESS;
    }
    for key in missing {
        eprintln!("juniperwing {}: {key}: missing", role.name());
    }
    ExitCode::from(2)
}

fn serve(role: Role, settings_file: Option<PathBuf>, metrics: Option<String>, level: Level) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("juniperwing {}: {e}", role.name());
            return ExitCode::FAILURE;
        }
    };
    let code = runtime.block_on(serve_role(role, settings_file, metrics, level));
    // An unresponsive disk must not delay the exit for longer than this.
    runtime.shutdown_timeout(DISK_SHUTDOWN_TIMEOUT);
    flush();
    code
}

async fn serve_role(
    role: Role, settings_file: Option<PathBuf>, metrics: Option<String>, level: Level,
) -> ExitCode {
    // Installed before the settings are read, so that a signal that arrives meanwhile is not missed.
    let signals = Signals::new();
    let mut settings = match Settings::read(settings_file.as_deref()) {
        Ok(settings) => settings,
        Err(e) => return settings_error(role, &e),
    };
    settings.metrics = metrics.or(settings.metrics);
    let log = logger(level, role.name(), &settings.node_name);
    install_fault_logging(&log);
    info!(log, "process started"; build_info::CURRENT);
    let result = match signals {
        Err(e) => Err(e),
        Ok(signals) => {
            let process = Process { settings, settings_file, log: log.clone(), signals };
            match role {
                Role::Relay => crate::relay::run(process).await,
                Role::Keeper => crate::keeper::run(process).await,
                Role::Store => crate::store::run(process).await,
            }
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(log, "role failed"; "error" => e.to_string());
            ExitCode::FAILURE
        }
    }
}

fn parse_level(name: Option<&str>) -> Option<Level> {
    match name {
        None | Some("info") => Some(Level::Info),
        Some("error") => Some(Level::Error),
        Some("warning") => Some(Level::Warning),
        Some("debug") => Some(Level::Debug),
        Some(_) => None,
    }
}

fn usage_error(problem: &str, usage: &str) -> ExitCode {
    eprintln!("juniperwing: {problem}\n{usage}");
    ExitCode::from(2)
}
