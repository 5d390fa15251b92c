//! The state that the exploration tells apart.

use std::fmt;

/// How many identities there are: three keepers, and the one that the wiped keeper comes back with.
pub const IDENTITIES: u8 = 4;

/// The identity of a keeper that lost its disk, after its return.
pub const NEWCOMER: u8 = 3;

/// The most writes.
pub const MAX_WRITES: usize = 2;

/// A set of keepers, as bits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Members(pub u8);

impl Members {
    pub fn of(members: &[u8]) -> Members {
        members.iter().fold(Members::default(), |set, member| set.with(*member))
    }

    pub fn has(self, member: u8) -> bool {
        self.0 & (1 << member) != 0
    }

    pub fn with(self, member: u8) -> Members {
        Members(self.0 | (1 << member))
    }

    pub fn without(self, member: u8) -> Members {
        Members(self.0 & !(1 << member))
    }

    pub fn and(self, other: Members) -> Members {
        Members(self.0 & other.0)
    }

    pub fn or(self, other: Members) -> Members {
        Members(self.0 | other.0)
    }

    pub fn count(self) -> u32 {
        self.0.count_ones()
    }

    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub fn contains_all(self, other: Members) -> bool {
        self.and(other) == other
    }

    pub fn iter(self) -> impl Iterator<Item = u8> {
        (0..IDENTITIES).filter(move |member| self.has(*member))
    }

    /// All subsets of this set.
    pub fn subsets(self) -> impl Iterator<Item = Members> {
        (0..=self.0).map(Members).filter(move |subset| self.contains_all(*subset))
    }

    /// Whether more than half of this set is in `present`.
    pub fn is_majority(self, present: Members) -> bool {
        2 * self.and(present).count() > self.count()
    }
}

impl fmt::Debug for Members {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_set().entries(self.iter()).finish()
    }
}

/// The number of an epoch: a round, then who proposes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number {
    pub round: u8,
    pub proposer: u8,
}

/// An epoch; its proposer is its primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch {
    pub number: Number,
    pub in_sync: Members,
    pub voters: Members,
    pub previous_voters: Members,
}

impl Epoch {
    /// Whether `present` may decide on what follows this epoch.
    pub fn is_quorum(&self, present: Members) -> bool {
        let before = self.previous_voters;
        self.voters.is_majority(present) && (before.is_empty() || before.is_majority(present))
    }

    /// All that decide on what follows this epoch.
    pub fn deciders(&self) -> Members {
        self.voters.or(self.previous_voters)
    }

    /// Whether this epoch says more than `than`.
    pub fn is_news(&self, than: &Epoch) -> bool {
        let settles = self.previous_voters.is_empty() && !than.previous_voters.is_empty();
        self.number > than.number || (self.number == than.number && settles)
    }

    /// This epoch, known to be chosen.
    pub fn settled(self) -> Epoch {
        Epoch { previous_voters: Members::default(), ..self }
    }
}

/// The replicated state with its version: all writes in their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Log {
    /// The epoch of the newest write.
    pub epoch: Number,
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
    pub fn with(mut self, epoch: Number, write: u8) -> Log {
        let place = self.len();
        self.writes[place] = write;
        self.epoch = epoch;
        self
    }

    /// Whether one of the two is a beginning of the other.
    pub fn agrees_with(&self, other: &[u8; MAX_WRITES]) -> bool {
        self.writes.iter().zip(other).all(|(mine, theirs)| *mine == 0 || *theirs == 0 || mine == theirs)
    }
}

/// A message that was sent; it stays deliverable for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Prepare { number: Number },
    Promise { number: Number, from: u8, accepted: Epoch, held: Log },
    Accept { epoch: Epoch },
    Accepted { number: Number, from: u8 },
    Snapshot { epoch: Number, log: Log },
    Confirm { epoch: Number, from: u8, held: Log },
    Heartbeat { epoch: Epoch, answers_read: bool },
    HeartbeatAnswer { epoch: Number, from: u8 },
}

/// The voters and in-sync replicas that a sitting primary wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Plan {
    pub voters: Members,
    pub in_sync: Members,
}

/// What a keeper is busy with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Stage {
    #[default]
    Following,
    /// Seeks an epoch; `base` is the one that it was to follow at first.
    Candidate {
        number: Number,
        base: Epoch,
        plan: Option<Plan>,
        proposed: bool,
    },
    Primary,
}

