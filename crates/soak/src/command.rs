//! The command line of the soak.

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options as Flags;
use juniperwing_node::signals::Signals;
use tokio::time::Instant;

use crate::coverage::Coverage;
use crate::play::{Options, Report, play};

const USAGE: &str = "\
Usage: juniperwing-soak run [OPTIONS]

Plays tiers of real processes on loopback under random troubles, one seed after the other, and prints what must not be.
Exits with 1 if anything was found.";

/// Runs the soak with the arguments behind `run`.
pub fn run(arguments: &[String]) -> ExitCode {
    let mut flags = Flags::new();
    flags.optopt("", "seed", "the first seed [default: 1]", "NUMBER");
    flags.optopt("", "plays", "how many seeds to play [default: 1]", "COUNT");
    flags.optopt("", "seconds", "begin no further play after so long [default: no bound]", "SECONDS");
    flags.optopt("", "length", "how long troubles come in a play [default: 25]", "SECONDS");
    flags.optopt("", "network", "the number of the loopback network [default: the seed's]", "NUMBER");
    flags.optopt("", "folder", "where files go [default: target/soak]", "FOLDER");
    flags.optflag("", "keep", "keep the files of plays that found nothing, too");
    flags.optflag("", "schedule", "print the schedules and play nothing");
    flags.optflag("h", "help", "print this");
    let wanted = flags.parse(arguments).map_err(|error| error.to_string());
    let wanted = wanted.and_then(|matches| {
        if matches.opt_present("help") { Err(flags.usage(USAGE)) } else { Wanted::of(&matches) }
    });
    match wanted {
        Err(usage) => {
            eprintln!("{usage}");
            ExitCode::from(2)
        }
        Ok(wanted) if wanted.only_schedules => {
            let mut out = io::stdout();
            for seed in wanted.seeds() {
                let schedule = crate::schedule::Schedule::draw(seed, wanted.length_ms);
                // Whoever has read enough closes the pipe.
                if write!(out, "{schedule}").is_err() {
                    break;
                }
            }
            ExitCode::SUCCESS
        }
        Ok(wanted) => match serve(&wanted) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("juniperwing-soak: {error}");
                ExitCode::FAILURE
            }
        },
    }
}

/// What the command line asks for.
struct Wanted {
    first: u64,
    plays: u64,
    seconds: Option<u64>,
    length_ms: u64,
    network: Option<u64>,
    folder: PathBuf,
    keep: bool,
    only_schedules: bool,
}

impl Wanted {
    fn of(matches: &getopts::Matches) -> Result<Wanted, String> {
        let number = |name: &str| -> Result<Option<u64>, String> {
            matches.opt_get(name).map_err(|error| format!("--{name}: {error}"))
        };
        Ok(Wanted {
            first: number("seed")?.unwrap_or(1),
            plays: number("plays")?.unwrap_or(1),
            seconds: number("seconds")?,
            length_ms: number("length")?.unwrap_or(25) * 1_000,
            network: number("network")?,
            folder: matches.opt_str("folder").map_or_else(|| PathBuf::from("target/soak"), PathBuf::from),
            keep: matches.opt_present("keep"),
            only_schedules: matches.opt_present("schedule"),
        })
    }

    fn seeds(&self) -> std::ops::Range<u64> {
        self.first..self.first.saturating_add(self.plays)
    }
}

/// Plays all seeds. Returns whether nothing was found.
fn serve(wanted: &Wanted) -> io::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut signals = Signals::new()?;
        tokio::select! {
            // Processes end with this one: they are killed when their handles are dropped.
            _ = signals.next() => Err(io::ErrorKind::Interrupted.into()),
            clean = play_all(wanted) => clean,
        }
    })
}

async fn play_all(wanted: &Wanted) -> io::Result<bool> {
    let began = Instant::now();
    let mut coverage = Coverage::default();
    let (mut played, mut with_findings) = (0, 0);
    for seed in wanted.seeds() {
        if wanted.seconds.is_some_and(|seconds| began.elapsed() > Duration::from_secs(seconds)) {
            break;
        }
        let options = Options {
            seed,
            length: wanted.length_ms,
            network: wanted.network.unwrap_or(seed),
            folder: wanted.folder.join(format!("seed-{seed}")),
            program: std::env::current_exe()?,
            keep: wanted.keep,
            faults: None,
        };
        let report = play(&options).await?;
        coverage.add(&report.schedule);
        played += 1;
        with_findings += usize::from(!report.findings.is_empty());
        tell(&report);
    }
    print!("{coverage}");
    println!("{played} plays in {} s, {with_findings} with findings", began.elapsed().as_secs());
    Ok(with_findings == 0)
}

fn tell(report: &Report) {
    let seed = report.schedule.seed;
    println!("seed {seed}: {} findings; {}", report.findings.len(), report.summary);
    for finding in &report.findings {
        println!("  {}: {}", finding.guarantee, finding.details);
    }
    if let Some(folder) = &report.folder {
        println!("  files: {}", folder.display());
    }
}
