//! Plays one schedule on a tier of processes, and judges what was seen.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::role::Role;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::fault_injector::FaultInjector;
use crate::faults::{FaultKind, Machine};
use crate::history::{Finding, History, Millis, Outcome};
use crate::http::{encode_request, exchange};
use crate::load::{
    Endpoints, Operators, Platform, Shared, burst, continue_turn, read_configuration, start_clients,
};
use crate::network::{METRICS_PORT, Network};
use crate::oracle::judge;
use crate::schedule::{Fault, Flavor, KEEPER_COUNT, RELAY_COUNT, Schedule};
use crate::tier::Tier;
use juniperwing_random::Rng;

/// How long the tier may take until it serves for the first time.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
/// `bounds.recoveryS`: how long it may take until all is well after the last fault.
const RECOVERY_DURATION: Duration = Duration::from_secs(12);
/// How long the load goes on after that.
const REST_DURATION: Duration = Duration::from_secs(4);
/// Requests in a hundred that must be served at rest.
const MIN_SERVED_AT_REST_PERCENT: usize = 90;
/// Turns from which a program goes on at the end.
const MAX_CONTINUED_TURNS: usize = 12;
/// Failures after which no more are attempt.
const MAX_FAILED_CONTINUATIONS: usize = 2;
/// Tries of each of them.
const CONTINUE_ATTEMPTS: usize = 3;
/// How long whoever works may take to finish.
const LOAD_FINISH_TIMEOUT: Duration = Duration::from_secs(15);
/// How long all may take to be settled when nobody works any more.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(13);
/// How long the settled state is waited for where a reservation may be left over for good.
const SHORT_SETTLE_TIMEOUT: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// About how long faults come.
    pub length: Millis,
    /// The number of the network, or of the first that is attempt.
    pub network: u64,
    /// Where files go; a folder of its own for each play.
    pub folder: PathBuf,
    /// The program that processes run.
    pub program: PathBuf,
    /// Whether files are kept where nothing was found.
    pub keep: bool,
    /// Faults to play in place of the drawn ones.
    pub faults: Option<Vec<Fault>>,
}

/// What came of a play.
#[derive(Clone, Debug)]
pub struct Report {
    /// What was played.
    pub schedule: Schedule,
    /// What must not be.
    pub findings: Vec<Finding>,
    /// What was done meanwhile, in a line.
    pub summary: String,
    /// Where its files are, if they were kept.
    pub folder: Option<PathBuf>,
}

/// Plays one schedule.
///
/// # Errors
///
/// If files or processes cannot be made.
pub async fn play(options: &Options) -> io::Result<Report> {
    let mut schedule = Schedule::draw(options.seed, options.length);
    if let Some(faults) = &options.faults {
        schedule.faults.clone_from(faults);
        schedule.flavor = Flavor::WithinTolerance;
    }
    // What an earlier play of this seed left is of no more use.
    let _ = fs::remove_dir_all(&options.folder);
    fs::create_dir_all(&options.folder)?;
    fs::write(options.folder.join("schedule.txt"), schedule.to_string())?;
    let (network, _reservation) = Network::reserve(options.network)?;
    let play = Play::new(options, network);
    let summary = play.run(&schedule).await?;
    let load_ended_at = play.shared.history.now();
    play.tier.end().await;
    let mut findings =
        judge(&play.shared.history.record(), &schedule, summary.load_ended_at.min(load_ended_at));
    findings.extend(findings_in_logs(&play.tier)?);
    findings.dedup();
    let lines: Vec<String> =
        findings.iter().map(|found| format!("{}: {}", found.guarantee, found.details)).collect();
    fs::write(options.folder.join("findings.txt"), lines.join("\n"))?;
    let kept = options.keep || !findings.is_empty();
    if !kept {
        fs::remove_dir_all(&options.folder)?;
    }
    let folder = kept.then(|| options.folder.clone());
    Ok(Report { schedule, findings, summary: summary.text, folder })
}

/// Panics and violated invariants that the processes logged.
fn findings_in_logs(tier: &Tier) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for (name, log) in tier.directories().read_logs()? {
        for line in log.lines() {
            let is_planted = line.contains("the soak has the writing thread panic");
            if line.contains("\"invariant violated\"") {
                findings.push(Finding { guarantee: "an invariant", details: format!("{name}: {line}") });
            } else if line.contains("panic") && !is_planted {
                findings.push(Finding { guarantee: "no panic", details: format!("{name}: {line}") });
            }
        }
    }
    Ok(findings)
}

