//! Virtual time as one simulated machine sees it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_clock::Time;
use juniperwing_node::sync::lock;
use tokio::runtime::Handle;
use tokio::time::Instant;

/// The time up to which the whole simulation has been played, shared by all machines.
#[derive(Clone, Debug, Default)]
pub struct WorldTime(Arc<AtomicU64>);

impl WorldTime {
    /// The time.
    pub fn now(&self) -> Time {
        Time::from_nanos(self.0.load(Ordering::Relaxed))
    }

    /// The simulation has been played up to `time`.
    pub fn set(&self, time: Time) {
        self.0.store(time.since(Time::default()).as_nanos(), Ordering::Relaxed);
    }
}

/// A moment at which the paused clock of a process and the simulated time were read together.
#[derive(Clone, Copy, Debug)]
struct Started {
    instant: Instant,
    at: Time,
}

/// The clock of one machine. Within a step of the simulation it runs ahead of the world's time.
#[derive(Debug)]
pub struct MachineClock {
    world: WorldTime,
    started: Mutex<Option<Started>>,
}

impl MachineClock {
    /// A clock that shows the world's time.
    pub fn new(world: WorldTime) -> MachineClock {
        MachineClock { world, started: Mutex::default() }
    }

    /// A process has started; called in its runtime.
    pub fn start_process(&self) {
        let started = Started { instant: Instant::now(), at: self.world.now() };
        *lock(&self.started) = Some(started);
    }

    /// The process has ended.
    pub fn end_process(&self) {
        *lock(&self.started) = None;
    }

    /// Now: in the runtime of the process its own time, elsewhere the world's.
    pub fn now(&self) -> Time {
        let started = *lock(&self.started);
        match started {
            Some(started) if Handle::try_current().is_ok() => {
                let elapsed = Instant::now().saturating_duration_since(started.instant);
                Time::from_nanos(started.at.since(Time::default()).as_nanos() + elapsed.as_nanos() as u64)
            }
            _ => self.world.now(),
        }
    }

    /// From now until `time`.
    pub fn until(&self, time: Time) -> Duration {
        Duration::from_nanos(time.since(self.now()).as_nanos())
    }
}
