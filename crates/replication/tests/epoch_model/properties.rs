//! What must always hold, and what must be reached for that to mean anything.

use stateright::Property;

use super::rules::Rules;
use super::state::{Epoch, IDENTITIES, Keeper, NEWCOMER, Stage, Tier};

/// The keepers that are primary of a chosen epoch whose in-sync replicas hold the state.
fn serving(tier: &Tier) -> impl Iterator<Item = (u8, &Keeper)> {
    let is_serving =
        |keeper: &Keeper| keeper.stage == Stage::Primary && keeper.office.is_some_and(|office| office.synced);
    (0..IDENTITIES).map(|member| (member, tier.keeper(member))).filter(move |(_, keeper)| is_serving(keeper))
}

/// Whether `keeper` holds all that was acknowledged in epochs up to `epoch`.
fn holds_acknowledged(tier: &Tier, keeper: &Keeper, epoch: &Epoch) -> bool {
    let acknowledged = tier.history.acknowledged.iter().zip(1_u8..);
    let mut due = acknowledged.filter(|(at, _)| at.is_some_and(|at| at <= epoch.number));
    due.all(|(_, write)| keeper.log.contains(write))
}

fn one_primary_an_epoch(_: &Rules, tier: &Tier) -> bool {
    let mut numbers: Vec<_> = serving(tier).map(|(_, keeper)| keeper.accepted.number).collect();
    let count = numbers.len();
    numbers.sort_unstable();
    numbers.dedup();
    numbers.len() == count && serving(tier).all(|(member, keeper)| keeper.accepted.number.proposer == member)
}

fn one_epoch_a_number(_: &Rules, tier: &Tier) -> bool {
    !tier.history.number_used_twice
}

fn primaries_hold_all(_: &Rules, tier: &Tier) -> bool {
    serving(tier).all(|(_, keeper)| holds_acknowledged(tier, keeper, &keeper.accepted))
}

fn one_history(_: &Rules, tier: &Tier) -> bool {
    !tier.history.diverged
}

fn reads_are_new(_: &Rules, tier: &Tier) -> bool {
    !tier.history.read_too_old
}

/// The in-sync replicas of the newest chosen epoch hold all that was acknowledged before it: whichever of them
/// is left can take over.
fn in_sync_hold_all(_: &Rules, tier: &Tier) -> bool {
    let newest = tier.history.chosen;
    newest.in_sync.iter().filter(|member| tier.keeper(*member).is_up).all(|member| {
        let keeper = tier.keeper(member);
        let acknowledged = tier.history.acknowledged.iter().zip(1_u8..);
        let mut due = acknowledged.filter(|(at, _)| at.is_some_and(|at| at < newest.number));
        due.all(|(_, write)| keeper.log.contains(write))
    })
}

fn a_newcomer_leads_on_what_was_acknowledged(_: &Rules, tier: &Tier) -> bool {
    let acknowledged = tier.history.acknowledged.iter().any(Option::is_some);
    acknowledged && serving(tier).any(|(member, _)| member == NEWCOMER)
}

fn all_writes_are_acknowledged(_: &Rules, tier: &Tier) -> bool {
    tier.history.acknowledged.iter().all(Option::is_some)
}

fn a_read_is_confirmed_after_a_take_over(_: &Rules, tier: &Tier) -> bool {
    tier.history.read_confirmed && serving(tier).any(|(member, _)| member != 0)
}

/// Names of the properties that must never be broken.
pub const SAFETY: [&str; 6] = [
    "one primary an epoch",
    "one epoch a number",
    "a serving primary holds all that was acknowledged",
    "one history of committed writes",
    "a confirmed read sees all that was acknowledged before it",
    "the in-sync replicas of the newest epoch hold all that was acknowledged",
];

pub fn all() -> Vec<Property<Rules>> {
    vec![
        Property::always(SAFETY[0], one_primary_an_epoch),
        Property::always(SAFETY[1], one_epoch_a_number),
        Property::always(SAFETY[2], primaries_hold_all),
        Property::always(SAFETY[3], one_history),
        Property::always(SAFETY[4], reads_are_new),
        Property::always(SAFETY[5], in_sync_hold_all),
        Property::sometimes("a newcomer leads", a_newcomer_leads_on_what_was_acknowledged),
        Property::sometimes("all writes are acknowledged", all_writes_are_acknowledged),
        Property::sometimes("a read is confirmed after a take-over", a_read_is_confirmed_after_a_take_over),
    ]
}
