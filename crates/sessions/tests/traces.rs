//! Traces of one store: what it says and wants, step by step.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::session::{
    BeginTurn, FinishTurn, PartitionEpoch, SessionCall, SessionReply, SessionRequest, Turn,
};
use juniperwing_protocol::subscription::{Assignment, StoreMap, StoreNode};
use juniperwing_protocol::transfer::{Record, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, NodeName, PartitionId, ProgramId, RequestId};
use juniperwing_sessions::{CallerId, Command, Event, Limits, Moment, Store, TransferCallId};

const PARTITION: PartitionId = PartitionId(0);
const OWN: DiskId = DiskId(1);
const OTHER: DiskId = DiskId(2);
const LIMITS: Limits = Limits { required_replicas: 2, memory_bytes: 1 << 20, disk_bytes: 1 << 20 };

/// A store with a clock that the test moves and a disk that it lets finish.
struct Trace {
    store: Store,
    now: Time,
    segment: u64,
}

fn map(version: u64, epoch: u64, primary: DiskId) -> Arc<StoreMap> {
    let store = |disk: DiskId| StoreNode {
        disk,
        node: NodeName::from("store"),
        zone: "zone".into(),
        address: SocketAddr::from(([127, 0, 0, 1], disk.0 as u16)),
    };
    let assignment = Assignment {
        epoch: EpochNumber(epoch),
        primary,
        in_sync: vec![OWN, OTHER],
        joining: Vec::new(),
        lost_replicas: 0,
    };
    Arc::new(StoreMap { version, stores: vec![store(OWN), store(OTHER)], partitions: vec![assignment] })
}

impl Trace {
    /// A store that leads the partition and has not compared the other replica yet.
    fn new() -> (Self, Vec<Command>) {
        Trace::with(LIMITS)
    }

    fn with(limits: Limits) -> (Self, Vec<Command>) {
        let mut trace = Trace { store: Store::new(OWN, limits), now: Time::from_nanos(1), segment: 0 };
        let commands = trace.handle(Event::StoreMap(map(1, 1, OWN)));
        (trace, commands)
    }

    /// A store that leads the partition, the other replica being level.
    fn leading() -> Self {
        let (mut trace, commands) = Trace::new();
        let (call, _) = call_of(&commands);
        trace.answer(call, TransferReply::Digests(vec![0; 16]));
        trace
    }

    fn moment(&self) -> Moment {
        Moment { now: self.now, unix_time_ms: 1_000 + self.now.since(Time::default()).as_nanos() / 1_000_000 }
    }

    fn handle(&mut self, event: Event) -> Vec<Command> {
        let moment = self.moment();
        self.store.handle(moment, event)
    }

    fn ask(&mut self, asker: u64, body: SessionCall) -> Vec<Command> {
        let request = SessionRequest { partition: PARTITION, epoch: EpochNumber(1), body };
        self.handle(Event::SessionRequest { caller: CallerId(asker), request })
    }

    fn answer(&mut self, call: TransferCallId, answer: TransferReply) -> Vec<Command> {
        self.handle(Event::CallCompleted { call, reply: Some(answer) })
    }

    fn synced(&mut self) -> Vec<Command> {
        self.segment += 1;
        self.handle(Event::BatchWritten { segment: self.segment, bytes: 100 })
    }

    fn later(&mut self, span: Span) -> Vec<Command> {
        self.now = self.now + span;
        self.handle(Event::Tick)
    }

    /// Asks, lets both disks finish, and returns the answer.
    fn decide(&mut self, asker: u64, body: SessionCall) -> SessionReply {
        let mut commands = self.ask(asker, body);
        for _ in 0..4 {
            if let Some(reply) = reply_of(&commands) {
                return reply;
            }
            let calls: Vec<TransferCallId> = calls_of(&commands).into_iter().map(|(call, _)| call).collect();
            commands = if commands.iter().any(|c| matches!(c, Command::WriteBatch { .. })) {
                self.synced()
            } else {
                Vec::new()
            };
            for call in calls {
                commands.extend(self.answer(call, TransferReply::Written));
            }
        }
        panic!("no answer");
    }
}

fn reply_of(commands: &[Command]) -> Option<SessionReply> {
    commands.iter().find_map(|command| match command {
        Command::SendSessionReply { reply, .. } => Some(reply.clone()),
        _ => None,
    })
}

