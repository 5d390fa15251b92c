//! The subscribers of a keeper: what each was told and what it has applied.
//!
//! A new subscription waits until this keeper is confirmed to be current, and is told nothing before that: the
//! first update tells the subscriber that what follows was in force when it asked. Later changes are newer than
//! that, so they are told at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_control::ControlState;
use juniperwing_protocol::registry::Instance;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{
    AppliedVersions, InstancesUpdate, StoreNode, Subscribe, SubscriberKind, Update,
};
use juniperwing_protocol::{InstanceId, Message};

use crate::link::{Link, LinkId};

/// Subscriptions at a time; further ones are closed.
const MAX_SUBSCRIPTIONS: usize = 4_000;

/// All that a subscriber may be told, at one moment.
pub(super) struct PublishedState<'state> {
    /// The committed state; `None` while none is known.
    pub(super) committed: Option<&'state ControlState>,
    /// Where the keepers listen.
    pub(super) controller_addresses: &'state [SocketAddr],
    /// Whether the keeper has heard of every live endpoint.
    pub(super) is_registry_complete: bool,
}

/// Counts subscriptions in the order in which they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SubscriptionNumber(u64);

/// Whether a subscriber may be told anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubscriptionStage {
    /// This keeper is not confirmed to be current since the subscription came.
    Unconfirmed(SubscriptionNumber),
    /// Confirmed; the first updates go with the next push.
    Confirmed,
    /// Told everything; changes follow.
    Active,
}

struct Subscription {
    link: Link,
    stage: SubscriptionStage,
    subscribe: Subscribe,
    applied: AppliedVersions,
    sent_addresses: Vec<SocketAddr>,
    sent_configuration: Version,
    sent_store_map: u64,
    sent_registry_complete: bool,
}

/// The subscribers.
#[derive(Default)]
pub(super) struct Subscribers {
    subscriptions: BTreeMap<LinkId, Subscription>,
    /// Instances that changed since the last push, the newest state of each.
    changed: BTreeMap<InstanceId, Instance>,
    /// Counts pushes of instances.
    revision: u64,
    newest_number: SubscriptionNumber,
}

impl Subscribers {
    /// Takes a subscriber in. It is told nothing until it is confirmed.
    pub(super) fn add(&mut self, link: &Link, subscribe: Subscribe) {
        if self.subscriptions.len() >= MAX_SUBSCRIPTIONS {
            return link.close();
        }
        self.newest_number.0 += 1;
        let told_configuration = subscribe.configuration;
        let applied = AppliedVersions { configuration: told_configuration, ..AppliedVersions::default() };
        let subscription = Subscription {
            link: link.clone(),
            stage: SubscriptionStage::Unconfirmed(self.newest_number),
            subscribe,
            applied,
            sent_addresses: Vec::new(),
            sent_configuration: told_configuration,
            sent_store_map: 0,
            sent_registry_complete: false,
        };
        self.subscriptions.insert(link.id(), subscription);
    }

    /// How many there are.
    pub(super) fn count(&self) -> usize {
        self.subscriptions.len()
    }

    /// The newest subscription that waits to be confirmed.
    pub(super) fn newest_unconfirmed(&self) -> Option<SubscriptionNumber> {
        let open = self.subscriptions.values().filter(|subscription| !subscription.link.is_closed());
        open.filter_map(Subscription::unconfirmed).max()
    }

    /// This keeper is current: all subscriptions up to `newest` may be told so with the next push.
    pub(super) fn confirm(&mut self, newest: SubscriptionNumber) {
        for subscription in self.subscriptions.values_mut() {
            if subscription.unconfirmed().is_some_and(|number| number <= newest) {
                subscription.stage = SubscriptionStage::Confirmed;
            }
        }
    }

    /// A subscriber is gone. Returns its node's subscription, if it was one.
    pub(super) fn remove(&mut self, link: LinkId) -> Option<Subscribe> {
        self.subscriptions.remove(&link).map(|subscription| subscription.subscribe)
    }

    /// A subscriber confirms what it has applied. It never goes back.
    pub(super) fn record_applied(&mut self, link: LinkId, applied: &AppliedVersions) {
        let Some(subscription) = self.subscriptions.get_mut(&link) else { return };
        let known = &mut subscription.applied;
        known.configuration = known.configuration.max(applied.configuration);
        known.instances = known.instances.max(applied.instances);
        known.stores = known.stores.max(applied.stores);
    }

    /// Instances that subscribers have to be told of. Returns the revision with which they will be told.
    pub(super) fn record_changed(&mut self, instances: &[Instance]) -> u64 {
        for instance in instances {
            self.changed.insert(instance.id.clone(), instance.clone());
        }
        self.pending_revision()
    }

    /// The revision with which all that was noted so far is told, or was.
    pub(super) fn pending_revision(&self) -> u64 {
        if self.changed.is_empty() { self.revision } else { self.revision + 1 }
    }

