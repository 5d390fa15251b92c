//! A small cluster of stores in virtual time, with a model of the keepers, a network that loses, delays and
//! reorders, disks that lose what was not synced, and clients that know what must hold.

#![allow(dead_code)]

pub mod clients;
pub mod cluster;
pub mod keepers;
pub mod losses;
pub mod node;

/// A generator of numbers (xorshift); the same seed gives the same play.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 11) % limit.max(1) as u64) as usize
    }

    /// Whether something happens that does so in `percent` of cases.
    pub fn percent(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }
}
