//! Renewal of leases: a turn that runs for long keeps the records of its program.

use juniperwing_protocol::PartitionId;
use juniperwing_protocol::session::{BeginTurn, RenewTurn, SessionReply};
use juniperwing_protocol::transfer::{Record, RecordState};
use juniperwing_protocol::{ProgramId, RequestId};

use crate::event::CallerId;
use crate::statistics::UnavailableReason;
use crate::store::Store;

impl Store {
    pub(crate) fn handle_renew(&mut self, caller: CallerId, partition: PartitionId, renew: RenewTurn) {
        let expires_at_ms = self.lease_expiry_ms(renew.lease);
        let record = match (renew.reserved_tokens, renew.previous) {
            (Some(tokens), _) => Some(Record {
                program: renew.program,
                request: renew.request,
                tokens,
                state: RecordState::Reserved,
                turn: None,
                expires_at_ms,
            }),
            (None, Some(previous)) => {
                self.with_later_expiry(partition, &renew.program, &previous, expires_at_ms)
            }
            (None, None) => None,
        };
        match record {
            Some(record) => self.start_write(partition, vec![record], caller, SessionReply::TurnRenewed),
            None => self.send_unavailable(caller, UnavailableReason::BrokenChain),
        }
    }

    /// The record by which the turn before a turn without a budget, which reserves nothing, outlasts the lease; `None` if
    /// it does anyway.
    pub(crate) fn retained_previous_turn(&self, partition: PartitionId, begin: &BeginTurn) -> Option<Record> {
        let previous = begin.previous.as_ref()?;
        let lease_ends_at_ms = self.clock.unix_time_ms.saturating_add(begin.lease.duration_ms);
        let table = self.tables.get(&partition)?;
        if table.expires_at_ms(&begin.program) >= lease_ends_at_ms {
            return None;
        }
        self.with_later_expiry(partition, &begin.program, previous, self.lease_expiry_ms(begin.lease))
    }

    /// A record that extends the retention of a known one when it is merged. The contents of its turn are not sent to the
    /// replicas again.
    fn with_later_expiry(
        &self, partition: PartitionId, program: &ProgramId, request: &RequestId, expires_at_ms: u64,
    ) -> Option<Record> {
        let known = self.tables.get(&partition)?.record(program, request)?;
        Some(Record {
            program: program.clone(),
            request: request.clone(),
            tokens: known.tokens,
            state: known.state,
            turn: None,
            expires_at_ms,
        })
    }
}
