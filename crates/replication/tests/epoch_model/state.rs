//! The states of the model: keepers, messages in flight, and the history that the properties refer to.

use super::member_set::MemberSet;

/// The number of identities: three keepers, and the new identity of a keeper that lost its disk.
pub const MEMBER_COUNT: u8 = 4;

/// The identity with which a keeper that lost its disk returns.
pub const NEWCOMER: u8 = 3;

/// The largest number of writes.
pub const MAX_WRITES: usize = 2;

/// The number of an epoch: its term, then its proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EpochNumber {
    pub term: u8,
    pub proposer: u8,
}

/// An epoch; its proposer is its primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch {
    pub number: EpochNumber,
    pub in_sync: MemberSet,
    pub voters: MemberSet,
    pub previous_voters: MemberSet,
}

impl Epoch {
    /// Whether `present` is a quorum that may decide on the successor of this epoch.
    pub fn is_quorum(&self, present: MemberSet) -> bool {
        let previous = self.previous_voters;
        self.voters.is_majority(present) && (previous.is_empty() || previous.is_majority(present))
    }

    /// All members that decide on the successor of this epoch.
    pub fn electorate(&self) -> MemberSet {
        self.voters.or(self.previous_voters)
    }

    /// Whether this epoch is newer than `than`.
    pub fn is_newer(&self, than: &Epoch) -> bool {
        let is_committed_now = self.previous_voters.is_empty() && !than.previous_voters.is_empty();
        self.number > than.number || (self.number == than.number && is_committed_now)
    }

    /// This epoch once it is known to be chosen.
    pub fn committed(self) -> Epoch {
        Epoch { previous_voters: MemberSet::default(), ..self }
    }
}

/// The replicated state with its version: all writes in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Log {
    /// The epoch of the newest write.
    pub epoch: EpochNumber,
    /// The writes, from 1; 0 for none.
    pub writes: [u8; MAX_WRITES],
}

impl Log {
    pub fn len(&self) -> usize {
        self.writes.iter().filter(|write| **write != 0).count()
    }

    pub fn contains(&self, write: u8) -> bool {
        self.writes.contains(&write)
    }

    /// This log with one more write, made in `epoch`.
    pub fn appended(mut self, epoch: EpochNumber, write: u8) -> Log {
        let position = self.len();
        self.writes[position] = write;
        self.epoch = epoch;
        self
    }

    /// Whether one of the two is a prefix of the other.
    pub fn is_consistent_with(&self, other: &[u8; MAX_WRITES]) -> bool {
        self.writes.iter().zip(other).all(|(mine, theirs)| *mine == 0 || *theirs == 0 || mine == theirs)
    }
}

/// A message that was sent; it can be delivered at any later time, any number of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Prepare { number: EpochNumber },
    Promise { number: EpochNumber, from: u8, accepted: Epoch, log: Log },
    Accept { epoch: Epoch },
    Accepted { number: EpochNumber, from: u8 },
    Snapshot { epoch: EpochNumber, log: Log },
    WriteAck { epoch: EpochNumber, from: u8, log: Log },
    Heartbeat { epoch: Epoch, confirms_read: bool },
    HeartbeatReply { epoch: EpochNumber, from: u8 },
}

/// The voters and in-sync replicas that a primary wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EpochPlan {
    pub voters: MemberSet,
    pub in_sync: MemberSet,
}

/// The stage of a keeper in the epoch protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Stage {
    #[default]
    Following,
    /// Has an election in progress; `base` is the predecessor of the new epoch as known at the start.
    Candidate {
        number: EpochNumber,
        base: Epoch,
        plan: Option<EpochPlan>,
        proposed: bool,
    },
    Primary,
}

/// The state of a primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Leadership {
    pub has_served: bool,
    pub is_synchronized: bool,
    /// The write in flight; 0 for none.
    pub in_flight_write: u8,
    pub committed: Log,
}

/// One keeper.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Keeper {
    pub is_up: bool,
    /// On disk: the promise, the accepted epoch and the state.
    pub promised: EpochNumber,
    pub accepted: Epoch,
    pub log: Log,
    /// In memory.
    pub stage: Stage,
    pub leadership: Option<Leadership>,
}

