//! Every message between processes is encoded to the same bytes as in earlier releases.

mod golden_files;

use std::net::{Ipv6Addr, SocketAddr};
use std::sync::Arc;

use golden_files::assert_golden;
use juniperwing_protocol::registry::{Instance, InstanceState, Order, OrderReply, Refresh, RegistryMessage};
use juniperwing_protocol::replication::{
    Epoch, NumberedChange, ReplicationBody, ReplicationMessage, Version, Voter,
};
use juniperwing_protocol::session::{
    BeginTurn, FindOutput, FinishTurn, OutputEvent, PartitionEpoch, RecordOutput, RenewTurn, SessionCall,
    SessionReply, SessionRequest, Turn, TurnKey, TurnLease,
};
use juniperwing_protocol::subscription::{
    AppliedVersions, Assignment, CaughtUp, InstancesUpdate, StoreMap, StoreNode, Subscribe, SubscriberKind,
    Update,
};
use juniperwing_protocol::transfer::{Record, RecordKey, RecordState, TransferReply, TransferRequest};
use juniperwing_protocol::{
    CallId, DiskId, Envelope, EpochNumber, InstanceId, Message, NodeName, PartitionId, ProgramId, RequestId,
    ServiceName,
};

type Table = Vec<(&'static str, Envelope)>;

#[test]
fn every_message_has_its_golden_bytes() {
    let tables = [
        liveness(),
        epoch_agreement(),
        state_replication(),
        registry(),
        orders(),
        subscriptions(),
        updates(),
        session_requests(),
        session_replies(),
        transfer_requests(),
        transfer_replies(),
    ];
    assert_golden("golden", &tables.concat(), encode, decode);
}

fn encode(envelope: &Envelope) -> Vec<u8> {
    envelope.encode().expect("small enough")
}

fn decode(bytes: &[u8]) -> Envelope {
    let (envelope, decoded_bytes) =
        Envelope::decode(bytes).expect("an envelope").expect("a complete envelope");
    assert_eq!(decoded_bytes, bytes.len());
    envelope
}

fn call(message: Message) -> Envelope {
    Envelope { call: CallId(300), is_reply: false, message }
}

fn reply(message: Message) -> Envelope {
    Envelope { call: CallId(70_000), is_reply: true, message }
}

fn replication(body: ReplicationBody) -> Envelope {
    call(Message::Replication(ReplicationMessage { from: DiskId(0x1234_5678), address: ipv4(7001), body }))
}

fn registry_call(message: RegistryMessage) -> Envelope {
    call(Message::Registry(message))
}

fn registry_reply(message: RegistryMessage) -> Envelope {
    reply(Message::Registry(message))
}

fn session_call(body: SessionCall) -> Envelope {
    let request = SessionRequest { partition: PartitionId(301), epoch: EpochNumber(302), body };
    call(Message::SessionRequest(request))
}

fn session_reply(body: SessionReply) -> Envelope {
    reply(Message::SessionReply(body))
}

fn transfer_call(request: TransferRequest) -> Envelope {
    call(Message::TransferRequest(request))
}

fn transfer_reply(body: TransferReply) -> Envelope {
    reply(Message::TransferReply(body))
}

fn ipv4(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 20, 30, 40], port))
}

fn ipv6(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv6Addr::new(0x2001, 0xdb8, 1, 2, 3, 4, 5, 6), port))
}

fn version(epoch: u64, sequence: u64) -> Version {
    Version { epoch: EpochNumber(epoch), sequence }
}

fn voter(disk: u64, node: &str, address: SocketAddr) -> Voter {
    Voter { disk: DiskId(disk), node: NodeName::from(node), address }
}

fn epoch(number: u64) -> Epoch {
    Epoch {
        number: EpochNumber(number),
        primary: DiskId(11),
        in_sync: vec![DiskId(11), DiskId(12)],
        voters: vec![voter(11, "alder", ipv4(7011)), voter(12, "birch", ipv6(7012))],
        previous_voters: vec![voter(13, "cedar", ipv4(7013))],
    }
}

fn instance(id: &str, state: InstanceState, sequence: u64) -> Instance {
    Instance {
        id: InstanceId::from(id),
        service: ServiceName::from("chat"),
        address: ipv6(8001),
        zone: "north".into(),
        capacity: 48,
        state,
        sequence,
    }
}

fn instances_of_every_state() -> Vec<Instance> {
    vec![
        instance("instance-ready", InstanceState::Ready, 501),
        instance("instance-draining", InstanceState::Draining, 502),
        instance("instance-expired", InstanceState::Expired, 503),
        instance("instance-gone", InstanceState::Terminated, 504),
    ]
}

