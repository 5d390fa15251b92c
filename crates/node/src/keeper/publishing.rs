//! Publishing: sends committed state and registry changes to subscribers and other keepers.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;

use super::controller::Controller;
use super::subscribers::PublishedState;
use crate::clock;

impl Controller {
    /// Sends updates for the lifetime of the keeper. Changes made before the loop runs again are sent together.
    pub(super) async fn run_push_loop(self: Arc<Self>) {
        loop {
            self.push_requested.notified().await;
            self.push_updates();
            self.send_instance_batches(false);
        }
    }

    fn push_updates(&self) {
        let state = &mut *self.lock();
        let voters = state.consensus.replica.voters().iter();
        let controller_addresses: Vec<SocketAddr> = voters.map(|voter| voter.address).collect();
        let committed = state.consensus.committed().map(|committed| Arc::clone(&committed.state));
        let published = PublishedState {
            committed: committed.as_deref(),
            controller_addresses: &controller_addresses,
            is_registry_complete: state.registry.is_complete(clock::now()),
        };
        state.subscribers.push(&published, || state.registry.instances().cloned().collect());
    }

    /// Logs the committed configuration and store map if they have changed since they were logged last.
    pub(super) fn log_committed(&self) {
        let mut state = self.lock();
        let Some(committed) = state.consensus.committed() else { return };
        let committed = Arc::clone(&committed.state);
        let version = committed.configuration_version();
        if version != state.logged_configuration {
            state.logged_configuration = version;
            info!(self.log, "configuration committed"; "generation" => committed.generation());
        }
        let store_map = &committed.store_map;
        if store_map.version != state.logged_store_map {
            state.logged_store_map = store_map.version;
            info!(self.log, "store map committed";
                "version" => store_map.version, "stores" => store_map.stores.len(),
                "min_in_sync" => store_map.min_in_sync_replicas(),
                "max_lost_replicas" => store_map.max_lost_replicas());
        }
    }
}
