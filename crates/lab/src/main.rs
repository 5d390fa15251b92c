//! juniperwing-lab: plays scenarios with the core or another policy, compares and sweeps them, and writes reports. It
//! owns the command line and its exit codes. It must never reach beyond the files that it is given.

mod adapter;
mod baselines;
mod compare;
mod file;
mod hunt;
mod play;
mod plots;
mod report;

use std::error::Error;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use juniperwing_model::scenario::FaultKind;
use juniperwing_model::{Metrics, Scenario};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::compare::Difference;
use crate::hunt::Shows;
use crate::play::Run;
use crate::plots::Line;

/// Plays juniperwing's decisions against models of what a relay serves, at sizes that sockets don't reach.
#[derive(Parser)]
#[command(name = "juniperwing-lab", version)]
struct Cli {
    #[command(subcommand)]
    order: Order,
}

#[derive(Subcommand)]
enum Order {
    /// Play a scenario and write a folder with its figures and a report
    Run {
        /// A scenario file, or the name of one in lab/scenarios
        scenario: PathBuf,
        #[command(flatten)]
        how: How,
        /// Whose decisions: core, one-try, backoff, breaker, oracle, or adapter:PROGRAM of another build
        #[arg(long, default_value = "core")]
        policy: String,
        /// Play the first seed once more on one core and say where the time goes
        #[arg(long)]
        time: bool,
    },
    /// Play two scenarios, or two policies on one, on the same seeds, and state the difference
    Compare {
        /// The first: SCENARIO or SCENARIO@POLICY, such as small@adapter:target/release/juniperwing-adapter
        a: String,
        /// The second
        b: String,
        #[command(flatten)]
        how: How,
    },
    /// Play a scenario with one of its figures at several values
    Sweep {
        /// A scenario file, or the name of one in lab/scenarios
        scenario: PathBuf,
        /// Which, and its values: traffic.load=0.6,0.8,1.0 or trouble.0.extent=0.1,0.3
        #[arg(long)]
        over: String,
        #[command(flatten)]
        how: How,
        /// Whose decisions; may be given several times
        #[arg(long, default_value = "core")]
        policy: Vec<String>,
    },
    /// Search seeds and combinations of troubles for a broken rule or the worst day, and shrink what is found
    Hunt {
        /// A scenario file, or the name of one in lab/scenarios; its own troubles are left out
        scenario: PathBuf,
        #[command(flatten)]
        how: How,
        /// Days to play
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        budget: u64,
        /// Only troubles of these kinds
        #[arg(long, value_delimiter = ',')]
        only: Vec<String>,
        /// Look for broken rules alone; else the loss against an oracle counts too
        #[arg(long)]
        rules: bool,
        /// Whose decisions
        #[arg(long, default_value = "core")]
        policy: String,
    },
    /// Play a day again that a hunt found: the file's own seed
    Replay {
        /// The file
        file: PathBuf,
        /// The folder for results
        #[arg(long, default_value = "target/lab")]
        out: PathBuf,
        /// Whose decisions
        #[arg(long, default_value = "core")]
        policy: String,
    },
    /// Which troubles, alone and in pairs, cost a policy most against the best baseline and the oracle
    Survey {
        /// A scenario file, or the name of one in lab/scenarios; its own troubles are left out
        scenario: PathBuf,
        #[command(flatten)]
        how: How,
        /// Pairs too, not only troubles alone
        #[arg(long)]
        pairs: bool,
    },
    /// Check scenario files and say what is wrong with them
    Check {
        /// Scenario files
        #[arg(required = true)]
        scenarios: Vec<PathBuf>,
    },
    /// List the scenarios in lab/scenarios
    Scenarios,
}

#[derive(Args)]
struct How {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds, one after the other
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Cores; 0: all there are
    #[arg(long, default_value_t = 0)]
    jobs: usize,
    /// The folder for results; each run has one of its own in it
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
    /// No progress bar
    #[arg(long)]
    quiet: bool,
}

