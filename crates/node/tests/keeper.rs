//! Keepers on loopback addresses: a single keeper, and three keepers that tolerate the loss of one.

mod keepers;
mod loopback;

use juniperwing_protocol::DiskId;
use juniperwing_protocol::registry::InstanceState;
use juniperwing_protocol::subscription::SubscriberKind;

use keepers::{Keepers, Observer, configuration, heartbeat};

#[tokio::test]
async fn one_keeper_accepts_a_first_configuration_and_returns_it() {
    let keepers = Keepers::start(1).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    let read = keepers.get(0).await;
    assert_eq!((read.status, read.body), (200, configuration(3)));
}

#[tokio::test]
async fn a_repeated_order_is_acknowledged_after_later_orders() {
    let keepers = Keepers::start(1).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    assert_eq!(keepers.put(0, 3, &configuration(7)).await.status, 200);
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    assert_eq!(keepers.get(0).await.body, configuration(7));
}

#[tokio::test]
async fn an_order_with_a_base_other_than_the_current_generation_is_stale() {
    let keepers = Keepers::start(1).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    assert_eq!(keepers.put(0, 0, &configuration(4)).await.status, 412);
    assert_eq!(keepers.get(0).await.body, configuration(3));
}

#[tokio::test]
async fn an_invalid_configuration_is_rejected_with_findings_and_not_applied() {
    let keepers = Keepers::start(1).await;
    let rejected = keepers.put(0, 0, &configuration(0)).await;
    assert_eq!(rejected.status, 400);
    assert!(rejected.body.contains("generation"), "{}", rejected.body);
    assert_eq!(keepers.put(0, 0, "{\"generation\":").await.status, 400);
    assert_eq!(keepers.get(0).await.status, 404);
}

#[tokio::test]
async fn an_accepted_configuration_survives_a_restart() {
    let mut keepers = Keepers::start(1).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    keepers.stop(0).await;
    keepers.restart(0).await;
    assert_eq!(keepers.get(0).await.body, configuration(3));
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
}

#[tokio::test]
async fn three_keepers_accept_orders_at_any_of_them() {
    let keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    assert_eq!(keepers.put(1, 3, &configuration(4)).await.status, 200);
    assert_eq!(keepers.put(2, 4, &configuration(5)).await.status, 200);
    for keeper in 0..3 {
        assert_eq!(keepers.get(keeper).await.body, configuration(5));
    }
}

#[tokio::test]
async fn of_two_concurrent_orders_with_the_same_base_exactly_one_is_accepted() {
    let keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    let (five, six) = (configuration(5), configuration(6));
    let (one, other) = tokio::join!(keepers.put(1, 3, &five), keepers.put(2, 3, &six));
    let mut statuses = [one.status, other.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 412]);
    let winner = if one.status == 200 { five } else { six };
    assert_eq!(keepers.get(0).await.body, winner);
}

#[tokio::test]
async fn the_loss_of_any_one_keeper_loses_no_configuration() {
    let mut keepers = Keepers::start(3).await;
    let mut base = 0;
    for lost in 0..3 {
        let generation = base + 1;
        assert_eq!(keepers.put(lost, base, &configuration(generation)).await.status, 200);
        keepers.kill(lost).await;
        let other = (lost + 1) % 3;
        assert_eq!(keepers.get(other).await.body, configuration(generation));
        assert_eq!(keepers.put(other, base, &configuration(generation)).await.status, 200);
        keepers.restart(lost).await;
        assert_eq!(keepers.get(lost).await.body, configuration(generation));
        base = generation;
    }
}

#[tokio::test]
async fn a_keeper_in_a_minority_serves_neither_operators_nor_endpoints() {
    let mut keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    keepers.kill(1).await;
    keepers.kill(2).await;
    assert_eq!(keepers.try_get(0).await.map(|response| response.status), Some(503));
    keepers.heartbeat_until_status(0, 503).await;
}

#[tokio::test]
async fn a_relay_receives_the_current_configuration_and_its_changes() {
    let keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    let mut relay = Observer::subscribe(keepers.internal(1), SubscriberKind::Relay);
    relay.wait_for_configuration(&configuration(3)).await;
    assert_eq!(keepers.put(2, 3, &configuration(4)).await.status, 200);
    // The acknowledgement implies that the relay has applied it.
    assert!(relay.has_configuration(&configuration(4)));
}

