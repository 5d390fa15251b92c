//! A replica confirms only records that are on its disk, and only to the primary of the current epoch.

mod harness;

use harness::{OTHER, PARTITION, TestStore, map, record, transfer_reply_of, write};
use juniperwing_clock::Span;
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::transfer::{TransferReply, TransferRequest};
use juniperwing_sessions::{CallerId, Command, Event};

#[test]
fn a_replica_replies_when_the_record_is_durable_and_collects_the_next_batch_meanwhile() {
    let (mut store, _) = TestStore::new();
    store.handle(Event::StoreMap(map(2, 2, OTHER)));
    let first = store.handle(Event::TransferRequest { caller: CallerId(1), request: write(2) });
    assert!(matches!(first[..], [Command::WriteBatch { .. }]));
    let mut second = write(2);
    if let TransferRequest::Write { records, .. } = &mut second {
        records[0].tokens = 9;
    }
    assert_eq!(store.handle(Event::TransferRequest { caller: CallerId(2), request: second.clone() }), []);
    assert_eq!(store.handle(Event::TransferRequest { caller: CallerId(3), request: second }), []);
    let commands = store.complete_batch();
    let written =
        |caller| Command::SendTransferReply { caller: CallerId(caller), reply: TransferReply::Written };
    assert!(commands.contains(&written(1)) && !commands.contains(&written(2)));
    let commands = store.complete_batch();
    assert!(commands.contains(&written(2)) && commands.contains(&written(3)));
}

#[test]
fn a_replica_fences_an_old_primary_and_waits_for_the_map_of_a_new_one() {
    let (mut store, _) = TestStore::new();
    store.handle(Event::StoreMap(map(2, 2, OTHER)));
    let commands = store.handle(Event::TransferRequest { caller: CallerId(1), request: write(1) });
    assert_eq!(transfer_reply_of(&commands), Some(TransferReply::Fenced { epoch: EpochNumber(2) }));
    assert_eq!(store.handle(Event::TransferRequest { caller: CallerId(2), request: write(3) }), []);
    let commands = store.handle(Event::StoreMap(map(3, 3, OTHER)));
    assert!(commands.iter().any(|command| matches!(command, Command::WriteBatch { .. })));
    assert_eq!(
        transfer_reply_of(&store.handle(Event::TransferRequest { caller: CallerId(3), request: write(9) })),
        None
    );
    let commands = store.advance_time(Span::from_millis(1_000));
    assert_eq!(transfer_reply_of(&commands), Some(TransferReply::Failed));
}

#[test]
fn a_replica_whose_disk_fails_confirms_nothing() {
    let (mut store, _) = TestStore::new();
    store.handle(Event::StoreMap(map(2, 2, OTHER)));
    store.handle(Event::TransferRequest { caller: CallerId(1), request: write(2) });
    let commands = store.handle(Event::BatchFailed);
    assert_eq!(transfer_reply_of(&commands), Some(TransferReply::Failed));
    // The write is retried after a delay.
    let retried = store.advance_time(Span::from_millis(200));
    assert!(matches!(retried[..], [Command::WriteBatch { .. }]));
}

#[test]
fn durable_digests_exclude_records_that_are_not_on_disk() {
    let (mut store, _) = TestStore::new();
    store.handle(Event::StoreMap(map(2, 2, OTHER)));
    let digests = TransferRequest::Digests {
        partition: PARTITION,
        epoch: EpochNumber(2),
        ranges: 16,
        live_after_ms: 0,
    };
    store.handle(Event::TransferRequest { caller: CallerId(1), request: write(2) });
    // The request waits for the batch in flight; another record arrives before the batch is written.
    assert_eq!(store.handle(Event::TransferRequest { caller: CallerId(2), request: digests }), []);
    let request = TransferRequest::Write {
        partition: PARTITION,
        epoch: EpochNumber(2),
        records: vec![record("later")],
    };
    store.handle(Event::TransferRequest { caller: CallerId(3), request });
    let commands = store.complete_batch();
    let in_memory = store.state_machine.table(PARTITION).unwrap().digests(16, 0);
    let sent = commands.iter().find_map(|command| match command {
        Command::SendTransferReply { reply: TransferReply::Digests(digests), .. } => Some(digests.clone()),
        _ => None,
    });
    assert!(sent.is_some_and(|digests| digests != in_memory));
}
