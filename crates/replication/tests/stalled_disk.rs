//! Tests of stalled disks, whose writes neither fail nor complete. A keeper that waits for its disk must not
//! delay the others.

mod common;

use common::{MAX_FULL_REPLICATION_TIME, start_three_keepers};
use juniperwing_clock::Span;

/// The maximum time until changes are acknowledged again after a disk has stalled.
const MAX_FAILOVER_TIME: Span = Span::from_millis(3_500);
const SEEDS: u64 = 20;

#[test]
fn primary_with_a_stalled_disk_is_replaced() {
    for seed in 0..SEEDS {
        let (mut simulation, primary) = start_three_keepers(seed);
        simulation.stall_disk(primary);
        simulation.run_for(Span::from_millis(20));
        simulation.expect_progress(MAX_FAILOVER_TIME, "a stalled disk");
        let successor = simulation.primary().expect("a primary");
        assert_ne!(successor, primary, "seed {seed}");
        simulation.run_for(Span::from_millis(5_000));
        simulation.release_disk(primary);
        simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "the end of the stall");
    }
}

#[test]
fn backup_with_a_stalled_disk_does_not_delay_writes() {
    for seed in 0..SEEDS {
        let (mut simulation, primary) = start_three_keepers(seed);
        let backup = (primary + 1) % 3;
        simulation.stall_disk(backup);
        for _ in 0..5 {
            simulation.expect_progress(Span::from_millis(1_500), "a stalled disk of a backup");
        }
        assert_eq!(simulation.primary(), Some(primary), "seed {seed}");
        simulation.release_disk(backup);
        simulation.expect_fully_replicated(MAX_FULL_REPLICATION_TIME, "the end of the stall");
    }
}

#[test]
fn short_disk_stall_does_not_replace_the_primary() {
    for seed in 0..SEEDS {
        let (mut simulation, primary) = start_three_keepers(seed);
        simulation.stall_disk(primary);
        simulation.run_for(Span::from_millis(800));
        simulation.release_disk(primary);
        simulation.expect_progress(Span::from_millis(1_000), "a short stall of a disk");
        assert_eq!(simulation.primary(), Some(primary), "seed {seed}");
    }
}
