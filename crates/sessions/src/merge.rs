//! The merge of two records of one request: idempotent, commutative and associative.

use juniperwing_protocol::session::Turn;
use juniperwing_protocol::transfer::{Record, RecordState};

/// Merges `other` into `record`; returns whether that changed `record`.
///
/// A denial supersedes a reservation but keeps its tokens, since a later primary may have admitted the turn without
/// knowing of the denial. A committed record supersedes both. Of two alike, the larger number of tokens counts. The later
/// expiry counts. A stored turn is never removed.
pub fn merge(record: &mut Record, other: &Record) -> bool {
    let tokens_changed = merge_tokens(record, other);
    let turn_changed = merge_turn(&mut record.turn, other.turn.as_ref());
    tokens_changed || turn_changed
}

fn merge_tokens(record: &mut Record, other: &Record) -> bool {
    let before = (record.state, record.tokens, record.expires_at_ms);
    let is_ended = |record: &Record| record.state == RecordState::Committed;
    match (is_ended(record), is_ended(other)) {
        (false, true) => record.tokens = other.tokens,
        (true, false) => {}
        (false, false) | (true, true) => record.tokens = record.tokens.max(other.tokens),
    }
    if rank(other.state) > rank(record.state) {
        record.state = other.state;
    }
    // Never earlier: a replica that lacks the newer record must not retain the program for longer than others.
    record.expires_at_ms = record.expires_at_ms.max(other.expires_at_ms);
    before != (record.state, record.tokens, record.expires_at_ms)
}

/// The higher one of two states counts.
fn rank(state: RecordState) -> u8 {
    match state {
        RecordState::Reserved => 0,
        RecordState::Denied => 1,
        RecordState::Committed => 2,
    }
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
