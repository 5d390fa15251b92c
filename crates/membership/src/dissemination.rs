//! The updates that are to be passed on, and how often each has been.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::member::MemberId;

/// How many times `log2(n + 1)` each update is sent.
const SPREAD_FACTOR: u32 = 3;

/// How often an update is sent among `members` members.
pub fn transmissions(members: usize) -> u32 {
    let log2_rounded_up = usize::BITS - members.leading_zeros();
    SPREAD_FACTOR * log2_rounded_up.max(1)
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    sent: u32,
    newest_first: Reverse<u64>,
}

/// Members of whom there is news, the least sent first. What the news is stands in the table, so there is at
/// most one update for each member, and it is never out of date.
#[derive(Clone, Debug, Default)]
pub struct Dissemination {
    ranks: BTreeMap<MemberId, Rank>,
    order: BTreeSet<(Rank, MemberId)>,
    serial: u64,
}

impl Dissemination {
    /// There is news of `id`; it is sent as often as any new update.
    pub fn announce(&mut self, id: &MemberId) {
        self.forget(id);
        self.serial += 1;
        self.insert(id.clone(), Rank { sent: 0, newest_first: Reverse(self.serial) });
    }

    /// The news of `id` is not passed on any more.
    pub fn forget(&mut self, id: &MemberId) {
        if let Some(rank) = self.ranks.remove(id) {
            self.order.remove(&(rank, id.clone()));
        }
    }

    /// The news of `id` was sent once more; after `limit` times it is dropped.
    pub fn sent(&mut self, id: &MemberId, limit: u32) {
        let Some(mut rank) = self.ranks.get(id).cloned() else { return };
        self.forget(id);
        rank.sent += 1;
        if rank.sent < limit {
            self.insert(id.clone(), rank);
        }
    }

    /// The members of whom there is news, in the order in which it is to be sent.
    pub fn iter(&self) -> impl Iterator<Item = &MemberId> {
        self.order.iter().map(|(_, id)| id)
    }

    /// Whether there is no news.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn insert(&mut self, id: MemberId, rank: Rank) {
        self.order.insert((rank.clone(), id.clone()));
        self.ranks.insert(id, rank);
    }
}
