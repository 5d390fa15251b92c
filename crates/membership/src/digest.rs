//! Digests of the table: members are placed by a hash of their name, and each range of hashes has a checksum.

use std::hash::Hasher;

use fnv::FnvHasher;
use serde::{Deserialize, Serialize};

use crate::member::{MemberId, Record, Role};

/// The number of ranges that have a checksum of their own.
pub const BUCKET_COUNT: usize = 64;

const BUCKET_SHIFT: u32 = u64::BITS - BUCKET_COUNT.trailing_zeros();

/// The checksums of a table. Only live members count, with their incarnation and life: what is dead is passed
/// on to those who still hold it as live, and to nobody else, so that it can be forgotten.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Buckets(Vec<[u8; 4]>);

impl Default for Buckets {
    fn default() -> Self {
        Buckets(vec![[0; 4]; BUCKET_COUNT])
    }
}

impl Buckets {
    /// Adds `record` to its range, or takes it out again.
    pub fn toggle(&mut self, record: &Record) {
        let hash = hash_of(&record.member.id);
        let sum = checksum(hash, record);
        let bucket = &mut self.0[(hash >> BUCKET_SHIFT) as usize];
        *bucket = (u32::from_le_bytes(*bucket) ^ sum).to_le_bytes();
    }

    /// Whether there are as many checksums as there are ranges.
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == BUCKET_COUNT
    }

    /// The ranges in which `other` differs. Both are well formed.
    pub fn differing(&self, other: &Buckets) -> Vec<HashRange> {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        pairs
            .filter(|(_, (mine, theirs))| mine != theirs)
            .map(|(index, _)| HashRange::bucket(index))
            .collect()
    }
}

/// A range of hashes, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashRange {
    /// The lowest.
    pub first: u64,
    /// The highest.
    pub last: u64,
}

impl HashRange {
    fn bucket(index: usize) -> Self {
        let first = (index as u64) << BUCKET_SHIFT;
        HashRange { first, last: first | ((1 << BUCKET_SHIFT) - 1) }
    }
}

/// Where a member is placed.
pub fn hash_of(id: &MemberId) -> u64 {
    let role = match id.role {
        Role::Relay => 0,
        Role::Keeper => 1,
        Role::Store => 2,
    };
    let mut hasher = FnvHasher::default();
    hasher.write(id.node.0.as_bytes());
    hasher.write_u8(role);
    mix_bits(hasher.finish())
}

fn checksum(hash: u64, record: &Record) -> u32 {
    let numbers = [hash, record.incarnation.0, record.member.run_id.0];
    let mut hasher = FnvHasher::default();
    numbers.into_iter().for_each(|number| hasher.write(&number.to_le_bytes()));
    mix_bits(hasher.finish()) as u32
}

/// Spreads the last bytes over all bits; names often differ only in their last character.
fn mix_bits(hash: u64) -> u64 {
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}
