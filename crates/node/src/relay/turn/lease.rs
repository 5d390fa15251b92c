//! The lease of a turn under way, by which the stores retain its program.

use std::time::Duration;

use juniperwing_protocol::session::{MAX_TURN_LEASE_MS, RenewTurn, TurnLease};
use tokio::time::Instant;

use super::OpenTurn;
use crate::clock::now;
use crate::relay::exchange::Exchange;

impl OpenTurn {
    /// The lease of the turn from now on: until its deadline, and then for the retention of its route.
    pub(super) fn lease(&self, exchange: &Exchange) -> TurnLease {
        let duration_ms = exchange.deadline.since(now()).as_millis();
        TurnLease { duration_ms, retention_ms: self.retention_ms }
    }

    /// Renews the lease until the turn has ended, if the turn may run for longer than one lease and the stores have
    /// records on which it depends.
    pub(super) fn renew_lease(&mut self, exchange: &Exchange, budget: Option<u64>) {
        let lease = self.lease(exchange);
        let has_records = budget.is_some() || self.previous.is_some();
        if !has_records || lease.duration_ms <= MAX_TURN_LEASE_MS {
            return;
        }
        let renew = RenewTurn {
            program: self.program.clone(),
            request: self.request.clone(),
            previous: self.previous.clone(),
            reserved_tokens: budget.map(|_| self.reserved_tokens(budget)),
            lease,
        };
        let deadline = Instant::now() + Duration::from_millis(lease.duration_ms);
        self.renewal = Some(self.sessions.renew_turn(renew, deadline));
    }
}
