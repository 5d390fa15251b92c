//! Admission of turns: looks up the chain that a turn continues, and reserves tokens within the program's budget or
//! denies the turn.

use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::session::{BeginTurn, SessionReply, SessionRequest, Turn};
use juniperwing_protocol::transfer::{Record, RecordState};
use juniperwing_protocol::{PartitionId, RequestId};

use crate::chain::Chain;
use crate::epoch_confirmation::EpochStatus;
use crate::event::CallerId;
use crate::statistics::UnavailableReason;
use crate::store::Store;

/// The result of checking a turn against its program's budget.
enum Admission {
    Admitted(Box<Record>),
    /// The turn is already committed: it has run or was abandoned, so it must not run now.
    AlreadyCommitted,
    /// The turn was denied before. A denial is final, even if the budget would allow the turn now.
    AlreadyDenied,
    /// The turn would exceed the budget. Replicating the record makes the denial final.
    Denied(Box<Record>),
}

impl Store {
    pub(crate) fn handle_begin(
        &mut self, caller: CallerId, request: SessionRequest, begin: &BeginTurn, epoch_status: EpochStatus,
    ) {
        if self.is_capacity_exhausted() {
            return self.send_unavailable(caller, UnavailableReason::CapacityExhausted);
        }
        let partition = request.partition;
        let chain = match self.chain_for(partition, begin) {
            Chain::Found(chain) => chain,
            Chain::Broken => return self.send_unavailable(caller, UnavailableReason::BrokenChain),
            Chain::Unknown => return self.deny(caller, request, SessionReply::UnknownTurn, epoch_status),
        };
        let mut records = self.imported_records(partition, begin, &chain);
        if let Some(budget) = begin.budget {
            match self.admit_turn(partition, begin, budget) {
                Admission::Admitted(record) => records.push(*record),
                Admission::AlreadyCommitted => {
                    return self.send_unavailable(caller, UnavailableReason::AlreadyCommitted);
                }
                Admission::AlreadyDenied => {
                    return self.deny(caller, request, SessionReply::BudgetExhausted, epoch_status);
                }
                Admission::Denied(record) => {
                    // All replicas confirm the write in this epoch, so no separate epoch confirmation is needed.
                    let denial = vec![*record];
                    return self.start_write(partition, denial, caller, SessionReply::BudgetExhausted);
                }
            }
        } else {
            records.extend(self.retained_previous_turn(partition, begin));
        }
        let reply = SessionReply::TurnBegun { chain };
        if records.is_empty() {
            return self.send_session_reply(caller, reply);
        }
        self.start_write(partition, records, caller, reply);
        self.check_budget(partition, begin);
    }

    /// Returns the chain that a turn continues: the stored one, or otherwise the imported one if that is complete.
    fn chain_for(&self, partition: PartitionId, begin: &BeginTurn) -> Chain {
        let Some(previous) = &begin.previous else { return Chain::Found(Vec::new()) };
        let stored = match self.tables.get(&partition) {
            Some(table) => table.chain(&begin.program, previous),
            None => Chain::Unknown,
        };
        if matches!(stored, Chain::Found(_)) || !is_complete_chain(&begin.imported, previous) {
            return stored;
        }
        Chain::Found(begin.imported.clone())
    }

    /// Returns copies of the turns in the chain that belong to other programs. Each program keeps its own copy of every
    /// turn that it depends on, so that all of them have the same retention.
    fn imported_records(&self, partition: PartitionId, begin: &BeginTurn, chain: &[Turn]) -> Vec<Record> {
        let table = self.tables.get(&partition);
        let is_own = |turn: &Turn| table.is_some_and(|t| t.has_turn(&begin.program, &turn.request));
        let expires_at_ms = self.lease_expiry_ms(begin.lease);
        let record = |turn: &Turn| Record {
            program: begin.program.clone(),
            request: turn.request.clone(),
            tokens: 0,
            state: RecordState::Committed,
            turn: Some(turn.clone()),
            expires_at_ms,
        };
        chain.iter().filter(|turn| !is_own(turn)).map(record).collect()
    }

    /// Reserves the maximum number of tokens that a turn may generate if the budget allows it, and otherwise denies the
    /// turn permanently.
    fn admit_turn(&self, partition: PartitionId, begin: &BeginTurn, budget: u64) -> Admission {
        let table = self.tables.get(&partition);
        let known = table.and_then(|table| table.record(&begin.program, &begin.request));
        match known.map(|record| record.state) {
            Some(RecordState::Committed) => return Admission::AlreadyCommitted,
            Some(RecordState::Denied) => return Admission::AlreadyDenied,
            Some(RecordState::Reserved) | None => {}
        }
        let reserved = known.map_or(0, |record| record.tokens);
        let used = table.map_or(0, |table| table.tokens_except(&begin.program, &begin.request));
        let tokens = begin.max_tokens.max(reserved);
        // An existing reservation does not prove that the turn was admitted: a previous primary may have left it
        // unacknowledged.
        if used.saturating_add(tokens) > budget {
            let expires_at_ms = self.budget_expiry_ms(begin.lease.retention_ms);
            let denied = record_without_tokens(begin, RecordState::Denied, expires_at_ms);
            return Admission::Denied(Box::new(denied));
        }
        let expires_at_ms = self.lease_expiry_ms(begin.lease);
        let reserved = record_without_tokens(begin, RecordState::Reserved, expires_at_ms);
        Admission::Admitted(Box::new(Record { tokens, ..reserved }))
    }

    /// Checks the invariant that the used and reserved tokens of a program, including the turn just admitted, do not
    /// exceed its budget.
    fn check_budget(&self, partition: PartitionId, begin: &BeginTurn) {
        let (Some(budget), Some(table)) = (begin.budget, self.tables.get(&partition)) else { return };
        let tokens: u64 = table.records_of(&begin.program).map(|record| record.tokens).sum();
        check(Invariant::ReservationsWithinBudget, tokens <= budget, || {
            format!("program {}, request {}, {tokens} of {budget}", begin.program.0, begin.request.0)
        });
    }

    /// Whether no further turn is admitted, because memory or disk usage exceeds its limit or the disk fails.
    fn is_capacity_exhausted(&self) -> bool {
        let record_bytes: u64 = self.tables.values().map(super::table::Table::bytes).sum();
        record_bytes > self.limits.memory_bytes
            || self.segment_usage.bytes() > self.limits.disk_bytes
            || self.group_commit.is_paused()
    }
}

/// Creates a record with no tokens and no stored turn.
fn record_without_tokens(begin: &BeginTurn, state: RecordState, expires_at_ms: u64) -> Record {
    Record {
        program: begin.program.clone(),
        request: begin.request.clone(),
        tokens: 0,
        state,
        turn: None,
        expires_at_ms,
    }
}

/// Whether `turns` is a complete chain that ends with `last`.
fn is_complete_chain(turns: &[Turn], last: &RequestId) -> bool {
    let is_linked = turns.windows(2).all(|pair| pair[1].previous.as_ref() == Some(&pair[0].request));
    let starts_at_first = turns.first().is_some_and(|first| first.previous.is_none());
    is_linked && starts_at_first && turns.last().is_some_and(|turn| turn.request == *last)
}
