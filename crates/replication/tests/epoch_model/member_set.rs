//! Sets of members, as bits.

use std::fmt;

use super::state::MEMBER_COUNT;

/// A set of members: bit `n` stands for member `n`.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberSet(pub u8);

impl MemberSet {
    pub fn of(members: &[u8]) -> MemberSet {
        members.iter().fold(MemberSet::default(), |set, member| set.with(*member))
    }

    pub fn has(self, member: u8) -> bool {
        self.0 & (1 << member) != 0
    }

    pub fn with(self, member: u8) -> MemberSet {
        MemberSet(self.0 | (1 << member))
    }

    pub fn without(self, member: u8) -> MemberSet {
        MemberSet(self.0 & !(1 << member))
    }

    pub fn and(self, other: MemberSet) -> MemberSet {
        MemberSet(self.0 & other.0)
    }

    pub fn or(self, other: MemberSet) -> MemberSet {
        MemberSet(self.0 | other.0)
    }

    pub fn count(self) -> u32 {
        self.0.count_ones()
    }

    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub fn contains_all(self, other: MemberSet) -> bool {
        self.and(other) == other
    }

    pub fn iter(self) -> impl Iterator<Item = u8> {
        (0..MEMBER_COUNT).filter(move |member| self.has(*member))
    }

    /// All subsets of this set.
    pub fn subsets(self) -> impl Iterator<Item = MemberSet> {
        (0..=self.0).map(MemberSet).filter(move |subset| self.contains_all(*subset))
    }

    /// Whether more than half of this set is in `present`.
    pub fn is_majority(self, present: MemberSet) -> bool {
        2 * self.and(present).count() > self.count()
    }
}

impl fmt::Debug for MemberSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_set().entries(self.iter()).finish()
    }
}
