//! Virtual clocks: the time of the whole simulation and the clock of one machine.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_node::sync::lock;
use tokio::runtime::Handle;
use tokio::time::Instant;

/// The time up to which all machines have run. Clones share the time.
#[derive(Clone, Debug, Default)]
pub struct SimulationTime(Arc<AtomicU64>);

impl SimulationTime {
    /// Returns the time.
    pub fn now(&self) -> Time {
        Time::from_nanos(self.0.load(Ordering::Relaxed))
    }

    /// Sets the time.
    pub fn set(&self, time: Time) {
        self.0.store(time.since(Time::default()).as_nanos(), Ordering::Relaxed);
    }
}

/// The start of a process, on the paused clock of its runtime and in simulation time.
#[derive(Clone, Copy, Debug)]
struct ProcessStart {
    instant: Instant,
    at: Time,
}

/// The clock of one machine. Within a step of the simulation it runs ahead of the simulation time.
#[derive(Debug)]
pub struct MachineClock {
    simulation_time: SimulationTime,
    process_start: Mutex<Option<ProcessStart>>,
}

impl MachineClock {
    /// Creates a clock that shows the simulation time.
    pub fn new(simulation_time: SimulationTime) -> MachineClock {
        MachineClock { simulation_time, process_start: Mutex::default() }
    }

    /// Marks the start of a process. Must be called in the context of its runtime.
    pub fn start_process(&self) {
        let start = ProcessStart { instant: Instant::now(), at: self.simulation_time.now() };
        *lock(&self.process_start) = Some(start);
    }

    /// Marks the end of the process.
    pub fn end_process(&self) {
        *lock(&self.process_start) = None;
    }

    /// Returns the time of the process in the context of its runtime, and the simulation time elsewhere.
    pub fn now(&self) -> Time {
        let process_start = *lock(&self.process_start);
        match process_start {
            Some(start) if Handle::try_current().is_ok() => {
                let elapsed = Instant::now().saturating_duration_since(start.instant);
                Time::from_nanos(start.at.since(Time::default()).as_nanos() + elapsed.as_nanos() as u64)
            }
            _ => self.simulation_time.now(),
        }
    }

    /// Returns the duration from now until `time`; zero if it has passed.
    pub fn until(&self, time: Time) -> Duration {
        Duration::from_nanos(time.since(self.now()).as_nanos())
    }
}