fn calls_of(commands: &[Command]) -> Vec<(TransferCallId, TransferRequest)> {
    let calls = commands.iter().filter_map(|command| match command {
        Command::Call { call, request, .. } => Some((*call, request.clone())),
        _ => None,
    });
    calls.collect()
}

fn call_of(commands: &[Command]) -> (TransferCallId, TransferRequest) {
    calls_of(commands).pop().expect("a call")
}

fn transfer_reply_of(commands: &[Command]) -> Option<TransferReply> {
    commands.iter().find_map(|command| match command {
        Command::SendTransferReply { reply, .. } => Some(reply.clone()),
        _ => None,
    })
}

fn begin(request: &str, previous: Option<&str>, budget: Option<u64>) -> SessionCall {
    SessionCall::Begin(BeginTurn {
        program: ProgramId::from("p"),
        request: RequestId::from(request),
        previous: previous.map(RequestId::from),
        budget,
        max_tokens: 40,
        imported: Vec::new(),
    })
}

fn finish(request: &str, tokens: u64) -> SessionCall {
    SessionCall::Finish(FinishTurn {
        program: ProgramId::from("p"),
        request: RequestId::from(request),
        tokens,
        stored_turn: None,
    })
}

fn turn(request: &str, previous: Option<&str>) -> Turn {
    Turn {
        request: RequestId::from(request),
        previous: previous.map(RequestId::from),
        input: Arc::from(request.as_bytes()),
        output: Arc::from(&b"out"[..]),
        retention_ms: 60_000,
        endpoint: None,
    }
}

fn keep(request: &str, previous: Option<&str>) -> SessionCall {
    SessionCall::Finish(FinishTurn {
        program: ProgramId::from("p"),
        request: RequestId::from(request),
        tokens: 1,
        stored_turn: Some(turn(request, previous)),
    })
}

fn record(request: &str) -> Record {
    Record {
        program: ProgramId::from("p"),
        request: RequestId::from(request),
        tokens: 5,
        is_committed: true,
        turn: None,
        expires_at_ms: 100_000,
    }
}

fn write(epoch: u64) -> TransferRequest {
    TransferRequest::Write { partition: PARTITION, epoch: EpochNumber(epoch), records: vec![record("w")] }
}

const BEGUN: SessionReply = SessionReply::TurnBegun { chain: Vec::new() };

#[test]
fn a_turn_is_begun_when_both_disks_have_the_reservation() {
    let mut trace = Trace::leading();
    let commands = trace.ask(1, begin("a", None, Some(100)));
    assert_eq!(reply_of(&commands), None);
    let (call, request) = call_of(&commands);
    assert!(matches!(request, TransferRequest::Write { .. }));
    assert_eq!(reply_of(&trace.answer(call, TransferReply::Written)), None, "not on the own disk yet");
    assert_eq!(reply_of(&trace.synced()), Some(BEGUN));
}

#[test]
fn without_the_replica_a_turn_is_not_begun_and_the_write_goes_on() {
    let mut trace = Trace::leading();
    let commands = trace.ask(1, begin("a", None, Some(100)));
    let (call, _) = call_of(&commands);
    trace.synced();
    assert_eq!(reply_of(&trace.handle(Event::CallCompleted { call, reply: None })), None);
    let again = trace.later(Span::from_millis(200));
    assert!(matches!(call_of(&again).1, TransferRequest::Write { .. }));
    assert_eq!(reply_of(&trace.later(Span::from_millis(2_000))), Some(SessionReply::Unavailable));
}

#[test]
fn the_budget_counts_the_most_until_a_turn_is_settled() {
    let mut trace = Trace::leading();
    assert_eq!(trace.decide(1, begin("a", None, Some(100))), BEGUN);
    assert_eq!(trace.decide(2, begin("b", None, Some(100))), BEGUN);
    assert_eq!(trace.decide(3, begin("c", None, Some(100))), SessionReply::BudgetExhausted);
    assert_eq!(trace.decide(4, finish("a", 15)), SessionReply::TurnFinished);
    assert_eq!(trace.decide(5, begin("c", None, Some(100))), BEGUN);
    assert_eq!(trace.decide(6, begin("d", None, Some(100))), SessionReply::BudgetExhausted);
}

