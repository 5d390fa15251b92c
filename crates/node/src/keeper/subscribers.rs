//! The subscribers of a keeper: what was sent to each and what each has applied.
//!
//! A new subscription is sent nothing until this keeper is confirmed to be current: the first update must
//! not be older than the state that was committed when it subscribed. Later changes are newer, so they are sent at
//! once.

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

/// The maximum number of subscriptions; the links of further ones are closed.
const MAX_SUBSCRIPTIONS: usize = 4_000;

/// The state that is published to subscribers.
pub(super) struct PublishedState<'state> {
    /// The committed control state; `None` while none is known.
    pub(super) committed: Option<&'state ControlState>,
    /// The addresses of the voters.
    pub(super) controller_addresses: &'state [SocketAddr],
    /// Whether the registry contains every live endpoint.
    pub(super) is_registry_complete: bool,
}

/// The number of a subscription, in the order of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SubscriptionNumber(u64);

/// The progress of a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubscriptionStage {
    /// This keeper has not been confirmed to be current since the subscription arrived; nothing is sent.
    Unconfirmed(SubscriptionNumber),
    /// Confirmed; a snapshot is sent with the next push.
    Confirmed,
    /// The snapshot was sent; changes follow.
    Active,
}

/// A subscription, what was sent over it, and what the subscriber has applied.
struct Subscription {
    link: Link,
    stage: SubscriptionStage,
    subscribe: Subscribe,
    /// The versions that the subscriber has confirmed; they never decrease.
    applied: AppliedVersions,
    /// The controller addresses that were sent last.
    sent_addresses: Vec<SocketAddr>,
    /// The version of the configuration that was sent last, or that the subscriber had before.
    sent_configuration: Version,
    /// The version of the store map that was sent last; 0 before the first.
    sent_store_map: u64,
    /// Whether the registry was reported as complete.
    was_registry_complete: bool,
}

/// All subscriptions, with the instances to be sent at the next push.
#[derive(Default)]
pub(super) struct Subscribers {
    subscriptions: BTreeMap<LinkId, Subscription>,
    /// The newest state of every instance that changed since the last push.
    changed: BTreeMap<InstanceId, Instance>,
    /// The number of pushes with changed instances.
    revision: u64,
    newest_number: SubscriptionNumber,
}

impl Subscribers {
    /// Adds an unconfirmed subscription.
    pub(super) fn add(&mut self, link: &Link, subscribe: Subscribe) {
        if self.subscriptions.len() >= MAX_SUBSCRIPTIONS {
            return link.close();
        }
        self.newest_number.0 += 1;
        let sent_configuration = subscribe.configuration;
        let applied = AppliedVersions { configuration: sent_configuration, ..AppliedVersions::default() };
        let subscription = Subscription {
            link: link.clone(),
            stage: SubscriptionStage::Unconfirmed(self.newest_number),
            subscribe,
            applied,
            sent_addresses: Vec::new(),
            sent_configuration,
            sent_store_map: 0,
            was_registry_complete: false,
        };
        self.subscriptions.insert(link.id(), subscription);
    }

    /// The number of subscriptions.
    pub(super) fn count(&self) -> usize {
        self.subscriptions.len()
    }

    /// The newest unconfirmed subscription.
    pub(super) fn newest_unconfirmed(&self) -> Option<SubscriptionNumber> {
        let live = self.subscriptions.values().filter(|subscription| !subscription.link.is_closed());
        live.filter_map(Subscription::unconfirmed_number).max()
    }

    /// Confirms all subscriptions up to `newest`.
    pub(super) fn confirm(&mut self, newest: SubscriptionNumber) {
        for subscription in self.subscriptions.values_mut() {
            if subscription.unconfirmed_number().is_some_and(|number| number <= newest) {
                subscription.stage = SubscriptionStage::Confirmed;
            }
        }
    }

    /// Removes the subscription of a closed link, if it had one.
    pub(super) fn remove(&mut self, link: LinkId) -> Option<Subscribe> {
        self.subscriptions.remove(&link).map(|subscription| subscription.subscribe)
    }

    /// Records the versions that a subscriber has applied. They never decrease.
    pub(super) fn record_applied(&mut self, link: LinkId, applied: &AppliedVersions) {
        let Some(subscription) = self.subscriptions.get_mut(&link) else { return };
        let known = &mut subscription.applied;
        known.configuration = known.configuration.max(applied.configuration);
        known.instances = known.instances.max(applied.instances);
        known.stores = known.stores.max(applied.stores);
    }

