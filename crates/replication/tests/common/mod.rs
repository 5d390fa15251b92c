//! A simulated network of keepers in virtual time: delay, loss, duplication and reordering of messages,
//! network partitions, kills, losses of power and of disks, freezes, replaced machines. Each run is
//! determined by its seed.

#![allow(dead_code)]

mod consistency_checker;
mod disk;
mod event_queue;
mod load;
pub mod log;
pub mod machine;
pub mod network;
mod simulation;

use juniperwing_clock::Span;
use juniperwing_random::Rng;

pub use simulation::Simulation;

/// The maximum time until all machines are in sync again after a fault.
pub const MAX_FULL_REPLICATION_TIME: Span = Span::from_millis(8_000);

/// Three keepers of which two must be in sync, some time after their start, and the index of the primary.
pub fn start_three_keepers(seed: u64) -> (Simulation, usize) {
    let mut simulation = Simulation::new(seed, 3, 2);
    simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "the start");
    simulation.run_for(Span::from_millis(1_200));
    let primary = simulation.primary().expect("a primary");
    (simulation, primary)
}

/// The number of the epoch that a keeper knows.
pub fn known_epoch_number(simulation: &Simulation, machine: usize) -> u64 {
    simulation.replica(machine).epoch().number.0
}

/// A random span of at least `min_ms` and less than `max_ms` milliseconds.
pub fn random_span(rng: &mut Rng, min_ms: u64, max_ms: u64) -> Span {
    Span::from_nanos(min_ms * 1_000_000 + rng.below((max_ms - min_ms) * 1_000_000))
}