struct Play {
    tier: Arc<Tier>,
    shared: Arc<Shared>,
    endpoints: Arc<Endpoints>,
}

struct Summary {
    text: String,
    load_ended_at: Millis,
}

impl Play {
    fn new(options: &Options, network: Network) -> Play {
        let history = Arc::new(History::default());
        let tier = Tier::new(network, options.folder.clone(), options.program.clone(), Arc::clone(&history));
        let tier = Arc::new(tier);
        let platform = Arc::new(Platform::new(network));
        let shared = Shared::new(network, Arc::clone(&tier), history, platform, options.seed);
        let shared = Arc::new(shared);
        let endpoints = Arc::new(Endpoints::start(&shared));
        Play { tier, shared, endpoints }
    }

    async fn run(&self, schedule: &Schedule) -> io::Result<Summary> {
        self.tier.start_all().await?;
        // What looks after processes and relays ends with the play.
        let mut supervisors = JoinSet::new();
        let tier = Arc::clone(&self.tier);
        supervisors.spawn(async move { tier.supervise().await });
        for relay in 0..RELAY_COUNT {
            let platform = Arc::clone(&self.shared.platform);
            supervisors.spawn(async move { platform.watch(relay).await });
        }
        let configured = Operators::apply_first_configuration(&self.shared, STARTUP_TIMEOUT).await;
        let ready = self.shared.platform.wait_until_all_ready(STARTUP_TIMEOUT).await;
        if !configured || !ready {
            let details = format!("configuration taken: {configured}, relays ready: {ready}");
            self.shared.history.record_finding("a tier comes up", details);
        }
        let mut load = JoinSet::new();
        start_clients(&self.shared, &mut load);
        for operator in 0..2 {
            load.spawn(Operators::run(Arc::clone(&self.shared), operator));
        }
        for keeper in 0..KEEPER_COUNT {
            load.spawn(Operators::read_continuously(Arc::clone(&self.shared), keeper));
        }
        self.inject_faults(schedule, &mut load).await;
        sleep(RECOVERY_DURATION).await;
        let rest_began = self.shared.history.now();
        sleep(REST_DURATION).await;
        let load_ended_at = self.shared.history.now();
        self.shared.stop();
        if timeout(LOAD_FINISH_TIMEOUT, async { while load.join_next().await.is_some() {} }).await.is_err() {
            self.shared.history.record_finding("the soak itself", "those who work do not finish".to_owned());
        }
        self.check_service_at_rest(rest_began, load_ended_at);
        self.check_acknowledged_state().await;
        self.check_nothing_outstanding(schedule).await;
        Ok(Summary { text: self.summary(), load_ended_at })
    }

    async fn inject_faults(&self, schedule: &Schedule, load: &mut JoinSet<()>) {
        let began = Instant::now();
        let mut injections = JoinSet::new();
        for (number, fault) in schedule.faults.iter().enumerate() {
            sleep_until(began + Duration::from_millis(fault.at)).await;
            if fault.kind == FaultKind::Burst {
                burst(&self.shared, self.shared.history.now() + fault.lasts, load);
            }
            let injector = FaultInjector {
                tier: Arc::clone(&self.tier),
                shared: Arc::clone(&self.shared),
                endpoints: Arc::clone(&self.endpoints),
                within_tolerance: schedule.is_within_tolerance(),
                rng: Rng::for_named_purpose(schedule.seed, &format!("trouble {number}")),
            };
            injections.spawn(injector.run(*fault));
        }
        while injections.join_next().await.is_some() {}
    }

    /// When all is over, nearly everything is served.
    fn check_service_at_rest(&self, from: Millis, until: Millis) {
        let history = &self.shared.history;
        let (mut served, mut all, mut examples) = (0, 0, Vec::new());
        {
            let record = history.record();
            let at_rest =
                record.attempts.iter().filter(|(_, attempt)| (from..until).contains(&attempt.sent_at));
            for (id, attempt) in at_rest {
                let Some((_, outcome)) = attempt.outcome else { continue };
                match outcome {
                    Outcome::ClientDisconnected => continue,
                    Outcome::Status { status: 200 | 402, .. } => served += 1,
                    other => examples.push(format!("{id} by relay {}: {other:?}", attempt.relay)),
                }
                all += 1;
            }
        }
        if served * 100 < all * MIN_SERVED_AT_REST_PERCENT || all == 0 {
            examples.truncate(5);
            history.record_finding(
                "all is well after recovery",
                format!("{served} of {all} served; {examples:?}"),
            );
        }
        let orders = history
            .record()
            .orders
            .iter()
            .filter(|order| order.acknowledged_at().is_some_and(|at| at >= from))
            .count();
        if orders == 0 {
            history.record_finding("all is well after recovery", "no order was taken".to_owned());
        }
    }

