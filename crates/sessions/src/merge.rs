//! The merge of two records of one request: idempotent, commutative and associative.

use juniperwing_protocol::session::Turn;
use juniperwing_protocol::transfer::Record;

/// Merges `other` into `record`; returns whether that changed `record`.
///
/// A committed record supersedes a reservation; of two alike, the larger number of tokens counts. The later expiry
/// counts. A stored turn is never removed.
pub fn merge(record: &mut Record, other: &Record) -> bool {
    let tokens_changed = merge_tokens(record, other);
    let turn_changed = merge_turn(&mut record.turn, other.turn.as_ref());
    tokens_changed || turn_changed
}

fn merge_tokens(record: &mut Record, other: &Record) -> bool {
    let before = (record.is_committed, record.tokens, record.expires_at_ms);
    if other.is_committed && !record.is_committed {
        record.is_committed = true;
        record.tokens = other.tokens;
    } else if other.is_committed == record.is_committed {
        record.tokens = record.tokens.max(other.tokens);
    }
    // Never earlier: a replica that lacks the newer record must not retain the program for longer than others.
    record.expires_at_ms = record.expires_at_ms.max(other.expires_at_ms);
    before != (record.is_committed, record.tokens, record.expires_at_ms)
}

/// A request runs once, so there is one turn of it. Should there be two all the same, every replica must choose the
/// same one.
fn merge_turn(turn: &mut Option<Turn>, other: Option<&Turn>) -> bool {
    let Some(other) = other else { return false };
    let replaces = turn.as_ref().is_none_or(|turn| tie_break_key(turn) < tie_break_key(other));
    if replaces {
        *turn = Some(other.clone());
    }
    replaces
}

fn tie_break_key(turn: &Turn) -> impl Ord + '_ {
    (&turn.output, &turn.input, &turn.previous, turn.retention_ms, &turn.endpoint, &turn.request)
}
