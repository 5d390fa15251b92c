//! What still counts in each batch on disk.

use std::collections::{BTreeMap, BTreeSet};

use crate::limits::{COMPACTION_BYTES, MAX_SMALL_BATCHES, SMALL_BATCH_BYTES};
use crate::program::Place;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// The size of the file.
    bytes: u64,
    /// Bytes of records that no later batch holds.
    live_bytes: u64,
    /// The number of these records.
    live: u64,
}

/// The batches on disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    batches: BTreeMap<u64, Account>,
    bytes: u64,
}

impl Ledger {
    /// A batch was written or found.
    pub(crate) fn add(&mut self, batch: u64, bytes: u64) {
        self.batches.insert(batch, Account { bytes, ..Account::default() });
        self.bytes += bytes;
    }

    /// A record's newest version lies here.
    pub(crate) fn place(&mut self, place: Place) {
        if let Some(account) = self.batches.get_mut(&place.batch) {
            account.live += 1;
            account.live_bytes += place.bytes;
        }
    }

    /// What lies here counts no more.
    pub(crate) fn release(&mut self, place: Place) {
        if let Some(account) = self.batches.get_mut(&place.batch) {
            account.live = account.live.saturating_sub(1);
            account.live_bytes = account.live_bytes.saturating_sub(place.bytes);
        }
    }

    /// Takes out the batches in which nothing counts; they are to be removed.
    pub(crate) fn take_empty(&mut self) -> Vec<u64> {
        let empty: Vec<u64> =
            self.batches.iter().filter(|(_, account)| account.live == 0).map(|(batch, _)| *batch).collect();
        for batch in &empty {
            self.bytes -= self.batches.remove(batch).map_or(0, |account| account.bytes);
        }
        empty
    }

    /// The batches whose records are worth writing again: the oldest of many small ones, or else one of which
    /// less than half counts. Empty if there are none.
    pub(crate) fn worth_compacting(&self) -> BTreeSet<u64> {
        let small: Vec<(u64, u64)> = self
            .batches
            .iter()
            .filter(|(_, account)| account.live_bytes < SMALL_BATCH_BYTES)
            .map(|(batch, account)| (*batch, account.live_bytes))
            .collect();
        if small.len() >= MAX_SMALL_BATCHES {
            return oldest(&small);
        }
        let wasteful = self.batches.iter().find(|(_, account)| {
            account.bytes >= SMALL_BATCH_BYTES && account.live_bytes.saturating_mul(2) < account.bytes
        });
        wasteful.map(|(batch, _)| *batch).into_iter().collect()
    }

    /// Bytes of all batches.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }
}

fn oldest(small: &[(u64, u64)]) -> BTreeSet<u64> {
    let mut bytes = 0;
    let within = small.iter().take_while(|(_, live)| {
        bytes += live;
        bytes <= COMPACTION_BYTES
    });
    within.map(|(batch, _)| *batch).collect()
}
