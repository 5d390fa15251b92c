//! Merge of two records of the same request. It is idempotent, commutative and associative.

use juniperwing_protocol::session::Turn;
use juniperwing_protocol::transfer::{Record, RecordState};

/// Merges `other` into `record`; returns whether that changed `record`.
///
/// A denial supersedes a reservation but keeps its tokens, since a later primary may have admitted the turn without
/// knowing of the denial. A committed record supersedes both. If both records are committed or neither is, the larger
/// number of tokens wins. The later expiry wins. A stored turn is never removed.
pub fn merge(record: &mut Record, other: &Record) -> bool {
    let tokens_changed = merge_tokens(record, other);
    let turn_changed = merge_turn(&mut record.turn, other.turn.as_ref());
    tokens_changed || turn_changed
}

fn merge_tokens(record: &mut Record, other: &Record) -> bool {
    let before = (record.state, record.tokens, record.expires_at_ms);
    let is_committed = |record: &Record| record.state == RecordState::Committed;
    match (is_committed(record), is_committed(other)) {
        (false, true) => record.tokens = other.tokens,
        (true, false) => {}
        (false, false) | (true, true) => record.tokens = record.tokens.max(other.tokens),
    }
    if precedence(other.state) > precedence(record.state) {
        record.state = other.state;
    }
    // The expiry never moves earlier: otherwise a replica that lacks the newer record would retain the program for
    // longer than others.
    record.expires_at_ms = record.expires_at_ms.max(other.expires_at_ms);
    before != (record.state, record.tokens, record.expires_at_ms)
}

/// The precedence of a state in a merge; the higher one wins.
fn precedence(state: RecordState) -> u8 {
    match state {
        RecordState::Reserved => 0,
        RecordState::Denied => 1,
        RecordState::Committed => 2,
    }
}

/// Merges the stored turns. A request runs once, so two different turns of it are not expected; if they occur anyway,
/// every replica must choose the same one.
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
