//! The possible choices of in-sync replicas.

use super::member_set::MemberSet;

/// The number of disks that must hold a write before it is acknowledged.
pub const MIN_IN_SYNC_REPLICAS: u32 = 2;

/// Every way to supplement `present` up to the required number with members of `first`, then of `second`.
pub fn fill_in_sync(present: MemberSet, first: MemberSet, second: MemberSet) -> Vec<MemberSet> {
    if present.count() >= MIN_IN_SYNC_REPLICAS {
        return vec![present];
    }
    for source in [first, second] {
        let missing = MemberSet(source.0 & !present.0);
        if !missing.is_empty() {
            let filled = missing.iter().flat_map(|member| fill_in_sync(present.with(member), first, second));
            return filled.collect();
        }
    }
    vec![present]
}