fn store(disk: u64, node: &str, zone: &str, address: SocketAddr) -> StoreNode {
    StoreNode { disk: DiskId(disk), node: NodeName::from(node), zone: zone.into(), address }
}

fn stores() -> Vec<StoreNode> {
    vec![store(21, "maple", "north", ipv4(9021)), store(22, "olive", "south", ipv6(9022))]
}

fn caught_up() -> Vec<CaughtUp> {
    vec![
        CaughtUp { partition: PartitionId(401), epoch: EpochNumber(402), replica: DiskId(403) },
        CaughtUp { partition: PartitionId(404), epoch: EpochNumber(405), replica: DiskId(406) },
    ]
}

fn first_turn() -> Turn {
    Turn {
        request: RequestId::from("request-1"),
        previous: None,
        input: Arc::from(&b"first input"[..]),
        output: Arc::from(&b"first output\n"[..]),
        retention_ms: 60_001,
        endpoint: None,
    }
}

fn second_turn() -> Turn {
    Turn {
        request: RequestId::from("request-2"),
        previous: Some(RequestId::from("request-1")),
        input: Arc::from(&[0, 127, 128, 255][..]),
        output: Arc::from(&b"second output\n"[..]),
        retention_ms: 60_002,
        endpoint: Some("instance-7".into()),
    }
}

fn records() -> Vec<Record> {
    let record = |request: &str, tokens, is_committed, turn, expires_at_ms| Record {
        program: ProgramId::from("program-1"),
        request: RequestId::from(request),
        tokens,
        state: if is_committed { RecordState::Committed } else { RecordState::Reserved },
        turn,
        expires_at_ms,
    };
    vec![
        record("request-0", 601, false, None, 1_700_000_000_001),
        record("request-1", 602, true, Some(first_turn()), 1_700_000_000_002),
        record("request-2", 603, true, Some(second_turn()), 1_700_000_000_003),
    ]
}

fn record_key(request: &str) -> RecordKey {
    RecordKey { program: ProgramId::from("program-9"), request: RequestId::from(request) }
}

fn liveness() -> Table {
    vec![("ping", call(Message::Ping)), ("pong", reply(Message::Pong))]
}

fn epoch_agreement() -> Table {
    use ReplicationBody::*;
    let number = EpochNumber(0x0000_0002_0000_0101);
    vec![
        ("replication-canvass", replication(PreVote { number })),
        (
            "replication-canvass-answer",
            replication(PreVoteReply { number, granted: true, epoch: epoch(201) }),
        ),
        ("replication-take-over", replication(TransferLeadership { epoch: EpochNumber(202) })),
        ("replication-prepare", replication(Prepare { number })),
        (
            "replication-promise",
            replication(Promise { number, accepted: epoch(203), version: version(204, 205) }),
        ),
        ("replication-accept", replication(Accept { epoch: epoch(206) })),
        ("replication-accepted", replication(Accepted { number })),
        ("replication-refused", replication(Rejected { promised: EpochNumber(u64::MAX) })),
        ("replication-join", replication(Join { voter: voter(14, "elder", ipv6(7014)) })),
        ("replication-found", replication(Bootstrap { voter: voter(15, "fir", ipv4(7015)) })),
        ("replication-leave", replication(Leave)),
    ]
}

fn state_replication() -> Table {
    use ReplicationBody::*;
    let epoch_number = EpochNumber(210);
    let write = Write {
        epoch: epoch_number,
        base: version(211, 212),
        version: version(213, 214),
        change: b"a change".to_vec(),
    };
    let snapshot =
        Snapshot { epoch: epoch_number, version: version(215, 216), state: vec![0, 1, 127, 128, 255] };
    let heartbeat = Heartbeat { epoch: epoch(219), committed: version(220, 221), round: 222 };
    let behind = HeartbeatReply { epoch: epoch_number, round: 223, version: None };
    let on_disk = HeartbeatReply { epoch: epoch_number, round: 224, version: Some(version(225, 226)) };
    let changes = Changes {
        epoch: epoch_number,
        base: version(227, 228),
        changes: vec![
            NumberedChange { version: version(229, 230), change: b"one".to_vec() },
            NumberedChange { version: version(231, 232), change: b"two".to_vec() },
        ],
    };
    vec![
        ("replication-write", replication(write)),
        ("replication-snapshot", replication(snapshot)),
        ("replication-confirm", replication(WriteAck { epoch: epoch_number, version: version(217, 218) })),
        ("replication-heartbeat", replication(heartbeat)),
        ("replication-heartbeat-answer-behind", replication(behind)),
        ("replication-heartbeat-answer-on-disk", replication(on_disk)),
        ("replication-changes", replication(changes)),
    ]
}

