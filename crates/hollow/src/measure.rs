//! The measurement: real keepers, stores and a relay under hollow loads of several sizes.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::data::{Data, Measured, Used};
use crate::page;
use crate::plan::{Run, runs};
use crate::site::{Role, Site};
use crate::usage::Usage;

/// Until the keepers have a primary and the stores a map.
const START_WITHIN: Duration = Duration::from_millis(2_000);
/// Until a load has connected all its participants.
const WARM_UP: Duration = Duration::from_millis(3_000);
/// For how long a hollow load outlasts what is measured.
const AFTER: Duration = Duration::from_millis(500);
/// The roles that are measured.
const ROLES: [Role; 3] = [Role::Keeper, Role::Store, Role::Relay];
/// Programs that share the turns of a run.
const PROGRAMS: u64 = 200;
/// The networks 127.N.0.0 that runs use in turn, so that no run meets connections of the one before.
const FIRST_NETWORK: u8 = 100;

/// What to measure, and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seconds that each run is measured for.
    pub seconds: u64,
    /// The data file.
    pub data: PathBuf,
    /// The page whose tables are rewritten.
    pub page: PathBuf,
    /// Where the disks of the processes lie meanwhile.
    pub folder: PathBuf,
}

/// Makes all runs, writes the data file and rewrites the page.
///
/// # Errors
///
/// If a process cannot be started or ended by itself, or a file cannot be written.
pub fn measure(plan: &Plan) -> io::Result<()> {
    let program = std::env::current_exe()?;
    let page_text = fs::read_to_string(&plan.page)?;
    let mut measured = Vec::new();
    for (number, run) in runs().iter().enumerate() {
        let folder = plan.folder.join(format!("juniperwing-hollow-{}-{number}", std::process::id()));
        let network = FIRST_NETWORK + number as u8;
        let one = measure_run(&program, &folder, network, run, plan.seconds)?;
        eprintln!("{} {}: {:?}", one.series, one.x, one.roles);
        measured.push(one);
    }
    let command = format!("juniperwing hollow measure --seconds {}", plan.seconds);
    let data = Data::of(command, measured);
    let text = serde_json::to_string_pretty(&data).map_err(io::Error::other)?;
    fs::write(&plan.data, text + "\n")?;
    let page_text = page::rewrite(&page_text, &data).map_err(io::Error::other)?;
    fs::write(&plan.page, page_text)
}

fn measure_run(program: &Path, folder: &Path, network: u8, run: &Run, seconds: u64) -> io::Result<Measured> {
    let site = Site::start(program, folder, network)?;
    sleep(START_WITHIN);
    let span = Duration::from_secs(seconds);
    let loads = start_loads(program, &site, run, WARM_UP + span + AFTER)?;
    sleep(WARM_UP);
    let before = usage(&site)?;
    let begun = Instant::now();
    sleep(span);
    let took = begun.elapsed().as_secs_f64();
    let after = usage(&site)?;
    let mut measured = Measured::of(run, took);
    for ((role, before), (_, after)) in before.iter().zip(&after) {
        measured.roles.insert((*role).to_owned(), used(before, after, took));
    }
    for load in loads {
        measured.hollow.extend(figures(load)?);
    }
    measured.fitted = measured.hollow.iter().all(|figures| figures["failed"].as_u64().unwrap_or(0) == 0);
    Ok(measured)
}

fn usage(site: &Site) -> io::Result<BTreeMap<&'static str, Vec<Usage>>> {
    ROLES.iter().map(|role| Ok((role.name(), site.usage(*role)?))).collect()
}

/// The mean over the processes of a role.
fn used(before: &[Usage], after: &[Usage], seconds: f64) -> Used {
    let count = after.len().max(1) as f64;
    let grown = |part: fn(&Usage) -> f64| {
        let sum = |usages: &[Usage]| usages.iter().map(part).sum::<f64>();
        (sum(after) - sum(before)) / count / seconds
    };
    Used {
        cores: grown(|usage| usage.processor_s),
        megabytes: after.iter().map(|usage| usage.memory_mb).sum::<f64>() / count,
        disk_bytes_per_s: grown(|usage| usage.disk_bytes),
    }
}

/// Starts the hollow processes of a run.
fn start_loads(program: &Path, site: &Site, run: &Run, span: Duration) -> io::Result<Vec<Child>> {
    let seconds = span.as_secs_f64().ceil().to_string();
    let start = |kind: &str, keepers: &[SocketAddr], options: &[(&str, String)]| {
        let keepers: Vec<String> = keepers.iter().map(ToString::to_string).collect();
        let mut command = Command::new(program);
        command.args(["hollow", kind, "--seconds", &seconds, "--keepers", &keepers.join(",")]);
        for (name, value) in options {
            command.args([*name, value]);
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn()
    };
    let mut loads = Vec::new();
    if run.relays > 0 {
        loads.push(start("relay", &site.internal(), &[("--count", run.relays.to_string())])?);
    }
    if run.endpoints > 0 {
        let options = [
            ("--count", run.endpoints.to_string()),
            ("--heartbeat-ms", run.heartbeat_ms.to_string()),
            ("--changes-per-s", run.changes_per_s.to_string()),
            ("--routes", run.routes.to_string()),
        ];
        loads.push(start("endpoint", &site.control(), &options)?);
    }
    if run.turns_per_s > 0.0 {
        let options = [
            ("--count", PROGRAMS.to_string()),
            ("--turns-per-s", run.turns_per_s.to_string()),
            ("--turn-bytes", run.turn_bytes.to_string()),
        ];
        loads.push(start("program", &site.internal(), &options)?);
    }
    Ok(loads)
}

/// What a hollow process printed in JSON, once it has ended.
fn figures(load: Child) -> io::Result<Vec<serde_json::Value>> {
    let output = load.wait_with_output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let lines = text.lines().filter(|line| line.starts_with('{'));
    lines.map(|line| serde_json::from_str(line).map_err(io::Error::other)).collect()
}
