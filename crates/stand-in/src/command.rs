//! The command `juniperwing endpoint`.

use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use snafu::{OptionExt, Snafu, ensure};
use tokio::signal::unix::{SignalKind, signal};

use crate::options::EndpointOptions;

/// The maximum length of an id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// An invalid argument.
#[derive(Debug, Snafu)]
enum ArgumentError {
    #[snafu(display("--id: must be 1 to {MAX_ID_BYTES} letters, digits, '-', '_' or '.'"))]
    InvalidId,
    #[snafu(display("--{option}: {text:?} cannot be read"))]
    InvalidValue { option: &'static str, text: String },
}

/// Runs a stand-in with the arguments after `endpoint`, until SIGTERM or SIGINT.
pub fn run(arguments: &[String]) -> ExitCode {
    let options = options();
    let usage = options.usage(
        "Usage: juniperwing endpoint [OPTIONS]\n\n\
         Starts a stand-in for an endpoint, for trying the serving tier out: it registers with the keepers, says\n\
         what it was sent, and answers paths below --stream-prefix with numbered events. It does no work.\n\
         SIGTERM lets it drain and leave.",
    );
    let matches = match options.parse(arguments) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return report_misuse(&format!("unknown argument {:?}", matches.free[0])),
        Err(e) => return report_misuse(&e.to_string()),
    };
    if matches.opt_present("help") {
        print!("{usage}");
        return ExitCode::SUCCESS;
    }
    match endpoint_options(&matches) {
        Ok(options) => serve(options),
        Err(e) => report_misuse(&e.to_string()),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "service", "the service that it belongs to [default: demo]", "NAME");
    options.optmulti(
        "",
        "keeper",
        "a keeper's control listener; may be repeated [default: 127.0.0.1:8144]",
        "ADDRESS",
    );
    options.optopt("", "listen", "where it listens [default: 127.0.0.1 and a free port]", "ADDRESS");
    options.optopt("", "id", "the id of this life [default: i- and the process's number]", "ID");
    options.optopt("", "zone", "its zone [default: local]", "ZONE");
    options.optopt("", "capacity", "requests that it works on at a time [default: 8]", "NUMBER");
    options.optopt(
        "",
        "stream-prefix",
        "paths that are answered with a stream [default: /stream/]",
        "PREFIX",
    );
    options.optopt("", "events", "events of a stream [default: 5]", "NUMBER");
    options.optopt("", "pause-ms", "between two events [default: 200]", "MILLISECONDS");
    options.optopt(
        "",
        "drain-ms",
        "for how long it serves on when it leaves [default: 2000]",
        "MILLISECONDS",
    );
    options.optflag("h", "help", "print this");
    options
}

fn endpoint_options(matches: &Matches) -> Result<EndpointOptions, ArgumentError> {
    let default = EndpointOptions::default();
    let keepers: Vec<_> = matches
        .opt_strs("keeper")
        .iter()
        .map(|text| parse_value("keeper", text))
        .collect::<Result<_, _>>()?;
    let instance_id = matches.opt_str("id").unwrap_or(default.instance_id);
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_valid_length = (1..=MAX_ID_BYTES).contains(&instance_id.len());
    ensure!(is_valid_length && instance_id.bytes().all(is_plain), InvalidIdSnafu);
    Ok(EndpointOptions {
        instance_id,
        service: matches.opt_str("service").unwrap_or(default.service),
        zone: matches.opt_str("zone").unwrap_or(default.zone),
        listen: parse_option(matches, "listen")?.unwrap_or(default.listen),
        keepers: if keepers.is_empty() { default.keepers } else { keepers },
        capacity: parse_option(matches, "capacity")?.unwrap_or(default.capacity),
        heartbeat_interval: default.heartbeat_interval,
        drain_duration: parse_option(matches, "drain-ms")?
            .map_or(default.drain_duration, Duration::from_millis),
        stream_prefix: matches.opt_str("stream-prefix").unwrap_or(default.stream_prefix),
        max_events: parse_option(matches, "events")?.unwrap_or(default.max_events),
        event_interval: parse_option(matches, "pause-ms")?
            .map_or(default.event_interval, Duration::from_millis),
    })
}

fn parse_option<T: FromStr>(matches: &Matches, option: &'static str) -> Result<Option<T>, ArgumentError> {
    matches.opt_str(option).map(|text| parse_value(option, &text)).transpose()
}

fn parse_value<T: FromStr>(option: &'static str, text: &str) -> Result<T, ArgumentError> {
    text.parse().ok().context(InvalidValueSnafu { option, text })
}

fn serve(options: EndpointOptions) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.and_then(|runtime| {
        runtime.block_on(async {
            let mut terminate = signal(SignalKind::terminate())?;
            let mut interrupt = signal(SignalKind::interrupt())?;
            let stop = async {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
            };
            crate::run_until(options, stop).await
        })
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("juniperwing endpoint: {e}");
            ExitCode::FAILURE
        }
    }
}

fn report_misuse(reason: &str) -> ExitCode {
    eprintln!("juniperwing endpoint: {reason}\nTry 'juniperwing endpoint --help'.");
    ExitCode::from(2)
}
