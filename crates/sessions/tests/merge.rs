//! Properties of the merge of records: commutative, associative, idempotent and monotonic.

use std::sync::Arc;

use juniperwing_protocol::session::Turn;
use juniperwing_protocol::transfer::{Record, RecordState};
use juniperwing_protocol::{ProgramId, RequestId};
use juniperwing_sessions::{ClockReading, Table, merge};
use proptest::prelude::*;

fn turn() -> impl Strategy<Value = Turn> {
    (0..3_u8, prop::option::of("[ab]")).prop_map(|(output, previous)| Turn {
        request: RequestId::from("r"),
        previous: previous.map(|name| RequestId::from(name.as_str())),
        input: Arc::from([1_u8]),
        output: Arc::from(vec![output; usize::from(output)]),
        retention_ms: 60_000,
        endpoint: None,
    })
}

fn state() -> impl Strategy<Value = RecordState> {
    prop_oneof![Just(RecordState::Reserved), Just(RecordState::Denied), Just(RecordState::Committed)]
}

fn record() -> impl Strategy<Value = Record> {
    (0..4_u64, state(), prop::option::of(turn()), 0..4_u64).prop_map(
        |(tokens, state, turn, expires_at_ms)| Record {
            program: ProgramId::from("p"),
            request: RequestId::from("r"),
            tokens,
            state,
            turn,
            expires_at_ms,
        },
    )
}

fn merge_all(records: &[&Record]) -> Record {
    let mut merged = records[0].clone();
    for record in &records[1..] {
        merge(&mut merged, record);
    }
    merged
}

proptest! {
    #[test]
    fn merging_commutes_associates_and_is_idempotent(a in record(), b in record(), c in record()) {
        prop_assert_eq!(merge_all(&[&a, &b]), merge_all(&[&b, &a]));
        prop_assert_eq!(merge_all(&[&merge_all(&[&a, &b]), &c]), merge_all(&[&a, &merge_all(&[&b, &c])]));
        prop_assert_eq!(&merge_all(&[&a, &a]), &a);
    }

    #[test]
    fn merging_returns_whether_it_changed_anything(a in record(), b in record()) {
        let mut merged = a.clone();
        let has_changed = merge(&mut merged, &b);
        prop_assert_eq!(has_changed, merged != a);
    }

    #[test]
    fn merging_never_removes_anything(a in record(), b in record()) {
        let merged = merge_all(&[&a, &b]);
        let was_committed = a.state == RecordState::Committed;
        prop_assert!(merged.state == RecordState::Committed || !was_committed);
        let was_denied = a.state == RecordState::Denied;
        prop_assert!(merged.state != RecordState::Reserved || !was_denied);
        let is_open = merged.state != RecordState::Committed;
        prop_assert!(!is_open || merged.tokens >= a.tokens, "an uncommitted record keeps its tokens");
        prop_assert!(merged.turn.is_some() || a.turn.is_none());
        prop_assert!(merged.expires_at_ms >= a.expires_at_ms);
    }

    #[test]
    fn tables_with_the_same_records_have_the_same_digests(records in prop::collection::vec(record(), 1..6)) {
        let mut forward = Table::default();
        let mut backward = Table::default();
        for record in &records {
            forward.merge(record, ClockReading::default());
        }
        for record in records.iter().rev() {
            backward.merge(record, ClockReading::default());
        }
        prop_assert_eq!(forward.digests(16, 0), backward.digests(16, 0));
        prop_assert_eq!(forward.bytes(), backward.bytes());
    }
}
