//! The data file `docs/capacity.json`: measured runs and the lines through them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::fit::Line;
use crate::plan::{Resource, Run, WANTED, Wanted};

/// What one process of a role used during a run, the mean of all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Used {
    /// Share of a core.
    pub cores: f64,
    /// Megabytes at the end.
    pub megabytes: f64,
    /// Bytes written to disk each second.
    pub disk_bytes_per_s: f64,
}

impl Used {
    fn of(&self, resource: Resource) -> f64 {
        match resource {
            Resource::Processor => self.cores,
            Resource::Memory => self.megabytes,
            Resource::Disk => self.disk_bytes_per_s,
        }
    }
}

/// A run that was made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// The series.
    pub series: String,
    /// Its place in the series.
    pub x: f64,
    /// Seconds that it was measured for.
    pub seconds: f64,
    /// What each role used.
    pub roles: BTreeMap<String, Used>,
    /// What the hollow participants counted, as they printed it.
    pub hollow: Vec<Value>,
    /// Whether the run counts for the lines: no call of a hollow participant failed.
    pub fitted: bool,
}

impl Measured {
    /// An empty one for a run.
    pub fn of(run: &Run, seconds: f64) -> Measured {
        Measured { series: run.series.to_owned(), x: run.x, seconds, ..Measured::default() }
    }

    /// What the hollow participants counted under this name.
    pub fn counted(&self, name: &str) -> Option<&Value> {
        self.hollow.iter().find(|figures| figures["name"] == name)
    }
}

/// A line through the points of a series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The series.
    pub series: String,
    /// The role.
    pub role: String,
    /// What of it.
    pub resource: String,
    /// The line.
    pub line: Line,
    /// The points that it goes through.
    pub points: usize,
}

/// All that was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Data {
    /// The command that gave it.
    pub command: String,
    /// The runs.
    pub runs: Vec<Measured>,
    /// The lines.
    pub slopes: Vec<Slope>,
}

impl Data {
    /// The data of these runs, with the lines through them.
    pub fn of(command: String, runs: Vec<Measured>) -> Data {
        let slopes = WANTED.iter().filter_map(|wanted| slope(*wanted, &runs)).collect();
        Data { command, runs, slopes }
    }
}

fn slope((series, role, resource): Wanted, runs: &[Measured]) -> Option<Slope> {
    let points: Vec<(f64, f64)> = runs
        .iter()
        .filter(|run| run.fitted && run.series == series)
        .filter_map(|run| Some((run.x, run.roles.get(role.name())?.of(resource))))
        .collect();
    let line = Line::fit(&points)?;
    Some(Slope {
        series: series.to_owned(),
        role: role.name().to_owned(),
        resource: resource.name().to_owned(),
        line,
        points: points.len(),
    })
}
