//! Test harness: a store whose clock and disk the test controls, and builders of requests.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::session::{
    BeginTurn, FinishTurn, RenewTurn, SessionCall, SessionReply, SessionRequest, Turn, TurnLease,
};
use juniperwing_protocol::subscription::{Assignment, StoreMap, StoreNode};
use juniperwing_protocol::transfer::{Record, RecordState, TransferReply, TransferRequest};
use juniperwing_protocol::{DiskId, EpochNumber, NodeName, PartitionId, ProgramId, RequestId};
use juniperwing_sessions::{CallerId, ClockReading, Command, Event, Limits, Store, TransferCallId};

pub const PARTITION: PartitionId = PartitionId(0);
pub const OWN: DiskId = DiskId(1);
pub const OTHER: DiskId = DiskId(2);
pub const LIMITS: Limits = Limits { required_replicas: 2, memory_bytes: 1 << 20, disk_bytes: 1 << 20 };

/// A store whose clock and disk the test controls.
pub struct TestStore {
    pub state_machine: Store,
    pub now: Time,
    last_segment: u64,
}

/// A map in which both stores are in sync.
pub fn map(version: u64, epoch: u64, primary: DiskId) -> Arc<StoreMap> {
    let assignment = Assignment {
        epoch: EpochNumber(epoch),
        primary,
        in_sync: vec![OWN, OTHER],
        joining: Vec::new(),
        lost_replicas: 0,
    };
    map_of(version, assignment)
}

/// A map of two stores and one partition.
pub fn map_of(version: u64, assignment: Assignment) -> Arc<StoreMap> {
    let store = |disk: DiskId| StoreNode {
        disk,
        node: NodeName::from("store"),
        zone: "zone".into(),
        address: SocketAddr::from(([127, 0, 0, 1], disk.0 as u16)),
    };
    Arc::new(StoreMap { version, stores: vec![store(OWN), store(OTHER)], partitions: vec![assignment] })
}

impl TestStore {
    /// Creates a store that leads the partition and has not synchronized the other replica yet; also returns its first
    /// commands.
    pub fn new() -> (Self, Vec<Command>) {
        TestStore::with_limits(LIMITS)
    }

    pub fn with_limits(limits: Limits) -> (Self, Vec<Command>) {
        let mut store =
            TestStore { state_machine: Store::new(OWN, limits), now: Time::from_nanos(1), last_segment: 0 };
        let commands = store.handle(Event::StoreMap(map(1, 1, OWN)));
        (store, commands)
    }

    /// Creates a store that leads the partition and has synchronized the other replica.
    pub fn leading() -> Self {
        let (mut store, commands) = TestStore::new();
        let (call, _) = last_call_of(&commands);
        store.complete_call(call, TransferReply::Digests(vec![0; 16]));
        store
    }

    pub fn clock(&self) -> ClockReading {
        ClockReading { now: self.now, unix_time_ms: 1_000 + self.now.since(Time::default()).as_millis() }
    }

    pub fn handle(&mut self, event: Event) -> Vec<Command> {
        let clock = self.clock();
        self.state_machine.handle(clock, event)
    }

    pub fn send_request(&mut self, caller: u64, body: SessionCall) -> Vec<Command> {
        let request = SessionRequest { partition: PARTITION, epoch: EpochNumber(1), body };
        self.handle(Event::SessionRequest { caller: CallerId(caller), request })
    }

    pub fn complete_call(&mut self, call: TransferCallId, reply: TransferReply) -> Vec<Command> {
        self.handle(Event::CallCompleted { call, reply: Some(reply) })
    }

    pub fn complete_batch(&mut self) -> Vec<Command> {
        self.last_segment += 1;
        self.handle(Event::BatchWritten { segment: self.last_segment, bytes: 100 })
    }

    pub fn advance_time(&mut self, span: Span) -> Vec<Command> {
        self.now = self.now + span;
        self.handle(Event::Tick)
    }

