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

use super::controller::Controller;
use super::subscribers::subscribing_store;
use crate::clock;
use crate::link::{Link, ReplySender, Service};

/// The longest that a keeper waits for its subscribers, whatever it is asked.
const MAX_DISTRIBUTION_WAIT_MS: u32 = 1_000;

/// The receiving end of a keeper's links.
pub(super) struct MessageHandler {
    controller: Weak<Controller>,
}

impl MessageHandler {
    pub(super) fn new(controller: Weak<Controller>) -> Self {
        MessageHandler { controller }
    }
}

impl Service for MessageHandler {
    fn handle_message(&self, link: &Link, message: Message, reply: ReplySender) {
        let Some(controller) = self.controller.upgrade() else { return link.close() };
        match message {
            Message::Replication(message) => controller.handle_replication_message(message),
            Message::Registry(message) => controller.handle_registry_message(message, reply),
            Message::Subscribe(subscribe) => controller.handle_subscribe(link, subscribe),
            Message::Applied(applied) => controller.handle_applied(link, applied),
            // Nothing else is said to a keeper.
            _ => {}
        }
    }

    fn handle_closed(&self, link: &Link) {
        if let Some(controller) = self.controller.upgrade() {
            controller.handle_link_closed(link);
        }
    }
}

impl Controller {
    fn handle_replication_message(self: &Arc<Self>, message: ReplicationMessage) {
        self.lock().contact.record_message(clock::now(), message.from);
        self.step_replica(Event::Message(message));
    }

    fn handle_registry_message(self: &Arc<Self>, message: RegistryMessage, reply: ReplySender) {
        match message {
            RegistryMessage::Instances { from, changed, refreshed, confirm } => {
                self.lock().contact.record_message(clock::now(), from);
                self.handle_instances(changed, &refreshed, confirm, reply);
            }
            RegistryMessage::DistributeConfiguration { version, wait_ms } => {
                let controller = Arc::clone(self);
                let wait = Duration::from_millis(u64::from(wait_ms.min(MAX_DISTRIBUTION_WAIT_MS)));
                tokio::spawn(async move {
                    controller.distribute_to_own_subscribers(version, Instant::now() + wait).await;
                    reply.send(Message::Registry(RegistryMessage::ConfigurationDistributed));
                });
            }
            RegistryMessage::Order(order) => {
                let controller = Arc::clone(self);
                tokio::spawn(async move {
                    let answer = controller.handle_forwarded_order(order).await;
                    reply.send(Message::Registry(RegistryMessage::OrderReply(answer)));
                });
            }
            RegistryMessage::ReadCommittedVersion => {
                let controller = Arc::clone(self);
                tokio::spawn(async move {
                    let version = controller.confirmed_version_as_primary().await;
                    reply.send(Message::Registry(RegistryMessage::CommittedVersion { version }));
                });
            }
            RegistryMessage::ReachableStores { from, stores } => {
                let epoch = self.handle_reachable_stores(from, stores);
                reply.send(Message::Registry(RegistryMessage::ReachableStoresReply { epoch }));
            }
            RegistryMessage::CaughtUp(reports) => self.handle_caught_up_reports(reports),
            // Answers come to those that called.
            RegistryMessage::InstancesMerged { .. }
            | RegistryMessage::ConfigurationDistributed
            | RegistryMessage::CommittedVersion { .. }
            | RegistryMessage::ReachableStoresReply { .. }
            | RegistryMessage::OrderReply(_) => {}
        }
    }

    fn handle_subscribe(self: &Arc<Self>, link: &Link, subscribe: Subscribe) {
        let store = subscribing_store(&subscribe);
        self.lock().subscribers.add(link, subscribe);
        self.confirmation_requested.notify_one();
        if let Some(store) = store {
            info!(self.log, "store seen"; "store" => %store.node.0, "disk" => store.disk.0);
            self.report_reachable_stores();
        }
    }

    fn handle_applied(self: &Arc<Self>, link: &Link, applied: AppliedVersions) {
        self.lock().subscribers.record_applied(link.id(), &applied);
        self.state_changed.notify_waiters();
        if !applied.caught_up.is_empty() {
            self.handle_caught_up_reports(applied.caught_up);
            self.forward_caught_up_reports();
        }
    }

    fn handle_link_closed(self: &Arc<Self>, link: &Link) {
        let subscribe = self.lock().subscribers.remove(link.id());
        let Some(subscribe) = subscribe else { return };
        self.state_changed.notify_waiters();
        if let Some(store) = subscribing_store(&subscribe) {
            info!(self.log, "store link closed"; "store" => %store.node.0);
            self.report_reachable_stores();
        }
    }
}
