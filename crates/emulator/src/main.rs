//! Plays days by seed on several cores and prints what they break.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use getopts::Options;
use juniperwing_clock::Time;
use juniperwing_emulator::aim::day_of;
use juniperwing_emulator::oracle::{Finding, Property, judge};
use juniperwing_emulator::shrink::{findings, shrink};
use juniperwing_emulator::world::play;

/// Findings of a property that are shrunk; of further ones only the seeds are counted.
const SHRUNK: usize = 2;

/// What the command line asks for.
struct Wanted {
    first: u64,
    days: u64,
    jobs: usize,
    log: bool,
    brief: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match Wanted::parse(&arguments) {
        Err(usage) => {
            eprint!("{usage}");
            ExitCode::from(2)
        }
        Ok(wanted) if wanted.log => print_day(wanted.first),
        Ok(wanted) => play_many(&wanted),
    }
}

impl Wanted {
    /// Reads the command line, or gives back how it is used.
    fn parse(arguments: &[String]) -> Result<Wanted, String> {
        let mut options = Options::new();
        options.optopt("", "days", "how many days to play [default: 1000]", "COUNT");
        options.optopt("", "jobs", "on how many cores [default: 4]", "COUNT");
        options.optopt("", "seed", "the seed of the first day [default: 1]", "SEED");
        options.optflag("", "log", "play the first day only and print all that was seen");
        options.optflag("", "brief", "count findings only; don't look for the least troubles");
        options.optflag("h", "help", "print this");
        let usage = options.usage("Usage: juniperwing-emulator [OPTIONS]");
        let matches = options.parse(arguments).map_err(|error| format!("{error}\n{usage}"))?;
        if matches.opt_present("help") || !matches.free.is_empty() {
            return Err(usage);
        }
        let number = |name: &str, default: u64| {
            matches.opt_get_default(name, default).map_err(|error| format!("--{name}: {error}\n{usage}"))
        };
        Ok(Wanted {
            first: number("seed", 1)?,
            days: number("days", 1_000)?,
            jobs: number("jobs", 4)?.max(1) as usize,
            log: matches.opt_present("log"),
            brief: matches.opt_present("brief"),
        })
    }
}

fn print_day(seed: u64) -> ExitCode {
    let day = day_of(seed);
    print!("{day}");
    let history = play(&day, true);
    for (at, seen) in &history {
        println!("{:9.3} {seen:?}", at.since(Time::default()).as_secs_f64());
    }
    let findings = judge(&day, &history);
    findings.iter().for_each(|finding| println!("{finding}"));
    if findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn play_many(wanted: &Wanted) -> ExitCode {
    let began = Instant::now();
    let next = AtomicU64::new(wanted.first);
    let found: Mutex<BTreeMap<u64, Vec<Finding>>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..wanted.jobs {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= wanted.first + wanted.days {
                        return;
                    }
                    let findings = findings(&day_of(seed));
                    if !findings.is_empty() {
                        found.lock().expect("no player panics here").insert(seed, findings);
                    }
                }
            });
        }
    });
    let seconds = began.elapsed().as_secs_f64();
    let found = found.into_inner().expect("no player panics here");
    println!(
        "{} days in {seconds:.1} s on {} cores, {:.0} a minute; {} with findings",
        wanted.days,
        wanted.jobs,
        wanted.days as f64 / seconds * 60.0,
        found.len()
    );
    report(&found, wanted.brief);
    if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The seeds of each property, and the first ones shrunk.
fn report(found: &BTreeMap<u64, Vec<Finding>>, brief: bool) {
    let mut by_property: BTreeMap<Property, Vec<(u64, &Finding)>> = BTreeMap::new();
    for (seed, findings) in found {
        for finding in findings {
            let seeds = by_property.entry(finding.property).or_default();
            if seeds.last().is_none_or(|(last, _)| last != seed) {
                seeds.push((*seed, finding));
            }
        }
    }
    for (property, seeds) in by_property {
        let numbers: Vec<String> = seeds.iter().take(10).map(|(seed, _)| seed.to_string()).collect();
        println!("\n{property:?}: {} days, seeds {}", seeds.len(), numbers.join(", "));
        for (seed, finding) in seeds.iter().take(if brief { 0 } else { SHRUNK }) {
            println!("  {finding}");
            print!("  {}", shrink(&day_of(*seed), property));
        }
    }
}
