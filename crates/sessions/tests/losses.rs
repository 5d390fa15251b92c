//! One loss after the other, as soon as the fault model allows the next: nothing that was acknowledged is lost,
//! and turns are served again soon after each loss, also by two stores. A loss of power of all stores may come
//! between.

mod common;

use common::Chance;
use common::cluster::Cluster;
use common::losses::Loss;
use juniperwing_clock::Span;

const PLAYS: u64 = 40;
const LOSSES: usize = 6;
/// A machine counts as lost for this long after it is back (`catchUpS`).
const CATCH_UP_MS: usize = 4_000;
/// Turns are served again so long after the beginning of a loss.
const SERVED_AGAIN_AFTER: Span = Span::from_millis(2_500);
/// A store machine is emptied within this time.
const EMPTIED_WITHIN: Span = Span::from_millis(8_000);
/// For so long at least, turns are looked for.
const LOOK_MS: usize = 1_500;

fn up_to(chance: &mut Chance, millis: usize) -> Span {
    Span::from_millis(chance.below(millis) as u64)
}

fn strike(cluster: &mut Cluster, chance: &mut Chance) {
    let working = cluster.working();
    let victim = match chance.below(3) {
        0 => cluster.busiest(),
        1 => cluster.oldest(),
        _ => working[chance.below(working.len())],
    };
    let losses = [Loss::Kill, Loss::Wipe, Loss::Cut, Loss::Replace];
    let loss = losses[chance.below(losses.len())];
    cluster.lose(victim, loss);
    if chance.percent(40) {
        cluster.run_for(up_to(chance, 2_000));
    } else {
        cluster.run_for(SERVED_AGAIN_AFTER);
        let before = cluster.clients.begun;
        cluster.run_for(Span::from_millis(LOOK_MS as u64) + up_to(chance, 4_000));
        assert!(cluster.clients.begun > before, "no turn is served after {loss:?} of {victim}");
    }
    cluster.end_loss(victim, loss);
    if chance.percent(30) {
        // In the middle of the levelling, perhaps.
        cluster.run_for(up_to(chance, 1_000));
        cluster.lose_power(up_to(chance, 1_000));
    }
    cluster.run_for(Span::from_millis(CATCH_UP_MS as u64));
    cluster.check_copies();
}

fn play(seed: u64) -> Cluster {
    let mut chance = Chance::new(seed + 1_000);
    let mut cluster = Cluster::planned(seed, 2 + seed as usize % 3);
    cluster.run_for(Span::from_millis(4_000));
    for _ in 0..LOSSES {
        cluster.run_for(up_to(&mut chance, CATCH_UP_MS));
        match chance.below(4) {
            0 => cluster.add(),
            1 if cluster.working().len() > 2 => {
                let retired = cluster.oldest();
                cluster.retire(retired, EMPTIED_WITHIN);
            }
            _ => {}
        }
        strike(&mut cluster, &mut chance);
    }
    cluster
}

#[test]
fn the_next_loss_costs_nothing_and_turns_are_served_again() {
    let mut begun = 0;
    let mut kept = 0;
    for seed in 0..PLAYS {
        let play = std::panic::catch_unwind(|| play(seed));
        let Ok(cluster) = play else { panic!("seed {seed}") };
        begun += cluster.clients.begun;
        kept += cluster.clients.kept.len();
    }
    // The plays must be worth something.
    let plays = PLAYS as usize;
    assert!(begun > 100 * plays && kept > 50 * plays, "{begun} {kept}");
}
