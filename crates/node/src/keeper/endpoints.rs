//! Endpoints: their heartbeats, and what keepers tell each other of them.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_protocol::registry::{Instance, InstanceState, Refresh, RegistryMessage};
use juniperwing_protocol::replication::Voter;
use juniperwing_protocol::{DiskId, InstanceId, Message};
use juniperwing_registry::{Batch, ChangeNumber, HeartbeatOutcome, needed_confirmations};
use slog::{debug, info};
use tokio::time::Instant;

use super::controller::{Controller, State};
use crate::clock;
use crate::link::{LinkId, ReplySender};

/// The answer to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointReply {
    /// Heard, by a keeper that a majority of the keepers answers. Where the endpoint leaves, enough keepers for
    /// every relay to hear of it have taken it, a majority at least, and the relays subscribed there applied it.
    Accepted,
    /// This keeper is cut off or full, or could not spread an end in time: another one should be called.
    Unavailable,
}

/// What has to be confirmed before an endpoint that leaves is answered.
struct Propagation {
    revision: u64,
    change_number: ChangeNumber,
}

impl Controller {
    /// An endpoint's heartbeat.
    pub(super) async fn handle_heartbeat(self: &Arc<Self>, instance: Instance) -> EndpointReply {
        let leaves = instance.state != InstanceState::Ready;
        let id = instance.id.clone();
        let spread = {
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
            if !leaves {
                return EndpointReply::Accepted;
            }
            self.propagate(state, &id)
        };
        info!(self.log, "endpoint drains"; "endpoint" => %id.0);
        self.wait_until_propagated(spread).await
    }

    /// An endpoint says that it ends.
    pub(super) async fn handle_instance_end(self: &Arc<Self>, id: InstanceId) -> EndpointReply {
        let spread = {
            let state = &mut *self.lock();
            if !self.has_majority_contact(state) {
                return EndpointReply::Unavailable;
            }
            let gone = state.registry.deregister(clock::now(), &id);
            self.publish_instances(state, gone.as_slice());
            self.propagate(state, &id)
        };
        info!(self.log, "endpoint ends"; "endpoint" => %id.0);
        self.wait_until_propagated(spread).await
    }

    /// Another keeper tells of instances. If it wants them confirmed, it is answered when the subscribers here
    /// have applied them.
    pub(super) fn handle_instances(
        self: &Arc<Self>, changed: Vec<Instance>, refreshed: &[Refresh], confirm: bool, reply: ReplySender,
    ) {
        let revision = {
            let mut state = self.lock();
            let news = state.registry.merge(clock::now(), changed, refreshed);
            if !news.is_empty() {
                self.push_requested.notify_one();
            }
            state.subscribers.record_changed(&news)
        };
        let controller = Arc::clone(self);
        if !confirm {
            return reply.send(controller.instances_merged(false));
        }
        tokio::spawn(async move {
            let until = Instant::now() + controller.control_timings.subscriber_apply_timeout;
            let applied = controller
                .wait_until(until, |state| state.subscribers.have_applied_instances(revision))
                .await;
            reply.send(controller.instances_merged(applied));
        });
    }

    fn instances_merged(&self, applied: bool) -> Message {
        let epoch = self.lock().consensus.replica.epoch().number;
        Message::Registry(RegistryMessage::InstancesMerged { epoch, applied })
    }

    /// Expires endpoints that nobody hears of, while this keeper hears what the others hear.
    pub(super) fn expire_instances(&self, state: &mut State) {
        let now = clock::now();
        let epoch = state.consensus.replica.epoch();
        let confirmed_at = state.contact.confirmed_until(now, self.local_voter.disk, epoch);
        let Some(confirmed_at) = confirmed_at.filter(|_| !state.was_paused) else {
            return state.registry.restart_timeouts(now);
        };
        let expired = state.registry.expire(now, confirmed_at);
        for instance in &expired {
            info!(self.log, "endpoint lost"; "endpoint" => %instance.id.0, "service" => %instance.service.0);
        }
        self.publish_instances(state, &expired);
    }