impl How {
    fn seeds(&self) -> impl Iterator<Item = u64> {
        self.seed..self.seed.saturating_add(self.seeds)
    }

    fn play(&self, runs: &[Run]) -> Result<Vec<Metrics>, String> {
        play::play(runs, self.jobs, self.quiet)
    }
}

fn main() -> ExitCode {
    let done = match Cli::parse().order {
        Order::Run { scenario, how, policy, time } => run(&scenario, &how, &policy)
            .and_then(|code| if time { timed(&scenario, &how, &policy) } else { Ok(code) }),
        Order::Compare { a, b, how } => compare(&a, &b, &how),
        Order::Sweep { scenario, over, how, policy } => sweep(&scenario, &over, &how, &policy),
        Order::Hunt { scenario, how, budget, only, rules, policy } => {
            hunt(&scenario, &how, budget as usize, &only, rules, &policy)
        }
        Order::Replay { file, out, policy } => replay(&file, &out, &policy),
        Order::Survey { scenario, how, pairs } => survey(&scenario, &how, pairs),
        Order::Check { scenarios } => check(&scenarios),
        Order::Scenarios => scenarios(),
    };
    match done {
        Ok(code) => code,
        Err(e) => {
            eprintln!("juniperwing-lab: {e}");
            ExitCode::from(2)
        }
    }
}

type Done = Result<ExitCode, Box<dyn Error>>;

