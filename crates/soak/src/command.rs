//! Command line of the soak test.

use std::io::{self, Write};
use std::num::ParseIntError;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options as Flags;
use juniperwing_node::signals::Signals;
use snafu::{ResultExt, Snafu};
use tokio::time::Instant;

use crate::coverage::Coverage;
use crate::play::{Options, Report, play};
use crate::schedule::Schedule;

/// Exit code for an invalid command line, and for a request for help.
const EXIT_CODE_USAGE: u8 = 2;
const USAGE: &str = "\
Usage: juniperwing-soak run [OPTIONS]

Plays tiers of real processes on loopback under random troubles, one seed after the other, and prints what must not be.
Exits with 1 if anything was found.";

/// Runs the soak test with the arguments that follow `run`.
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
    match RunOptions::parse(&flags, arguments) {
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_CODE_USAGE)
        }
        Ok(options) if options.only_schedules => {
            print_schedules(&options);
            ExitCode::SUCCESS
        }
        Ok(options) => match run_until_signal(&options) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("juniperwing-soak: {error}");
                ExitCode::FAILURE
            }
        },
    }
}

fn print_schedules(options: &RunOptions) {
    let mut out = io::stdout();
    for seed in options.seeds() {
        let schedule = Schedule::draw(seed, options.length_ms);
        // A reader such as `head` closes the pipe early.
        if write!(out, "{schedule}").is_err() {
            break;
        }
    }
}

/// Reason why the command line was not accepted. The display text is printed as it is.
#[derive(Debug, Snafu)]
enum UsageError {
    #[snafu(display("{usage}"))]
    HelpRequested { usage: String },
    #[snafu(display("{source}"))]
    UnknownOption { source: getopts::Fail },
    #[snafu(display("--{name}: {source}"))]
    InvalidNumber { name: &'static str, source: ParseIntError },
}

/// Options of the command `run`.
struct RunOptions {
    first_seed: u64,
    plays: u64,
    /// Plays start only within this time after the first one.
    max_seconds: Option<u64>,
    length_ms: u64,
    network: Option<u64>,
    folder: PathBuf,
    keep: bool,
    only_schedules: bool,
}

impl RunOptions {
    fn parse(flags: &Flags, arguments: &[String]) -> Result<RunOptions, UsageError> {
        let matches = flags.parse(arguments).context(UnknownOptionSnafu)?;
        if matches.opt_present("help") {
            return HelpRequestedSnafu { usage: flags.usage(USAGE) }.fail();
        }
        let number = |name| matches.opt_get::<u64>(name).context(InvalidNumberSnafu { name });
        Ok(RunOptions {
            first_seed: number("seed")?.unwrap_or(1),
            plays: number("plays")?.unwrap_or(1),
            max_seconds: number("seconds")?,
            length_ms: number("length")?.unwrap_or(25) * 1_000,
            network: number("network")?,
            folder: matches.opt_str("folder").map_or_else(|| PathBuf::from("target/soak"), PathBuf::from),
            keep: matches.opt_present("keep"),
            only_schedules: matches.opt_present("schedule"),
        })
    }

    fn seeds(&self) -> std::ops::Range<u64> {
        self.first_seed..self.first_seed.saturating_add(self.plays)
    }
}

/// Plays all seeds, or until a signal arrives. Returns whether there were no findings.
fn run_until_signal(options: &RunOptions) -> io::Result<bool> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut signals = Signals::new()?;
        tokio::select! {
            // The processes of the tier are killed when their handles are dropped.
            _ = signals.next() => Err(io::ErrorKind::Interrupted.into()),
            is_clean = play_all(options) => is_clean,
        }
    })
}

/// Plays the seeds in sequence. Returns whether there were no findings.
async fn play_all(run_options: &RunOptions) -> io::Result<bool> {
    let started_at = Instant::now();
    let mut coverage = Coverage::default();
    let (mut played, mut with_findings) = (0, 0);
    for seed in run_options.seeds() {
        if run_options.max_seconds.is_some_and(|seconds| started_at.elapsed() > Duration::from_secs(seconds))
        {
            break;
        }
        let options = Options {
            seed,
            length_ms: run_options.length_ms,
            network: run_options.network.unwrap_or(seed),
            folder: run_options.folder.join(format!("seed-{seed}")),
            program: std::env::current_exe()?,
            keep: run_options.keep,
            faults: None,
        };
        let report = play(&options).await?;
        coverage.add(&report.schedule);
        played += 1;
        with_findings += usize::from(!report.findings.is_empty());
        print_report(&report);
    }
    print!("{coverage}");
    println!("{played} plays in {} s, {with_findings} with findings", started_at.elapsed().as_secs());
    Ok(with_findings == 0)
}

fn print_report(report: &Report) {
    let seed = report.schedule.seed;
    println!("seed {seed}: {} findings; {}", report.findings.len(), report.summary);
    for finding in &report.findings {
        println!("  {}: {}", finding.guarantee, finding.details);
    }
    if let Some(folder) = &report.folder {
        println!("  files: {}", folder.display());
    }
}
