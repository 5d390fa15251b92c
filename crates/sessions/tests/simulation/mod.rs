//! Simulation of a small cluster of stores in virtual time. It includes a model of the keepers, a network that loses,
//! delays and reorders messages, disks that lose data that was not synced, and clients that check the guarantees of the
//! stores.

#![allow(dead_code)]

pub mod clients;
pub mod cluster;
pub mod faults;
pub mod keepers;
pub mod long_turns;
pub mod losses;
pub mod map_publication;
pub mod node;

/// A random number generator (xorshift); the same seed gives the same run.
pub struct TestRng(u64);

impl TestRng {
    pub fn new(seed: u64) -> Self {
        TestRng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        ((self.0 >> 11) % limit.max(1) as u64) as usize
    }

    /// `true` in `percent` of 100 cases.
    pub fn random_bool(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }
}
