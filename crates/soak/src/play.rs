//! Plays one schedule on a tier of processes, and judges what was seen.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use juniperwing_node::role::Role;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::history::{Ended, Finding, History, Millis};
use crate::http::{ask, request};
use crate::load::{
    Endpoints, Operators, Platform, Shared, burst, continue_turn, read_configuration, start_clients,
};
use crate::network::{METRICS_PORT, Network};
use crate::oracle::judge;
use crate::schedule::{Flavor, KEEPERS, RELAYS, Schedule, Trouble};
use crate::strike::Player;
use crate::tier::Tier;
use crate::troubles::{Machine, TroubleKind};
use juniperwing_random::Rng;

/// How long the tier may take until it serves for the first time.
const FOUNDED_WITHIN: Duration = Duration::from_secs(20);
/// `bounds.recoveryS`: how long it may take until all is well after the last trouble.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long the load goes on after that.
const AT_REST: Duration = Duration::from_secs(4);
/// Requests in a hundred that must be served at rest.
const SERVED_AT_REST: usize = 90;
/// Turns from which a program goes on at the end.
const CONTINUED: usize = 12;
/// Failures after which no more are tried.
const ENOUGH_FAILED: usize = 2;
/// Tries of each of them.
const CONTINUE_TRIES: usize = 3;
/// How long whoever works may take to finish.
const FINISH_WITHIN: Duration = Duration::from_secs(15);
/// How long all may take to be settled when nobody works any more.
const SETTLED_WITHIN: Duration = Duration::from_secs(13);
/// How long the settled state is waited for where a reservation may be left over for good.
const GLANCE: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// About how long troubles come.
    pub length: Millis,
    /// The number of the network, or of the first that is tried.
    pub network: u64,
    /// Where files go; a folder of its own for each play.
    pub folder: PathBuf,
    /// The program that processes run.
    pub program: PathBuf,
    /// Whether files are kept where nothing was found.
    pub keep: bool,
    /// Troubles to play in place of the drawn ones.
    pub troubles: Option<Vec<Trouble>>,
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
    if let Some(troubles) = &options.troubles {
        schedule.troubles.clone_from(troubles);
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
    findings.extend(faults_in_logs(&play.tier)?);
    findings.dedup();
    let told: Vec<String> =
        findings.iter().map(|found| format!("{}: {}", found.promise, found.details)).collect();
    fs::write(options.folder.join("findings.txt"), told.join("\n"))?;
    let kept = options.keep || !findings.is_empty();
    if !kept {
        fs::remove_dir_all(&options.folder)?;
    }
    let folder = kept.then(|| options.folder.clone());
    Ok(Report { schedule, findings, summary: summary.text, folder })
}

