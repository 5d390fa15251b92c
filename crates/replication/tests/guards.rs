//! Tests of guards that random faults seldom exercise, each with a sequence of messages that requires the
//! guard.

mod common;

use common::log::Log;
use common::network::address;
use juniperwing_clock::Time;
use juniperwing_protocol::replication::{Epoch, ReplicationBody, ReplicationMessage, Version, Voter};
use juniperwing_protocol::{DiskId, EpochNumber};
use juniperwing_replication::{
    AcceptorState, Command, Event, PersistToken, Record, Replica, ReplicatedState, Settings, Timings,
};

fn voter(number: u64) -> Voter {
    let node = format!("core-{number}");
    Voter { disk: DiskId(number), node: node.as_str().into(), address: address(number as usize) }
}

fn number(term: u64) -> EpochNumber {
    EpochNumber((term << 32) | 2)
}

/// The epoch of term `term` with voters 1, 2 and 3 and primary 2.
fn epoch(term: u64) -> Epoch {
    let voters = vec![voter(1), voter(2), voter(3)];
    let in_sync = vec![DiskId(2), DiskId(1), DiskId(3)];
    Epoch { number: number(term), primary: DiskId(2), in_sync, voters, previous_voters: Vec::new() }
}

fn version(term: u64, sequence: u64) -> Version {
    Version { epoch: number(term), sequence }
}

fn log(length: u64) -> Log {
    Log((1..=length).collect())
}

struct Keeper {
    replica: Replica<Log>,
    now: Time,
    pending_write: Option<PersistToken>,
}

impl Keeper {
    /// Keeper 1, which has accepted `accepted` and has seven entries of term 1 on disk.
    fn new(accepted: Epoch) -> Keeper {
        let settings = Settings {
            local_voter: voter(1),
            seeds: (1..=3).map(|number| voter(number).address).collect(),
            bootstrap: false,
            min_in_sync_replicas: 2,
            timings: Timings::default(),
        };
        let acceptor = AcceptorState { promised: accepted.number, accepted };
        let record = Record { acceptor, version: version(1, 7), state: log(7).encode().into() };
        let now = Time::from_nanos(1);
        let replica = Replica::new(now, settings, Some(record), Log::default(), 1).expect("a state");
        Keeper { replica, now, pending_write: None }
    }

    fn handle_event(&mut self, event: Event<Log>) -> Vec<ReplicationBody> {
        let mut sent = Vec::new();
        for command in self.replica.handle(self.now, event) {
            match command {
                Command::Send { message, .. } => sent.push(message.body),
                Command::Persist { token, .. } => self.pending_write = Some(token),
                _ => {}
            }
        }
        sent
    }

    fn receive(&mut self, from: u64, body: ReplicationBody) -> Vec<ReplicationBody> {
        let message = ReplicationMessage { from: DiskId(from), address: voter(from).address, body };
        self.handle_event(Event::Message(message))
    }

    fn complete_writes(&mut self) -> Vec<ReplicationBody> {
        let mut sent = Vec::new();
        while let Some(token) = self.pending_write.take() {
            sent.extend(self.handle_event(Event::Persisted(token)));
        }
        sent
    }

    /// Runs an election that all three keepers support; returns the number of the epoch.
    fn become_primary(&mut self) -> EpochNumber {
        let number = self.become_candidate();
        self.complete_writes();
        self.receive_promise(2, number, epoch(1));
        self.receive_promise(3, number, epoch(1));
        self.complete_writes();
        self.receive(2, ReplicationBody::Accepted { number });
        number
    }

    /// Lets the election timeout pass and grants the pre-vote; returns the number of the election.
    fn become_candidate(&mut self) -> EpochNumber {
        self.now = Time::from_nanos(10_000_000_000);
        let sent = self.handle_event(Event::Tick);
        let pre_vote = sent.iter().find_map(|body| match body {
            ReplicationBody::PreVote { number } => Some(*number),
            _ => None,
        });
        let number = pre_vote.expect("a pre-vote");
        let epoch = self.replica.epoch().clone();
        for from in 2..=5 {
            let granted = ReplicationBody::PreVoteReply { number, granted: true, epoch: epoch.clone() };
            self.receive(from, granted);
        }
        number
    }

    fn receive_promise(&mut self, from: u64, number: EpochNumber, accepted: Epoch) -> Vec<ReplicationBody> {
        self.receive(from, ReplicationBody::Promise { number, accepted, version: version(1, 7) })
    }
}

fn heartbeat(term: u64) -> ReplicationBody {
    ReplicationBody::Heartbeat { epoch: epoch(term), committed: Version::default(), round: 1 }
}

fn proposed_epoch(sent: &[ReplicationBody]) -> Option<&Epoch> {
    sent.iter().find_map(|body| match body {
        ReplicationBody::Accept { epoch } => Some(epoch),
        _ => None,
    })
}

