//! Safety properties, which must always hold, and states that must be reached so that the safety checks are
//! not vacuous.

use stateright::Property;

use super::rules::Rules;
use super::state::{EpochNumber, Keeper, MEMBER_COUNT, ModelState, NEWCOMER, Stage};

/// The keepers that are primary of a chosen epoch whose in-sync replicas have the state.
fn serving_primaries(state: &ModelState) -> impl Iterator<Item = (u8, &Keeper)> {
    let is_serving = |keeper: &Keeper| {
        keeper.stage == Stage::Primary
            && keeper.leadership.is_some_and(|leadership| leadership.is_synchronized)
    };
    (0..MEMBER_COUNT)
        .map(|member| (member, state.keeper(member)))
        .filter(move |(_, keeper)| is_serving(keeper))
}

/// Whether `keeper` has all writes that were acknowledged in epochs with an `included` number.
fn has_acknowledged_writes(
    state: &ModelState, keeper: &Keeper, included: impl Fn(EpochNumber) -> bool,
) -> bool {
    let acknowledged = state.history.acknowledged.iter().zip(1_u8..);
    let mut required = acknowledged.filter(|(number, _)| number.is_some_and(&included));
    required.all(|(_, write)| keeper.log.contains(write))
}

fn each_epoch_has_one_primary(_: &Rules, state: &ModelState) -> bool {
    let mut numbers: Vec<_> = serving_primaries(state).map(|(_, keeper)| keeper.accepted.number).collect();
    let count = numbers.len();
    numbers.sort_unstable();
    numbers.dedup();
    numbers.len() == count
        && serving_primaries(state).all(|(member, keeper)| keeper.accepted.number.proposer == member)
}

fn epoch_numbers_are_unique(_: &Rules, state: &ModelState) -> bool {
    !state.history.has_duplicate_number
}

fn primaries_have_acknowledged_writes(_: &Rules, state: &ModelState) -> bool {
    serving_primaries(state)
        .all(|(_, keeper)| has_acknowledged_writes(state, keeper, |number| number <= keeper.accepted.number))
}

fn committed_writes_do_not_diverge(_: &Rules, state: &ModelState) -> bool {
    !state.history.has_diverged
}

fn reads_are_not_stale(_: &Rules, state: &ModelState) -> bool {
    !state.history.has_stale_read
}

/// The in-sync replicas of the newest chosen epoch have all writes that were acknowledged before it, because
/// any of them can become primary.
fn in_sync_replicas_have_acknowledged_writes(_: &Rules, state: &ModelState) -> bool {
    let newest = state.history.newest_chosen;
    newest
        .in_sync
        .iter()
        .filter(|member| state.keeper(*member).is_up)
        .all(|member| has_acknowledged_writes(state, state.keeper(member), |number| number < newest.number))
}

fn newcomer_is_primary_after_an_acknowledgement(_: &Rules, state: &ModelState) -> bool {
    let acknowledged = state.history.acknowledged.iter().any(Option::is_some);
    acknowledged && serving_primaries(state).any(|(member, _)| member == NEWCOMER)
}

fn all_writes_are_acknowledged(_: &Rules, state: &ModelState) -> bool {
    state.history.acknowledged.iter().all(Option::is_some)
}

fn read_is_confirmed_after_a_change_of_primary(_: &Rules, state: &ModelState) -> bool {
    state.history.has_confirmed_read && serving_primaries(state).any(|(member, _)| member != 0)
}

/// Names of the properties that must never be violated.
pub const SAFETY: [&str; 6] = [
    "each epoch has one primary",
    "epoch numbers are unique",
    "a serving primary has all acknowledged writes",
    "committed writes do not diverge",
    "a confirmed read reflects all writes acknowledged before it",
    "the in-sync replicas of the newest epoch have all acknowledged writes",
];

pub fn all() -> Vec<Property<Rules>> {
    vec![
        Property::always(SAFETY[0], each_epoch_has_one_primary),
        Property::always(SAFETY[1], epoch_numbers_are_unique),
        Property::always(SAFETY[2], primaries_have_acknowledged_writes),
        Property::always(SAFETY[3], committed_writes_do_not_diverge),
        Property::always(SAFETY[4], reads_are_not_stale),
        Property::always(SAFETY[5], in_sync_replicas_have_acknowledged_writes),
        Property::sometimes("a newcomer is primary", newcomer_is_primary_after_an_acknowledgement),
        Property::sometimes("all writes are acknowledged", all_writes_are_acknowledged),
        Property::sometimes(
            "a read is confirmed after a change of primary",
            read_is_confirmed_after_a_change_of_primary,
        ),
    ]
}
