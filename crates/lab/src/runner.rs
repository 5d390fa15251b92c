//! Executes independent runs on several cores. Results are in the order of the runs.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use juniperwing::interface::{Command, Event};
use juniperwing::time::Time;
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::GroundTruth;
use juniperwing_model::scenario::FaultKind;
use juniperwing_model::{Core, Metrics, Policies, Policy, Scenario, simulate};
use rayon::prelude::*;
use snafu::{ResultExt, ensure};

use crate::adapter::Adapter;
use crate::baselines;
use crate::error::{AdapterCannotRestartSnafu, AdapterFailedSnafu, LabResult, UnknownPolicySnafu};

/// The names of the built-in policies, the core first.
pub const POLICIES: [&str; 5] = ["core", "one-try", "backoff", "breaker", "oracle"];

/// The prefix of a policy name that is the program of an adapter.
const ADAPTER_PREFIX: &str = "adapter:";

const PROGRESS_TEMPLATE: &str = "{bar:40} {pos}/{len} runs, {elapsed} gone, {eta} to go";

/// A run to be executed.
#[derive(Clone, Debug)]
pub struct Run {
    /// The scenario, resolved or not.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// The name of the policy.
    pub policy: String,
}

/// The result of a run with its execution time.
pub struct TimedRun {
    /// Its metrics, the same as those without time measurement.
    pub metrics: Metrics,
    /// The time spent in the policy.
    pub decisions: Duration,
    /// The time of the whole run.
    pub total: Duration,
}

/// Whether there is such a policy. Whether the program of an adapter exists is checked only when it is started.
pub fn is_known_policy(name: &str) -> bool {
    POLICIES.contains(&name) || name.strip_prefix(ADAPTER_PREFIX).is_some_and(|path| !path.is_empty())
}

/// Executes all runs on `cores` cores (0: all available), with a progress bar on standard error unless `quiet`.
///
/// # Errors
///
/// If the program of an adapter cannot be started, or fails during a run.
pub fn simulate_all(runs: &[Run], cores: usize, quiet: bool) -> LabResult<Vec<Metrics>> {
    let bar = if quiet { ProgressBar::hidden() } else { ProgressBar::new(runs.len() as u64) };
    bar.set_style(ProgressStyle::with_template(PROGRESS_TEMPLATE)?);
    let pool = rayon::ThreadPoolBuilder::new().num_threads(cores).build()?;
    let execute = |run: &Run| with_policies(run, |policies| simulate(&run.scenario, run.seed, policies));
    let metrics = pool.install(|| runs.par_iter().progress_with(bar.clone()).map(execute).collect());
    bar.finish_and_clear();
    metrics
}

/// Executes one run and measures its time.
///
/// # Errors
///
/// As [`simulate_all`].
pub fn simulate_timed(run: &Run) -> LabResult<TimedRun> {
    let (start, decisions) = (Instant::now(), Rc::new(Cell::new(Duration::ZERO)));
    let metrics = with_policies(run, |policies| {
        let timed = TimedPolicies { policies, decisions: decisions.clone() };
        simulate(&run.scenario, run.seed, &timed)
    })?;
    Ok(TimedRun { metrics, decisions: decisions.get(), total: start.elapsed() })
}

/// Executes a run with its policy.
fn with_policies(run: &Run, execute: impl Fn(&dyn Policies) -> Metrics) -> LabResult<Metrics> {
    if let Some(program) = run.policy.strip_prefix(ADAPTER_PREFIX) {
        return with_adapter(Path::new(program), &run.scenario, execute);
    }
    let policies: &dyn Policies = match run.policy.as_str() {
        "core" => &Core,
        "one-try" => &baselines::SingleAttempt,
        "backoff" => &baselines::Backoff,
        "breaker" => &baselines::BackoffWithBreaker,
        "oracle" => &baselines::Oracle,
        name => return UnknownPolicySnafu { name, known: &POLICIES[..] }.fail(),
    };
    Ok(execute(policies))
}

fn with_adapter(
    program: &Path, scenario: &Scenario, execute: impl Fn(&dyn Policies) -> Metrics,
) -> LabResult<Metrics> {
    let kills = scenario.faults.iter().any(|fault| fault.kind == FaultKind::RelayKill);
    ensure!(!kills, AdapterCannotRestartSnafu);
    let adapter = Adapter::start(program)?;
    let metrics = execute(&adapter);
    adapter.finish().context(AdapterFailedSnafu { program })?;
    Ok(metrics)
}

/// Policies whose execution time is measured.
struct TimedPolicies<'a> {
    policies: &'a dyn Policies,
    decisions: Rc<Cell<Duration>>,
}

struct TimedPolicy {
    policy: Box<dyn Policy>,
    decisions: Rc<Cell<Duration>>,
}

impl Policies for TimedPolicies<'_> {
    fn name(&self) -> &str {
        self.policies.name()
    }

    fn start(&self, now: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
        let policy = self.policies.start(now, relay, seed, fleet);
        Box::new(TimedPolicy { policy, decisions: self.decisions.clone() })
    }
}

impl Policy for TimedPolicy {
    fn handle(&mut self, now: Time, events: Vec<Event>, truth: &dyn GroundTruth) -> Vec<Command> {
        let start = Instant::now();
        let commands = self.policy.handle(now, events, truth);
        self.decisions.set(self.decisions.get() + start.elapsed());
        commands
    }
}