    /// Queues changed instances for the next push. Returns the revision with which they will be sent.
    pub(super) fn record_changed(&mut self, instances: &[Instance]) -> u64 {
        for instance in instances {
            self.changed.insert(instance.id.clone(), instance.clone());
        }
        self.pending_revision()
    }

    /// The revision with which all changes recorded so far will be sent, or were sent.
    pub(super) fn pending_revision(&self) -> u64 {
        if self.changed.is_empty() { self.revision } else { self.revision + 1 }
    }

    /// Sends every confirmed subscriber what it does not have yet. `all_instances` returns the complete registry.
    pub(super) fn push(&mut self, published: &PublishedState, all_instances: impl Fn() -> Vec<Instance>) {
        let changed: Vec<Instance> = std::mem::take(&mut self.changed).into_values().collect();
        if !changed.is_empty() {
            self.revision += 1;
        }
        for subscription in self.subscriptions.values_mut() {
            match subscription.stage {
                SubscriptionStage::Unconfirmed(_) => continue,
                SubscriptionStage::Confirmed => {
                    subscription.stage = SubscriptionStage::Active;
                    subscription.send_instance_snapshot(
                        all_instances(),
                        self.revision,
                        published.is_registry_complete,
                    );
                }
                SubscriptionStage::Active => subscription.send_instance_changes(
                    &changed,
                    self.revision,
                    published.is_registry_complete,
                ),
            }
            subscription.send_controller_addresses(published);
            subscription.send_configuration(published);
            subscription.send_store_map(published);
        }
    }

    /// Whether all subscribed relays have applied the instances up to a revision. An unconfirmed one has not.
    pub(super) fn have_applied_instances(&self, revision: u64) -> bool {
        let has_applied = |relay: &Subscription| {
            relay.stage == SubscriptionStage::Active && relay.applied.instances >= revision
        };
        self.revision >= revision && self.relays().all(has_applied)
    }

    /// Whether all subscribed relays have applied the configuration.
    pub(super) fn have_applied_configuration(&self, version: Version) -> bool {
        self.relays().all(|relay| relay.applied.configuration >= version)
    }

    /// The subscribed stores with an open link, including unconfirmed ones.
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
    fn unconfirmed_number(&self) -> Option<SubscriptionNumber> {
        match self.stage {
            SubscriptionStage::Unconfirmed(number) => Some(number),
            SubscriptionStage::Confirmed | SubscriptionStage::Active => None,
        }
    }

    fn send(&self, update: Update) {
        self.link.send(Message::Update(update));
    }

    fn send_controller_addresses(&mut self, published: &PublishedState) {
        if published.controller_addresses.is_empty() || self.sent_addresses == published.controller_addresses
        {
            return;
        }
        self.sent_addresses = published.controller_addresses.to_vec();
        self.send(Update::Keepers(self.sent_addresses.clone()));
    }

    fn send_configuration(&mut self, published: &PublishedState) {
        let Some(state) = published.committed else { return };
        let Some(configuration) = &state.configuration else { return };
        let version = state.configuration_version();
        if !is_relay(&self.subscribe) || version <= self.sent_configuration {
            return;
        }
        self.sent_configuration = version;
        self.send(Update::Configuration { version, body: Arc::clone(&configuration.body) });
    }

    fn send_instance_snapshot(
        &mut self, instances: Vec<Instance>, revision: u64, is_registry_complete: bool,
    ) {
        if is_relay(&self.subscribe) {
            self.was_registry_complete = is_registry_complete;
            let update = InstancesUpdate { revision, is_snapshot: true, is_registry_complete, instances };
            self.send(Update::Instances(update));
        }
    }

    fn send_instance_changes(&mut self, changed: &[Instance], revision: u64, is_registry_complete: bool) {
        let is_newly_complete = is_registry_complete && !self.was_registry_complete;
        if !is_relay(&self.subscribe) || (changed.is_empty() && !is_newly_complete) {
            return;
        }
        self.was_registry_complete = is_registry_complete;
        let instances = changed.to_vec();
        self.send(Update::Instances(InstancesUpdate {
            revision,
            is_snapshot: false,
            is_registry_complete,
            instances,
        }));
    }

    fn send_store_map(&mut self, published: &PublishedState) {
        let Some(state) = published.committed else { return };
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

/// The subscribing store; `None` for other subscribers.
pub(super) fn subscribing_store(subscribe: &Subscribe) -> Option<StoreNode> {
    let SubscriberKind::Store { disk } = subscribe.subscriber else { return None };
    Some(StoreNode {
        disk,
        node: subscribe.node.clone(),
        zone: Arc::clone(&subscribe.zone),
        address: subscribe.address,
    })
}
