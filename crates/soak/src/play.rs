//! Runs one play: a tier of processes under load while a schedule of faults is injected, followed by the checks.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::fault_injector::FaultInjector;
use crate::faults::FaultKind;
use crate::final_checks::{
    check_acknowledged_state, check_nothing_outstanding, check_service_after_recovery,
};
use crate::history::{Finding, History, Millis};
use crate::load::{Endpoints, LoadBalancer, Operators, Shared, start_burst, start_clients};
use crate::network::Network;
use crate::oracle::check_record;
use crate::schedule::{Fault, Flavor, KEEPER_COUNT, RELAY_COUNT, Schedule};
use crate::tier::Tier;
use juniperwing_random::Rng;

/// Number of concurrent operators.
const OPERATOR_COUNT: u64 = 2;
/// How long the tier may take to become ready after its first start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// `bounds.recoveryS`: how long the tier may take to recover after the last fault.
const RECOVERY_DURATION: Duration = Duration::from_secs(12);
/// How long the load continues after the recovery time.
const STEADY_LOAD_DURATION: Duration = Duration::from_secs(4);
/// How long requests in flight may take to complete once the load is stopped.
const LOAD_FINISH_TIMEOUT: Duration = Duration::from_secs(15);

/// Options of a play.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// Approximate time for which faults are injected.
    pub length_ms: Millis,
    /// The number of the first network that is tried; see [`Network::reserve`].
    pub network: u64,
    /// The directory of the files of this play.
    pub folder: PathBuf,
    /// The executable that the processes run.
    pub program: PathBuf,
    /// Whether the files are kept even without findings.
    pub keep: bool,
    /// Faults to inject in place of those drawn from the seed.
    pub faults: Option<Vec<Fault>>,
}

/// The result of a play.
#[derive(Clone, Debug)]
pub struct Report {
    /// The schedule that was played.
    pub schedule: Schedule,
    /// Violations of guarantees.
    pub findings: Vec<Finding>,
    /// Number of requests, orders, reads and probes, in one line.
    pub summary: String,
    /// The directory of the files, if they were kept.
    pub folder: Option<PathBuf>,
}

/// Runs one play and returns its report.
///
/// # Errors
///
/// If files or processes cannot be created.
pub async fn play(options: &Options) -> io::Result<Report> {
    let mut schedule = Schedule::draw(options.seed, options.length_ms);
    if let Some(faults) = &options.faults {
        schedule.faults.clone_from(faults);
        schedule.flavor = Flavor::WithinTolerance;
    }
    // Removes the files of an earlier play of this seed.
    let _ = fs::remove_dir_all(&options.folder);
    fs::create_dir_all(&options.folder)?;
    fs::write(options.folder.join("schedule.txt"), schedule.to_string())?;
    let (network, _reservation) = Network::reserve(options.network)?;
    let play = Play::new(options, network);
    let summary = play.run(&schedule).await?;
    let load_ended_at = play.shared.history.now();
    play.tier.end().await;
    let mut findings =
        check_record(&play.shared.history.record(), &schedule, summary.load_ended_at.min(load_ended_at));
    findings.extend(findings_in_logs(&play.tier)?);
    findings.dedup();
    let lines: Vec<String> =
        findings.iter().map(|finding| format!("{}: {}", finding.guarantee, finding.details)).collect();
    fs::write(options.folder.join("findings.txt"), lines.join("\n"))?;
    let keeps_files = options.keep || !findings.is_empty();
    if !keeps_files {
        fs::remove_dir_all(&options.folder)?;
    }
    let folder = keeps_files.then(|| options.folder.clone());
    Ok(Report { schedule, findings, summary: summary.text, folder })
}

/// Findings from panics and violated invariants that the processes logged.
fn findings_in_logs(tier: &Tier) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for (name, log) in tier.directories().read_logs()? {
        for line in log.lines() {
            // The message of the fault `DiskPanic` (see `faulty_host::disk`).
            let is_injected = line.contains("injected fault: the writing thread panics");
            if line.contains("\"invariant violated\"") {
                findings.push(Finding { guarantee: "an invariant", details: format!("{name}: {line}") });
            } else if line.contains("panic") && !is_injected {
                findings.push(Finding { guarantee: "no panic", details: format!("{name}: {line}") });
            }
        }
    }
    Ok(findings)
}

/// A tier with its load while a schedule is injected.
struct Play {
    tier: Arc<Tier>,
    shared: Arc<Shared>,
    endpoints: Arc<Endpoints>,
}

