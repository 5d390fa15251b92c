//! What the primary of a partition does for relays.

use std::collections::BTreeMap;

use juniperwing_invariants::{Invariant, check};
use juniperwing_protocol::session::{
    BeginTurn, FinishTurn, PartitionEpoch, SessionCall, SessionReply, SessionRequest, Turn,
};
use juniperwing_protocol::transfer::{Record, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, PartitionId, RequestId};

use crate::call::CallPurpose;
use crate::event::{CallerId, Command};
use crate::limits::{
    BUDGET_RETENTION_MS, MAX_PENDING_WRITES, MAX_RETENTION_MS, MAX_WAITING_REQUESTS,
    MIN_STORED_TURN_RETENTION_MS, REQUEST_TIMEOUT, RESERVATION_RETENTION_MS,
};
use crate::statistics::UnavailableReason;
use crate::store::{Store, Timer, WaitingRequest};
use crate::table::Chain;

/// Names a round in which the other replicas confirm that this store still leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EpochConfirmationId(u64);

/// A round before a denial. An old primary whose epoch is over never gets it confirmed.
#[derive(Clone, Debug)]
pub(crate) struct EpochConfirmation {
    caller: CallerId,
    request: SessionRequest,
    epochs: Vec<PartitionEpoch>,
    outstanding_replies: usize,
}

/// Whether the epochs by which a denial is given have been confirmed since the question came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EpochCertainty {
    Unconfirmed,
    Confirmed,
}

impl Store {
    /// A relay asks.
    pub(crate) fn handle_session_request(&mut self, caller: CallerId, request: SessionRequest) {
        self.decide(caller, request, EpochCertainty::Unconfirmed);
    }

    fn decide(&mut self, caller: CallerId, request: SessionRequest, certainty: EpochCertainty) {
        if let SessionCall::Find { turn, partitions } = &request.body {
            let (turn, partitions) = (turn.clone(), partitions.clone());
            return self.handle_find(caller, request, &turn, partitions, certainty);
        }
        let partition = request.partition;
        let leads = self.led_partitions.get(&partition).is_some_and(|lead| lead.epoch >= request.epoch);
        if !leads {
            return self.send_not_primary(caller, partition);
        }
        if !self.has_required_replicas(partition) {
            return self.send_unavailable(caller, UnavailableReason::TooFewReplicas);
        }
        if self.pending_writes.len() >= MAX_PENDING_WRITES {
            return self.send_unavailable(caller, UnavailableReason::TooManyPendingWrites);
        }
        match &request.body {
            SessionCall::Finish(finish) => {
                let finish = finish.clone();
                self.handle_finish(caller, partition, finish);
            }
            SessionCall::Begin(begin) if begin.budget.is_none() && begin.previous.is_none() => {
                self.send_session_reply(caller, SessionReply::TurnBegun { chain: Vec::new() });
            }
            SessionCall::Begin(_) if !self.is_synchronized(partition) => self.wait_for_sync(caller, request),
            SessionCall::Begin(begin) => {
                let begin = begin.clone();
                self.handle_begin(caller, request, &begin, certainty);
            }
            SessionCall::Find { .. } => {}
        }
    }

