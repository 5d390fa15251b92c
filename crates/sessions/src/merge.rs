//! How two records of one try merge: idempotent, in any order, in any grouping.

use juniperwing_protocol::session::Turn;
use juniperwing_protocol::transfer::Record;

/// Merges `other` into `record`; `true` if that changed it.
///
/// A settled record supersedes a reserved one; of two alike, the larger number of tokens counts. The later
/// expiry counts. A turn stays.
pub fn merge(record: &mut Record, other: &Record) -> bool {
    let account = merge_tokens(record, other);
    let turn = merge_turn(&mut record.turn, other.turn.as_ref());
    account || turn
}

fn merge_tokens(record: &mut Record, other: &Record) -> bool {
    let before = (record.is_committed, record.tokens, record.expires_at_ms);
    if other.is_committed && !record.is_committed {
        record.is_committed = true;
        record.tokens = other.tokens;
    } else if other.is_committed == record.is_committed {
        record.tokens = record.tokens.max(other.tokens);
    }
    // Never earlier: a replica that lacks the newer record must not take the program for live for longer.
    record.expires_at_ms = record.expires_at_ms.max(other.expires_at_ms);
    before != (record.is_committed, record.tokens, record.expires_at_ms)
}

/// One try runs once, so there is one turn of it. Should there be two all the same, every replica must choose
/// the same one.
fn merge_turn(held: &mut Option<Turn>, other: Option<&Turn>) -> bool {
    let Some(other) = other else { return false };
    let replaces = held.as_ref().is_none_or(|held| tie_break_key(held) < tie_break_key(other));
    if replaces {
        *held = Some(other.clone());
    }
    replaces
}

fn tie_break_key(turn: &Turn) -> impl Ord + '_ {
    (&turn.output, &turn.input, &turn.previous, turn.retention_ms, &turn.endpoint, &turn.request)
}
