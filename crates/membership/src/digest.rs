//! Digests of the table: each range of the hashes of member names has a checksum.

use std::hash::Hasher;

use fnv::FnvHasher;
use serde::{Deserialize, Serialize};

use crate::member::{MemberId, Record, Role};

/// The number of ranges of hashes, each with a checksum.
pub const BUCKET_COUNT: usize = 64;

const BUCKET_SHIFT: u32 = u64::BITS - BUCKET_COUNT.trailing_zeros();

/// The checksums of a table. Only live members count, with their incarnation and run id: a death is sent only to
/// members that still regard the dead member as live, so that tables can remove dead members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Buckets(Vec<[u8; 4]>);

impl Default for Buckets {
    fn default() -> Self {
        Buckets(vec![[0; 4]; BUCKET_COUNT])
    }
}

impl Buckets {
    /// Adds `record` to the checksum of its range, or removes it if it was added before.
    pub fn toggle(&mut self, record: &Record) {
        let hash = hash_of(&record.member.id);
        let sum = checksum(hash, record);
        let bucket = &mut self.0[(hash >> BUCKET_SHIFT) as usize];
        *bucket = (u32::from_le_bytes(*bucket) ^ sum).to_le_bytes();
    }

    /// Whether there is exactly one checksum per range.
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == BUCKET_COUNT
    }

    /// The ranges whose checksums differ from those of `other`. Both must be well formed.
    pub fn differing(&self, other: &Buckets) -> Vec<HashRange> {
        let pairs = self.0.iter().zip(&other.0).enumerate();
        pairs
            .filter(|(_, (mine, theirs))| mine != theirs)
            .map(|(index, _)| HashRange::bucket(index))
            .collect()
    }
}

/// A range of hashes, both bounds included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashRange {
    /// The lowest hash.
    pub first: u64,
    /// The highest hash.
    pub last: u64,
}

impl HashRange {
    fn bucket(index: usize) -> Self {
        let first = (index as u64) << BUCKET_SHIFT;
        HashRange { first, last: first | ((1 << BUCKET_SHIFT) - 1) }
    }
}

/// The hash of a member's name and role.
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

/// Mixes the low bits into the high bits, which select the range: names often differ in their last character only.
fn mix_bits(hash: u64) -> u64 {
    let mixed = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}
