//! juniperwing-lab: plays scenarios with the core or another policy, compares and sweeps them, and writes reports. It
//! owns the command line and its exit codes. It must never reach beyond the files that it is given.

mod baselines;
mod compare;
mod file;
mod play;
mod plots;
mod report;

use std::error::Error;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use juniperwing_model::{Figures, Scenario};

use crate::compare::Difference;
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
        /// Whose decisions: core, one-try, backoff, breaker, oracle
        #[arg(long, default_value = "core")]
        policy: String,
    },
    /// Play two scenarios, or two policies on one, on the same seeds, and state the difference
    Compare {
        /// The first: SCENARIO or SCENARIO@POLICY
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

    fn play(&self, runs: &[Run]) -> Result<Vec<Figures>, String> {
        play::play(runs, self.jobs, self.quiet)
    }
}

fn main() -> ExitCode {
    let done = match Cli::parse().order {
        Order::Run { scenario, how, policy } => run(&scenario, &how, &policy),
        Order::Compare { a, b, how } => compare(&a, &b, &how),
        Order::Sweep { scenario, over, how, policy } => sweep(&scenario, &over, &how, &policy),
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
fn code(figures: &[Figures]) -> ExitCode {
    let bad = figures.iter().any(|figures| figures.broken > 0 || figures.cut);
    if bad { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

fn known(policy: &str) -> Result<(), String> {
    match play::policies(policy) {
        Some(_) => Ok(()),
        None => Err(format!("there is no policy {policy:?}; there are {}", play::POLICIES.join(", "))),
    }
}

fn folder(out: &Path, figures: &Figures) -> PathBuf {
    out.join(format!("{}-{}-{}", figures.scenario, figures.policy, figures.seed))
}

fn run(scenario: &Path, how: &How, policy: &str) -> Done {
    known(policy)?;
    let scenario = file::read(scenario)?;
    let run = |seed| Run { scenario: scenario.clone(), seed, policy: policy.to_owned() };
    let figures = how.play(&how.seeds().map(run).collect::<Vec<_>>())?;
    for figures in &figures {
        let folder = folder(&how.out, figures);
        report::run(&folder, &scenario, figures)?;
        println!("{}\n  {}", report::summary(figures), folder.join("report.html").display());
        for broken in figures.breaks.iter().take(3) {
            println!("  {} at {:.3} s: {}", broken.rule, broken.at_s, broken.what);
        }
    }
    Ok(code(&figures))
}

/// `SCENARIO` or `SCENARIO@POLICY`.
fn side(named: &str) -> Result<(Scenario, String), Box<dyn Error>> {
    let (path, policy) = named.rsplit_once('@').unwrap_or((named, "core"));
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
    let figures = how.play(&runs)?;
    let pairs: Vec<(&Figures, &Figures)> = figures.chunks(2).map(|pair| (&pair[0], &pair[1])).collect();
    type Read = fn(&Figures) -> f64;
    let rows: [(&str, Read); 6] = [
        ("served", |f| f.served),
        ("worst 10 s", |f| f.worst_window.0),
        ("worst topic type", |f| f.worst_topic),
        ("worst account", |f| f.worst_account),
        ("pushes for each handed in", |f| {
            f.pushes.sent as f64 / f.topics.iter().map(|t| t.offered).sum::<u64>().max(1) as f64
        }),
        ("rules broken", |f| f.broken as f64),
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
    let served = |read: fn(&(&Figures, &Figures)) -> f64| pairs.iter().map(read).collect::<Vec<_>>();
    let lines = [Line::of("A", &served(|p| p.0.served)), Line::of("B", &served(|p| p.1.served))];
    body += &plots::lines("Served, by seed", "place of the seed", "share", &lines, &[])?;
    let path = how.out.join("compare.html");
    std::fs::create_dir_all(&how.out)?;
    std::fs::write(&path, report::page("Comparison", &body))?;
    println!("{} pairs; {}", pairs.len(), path.display());
    Ok(code(&figures))
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
    let figures = how.play(&runs)?;
    std::fs::create_dir_all(&how.out)?;
    let mut table = csv::Writer::from_path(how.out.join("sweep.csv"))?;
    table.write_record(["policy", path, "seed", "served", "worst_window", "broken"])?;
    let (mut lines, mut rest) = (Vec::new(), figures.as_slice());
    for policy in policies {
        let mut line = Line { name: policy.clone(), points: Vec::new(), band: Vec::new() };
        for value in &values {
            let (here, later) = rest.split_at(how.seeds as usize);
            rest = later;
            for f in here {
                table.serialize((policy, value, f.seed, f.served, f.worst_window.0, f.broken))?;
            }
            let served = || here.iter().map(|f| f.served);
            let mean = served().sum::<f64>() / here.len().max(1) as f64;
            let (least, most) = (served().fold(1.0, f64::min), served().fold(0.0, f64::max));
            let broken = here.iter().filter(|f| f.broken > 0).count();
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
    Ok(code(&figures))
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
