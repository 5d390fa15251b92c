//! What a store can tell of itself in figures, and why it could not decide questions.

use std::collections::BTreeMap;

use juniperwing_protocol::session::SessionReply;

use crate::event::CallerId;
use crate::store::Store;

/// Why a question of a relay could not be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Undecided {
    /// Fewer replicas are in sync than are required.
    TooFewCopies,
    /// Too many writes are under way.
    TooManyWrites,
    /// Too many questions wait.
    TooManyWaiting,
    /// Memory or disk is used up, or the disk refuses.
    Full,
    /// A turn before the one that is continued is not held.
    BrokenChain,
    /// The turn has run, or never will.
    AlreadySettled,
    /// A replica is not level.
    NotLevel,
    /// The replicas have not confirmed the write in time.
    Overdue,
    /// A replica has not confirmed the epoch.
    NotConfirmed,
    /// What is to be kept is another turn than the one that ends.
    WrongTurn,
}

impl Undecided {
    const ALL: [Undecided; 10] = [
        Undecided::TooFewCopies,
        Undecided::TooManyWrites,
        Undecided::TooManyWaiting,
        Undecided::Full,
        Undecided::BrokenChain,
        Undecided::AlreadySettled,
        Undecided::NotLevel,
        Undecided::Overdue,
        Undecided::NotConfirmed,
        Undecided::WrongTurn,
    ];

    fn name(self) -> &'static str {
        match self {
            Undecided::TooFewCopies => "too few copies",
            Undecided::TooManyWrites => "too many writes",
            Undecided::TooManyWaiting => "too many waiting",
            Undecided::Full => "full",
            Undecided::BrokenChain => "broken chain",
            Undecided::AlreadySettled => "already settled",
            Undecided::NotLevel => "not level",
            Undecided::Overdue => "overdue",
            Undecided::NotConfirmed => "not confirmed",
            Undecided::WrongTurn => "wrong turn",
        }
    }
}

/// How often each reason came up.
#[derive(Clone, Debug, Default)]
pub(crate) struct UndecidedCounts(BTreeMap<Undecided, u64>);

/// Figures of a store at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreStatistics {
    /// Partitions that it leads.
    pub partitions_led: u64,
    /// Those of them of which some replica is not level.
    pub partitions_out_of_sync: u64,
    /// Records held.
    pub records: u64,
    /// Their bytes, roughly.
    pub record_bytes: u64,
    /// Bytes of all batches on disk.
    pub disk_bytes: u64,
    /// Turns that are reserved and not settled, of partitions led.
    pub reservations: u64,
    /// Writes that some replica has not confirmed.
    pub pending_writes: u64,
    /// Questions of relays that could not be decided, by reason.
    pub unavailable_replies: Vec<(&'static str, u64)>,
}

impl Store {
    /// Figures now.
    pub fn statistics(&self) -> StoreStatistics {
        let led = || self.leads.keys().filter_map(|partition| self.tables.get(partition));
        let unavailable = Undecided::ALL
            .map(|reason| (reason.name(), self.undecided.0.get(&reason).copied().unwrap_or_default()));
        StoreStatistics {
            partitions_led: self.leads.len() as u64,
            partitions_out_of_sync: self.leads.keys().filter(|held| !self.is_levelled(**held)).count() as u64,
            records: self.tables.values().map(|table| table.records().count() as u64).sum(),
            record_bytes: self.tables.values().map(|table| table.bytes()).sum(),
            disk_bytes: self.ledger.bytes(),
            reservations: led().flat_map(|table| table.records()).filter(|held| !held.is_committed).count()
                as u64,
            pending_writes: self.writes.len() as u64,
            unavailable_replies: unavailable.to_vec(),
        }
    }

    /// A question cannot be decided now.
    pub(crate) fn answer_undecided(&mut self, caller: CallerId, reason: Undecided) {
        *self.undecided.0.entry(reason).or_default() += 1;
        self.answer(caller, SessionReply::Unavailable);
    }
}