#[test]
fn a_turn_begun_twice_counts_once_and_one_that_is_settled_does_not_begin() {
    let mut trace = Trace::leading();
    assert_eq!(trace.decide(1, begin("a", None, Some(50))), BEGUN);
    assert_eq!(trace.decide(2, begin("a", None, Some(50))), BEGUN);
    assert_eq!(trace.decide(3, finish("a", 0)), SessionReply::TurnFinished);
    assert_eq!(trace.decide(4, begin("a", None, Some(50))), SessionReply::Unavailable);
    assert_eq!(trace.decide(5, begin("b", None, Some(50))), BEGUN);
}

#[test]
fn a_reservation_that_an_old_primary_left_behind_does_not_admit() {
    let (mut trace, _) = Trace::new();
    trace.handle(Event::StoreMap(map(2, 2, OTHER)));
    let reserved = Record { tokens: 40, is_committed: false, ..record("a") };
    let records = vec![reserved, Record { tokens: 40, ..record("b") }];
    let request = TransferRequest::Write { partition: PARTITION, epoch: EpochNumber(2), records };
    trace.handle(Event::TransferRequest { caller: CallerId(1), request });
    trace.synced();
    let (call, _) = call_of(&trace.handle(Event::StoreMap(map(3, 3, OWN))));
    let level = trace.store.table(PARTITION).unwrap().digests(16, trace.moment().unix_time_ms);
    trace.answer(call, TransferReply::Digests(level));
    assert_eq!(trace.decide(2, begin("a", None, Some(79))), SessionReply::BudgetExhausted);
    assert_eq!(trace.decide(3, begin("a", None, Some(80))), BEGUN);
}

#[test]
fn settling_again_with_less_does_not_give_tokens_back() {
    let mut trace = Trace::leading();
    assert_eq!(trace.decide(1, finish("a", 20)), SessionReply::TurnFinished);
    assert_eq!(trace.decide(2, finish("a", 0)), SessionReply::TurnFinished);
    assert_eq!(trace.decide(3, begin("b", None, Some(50))), SessionReply::BudgetExhausted);
}

#[test]
fn a_chain_comes_oldest_first() {
    let mut trace = Trace::leading();
    assert_eq!(trace.decide(1, keep("a", None)), SessionReply::TurnFinished);
    assert_eq!(trace.decide(2, keep("b", Some("a"))), SessionReply::TurnFinished);
    let chain = vec![turn("a", None), turn("b", Some("a"))];
    assert_eq!(trace.decide(3, begin("c", Some("b"), None)), SessionReply::TurnBegun { chain });
}

#[test]
fn an_unknown_turn_is_denied_only_when_the_replica_has_confirmed_the_epoch() {
    let mut trace = Trace::leading();
    let commands = trace.ask(1, begin("a", Some("nobody"), None));
    assert_eq!(reply_of(&commands), None);
    let (call, request) = call_of(&commands);
    let named = PartitionEpoch { partition: PARTITION, epoch: EpochNumber(1) };
    assert_eq!(request, TransferRequest::Confirm { partitions: vec![named] });
    let denied = trace.answer(call, TransferReply::Written);
    assert_eq!(reply_of(&denied), Some(SessionReply::UnknownTurn));
}

#[test]
fn a_primary_that_is_fenced_denies_nothing() {
    for body in [begin("a", Some("nobody"), None), begin("a", None, Some(10))] {
        let mut trace = Trace::leading();
        let commands = trace.ask(1, body);
        let (call, _) = call_of(&commands);
        let answer = trace.answer(call, TransferReply::Fenced { epoch: EpochNumber(2) });
        assert_eq!(reply_of(&answer), Some(SessionReply::Unavailable));
    }
}

#[test]
fn a_denial_confirmed_in_an_epoch_that_is_over_is_not_given() {
    let mut trace = Trace::leading();
    let (call, _) = call_of(&trace.ask(1, begin("a", Some("nobody"), None)));
    trace.handle(Event::StoreMap(map(2, 2, OTHER)));
    let answer = trace.answer(call, TransferReply::Written);
    assert_eq!(reply_of(&answer), Some(SessionReply::Unavailable));
}