/// What a primary keeps while it is in office.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Office {
    pub serves: bool,
    pub synced: bool,
    /// The write under way; 0 for none.
    pub in_flight: u8,
    pub committed: Log,
}

/// One keeper.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Keeper {
    pub is_up: bool,
    /// On disk: the promise, the accepted epoch and the state.
    pub promised: Number,
    pub accepted: Epoch,
    pub log: Log,
    /// In memory.
    pub stage: Stage,
    pub office: Option<Office>,
}

impl Keeper {
    /// Whether it is a candidate under that number.
    fn seeks(&self, sought: Number) -> bool {
        matches!(self.stage, Stage::Candidate { number, .. } if number == sought)
    }

    /// Whether it is, or as a candidate still was, primary of that epoch.
    fn holds_office(&self, number: Number) -> bool {
        self.office.is_some() && self.accepted.number == number
    }
}

/// A read that waits for a round of heartbeats that began after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Read {
    pub reader: u8,
    /// The writes that were acknowledged before it, as bits.
    pub floor: u8,
}

/// What callers were told, for the properties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct History {
    /// The epoch in which each write was acknowledged.
    pub acknowledged: [Option<Number>; MAX_WRITES],
    /// The longest list that a primary called committed.
    pub committed: [u8; MAX_WRITES],
    /// Two primaries called different lists committed.
    pub diverged: bool,
    /// A confirmed read lacked a write that was acknowledged before it.
    pub read_too_old: bool,
    /// A read was confirmed.
    pub read_confirmed: bool,
    /// The newest number that each keeper proposed an epoch under.
    pub proposed: [Number; IDENTITIES as usize],
    /// The newest epoch that was accepted by those that must.
    pub chosen: Epoch,
    /// Two epochs were proposed under one number.
    pub number_used_twice: bool,
}

/// A state of the whole tier.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Tier {
    pub keepers: [Keeper; IDENTITIES as usize],
    /// Sorted.
    pub messages: Vec<Message>,
    pub elections_left: u8,
    pub writes_begun: u8,
    pub restarts_left: u8,
    /// Whether a keeper may yet lose its disk and come back as it was before.
    pub may_wipe: bool,
    pub may_read: bool,
    pub read: Option<Read>,
    pub history: History,
}

impl Tier {
    pub fn keeper(&self, member: u8) -> &Keeper {
        &self.keepers[usize::from(member)]
    }

    pub fn keeper_mut(&mut self, member: u8) -> &mut Keeper {
        &mut self.keepers[usize::from(member)]
    }

    pub fn send(&mut self, message: Message) {
        if let Err(place) = self.messages.binary_search(&message) {
            self.messages.insert(place, message);
        }
    }

    /// Forgets messages that can change nothing any more: answers that nobody waits for, and requests that
    /// every keeper would refuse. States that differ by such messages alone are one.
    pub fn forget_spent_messages(&mut self) {
        let keepers = self.keepers;
        let may_obey = |proposer: u8, number: Number| {
            let others = (0..IDENTITIES).filter(|member| *member != proposer);
            let mut promises =
                others.map(|member| keepers[usize::from(member)]).filter(|keeper| keeper.is_up);
            promises.any(|keeper| keeper.promised <= number)
        };
        self.messages.retain(|message| match *message {
            Message::Prepare { number } => {
                keepers[usize::from(number.proposer)].seeks(number) && may_obey(number.proposer, number)
            }
            Message::Promise { number, .. } => {
                let proposer = keepers[usize::from(number.proposer)];
                proposer.seeks(number) || proposer.holds_office(number)
            }
            Message::Confirm { epoch, .. } | Message::HeartbeatAnswer { epoch, .. } => {
                keepers[usize::from(epoch.proposer)].holds_office(epoch)
            }
            Message::Snapshot { epoch, .. } => may_obey(epoch.proposer, epoch),
            Message::Heartbeat { epoch, .. } => may_obey(epoch.number.proposer, epoch.number),
            Message::Accept { epoch } => may_obey(epoch.number.proposer, epoch.number),
            Message::Accepted { number, .. } => keepers[usize::from(number.proposer)].seeks(number),
        });
    }

    pub fn was_sent(&self, message: &Message) -> bool {
        self.messages.binary_search(message).is_ok()
    }
}
