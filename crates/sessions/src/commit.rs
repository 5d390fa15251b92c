//! Commit of turns: replaces the reservation by the tokens used and stores the contents of the turn.

use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::PartitionId;
use juniperwing_protocol::session::{FinishTurn, SessionReply};
use juniperwing_protocol::transfer::{Record, RecordState};

use crate::event::CallerId;
use crate::statistics::UnavailableReason;
use crate::store::Store;

impl Store {
    pub(crate) fn handle_finish(&mut self, caller: CallerId, partition: PartitionId, finish: FinishTurn) {
        if finish.stored_turn.as_ref().is_some_and(|turn| turn.request != finish.request) {
            return self.send_unavailable(caller, UnavailableReason::StoredTurnMismatch);
        }
        self.check_commit(partition, &finish);
        if !self.has_previous_turn(partition, &finish) {
            // The turn could not be continued, so its response must not end as if it were stored.
            self.turn_counters.turns_without_previous += 1;
            return self.send_unavailable(caller, UnavailableReason::BrokenChain);
        }
        let expires_at_ms = match &finish.stored_turn {
            Some(turn) => self.stored_turn_expiry_ms(turn.retention_ms),
            None => self.budget_expiry_ms(finish.retention_ms),
        };
        let record = Record {
            program: finish.program,
            request: finish.request,
            tokens: finish.tokens,
            state: RecordState::Committed,
            turn: finish.stored_turn,
            expires_at_ms,
        };
        self.start_write(partition, vec![record], caller, SessionReply::TurnFinished);
    }

    /// Whether this store lacks the turn that a turn to be stored continues, but may learn of it from a replica.
    pub(crate) fn may_learn_of_previous_turn(&self, partition: PartitionId, finish: &FinishTurn) -> bool {
        !self.is_synchronized(partition) && !self.has_previous_turn(partition, finish)
    }

    /// Whether the turn that a turn to be stored continues is stored too, under the same program. With it is its chain,
    /// since a program keeps copies of the chain of its turns and all of its records expire together.
    fn has_previous_turn(&self, partition: PartitionId, finish: &FinishTurn) -> bool {
        let previous = finish.stored_turn.as_ref().and_then(|turn| turn.previous.as_ref());
        let table = self.tables.get(&partition);
        let is_stored = |previous| table.is_some_and(|table| table.has_turn(&finish.program, previous));
        previous.is_none_or(is_stored)
    }

    /// Checks the invariants that a turn uses no more tokens than were reserved, and that its stored contents never
    /// change.
    fn check_commit(&self, partition: PartitionId, finish: &FinishTurn) {
        let table = self.tables.get(&partition);
        let Some(known) = table.and_then(|table| table.record(&finish.program, &finish.request)) else {
            return;
        };
        let describe = || format!("program {}, request {}", finish.program.0, finish.request.0);
        let is_within_reservation = known.state == RecordState::Committed || finish.tokens <= known.tokens;
        check(Invariant::CommitWithinReservation, is_within_reservation, describe);
        let is_unchanged = match (&known.turn, &finish.stored_turn) {
            (Some(known), Some(stored)) => known.output == stored.output && known.input == stored.input,
            _ => true,
        };
        check(Invariant::StoredTurnIsImmutable, is_unchanged, describe);
    }
}
