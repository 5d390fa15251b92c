//! The command `juniperwing endpoint`.

use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use tokio::signal::unix::{SignalKind, signal};

use crate::options::EndpointOptions;

/// The longest id, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Runs a stand-in with the arguments behind `endpoint`, until SIGTERM or SIGINT.
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
        Ok(matches) => return misused(&format!("unknown argument {:?}", matches.free[0])),
        Err(e) => return misused(&e.to_string()),
    };
    if matches.opt_present("help") {
        print!("{usage}");
        return ExitCode::SUCCESS;
    }
    match endpoint_options(&matches) {
        Ok(options) => serve(options),
        Err(e) => misused(&e),
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

fn endpoint_options(matches: &Matches) -> Result<EndpointOptions, String> {
    let default = EndpointOptions::default();
    let keepers: Vec<_> =
        matches.opt_strs("keeper").iter().map(|text| parsed("keeper", text)).collect::<Result<_, _>>()?;
    let instance = matches.opt_str("id").unwrap_or(default.instance);
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if instance.is_empty() || instance.len() > MAX_ID_BYTES || !instance.bytes().all(is_plain) {
        return Err(format!("--id: up to {MAX_ID_BYTES} letters, digits, '-', '_' and '.'"));
    }
    Ok(EndpointOptions {
        instance,
        service: matches.opt_str("service").unwrap_or(default.service),
        zone: matches.opt_str("zone").unwrap_or(default.zone),
        listen: given(matches, "listen")?.unwrap_or(default.listen),
        keepers: if keepers.is_empty() { default.keepers } else { keepers },
        capacity: given(matches, "capacity")?.unwrap_or(default.capacity),
        heartbeat: default.heartbeat,
        drain: given(matches, "drain-ms")?.map_or(default.drain, Duration::from_millis),
        stream_prefix: matches.opt_str("stream-prefix").unwrap_or(default.stream_prefix),
        events: given(matches, "events")?.unwrap_or(default.events),
        pause: given(matches, "pause-ms")?.map_or(default.pause, Duration::from_millis),
    })
}

fn given<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, String> {
    matches.opt_str(name).map(|text| parsed(name, &text)).transpose()
}

fn parsed<T: FromStr>(name: &str, text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("--{name}: {text:?} cannot be read"))
}

fn serve(options: EndpointOptions) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.and_then(|runtime| {
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
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("juniperwing endpoint: {e}");
            ExitCode::FAILURE
        }
    }
}

fn misused(why: &str) -> ExitCode {
    eprintln!("juniperwing endpoint: {why}\nTry 'juniperwing endpoint --help'.");
    ExitCode::from(2)
}
