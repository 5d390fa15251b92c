//! How long programs are retained. All records of a program expire together, when the last of them does.

use juniperwing_protocol::session::TurnLease;

use crate::limits::{
    MAX_RETENTION_MS, MIN_BUDGET_RETENTION_MS, MIN_RESERVATION_RETENTION_MS, MIN_STORED_TURN_RETENTION_MS,
};
use crate::store::Store;

impl Store {
    /// When a record expires on which a turn under way depends, in milliseconds since the Unix epoch: the lease of the
    /// turn comes first, and then the time in which its program may return.
    pub(crate) fn lease_expiry_ms(&self, lease: TurnLease) -> u64 {
        self.expiry_ms(lease.total_ms(), MIN_RESERVATION_RETENTION_MS)
    }

    /// When a turn expires that is stored now, in milliseconds since the Unix epoch.
    pub(crate) fn stored_turn_expiry_ms(&self, retention_ms: u64) -> u64 {
        self.expiry_ms(retention_ms, MIN_STORED_TURN_RETENTION_MS)
    }

    /// When a turn expires that is denied now or committed without being stored, in milliseconds since the Unix epoch.
    pub(crate) fn budget_expiry_ms(&self, retention_ms: u64) -> u64 {
        self.expiry_ms(retention_ms, MIN_BUDGET_RETENTION_MS)
    }

    fn expiry_ms(&self, retention_ms: u64, minimum_ms: u64) -> u64 {
        let retention_ms = retention_ms.clamp(minimum_ms, MAX_RETENTION_MS);
        self.clock.unix_time_ms.saturating_add(retention_ms)
    }
}
