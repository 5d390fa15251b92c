//! Keepers whose links to the others are cut, in one direction or both, or whose peers take only part of what they
//! are told. One keeper is real; the two others are played by the test, so that messages can be held back.

mod keepers;

use juniperwing_protocol::registry::{Instance, InstanceState};
use juniperwing_protocol::subscription::SubscriberKind;

use keepers::{Gate, Keepers, Observer, Peer, configuration, heartbeat};

/// The real keeper where it is a backup: the founder, and first primary, is the keeper with the lowest address.
const BACKUP: usize = 2;
/// The real keeper where it is the first primary.
const PRIMARY: usize = 0;

fn set_gates(peers: &[Peer], gate: Gate) {
    peers.iter().for_each(|peer| peer.set_gate(gate));
}

async fn status_of_drain(keepers: &Keepers, keeper: usize, id: &str, sequence: u64) -> u16 {
    keepers.heartbeat(keeper, id, &heartbeat("draining", sequence)).await.expect("an answer").status
}

fn draining(id: &str, sequence: u64) -> Instance {
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

/// Guard: `Contact::has_majority` counts round trips. With what is heard in its place, the heartbeats are
/// acknowledged for ever.
#[tokio::test]
async fn a_keeper_that_hears_and_is_not_heard_acknowledges_nothing() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate::NO_INBOUND);
    keepers.until_heartbeat_status(BACKUP, 503).await;
    assert_eq!(status_of_drain(&keepers, BACKUP, "i-1", 2).await, 503);
    assert_eq!(keepers.delete(BACKUP, "i-1").await.unwrap().status, 503);
    assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
    set_gates(&peers, Gate::OPEN);
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("draining", 3)).await;
    assert!(peers.iter().any(|peer| peer.instance_state("i-1") == Some(InstanceState::Draining)));
}

#[tokio::test]
async fn a_keeper_that_is_heard_and_hears_nobody_acknowledges_nothing() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate::NO_OUTBOUND);
    keepers.until_heartbeat_status(BACKUP, 503).await;
    assert_eq!(status_of_drain(&keepers, BACKUP, "i-1", 2).await, 503);
    assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
}

/// Guard: a young keeper needs a majority as well; a primary that it hears is not enough.
#[tokio::test]
async fn a_keeper_that_has_just_started_and_is_not_heard_acknowledges_nothing() {
    let (mut keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    keepers.kill(BACKUP).await;
    set_gates(&peers, Gate::NO_INBOUND);
    keepers.restart(BACKUP).await;
    for sequence in 2..5 {
        let answer = keepers.heartbeat(BACKUP, "i-1", &heartbeat("ready", sequence)).await;
        assert_eq!(answer.unwrap().status, 503);
        // Takes as long as the keeper waits for a primary.
        assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
    }
    set_gates(&peers, Gate::OPEN);
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("ready", 5)).await;
}

/// Has one real keeper cut off by `gate` while the others take another configuration, and a relay subscribe to it
/// meanwhile. The relay must be told nothing until the cut is over, and then the newer configuration only.
async fn a_relay_subscribes_while_cut_off(real: usize, gate: Gate) {
    let (keepers, peers) = Keepers::start_among_peers(real).await;
    if real == PRIMARY {
        assert_eq!(keepers.put(real, 0, &configuration(3)).await.status, 200);
    } else {
        peers[0].until_primary().await;
        peers[0].propose(0, &configuration(3));
    }
    let mut before = Observer::subscribe(keepers.internal(real), SubscriberKind::Relay);
    before.until_configuration(&configuration(3)).await;
    set_gates(&peers, gate);
    let relay = Observer::subscribe(keepers.internal(real), SubscriberKind::Relay);
    // The order waits for a primary that can be reached, so the relay has had time to be told something.
    keepers.until_heartbeat_status(real, 503).await;
    assert_eq!(keepers.try_get(real).await.unwrap().status, 503);
    let primary = tokio::select! {
        () = peers[0].until_primary() => &peers[0],
        () = peers[1].until_primary() => &peers[1],
    };
    primary.propose(3, &configuration(4));
    primary.until_configuration(4).await;
    let mut later = Observer::subscribe(keepers.internal(real), SubscriberKind::Relay);
    assert_eq!(keepers.try_get(real).await.unwrap().status, 503);
    assert_eq!((relay.updates(), later.updates()), (0, 0));
    set_gates(&peers, Gate::OPEN);
    later.until_configuration(&configuration(4)).await;
    assert_eq!(later.configurations(), [configuration(4)]);
    before.until_configuration(&configuration(4)).await;
    assert_eq!(before.configurations(), [configuration(3), configuration(4)]);
}