fn registry() -> Table {
    use RegistryMessage::*;
    let refresh = |id: &str, sequence| Refresh { id: InstanceId::from(id), sequence };
    let instances = Instances {
        from: DiskId(31),
        changed: instances_of_every_state(),
        refreshed: vec![refresh("instance-5", 505), refresh("instance-6", 506)],
        confirm: true,
    };
    vec![
        ("registry-instances", registry_call(instances)),
        (
            "registry-instances-taken",
            registry_reply(InstancesMerged { epoch: EpochNumber(310), applied: true }),
        ),
        (
            "registry-distribute",
            registry_call(DistributeConfiguration { version: version(311, 312), wait_ms: 1_500 }),
        ),
        ("registry-distributed", registry_reply(ConfigurationDistributed)),
        ("registry-read-committed", registry_call(ReadCommittedVersion)),
        ("registry-committed", registry_reply(CommittedVersion { version: Some(version(313, 314)) })),
        ("registry-committed-unconfirmed", registry_reply(CommittedVersion { version: None })),
        ("registry-stores-seen", registry_call(ReachableStores { from: DiskId(32), stores: stores() })),
        ("registry-seen", registry_reply(ReachableStoresReply { epoch: EpochNumber(315) })),
        ("registry-caught-up", registry_call(CaughtUp(caught_up()))),
    ]
}