#[test]
fn a_new_primary_decides_nothing_before_the_replica_is_level() {
    let (mut trace, commands) = Trace::new();
    let (digests, _) = call_of(&commands);
    assert_eq!(reply_of(&trace.ask(1, begin("a", Some("w"), Some(50)))), None);
    let (records, request) = call_of(&trace.answer(digests, TransferReply::Digests(vec![7; 16])));
    assert!(matches!(request, TransferRequest::Records { .. }));
    let mut kept = record("w");
    kept.turn = Some(turn("w", None));
    let page = TransferReply::Records { records: vec![kept], next: None };
    let (push, request) = call_of(&trace.answer(records, page));
    assert!(matches!(request, TransferRequest::Write { ref records, .. } if records.len() == 1));
    let (digests, _) = call_of(&trace.answer(push, TransferReply::Written));
    let partition = trace.store.table(PARTITION).unwrap();
    let level = partition.digests(16, trace.moment().unix_time_ms);
    let commands = trace.answer(digests, TransferReply::Digests(level));
    // Now it is admitted: written, and not denied.
    assert!(matches!(call_of(&commands).1, TransferRequest::Write { .. }));
}

#[test]
fn a_replica_answers_when_the_disk_has_it_and_gathers_meanwhile() {
    let (mut trace, _) = Trace::new();
    trace.handle(Event::StoreMap(map(2, 2, OTHER)));
    let first = trace.handle(Event::TransferRequest { caller: CallerId(1), request: write(2) });
    assert!(matches!(first[..], [Command::WriteBatch { .. }]));
    let mut second = write(2);
    if let TransferRequest::Write { records, .. } = &mut second {
        records[0].tokens = 9;
    }
    assert_eq!(trace.handle(Event::TransferRequest { caller: CallerId(2), request: second.clone() }), []);
    assert_eq!(trace.handle(Event::TransferRequest { caller: CallerId(3), request: second }), []);
    let commands = trace.synced();
    let written =
        |asker| Command::SendTransferReply { caller: CallerId(asker), reply: TransferReply::Written };
    assert!(commands.contains(&written(1)) && !commands.contains(&written(2)));
    let commands = trace.synced();
    assert!(commands.contains(&written(2)) && commands.contains(&written(3)));
}

#[test]
fn a_replica_fences_an_old_primary_and_waits_for_the_map_of_a_new_one() {
    let (mut trace, _) = Trace::new();
    trace.handle(Event::StoreMap(map(2, 2, OTHER)));
    let old = trace.handle(Event::TransferRequest { caller: CallerId(1), request: write(1) });
    assert_eq!(transfer_reply_of(&old), Some(TransferReply::Fenced { epoch: EpochNumber(2) }));
    assert_eq!(trace.handle(Event::TransferRequest { caller: CallerId(2), request: write(3) }), []);
    let known = trace.handle(Event::StoreMap(map(3, 3, OTHER)));
    assert!(known.iter().any(|command| matches!(command, Command::WriteBatch { .. })));
    assert_eq!(
        transfer_reply_of(&trace.handle(Event::TransferRequest { caller: CallerId(3), request: write(9) })),
        None
    );
    let failed = trace.later(Span::from_millis(1_000));
    assert_eq!(transfer_reply_of(&failed), Some(TransferReply::Failed));
}

#[test]
fn a_replica_whose_disk_fails_confirms_nothing() {
    let (mut trace, _) = Trace::new();
    trace.handle(Event::StoreMap(map(2, 2, OTHER)));
    trace.handle(Event::TransferRequest { caller: CallerId(1), request: write(2) });
    let failed = trace.handle(Event::BatchFailed);
    assert_eq!(transfer_reply_of(&failed), Some(TransferReply::Failed));
    // The record is written as soon as the disk takes it.
    let again = trace.later(Span::from_millis(200));
    assert!(matches!(again[..], [Command::WriteBatch { .. }]));
}

#[test]
fn digests_do_not_count_what_the_disk_lacks() {
    let (mut trace, _) = Trace::new();
    trace.handle(Event::StoreMap(map(2, 2, OTHER)));
    let digests = TransferRequest::Digests {
        partition: PARTITION,
        epoch: EpochNumber(2),
        ranges: 16,
        live_after_ms: 0,
    };
    trace.handle(Event::TransferRequest { caller: CallerId(1), request: write(2) });
    // Waits for the batch that is under way; another record comes before that ends.
    assert_eq!(trace.handle(Event::TransferRequest { caller: CallerId(2), request: digests }), []);
    let request = TransferRequest::Write {
        partition: PARTITION,
        epoch: EpochNumber(2),
        records: vec![record("later")],
    };
    trace.handle(Event::TransferRequest { caller: CallerId(3), request });
    let commands = trace.synced();
    let in_memory = trace.store.table(PARTITION).unwrap().digests(16, 0);
    let told = commands.iter().find_map(|command| match command {
        Command::SendTransferReply { reply: TransferReply::Digests(digests), .. } => Some(digests.clone()),
        _ => None,
    });
    assert!(told.is_some_and(|told| told != in_memory));
}

