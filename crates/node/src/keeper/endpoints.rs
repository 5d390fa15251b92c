//! Endpoints: their heartbeats, their expiry, and the exchange of instances between keepers.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_protocol::registry::{Instance, InstanceState, Refresh, RegistryMessage};
use juniperwing_protocol::replication::Voter;
use juniperwing_protocol::{DiskId, InstanceId, Message};
use juniperwing_registry::{Batch, ChangeNumber, HeartbeatOutcome, required_confirmations};
use slog::{debug, info};
use tokio::time::Instant;

use super::controller::{Controller, State};
use crate::clock;
use crate::link::{LinkId, ReplySender};

/// The reply to a request of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointReply {
    /// Recorded by a keeper with contact to a majority. A drain or termination has been recorded by a majority, and by
    /// enough keepers for every relay to be subscribed to one of them; the relays subscribed there have applied it.
    Accepted,
    /// This keeper is partitioned or full, or could not propagate a drain or termination in time: the endpoint should
    /// try another keeper.
    Unavailable,
}

/// What must be confirmed before a drain or termination is acknowledged.
struct Propagation {
    /// The revision of the instances that the relays subscribed here must apply.
    revision: u64,
    /// The change that other keepers must confirm.
    change_number: ChangeNumber,
}

impl Controller {
    /// Records an endpoint's heartbeat.
    pub(super) async fn handle_heartbeat(self: &Arc<Self>, instance: Instance) -> EndpointReply {
        let is_leaving = instance.state != InstanceState::Ready;
        let id = instance.id.clone();
        let propagation = {
            let state = &mut *self.lock();
            let now = clock::now();
            if !self.has_majority_contact(state) {
                return EndpointReply::Unavailable;
            }
            match state.registry.handle_heartbeat(now, instance) {
                HeartbeatOutcome::Full => return EndpointReply::Unavailable,
                HeartbeatOutcome::Stale => {}
                HeartbeatOutcome::Refreshed(refresh) => state.exchange.record_refresh(&refresh),
                HeartbeatOutcome::Changed(changed) => self.publish_instances(state, &changed),
            }
            if !is_leaving {
                return EndpointReply::Accepted;
            }
            self.propagate(state, &id)
        };
        info!(self.log, "endpoint draining"; "endpoint" => %id.0);
        self.wait_until_propagated(propagation).await
    }

    /// Deregisters an endpoint.
    pub(super) async fn handle_deregistration(self: &Arc<Self>, id: InstanceId) -> EndpointReply {
        let propagation = {
            let state = &mut *self.lock();
            if !self.has_majority_contact(state) {
                return EndpointReply::Unavailable;
            }
            let deregistered = state.registry.deregister(clock::now(), &id);
            self.publish_instances(state, deregistered.as_slice());
            self.propagate(state, &id)
        };
        info!(self.log, "endpoint terminated"; "endpoint" => %id.0);
        self.wait_until_propagated(propagation).await
    }

    /// Merges instances from another keeper. If it requests confirmation, the reply is sent when the relays
    /// subscribed here have applied them.
    pub(super) fn handle_instances(
        self: &Arc<Self>, changed: Vec<Instance>, refreshed: &[Refresh], confirm: bool, reply: ReplySender,
    ) {
        let revision = {
            let mut state = self.lock();
            let updated = state.registry.merge(clock::now(), changed, refreshed);
            if !updated.is_empty() {
                self.push_requested.notify_one();
            }
            state.subscribers.record_changed(&updated)
        };
        let controller = Arc::clone(self);
        if !confirm {
            return reply.send(controller.instances_merged_message(false));
        }
        tokio::spawn(async move {
            let deadline = Instant::now() + controller.control_timings.subscriber_apply_timeout;
            let applied = controller
                .wait_until(deadline, |state| state.subscribers.have_applied_instances(revision))
                .await;
            reply.send(controller.instances_merged_message(applied));
        });
    }

    fn instances_merged_message(&self, applied: bool) -> Message {
        let epoch = self.lock().consensus.replica.epoch().number;
        Message::Registry(RegistryMessage::InstancesMerged { epoch, applied })
    }

    /// Expires endpoints that sent no heartbeat to any keeper. Without contact to a majority, or after a pause, it restarts
    /// the timeouts instead, since heartbeats that the other keepers received may not have arrived here.
    pub(super) fn expire_instances(&self, state: &mut State) {
        let now = clock::now();
        let epoch = state.consensus.replica.epoch();
        let confirmed_at = state.contact.confirmed_until(now, self.local_voter.disk, epoch);
        let Some(confirmed_at) = confirmed_at.filter(|_| !state.was_paused) else {
            return state.registry.restart_timeouts(now);
        };
        let expired = state.registry.expire(now, confirmed_at);
        for instance in &expired {
            info!(self.log, "endpoint expired"; "endpoint" => %instance.id.0, "service" => %instance.service.0);
        }
        self.publish_instances(state, &expired);
    }

