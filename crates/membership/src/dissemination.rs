//! Dissemination: the queue of updates to piggyback, with the number of transmissions of each.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::member::MemberId;

/// Each update is sent this many times `log2(n + 1)`, among `n` members.
const RETRANSMIT_MULTIPLIER: u32 = 3;

/// The number of transmissions of an update among `members` members.
pub fn max_transmissions(members: usize) -> u32 {
    let log2_rounded_up = usize::BITS - members.leading_zeros();
    RETRANSMIT_MULTIPLIER * log2_rounded_up.max(1)
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    transmissions: u32,
    newest_first: Reverse<u64>,
}

/// Members with an update, the least transmitted first, then the newest. The update itself is the member's record in
/// the table, so there is at most one per member, and it is never out of date.
#[derive(Clone, Debug, Default)]
pub struct Dissemination {
    priorities: BTreeMap<MemberId, Priority>,
    queue: BTreeSet<(Priority, MemberId)>,
    last_update_number: u64,
}

impl Dissemination {
    /// Queues an update of `id`, with its count of transmissions at zero.
    pub fn enqueue(&mut self, id: &MemberId) {
        self.remove(id);
        self.last_update_number += 1;
        self.insert(
            id.clone(),
            Priority { transmissions: 0, newest_first: Reverse(self.last_update_number) },
        );
    }

    /// Removes the update of `id`.
    pub fn remove(&mut self, id: &MemberId) {
        if let Some(priority) = self.priorities.remove(id) {
            self.queue.remove(&(priority, id.clone()));
        }
    }

    /// Counts a transmission of the update of `id`; after `limit` transmissions it is removed.
    pub fn record_transmission(&mut self, id: &MemberId, limit: u32) {
        let Some(mut priority) = self.priorities.get(id).cloned() else { return };
        self.remove(id);
        priority.transmissions += 1;
        if priority.transmissions < limit {
            self.insert(id.clone(), priority);
        }
    }

    /// The members with an update, in the order of transmission.
    pub fn iter(&self) -> impl Iterator<Item = &MemberId> {
        self.queue.iter().map(|(_, id)| id)
    }

    /// Whether there are no updates.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn insert(&mut self, id: MemberId, priority: Priority) {
        self.queue.insert((priority.clone(), id.clone()));
        self.priorities.insert(id, priority);
    }
}
