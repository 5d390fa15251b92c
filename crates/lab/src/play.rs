//! Plays many runs over the cores. It owns the order of the results, which is that of the runs asked for, whatever
//! core was done first. It must never let one run see another.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use juniperwing::interface::{Command, Event};
use juniperwing::time::Time;
use juniperwing_model::fleet::Fleet;
use juniperwing_model::policy::Truth;
use juniperwing_model::scenario::FaultKind;
use juniperwing_model::{Core, Metrics, Policies, Policy, Scenario};
use rayon::prelude::*;

use crate::adapter::Adapter;
use crate::baselines;

/// The names of all policies, the core's own first.
pub const POLICIES: [&str; 5] = ["core", "one-try", "backoff", "breaker", "oracle"];

/// What an adapter's program is called by, in place of a policy's name.
const ADAPTER: &str = "adapter:";

/// Whether there is such a policy; an adapter's program is only looked for when it is started.
pub fn is_known(name: &str) -> bool {
    POLICIES.contains(&name) || name.strip_prefix(ADAPTER).is_some_and(|path| !path.is_empty())
}

/// Plays one run.
fn one(run: &Run, play: impl Fn(&dyn Policies) -> Metrics) -> Result<Metrics, String> {
    if let Some(path) = run.policy.strip_prefix(ADAPTER) {
        if run.scenario.faults.iter().any(|trouble| trouble.what == FaultKind::Kill) {
            return Err(
                "an adapter's relays have no folder, so none can be killed and come back over it".to_owned()
            );
        }
        let adapter = Adapter::start(path)?;
        let metrics = play(&adapter);
        return adapter.failed().map_or(Ok(metrics), |why| Err(format!("{path}: {why}")));
    }
    let policies: &dyn Policies = match run.policy.as_str() {
        "core" => &Core,
        "one-try" => &baselines::OneTry,
        "backoff" => &baselines::Backoff,
        "breaker" => &baselines::Breaker,
        "oracle" => &baselines::Oracle,
        name => return Err(format!("there is no policy {name:?}")),
    };
    Ok(play(policies))
}

/// A policy whose decisions are timed.
struct Timed<'a> {
    of: &'a dyn Policies,
    spent: Rc<Cell<Duration>>,
}

struct TimedOne {
    of: Box<dyn Policy>,
    spent: Rc<Cell<Duration>>,
}

impl Policies for Timed<'_> {
    fn name(&self) -> &str {
        self.of.name()
    }

    fn start(&self, now: Time, relay: usize, seed: u64, fleet: &Fleet) -> Box<dyn Policy> {
        Box::new(TimedOne { of: self.of.start(now, relay, seed, fleet), spent: self.spent.clone() })
    }
}

impl Policy for TimedOne {
    fn handle(&mut self, now: Time, events: Vec<Event>, truth: &dyn Truth) -> Vec<Command> {
        let since = Instant::now();
        let commands = self.of.handle(now, events, truth);
        self.spent.set(self.spent.get() + since.elapsed());
        commands
    }
}

/// Plays one run and says how long it took, in decisions and in all. The figures are those of any other run.
pub fn timed(run: &Run) -> Result<(Metrics, Duration, Duration), String> {
    let (since, spent) = (Instant::now(), Rc::new(Cell::new(Duration::ZERO)));
    let metrics = one(run, |policies| {
        let timed = Timed { of: policies, spent: spent.clone() };
        juniperwing_model::simulate(&run.scenario, run.seed, &timed)
    })?;
    Ok((metrics, spent.get(), since.elapsed()))
}

/// One run to be played.
#[derive(Clone, Debug)]
pub struct Run {
    /// The scenario, not resolved.
    pub scenario: Scenario,
    /// Its seed.
    pub seed: u64,
    /// Whose decisions.
    pub policy: String,
}

/// Plays all runs on so many cores (0: all there are), with a bar on standard error unless `quiet`.
pub fn play(runs: &[Run], cores: usize, quiet: bool) -> Result<Vec<Metrics>, String> {
    let bar = if quiet { ProgressBar::hidden() } else { ProgressBar::new(runs.len() as u64) };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {elapsed} gone, {eta} to go");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let pool = rayon::ThreadPoolBuilder::new().num_threads(cores).build().map_err(|e| e.to_string())?;
    let one = |run: &Run| one(run, |policies| juniperwing_model::simulate(&run.scenario, run.seed, policies));
    let metrics = pool.install(|| runs.par_iter().progress_with(bar.clone()).map(one).collect());
    bar.finish_and_clear();
    metrics
}