    fn handle_begin(
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
                Admission::BudgetExhausted => {
                    return self.deny(caller, request, SessionReply::BudgetExhausted, certainty);
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

    fn chain_for(&self, partition: PartitionId, begin: &BeginTurn) -> Chain {
        let Some(previous) = &begin.previous else { return Chain::Found(Vec::new()) };
        let held = match self.tables.get(&partition) {
            Some(table) => table.chain(&begin.program, previous),
            None => Chain::Unknown,
        };
        if matches!(held, Chain::Found(_)) || !is_complete_chain(&begin.imported, previous) {
            return held;
        }
        Chain::Found(begin.imported.clone())
    }

    /// Records of the turns of other programs that this one continues from: everything that a program needs is
    /// kept with it, for as long as it.
    fn imported_records(&self, partition: PartitionId, begin: &BeginTurn, chain: &[Turn]) -> Vec<Record> {
        let table = self.tables.get(&partition);
        let foreign =
            chain.iter().filter(|turn| !table.is_some_and(|t| t.has_turn(&begin.program, &turn.request)));
        let expires_at_ms = self.moment.unix_time_ms.saturating_add(RESERVATION_RETENTION_MS);
        let record = |turn: &Turn| Record {
            program: begin.program.clone(),
            request: turn.request.clone(),
            tokens: 0,
            is_committed: true,
            turn: Some(turn.clone()),
            expires_at_ms,
        };
        foreign.map(record).collect()
    }

    /// Counts a turn at its most, if the budget allows it.
    fn admit_turn(&self, partition: PartitionId, begin: &BeginTurn, budget: u64) -> Admission {
        let table = self.tables.get(&partition);
        let known = table.and_then(|table| table.record(&begin.program, &begin.request));
        if known.is_some_and(|record| record.is_committed) {
            return Admission::AlreadyCommitted;
        }
        let reserved = known.map_or(0, |record| record.tokens);
        let spent = table.map_or(0, |table| table.tokens_except(&begin.program, &begin.request));
        let tokens = begin.max_tokens.max(reserved);
        // A reservation that is there already proves nothing: an old primary may have left it unacknowledged.
        if spent.saturating_add(tokens) > budget {
            return Admission::BudgetExhausted;
        }
        Admission::Admitted(Box::new(Record {
            program: begin.program.clone(),
            request: begin.request.clone(),
            tokens,
            is_committed: false,
            turn: None,
            expires_at_ms: self.moment.unix_time_ms.saturating_add(RESERVATION_RETENTION_MS),
        }))
    }

    /// What a program has spent and reserved, the turn that was just admitted included, is within its budget.
    fn check_budget(&self, partition: PartitionId, begin: &BeginTurn) {
        let (Some(budget), Some(table)) = (begin.budget, self.tables.get(&partition)) else { return };
        let counted: u64 = table.records_of(&begin.program).map(|record| record.tokens).sum();
        check(Invariant::ReservationsWithinBudget, counted <= budget, || {
            format!("program {}, request {}, {counted} of {budget}", begin.program.0, begin.request.0)
        });
    }

    /// A turn is settled at no more than was reserved, and kept with one content.
    fn check_commit(&self, partition: PartitionId, finish: &FinishTurn) {
        let table = self.tables.get(&partition);
        let Some(known) = table.and_then(|table| table.record(&finish.program, &finish.request)) else {
            return;
        };
        let name = || format!("program {}, request {}", finish.program.0, finish.request.0);
        let within = known.is_committed || finish.tokens <= known.tokens;
        check(Invariant::CommitWithinReservation, within, name);
        let same = match (&known.turn, &finish.stored_turn) {
            (Some(known), Some(kept)) => known.output == kept.output && known.input == kept.input,
            _ => true,
        };
        check(Invariant::StoredTurnIsImmutable, same, name);
    }

    fn handle_finish(&mut self, caller: CallerId, partition: PartitionId, finish: FinishTurn) {
        if finish.stored_turn.as_ref().is_some_and(|turn| turn.request != finish.request) {
            return self.send_unavailable(caller, UnavailableReason::StoredTurnMismatch);
        }
        self.check_commit(partition, &finish);
        let memory_ms = match &finish.stored_turn {
            Some(turn) => turn.retention_ms.clamp(MIN_STORED_TURN_RETENTION_MS, MAX_RETENTION_MS),
            None => BUDGET_RETENTION_MS,
        };
        let record = Record {
            program: finish.program,
            request: finish.request,
            tokens: finish.tokens,
            is_committed: true,
            turn: finish.stored_turn,
            expires_at_ms: self.moment.unix_time_ms.saturating_add(memory_ms),
        };
        self.start_write(partition, vec![record], caller, SessionReply::TurnFinished);
    }

    fn handle_find(
        &mut self, caller: CallerId, request: SessionRequest, turn: &RequestId,
        partitions: Vec<PartitionEpoch>, certainty: EpochCertainty,
    ) {
        // What is held is true, whoever leads the partition.
        let held = self.tables.values().map(|table| table.chain_in_any_program(turn));
        if let Some(Chain::Found(chain)) = held.into_iter().find(|chain| matches!(chain, Chain::Found(_))) {
            return self.send_session_reply(caller, SessionReply::TurnFound { chain });
        }
        for named in &partitions {
            if self.led_partitions.get(&named.partition).is_none_or(|lead| lead.epoch < named.epoch) {
                return self.send_not_primary(caller, named.partition);
            }
            if !self.has_required_replicas(named.partition) {
                return self.send_unavailable(caller, UnavailableReason::TooFewReplicas);
            }
            if !self.is_synchronized(named.partition) {
                return self.send_unavailable(caller, UnavailableReason::NotSynchronized);
            }
        }
        self.deny_in_partitions(caller, request, partitions, SessionReply::UnknownTurn, certainty);
    }

    fn deny(
        &mut self, caller: CallerId, request: SessionRequest, reply: SessionReply, certainty: EpochCertainty,
    ) {
        let partitions = vec![PartitionEpoch { partition: request.partition, epoch: request.epoch }];
        self.deny_in_partitions(caller, request, partitions, reply, certainty);
    }

    /// Denies, if all other replicas have confirmed the epochs; else has them asked first.
    fn deny_in_partitions(
        &mut self, caller: CallerId, request: SessionRequest, partitions: Vec<PartitionEpoch>,
        reply: SessionReply, certainty: EpochCertainty,
    ) {
        if certainty == EpochCertainty::Confirmed {
            return self.send_session_reply(caller, reply);
        }
        let mut asked: BTreeMap<DiskId, Vec<PartitionEpoch>> = BTreeMap::new();
        let mut epochs = Vec::new();
        for PartitionEpoch { partition, .. } in partitions {
            let Some(epoch) = self.led_partitions.get(&partition).map(|lead| lead.epoch) else { continue };
            epochs.push(PartitionEpoch { partition, epoch });
            for replica in self.confirming_replicas(partition) {
                asked.entry(replica).or_default().push(PartitionEpoch { partition, epoch });
            }
        }
        if asked.is_empty() {
            return self.send_session_reply(caller, reply);
        }
        if self.epoch_confirmations.len() >= MAX_WAITING_REQUESTS {
            return self.send_unavailable(caller, UnavailableReason::TooManyWaitingRequests);
        }
        let round = EpochConfirmationId(self.next_number());
        self.epoch_confirmations
            .insert(round, EpochConfirmation { caller, request, epochs, outstanding_replies: asked.len() });
        for (replica, partitions) in asked {
            self.call_store(
                replica,
                TransferRequest::Confirm { partitions },
                CallPurpose::ConfirmEpochs { confirmation: round },
            );
        }
    }

    /// A replica has confirmed the epochs of a round, or has not.
    pub(crate) fn handle_epoch_confirmation(
        &mut self, id: EpochConfirmationId, answer: Option<TransferReply>,
    ) {
        let Some(round) = self.epoch_confirmations.get_mut(&id) else { return };
        round.outstanding_replies -= 1;
        let confirmed = answer == Some(TransferReply::Written);
        if confirmed && round.outstanding_replies > 0 {
            return;
        }
        let Some(round) = self.epoch_confirmations.remove(&id) else { return };
        if confirmed && round.epochs.iter().all(|named| self.is_primary_in(*named)) {
            // Decided anew: what was missing may have come meanwhile.
            self.decide(round.caller, round.request, EpochCertainty::Confirmed);
        } else {
            self.send_unavailable(round.caller, UnavailableReason::EpochNotConfirmed);
        }
    }

    fn is_primary_in(&self, named: PartitionEpoch) -> bool {
        self.led_partitions.get(&named.partition).is_some_and(|lead| lead.epoch == named.epoch)
    }

    fn wait_for_sync(&mut self, caller: CallerId, request: SessionRequest) {
        if self.waiting.len() >= MAX_WAITING_REQUESTS {
            return self.send_unavailable(caller, UnavailableReason::TooManyWaitingRequests);
        }
        let number = self.next_number();
        self.waiting.insert(number, WaitingRequest::ForSync { caller, request });
        self.timers.insert((self.moment.now + REQUEST_TIMEOUT, Timer::RequestTimeout(number)));
    }

    /// Whether the map names enough replicas for anything to be acknowledged: as many as required, but for those
    /// that the keepers know to be lost.
    fn has_required_replicas(&self, partition: PartitionId) -> bool {
        let in_sync = self.map.assignment(partition).map_or(0, |assignment| assignment.in_sync.len());
        in_sync > 0 && in_sync + self.lost_replicas(partition) >= self.limits.required_replicas
    }

    /// How many of the required copies are on lost machines and not asked for.
    pub(crate) fn lost_replicas(&self, partition: PartitionId) -> usize {
        self.map.assignment(partition).map_or(0, |assignment| usize::from(assignment.lost_replicas))
    }

    /// Whether memory or disk is used up to the point from which on nothing new is admitted.
    fn is_capacity_exhausted(&self) -> bool {
        let held: u64 = self.tables.values().map(|table| table.bytes()).sum();
        held > self.limits.memory_bytes
            || self.segment_usage.bytes() > self.limits.disk_bytes
            || self.group_commit.is_paused()
    }

    pub(crate) fn send_session_reply(&mut self, caller: CallerId, reply: SessionReply) {
        self.commands.push(Command::SendSessionReply { caller, reply });
    }

    /// Not the primary, or not known to be.
    pub(crate) fn send_not_primary(&mut self, caller: CallerId, partition: PartitionId) {
        let epoch = self.map.assignment(partition).map_or(EpochNumber::default(), |held| held.epoch);
        self.send_session_reply(caller, SessionReply::NotPrimary { epoch });
    }
}

/// Whether a turn may run, as far as the budget goes.
enum Admission {
    Admitted(Box<Record>),
    /// It has run, or never will.
    AlreadyCommitted,
    BudgetExhausted,
}

/// Whether turns are a whole chain that ends with `last`.
fn is_complete_chain(turns: &[Turn], last: &RequestId) -> bool {
    let linked = turns.windows(2).all(|pair| pair[1].previous.as_ref() == Some(&pair[0].request));
    let whole = turns.first().is_some_and(|first| first.previous.is_none());
    linked && whole && turns.last().is_some_and(|turn| turn.request == *last)
}
