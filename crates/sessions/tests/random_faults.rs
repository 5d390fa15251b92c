//! Simulated clusters with random faults: budgets are never exceeded, stored turns are never denied, and the replicas
//! converge after all faults are repaired.

mod simulation;

use simulation::cluster::Cluster;

const RUNS: u64 = 250;
const STEPS_PER_RUN: usize = 3_000;

#[test]
fn budgets_hold_and_stored_turns_are_never_denied() {
    let mut begun_turns = 0;
    let mut denied_turns = 0;
    let mut stored_turns = 0;
    for seed in 0..RUNS {
        let mut cluster = Cluster::new(seed);
        let run = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..STEPS_PER_RUN {
                cluster.step();
            }
            cluster.repair_all_faults();
            cluster.check_replicas();
        }));
        assert!(run.is_ok(), "seed {seed}");
        begun_turns += cluster.clients.begun_turns;
        denied_turns += cluster.clients.denied_turns;
        stored_turns += cluster.clients.stored_turns.len();
    }
    // The runs must cover turns that begin, are stored and are denied.
    let runs = RUNS as usize;
    assert!(
        begun_turns > 20 * runs && stored_turns > 10 * runs && denied_turns > runs,
        "{begun_turns} {stored_turns} {denied_turns}"
    );
}