fn orders() -> Table {
    let order = |order| registry_call(RegistryMessage::Order(order));
    let node = NodeName::from("maple");
    let reply = OrderReply { status: 409, body: br#"{"generation":7}"#.to_vec() };
    vec![
        (
            "order-put-configuration",
            order(Order::PutConfiguration { base: 320, body: br#"{"routes":[]}"#.to_vec() }),
        ),
        ("order-get-configuration", order(Order::GetConfiguration)),
        ("order-retire", order(Order::Retire { node: node.clone(), duration_s: 12.5 })),
        ("order-retire-state", order(Order::RetireState { node })),
        ("order-answer", registry_reply(RegistryMessage::OrderReply(reply))),
    ]
}

fn subscriptions() -> Table {
    let subscribe = |subscriber| {
        call(Message::Subscribe(Subscribe {
            node: NodeName::from("rowan"),
            zone: "south".into(),
            address: ipv6(7100),
            subscriber,
            configuration: version(330, 331),
        }))
    };
    let applied = AppliedVersions {
        configuration: version(332, 333),
        instances: 334,
        stores: 335,
        caught_up: caught_up(),
    };
    vec![
        ("subscribe-relay", subscribe(SubscriberKind::Relay)),
        ("subscribe-store", subscribe(SubscriberKind::Store { disk: DiskId(23) })),
        ("applied", reply(Message::Applied(applied))),
    ]
}

fn updates() -> Table {
    let update = |update| call(Message::Update(update));
    let body = Arc::from(&br#"{"generation":8}"#[..]);
    // One update per flag, so that swapping the two flags is detected.
    let snapshot = InstancesUpdate {
        revision: 342,
        is_snapshot: true,
        is_registry_complete: false,
        instances: instances_of_every_state(),
    };
    let complete = InstancesUpdate {
        revision: 343,
        is_snapshot: false,
        is_registry_complete: true,
        instances: Vec::new(),
    };
    vec![
        ("update-keepers", update(Update::Keepers(vec![ipv4(7201), ipv6(7202)]))),
        ("update-configuration", update(Update::Configuration { version: version(340, 341), body })),
        ("update-instances-whole", update(Update::Instances(snapshot))),
        ("update-instances-complete", update(Update::Instances(complete))),
        ("update-stores", update(Update::Stores(Arc::new(store_map())))),
    ]
}

fn store_map() -> StoreMap {
    let assignment = |epoch, primary, lost_replicas| Assignment {
        epoch: EpochNumber(epoch),
        primary: DiskId(primary),
        in_sync: vec![DiskId(21), DiskId(22)],
        joining: vec![DiskId(24)],
        lost_replicas,
    };
    StoreMap {
        version: 350,
        stores: stores(),
        partitions: vec![assignment(351, 21, 1), assignment(352, 22, 300)],
    }
}

fn session_requests() -> Table {
    let begin = BeginTurn {
        program: ProgramId::from("program-2"),
        request: RequestId::from("request-3"),
        previous: Some(RequestId::from("request-2")),
        budget: Some(9_001),
        max_tokens: 802,
        imported: vec![first_turn(), second_turn()],
        lease: lease(),
    };
    let begin_first = BeginTurn { previous: None, budget: None, imported: Vec::new(), ..begin.clone() };
    let finish = FinishTurn {
        program: ProgramId::from("program-3"),
        request: RequestId::from("request-4"),
        tokens: 803,
        stored_turn: Some(second_turn()),
        retention_ms: 816,
    };
    let finish_without_turn = FinishTurn { stored_turn: None, ..finish.clone() };
    let at =
        |partition, epoch| PartitionEpoch { partition: PartitionId(partition), epoch: EpochNumber(epoch) };
    let turn = TurnKey {
        program: ProgramId::from("program-6"),
        session: "session-1".into(),
        previous: Some(RequestId::from("request-8")),
        target: "h.example/kept/a".into(),
        input_digest: TurnKey::digest(b"input"),
    };
    let record_output = RecordOutput {
        turn: turn.clone(),
        request: RequestId::from("request-9"),
        first: 811,
        events: output_events(),
        retention_ms: 820,
    };
    let find_output = FindOutput { turn: TurnKey { previous: None, ..turn }, last_event_id: 812 };
    let find = SessionCall::Find {
        turn: RequestId::from("request-5"),
        partitions: vec![at(804, 805), at(806, 807)],
    };
    let renew = RenewTurn {
        program: ProgramId::from("program-7"),
        request: RequestId::from("request-10"),
        previous: None,
        reserved_tokens: Some(819),
        lease: lease(),
    };
    let previous = Some(RequestId::from("request-11"));
    let renew_without_budget = RenewTurn { previous, reserved_tokens: None, ..renew.clone() };
    vec![
        ("session-begin", session_call(SessionCall::Begin(begin))),
        ("session-begin-first", session_call(SessionCall::Begin(begin_first))),
        ("session-finish", session_call(SessionCall::Finish(finish))),
        ("session-finish-unkept", session_call(SessionCall::Finish(finish_without_turn))),
        ("session-find", session_call(find)),
        ("session-record-output", session_call(SessionCall::RecordOutput(record_output))),
        ("session-find-output", session_call(SessionCall::FindOutput(find_output))),
        ("session-renew", session_call(SessionCall::Renew(renew))),
        ("session-renew-unlimited", session_call(SessionCall::Renew(renew_without_budget))),
    ]
}

fn lease() -> TurnLease {
    TurnLease { duration_ms: 817, retention_ms: 818 }
}

fn output_events() -> Vec<OutputEvent> {
    let event = |id, output: &[u8]| OutputEvent { id, output: output.into() };
    vec![event(813, b"one\n"), event(814, b"")]
}

fn session_replies() -> Table {
    use SessionReply::*;
    vec![
        ("session-begun", session_reply(TurnBegun { chain: vec![first_turn(), second_turn()] })),
        ("session-budget-spent", session_reply(BudgetExhausted)),
        ("session-unknown-turn", session_reply(UnknownTurn)),
        ("session-finished", session_reply(TurnFinished)),
        ("session-found", session_reply(TurnFound { chain: vec![first_turn()] })),
        ("session-not-primary", session_reply(NotPrimary { epoch: EpochNumber(810) })),
        ("session-unavailable", session_reply(Unavailable)),
        ("session-output-recorded", session_reply(OutputRecorded { events: 815 })),
        ("session-output-found", session_reply(OutputFound { events: output_events() })),
        ("session-renewed", session_reply(TurnRenewed)),
    ]
}

fn transfer_requests() -> Table {
    use TransferRequest::*;
    let partition = PartitionId(901);
    let epoch = EpochNumber(902);
    let at =
        |partition, epoch| PartitionEpoch { partition: PartitionId(partition), epoch: EpochNumber(epoch) };
    let page = |after| Records {
        partition,
        epoch,
        ranges: 903,
        requested: vec![1, 300, 902],
        live_after_ms: 1_700_000_000_004,
        after,
    };
    let digests = Digests { partition, epoch, ranges: 904, live_after_ms: 1_700_000_000_005 };
    vec![
        ("transfer-write", transfer_call(Write { partition, epoch, records: records() })),
        ("transfer-confirm", transfer_call(Confirm { partitions: vec![at(905, 906), at(907, 908)] })),
        ("transfer-digests", transfer_call(digests)),
        ("transfer-records-first", transfer_call(page(None))),
        ("transfer-records-next", transfer_call(page(Some(record_key("request-6"))))),
    ]
}

fn transfer_replies() -> Table {
    use TransferReply::*;
    let page = |next| Records { records: records(), next };
    vec![
        ("transfer-written", transfer_reply(Written)),
        ("transfer-digests-answer", transfer_reply(Digests(vec![1, 0x0102_0304_0506_0708, u64::MAX]))),
        ("transfer-records-answer", transfer_reply(page(Some(record_key("request-7"))))),
        ("transfer-records-answer-last", transfer_reply(page(None))),
        ("transfer-fenced", transfer_reply(Fenced { epoch: EpochNumber(910) })),
        ("transfer-failed", transfer_reply(Failed)),
    ]
}