    /// Sends a request, completes the writes on both disks, and returns the reply.
    pub fn call(&mut self, caller: u64, body: SessionCall) -> SessionReply {
        let mut commands = self.send_request(caller, body);
        for _ in 0..4 {
            if let Some(reply) = reply_of(&commands) {
                return reply;
            }
            let calls: Vec<TransferCallId> = calls_of(&commands).into_iter().map(|(call, _)| call).collect();
            commands = if commands.iter().any(|c| matches!(c, Command::WriteBatch { .. })) {
                self.complete_batch()
            } else {
                Vec::new()
            };
            for call in calls {
                commands.extend(self.complete_call(call, TransferReply::Written));
            }
        }
        panic!("no reply after all writes completed");
    }
}

pub fn reply_of(commands: &[Command]) -> Option<SessionReply> {
    commands.iter().find_map(|command| match command {
        Command::SendSessionReply { reply, .. } => Some(reply.clone()),
        _ => None,
    })
}

pub fn calls_of(commands: &[Command]) -> Vec<(TransferCallId, TransferRequest)> {
    let calls = commands.iter().filter_map(|command| match command {
        Command::Call { call, request, .. } => Some((*call, request.clone())),
        _ => None,
    });
    calls.collect()
}

pub fn last_call_of(commands: &[Command]) -> (TransferCallId, TransferRequest) {
    calls_of(commands).pop().expect("a call")
}

pub fn transfer_reply_of(commands: &[Command]) -> Option<TransferReply> {
    commands.iter().find_map(|command| match command {
        Command::SendTransferReply { reply, .. } => Some(reply.clone()),
        _ => None,
    })
}

pub fn begin(request: &str, previous: Option<&str>, budget: Option<u64>) -> SessionCall {
    SessionCall::Begin(begin_turn(request, previous, budget))
}

pub fn begin_turn(request: &str, previous: Option<&str>, budget: Option<u64>) -> BeginTurn {
    BeginTurn {
        program: ProgramId::from("p"),
        request: RequestId::from(request),
        previous: previous.map(RequestId::from),
        budget,
        max_tokens: 40,
        imported: Vec::new(),
        lease: TurnLease::default(),
    }
}

/// Renews the lease of a turn, with the same duration.
pub fn renew(request: &str, previous: &str, reserved_tokens: Option<u64>) -> SessionCall {
    SessionCall::Renew(RenewTurn {
        program: ProgramId::from("p"),
        request: RequestId::from(request),
        previous: Some(RequestId::from(previous)),
        reserved_tokens,
        lease: TurnLease::default(),
    })
}

/// Finishes a turn that is not stored, on a route with the shortest retention.
pub fn finish(request: &str, tokens: u64) -> SessionCall {
    finish_retained(request, tokens, 0)
}

/// Finishes a turn that is not stored.
pub fn finish_retained(request: &str, tokens: u64, retention_ms: u64) -> SessionCall {
    SessionCall::Finish(FinishTurn {
        program: ProgramId::from("p"),
        request: RequestId::from(request),
        tokens,
        stored_turn: None,
        retention_ms,
    })
}

pub fn turn(request: &str, previous: Option<&str>) -> Turn {
    Turn {
        request: RequestId::from(request),
        previous: previous.map(RequestId::from),
        input: Arc::from(request.as_bytes()),
        output: Arc::from(&b"out"[..]),
        retention_ms: 60_000,
        endpoint: None,
    }
}

pub fn finish_stored(request: &str, previous: Option<&str>) -> SessionCall {
    finish_turn(turn(request, previous))
}

/// Finishes a turn that is stored.
pub fn finish_turn(turn: Turn) -> SessionCall {
    SessionCall::Finish(FinishTurn {
        program: ProgramId::from("p"),
        request: turn.request.clone(),
        tokens: 1,
        retention_ms: turn.retention_ms,
        stored_turn: Some(turn),
    })
}

pub fn record(request: &str) -> Record {
    Record {
        program: ProgramId::from("p"),
        request: RequestId::from(request),
        tokens: 5,
        state: RecordState::Committed,
        turn: None,
        expires_at_ms: 100_000,
    }
}

pub fn write(epoch: u64) -> TransferRequest {
    TransferRequest::Write { partition: PARTITION, epoch: EpochNumber(epoch), records: vec![record("w")] }
}

pub const TURN_BEGUN: SessionReply = SessionReply::TurnBegun { chain: Vec::new() };
