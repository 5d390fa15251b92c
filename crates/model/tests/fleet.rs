//! Allocation by weight.

use juniperwing_model::fleet::allocate_by_weight;

#[test]
fn items_are_allocated_by_weight_and_each_weight_has_one() {
    let allocated = allocate_by_weight(12, [1.0, 2.0, 0.001].into_iter());
    let count = |which| allocated.iter().filter(|index| **index == which).count();
    assert_eq!((count(0), count(1), count(2)), (4, 7, 1));
    assert!(allocate_by_weight(5, std::iter::empty()).is_empty());
}