#[tokio::test]
async fn a_drain_is_acknowledged_after_relays_of_other_keepers_applied_it() {
    let keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    let mut relay = Observer::subscribe(keepers.internal(1), SubscriberKind::Relay);
    keepers.heartbeat_until_accepted(0, "i-1", &heartbeat("ready", 1)).await;
    relay.wait_for_instance("i-1", InstanceState::Ready).await;
    keepers.heartbeat_until_accepted(0, "i-1", &heartbeat("draining", 2)).await;
    assert_eq!(relay.instance_state("i-1"), Some(InstanceState::Draining));
    keepers.heartbeat_until_accepted(2, "i-1", &heartbeat("ready", 1)).await;
    assert_eq!(relay.instance_state("i-1"), Some(InstanceState::Draining));
    keepers.delete_until_accepted(2, "i-1").await;
    assert_eq!(relay.instance_state("i-1"), Some(InstanceState::Terminated));
}

// `handle_deregistration` waits until the change has propagated.
#[tokio::test]
async fn a_deregistration_without_a_drain_is_acknowledged_after_relays_of_other_keepers_applied_it() {
    let keepers = Keepers::start(3).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    let mut relay = Observer::subscribe(keepers.internal(1), SubscriberKind::Relay);
    keepers.heartbeat_until_accepted(0, "i-1", &heartbeat("ready", 1)).await;
    relay.wait_for_instance("i-1", InstanceState::Ready).await;
    keepers.delete_until_accepted(2, "i-1").await;
    assert_eq!(relay.instance_state("i-1"), Some(InstanceState::Terminated));
    // The endpoint keeps serving for a while, and a heartbeat that it sent before may arrive seconds late.
    keepers.heartbeat_until_accepted(0, "i-1", &heartbeat("ready", 2)).await;
    assert_eq!(relay.instance_state("i-1"), Some(InstanceState::Terminated));
}

#[tokio::test]
async fn invalid_heartbeats_are_rejected_with_findings() {
    let keepers = Keepers::start(1).await;
    assert_eq!(keepers.put(0, 0, &configuration(3)).await.status, 200);
    let rejected = keepers.heartbeat(0, "i-1", "{\"backend\":\"\",\"state\":\"asleep\"}").await.unwrap();
    assert_eq!(rejected.status, 400);
    for field in ["backend", "address", "state", "sequence"] {
        assert!(rejected.body.contains(field), "{}", rejected.body);
    }
}

#[tokio::test]
async fn partitions_are_placed_on_stores_and_a_lost_store_is_removed() {
    let keepers = Keepers::start(3).await;
    let mut stores = Vec::new();
    for number in 1..=3 {
        let subscriber = SubscriberKind::Store { disk: DiskId(number) };
        stores.push(Observer::subscribe(keepers.internal(number as usize - 1), subscriber));
    }
    let first = stores[0].wait_until_in_sync(3).await;
    assert_eq!(first.partitions.len(), 32);
    for assignment in &first.partitions {
        assert!(assignment.in_sync.contains(&assignment.primary));
    }
    let lost_store = stores.pop().unwrap();
    lost_store.close();
    let next = stores[0]
        .wait_for_store_map(|map| {
            map.partitions.iter().all(|assignment| !assignment.in_sync.contains(&DiskId(3)))
        })
        .await;
    for (after, before) in next.partitions.iter().zip(&first.partitions) {
        assert!(after.epoch > before.epoch);
        assert!(after.in_sync.contains(&after.primary));
    }
}

#[tokio::test]
async fn an_unknown_store_cannot_be_retired() {
    let keepers = Keepers::start(1).await;
    assert_eq!(keepers.retire(0, "store-9").await.status, 404);
    assert_eq!(keepers.retire_state(0, "store-9").await.status, 404);
}

#[tokio::test]
async fn a_store_is_retired_only_while_enough_others_remain() {
    let keepers = Keepers::start(1).await;
    let address = keepers.internal(0);
    let mut first = Observer::subscribe(address, SubscriberKind::Store { disk: DiskId(1) });
    first.wait_for_store_map(|map| !map.partitions.is_empty()).await;
    let node = keepers::node_name(&SubscriberKind::Store { disk: DiskId(1) });
    assert_eq!(keepers.retire(0, &node).await.status, 409);
    let _second = Observer::subscribe(address, SubscriberKind::Store { disk: DiskId(2) });
    let joining = first
        .wait_for_store_map(|map| map.partitions.iter().all(|assignment| assignment.joining == [DiskId(2)]))
        .await;
    assert_eq!(keepers.retire(0, &node).await.status, 200);
    assert!(keepers.retire_state(0, &node).await.body.contains("active"));
    first.report_caught_up(&joining, DiskId(2));
    first
        .wait_for_store_map(|map| map.partitions.iter().all(|assignment| assignment.in_sync == [DiskId(2)]))
        .await;
    keepers.wait_until_retired(0, &node).await;
    assert_eq!(keepers.retire(0, &node).await.status, 200);
}
