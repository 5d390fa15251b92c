//! Which replicas do not reply: requests that need one of them are rejected at once.
//!
//! A partition that has lost too many replicas keeps them in sync and rests until they are back. Writes that wait for
//! them would pile up meanwhile, and so would the calls that retry these writes.

use std::collections::BTreeMap;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::{DiskId, PartitionId};

use crate::limits::{FAILURE_EXPIRY, UNREACHABLE_RETRY_DELAY, UNREACHABLE_TIMEOUT};
use crate::store::Store;

/// The failed calls to a replica since its last reply.
#[derive(Clone, Copy, Debug)]
struct Failures {
    first_at: Time,
    last_at: Time,
}

/// The replicas whose latest call failed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaContact {
    failing: BTreeMap<DiskId, Failures>,
}

impl ReplicaContact {
    /// Records the end of a call to a replica.
    pub(crate) fn record_call(&mut self, now: Time, replica: DiskId, has_reply: bool) {
        self.failing.retain(|_, failures| !is_expired(failures, now));
        if has_reply {
            self.failing.remove(&replica);
        } else {
            let failures = self.failing.entry(replica).or_insert(Failures { first_at: now, last_at: now });
            failures.last_at = now;
        }
    }

    /// Whether calls to a replica have failed throughout the timeout. Old failures do not count: without calls, nothing
    /// would show that the replica is back.
    pub(crate) fn is_unreachable(&self, now: Time, replica: DiskId) -> bool {
        let failures = self.failing.get(&replica).filter(|failures| !is_expired(failures, now));
        failures.is_some_and(|failures| failures.last_at.since(failures.first_at) >= UNREACHABLE_TIMEOUT)
    }

    /// The delay before a call to a replica is retried: `usual_delay`, or a longer one while it is unreachable.
    pub(crate) fn retry_delay(&self, now: Time, replica: DiskId, usual_delay: Span) -> Span {
        if self.is_unreachable(now, replica) { UNREACHABLE_RETRY_DELAY } else { usual_delay }
    }
}

fn is_expired(failures: &Failures, now: Time) -> bool {
    now.since(failures.last_at) > FAILURE_EXPIRY
}

impl Store {
    /// Whether a write to a partition would wait for a replica that does not reply.
    pub(crate) fn has_unreachable_replica(&self, partition: PartitionId) -> bool {
        let now = self.clock.now;
        self.confirming_replicas(partition)
            .iter()
            .any(|replica| self.replica_contact.is_unreachable(now, *replica))
    }
}
