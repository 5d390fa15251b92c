//! Guards that a random play seldom needs, each against the messages that need it.

mod common;

use common::address;
use common::log::Log;
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

fn number(round: u64) -> EpochNumber {
    EpochNumber((round << 32) | 2)
}

/// An epoch of keepers 1, 2 and 3 whose primary is 2.
fn epoch(round: u64) -> Epoch {
    let voters = vec![voter(1), voter(2), voter(3)];
    let in_sync = vec![DiskId(2), DiskId(1), DiskId(3)];
    Epoch { number: number(round), primary: DiskId(2), in_sync, voters, previous_voters: Vec::new() }
}

fn version(round: u64, sequence: u64) -> Version {
    Version { epoch: number(round), sequence }
}

fn log(length: u64) -> Log {
    Log((1..=length).collect())
}

struct Keeper {
    replica: Replica<Log>,
    now: Time,
    writing: Option<PersistToken>,
}

impl Keeper {
    /// Keeper 1, which has accepted `accepted` and holds seven entries of round 1.
    fn new(accepted: Epoch) -> Keeper {
        let settings = Settings {
            local_voter: voter(1),
            seeds: (1..=3).map(|number| voter(number).address).collect(),
            bootstrap: false,
            min_in_sync_replicas: 2,
            timings: Timings::default(),
        };
        let ballot = AcceptorState { promised: accepted.number, accepted };
        let record = Record { acceptor: ballot, version: version(1, 7), state: log(7).encode().into() };
        let now = Time::from_nanos(1);
        let replica = Replica::new(now, settings, Some(record), Log::default(), 1).expect("a state");
        Keeper { replica, now, writing: None }
    }

    fn hand(&mut self, event: Event<Log>) -> Vec<ReplicationBody> {
        let mut said = Vec::new();
        for command in self.replica.handle(self.now, event) {
            match command {
                Command::Send { message, .. } => said.push(message.body),
                Command::Persist { token, .. } => self.writing = Some(token),
                _ => {}
            }
        }
        said
    }

    fn hear(&mut self, from: u64, body: ReplicationBody) -> Vec<ReplicationBody> {
        let message = ReplicationMessage { from: DiskId(from), address: voter(from).address, body };
        self.hand(Event::Message(message))
    }

    fn sync(&mut self) -> Vec<ReplicationBody> {
        let mut said = Vec::new();
        while let Some(token) = self.writing.take() {
            said.extend(self.hand(Event::Persisted(token)));
        }
        said
    }

    /// Elected by all three keepers, in the epoch that is returned.
    fn become_primary(&mut self) -> EpochNumber {
        let number = self.become_candidate();
        self.sync();
        self.promise(2, number, epoch(1));
        self.promise(3, number, epoch(1));
        self.sync();
        self.hear(2, ReplicationBody::Accepted { number });
        number
    }

    /// Lets time pass until it seeks office and has been let through; its number.
    fn become_candidate(&mut self) -> EpochNumber {
        self.now = Time::from_nanos(10_000_000_000);
        let said = self.hand(Event::Tick);
        let canvass = said.iter().find_map(|body| match body {
            ReplicationBody::PreVote { number } => Some(*number),
            _ => None,
        });
        let number = canvass.expect("a canvass");
        let epoch = self.replica.epoch().clone();
        for from in 2..=5 {
            let granted = ReplicationBody::PreVoteReply { number, granted: true, epoch: epoch.clone() };
            self.hear(from, granted);
        }
        number
    }

    fn promise(&mut self, from: u64, number: EpochNumber, accepted: Epoch) -> Vec<ReplicationBody> {
        self.hear(from, ReplicationBody::Promise { number, accepted, version: version(1, 7) })
    }
}

fn heartbeat(round: u64) -> ReplicationBody {
    ReplicationBody::Heartbeat { epoch: epoch(round), committed: Version::default(), round: 1 }
}

fn proposal(said: &[ReplicationBody]) -> Option<&Epoch> {
    said.iter().find_map(|body| match body {
        ReplicationBody::Accept { epoch } => Some(epoch),
        _ => None,
    })
}

fn confirms(said: &[ReplicationBody]) -> bool {
    said.iter().any(|body| matches!(body, ReplicationBody::WriteAck { .. }))
}

