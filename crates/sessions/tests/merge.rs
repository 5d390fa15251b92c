//! Records merge the same way in any order, and once is enough.

use std::sync::Arc;

use juniperwing_protocol::session::Turn;
use juniperwing_protocol::transfer::Record;
use juniperwing_protocol::{ProgramId, RequestId};
use juniperwing_sessions::{Moment, Table, merge};
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

fn record() -> impl Strategy<Value = Record> {
    (0..4_u64, any::<bool>(), prop::option::of(turn()), 0..4_u64).prop_map(
        |(tokens, settled, turn, expires_at_ms)| Record {
            program: ProgramId::from("p"),
            request: RequestId::from("r"),
            tokens,
            is_committed: settled,
            turn,
            expires_at_ms,
        },
    )
}

fn merged(records: &[&Record]) -> Record {
    let mut whole = records[0].clone();
    for record in &records[1..] {
        merge(&mut whole, record);
    }
    whole
}

proptest! {
    #[test]
    fn merging_commutes_associates_and_is_idempotent(a in record(), b in record(), c in record()) {
        prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
        prop_assert_eq!(merged(&[&merged(&[&a, &b]), &c]), merged(&[&a, &merged(&[&b, &c])]));
        prop_assert_eq!(&merged(&[&a, &a]), &a);
    }

    #[test]
    fn merging_tells_whether_it_changed_anything(a in record(), b in record()) {
        let mut whole = a.clone();
        let changed = merge(&mut whole, &b);
        prop_assert_eq!(changed, whole != a);
    }

    #[test]
    fn nothing_is_taken_back(a in record(), b in record()) {
        let whole = merged(&[&a, &b]);
        prop_assert!(whole.is_committed || !a.is_committed);
        prop_assert!(whole.turn.is_some() || a.turn.is_none());
        prop_assert!(whole.expires_at_ms >= a.expires_at_ms);
    }

    #[test]
    fn tables_with_the_same_records_have_the_same_digests(records in prop::collection::vec(record(), 1..6)) {
        let mut forward = Table::default();
        let mut backward = Table::default();
        for record in &records {
            forward.merge(record, Moment::default());
        }
        for record in records.iter().rev() {
            backward.merge(record, Moment::default());
        }
        prop_assert_eq!(forward.digests(16, 0), backward.digests(16, 0));
        prop_assert_eq!(forward.bytes(), backward.bytes());
    }
}
