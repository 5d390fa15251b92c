//! Which runs are made, and which lines are drawn through them.

use crate::site::Role;

/// Milliseconds between heartbeats in most runs.
pub const HEARTBEAT_MS: u64 = 1_200;
/// The series of hollow relays.
pub const RELAYS: &str = "relays";
/// The series of hollow endpoints.
pub const ENDPOINTS: &str = "endpoints";
/// The series of heartbeats a second, of the same endpoints.
pub const HEARTBEATS: &str = "heartbeats a second";
/// The series of changes of the configuration a second.
pub const CHANGES: &str = "changes a second";
/// The series of routes in a configuration that changes.
pub const ROUTES: &str = "routes";
/// The series of turns a second.
pub const TURNS: &str = "turns a second";
/// The series of history that is written, in bytes a second.
pub const HISTORY: &str = "bytes of history a second";

/// One run: the hollow participants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Run {
    /// Which series it belongs to.
    pub series: &'static str,
    /// Its place in the series.
    pub x: f64,
    /// Hollow relays.
    pub relays: u64,
    /// Hollow endpoints.
    pub endpoints: u64,
    /// Milliseconds between their heartbeats.
    pub heartbeat_ms: u64,
    /// Changes of the configuration each second.
    pub changes_per_s: f64,
    /// Routes in the configuration.
    pub routes: u64,
    /// Turns each second.
    pub turns_per_s: f64,
    /// Bytes that each turn brings.
    pub turn_bytes: u64,
}

/// What of a process is fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Share of a core, per process.
    Processor,
    /// Megabytes, per process.
    Memory,
    /// Bytes written to disk each second, per process.
    Disk,
}

impl Resource {
    /// Its name in the data file.
    pub fn name(self) -> &'static str {
        match self {
            Resource::Processor => "cores",
            Resource::Memory => "megabytes",
            Resource::Disk => "bytes to disk a second",
        }
    }
}

/// A line to be drawn.
pub type Wanted = (&'static str, Role, Resource);

/// The lines that are drawn.
pub const WANTED: &[Wanted] = &[
    (RELAYS, Role::Keeper, Resource::Processor),
    (RELAYS, Role::Keeper, Resource::Memory),
    (ENDPOINTS, Role::Keeper, Resource::Processor),
    (ENDPOINTS, Role::Keeper, Resource::Memory),
    (ENDPOINTS, Role::Relay, Resource::Processor),
    (ENDPOINTS, Role::Relay, Resource::Memory),
    (HEARTBEATS, Role::Keeper, Resource::Processor),
    (HEARTBEATS, Role::Relay, Resource::Processor),
    (CHANGES, Role::Keeper, Resource::Processor),
    (CHANGES, Role::Relay, Resource::Processor),
    (CHANGES, Role::Keeper, Resource::Disk),
    (ROUTES, Role::Keeper, Resource::Processor),
    (ROUTES, Role::Relay, Resource::Processor),
    (TURNS, Role::Store, Resource::Processor),
    (TURNS, Role::Store, Resource::Memory),
    (TURNS, Role::Store, Resource::Disk),
    (HISTORY, Role::Store, Resource::Processor),
    (HISTORY, Role::Store, Resource::Memory),
    (HISTORY, Role::Store, Resource::Disk),
];

/// All runs, in their order.
pub fn runs() -> Vec<Run> {
    let base = Run { heartbeat_ms: HEARTBEAT_MS, routes: 10, ..Run::default() };
    let relays = [30, 100, 300, 700].map(|relays| Run { series: RELAYS, x: relays as f64, relays, ..base });
    let endpoints = [300, 1_000, 3_000, 8_000, 11_000].map(|endpoints| Run {
        series: ENDPOINTS,
        x: endpoints as f64,
        endpoints,
        ..base
    });
    // Shorter than the warm-up, so that no endpoint registers while the run is measured.
    let heartbeats = [2_000, 1_000, 500].map(|heartbeat_ms| {
        let x = 2_000.0 * 1_000.0 / heartbeat_ms as f64;
        Run { series: HEARTBEATS, x, endpoints: 2_000, heartbeat_ms, ..base }
    });
    let changing = Run { relays: 100, endpoints: 1, ..base };
    let changes =
        [0.5, 2.0, 5.0].map(|rate| Run { series: CHANGES, x: rate, changes_per_s: rate, ..changing });
    let routes = [10, 300, 1_000].map(|routes| Run {
        series: ROUTES,
        x: routes as f64,
        routes,
        changes_per_s: 0.5,
        ..changing
    });
    let turns = [50.0, 200.0, 800.0].map(|rate| Run {
        series: TURNS,
        x: rate,
        turns_per_s: rate,
        turn_bytes: 1_000,
        ..base
    });
    let history = [1_000, 8_000, 32_000].map(|turn_bytes| {
        let x = 100.0 * turn_bytes as f64;
        Run { series: HISTORY, x, turns_per_s: 100.0, turn_bytes, ..base }
    });
    let mut runs = Vec::new();
    runs.extend(relays);
    runs.extend(endpoints);
    runs.extend(heartbeats);
    runs.extend(changes);
    runs.extend(routes);
    runs.extend(turns);
    runs.extend(history);
    runs
}