    /// Sends the other keepers the batches of instances that are due. `is_periodic` includes those with heartbeats only.
    pub(super) fn send_instance_batches(self: &Arc<Self>, is_periodic: bool) {
        let batches = {
            let state = &mut *self.lock();
            let registry = &state.registry;
            state.exchange.next_batches(is_periodic, || registry.instances().collect())
        };
        for batch in batches {
            tokio::spawn(Arc::clone(self).send_instance_batch(batch));
        }
    }

    async fn send_instance_batch(self: Arc<Self>, batch: Batch) {
        let Batch { to, number, changed, refreshed, needs_confirmation } = batch;
        let from = self.local_voter.disk;
        let message = Message::Registry(RegistryMessage::Instances {
            from,
            changed,
            refreshed,
            confirm: needs_confirmation,
        });
        let sent_at = clock::now();
        let reply = self.call_peer(to.address, message).await;
        {
            let state = &mut *self.lock();
            match reply {
                Some((link, RegistryMessage::InstancesMerged { epoch, applied })) => {
                    state.contact.record_reply(clock::now(), to.disk, sent_at, epoch);
                    if applied || !needs_confirmation {
                        state.exchange.handle_reply(to.disk, number, link);
                    } else {
                        state.exchange.handle_not_applied(to.disk, number, link);
                    }
                }
                _ => {
                    debug!(self.log, "keeper not responding"; "keeper" => %to.node.0);
                    state.exchange.handle_failure(to.disk, number);
                }
            }
        }
        self.state_changed.notify_waiters();
    }

    /// Sends a request to another keeper. Returns its reply and the link that it arrived on.
    async fn call_peer(&self, address: SocketAddr, message: Message) -> Option<(LinkId, RegistryMessage)> {
        let link = self.peers.link(address).await.ok()?;
        match link.call(message, self.control_timings.peer_reply_timeout).await {
            Ok(Message::Registry(reply)) => Some((link.id(), reply)),
            _ => None,
        }
    }

    /// Sends changed instances to subscribers and keepers with the next push.
    fn publish_instances(&self, state: &mut State, changed: &[Instance]) {
        if changed.is_empty() {
            return;
        }
        state.subscribers.record_changed(changed);
        // An acknowledgement must cover all current voters.
        self.update_exchange_peers(state);
        state.exchange.record_changes(changed);
        self.push_requested.notify_one();
    }

    /// Requests the other keepers to confirm a drain or termination that is recorded here, even if it was known before:
    /// an earlier request may have failed because it did not reach a majority.
    fn propagate(&self, state: &mut State, id: &InstanceId) -> Propagation {
        self.update_exchange_peers(state);
        if let Some(instance) = state.registry.get(id).cloned() {
            state.exchange.record_changes(&[instance]);
            self.push_requested.notify_one();
        }
        Propagation {
            revision: state.subscribers.pending_revision(),
            change_number: state.exchange.newest_change(),
        }
    }

    /// Waits a limited time until every reachable keeper has confirmed. In any case, enough keepers must have confirmed for
    /// every relay to be subscribed to one of them.
    async fn wait_until_propagated(&self, propagation: Propagation) -> EndpointReply {
        let deadline = Instant::now() + self.control_timings.propagation_timeout;
        self.wait_until(deadline, |state| {
            self.is_propagated_to_quorum(state, &propagation)
                && state.is_propagated_to_reachable(&propagation)
        })
        .await;
        if self.is_propagated_to_quorum(&self.lock(), &propagation) {
            return EndpointReply::Accepted;
        }
        EndpointReply::Unavailable
    }

    /// Whether the relays subscribed here have applied the drain or termination, and enough keepers have confirmed it
    /// for every relay to be subscribed to one of them.
    fn is_propagated_to_quorum(&self, state: &State, propagation: &Propagation) -> bool {
        let epoch = state.consensus.replica.epoch();
        let confirmed: Vec<DiskId> = state.exchange.confirmed_peers(propagation.change_number).collect();
        let has_confirmed =
            |voter: &&Voter| voter.disk == self.local_voter.disk || confirmed.contains(&voter.disk);
        let required = required_confirmations(epoch.voters.len(), self.required_replicas - 1);
        let has_quorum = epoch.voters.iter().filter(has_confirmed).count() >= required;
        has_quorum && state.subscribers.have_applied_instances(propagation.revision)
    }
}

impl State {
    /// Whether every keeper that replies, or sent a message recently, has confirmed.
    fn is_propagated_to_reachable(&self, propagation: &Propagation) -> bool {
        let now = clock::now();
        self.exchange.is_confirmed_by_reachable_peers(propagation.change_number, |disk| {
            self.contact.has_recent_message(now, disk)
        })
    }
}