#[test]
fn who_promised_a_higher_number_takes_no_write_of_the_old_primary() {
    let mut keeper = Keeper::new(epoch(1));
    keeper.hear(2, heartbeat(1));
    keeper.sync();
    keeper.hear(3, ReplicationBody::Prepare { number: number(2) });
    let change = Log::encode_change(&8);
    let write =
        ReplicationBody::Write { epoch: number(1), base: version(1, 7), version: version(1, 8), change };
    let mut said = keeper.hear(2, write);
    said.extend(keeper.sync());
    assert!(!confirms(&said), "{said:?}");
    assert!(said.contains(&ReplicationBody::Rejected { promised: number(2) }));
    assert_eq!(keeper.replica.latest().version, version(1, 7));
}

#[test]
fn a_write_of_an_epoch_that_was_not_accepted_is_not_taken() {
    let mut keeper = Keeper::new(epoch(1));
    let change = Log::encode_change(&8);
    let write =
        ReplicationBody::Write { epoch: number(2), base: version(1, 7), version: version(2, 8), change };
    let mut said = keeper.hear(2, write);
    said.extend(keeper.sync());
    assert!(!confirms(&said), "{said:?}");
}

#[test]
fn a_version_that_is_being_replaced_on_disk_is_not_claimed() {
    let mut keeper = Keeper::new(epoch(1));
    keeper.hear(2, heartbeat(2));
    keeper.sync();
    let state = log(6).encode();
    keeper.hear(2, ReplicationBody::Snapshot { epoch: number(2), version: version(1, 6), state });
    let said = keeper.hear(2, heartbeat(3));
    let claims = said
        .iter()
        .any(|body| matches!(body, ReplicationBody::HeartbeatReply { version, .. } if version.is_some()));
    assert!(!claims, "{said:?}");
}

#[test]
fn a_snapshot_that_comes_late_undoes_no_write_of_its_epoch() {
    let mut keeper = Keeper::new(epoch(2));
    keeper.hear(2, heartbeat(2));
    let change = Log::encode_change(&8);
    let write =
        ReplicationBody::Write { epoch: number(2), base: version(1, 7), version: version(2, 8), change };
    keeper.hear(2, write);
    let state = log(7).encode();
    keeper.hear(2, ReplicationBody::Snapshot { epoch: number(2), version: version(1, 7), state });
    assert_eq!(keeper.replica.latest().version, version(2, 8));
}

#[test]
fn a_candidate_proposes_nothing_before_its_own_promise_is_on_disk() {
    let mut keeper = Keeper::new(epoch(1));
    let number = keeper.become_candidate();
    let mut said = keeper.promise(2, number, epoch(1));
    said.extend(keeper.promise(3, number, epoch(1)));
    keeper.now = Time::from_nanos(10_300_000_000);
    said.extend(keeper.hand(Event::Tick));
    assert_eq!(proposal(&said), None);
    let said = keeper.sync();
    assert!(proposal(&said).is_some_and(|epoch| epoch.number == number));
}

#[test]
fn what_follows_an_unsettled_epoch_needs_the_voters_before_it_and_keeps_its_own() {
    let mut unsettled = epoch(1);
    unsettled.previous_voters = vec![voter(1), voter(4), voter(5)];
    let mut keeper = Keeper::new(unsettled.clone());
    let number = keeper.become_candidate();
    let mut said = keeper.sync();
    said.extend(keeper.promise(2, number, unsettled.clone()));
    said.extend(keeper.promise(3, number, unsettled.clone()));
    keeper.now = Time::from_nanos(10_300_000_000);
    said.extend(keeper.hand(Event::Tick));
    assert_eq!(proposal(&said), None);
    keeper.promise(4, number, unsettled.clone());
    keeper.now = Time::from_nanos(10_500_000_000);
    let said = keeper.hand(Event::Tick);
    let epoch = proposal(&said).expect("a proposal");
    assert_eq!(epoch.voters, unsettled.voters);
    assert_eq!(epoch.previous_voters, unsettled.previous_voters);
}

#[test]
fn a_candidate_outside_the_in_sync_set_of_a_higher_epoch_gives_up() {
    let mut keeper = Keeper::new(epoch(1));
    let number = keeper.become_candidate();
    keeper.sync();
    let mut higher = epoch(2);
    higher.in_sync = vec![DiskId(2), DiskId(3)];
    let mut said = keeper.promise(2, number, higher);
    said.extend(keeper.promise(3, number, epoch(1)));
    keeper.now = Time::from_nanos(10_300_000_000);
    said.extend(keeper.hand(Event::Tick));
    assert_eq!(proposal(&said), None);
}

