//! Sorts the messages that reach a keeper over links.

use std::sync::{Arc, Weak};
use std::time::Duration;

use juniperwing_protocol::Message;
use juniperwing_protocol::registry::RegistryMessage;
use juniperwing_protocol::replication::ReplicationMessage;
use juniperwing_protocol::subscription::{AppliedVersions, Subscribe};
use juniperwing_replication::Event;
use slog::info;
use tokio::time::Instant;

use super::Keeper;
use super::subscribers::store_of;
use crate::clock;
use crate::link::{Link, Reply, Service};

/// The longest that a keeper waits for its subscribers, whatever it is asked.
const MAX_WAIT_MS: u32 = 1_000;

/// The receiving end of a keeper's links.
pub(super) struct Inbox {
    keeper: Weak<Keeper>,
}

impl Inbox {
    pub(super) fn new(keeper: Weak<Keeper>) -> Self {
        Inbox { keeper }
    }
}

impl Service for Inbox {
    fn message(&self, link: &Link, message: Message, reply: Reply) {
        let Some(keeper) = self.keeper.upgrade() else { return link.close() };
        match message {
            Message::Replication(message) => keeper.replication_message(message),
            Message::Registry(message) => keeper.registry_message(message, reply),
            Message::Subscribe(subscribe) => keeper.subscribe(link, subscribe),
            Message::Applied(applied) => keeper.applied(link, applied),
            // Nothing else is said to a keeper.
            _ => {}
        }
    }

    fn closed(&self, link: &Link) {
        if let Some(keeper) = self.keeper.upgrade() {
            keeper.link_closed(link);
        }
    }
}

impl Keeper {
    fn replication_message(self: &Arc<Self>, message: ReplicationMessage) {
        self.lock().contact.record_message(clock::now(), message.from);
        self.replica_event(Event::Message(message));
    }

    fn registry_message(self: &Arc<Self>, message: RegistryMessage, reply: Reply) {
        match message {
            RegistryMessage::Instances { from, changed, refreshed, confirm } => {
                self.lock().contact.record_message(clock::now(), from);
                self.merge_instances(changed, &refreshed, confirm, reply);
            }
            RegistryMessage::DistributeConfiguration { version, wait_ms } => {
                let keeper = Arc::clone(self);
                let wait = Duration::from_millis(u64::from(wait_ms.min(MAX_WAIT_MS)));
                tokio::spawn(async move {
                    keeper.distribute_here(version, Instant::now() + wait).await;
                    reply.send(Message::Registry(RegistryMessage::ConfigurationDistributed));
                });
            }
            RegistryMessage::Order(order) => {
                let keeper = Arc::clone(self);
                tokio::spawn(async move {
                    let answer = keeper.order_passed_on(order).await;
                    reply.send(Message::Registry(RegistryMessage::OrderReply(answer)));
                });
            }
            RegistryMessage::ReadCommittedVersion => {
                let keeper = Arc::clone(self);
                tokio::spawn(async move {
                    let version = keeper.own_current_version().await;
                    reply.send(Message::Registry(RegistryMessage::CommittedVersion { version }));
                });
            }
            RegistryMessage::ReachableStores { from, stores } => {
                let epoch = self.stores_seen(from, stores);
                reply.send(Message::Registry(RegistryMessage::ReachableStoresReply { epoch }));
            }
            RegistryMessage::CaughtUp(reports) => self.caught_up(reports),
            // Answers come to those that called.
            RegistryMessage::InstancesMerged { .. }
            | RegistryMessage::ConfigurationDistributed
            | RegistryMessage::CommittedVersion { .. }
            | RegistryMessage::ReachableStoresReply { .. }
            | RegistryMessage::OrderReply(_) => {}
        }
    }

    fn subscribe(self: &Arc<Self>, link: &Link, subscribe: Subscribe) {
        let store = store_of(&subscribe);
        self.lock().subscribers.add(link, subscribe);
        self.wake_confirmation.notify_one();
        if let Some(store) = store {
            info!(self.log, "store seen"; "store" => %store.node.0, "disk" => store.disk.0);
            self.report_stores();
        }
    }

    fn applied(self: &Arc<Self>, link: &Link, applied: AppliedVersions) {
        self.lock().subscribers.applied(link.id(), &applied);
        self.progress.notify_waiters();
        if !applied.caught_up.is_empty() {
            self.caught_up(applied.caught_up);
            self.pass_on_caught_up();
        }
    }

    fn link_closed(self: &Arc<Self>, link: &Link) {
        let subscribe = self.lock().subscribers.remove(link.id());
        let Some(subscribe) = subscribe else { return };
        self.progress.notify_waiters();
        if let Some(store) = store_of(&subscribe) {
            info!(self.log, "store link closed"; "store" => %store.node.0);
            self.report_stores();
        }
    }
}
