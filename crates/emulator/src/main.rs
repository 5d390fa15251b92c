//! Runs scenarios by seed on several threads and prints the properties that they violate.

mod arguments;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use juniperwing_clock::Time;
use juniperwing_emulator::checker::{Property, Violation, check};
use juniperwing_emulator::history::{RecordedEvent, digest};
use juniperwing_emulator::shrink::{run_and_check, shrink};
use juniperwing_emulator::simulation::run;
use juniperwing_emulator::targeting::scenario_for_seed;

use self::arguments::Arguments;

/// How many violations of a property are shrunk. For the others, only the seeds are printed.
const MAX_SHRUNK_VIOLATIONS: usize = 2;
/// How many seeds are printed for a property.
const MAX_PRINTED_SEEDS: usize = 10;

/// The violations of each seed that has any.
type ViolationsBySeed = BTreeMap<u64, Vec<Violation>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match Arguments::parse(&arguments) {
        Err(error) => {
            eprint!("{error}");
            ExitCode::from(2)
        }
        Ok(arguments) if arguments.log => run_and_print(&arguments),
        Ok(arguments) if arguments.digest => print_digests(&arguments),
        Ok(arguments) => run_many(&arguments),
    }
}

/// Runs one scenario and prints its history and its violations.
fn run_and_print(arguments: &Arguments) -> ExitCode {
    let scenario = scenario_for_seed(arguments.suite, arguments.first_seed);
    print!("{scenario}");
    let history = run(&scenario, true);
    for RecordedEvent { at, event } in &history {
        println!("{:9.3} {event:?}", at.since(Time::default()).as_secs_f64());
    }
    let violations = check(&scenario, &history);
    violations.iter().for_each(|violation| println!("{violation}"));
    if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs all scenarios that the arguments select and prints a summary.
fn run_many(arguments: &Arguments) -> ExitCode {
    let started = Instant::now();
    let violations = violations_by_seed(arguments);
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{} days in {seconds:.1} s on {} cores, {:.0} a minute; {} with findings",
        arguments.scenarios,
        arguments.threads,
        arguments.scenarios as f64 / seconds * 60.0,
        violations.len()
    );
    report(&violations, arguments);
    if violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn violations_by_seed(arguments: &Arguments) -> ViolationsBySeed {
    let found = results_by_seed(arguments, |seed| run_and_check(&scenario_for_seed(arguments.suite, seed)));
    found.into_iter().filter(|(_, violations)| !violations.is_empty()).collect()
}

/// Prints the digest of the history of each scenario, in order of seeds.
fn print_digests(arguments: &Arguments) -> ExitCode {
    let digests =
        results_by_seed(arguments, |seed| digest(&run(&scenario_for_seed(arguments.suite, seed), true)));
    digests.iter().for_each(|(seed, digest)| println!("{seed} {digest}"));
    ExitCode::SUCCESS
}

/// Calls `run_seed` for each seed that the arguments select, on several threads.
fn results_by_seed<T: Send>(arguments: &Arguments, run_seed: impl Fn(u64) -> T + Sync) -> BTreeMap<u64, T> {
    let next = AtomicU64::new(arguments.first_seed);
    let results: Mutex<BTreeMap<u64, T>> = Mutex::default();
    let run_seeds = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= arguments.first_seed + arguments.scenarios {
                return;
            }
            let result = run_seed(seed);
            results.lock().expect("no thread panics with the lock").insert(seed, result);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads {
            scope.spawn(run_seeds);
        }
    });
    results.into_inner().expect("no thread panics with the lock")
}

/// Prints the seeds that violate each property, and the shrunk scenarios of the first few.
fn report(found: &ViolationsBySeed, arguments: &Arguments) {
    let mut by_property: BTreeMap<Property, Vec<(u64, &Violation)>> = BTreeMap::new();
    for (seed, violations) in found {
        for violation in violations {
            let seeds = by_property.entry(violation.property).or_default();
            if seeds.last().is_none_or(|(last, _)| last != seed) {
                seeds.push((*seed, violation));
            }
        }
    }
    for (property, seeds) in by_property {
        let numbers: Vec<String> =
            seeds.iter().take(MAX_PRINTED_SEEDS).map(|(seed, _)| seed.to_string()).collect();
        println!("\n{property:?}: {} days, seeds {}", seeds.len(), numbers.join(", "));
        for (seed, violation) in seeds.iter().take(if arguments.brief { 0 } else { MAX_SHRUNK_VIOLATIONS }) {
            println!("  {violation}");
            print!("  {}", shrink(&scenario_for_seed(arguments.suite, *seed), property));
        }
    }
}
