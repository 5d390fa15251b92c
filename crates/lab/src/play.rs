//! Plays many runs over the cores. It owns the order of the results, which is that of the runs asked for, whatever
//! core was done first. It must never let one run see another.

use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use juniperwing_model::{Core, Figures, Policies, Scenario};
use rayon::prelude::*;

use crate::baselines;

/// The names of all policies, the core's own first.
pub const POLICIES: [&str; 5] = ["core", "one-try", "backoff", "breaker", "oracle"];

/// Starts a policy by its name.
pub fn policies(name: &str) -> Option<Box<dyn Policies + Sync>> {
    Some(match name {
        "core" => Box::new(Core),
        "one-try" => Box::new(baselines::OneTry),
        "backoff" => Box::new(baselines::Backoff),
        "breaker" => Box::new(baselines::Breaker),
        "oracle" => Box::new(baselines::Oracle),
        _ => return None,
    })
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
pub fn play(runs: &[Run], cores: usize, quiet: bool) -> Result<Vec<Figures>, String> {
    let bar = if quiet { ProgressBar::hidden() } else { ProgressBar::new(runs.len() as u64) };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {elapsed} gone, {eta} to go");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let pool = rayon::ThreadPoolBuilder::new().num_threads(cores).build().map_err(|e| e.to_string())?;
    let one = |run: &Run| {
        let policies = policies(&run.policy).ok_or_else(|| format!("there is no policy {:?}", run.policy))?;
        Ok(juniperwing_model::play(&run.scenario, run.seed, &*policies))
    };
    let figures = pool.install(|| runs.par_iter().progress_with(bar.clone()).map(one).collect());
    bar.finish_and_clear();
    figures
}