/// Guard: subscriptions wait for a confirmation (`SubscriptionStage::Unconfirmed`).
#[tokio::test]
async fn a_backup_that_is_cut_off_tells_a_new_relay_nothing() {
    a_relay_subscribes_while_cut_off(BACKUP, Gate::CLOSED).await;
}

#[tokio::test]
async fn a_backup_that_hears_nobody_tells_a_new_relay_nothing() {
    a_relay_subscribes_while_cut_off(BACKUP, Gate::NO_OUTBOUND).await;
}

#[tokio::test]
async fn a_primary_that_is_cut_off_tells_a_new_relay_nothing() {
    a_relay_subscribes_while_cut_off(PRIMARY, Gate::CLOSED).await;
}

#[tokio::test]
async fn a_store_is_told_no_map_by_a_keeper_that_is_cut_off() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate::CLOSED);
    keepers.until_heartbeat_status(BACKUP, 503).await;
    let disk = juniperwing_protocol::DiskId(7);
    let store = Observer::subscribe(keepers.internal(BACKUP), SubscriberKind::Store { disk });
    assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
    assert_eq!(store.updates(), 0);
    set_gates(&peers, Gate::OPEN);
    store.until_updated().await;
}

/// Guard: an end is acknowledged only with a majority (`is_propagated_to_enough`). Here the others answer all but that.
#[tokio::test]
async fn a_drain_that_no_other_keeper_takes_is_refused() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate { accepts_instances: false, ..Gate::OPEN });
    assert_eq!(status_of_drain(&keepers, BACKUP, "i-1", 2).await, 503);
    assert_eq!(keepers.delete(BACKUP, "i-1").await.unwrap().status, 503);
    set_gates(&peers, Gate::OPEN);
    keepers.until_deleted(BACKUP, "i-1").await;
    assert!(peers.iter().any(|peer| peer.instance_state("i-1") == Some(InstanceState::Terminated)));
}

/// Guard: `InstancesMerged::applied`. A keeper whose relays lack the end has taken it and does not confirm it.
#[tokio::test]
async fn a_drain_that_relays_of_the_other_keepers_lack_is_refused() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    set_gates(&peers, Gate { confirms_instances: false, ..Gate::OPEN });
    assert_eq!(status_of_drain(&keepers, BACKUP, "i-1", 2).await, 503);
    set_gates(&peers, Gate::OPEN);
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("draining", 3)).await;
}

#[tokio::test]
async fn a_drain_needs_only_one_of_the_two_others() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    peers[0].set_gate(Gate { accepts_instances: false, ..Gate::OPEN });
    assert_eq!(status_of_drain(&keepers, BACKUP, "i-1", 2).await, 200);
    assert_eq!(peers[1].instance_state("i-1"), Some(InstanceState::Draining));
}

