//! The output of the generator must not change, so that a recorded seed keeps reproducing its run.

use juniperwing_random::Rng;

#[test]
fn the_stream_is_that_of_splitmix64() {
    let mut rng = Rng::new(0);
    let drawn = [rng.next_u64(), rng.next_u64(), rng.next_u64()];
    assert_eq!(drawn, [0xe220_a839_7b1d_cdaf, 0x6e78_9e6a_a1b9_65f4, 0x06c4_5d18_8009_454f]);
}

#[test]
fn streams_of_two_purposes_differ_and_each_is_the_same_again() {
    let first = |purpose| Rng::for_purpose(7, purpose).next_u64();
    assert_eq!(first(1), first(1));
    assert_ne!(first(1), first(2));
    let first = |purpose| Rng::for_named_purpose(7, purpose).next_u64();
    assert_eq!(first("faults"), first("faults"));
    assert_ne!(first("faults"), first("load"));
}

#[test]
fn draws_stay_within_their_bounds() {
    let mut rng = Rng::new(3);
    for _ in 0..1_000 {
        assert!(rng.below(7) < 7);
        assert!((5..9).contains(&rng.between(5, 9)));
        assert!(rng.index(7) < 7);
        assert!((0.0..1.0).contains(&rng.next_f64()));
    }
    assert_eq!((rng.below(0), rng.between(9, 5), rng.index(0)), (0, 9, 0));
    assert_eq!(rng.choose::<u8>(&[]), None);
}

#[test]
fn a_shuffle_keeps_every_item() {
    let mut items: Vec<u32> = (0..50).collect();
    Rng::new(5).shuffle(&mut items);
    assert_ne!(items, (0..50).collect::<Vec<_>>());
    items.sort_unstable();
    assert_eq!(items, (0..50).collect::<Vec<_>>());
}
