//! Keepers under one-way and two-way network partitions, or whose peers accept only some messages. One keeper is real;
//! the test simulates the other two and can block messages between them and the real one.

mod keepers;
mod loopback;

use juniperwing_protocol::registry::{Instance, InstanceState};
use juniperwing_protocol::subscription::SubscriberKind;

use keepers::{Gate, Keepers, Observer, Peer, configuration, heartbeat};

/// The real keeper as a backup: the bootstrap coordinator, and first primary, is the keeper with the lowest address.
const BACKUP: usize = 2;
/// The real keeper as the first primary.
const PRIMARY: usize = 0;

fn set_gates(peers: &[Peer], gate: Gate) {
    peers.iter().for_each(|peer| peer.set_gate(gate));
}

async fn primary_among(peers: &[Peer]) -> &Peer {
    tokio::select! {
        () = peers[0].wait_until_primary() => &peers[0],
        () = peers[1].wait_until_primary() => &peers[1],
    }
}

/// Waits until a peer is primary. If this test's thread is not scheduled for over half a second, another keeper wins an
/// election; if that is the real one, it is partitioned until a peer has replaced it.
async fn wait_for_primary_among(peers: &[Peer]) -> &Peer {
    tokio::select! {
        primary = primary_among(peers) => return primary,
        () = peers[0].wait_until_real_keeper_leads() => set_gates(peers, Gate::CLOSED),
    }
    let primary = primary_among(peers).await;
    set_gates(peers, Gate::OPEN);
    primary
}

async fn drain_status(keepers: &Keepers, keeper: usize, id: &str, sequence: u64) -> u16 {
    keepers.heartbeat(keeper, id, &heartbeat("draining", sequence)).await.expect("a response").status
}

fn draining_instance(id: &str, sequence: u64) -> Instance {
    Instance {
        id: id.into(),
        service: "b".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".into(),
        capacity: 4,
        state: InstanceState::Draining,
        sequence,
    }
}

/// `Contact::has_majority` counts round trips. If received messages counted, the heartbeats would be
/// acknowledged indefinitely.
#[tokio::test]
async fn a_keeper_whose_messages_are_lost_acknowledges_nothing() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate::NO_INBOUND);
    keepers.heartbeat_until_status(BACKUP, 503).await;
    assert_eq!(drain_status(&keepers, BACKUP, "i-1", 2).await, 503);
    assert_eq!(keepers.delete(BACKUP, "i-1").await.unwrap().status, 503);
    assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
    set_gates(&peers, Gate::OPEN);
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("draining", 3)).await;
    assert!(peers.iter().any(|peer| peer.instance_state("i-1") == Some(InstanceState::Draining)));
}

#[tokio::test]
async fn a_keeper_that_receives_no_messages_acknowledges_nothing() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate::NO_OUTBOUND);
    keepers.heartbeat_until_status(BACKUP, 503).await;
    assert_eq!(drain_status(&keepers, BACKUP, "i-1", 2).await, 503);
    assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
}

/// A keeper that has just started needs a majority as well; receiving messages of a primary is not enough.
#[tokio::test]
async fn a_restarted_keeper_whose_messages_are_lost_acknowledges_nothing() {
    let (mut keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    keepers.kill(BACKUP).await;
    set_gates(&peers, Gate::NO_INBOUND);
    keepers.restart(BACKUP).await;
    for sequence in 2..5 {
        let response = keepers.heartbeat(BACKUP, "i-1", &heartbeat("ready", sequence)).await;
        assert_eq!(response.unwrap().status, 503);
        // Takes as long as the keeper waits for a primary.
        assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
    }
    set_gates(&peers, Gate::OPEN);
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("ready", 5)).await;
}

