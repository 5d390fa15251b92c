//! Endpoints: their heartbeats, and what keepers tell each other of them.

use std::net::SocketAddr;
use std::sync::Arc;

use juniperwing_protocol::registry::{Instance, InstanceState, Refresh, RegistryMessage};
use juniperwing_protocol::replication::Voter;
use juniperwing_protocol::{DiskId, InstanceId, Message};
use juniperwing_registry::{Batch, ChangeNumber, HeartbeatOutcome, needed_confirmations};
use slog::{debug, info};
use tokio::time::Instant;

use super::{Keeper, State};
use crate::clock;
use crate::link::{LinkId, Reply};

/// The answer to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatAnswer {
    /// Heard, by a keeper that a majority of the keepers answers. Where the endpoint leaves, enough keepers for
    /// every relay to hear of it have taken it, a majority at least, and the relays subscribed there applied it.
    Accepted,
    /// This keeper is cut off or full, or could not spread an end in time: another one should be called.
    Unavailable,
}

/// What has to be confirmed before an endpoint that leaves is answered.
struct Spread {
    revision: u64,
    change: ChangeNumber,
}

impl Keeper {
    /// An endpoint's heartbeat.
    pub(super) async fn heartbeat(self: &Arc<Self>, instance: Instance) -> HeartbeatAnswer {
        let leaves = instance.state != InstanceState::Ready;
        let id = instance.id.clone();
        let spread = {
            let state = &mut *self.lock();
            let now = clock::now();
            if !self.is_in_contact(state) {
                return HeartbeatAnswer::Unavailable;
            }
            match state.registry.handle_heartbeat(now, instance) {
                HeartbeatOutcome::Full => return HeartbeatAnswer::Unavailable,
                HeartbeatOutcome::Stale => {}
                HeartbeatOutcome::Refreshed(refresh) => state.exchange.record_refresh(&refresh),
                HeartbeatOutcome::Changed(changed) => self.publish(state, &changed),
            }
            if !leaves {
                return HeartbeatAnswer::Accepted;
            }
            self.spread(state, &id)
        };
        info!(self.log, "endpoint drains"; "endpoint" => %id.0);
        self.wait_spread(spread).await
    }

    /// An endpoint says that it ends.
    pub(super) async fn end_instance(self: &Arc<Self>, id: InstanceId) -> HeartbeatAnswer {
        let spread = {
            let state = &mut *self.lock();
            if !self.is_in_contact(state) {
                return HeartbeatAnswer::Unavailable;
            }
            let gone = state.registry.deregister(clock::now(), &id);
            self.publish(state, gone.as_slice());
            self.spread(state, &id)
        };
        info!(self.log, "endpoint ends"; "endpoint" => %id.0);
        self.wait_spread(spread).await
    }

    /// Another keeper tells of instances. If it wants them confirmed, it is answered when the subscribers here
    /// have applied them.
    pub(super) fn merge_instances(
        self: &Arc<Self>, changed: Vec<Instance>, refreshed: &[Refresh], confirm: bool, reply: Reply,
    ) {
        let revision = {
            let mut state = self.lock();
            let news = state.registry.merge(clock::now(), changed, refreshed);
            if !news.is_empty() {
                self.wake_push.notify_one();
            }
            state.subscribers.note(&news)
        };
        let keeper = Arc::clone(self);
        if !confirm {
            return reply.send(keeper.instances_taken(false));
        }
        tokio::spawn(async move {
            let until = Instant::now() + keeper.times.subscribers_apply_within;
            let applied = keeper.wait_until(until, |state| state.subscribers.have_instances(revision)).await;
            reply.send(keeper.instances_taken(applied));
        });
    }

    fn instances_taken(&self, applied: bool) -> Message {
        let epoch = self.lock().consensus.replica.epoch().number;
        Message::Registry(RegistryMessage::InstancesMerged { epoch, applied })
    }

