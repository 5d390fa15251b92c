//! The subscribers of a keeper: what each was told and what it has applied.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_control::ControlState;
use juniperwing_protocol::registry::Instance;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{
    Applied, InstancesUpdate, StoreNode, Subscribe, Subscriber, Update,
};
use juniperwing_protocol::{InstanceId, Message};

use crate::link::{Link, LinkId};

/// Subscriptions at a time; further ones are closed.
const MAX_SUBSCRIPTIONS: usize = 4_000;

/// All that a subscriber may be told, at one moment.
pub(super) struct Tellable<'state> {
    /// The committed state; `None` while none is known.
    pub(super) committed: Option<&'state ControlState>,
    /// Where the keepers listen.
    pub(super) keepers: &'state [SocketAddr],
    /// Whether the keeper has heard of every live endpoint.
    pub(super) complete: bool,
}

struct Subscription {
    link: Link,
    subscribe: Subscribe,
    applied: Applied,
    told_keepers: Vec<SocketAddr>,
    told_configuration: Version,
    told_stores: u64,
    told_complete: bool,
}

/// The subscribers.
#[derive(Default)]
pub(super) struct Subscribers {
    subscriptions: BTreeMap<LinkId, Subscription>,
    /// Instances that changed since the last push, the newest state of each.
    changed: BTreeMap<InstanceId, Instance>,
    /// Counts pushes of instances.
    revision: u64,
}

impl Subscribers {
    /// Takes a subscriber in, or updates it. It is told all instances at once, the rest with the next push.
    pub(super) fn add<'registry>(
        &mut self, link: &Link, subscribe: Subscribe, instances: impl Iterator<Item = &'registry Instance>,
        complete: bool,
    ) {
        if self.subscriptions.len() >= MAX_SUBSCRIPTIONS {
            return link.close();
        }
        if is_relay(&subscribe) {
            let update = InstancesUpdate {
                revision: self.revision,
                whole: true,
                complete,
                instances: instances.cloned().collect(),
            };
            link.send(Message::Update(Update::Instances(update)));
        }
        let told_configuration = subscribe.configuration;
        let applied = Applied { configuration: told_configuration, ..Applied::default() };
        let subscription = Subscription {
            link: link.clone(),
            subscribe,
            applied,
            told_keepers: Vec::new(),
            told_configuration,
            told_stores: 0,
            told_complete: complete,
        };
        self.subscriptions.insert(link.id(), subscription);
    }

    /// A subscriber is gone. Returns its node's subscription, if it was one.
    pub(super) fn remove(&mut self, link: LinkId) -> Option<Subscribe> {
        self.subscriptions.remove(&link).map(|subscription| subscription.subscribe)
    }

    /// A subscriber confirms what it has applied. It never goes back.
    pub(super) fn applied(&mut self, link: LinkId, applied: &Applied) {
        let Some(subscription) = self.subscriptions.get_mut(&link) else { return };
        let known = &mut subscription.applied;
        known.configuration = known.configuration.max(applied.configuration);
        known.instances = known.instances.max(applied.instances);
        known.stores = known.stores.max(applied.stores);
    }

    /// Instances that subscribers have to be told of. Returns the revision with which they will be told.
    pub(super) fn note(&mut self, instances: &[Instance]) -> u64 {
        for instance in instances {
            self.changed.insert(instance.id.clone(), instance.clone());
        }
        self.pending_revision()
    }

    /// The revision with which all that was noted so far is told, or was.
    pub(super) fn pending_revision(&self) -> u64 {
        if self.changed.is_empty() { self.revision } else { self.revision + 1 }
    }

    /// Tells every subscriber what it does not know yet.
    pub(super) fn push(&mut self, tellable: &Tellable) {
        let changed: Vec<Instance> = std::mem::take(&mut self.changed).into_values().collect();
        if !changed.is_empty() {
            self.revision += 1;
        }
        for subscription in self.subscriptions.values_mut() {
            subscription.tell_keepers(tellable);
            subscription.tell_configuration(tellable);
            subscription.tell_instances(&changed, self.revision, tellable.complete);
            subscription.tell_stores(tellable);
        }
    }

    /// Whether all relays subscribed have applied the instances up to a revision.
    pub(super) fn have_instances(&self, revision: u64) -> bool {
        self.revision >= revision && self.relays().all(|relay| relay.applied.instances >= revision)
    }

    /// Whether all relays subscribed have applied the configuration.
    pub(super) fn have_configuration(&self, version: Version) -> bool {
        self.relays().all(|relay| relay.applied.configuration >= version)
    }

    /// The stores that are subscribed.
    pub(super) fn stores(&self) -> Vec<StoreNode> {
        let subscriptions = self.subscriptions.values().filter(|subscription| !subscription.link.is_closed());
        subscriptions.filter_map(|subscription| store_of(&subscription.subscribe)).collect()
    }

    fn relays(&self) -> impl Iterator<Item = &Subscription> {
        self.subscriptions
            .values()
            .filter(|subscription| is_relay(&subscription.subscribe) && !subscription.link.is_closed())
    }
}

impl Subscription {
    fn tell(&self, update: Update) {
        self.link.send(Message::Update(update));
    }

    fn tell_keepers(&mut self, tellable: &Tellable) {
        if tellable.keepers.is_empty() || self.told_keepers == tellable.keepers {
            return;
        }
        self.told_keepers = tellable.keepers.to_vec();
        self.tell(Update::Keepers(self.told_keepers.clone()));
    }

    fn tell_configuration(&mut self, tellable: &Tellable) {
        let Some(state) = tellable.committed else { return };
        let Some(configuration) = &state.configuration else { return };
        let version = state.configuration_version();
        if !is_relay(&self.subscribe) || version <= self.told_configuration {
            return;
        }
        self.told_configuration = version;
        self.tell(Update::Configuration { version, body: Arc::clone(&configuration.body) });
    }

    fn tell_instances(&mut self, changed: &[Instance], revision: u64, complete: bool) {
        let newly_complete = complete && !self.told_complete;
        if !is_relay(&self.subscribe) || (changed.is_empty() && !newly_complete) {
            return;
        }
        self.told_complete = complete;
        let instances = changed.to_vec();
        self.tell(Update::Instances(InstancesUpdate { revision, whole: false, complete, instances }));
    }

    fn tell_stores(&mut self, tellable: &Tellable) {
        let Some(state) = tellable.committed else { return };
        if state.stores.version <= self.told_stores {
            return;
        }
        self.told_stores = state.stores.version;
        self.tell(Update::Stores(Arc::clone(&state.stores)));
    }
}

fn is_relay(subscribe: &Subscribe) -> bool {
    subscribe.subscriber == Subscriber::Relay
}

/// The store that subscribes, if it is one.
pub(super) fn store_of(subscribe: &Subscribe) -> Option<StoreNode> {
    let Subscriber::Store { disk } = subscribe.subscriber else { return None };
    Some(StoreNode {
        disk,
        node: subscribe.node.clone(),
        zone: Arc::clone(&subscribe.zone),
        address: subscribe.address,
    })
}
