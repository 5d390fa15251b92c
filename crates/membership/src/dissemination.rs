//! The updates that are to be passed on, and how often each has been.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::member::MemberId;

/// How many times `log2(n + 1)` each update is sent.
const RETRANSMIT_MULTIPLIER: u32 = 3;

/// How often an update is sent among `members` members.
pub fn max_transmissions(members: usize) -> u32 {
    let log2_rounded_up = usize::BITS - members.leading_zeros();
    RETRANSMIT_MULTIPLIER * log2_rounded_up.max(1)
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    transmissions: u32,
    newest_first: Reverse<u64>,
}

/// Members of whom there is news, the least sent first. What the news is stands in the table, so there is at
/// most one update for each member, and it is never out of date.
#[derive(Clone, Debug, Default)]
pub struct Dissemination {
    priorities: BTreeMap<MemberId, Priority>,
    queue: BTreeSet<(Priority, MemberId)>,
    last_update_number: u64,
}

impl Dissemination {
    /// There is news of `id`; it is sent as often as any new update.
    pub fn enqueue(&mut self, id: &MemberId) {
        self.remove(id);
        self.last_update_number += 1;
        self.insert(
            id.clone(),
            Priority { transmissions: 0, newest_first: Reverse(self.last_update_number) },
        );
    }

    /// The news of `id` is not passed on any more.
    pub fn remove(&mut self, id: &MemberId) {
        if let Some(rank) = self.priorities.remove(id) {
            self.queue.remove(&(rank, id.clone()));
        }
    }

    /// The news of `id` was sent once more; after `limit` times it is dropped.
    pub fn record_transmission(&mut self, id: &MemberId, limit: u32) {
        let Some(mut rank) = self.priorities.get(id).cloned() else { return };
        self.remove(id);
        rank.transmissions += 1;
        if rank.transmissions < limit {
            self.insert(id.clone(), rank);
        }
    }

    /// The members of whom there is news, in the order in which it is to be sent.
    pub fn iter(&self) -> impl Iterator<Item = &MemberId> {
        self.queue.iter().map(|(_, id)| id)
    }

    /// Whether there is no news.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn insert(&mut self, id: MemberId, rank: Priority) {
        self.queue.insert((rank.clone(), id.clone()));
        self.priorities.insert(id, rank);
    }
}