/// Partitions the real keeper by `gate` while the others accept another configuration, and subscribes a relay to it
/// during the partition. The relay must be sent nothing until the partition ends, and then only the newer
/// configuration.
async fn subscribe_relay_during_partition(real: usize, gate: Gate) {
    let (keepers, peers) = Keepers::start_among_peers(real).await;
    if real == PRIMARY {
        assert_eq!(keepers.put(real, 0, &configuration(3)).await.status, 200);
    } else {
        wait_for_primary_among(&peers).await.propose(0, &configuration(3));
    }
    let mut before = Observer::subscribe(keepers.internal(real), SubscriberKind::Relay);
    before.wait_for_configuration(&configuration(3)).await;
    set_gates(&peers, gate);
    let relay = Observer::subscribe(keepers.internal(real), SubscriberKind::Relay);
    // The order waits for a reachable primary, which leaves time for an update to reach the relay.
    keepers.heartbeat_until_status(real, 503).await;
    assert_eq!(keepers.try_get(real).await.unwrap().status, 503);
    let primary = primary_among(&peers).await;
    primary.propose(3, &configuration(4));
    primary.wait_for_configuration(4).await;
    let mut later = Observer::subscribe(keepers.internal(real), SubscriberKind::Relay);
    assert_eq!(keepers.try_get(real).await.unwrap().status, 503);
    assert_eq!((relay.updates(), later.updates()), (0, 0));
    set_gates(&peers, Gate::OPEN);
    later.wait_for_configuration(&configuration(4)).await;
    assert_eq!(later.configurations(), [configuration(4)]);
    before.wait_for_configuration(&configuration(4)).await;
    assert_eq!(before.configurations(), [configuration(3), configuration(4)]);
}

/// New subscriptions wait for confirmation (`SubscriptionStage::Unconfirmed`).
#[tokio::test]
async fn a_partitioned_backup_sends_nothing_to_a_new_relay() {
    subscribe_relay_during_partition(BACKUP, Gate::CLOSED).await;
}

#[tokio::test]
async fn a_backup_that_receives_no_messages_sends_nothing_to_a_new_relay() {
    subscribe_relay_during_partition(BACKUP, Gate::NO_OUTBOUND).await;
}

#[tokio::test]
async fn a_partitioned_primary_sends_nothing_to_a_new_relay() {
    subscribe_relay_during_partition(PRIMARY, Gate::CLOSED).await;
}

#[tokio::test]
async fn a_partitioned_keeper_sends_no_store_map_to_a_new_store() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate::CLOSED);
    keepers.heartbeat_until_status(BACKUP, 503).await;
    let disk = juniperwing_protocol::DiskId(7);
    let store = Observer::subscribe(keepers.internal(BACKUP), SubscriberKind::Store { disk });
    assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
    assert_eq!(store.updates(), 0);
    set_gates(&peers, Gate::OPEN);
    store.wait_for_update().await;
}

/// A drain is acknowledged only when a majority has recorded it (`is_propagated_to_quorum`). The other keepers reply to
/// everything except instances.
#[tokio::test]
async fn a_drain_that_no_other_keeper_records_is_rejected() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate { accepts_instances: false, ..Gate::OPEN });
    assert_eq!(drain_status(&keepers, BACKUP, "i-1", 2).await, 503);
    assert_eq!(keepers.delete(BACKUP, "i-1").await.unwrap().status, 503);
    set_gates(&peers, Gate::OPEN);
    keepers.delete_until_accepted(BACKUP, "i-1").await;
    assert!(peers.iter().any(|peer| peer.instance_state("i-1") == Some(InstanceState::Terminated)));
}

/// A keeper whose relays have not applied the drain records it, but replies with `InstancesMerged::applied` unset.
#[tokio::test]
async fn a_drain_that_relays_of_other_keepers_have_not_applied_is_rejected() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate { confirms_instances: false, ..Gate::OPEN });
    assert_eq!(drain_status(&keepers, BACKUP, "i-1", 2).await, 503);
    set_gates(&peers, Gate::OPEN);
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("draining", 3)).await;
}

#[tokio::test]
async fn a_drain_needs_the_confirmation_of_only_one_of_two_other_keepers() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    peers[0].set_gate(Gate { accepts_instances: false, ..Gate::OPEN });
    assert_eq!(drain_status(&keepers, BACKUP, "i-1", 2).await, 200);
    assert_eq!(peers[1].instance_state("i-1"), Some(InstanceState::Draining));
}