    /// Expires endpoints that nobody hears of, while this keeper hears what the others hear.
    pub(super) fn expire_instances(&self, state: &mut State) {
        let now = clock::now();
        let epoch = state.consensus.replica.epoch();
        let confirmed_at = state.contact.confirmed_until(now, self.me.disk, epoch);
        let Some(confirmed_at) = confirmed_at.filter(|_| !state.was_paused) else {
            return state.registry.restart_timeouts(now);
        };
        let expired = state.registry.expire(now, confirmed_at);
        for instance in &expired {
            info!(self.log, "endpoint lost"; "endpoint" => %instance.id.0, "service" => %instance.service.0);
        }
        self.publish(state, &expired);
    }

    /// Sends the other keepers what they have to be told now.
    pub(super) fn send_batches(self: &Arc<Self>, regular: bool) {
        let batches = {
            let state = &mut *self.lock();
            let registry = &state.registry;
            state.exchange.next_batches(regular, || registry.instances().collect())
        };
        for batch in batches {
            tokio::spawn(Arc::clone(self).send_batch(batch));
        }
    }

    async fn send_batch(self: Arc<Self>, batch: Batch) {
        let Batch { to, number, changed, refreshed, needs_confirmation } = batch;
        let from = self.me.disk;
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
        self.progress.notify_waiters();
    }

    /// Another keeper's answer, with the link over which it came.
    async fn call_peer(&self, address: SocketAddr, message: Message) -> Option<(LinkId, RegistryMessage)> {
        let link = self.peers.link(address).await.ok()?;
        match link.call(message, self.times.peer_answers_within).await {
            Ok(Message::Registry(answer)) => Some((link.id(), answer)),
            _ => None,
        }
    }

    /// Tells subscribers and keepers of changes, with the next push.
    fn publish(&self, state: &mut State, changed: &[Instance]) {
        if changed.is_empty() {
            return;
        }
        state.subscribers.note(changed);
        // A voter of this moment must not be missed by what is acknowledged in it.
        self.set_exchange_keepers(state);
        state.exchange.record_changes(changed);
        self.wake_push.notify_one();
    }

    /// Has an end that was taken here confirmed by the other keepers, also if they or this keeper knew of it: an
    /// earlier call may have been refused because it did not reach a majority.
    fn spread(&self, state: &mut State, id: &InstanceId) -> Spread {
        self.set_exchange_keepers(state);
        if let Some(instance) = state.registry.get(id).cloned() {
            state.exchange.record_changes(&[instance]);
            self.wake_push.notify_one();
        }
        Spread { revision: state.subscribers.pending_revision(), change: state.exchange.newest_change() }
    }

    /// Waits until every keeper in reach has confirmed, for a limited time. Enough have to have confirmed in any
    /// case, so that every relay has a subscription to one that has.
    async fn wait_spread(&self, spread: Spread) -> HeartbeatAnswer {
        let until = Instant::now() + self.times.spread_within;
        self.wait_until(until, |state| {
            self.is_known_to_enough(state, &spread) && state.is_known_in_reach(&spread)
        })
        .await;
        if self.is_known_to_enough(&self.lock(), &spread) {
            return HeartbeatAnswer::Accepted;
        }
        HeartbeatAnswer::Unavailable
    }

    /// Whether the relays subscribed here have confirmed, and enough keepers for every relay to hear of it.
    fn is_known_to_enough(&self, state: &State, spread: &Spread) -> bool {
        let epoch = state.consensus.replica.epoch();
        let confirmed: Vec<DiskId> = state.exchange.confirmed_peers(spread.change).collect();
        let has = |voter: &&Voter| voter.disk == self.me.disk || confirmed.contains(&voter.disk);
        let needed = needed_confirmations(epoch.voters.len(), self.required_copies - 1);
        let is_enough = epoch.voters.iter().filter(has).count() >= needed;
        is_enough && state.subscribers.have_instances(spread.revision)
    }
}

impl State {
    /// Whether every keeper that answers, or was heard of a short while ago, has confirmed.
    fn is_known_in_reach(&self, spread: &Spread) -> bool {
        let now = clock::now();
        self.exchange
            .is_confirmed_by_reachable_peers(spread.change, |disk| self.contact.has_recent_message(now, disk))
    }
}
