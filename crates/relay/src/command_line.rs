//! The command line: parses the arguments, sets up logging and signal handlers, and runs the command.

use std::ffi::OsString;
use std::io;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use juniperwing_node::build_info;
use juniperwing_node::role::Role;
use lexopt::prelude::*;
use slog::{Level, error, o};
use snafu::ResultExt;

use crate::config::Config;
use crate::event_loop::Signals;
use crate::server::{self, RegisterSignalsSnafu, ServeError};

/// The exit code for an invalid command line or configuration.
const USAGE_ERROR_EXIT_CODE: u8 = 2;

const USAGE: &str = "\
juniperwing takes notifications on over HTTP and pushes them to their destinations. It is also a serving tier for agent
programs, of three roles.

Usage: juniperwing [COMMAND] [OPTIONS]

Commands of the relay for notifications:
  serve          Serve until SIGTERM or SIGINT (the default); SIGHUP has the configuration read anew
  check-config   Read the configuration, say what is in it or what is wrong with it, and exit

Commands of the serving tier; --help behind one tells its options:
  relay          Carry requests of clients to endpoints
  keeper         Keep the configuration, the endpoints and the store map
  store          Keep turns and budgets of programs
  check-configuration FILE
                 Read an operator's configuration and print what is in it, or all that is wrong with it
  local FOLDER   Start the roles of a folder of settings on this machine, for trying the tier out
  endpoint       Start a stand-in for an endpoint, for trying the tier out

Other commands:
  version        Print the version
  help           Print this

Options of serve and check-config:
  --config FILE       The configuration, in JSON [environment: ROUTER_CONFIG]
  --log-level LEVEL   error, warning, info or debug [default: info; environment: JUNIPERWING_LOG]
  -h, --help          Print this
  -V, --version       Print the version

The environment also gives ROUTER_STATE, the folder that lasts, and may give ROUTER_NAME, ROUTER_LISTEN and
ROUTER_DISCOVERY where the configuration does not.
";

enum Command {
    Serve,
    CheckConfig,
    Version,
    Help,
}

struct Arguments {
    command: Command,
    config: Option<PathBuf>,
    log_level: Level,
}

/// Runs the program with its arguments, without the program name.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    let lossy: Vec<String> =
        arguments.iter().map(|argument| argument.to_string_lossy().into_owned()).collect();
    if let Some(code) = run_tier_command(&lossy) {
        return code;
    }
    let arguments = match parse_arguments(arguments) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&format!("{error}\nTry 'juniperwing help'.")),
    };
    match arguments.command {
        Command::Version => println!("{}", build_info::CURRENT),
        Command::Help => print!("{USAGE}"),
        Command::CheckConfig => return check_config(arguments.config),
        Command::Serve => return serve(arguments),
    }
    ExitCode::SUCCESS
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("juniperwing: {message}");
    ExitCode::from(USAGE_ERROR_EXIT_CODE)
}

/// Runs a command of the serving tier, if the first argument is one.
fn run_tier_command(arguments: &[String]) -> Option<ExitCode> {
    let (command, arguments) = arguments.split_first()?;
    if let Some(role) = Role::from_name(command) {
        return Some(juniperwing_node::command::run(role, arguments));
    }
    match command.as_str() {
        "local" => Some(juniperwing_node::local::run(arguments)),
        "endpoint" => Some(juniperwing_stand_in::command::run(arguments)),
        "check-configuration" => Some(juniperwing_node::check_configuration::run(arguments)),
        _ => None,
    }
}

fn parse_arguments(arguments: Vec<OsString>) -> Result<Arguments, lexopt::Error> {
    let environment_level = std::env::var("JUNIPERWING_LOG").ok().filter(|level| !level.is_empty());
    let mut parsed = Arguments { command: Command::Serve, config: None, log_level: Level::Info };
    if let Some(level) = environment_level {
        parsed.log_level = parse_log_level(&level)?;
    }
    let mut parser = lexopt::Parser::from_args(arguments);
    let mut has_command = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => parsed.command = Command::Help,
            Short('V') | Long("version") => parsed.command = Command::Version,
            Long("config") => parsed.config = Some(parser.value()?.into()),
            Long("log-level") => parsed.log_level = parse_log_level(&parser.value()?.string()?)?,
            Value(name) if !has_command => {
                has_command = true;
                parsed.command = match name.to_str() {
                    Some("serve") => Command::Serve,
                    Some("check-config") => Command::CheckConfig,
                    Some("version") => Command::Version,
                    Some("help") => Command::Help,
                    _ => return Err(format!("unknown command {name:?}").into()),
                };
            }
            argument => return Err(argument.unexpected()),
        }
    }
    Ok(parsed)
}

fn parse_log_level(name: &str) -> Result<Level, lexopt::Error> {
    name.parse().map_err(|()| format!("unknown log level {name:?}").into())
}

fn check_config(path: Option<PathBuf>) -> ExitCode {
    let config = match Config::read(path) {
        Ok(config) => config,
        Err(error) => return usage_error(&error.to_string()),
    };
    let state = config.state_directory.as_ref().map(|state| format!(" in {}", state.display()));
    println!(
        "{} listens on {}, asks {}, keeps up to {} bytes{}\n{}",
        config.static_config.name,
        config.static_config.listen,
        config.discovery_address,
        config.static_config.limits.disk_bytes(),
        state.unwrap_or_default(),
        config.settings,
    );
    ExitCode::SUCCESS
}

fn serve(arguments: Arguments) -> ExitCode {
    // Registered before the configuration is read, so that a signal received meanwhile is handled afterwards.
    let signals = register_signals();
    let config = match Config::read(arguments.config) {
        Ok(config) => config,
        Err(error) => return usage_error(&error.to_string()),
    };
    match config.state_directory.clone() {
        Some(state) => serve_with_log(config, &state, signals, arguments.log_level),
        None => usage_error("no folder that lasts: set ROUTER_STATE"),
    }
}

fn serve_with_log(
    config: Config, state_directory: &Path, signals: io::Result<Signals>, level: Level,
) -> ExitCode {
    let (log, guard) = juniperwing_log::background(io::stderr(), level, o!());
    let result: Result<(), ServeError> = signals
        .context(RegisterSignalsSnafu)
        .and_then(|signals| server::serve(config, state_directory, signals, log.clone()));
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(log, "relay failed"; "error" => e.to_string());
            ExitCode::FAILURE
        }
    };
    guard.flush();
    code
}

/// Registers handlers that write a byte for each signal to the stream of its kind: shutdown or reload.
fn register_signals() -> io::Result<Signals> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let (stop, stop_sender) = UnixStream::pair()?;
    let (reload, reload_sender) = UnixStream::pair()?;
    for (signal, sender) in [(SIGTERM, &stop_sender), (SIGINT, &stop_sender), (SIGHUP, &reload_sender)] {
        signal_hook::low_level::pipe::register(signal, sender.try_clone()?)?;
    }
    Ok(Signals { stop, reload })
}