/// `Controller::propagate` requests confirmation of a drain that is already known here. Otherwise this keeper alone
/// would acknowledge a drain that another keeper recorded and could not propagate.
#[tokio::test]
async fn a_known_drain_is_rejected_until_a_majority_has_recorded_it() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    // Acknowledged, so the others have confirmed everything.
    keepers.heartbeat_until_accepted(BACKUP, "i-0", &heartbeat("draining", 1)).await;
    set_gates(&peers, Gate { accepts_instances: false, ..Gate::OPEN });
    peers[0].send_instance(keepers.internal(BACKUP), draining_instance("i-1", 2)).await;
    assert_eq!(drain_status(&keepers, BACKUP, "i-1", 2).await, 503);
    assert_eq!(drain_status(&keepers, BACKUP, "i-1", 3).await, 503);
    set_gates(&peers, Gate::OPEN);
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("draining", 4)).await;
}

/// When the wait for this keeper's own relays times out, the response is 503, not an acknowledgement.
#[tokio::test]
async fn a_drain_that_a_subscribed_relay_has_not_applied_is_rejected_until_its_link_closes() {
    let keepers = Keepers::start(1).await;
    keepers.heartbeat_until_accepted(0, "i-1", &heartbeat("ready", 1)).await;
    let relay = Observer::subscribe_without_confirming(keepers.internal(0));
    relay.wait_for_update().await;
    assert_eq!(drain_status(&keepers, 0, "i-1", 2).await, 503);
    assert_eq!(keepers.delete(0, "i-1").await.unwrap().status, 503);
    relay.close();
    keepers.delete_until_accepted(0, "i-1").await;
}

/// Freezes a keeper while the others accept another configuration and a relay subscribes to the frozen one. When it
/// resumes, it must not send the relay the older configuration, which it still considers current.
async fn subscribe_relay_to_frozen_keeper(frozen: usize) {
    let keepers = Keepers::start(3).await;
    let other = (frozen + 1) % 3;
    assert_eq!(keepers.put(other, 0, &configuration(3)).await.status, 200);
    let mut before = Observer::subscribe(keepers.internal(frozen), SubscriberKind::Relay);
    before.wait_for_configuration(&configuration(3)).await;
    let frozen_guard = keepers.freeze(frozen).await;
    assert_eq!(keepers.put(other, 3, &configuration(4)).await.status, 200);
    let mut relay = Observer::subscribe(keepers.internal(frozen), SubscriberKind::Relay);
    relay.wait_until_subscribed().await;
    drop(frozen_guard);
    relay.wait_for_configuration(&configuration(4)).await;
    assert_eq!(relay.configurations(), [configuration(4)]);
}

/// New subscriptions wait for confirmation (`SubscriptionStage::Unconfirmed`).
#[tokio::test]
async fn a_primary_that_was_frozen_sends_no_stale_state_to_a_new_relay() {
    subscribe_relay_to_frozen_keeper(PRIMARY).await;
}

#[tokio::test]
async fn a_backup_that_was_frozen_sends_no_stale_state_to_a_new_relay() {
    subscribe_relay_to_frozen_keeper(BACKUP).await;
}

/// `Controller::is_committed_state_current` checks that this keeper is a voter. The other keepers reply to a non-voter,
/// and its committed state may be current, but none of them sends it endpoints.
#[tokio::test]
async fn a_keeper_that_is_not_a_voter_sends_nothing_to_a_new_relay() {
    let (mut keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.heartbeat_until_accepted(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    keepers.kill(BACKUP).await;
    keepers.wipe(BACKUP);
    set_gates(&peers, Gate { accepts_joins: false, ..Gate::OPEN });
    keepers.restart(BACKUP).await;
    // The others reply, so its own heartbeats are acknowledged.
    keepers.heartbeat_until_accepted(BACKUP, "i-2", &heartbeat("ready", 1)).await;
    let relay = Observer::subscribe(keepers.internal(BACKUP), SubscriberKind::Relay);
    relay.wait_until_subscribed().await;
    assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
    assert_eq!(relay.updates(), 0);
    set_gates(&peers, Gate::OPEN);
    relay.wait_for_update().await;
}
