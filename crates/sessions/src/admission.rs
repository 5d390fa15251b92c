//! The begin of a turn: its chain is looked up, and its reservation admitted within the program's budget, or denied.

use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::session::{BeginTurn, SessionReply, SessionRequest, Turn};
use juniperwing_protocol::transfer::{Record, RecordState};
use juniperwing_protocol::{PartitionId, RequestId};

use crate::chain::Chain;
use crate::epoch_confirmation::EpochCertainty;
use crate::event::CallerId;
use crate::limits::{BUDGET_RETENTION_MS, RESERVATION_RETENTION_MS};
use crate::statistics::UnavailableReason;
use crate::store::Store;

/// Whether a turn may run within its program's budget.
enum Admission {
    Admitted(Box<Record>),
    /// It has run, or never will.
    AlreadyCommitted,
    /// It was denied before, and stays denied whatever the budget has room for now.
    AlreadyDenied,
    /// The budget has no room for it. The record makes that final.
    Denied(Box<Record>),
}

impl Store {
    pub(crate) fn handle_begin(
        &mut self, caller: CallerId, request: SessionRequest, begin: &BeginTurn, certainty: EpochCertainty,
    ) {
        if self.is_capacity_exhausted() {
            return self.send_unavailable(caller, UnavailableReason::CapacityExhausted);
        }
        let partition = request.partition;
        let chain = match self.chain_for(partition, begin) {
            Chain::Found(chain) => chain,
            Chain::Broken => return self.send_unavailable(caller, UnavailableReason::BrokenChain),
            Chain::Unknown => return self.deny(caller, request, SessionReply::UnknownTurn, certainty),
        };
        let mut records = self.imported_records(partition, begin, &chain);
        if let Some(budget) = begin.budget {
            match self.admit_turn(partition, begin, budget) {
                Admission::Admitted(record) => records.push(*record),
                Admission::AlreadyCommitted => {
                    return self.send_unavailable(caller, UnavailableReason::AlreadyCommitted);
                }
                Admission::AlreadyDenied => {
                    return self.deny(caller, request, SessionReply::BudgetExhausted, certainty);
                }
                Admission::Denied(record) => {
                    // The write is confirmed in this epoch by all replicas, so no confirmation is needed beside it.
                    let denial = vec![*record];
                    return self.start_write(partition, denial, caller, SessionReply::BudgetExhausted);
                }
            }
        }
        let reply = SessionReply::TurnBegun { chain };
        if records.is_empty() {
            return self.send_session_reply(caller, reply);
        }
        self.start_write(partition, records, caller, reply);
        self.check_budget(partition, begin);
    }

    /// The chain that a turn continues: the stored one, or else the imported one if that is complete.
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

    /// Records of the turns of other programs that this one continues: everything that a program needs is stored with
    /// it, and retained for as long as it.
    fn imported_records(&self, partition: PartitionId, begin: &BeginTurn, chain: &[Turn]) -> Vec<Record> {
        let table = self.tables.get(&partition);
        let is_own = |turn: &Turn| table.is_some_and(|t| t.has_turn(&begin.program, &turn.request));
        let expires_at_ms = self.moment.unix_time_ms.saturating_add(RESERVATION_RETENTION_MS);
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

    /// Reserves the most tokens that a turn may generate, if the budget allows it, and else denies the turn for good.
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
        // An existing reservation proves nothing: an old primary may have left it unacknowledged.
        if used.saturating_add(tokens) > budget {
            let denied = self.record_without_tokens(begin, RecordState::Denied, BUDGET_RETENTION_MS);
            return Admission::Denied(Box::new(denied));
        }
        let reserved = self.record_without_tokens(begin, RecordState::Reserved, RESERVATION_RETENTION_MS);
        Admission::Admitted(Box::new(Record { tokens, ..reserved }))
    }

    /// A record of a turn that has generated nothing.
    fn record_without_tokens(&self, begin: &BeginTurn, state: RecordState, retention_ms: u64) -> Record {
        Record {
            program: begin.program.clone(),
            request: begin.request.clone(),
            tokens: 0,
            state,
            turn: None,
            expires_at_ms: self.moment.unix_time_ms.saturating_add(retention_ms),
        }
    }

    /// Checks that the tokens which a program has used and reserved, those of the turn just admitted included, are
    /// within its budget.
    fn check_budget(&self, partition: PartitionId, begin: &BeginTurn) {
        let (Some(budget), Some(table)) = (begin.budget, self.tables.get(&partition)) else { return };
        let tokens: u64 = table.records_of(&begin.program).map(|record| record.tokens).sum();
        check(Invariant::ReservationsWithinBudget, tokens <= budget, || {
            format!("program {}, request {}, {tokens} of {budget}", begin.program.0, begin.request.0)
        });
    }

    /// Whether memory or disk is used up so far that no further turn is admitted.
    fn is_capacity_exhausted(&self) -> bool {
        let record_bytes: u64 = self.tables.values().map(super::table::Table::bytes).sum();
        record_bytes > self.limits.memory_bytes
            || self.segment_usage.bytes() > self.limits.disk_bytes
            || self.group_commit.is_paused()
    }
}

/// Whether turns are a complete chain that ends with `last`.
fn is_complete_chain(turns: &[Turn], last: &RequestId) -> bool {
    let is_linked = turns.windows(2).all(|pair| pair[1].previous.as_ref() == Some(&pair[0].request));
    let starts_at_first = turns.first().is_some_and(|first| first.previous.is_none());
    is_linked && starts_at_first && turns.last().is_some_and(|turn| turn.request == *last)
}
