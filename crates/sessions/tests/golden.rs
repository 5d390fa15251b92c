//! The on-disk encoding of batches is compatible with earlier releases, byte for byte.

#[path = "../../protocol/tests/golden_files/mod.rs"]
mod golden_files;

use std::sync::Arc;

use golden_files::assert_golden;
use juniperwing_protocol::session::Turn;
use juniperwing_protocol::transfer::{Record, RecordState};
use juniperwing_protocol::{PartitionId, ProgramId, RequestId};
use juniperwing_sessions::{StoredRecord, decode_batch, encode_batch};

type BatchRecords = Vec<StoredRecord>;

#[test]
fn every_batch_has_its_golden_bytes() {
    let encode = |records: &BatchRecords| encode_batch(records).expect("a batch");
    let decode = |bytes: &[u8]| decode_batch(bytes).expect("a batch");
    assert_golden("golden", &batches(), encode, decode);
}

fn batches() -> Vec<(&'static str, BatchRecords)> {
    let reserved = stored(301, "request-1", 601, false, None);
    let committed = stored(302, "request-2", 602, true, None);
    let first_turn = stored(303, "request-3", 603, true, Some(first_turn()));
    let later_turn = stored(304, "request-4", 604, true, Some(later_turn()));
    let mixed = vec![reserved.clone(), committed.clone(), first_turn.clone(), later_turn.clone()];
    vec![
        ("empty", Vec::new()),
        ("reserved", vec![reserved]),
        ("settled", vec![committed]),
        ("first-turn", vec![first_turn]),
        ("later-turn", vec![later_turn]),
        ("mixed", mixed),
    ]
}

fn stored(
    partition: u16, request: &str, tokens: u64, is_committed: bool, turn: Option<Turn>,
) -> StoredRecord {
    let record = Record {
        program: ProgramId::from("program-1"),
        request: RequestId::from(request),
        tokens,
        state: if is_committed { RecordState::Committed } else { RecordState::Reserved },
        turn,
        expires_at_ms: 1_700_000_000_000 + tokens,
    };
    StoredRecord { partition: PartitionId(partition), record }
}

fn first_turn() -> Turn {
    Turn {
        request: RequestId::from("request-3"),
        previous: None,
        input: Arc::from(&b"first input"[..]),
        output: Arc::from(&b"first output\n"[..]),
        retention_ms: 60_001,
        endpoint: None,
    }
}

fn later_turn() -> Turn {
    Turn {
        request: RequestId::from("request-4"),
        previous: Some(RequestId::from("request-3")),
        input: Arc::from(&[0, 127, 128, 255][..]),
        output: Arc::from(&b"later output\n"[..]),
        retention_ms: 60_002,
        endpoint: Some("instance-7".into()),
    }
}