#[test]
fn a_store_that_is_full_admits_nothing_and_still_settles() {
    let (mut trace, commands) = Trace::with(Limits { memory_bytes: 100, ..LIMITS });
    let (call, _) = call_of(&commands);
    trace.answer(call, TransferReply::Digests(vec![0; 16]));
    assert_eq!(trace.decide(1, keep("a", None)), SessionReply::TurnFinished);
    assert_eq!(trace.decide(2, begin("b", None, Some(100))), SessionReply::Unavailable);
    assert_eq!(trace.decide(3, finish("b", 0)), SessionReply::TurnFinished);
}

#[test]
fn too_few_replicas_and_another_primary_decide_nothing() {
    let (mut trace, commands) = Trace::with(Limits { required_replicas: 3, ..LIMITS });
    let (call, _) = call_of(&commands);
    trace.answer(call, TransferReply::Digests(vec![0; 16]));
    assert_eq!(trace.decide(1, begin("a", None, Some(9))), SessionReply::Unavailable);
    trace.handle(Event::StoreMap(map(2, 2, OTHER)));
    let refused = SessionReply::NotPrimary { epoch: EpochNumber(2) };
    assert_eq!(trace.decide(2, begin("a", None, Some(9))), refused);
}

#[test]
fn what_was_written_is_recovered_and_goes_when_it_has_expired() {
    let mut trace = Trace::leading();
    let commands = trace.ask(1, keep("a", None));
    let records = commands
        .iter()
        .find_map(|command| match command {
            Command::WriteBatch { records } => Some(records.clone()),
            _ => None,
        })
        .unwrap();
    let mut again = Store::new(OWN, LIMITS);
    again.recover_batch(trace.moment(), 4, 100, records.clone());
    assert_eq!(again.finish_recovery(trace.moment()), []);
    assert!(again.table(PARTITION).unwrap().has_turn(&ProgramId::from("p"), &RequestId::from("a")));
    trace.now = trace.now + Span::from_millis(200_000);
    let mut late = Store::new(OWN, LIMITS);
    late.recover_batch(trace.moment(), 4, 100, records);
    assert_eq!(late.finish_recovery(trace.moment()), [Command::RemoveSegment { segment: 4 }]);
    assert!(late.table(PARTITION).unwrap().is_empty());
}

#[test]
fn a_clock_that_jumps_forward_drops_nothing() {
    let mut trace = Trace::leading();
    assert_eq!(trace.decide(1, keep("a", None)), SessionReply::TurnFinished);
    trace.now = trace.now + Span::from_millis(20_000);
    let jumped = Moment { unix_time_ms: 10_000_000_000, ..trace.moment() };
    trace.store.handle(jumped, Event::Tick);
    assert!(trace.store.table(PARTITION).unwrap().has_turn(&ProgramId::from("p"), &RequestId::from("a")));
}

#[test]
fn many_small_batches_become_one_and_none_that_counts_goes_before() {
    let mut trace = Trace::leading();
    let mut removed = 0;
    let mut rewritten = 0;
    for number in 0..400_u64 {
        let mut commands = trace.ask(number, keep(&format!("t{number}"), None));
        let (call, _) = call_of(&commands);
        trace.answer(call, TransferReply::Written);
        while commands.iter().any(|command| matches!(command, Command::WriteBatch { .. })) {
            rewritten += commands
                .iter()
                .filter(|c| matches!(c, Command::WriteBatch { records } if records.len() > 100))
                .count();
            commands = trace.synced();
            let goes = commands.iter().filter(|c| matches!(c, Command::RemoveSegment { .. })).count();
            assert!(goes == 0 || rewritten > 0);
            removed += goes;
        }
    }
    assert!(rewritten > 0 && removed > 100, "{rewritten} {removed}");
}