/// Panics and violated invariants that the processes logged.
fn faults_in_logs(tier: &Tier) -> io::Result<Vec<Finding>> {
    let mut findings = Vec::new();
    for (name, log) in tier.logs()? {
        for line in log.lines() {
            let is_planted = line.contains("the soak has the writing thread panic");
            if line.contains("\"invariant violated\"") {
                findings.push(Finding { promise: "an invariant", details: format!("{name}: {line}") });
            } else if line.contains("panic") && !is_planted {
                findings.push(Finding { promise: "no panic", details: format!("{name}: {line}") });
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
        self.tier.found().await?;
        // What looks after processes and relays ends with the play.
        let mut helpers = JoinSet::new();
        let tier = Arc::clone(&self.tier);
        helpers.spawn(async move { tier.supervise().await });
        for relay in 0..RELAYS {
            let platform = Arc::clone(&self.shared.platform);
            helpers.spawn(async move { platform.watch(relay).await });
        }
        let founded = Operators::found(&self.shared, FOUNDED_WITHIN).await;
        let ready = self.shared.platform.all_take(FOUNDED_WITHIN).await;
        if !founded || !ready {
            let details = format!("configuration taken: {founded}, relays ready: {ready}");
            self.shared.history.found("a tier comes up", details);
        }
        let mut load = JoinSet::new();
        start_clients(&self.shared, &mut load);
        for operator in 0..2 {
            load.spawn(Operators::run(Arc::clone(&self.shared), operator));
        }
        for keeper in 0..KEEPERS {
            load.spawn(Operators::keep_reading(Arc::clone(&self.shared), keeper));
        }
        self.play_troubles(schedule, &mut load).await;
        sleep(RECOVERY).await;
        let rest_began = self.shared.history.now();
        sleep(AT_REST).await;
        let load_ended_at = self.shared.history.now();
        self.shared.stop();
        if timeout(FINISH_WITHIN, async { while load.join_next().await.is_some() {} }).await.is_err() {
            self.shared.history.found("the soak itself", "those who work do not finish".to_owned());
        }
        self.judge_rest(rest_began, load_ended_at);
        self.judge_end().await;
        self.judge_settled(schedule).await;
        Ok(Summary { text: self.summary(), load_ended_at })
    }

    async fn play_troubles(&self, schedule: &Schedule, load: &mut JoinSet<()>) {
        let began = Instant::now();
        let mut playing = JoinSet::new();
        for (number, trouble) in schedule.troubles.iter().enumerate() {
            sleep_until(began + Duration::from_millis(trouble.at)).await;
            if trouble.kind == TroubleKind::Burst {
                burst(&self.shared, self.shared.history.now() + trouble.lasts, load);
            }
            let player = Player {
                tier: Arc::clone(&self.tier),
                shared: Arc::clone(&self.shared),
                endpoints: Arc::clone(&self.endpoints),
                within_tolerance: schedule.is_within_tolerance(),
                rng: Rng::for_named_purpose(schedule.seed, &format!("trouble {number}")),
            };
            playing.spawn(player.play(*trouble));
        }
        while playing.join_next().await.is_some() {}
    }

    /// When all is over, nearly everything is served.
    fn judge_rest(&self, from: Millis, until: Millis) {
        let history = &self.shared.history;
        let (mut served, mut all, mut examples) = (0, 0, Vec::new());
        {
            let record = history.record();
            let at_rest = record.tries.iter().filter(|(_, tried)| (from..until).contains(&tried.sent_at));
            for (id, tried) in at_rest {
                let Some((_, ended)) = tried.ended else { continue };
                match ended {
                    Ended::Left => continue,
                    Ended::Status { status: 200 | 402, .. } => served += 1,
                    other => examples.push(format!("{id} by relay {}: {other:?}", tried.relay)),
                }
                all += 1;
            }
        }
        if served * 100 < all * SERVED_AT_REST || all == 0 {
            examples.truncate(5);
            history.found("all is well after recovery", format!("{served} of {all} served; {examples:?}"));
        }
        let orders = history
            .record()
            .orders
            .iter()
            .filter(|order| order.acknowledged_at().is_some_and(|at| at >= from))
            .count();
        if orders == 0 {
            history.found("all is well after recovery", "no order was taken".to_owned());
        }
    }

    /// What was acknowledged is there: the newest configuration, and turns to go on from.
    async fn judge_end(&self) {
        let history = &self.shared.history;
        let mut read = false;
        for keeper in 0..KEEPERS * 3 {
            read |= read_configuration(&self.shared, keeper).await.is_some();
        }
        if !read {
            history.found("the configuration is read back", "no keeper answered".to_owned());
        }
        let kept = self.shared.kept_turns();
        let step = kept.len().div_ceil(CONTINUED).max(1);
        let mut failed = 0;
        for turn in kept.iter().step_by(step) {
            if !continue_turn(&self.shared, turn, CONTINUE_TRIES).await {
                let details = format!("{} of {}", turn.id, turn.program);
                history.found("a kept turn can be continued", details);
                failed += 1;
            }
            // Each of them takes long.
            if failed == ENOUGH_FAILED {
                return;
            }
        }
    }

    /// With nobody at work, nothing is held or under way.
    async fn judge_settled(&self, schedule: &Schedule) {
        let may_leave_reservations = schedule.troubles.iter().any(leaves_reservations);
        let within = if may_leave_reservations { GLANCE } else { SETTLED_WITHIN };
        let until = Instant::now() + within;
        let mut unsettled = self.unsettled(may_leave_reservations).await;
        while !unsettled.is_empty() && Instant::now() < until {
            sleep(Duration::from_millis(300)).await;
            unsettled = self.unsettled(may_leave_reservations).await;
        }
        if !unsettled.is_empty() {
            self.shared.history.found("nothing is held at rest", unsettled.join(", "));
        }
    }

    async fn unsettled(&self, may_leave_reservations: bool) -> Vec<String> {
        const ZERO_AT_REST: [&str; 6] = [
            "juniperwing_open_requests",
            "juniperwing_slots_taken",
            "juniperwing_body_bytes",
            "juniperwing_settling",
            "juniperwing_writes_under_way",
            "juniperwing_questions_waiting",
        ];
        let mut unsettled = Vec::new();
        for machine in self.tier.machines() {
            let Some(page) = self.figures(machine).await else {
                unsettled.push(format!("{machine} tells no figures"));
                continue;
            };
            for line in page.lines().filter(|line| !line.starts_with('#')) {
                let Some((name, value)) = line.rsplit_once(' ') else { continue };
                let reservations = name == "juniperwing_reservations" && !may_leave_reservations;
                if (ZERO_AT_REST.contains(&name) || reservations) && value != "0" {
                    unsettled.push(format!("{machine}: {name} {value}"));
                }
                if name.starts_with("juniperwing_invariant_violations") && value != "0" {
                    unsettled.push(format!("{machine}: {line}"));
                }
            }
        }
        unsettled
    }

    async fn figures(&self, machine: Machine) -> Option<String> {
        let address = self.shared.network.listener(machine.role, machine.number, METRICS_PORT);
        let question = request("GET", "/metrics", &[("Host", "figures")], b"");
        let (head, body) = ask(address, &question, Duration::from_secs(1)).await.ok()?;
        (head.status == 200).then(|| String::from_utf8_lossy(&body).into_owned())
    }

    fn summary(&self) -> String {
        let record = self.shared.history.record();
        let acknowledged = record.orders.iter().filter(|order| order.acknowledged_at().is_some()).count();
        format!(
            "{} tries, {} turns and {} requests served, {acknowledged} of {} orders acknowledged, {} reads, {} probes",
            record.tries.len(),
            record.turns_served.len(),
            record.requests_served.len(),
            record.orders.len(),
            record.reads.len(),
            record.probes.len(),
        )
    }
}

/// Whether a turn may stay reserved for good: its relay dies at once, or no store can be reached for long.
fn leaves_reservations(trouble: &Trouble) -> bool {
    let of_a_relay = trouble.kind.machine().is_some_and(|machine| machine.role == Role::Relay);
    let ends_at_once = matches!(trouble.kind, TroubleKind::Kill(_) | TroubleKind::KillInStart(_));
    let is_long = trouble.lasts >= 4_000 && trouble.kind.is_of_the_tier();
    (of_a_relay && ends_at_once) || trouble.kind.strikes_many() || is_long
}