fn acknowledges_write(sent: &[ReplicationBody]) -> bool {
    sent.iter().any(|body| matches!(body, ReplicationBody::WriteAck { .. }))
}

#[test]
fn write_of_the_old_primary_is_rejected_after_a_higher_promise() {
    let mut keeper = Keeper::new(epoch(1));
    keeper.receive(2, heartbeat(1));
    keeper.complete_writes();
    keeper.receive(3, ReplicationBody::Prepare { number: number(2) });
    let change = Log::encode_change(&8);
    let write =
        ReplicationBody::Write { epoch: number(1), base: version(1, 7), version: version(1, 8), change };
    let mut sent = keeper.receive(2, write);
    sent.extend(keeper.complete_writes());
    assert!(!acknowledges_write(&sent), "{sent:?}");
    assert!(sent.contains(&ReplicationBody::Rejected { promised: number(2) }));
    assert_eq!(keeper.replica.latest().version, version(1, 7));
}

#[test]
fn write_of_an_epoch_that_was_not_accepted_is_ignored() {
    let mut keeper = Keeper::new(epoch(1));
    let change = Log::encode_change(&8);
    let write =
        ReplicationBody::Write { epoch: number(2), base: version(1, 7), version: version(2, 8), change };
    let mut sent = keeper.receive(2, write);
    sent.extend(keeper.complete_writes());
    assert!(!acknowledges_write(&sent), "{sent:?}");
}

#[test]
fn version_that_is_not_durable_is_not_acknowledged() {
    let mut keeper = Keeper::new(epoch(1));
    keeper.receive(2, heartbeat(2));
    keeper.complete_writes();
    let state = log(6).encode();
    keeper.receive(2, ReplicationBody::Snapshot { epoch: number(2), version: version(1, 6), state });
    let sent = keeper.receive(2, heartbeat(3));
    let acknowledges = sent
        .iter()
        .any(|body| matches!(body, ReplicationBody::HeartbeatReply { version, .. } if version.is_some()));
    assert!(!acknowledges, "{sent:?}");
}

#[test]
fn late_snapshot_reverts_no_write_of_its_epoch() {
    let mut keeper = Keeper::new(epoch(2));
    keeper.receive(2, heartbeat(2));
    let change = Log::encode_change(&8);
    let write =
        ReplicationBody::Write { epoch: number(2), base: version(1, 7), version: version(2, 8), change };
    keeper.receive(2, write);
    let state = log(7).encode();
    keeper.receive(2, ReplicationBody::Snapshot { epoch: number(2), version: version(1, 7), state });
    assert_eq!(keeper.replica.latest().version, version(2, 8));
}

#[test]
fn candidate_proposes_only_after_its_own_promise_is_durable() {
    let mut keeper = Keeper::new(epoch(1));
    let number = keeper.become_candidate();
    let mut sent = keeper.receive_promise(2, number, epoch(1));
    sent.extend(keeper.receive_promise(3, number, epoch(1)));
    keeper.now = Time::from_nanos(10_300_000_000);
    sent.extend(keeper.handle_event(Event::Tick));
    assert_eq!(proposed_epoch(&sent), None);
    let sent = keeper.complete_writes();
    assert!(proposed_epoch(&sent).is_some_and(|epoch| epoch.number == number));
}

#[test]
fn successor_of_an_uncommitted_epoch_needs_the_previous_voters_and_keeps_the_voters() {
    let mut uncommitted = epoch(1);
    uncommitted.previous_voters = vec![voter(1), voter(4), voter(5)];
    let mut keeper = Keeper::new(uncommitted.clone());
    let number = keeper.become_candidate();
    let mut sent = keeper.complete_writes();
    sent.extend(keeper.receive_promise(2, number, uncommitted.clone()));
    sent.extend(keeper.receive_promise(3, number, uncommitted.clone()));
    keeper.now = Time::from_nanos(10_300_000_000);
    sent.extend(keeper.handle_event(Event::Tick));
    assert_eq!(proposed_epoch(&sent), None);
    keeper.receive_promise(4, number, uncommitted.clone());
    keeper.now = Time::from_nanos(10_500_000_000);
    let sent = keeper.handle_event(Event::Tick);
    let epoch = proposed_epoch(&sent).expect("a proposal");
    assert_eq!(epoch.voters, uncommitted.voters);
    assert_eq!(epoch.previous_voters, uncommitted.previous_voters);
}

#[test]
fn candidate_out_of_sync_in_a_higher_epoch_abandons_the_election() {
    let mut keeper = Keeper::new(epoch(1));
    let number = keeper.become_candidate();
    keeper.complete_writes();
    let mut higher = epoch(2);
    higher.in_sync = vec![DiskId(2), DiskId(3)];
    let mut sent = keeper.receive_promise(2, number, higher);
    sent.extend(keeper.receive_promise(3, number, epoch(1)));
    keeper.now = Time::from_nanos(10_300_000_000);
    sent.extend(keeper.handle_event(Event::Tick));
    assert_eq!(proposed_epoch(&sent), None);
}

