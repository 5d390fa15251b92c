//! Connects the driver of a store to its links and subscriptions.

use std::sync::Arc;

use juniperwing_protocol::Message;
use juniperwing_protocol::replication::Version;
use juniperwing_protocol::subscription::{AppliedVersions, Update};
use juniperwing_sessions::Event;

use super::driver::StoreDriver;
use crate::link::{Link, MessageHandler, ReplySender};
use crate::subscriber::UpdateSink;

/// Passes messages from relays and stores, and updates from keepers, to the driver.
pub(super) struct StoreHandle(pub(super) Arc<StoreDriver>);

impl MessageHandler for StoreHandle {
    fn handle_message(&self, link: &Link, message: Message, sender: ReplySender) {
        match message {
            Message::SessionRequest(request) => {
                let caller = self.0.add_caller(sender);
                self.0.handle(Event::SessionRequest { caller, request });
            }
            Message::TransferRequest(request) => {
                let caller = self.0.add_caller(sender);
                self.0.handle(Event::TransferRequest { caller, request });
            }
            // Any other message is a protocol violation.
            _ => link.close(),
        }
    }
}

impl UpdateSink for StoreHandle {
    fn apply(&self, update: Update) {
        if let Update::Stores(map) = update {
            self.0.handle(Event::StoreMap(map));
        }
    }

    fn applied_versions(&self) -> AppliedVersions {
        let state = self.0.lock();
        AppliedVersions {
            stores: state.store.map_version(),
            caught_up: state.store.caught_up_replicas(),
            ..AppliedVersions::default()
        }
    }

    fn configuration_version(&self) -> Version {
        Version::default()
    }
}
