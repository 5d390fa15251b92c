//! Persistence of a store: recovery of written records, expiry, and compaction of segments.

mod harness;

use harness::{LIMITS, OWN, PARTITION, TestStore, finish_stored, last_call_of};
use juniperwing_clock::Span;
use juniperwing_protocol::session::SessionReply;
use juniperwing_protocol::transfer::TransferReply;
use juniperwing_protocol::{ProgramId, RequestId};
use juniperwing_sessions::{ClockReading, Command, Event, Store};

#[test]
fn written_records_are_recovered_and_removed_when_expired() {
    let mut store = TestStore::leading();
    let commands = store.send_request(1, finish_stored("a", None));
    let records = commands
        .iter()
        .find_map(|command| match command {
            Command::WriteBatch { records } => Some(records.clone()),
            _ => None,
        })
        .unwrap();
    let mut recovered = Store::new(OWN, LIMITS);
    recovered.recover_batch(store.clock(), 4, 100, records.clone());
    assert_eq!(recovered.finish_recovery(store.clock()), []);
    assert!(recovered.table(PARTITION).unwrap().has_turn(&ProgramId::from("p"), &RequestId::from("a")));
    store.now = store.now + Span::from_millis(200_000);
    let mut late = Store::new(OWN, LIMITS);
    late.recover_batch(store.clock(), 4, 100, records);
    assert_eq!(late.finish_recovery(store.clock()), [Command::RemoveSegment { segment: 4 }]);
    assert!(late.table(PARTITION).unwrap().is_empty());
}

#[test]
fn a_wall_clock_that_jumps_forward_removes_nothing() {
    let mut store = TestStore::leading();
    assert_eq!(store.call(1, finish_stored("a", None)), SessionReply::TurnFinished);
    store.now = store.now + Span::from_millis(20_000);
    let jumped = ClockReading { unix_time_ms: 10_000_000_000, ..store.clock() };
    store.state_machine.handle(jumped, Event::Tick);
    assert!(
        store.state_machine.table(PARTITION).unwrap().has_turn(&ProgramId::from("p"), &RequestId::from("a"))
    );
}

#[test]
fn small_segments_are_compacted_and_removed_only_after_that() {
    let mut store = TestStore::leading();
    let mut removed = 0;
    let mut rewritten = 0;
    for number in 0..400_u64 {
        let mut commands = store.send_request(number, finish_stored(&format!("t{number}"), None));
        let (call, _) = last_call_of(&commands);
        store.complete_call(call, TransferReply::Written);
        while commands.iter().any(|command| matches!(command, Command::WriteBatch { .. })) {
            rewritten += commands
                .iter()
                .filter(|c| matches!(c, Command::WriteBatch { records } if records.len() > 100))
                .count();
            commands = store.complete_batch();
            let removals = commands.iter().filter(|c| matches!(c, Command::RemoveSegment { .. })).count();
            assert!(removals == 0 || rewritten > 0);
            removed += removals;
        }
    }
    assert!(rewritten > 0 && removed > 100, "{rewritten} {removed}");
}