#[test]
fn malformed_snapshot_is_ignored() {
    let mut keeper = Keeper::new(epoch(1));
    keeper.receive(2, heartbeat(2));
    keeper.complete_writes();
    let state = vec![1, 2, 3];
    keeper.receive(2, ReplicationBody::Snapshot { epoch: number(2), version: version(2, 8), state });
    assert_eq!(keeper.replica.latest().version, version(1, 7));
}

#[test]
fn change_of_voters_needs_the_previous_voters() {
    let mut keeper = Keeper::new(epoch(1));
    let first = keeper.become_primary();
    assert!(keeper.replica.is_primary());

    let newcomer = Voter { node: voter(3).node, ..voter(4) };
    keeper.receive(4, ReplicationBody::Join { voter: newcomer.clone() });
    let sent = keeper.receive(4, ReplicationBody::WriteAck { epoch: first, version: version(1, 7) });
    let second = sent.iter().find_map(|body| match body {
        ReplicationBody::Prepare { number } => Some(*number),
        _ => None,
    });
    let second = second.expect("an election");
    let committed = keeper.replica.epoch().clone();
    let mut sent = keeper.complete_writes();
    sent.extend(keeper.receive_promise(2, second, committed.clone()));
    sent.extend(keeper.receive_promise(3, second, committed));
    let epoch = proposed_epoch(&sent).expect("a proposal");
    assert_eq!(epoch.voters, vec![voter(1), voter(2), newcomer]);
    assert_eq!(epoch.previous_voters, vec![voter(1), voter(2), voter(3)]);
}

// Covers the check of `is_superseded` in `advance_primary` (`replica/primary.rs`). Without it, the primary
// would change the higher epoch as if it were its own, although its state lacks the changes acknowledged
// in that epoch.
#[test]
fn primary_steps_down_on_a_late_reply_with_a_higher_epoch() {
    let mut keeper = Keeper::new(epoch(1));
    let first = keeper.become_primary();
    assert!(!keeper.replica.epoch().voters.is_empty() && keeper.replica.epoch().number == first);
    let mut higher = epoch(9);
    higher.in_sync = vec![DiskId(2), DiskId(3)];
    let late = ReplicationBody::PreVoteReply { number: first, granted: true, epoch: higher.clone() };
    keeper.receive(3, late);
    // A joining keeper that has the primary's state would otherwise make it change its epoch.
    let newcomer = Voter { node: voter(3).node, ..voter(4) };
    let mut sent = keeper.receive(4, ReplicationBody::Join { voter: newcomer });
    sent.extend(keeper.receive(4, ReplicationBody::WriteAck { epoch: first, version: version(1, 7) }));
    sent.extend(keeper.complete_writes());
    assert!(!sent.iter().any(|body| matches!(body, ReplicationBody::Prepare { .. })), "{sent:?}");
    assert!(!keeper.replica.is_primary());
    assert_eq!(keeper.replica.epoch(), &higher);
}

// Covers the check of `is_shutting_down` in `must_request_join` (`replica/join.rs`): a keeper that shuts
// down does not request to join.
#[test]
fn keeper_that_shuts_down_sends_no_join_request() {
    let mut epoch_without_it = epoch(2);
    epoch_without_it.voters.retain(|other| other.disk != DiskId(1));
    epoch_without_it.in_sync.retain(|disk| *disk != DiskId(1));
    let mut keeper = Keeper::new(epoch(1));
    let sent = keeper.handle_event(Event::PrepareShutdown);
    assert!(sent.contains(&ReplicationBody::Leave));
    assert!(!keeper.replica.can_shut_down());
    keeper.receive(
        2,
        ReplicationBody::Heartbeat { epoch: epoch_without_it, committed: version(1, 7), round: 1 },
    );
    assert!(keeper.replica.can_shut_down());
    keeper.now = Time::from_nanos(20_000_000_000);
    let sent = keeper.handle_event(Event::Tick);
    assert!(!sent.iter().any(|body| matches!(body, ReplicationBody::Join { .. })), "{sent:?}");
}

// Covers the check of `can_drop_one_of` in `can_shut_down` (`replica/handover.rs`): one of four voters
// waits until it is no longer a voter, even if it is no longer in sync.
#[test]
fn keeper_with_a_surplus_vote_shuts_down_only_after_its_removal() {
    let mut four = epoch(2);
    four.voters.push(voter(4));
    four.in_sync.retain(|disk| *disk != DiskId(1));
    let mut keeper = Keeper::new(four);
    keeper.handle_event(Event::PrepareShutdown);
    assert!(!keeper.replica.can_shut_down());
    let mut three = epoch(3);
    three.voters = vec![voter(2), voter(3), voter(4)];
    three.in_sync = vec![DiskId(2), DiskId(3)];
    keeper.receive(2, ReplicationBody::Heartbeat { epoch: three, committed: version(1, 7), round: 1 });
    assert!(keeper.replica.can_shut_down());
}