impl Keeper {
    /// Whether it is a candidate with that number.
    fn is_candidate_with(&self, candidate_number: EpochNumber) -> bool {
        matches!(self.stage, Stage::Candidate { number, .. } if number == candidate_number)
    }

    /// Whether it is primary of that epoch, or as its primary has an election in progress.
    fn is_primary_of(&self, number: EpochNumber) -> bool {
        self.leadership.is_some() && self.accepted.number == number
    }
}

/// A read that waits for a round of heartbeats that began after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Read {
    pub reader: u8,
    /// The writes that were acknowledged before it, as bits.
    pub required_writes: u8,
}

/// What clients have observed, for the properties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct History {
    /// The epoch in which each write was acknowledged.
    pub acknowledged: [Option<EpochNumber>; MAX_WRITES],
    /// The longest list that a primary has committed.
    pub committed: [u8; MAX_WRITES],
    /// Whether two primaries have committed different lists.
    pub has_diverged: bool,
    /// Whether a confirmed read lacked a write that was acknowledged before it.
    pub has_stale_read: bool,
    /// Whether a read was confirmed.
    pub has_confirmed_read: bool,
    /// The newest number with which each keeper has proposed an epoch.
    pub last_proposed: [EpochNumber; MEMBER_COUNT as usize],
    /// The newest epoch that is chosen.
    pub newest_chosen: Epoch,
    /// Whether two epochs were proposed with one number.
    pub has_duplicate_number: bool,
}

/// A state of the tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModelState {
    pub keepers: [Keeper; MEMBER_COUNT as usize],
    /// Sorted.
    pub messages: Vec<Message>,
    pub remaining_elections: u8,
    pub started_writes: u8,
    pub remaining_restarts: u8,
    /// Whether a keeper may still lose its disk and return with its identity.
    pub can_wipe: bool,
    pub can_read: bool,
    pub read: Option<Read>,
    pub history: History,
}

impl ModelState {
    pub fn keeper(&self, member: u8) -> &Keeper {
        &self.keepers[usize::from(member)]
    }

    pub fn keeper_mut(&mut self, member: u8) -> &mut Keeper {
        &mut self.keepers[usize::from(member)]
    }

    pub fn send(&mut self, message: Message) {
        if let Err(position) = self.messages.binary_search(&message) {
            self.messages.insert(position, message);
        }
    }

    /// Removes messages without any further effect: replies that no keeper waits for, and requests that every
    /// keeper would reject. States that differ only in such messages become equal.
    pub fn remove_obsolete_messages(&mut self) {
        let keepers = self.keepers;
        let can_be_accepted = |proposer: u8, number: EpochNumber| {
            let others = (0..MEMBER_COUNT).filter(|member| *member != proposer);
            let mut acceptors =
                others.map(|member| keepers[usize::from(member)]).filter(|keeper| keeper.is_up);
            acceptors.any(|keeper| keeper.promised <= number)
        };
        self.messages.retain(|message| match *message {
            Message::Prepare { number } => {
                keepers[usize::from(number.proposer)].is_candidate_with(number)
                    && can_be_accepted(number.proposer, number)
            }
            Message::Promise { number, .. } => {
                let proposer = keepers[usize::from(number.proposer)];
                proposer.is_candidate_with(number) || proposer.is_primary_of(number)
            }
            Message::WriteAck { epoch, .. } | Message::HeartbeatReply { epoch, .. } => {
                keepers[usize::from(epoch.proposer)].is_primary_of(epoch)
            }
            Message::Snapshot { epoch, .. } => can_be_accepted(epoch.proposer, epoch),
            Message::Heartbeat { epoch, .. } => can_be_accepted(epoch.number.proposer, epoch.number),
            Message::Accept { epoch } => can_be_accepted(epoch.number.proposer, epoch.number),
            Message::Accepted { number, .. } => {
                keepers[usize::from(number.proposer)].is_candidate_with(number)
            }
        });
    }

    pub fn was_sent(&self, message: &Message) -> bool {
        self.messages.binary_search(message).is_ok()
    }
}