/// Guard: `Controller::propagate` has an end confirmed also where it is known here already. Without it, an end that some
/// other keeper took and could not spread would be acknowledged on the word of this keeper alone.
#[tokio::test]
async fn an_end_that_is_known_here_is_refused_until_a_majority_has_it() {
    let (keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    // Acknowledged, so nothing is left that the others have not confirmed.
    keepers.until_heartbeat(BACKUP, "i-0", &heartbeat("draining", 1)).await;
    set_gates(&peers, Gate { accepts_instances: false, ..Gate::OPEN });
    peers[0].send_instance(keepers.internal(BACKUP), draining("i-1", 2)).await;
    assert_eq!(status_of_drain(&keepers, BACKUP, "i-1", 2).await, 503);
    assert_eq!(status_of_drain(&keepers, BACKUP, "i-1", 3).await, 503);
    set_gates(&peers, Gate::OPEN);
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("draining", 4)).await;
}

/// Guard: the wait for this keeper's own relays ends with 503, not with an acknowledgement.
#[tokio::test]
async fn a_drain_that_a_subscribed_relay_lacks_is_refused_until_its_link_is_gone() {
    let keepers = Keepers::start(1).await;
    keepers.until_heartbeat(0, "i-1", &heartbeat("ready", 1)).await;
    let relay = Observer::subscribe_stuck(keepers.internal(0));
    relay.until_updated().await;
    assert_eq!(status_of_drain(&keepers, 0, "i-1", 2).await, 503);
    assert_eq!(keepers.delete(0, "i-1").await.unwrap().status, 503);
    relay.close();
    keepers.until_deleted(0, "i-1").await;
}

/// Has a keeper stand still while the others take another configuration and a relay subscribes to it. Once it goes
/// on, the relay must not be told the older configuration, which the keeper still takes for current.
async fn a_relay_subscribes_to_a_frozen_keeper(frozen: usize) {
    let keepers = Keepers::start(3).await;
    let other = (frozen + 1) % 3;
    assert_eq!(keepers.put(other, 0, &configuration(3)).await.status, 200);
    let mut before = Observer::subscribe(keepers.internal(frozen), SubscriberKind::Relay);
    before.until_configuration(&configuration(3)).await;
    let stands_still = keepers.freeze(frozen).await;
    assert_eq!(keepers.put(other, 3, &configuration(4)).await.status, 200);
    let mut relay = Observer::subscribe(keepers.internal(frozen), SubscriberKind::Relay);
    relay.until_subscribed().await;
    drop(stands_still);
    relay.until_configuration(&configuration(4)).await;
    assert_eq!(relay.configurations(), [configuration(4)]);
}

/// Guard: subscriptions wait for a confirmation (`SubscriptionStage::Unconfirmed`).
#[tokio::test]
async fn a_primary_that_stood_still_tells_a_new_relay_nothing_old() {
    a_relay_subscribes_to_a_frozen_keeper(PRIMARY).await;
}

#[tokio::test]
async fn a_backup_that_stood_still_tells_a_new_relay_nothing_old() {
    a_relay_subscribes_to_a_frozen_keeper(BACKUP).await;
}

/// Guard: `Controller::is_committed_state_current` asks whether this keeper votes. The others answer one that does not, and its committed
/// state may be current, but nobody tells it of endpoints.
#[tokio::test]
async fn a_keeper_that_is_no_voter_tells_a_new_relay_nothing() {
    let (mut keepers, peers) = Keepers::start_among_peers(BACKUP).await;
    keepers.until_heartbeat(BACKUP, "i-1", &heartbeat("ready", 1)).await;
    keepers.kill(BACKUP).await;
    keepers.wipe(BACKUP);
    set_gates(&peers, Gate { accepts_joins: false, ..Gate::OPEN });
    keepers.restart(BACKUP).await;
    // The others answer it, so what it hears is passed on.
    keepers.until_heartbeat(BACKUP, "i-2", &heartbeat("ready", 1)).await;
    let relay = Observer::subscribe(keepers.internal(BACKUP), SubscriberKind::Relay);
    relay.until_subscribed().await;
    assert_eq!(keepers.try_get(BACKUP).await.unwrap().status, 503);
    assert_eq!(relay.updates(), 0);
    set_gates(&peers, Gate::OPEN);
    relay.until_updated().await;
}
