//! juniperwing on sockets: reads the command line, starts the log and the signals, and serves. It must never
//! touch a notification.

mod admit;
mod book;
mod config;
mod discovery;
mod event_loop;
mod http;
mod relay;
mod route;
mod send;
mod serve;
mod store;
mod take_in;

use std::ffi::OsString;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use juniperwing_node::role::Role;
use lexopt::prelude::*;
use slog::{Level, error, o};

use crate::config::Config;
use crate::event_loop::Signals;

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

enum Order {
    Serve,
    CheckConfig,
    Version,
    Help,
}

struct Args {
    order: Order,
    config: Option<PathBuf>,
    level: Level,
}

fn main() -> ExitCode {
    let words: Vec<String> =
        std::env::args_os().skip(1).map(|word| word.to_string_lossy().into_owned()).collect();
    if let Some(code) = serving_tier(&words) {
        return code;
    }
    let args = match arguments(std::env::args_os().skip(1).collect()) {
        Ok(args) => args,
        Err(e) => {
            eprintln!("juniperwing: {e}\nTry 'juniperwing help'.");
            return ExitCode::from(2);
        }
    };
    match args.order {
        Order::Version => println!("juniperwing {}", env!("CARGO_PKG_VERSION")),
        Order::Help => print!("{USAGE}"),
        Order::CheckConfig | Order::Serve => {
            // First, so that a signal that comes while the configuration is read is heeded once it was.
            let signals = signals();
            let config = match Config::read(args.config) {
                Ok(config) => config,
                Err(e) => {
                    eprintln!("juniperwing: {e}");
                    return ExitCode::from(2);
                }
            };
            if matches!(args.order, Order::Serve) {
                let Some(state) = config.state.clone() else {
                    eprintln!("juniperwing: no folder that lasts: set ROUTER_STATE");
                    return ExitCode::from(2);
                };
                return serve(config, &state, signals, args.level);
            }
            let state = config.state.as_ref().map(|state| format!(" in {}", state.display()));
            println!(
                "{} listens on {}, asks {}, keeps up to {} bytes{}\n{}",
                config.fixed.name,
                config.fixed.listen,
                config.discovery,
                config.fixed.limits.disk_bytes(),
                state.unwrap_or_default(),
                config.settings,
            );
        }
    }
    ExitCode::SUCCESS
}

/// Runs a command of the serving tier, if the first word is one.
fn serving_tier(words: &[String]) -> Option<ExitCode> {
    let (command, arguments) = words.split_first()?;
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

fn arguments(given: Vec<OsString>) -> Result<Args, lexopt::Error> {
    let named = std::env::var("JUNIPERWING_LOG").ok().filter(|level| !level.is_empty());
    let mut args = Args { order: Order::Serve, config: None, level: Level::Info };
    if let Some(named) = named {
        args.level = level(&named)?;
    }
    let mut parser = lexopt::Parser::from_args(given);
    let mut ordered = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('h') | Long("help") => args.order = Order::Help,
            Short('V') | Long("version") => args.order = Order::Version,
            Long("config") => args.config = Some(parser.value()?.into()),
            Long("log-level") => args.level = level(&parser.value()?.string()?)?,
            Value(word) if !ordered => {
                ordered = true;
                args.order = match word.to_str() {
                    Some("serve") => Order::Serve,
                    Some("check-config") => Order::CheckConfig,
                    Some("version") => Order::Version,
                    Some("help") => Order::Help,
                    _ => return Err(format!("unknown command {word:?}").into()),
                };
            }
            arg => return Err(arg.unexpected()),
        }
    }
    Ok(args)
}

fn level(name: &str) -> Result<Level, lexopt::Error> {
    name.parse().map_err(|()| format!("unknown log level {name:?}").into())
}

fn serve(config: Config, state: &Path, signals: std::io::Result<Signals>, level: Level) -> ExitCode {
    let (log, guard) = juniperwing_log::background(std::io::stderr(), level, o!());
    let served = signals.and_then(|signals| serve::serve(config, state, signals, log.clone()));
    let code = match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(log, "cannot go on"; "why" => e.to_string());
            ExitCode::FAILURE
        }
    };
    guard.flush();
    code
}

/// A stream for each kind of signal, with a byte for each that has come.
fn signals() -> std::io::Result<Signals> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let (stop, stops) = UnixStream::pair()?;
    let (reload, reloads) = UnixStream::pair()?;
    for (signal, to) in [(SIGTERM, &stops), (SIGINT, &stops), (SIGHUP, &reloads)] {
        signal_hook::low_level::pipe::register(signal, to.try_clone()?)?;
    }
    Ok(Signals { stop, reload })
}
