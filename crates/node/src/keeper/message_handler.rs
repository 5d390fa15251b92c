//! Dispatches the messages that a keeper receives over its links.

use std::future::Future;
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
use crate::link::{Link, MessageHandler, ReplySender};

/// The maximum time for which a keeper waits for its subscribers on another keeper's request.
const MAX_DISTRIBUTION_WAIT_MS: u32 = 1_000;

/// The receiver of messages on a keeper's links.
pub(super) struct KeeperMessageHandler {
    controller: Weak<Controller>,
}

impl KeeperMessageHandler {
    pub(super) fn new(controller: Weak<Controller>) -> Self {
        KeeperMessageHandler { controller }
    }
}

impl MessageHandler for KeeperMessageHandler {
    fn handle_message(&self, link: &Link, message: Message, reply: ReplySender) {
        let Some(controller) = self.controller.upgrade() else { return link.close() };
        match message {
            Message::Replication(message) => controller.handle_replication_message(message),
            Message::Registry(message) => controller.handle_registry_message(message, reply),
            Message::Subscribe(subscribe) => controller.handle_subscribe(link, subscribe),
            Message::Applied(applied) => controller.handle_applied(link, applied),
            // No other message is addressed to a keeper.
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
                let wait = Duration::from_millis(u64::from(wait_ms.min(MAX_DISTRIBUTION_WAIT_MS)));
                self.spawn_reply(reply, async move |controller| {
                    controller.distribute_to_own_subscribers(version, Instant::now() + wait).await;
                    RegistryMessage::ConfigurationDistributed
                });
            }
            RegistryMessage::Order(order) => {
                self.spawn_reply(reply, async move |controller| {
                    RegistryMessage::OrderReply(controller.handle_forwarded_order(order).await)
                });
            }
            RegistryMessage::ReadCommittedVersion => {
                self.spawn_reply(reply, async move |controller| RegistryMessage::CommittedVersion {
                    version: controller.confirmed_version_as_primary().await,
                });
            }
            RegistryMessage::ReachableStores { from, stores } => {
                let epoch = self.handle_reachable_stores(from, stores);
                reply.send(Message::Registry(RegistryMessage::ReachableStoresReply { epoch }));
            }
            RegistryMessage::CaughtUp(reports) => self.handle_caught_up_reports(reports),
            // The link delivers replies to the tasks that wait for them.
            RegistryMessage::InstancesMerged { .. }
            | RegistryMessage::ConfigurationDistributed
            | RegistryMessage::CommittedVersion { .. }
            | RegistryMessage::ReachableStoresReply { .. }
            | RegistryMessage::OrderReply(_) => {}
        }
    }

    /// Handles a request in a task of its own, and sends its result as the reply.
    fn spawn_reply<F>(
        self: &Arc<Self>, reply: ReplySender, handle: impl FnOnce(Arc<Controller>) -> F + Send + 'static,
    ) where
        F: Future<Output = RegistryMessage> + Send,
    {
        let controller = Arc::clone(self);
        tokio::spawn(async move { reply.send(Message::Registry(handle(controller).await)) });
    }

    fn handle_subscribe(self: &Arc<Self>, link: &Link, subscribe: Subscribe) {
        let store = subscribing_store(&subscribe);
        self.lock().subscribers.add(link, subscribe);
        self.confirmation_requested.notify_one();
        if let Some(store) = store {
            info!(self.log, "store subscribed"; "store" => %store.node.0, "disk" => store.disk.0);
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