    /// What was acknowledged is there: the newest configuration, and turns to go on from.
    async fn check_acknowledged_state(&self) {
        let history = &self.shared.history;
        let mut read = false;
        for keeper in 0..KEEPER_COUNT * 3 {
            read |= read_configuration(&self.shared, keeper).await.is_some();
        }
        if !read {
            history.record_finding("the configuration is read back", "no keeper answered".to_owned());
        }
        let stored = self.shared.stored_turns();
        let step = stored.len().div_ceil(MAX_CONTINUED_TURNS).max(1);
        let mut failed = 0;
        for turn in stored.iter().step_by(step) {
            if !continue_turn(&self.shared, turn, CONTINUE_ATTEMPTS).await {
                let details = format!("{} of {}", turn.id, turn.program);
                history.record_finding("a kept turn can be continued", details);
                failed += 1;
            }
            // Each of them takes long.
            if failed == MAX_FAILED_CONTINUATIONS {
                return;
            }
        }
    }

    /// With nobody at work, nothing is held or under way.
    async fn check_nothing_outstanding(&self, schedule: &Schedule) {
        let may_leave_reservations = schedule.faults.iter().any(may_leave_reservations_behind);
        let within = if may_leave_reservations { SHORT_SETTLE_TIMEOUT } else { SETTLE_TIMEOUT };
        let until = Instant::now() + within;
        let mut outstanding = self.outstanding(may_leave_reservations).await;
        while !outstanding.is_empty() && Instant::now() < until {
            sleep(Duration::from_millis(300)).await;
            outstanding = self.outstanding(may_leave_reservations).await;
        }
        if !outstanding.is_empty() {
            self.shared.history.record_finding("nothing is held at rest", outstanding.join(", "));
        }
    }

    async fn outstanding(&self, may_leave_reservations: bool) -> Vec<String> {
        const ZERO_AT_REST: [&str; 6] = [
            "juniperwing_open_requests",
            "juniperwing_slots_taken",
            "juniperwing_body_bytes",
            "juniperwing_settling",
            "juniperwing_writes_under_way",
            "juniperwing_questions_waiting",
        ];
        let mut outstanding = Vec::new();
        for machine in self.tier.machines() {
            let Some(page) = self.metrics_page(machine).await else {
                outstanding.push(format!("{machine} tells no figures"));
                continue;
            };
            for line in page.lines().filter(|line| !line.starts_with('#')) {
                let Some((name, value)) = line.rsplit_once(' ') else { continue };
                let reservations = name == "juniperwing_reservations" && !may_leave_reservations;
                if (ZERO_AT_REST.contains(&name) || reservations) && value != "0" {
                    outstanding.push(format!("{machine}: {name} {value}"));
                }
                if name.starts_with("juniperwing_invariant_violations") && value != "0" {
                    outstanding.push(format!("{machine}: {line}"));
                }
            }
        }
        outstanding
    }

    async fn metrics_page(&self, machine: Machine) -> Option<String> {
        let address = self.shared.network.listener(machine.role, machine.number, METRICS_PORT);
        let question = encode_request("GET", "/metrics", &[("Host", "figures")], b"");
        let (head, body) = exchange(address, &question, Duration::from_secs(1)).await.ok()?;
        (head.status == 200).then(|| String::from_utf8_lossy(&body).into_owned())
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

/// Whether a turn may stay reserved for good: its relay dies at once, or no store can be reached for long.
fn may_leave_reservations_behind(fault: &Fault) -> bool {
    let of_a_relay = fault.kind.machine().is_some_and(|machine| machine.role == Role::Relay);
    let ends_at_once = matches!(fault.kind, FaultKind::Kill(_) | FaultKind::KillDuringStart(_));
    let is_long = fault.lasts >= 4_000 && fault.kind.affects_tier();
    (of_a_relay && ends_at_once) || fault.kind.exceeds_tolerance() || is_long
}
