//! The command line. Comments on commands and options are their help text.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use juniperwing_model::Metrics;

use crate::error::LabResult;
use crate::runner::{self, Run};

/// Plays juniperwing's decisions against models of what a relay serves, at sizes that sockets don't reach.
#[derive(Parser)]
#[command(name = "juniperwing-lab", version)]
#[allow(missing_docs, reason = "a comment would be help text")]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[allow(missing_docs, reason = "a comment would be help text")]
#[derive(Subcommand)]
pub enum Command {
    /// Play a scenario and write a folder with its figures and a report
    Run {
        /// A scenario file, or the name of one in lab/scenarios
        scenario: PathBuf,
        #[command(flatten)]
        options: RunOptions,
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
        options: RunOptions,
    },
    /// Play a scenario with one of its figures at several values
    Sweep {
        /// A scenario file, or the name of one in lab/scenarios
        scenario: PathBuf,
        /// Which, and its values: traffic.load=0.6,0.8,1.0 or trouble.0.extent=0.1,0.3
        #[arg(long)]
        over: String,
        #[command(flatten)]
        options: RunOptions,
        /// Whose decisions; may be given several times
        #[arg(long, default_value = "core")]
        policy: Vec<String>,
    },
    /// Search seeds and combinations of troubles for a broken rule or the worst day, and shrink what is found
    Hunt {
        /// A scenario file, or the name of one in lab/scenarios; its own troubles are left out
        scenario: PathBuf,
        #[command(flatten)]
        options: RunOptions,
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
        options: RunOptions,
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

/// Options of commands that run scenarios.
#[derive(Args)]
pub struct RunOptions {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many seeds, one after the other
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seeds: u64,
    /// Cores; 0: all there are
    #[arg(long, default_value_t = 0)]
    pub jobs: usize,
    /// The folder for results; each run has one of its own in it
    #[arg(long, default_value = "target/lab")]
    pub out: PathBuf,
    /// No progress bar
    #[arg(long)]
    pub quiet: bool,
}

impl RunOptions {
    /// The seeds of all runs.
    pub fn seeds(&self) -> impl Iterator<Item = u64> + use<> {
        self.seed..self.seed.saturating_add(self.seeds)
    }

    /// Executes runs on the cores that the options allow.
    ///
    /// # Errors
    ///
    /// As [`runner::simulate_all`].
    pub fn simulate_all(&self, runs: &[Run]) -> LabResult<Vec<Metrics>> {
        runner::simulate_all(runs, self.jobs, self.quiet)
    }
}