/// 0, or 1 where a rule was broken or a run cut off.
fn code(metrics: &[Metrics]) -> ExitCode {
    let bad = metrics.iter().any(|metrics| metrics.violation_count > 0 || metrics.is_truncated);
    if bad { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn known(policy: &str) -> Result<(), String> {
    if play::is_known(policy) {
        return Ok(());
    }
    Err(format!("there is no policy {policy:?}; there are {} and adapter:PROGRAM", play::POLICIES.join(", ")))
}

fn folder(out: &Path, metrics: &Metrics) -> PathBuf {
    out.join(format!("{}-{}-{}", metrics.scenario, metrics.policy, metrics.seed))
}

fn run(scenario: &Path, how: &How, policy: &str) -> Done {
    known(policy)?;
    let scenario = file::read(scenario)?;
    let run = |seed| Run { scenario: scenario.clone(), seed, policy: policy.to_owned() };
    let metrics = how.play(&how.seeds().map(run).collect::<Vec<_>>())?;
    for metrics in &metrics {
        let folder = folder(&how.out, metrics);
        report::run(&folder, &scenario, metrics)?;
        println!("{}\n  {}", report::summary(metrics), folder.join("report.html").display());
        for broken in metrics.violations.iter().take(3) {
            println!("  {} at {:.3} s: {}", broken.rule, broken.at_s, broken.what);
        }
    }
    Ok(code(&metrics))
}

/// Where the time of a run goes.
fn timed(scenario: &Path, how: &How, policy: &str) -> Done {
    let run = Run { scenario: file::read(scenario)?, seed: how.seed, policy: policy.to_owned() };
    let (metrics, decisions, all) = play::timed(&run)?;
    let (model, events) = (all.saturating_sub(decisions), metrics.events.max(1));
    let micros = |time: std::time::Duration| time.as_secs_f64() * 1e6;
    println!(
        "{:.1} simulated s a second; decisions {:.2} s ({:.2} us a turn), model {:.2} s ({:.2} us an event)",
        metrics.seconds.len() as f64 / all.as_secs_f64().max(1e-9),
        decisions.as_secs_f64(),
        micros(decisions) / metrics.turns.max(1) as f64,
        model.as_secs_f64(),
        micros(model) / events as f64
    );
    Ok(code(&[metrics]))
}

/// `SCENARIO` or `SCENARIO@POLICY`.
fn side(named: &str) -> Result<(Scenario, String), Box<dyn Error>> {
    let (path, policy) = named.split_once('@').unwrap_or((named, "core"));
    known(policy)?;
    Ok((file::read(Path::new(path))?, policy.to_owned()))
}

fn compare(a: &str, b: &str, how: &How) -> Done {
    let sides = [side(a)?, side(b)?];
    let runs: Vec<Run> = how
        .seeds()
        .flat_map(|seed| {
            let run = |(scenario, policy): &(Scenario, String)| (scenario.clone(), policy.clone());
            sides.each_ref().map(run).map(|(scenario, policy)| Run { scenario, seed, policy })
        })
        .collect();
    let metrics = how.play(&runs)?;
    let pairs: Vec<(&Metrics, &Metrics)> = metrics.chunks(2).map(|pair| (&pair[0], &pair[1])).collect();
    type Read = fn(&Metrics) -> f64;
    let rows: [(&str, Read); 6] = [
        ("served", |f| f.served),
        ("worst 10 s", |f| f.worst_window.0),
        ("worst topic type", |f| f.worst_topic),
        ("worst account", |f| f.worst_account),
        ("pushes for each handed in", |f| {
            f.pushes.sent as f64 / f.topics.iter().map(|t| t.offered).sum::<u64>().max(1) as f64
        }),
        ("rules broken", |f| f.violation_count as f64),
    ];
    let mut body = format!("<p>A: {}<br>B: {}</p>", report::text(a), report::text(b));
    body += "<table><tr><th>Figure<th>A<th>B<th>B less A<th>95 %</tr>";
    println!("A: {a}\nB: {b}\n{:<26} {:>9} {:>9} {:>9}  95 % of the mean", "figure", "A", "B", "B - A");
    for (name, read) in rows {
        let values: Vec<(f64, f64)> = pairs.iter().map(|(a, b)| (read(a), read(b))).collect();
        let d = Difference::of(&values);
        let said = if d.is_clear() { "" } else { "  not clear" };
        println!(
            "{name:<26} {:>9.4} {:>9.4} {:>+9.4}  {:+.4} to {:+.4}{said}",
            d.means.0, d.means.1, d.mean, d.interval.0, d.interval.1
        );
        write!(
            body,
            "<tr><td>{name}<td>{:.4}<td>{:.4}<td>{:+.4}<td>{:+.4} to {:+.4}{said}</tr>",
            d.means.0, d.means.1, d.mean, d.interval.0, d.interval.1
        )?;
    }
    body += "</table>";
    let served = |read: fn(&(&Metrics, &Metrics)) -> f64| pairs.iter().map(read).collect::<Vec<_>>();
    let lines = [Line::of("A", &served(|p| p.0.served)), Line::of("B", &served(|p| p.1.served))];
    body += &plots::lines("Served, by seed", "place of the seed", "share", &lines, &[])?;
    let path = how.out.join("compare.html");
    std::fs::create_dir_all(&how.out)?;
    std::fs::write(&path, report::page("Comparison", &body))?;
    println!("{} pairs; {}", pairs.len(), path.display());
    Ok(code(&metrics))
}

/// A scenario with the figure at a path of keys set.
fn with(scenario: &Scenario, path: &str, value: f64) -> Result<Scenario, Box<dyn Error>> {
    let mut whole = toml::Value::try_from(scenario)?;
    let mut at = &mut whole;
    for key in path.split('.') {
        let next = match key.parse::<usize>() {
            Ok(place) => at.get_mut(place),
            Err(_) => at.get_mut(key),
        };
        at = next.ok_or_else(|| format!("the scenario has no {path}"))?;
    }
    *at = match at {
        toml::Value::Integer(_) if value.fract() == 0.0 => toml::Value::Integer(value as i64),
        toml::Value::Integer(_) | toml::Value::Float(_) | toml::Value::Array(_) => toml::Value::Float(value),
        _ => return Err(format!("{path} is no number").into()),
    };
    Ok(file::parse(&toml::to_string(&whole)?, &format!("{path} = {value}"))?)
}

fn sweep(scenario: &Path, over: &str, how: &How, policies: &[String]) -> Done {
    policies.iter().try_for_each(|policy| known(policy))?;
    let scenario = file::read(scenario)?;
    let (path, values) = over.split_once('=').ok_or("--over wants KEY=VALUE,VALUE,..")?;
    let values = values.split(',').map(|v| v.trim().parse::<f64>().map_err(|e| format!("{v:?}: {e}")));
    let values: Vec<f64> = values.collect::<Result<_, _>>()?;
    let mut runs = Vec::new();
    for policy in policies {
        for value in &values {
            let scenario = with(&scenario, path, *value)?;
            runs.extend(how.seeds().map(|seed| Run {
                scenario: scenario.clone(),
                seed,
                policy: policy.clone(),
            }));
        }
    }
    let metrics = how.play(&runs)?;
    std::fs::create_dir_all(&how.out)?;
    let mut table = csv::Writer::from_path(how.out.join("sweep.csv"))?;
    table.write_record(["policy", path, "seed", "served", "worst_window", "broken"])?;
    let (mut lines, mut rest) = (Vec::new(), metrics.as_slice());
    for policy in policies {
        let mut line = Line { name: policy.clone(), points: Vec::new(), band: Vec::new() };
        for value in &values {
            let (here, later) = rest.split_at(how.seeds as usize);
            rest = later;
            for f in here {
                table.serialize((policy, value, f.seed, f.served, f.worst_window.0, f.violation_count))?;
            }
            let served = || here.iter().map(|f| f.served);
            let mean = served().sum::<f64>() / here.len().max(1) as f64;
            let (least, most) = (served().fold(1.0, f64::min), served().fold(0.0, f64::max));
            let broken = here.iter().filter(|f| f.violation_count > 0).count();
            line.points.push((*value, mean));
            line.band.push((*value, least, most));
            println!(
                "{policy:<9} {path} = {value:<8} served {mean:.4} ({least:.4} to {most:.4})  runs with a broken rule {broken}"
            );
        }
        lines.push(line);
    }
    table.flush()?;
    let title = format!("Served over {path}: mean, least and most of {} seeds", how.seeds);
    let body = plots::lines(&title, path, "share", &lines, &[])?;
    let path = how.out.join("sweep.html");
    std::fs::write(&path, report::page(&format!("Sweep of {}", scenario.name), &body))?;
    println!("{}", path.display());
    Ok(code(&metrics))
}

/// Troubles by their names in scenarios; all that a hunt draws from if none is named.
fn woes(only: &[String]) -> Result<Vec<FaultKind>, String> {
    let named = |name: &String| {
        let all = || hunt::woes().map(report::name).collect::<Vec<_>>().join(", ");
        hunt::woes()
            .find(|woe| report::name(*woe) == *name)
            .ok_or_else(|| format!("no trouble {name:?}: {}", all()))
    };
    if only.is_empty() { Ok(hunt::woes().collect()) } else { only.iter().map(named).collect() }
}

fn hunt(scenario: &Path, how: &How, budget: usize, only: &[String], rules: bool, policy: &str) -> Done {
    known(policy)?;
    let (scenario, only) = (file::read(scenario)?, woes(only)?);
    let runs = hunt::days(&scenario, &only, how.seed, budget);
    let runs: Vec<Run> = runs.into_iter().map(|run| Run { policy: policy.to_owned(), ..run }).collect();
    let beside = |runs: &[Run]| -> Result<Vec<Option<Metrics>>, String> {
        if rules {
            return Ok(runs.iter().map(|_| None).collect());
        }
        let oracle: Vec<Run> =
            runs.iter().map(|run| Run { policy: "oracle".to_owned(), ..run.clone() }).collect();
        Ok(how.play(&oracle)?.into_iter().map(Some).collect())
    };
    let (metrics, others) = (how.play(&runs)?, beside(&runs)?);
    let shown: Vec<Shows> = metrics.iter().zip(&others).map(|(f, o)| Shows::of(f, o.as_ref())).collect();
    let broken = shown.iter().filter(|s| matches!(s, Shows::Broken(_))).count();
    println!("{} days played, {broken} with a broken rule", runs.len());
    let worst = (0..runs.len()).max_by(|a, b| {
        let (a, b) = (shown[*a].rank(), shown[*b].rank());
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    let Some(worst) = worst.filter(|_| !rules || broken > 0) else { return Ok(ExitCode::SUCCESS) };
    println!("the worst: {:?}, seed {}; it is cut down ...", shown[worst], runs[worst].seed);
    let quiet = How { quiet: true, out: how.out.clone(), ..*how };
    let show = |scenario: &Scenario| {
        let run = [Run { scenario: scenario.clone(), ..runs[worst].clone() }];
        let metrics = quiet.play(&run)?;
        let others = beside(&run)?;
        Ok(Shows::of(&metrics[0], others[0].as_ref()))
    };
    let (mut least, found) = hunt::shrink(&runs[worst].scenario, &shown[worst], show)?;
    least.name = format!("{}-found-{}", scenario.name, runs[worst].seed);
    least.about = format!("Found by a hunt with {policy}: {found:?}");
    least.seed = Some(runs[worst].seed);
    std::fs::create_dir_all(&how.out)?;
    let path = how.out.join(format!("{}.toml", least.name));
    std::fs::write(&path, file::write(&least)?)?;
    let troubles: Vec<String> = least.faults.iter().map(|t| report::name(t.what)).collect();
    println!(
        "{found:?} with {} relays, {} destinations, {:.1} s, troubles: {}\n{}",
        least.relays.count.least,
        least.destinations.count.least,
        least.span_s.least,
        troubles.join(", "),
        path.display()
    );
    Ok(if broken > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn replay(path: &Path, out: &Path, policy: &str) -> Done {
    let seed = file::read(path)?.seed.ok_or("the file names no seed; play it with run --seed")?;
    let how = How { seed, seeds: 1, jobs: 1, out: out.to_owned(), quiet: true };
    run(path, &how, policy)
}

/// Troubles, what each policy served, how far the core is behind the best baseline and the oracle, and in how many
/// runs it broke a rule.
type Row = (String, Vec<f64>, f64, f64, usize);

fn survey(scenario: &Path, how: &How, pairs: bool) -> Done {
    let mut scenario = file::read(scenario)?;
    scenario.faults.clear();
    let all: Vec<FaultKind> = hunt::woes().collect();
    let mut sets: Vec<Vec<FaultKind>> =
        std::iter::once(Vec::new()).chain(all.iter().map(|woe| vec![*woe])).collect();
    if pairs {
        let second = |n: usize| all[n + 1..].iter().map(move |b| (n, *b));
        sets.extend((0..all.len()).flat_map(second).map(|(a, b)| vec![all[a], b]));
    }
    // An oracle, and the baselines that keep no more than their own books.
    let policies = play::POLICIES;
    let mut runs = Vec::new();
    for set in &sets {
        for seed in how.seeds() {
            let mut day = scenario.resolve(seed);
            let mut chance = ChaCha8Rng::seed_from_u64(seed);
            day.faults = set.iter().map(|what| hunt::trouble(&day, *what, &mut chance)).collect();
            let run = |policy: &str| Run { scenario: day.clone(), seed, policy: policy.to_owned() };
            runs.extend(policies.map(run));
        }
    }
    let metrics = how.play(&runs)?;
    std::fs::create_dir_all(&how.out)?;
    let mut table = csv::Writer::from_path(how.out.join("survey.csv"))?;
    let head = [
        "troubles",
        "core",
        "one-try",
        "backoff",
        "breaker",
        "oracle",
        "behind_best_kept",
        "behind_oracle",
        "core_broken",
    ];
    table.write_record(head)?;
    let mut rows: Vec<Row> = Vec::new();
    for (set, runs) in sets.iter().zip(metrics.chunks(policies.len() * how.seeds as usize)) {
        let of = |policy: usize| runs.iter().skip(policy).step_by(policies.len());
        let mean = |policy: usize| of(policy).map(|f| f.served).sum::<f64>() / how.seeds as f64;
        let broken = |policy: usize| of(policy).filter(|f| f.violation_count > 0).count();
        let served: Vec<f64> = (0..policies.len()).map(mean).collect();
        // A baseline that breaks rules on these days is none to be behind of.
        let best =
            (1..4).filter(|policy| broken(*policy) == 0).map(|policy| served[policy]).fold(0.0, f64::max);
        let name = set.iter().map(|woe| report::name(*woe)).collect::<Vec<_>>().join("+");
        let name = if name.is_empty() { "calm".to_owned() } else { name };
        let (behind, behind_oracle) = (best - served[0], served[4] - served[0]);
        table.serialize((&name, &served, behind, behind_oracle, broken(0)))?;
        rows.push((name, served, behind, behind_oracle, broken(0)));
    }
    table.flush()?;
    rows.sort_by(|a, b| b.3.total_cmp(&a.3));
    println!(
        "{:<26} {:>7} {:>8} {:>8} {:>8} {:>7} {:>9} {:>9}  broken",
        "troubles", "core", "one-try", "backoff", "breaker", "oracle", "b. best", "b. oracle"
    );
    for (name, served, behind, behind_oracle, broken) in rows.iter().take(30) {
        println!(
            "{name:<26} {:>7.4} {:>8.4} {:>8.4} {:>8.4} {:>7.4} {behind:>+9.4} {behind_oracle:>+9.4}  {broken}",
            served[0], served[1], served[2], served[3], served[4]
        );
    }
    let points = |read: &dyn Fn(&Row) -> f64| rows.iter().map(read).collect::<Vec<_>>();
    let lines = [
        Line::of("behind the oracle", &points(&|row| row.3.max(0.0))),
        Line::of("behind the best baseline that kept the rules", &points(&|row| row.2.max(0.0))),
    ];
    let mut body =
        plots::lines("What each set of troubles costs the core", "place in the table", "share", &lines, &[])?;
    body += "<table><tr><th>Troubles<th>core<th>one try<th>backoff<th>breaker<th>oracle<th>behind best<th>behind \
             oracle<th>core broke</tr>";
    for (name, served, behind, behind_oracle, broken) in &rows {
        write!(body, "<tr><td>{name}")?;
        served.iter().try_for_each(|served| write!(body, "<td>{served:.4}"))?;
        write!(body, "<td>{behind:+.4}<td>{behind_oracle:+.4}<td>{broken}</tr>")?;
    }
    body += "</table>";
    let path = how.out.join("survey.html");
    std::fs::write(&path, report::page(&format!("Survey of {}", scenario.name), &body))?;
    println!("{}", path.display());
    Ok(ExitCode::SUCCESS)
}

fn check(scenarios: &[PathBuf]) -> Done {
    let mut bad = false;
    for path in scenarios {
        match file::read(path) {
            Ok(scenario) => println!("{}: {} can be played", path.display(), scenario.name),
            Err(e) => {
                bad = true;
                println!("{e}");
            }
        }
    }
    Ok(if bad { ExitCode::from(2) } else { ExitCode::SUCCESS })
}

fn scenarios() -> Done {
    let mut paths: Vec<PathBuf> = std::fs::read_dir("lab/scenarios")
        .map_err(|e| format!("lab/scenarios cannot be read, so there is nothing to list: {e}"))?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "toml"))
        .collect();
    paths.sort();
    for path in paths {
        match file::read(&path) {
            Ok(scenario) => println!("{:<24} {}", scenario.name, scenario.about),
            Err(e) => println!("{e}"),
        }
    }
    Ok(ExitCode::SUCCESS)
}
