//! The partition of a program is the same on every machine and in every release.

use juniperwing_protocol::subscription::{Assignment, StoreMap};

fn map(partitions: usize) -> StoreMap {
    let assignment = Assignment {
        epoch: Default::default(),
        primary: Default::default(),
        in_sync: Vec::new(),
        joining: Vec::new(),
        lost_replicas: 0,
    };
    StoreMap { partitions: vec![assignment; partitions], ..StoreMap::default() }
}

#[test]
fn partitions_equal_the_published_hashes_of_fnv_1a() {
    // The hashes of "", "a" and "foobar" are 0xcbf29ce484222325, 0xaf63dc4c8601ec8c, 0x85944171f73967e8.
    let expected = [("", 0x25 % 32), ("a", 0x8c % 32), ("foobar", 0xe8 % 32)];
    for (key, partition) in expected {
        assert_eq!(map(32).partition_of(key).map(|found| found.0), Some(partition), "{key}");
    }
    assert_eq!(map(0).partition_of("a"), None);
}