#[test]
fn bytes_that_are_no_state_are_not_taken() {
    let mut keeper = Keeper::new(epoch(1));
    keeper.hear(2, heartbeat(2));
    keeper.sync();
    let state = vec![1, 2, 3];
    keeper.hear(2, ReplicationBody::Snapshot { epoch: number(2), version: version(2, 8), state });
    assert_eq!(keeper.replica.latest().version, version(1, 7));
}

#[test]
fn a_change_of_voters_needs_the_voters_before_it() {
    let mut keeper = Keeper::new(epoch(1));
    let first = keeper.become_primary();
    assert!(keeper.replica.is_primary());

    let newcomer = Voter { node: voter(3).node, ..voter(4) };
    keeper.hear(4, ReplicationBody::Join { voter: newcomer.clone() });
    let said = keeper.hear(4, ReplicationBody::WriteAck { epoch: first, version: version(1, 7) });
    let second = said.iter().find_map(|body| match body {
        ReplicationBody::Prepare { number } => Some(*number),
        _ => None,
    });
    let second = second.expect("an election");
    let settled = keeper.replica.epoch().clone();
    let mut said = keeper.sync();
    said.extend(keeper.promise(2, second, settled.clone()));
    said.extend(keeper.promise(3, second, settled));
    let epoch = proposal(&said).expect("a proposal");
    assert_eq!(epoch.voters, vec![voter(1), voter(2), newcomer]);
    assert_eq!(epoch.previous_voters, vec![voter(1), voter(2), voter(3)]);
}

// Guard: `primary.rs`, `advance_primary`, `is_over`. Without it, the primary would change the higher epoch as if it
// were its own, and take office with a state that lacks what was acknowledged there.
#[test]
fn a_primary_that_hears_of_a_higher_epoch_late_leaves_office() {
    let mut keeper = Keeper::new(epoch(1));
    let first = keeper.become_primary();
    assert!(!keeper.replica.epoch().voters.is_empty() && keeper.replica.epoch().number == first);
    let mut higher = epoch(9);
    higher.in_sync = vec![DiskId(2), DiskId(3)];
    let late = ReplicationBody::PreVoteReply { number: first, granted: true, epoch: higher.clone() };
    keeper.hear(3, late);
    // A newcomer that holds its state would make it change its epoch.
    let newcomer = Voter { node: voter(3).node, ..voter(4) };
    let mut said = keeper.hear(4, ReplicationBody::Join { voter: newcomer });
    said.extend(keeper.hear(4, ReplicationBody::WriteAck { epoch: first, version: version(1, 7) }));
    said.extend(keeper.sync());
    assert!(!said.iter().any(|body| matches!(body, ReplicationBody::Prepare { .. })), "{said:?}");
    assert!(!keeper.replica.is_primary());
    assert_eq!(keeper.replica.epoch(), &higher);
}

// Guard: `follower.rs`, `must_ask`, `retires`: one that ends does not ask to be let in again.
#[test]
fn a_keeper_that_ends_asks_for_no_vote() {
    let mut without = epoch(2);
    without.voters.retain(|other| other.disk != DiskId(1));
    without.in_sync.retain(|disk| *disk != DiskId(1));
    let mut keeper = Keeper::new(epoch(1));
    let said = keeper.hand(Event::PrepareShutdown);
    assert!(said.contains(&ReplicationBody::Leave));
    assert!(!keeper.replica.can_shut_down());
    keeper.hear(2, ReplicationBody::Heartbeat { epoch: without, committed: version(1, 7), round: 1 });
    assert!(keeper.replica.can_shut_down());
    keeper.now = Time::from_nanos(20_000_000_000);
    let said = keeper.hand(Event::Tick);
    assert!(!said.iter().any(|body| matches!(body, ReplicationBody::Join { .. })), "{said:?}");
}

// Guard: `replica.rs`, `may_end`, `may_drop_one_of`: one of four voters is waited for until its vote is gone, even
// if its copy counts no more.
#[test]
fn a_keeper_whose_vote_counts_in_vain_waits_until_it_is_gone() {
    let mut four = epoch(2);
    four.voters.push(voter(4));
    four.in_sync.retain(|disk| *disk != DiskId(1));
    let mut keeper = Keeper::new(four);
    keeper.hand(Event::PrepareShutdown);
    assert!(!keeper.replica.can_shut_down());
    let mut three = epoch(3);
    three.voters = vec![voter(2), voter(3), voter(4)];
    three.in_sync = vec![DiskId(2), DiskId(3)];
    keeper.hear(2, ReplicationBody::Heartbeat { epoch: three, committed: version(1, 7), round: 1 });
    assert!(keeper.replica.can_shut_down());
}