    /// Sends the other keepers what they have to be told now.
    pub(super) fn send_instance_batches(self: &Arc<Self>, regular: bool) {
        let batches = {
            let state = &mut *self.lock();
            let registry = &state.registry;
            state.exchange.next_batches(regular, || registry.instances().collect())
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
        let asked_at = clock::now();
        let answer = self.call_peer(to.address, message).await;
        {
            let state = &mut *self.lock();
            match answer {
                Some((link, RegistryMessage::InstancesMerged { epoch, applied })) => {
                    state.contact.record_reply(clock::now(), to.disk, asked_at, epoch);
                    if applied || !needs_confirmation {
                        state.exchange.handle_reply(to.disk, number, link);
                    } else {
                        state.exchange.handle_not_applied(to.disk, number, link);
                    }
                }
                _ => {
                    debug!(self.log, "a keeper does not answer"; "keeper" => %to.node.0);
                    state.exchange.handle_failure(to.disk, number);
                }
            }
        }
        self.state_changed.notify_waiters();
    }

    /// Another keeper's answer, with the link over which it came.
    async fn call_peer(&self, address: SocketAddr, message: Message) -> Option<(LinkId, RegistryMessage)> {
        let link = self.peers.link(address).await.ok()?;
        match link.call(message, self.control_timings.peer_reply_timeout).await {
            Ok(Message::Registry(answer)) => Some((link.id(), answer)),
            _ => None,
        }
    }

    /// Tells subscribers and keepers of changes, with the next push.
    fn publish_instances(&self, state: &mut State, changed: &[Instance]) {
        if changed.is_empty() {
            return;
        }
        state.subscribers.record_changed(changed);
        // A voter of this moment must not be missed by what is acknowledged in it.
        self.update_exchange_peers(state);
        state.exchange.record_changes(changed);
        self.push_requested.notify_one();
    }

    /// Has an end that was taken here confirmed by the other keepers, also if they or this keeper knew of it: an
    /// earlier call may have been refused because it did not reach a majority.
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

    /// Waits until every keeper in reach has confirmed, for a limited time. Enough have to have confirmed in any
    /// case, so that every relay has a subscription to one that has.
    async fn wait_until_propagated(&self, spread: Propagation) -> EndpointReply {
        let until = Instant::now() + self.control_timings.propagation_timeout;
        self.wait_until(until, |state| {
            self.is_propagated_to_enough(state, &spread) && state.is_propagated_to_reachable(&spread)
        })
        .await;
        if self.is_propagated_to_enough(&self.lock(), &spread) {
            return EndpointReply::Accepted;
        }
        EndpointReply::Unavailable
    }

    /// Whether the relays subscribed here have confirmed, and enough keepers for every relay to hear of it.
    fn is_propagated_to_enough(&self, state: &State, spread: &Propagation) -> bool {
        let epoch = state.consensus.replica.epoch();
        let confirmed: Vec<DiskId> = state.exchange.confirmed_peers(spread.change_number).collect();
        let has = |voter: &&Voter| voter.disk == self.local_voter.disk || confirmed.contains(&voter.disk);
        let needed = needed_confirmations(epoch.voters.len(), self.required_replicas - 1);
        let is_enough = epoch.voters.iter().filter(has).count() >= needed;
        is_enough && state.subscribers.have_applied_instances(spread.revision)
    }
}

impl State {
    /// Whether every keeper that answers, or was heard of a short while ago, has confirmed.
    fn is_propagated_to_reachable(&self, spread: &Propagation) -> bool {
        let now = clock::now();
        self.exchange.is_confirmed_by_reachable_peers(spread.change_number, |disk| {
            self.contact.has_recent_message(now, disk)
        })
    }
}