/// The summary line of a play, and when the load ended.
struct Summary {
    text: String,
    load_ended_at: Millis,
}

impl Play {
    fn new(options: &Options, network: Network) -> Play {
        let history = Arc::new(History::default());
        let tier = Tier::new(network, options.folder.clone(), options.program.clone(), Arc::clone(&history));
        let tier = Arc::new(tier);
        let load_balancer = Arc::new(LoadBalancer::new(network));
        let shared = Shared::new(network, Arc::clone(&tier), history, load_balancer, options.seed);
        let shared = Arc::new(shared);
        let endpoints = Arc::new(Endpoints::start(&shared));
        Play { tier, shared, endpoints }
    }

    async fn run(&self, schedule: &Schedule) -> io::Result<Summary> {
        self.tier.start_all().await?;
        // Dropping the set, at the end of the play, aborts supervision and readiness probes.
        let mut supervisors = JoinSet::new();
        let tier = Arc::clone(&self.tier);
        supervisors.spawn(async move { tier.supervise().await });
        for relay in 0..RELAY_COUNT {
            let load_balancer = Arc::clone(&self.shared.load_balancer);
            supervisors.spawn(async move { load_balancer.watch(relay).await });
        }
        self.wait_until_ready().await;
        let mut load = self.start_load();
        self.inject_faults(schedule, &mut load).await;
        sleep(RECOVERY_DURATION).await;
        let recovered_at = self.shared.history.now();
        sleep(STEADY_LOAD_DURATION).await;
        let load_ended_at = self.shared.history.now();
        self.shared.stop();
        if timeout(LOAD_FINISH_TIMEOUT, async { while load.join_next().await.is_some() {} }).await.is_err() {
            self.shared
                .history
                .record_finding("the soak itself", "the load did not finish in time".to_owned());
        }
        check_service_after_recovery(&self.shared, recovered_at, load_ended_at);
        check_acknowledged_state(&self.shared).await;
        check_nothing_outstanding(&self.shared, schedule).await;
        Ok(Summary { text: self.summary(), load_ended_at })
    }

    /// Applies the first configuration and waits until all relays are ready. A timeout is a finding.
    async fn wait_until_ready(&self) {
        let configured = Operators::apply_first_configuration(&self.shared, STARTUP_TIMEOUT).await;
        let ready = self.shared.load_balancer.wait_until_all_ready(STARTUP_TIMEOUT).await;
        if !configured || !ready {
            let details = format!("configuration acknowledged: {configured}, relays ready: {ready}");
            self.shared.history.record_finding("a tier comes up", details);
        }
    }

    /// Starts clients, programs and operators.
    fn start_load(&self) -> JoinSet<()> {
        let mut load = JoinSet::new();
        start_clients(&self.shared, &mut load);
        for operator in 0..OPERATOR_COUNT {
            load.spawn(Operators::run(Arc::clone(&self.shared), operator));
        }
        for keeper in 0..KEEPER_COUNT {
            load.spawn(Operators::read_continuously(Arc::clone(&self.shared), keeper));
        }
        load
    }

    /// Injects each fault at its scheduled time and waits until all of them are over.
    async fn inject_faults(&self, schedule: &Schedule, load: &mut JoinSet<()>) {
        let started_at = Instant::now();
        let mut injections = JoinSet::new();
        for (number, fault) in schedule.faults.iter().enumerate() {
            sleep_until(started_at + Duration::from_millis(fault.starts_at)).await;
            if fault.kind == FaultKind::Burst {
                start_burst(&self.shared, self.shared.history.now() + fault.duration_ms, load);
            }
            let injector = FaultInjector {
                tier: Arc::clone(&self.tier),
                shared: Arc::clone(&self.shared),
                endpoints: Arc::clone(&self.endpoints),
                is_within_tolerance: schedule.is_within_tolerance(),
                rng: Rng::for_named_purpose(schedule.seed, &format!("trouble {number}")),
            };
            injections.spawn(injector.run(*fault));
        }
        while injections.join_next().await.is_some() {}
    }

    fn summary(&self) -> String {
        let record = self.shared.history.record();
        let acknowledged = record.orders.iter().filter(|order| order.acknowledged_at().is_some()).count();
        format!(
            "{} tries, {} turns and {} requests served, {acknowledged} of {} orders acknowledged, {} reads, {} probes",
            record.attempts.len(),
            record.turns_served.len(),
            record.requests_served.len(),
            record.orders.len(),
            record.reads.len(),
            record.probes.len(),
        )
    }
}