    /// Tells every confirmed subscriber what it does not know yet. `all` gives all instances.
    pub(super) fn push(&mut self, tellable: &PublishedState, all: impl Fn() -> Vec<Instance>) {
        let changed: Vec<Instance> = std::mem::take(&mut self.changed).into_values().collect();
        if !changed.is_empty() {
            self.revision += 1;
        }
        for subscription in self.subscriptions.values_mut() {
            match subscription.stage {
                SubscriptionStage::Unconfirmed(_) => continue,
                SubscriptionStage::Confirmed => {
                    subscription.stage = SubscriptionStage::Active;
                    subscription.send_instance_snapshot(all(), self.revision, tellable.is_registry_complete);
                }
                SubscriptionStage::Active => {
                    subscription.send_instance_changes(&changed, self.revision, tellable.is_registry_complete)
                }
            }
            subscription.send_controller_addresses(tellable);
            subscription.send_configuration(tellable);
            subscription.send_store_map(tellable);
        }
    }

    /// Whether all relays subscribed have applied the instances up to a revision. One that waits to be
    /// confirmed has not.
    pub(super) fn have_applied_instances(&self, revision: u64) -> bool {
        let has_applied = |relay: &Subscription| {
            relay.stage == SubscriptionStage::Active && relay.applied.instances >= revision
        };
        self.revision >= revision && self.relays().all(has_applied)
    }

    /// Whether all relays subscribed have applied the configuration.
    pub(super) fn have_applied_configuration(&self, version: Version) -> bool {
        self.relays().all(|relay| relay.applied.configuration >= version)
    }

    /// The stores that are subscribed, those included that wait to be confirmed: their links are alive.
    pub(super) fn subscribed_stores(&self) -> Vec<StoreNode> {
        let subscriptions = self.subscriptions.values().filter(|subscription| !subscription.link.is_closed());
        subscriptions.filter_map(|subscription| subscribing_store(&subscription.subscribe)).collect()
    }

    fn relays(&self) -> impl Iterator<Item = &Subscription> {
        self.subscriptions
            .values()
            .filter(|subscription| is_relay(&subscription.subscribe) && !subscription.link.is_closed())
    }
}

impl Subscription {
    fn unconfirmed(&self) -> Option<SubscriptionNumber> {
        match self.stage {
            SubscriptionStage::Unconfirmed(number) => Some(number),
            SubscriptionStage::Confirmed | SubscriptionStage::Active => None,
        }
    }

    fn send(&self, update: Update) {
        self.link.send(Message::Update(update));
    }

    fn send_controller_addresses(&mut self, tellable: &PublishedState) {
        if tellable.controller_addresses.is_empty() || self.sent_addresses == tellable.controller_addresses {
            return;
        }
        self.sent_addresses = tellable.controller_addresses.to_vec();
        self.send(Update::Keepers(self.sent_addresses.clone()));
    }

    fn send_configuration(&mut self, tellable: &PublishedState) {
        let Some(state) = tellable.committed else { return };
        let Some(configuration) = &state.configuration else { return };
        let version = state.configuration_version();
        if !is_relay(&self.subscribe) || version <= self.sent_configuration {
            return;
        }
        self.sent_configuration = version;
        self.send(Update::Configuration { version, body: Arc::clone(&configuration.body) });
    }

    fn send_instance_snapshot(&mut self, instances: Vec<Instance>, revision: u64, complete: bool) {
        if is_relay(&self.subscribe) {
            self.sent_registry_complete = complete;
            let update =
                InstancesUpdate { revision, is_snapshot: true, is_registry_complete: complete, instances };
            self.send(Update::Instances(update));
        }
    }

    fn send_instance_changes(&mut self, changed: &[Instance], revision: u64, complete: bool) {
        let newly_complete = complete && !self.sent_registry_complete;
        if !is_relay(&self.subscribe) || (changed.is_empty() && !newly_complete) {
            return;
        }
        self.sent_registry_complete = complete;
        let instances = changed.to_vec();
        self.send(Update::Instances(InstancesUpdate {
            revision,
            is_snapshot: false,
            is_registry_complete: complete,
            instances,
        }));
    }

    fn send_store_map(&mut self, tellable: &PublishedState) {
        let Some(state) = tellable.committed else { return };
        if state.store_map.version <= self.sent_store_map {
            return;
        }
        self.sent_store_map = state.store_map.version;
        self.send(Update::Stores(Arc::clone(&state.store_map)));
    }
}

fn is_relay(subscribe: &Subscribe) -> bool {
    subscribe.subscriber == SubscriberKind::Relay
}

/// The store that subscribes, if it is one.
pub(super) fn subscribing_store(subscribe: &Subscribe) -> Option<StoreNode> {
    let SubscriberKind::Store { disk } = subscribe.subscriber else { return None };
    Some(StoreNode {
        disk,
        node: subscribe.node.clone(),
        zone: Arc::clone(&subscribe.zone),
        address: subscribe.address,
    })
}
