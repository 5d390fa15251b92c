//! Endpoints: their heartbeats, and what keepers tell each other of them.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_protocol::registry::{Instance, InstanceState, Refresh, RegistryMessage};
use juniperwing_protocol::{InstanceId, Message};
use juniperwing_registry::{Batch, ChangeNumber, HeartbeatOutcome};
use slog::{debug, info};
use tokio::time::Instant;

use super::{Keeper, State};
use crate::clock;
use crate::link::Reply;

/// How long a drain or end may take to spread before it is acknowledged; endpoints wait for a second.
const SPREAD_WITHIN: Duration = Duration::from_millis(700);
/// How long a keeper takes for its own subscribers before it answers another keeper.
const APPLY_WITHIN: Duration = Duration::from_millis(400);
/// When another keeper's answer is given up.
const PEER_ANSWERS_WITHIN: Duration = Duration::from_millis(600);

/// The answer to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatAnswer {
    /// Heard; where the endpoint leaves, everyone in reach knows.
    Accepted,
    /// This keeper is cut off or full: another one should be called.
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
            let mut state = self.lock();
            let now = clock::now();
            if !self.is_in_contact(&state) {
                return HeartbeatAnswer::Unavailable;
            }
            match state.registry.heartbeat(now, instance) {
                HeartbeatOutcome::Full => return HeartbeatAnswer::Unavailable,
                HeartbeatOutcome::Late => {}
                HeartbeatOutcome::Refreshed(refresh) => state.exchange.note_refreshed(&refresh),
                HeartbeatOutcome::Changed(changed) => self.publish(&mut state, &changed),
            }
            state.spread()
        };
        if leaves {
            info!(self.log, "endpoint drains"; "endpoint" => %id.0);
            self.wait_spread(spread).await;
        }
        HeartbeatAnswer::Accepted
    }

    /// An endpoint says that it ends.
    pub(super) async fn end_instance(self: &Arc<Self>, id: InstanceId) -> HeartbeatAnswer {
        let spread = {
            let mut state = self.lock();
            if !self.is_in_contact(&state) {
                return HeartbeatAnswer::Unavailable;
            }
            let gone = state.registry.remove(clock::now(), &id);
            self.publish(&mut state, gone.as_slice());
            state.spread()
        };
        info!(self.log, "endpoint ends"; "endpoint" => %id.0);
        self.wait_spread(spread).await;
        HeartbeatAnswer::Accepted
    }

    /// Another keeper tells of instances. It is answered when the subscribers here have applied them.
    pub(super) fn merge_instances(
        self: &Arc<Self>, changed: Vec<Instance>, refreshed: &[Refresh], reply: Reply,
    ) {
        let must_apply = !changed.is_empty();
        let revision = {
            let mut state = self.lock();
            let news = state.registry.merge(clock::now(), changed, refreshed);
            if !news.is_empty() {
                self.wake_push.notify_one();
            }
            state.subscribers.note(&news)
        };
        let answer = Message::Registry(RegistryMessage::InstancesApplied);
        if !must_apply {
            return reply.send(answer);
        }
        let keeper = Arc::clone(self);
        tokio::spawn(async move {
            let until = Instant::now() + APPLY_WITHIN;
            keeper.wait_until(until, |state| state.subscribers.have_instances(revision)).await;
            reply.send(answer);
        });
    }

    /// Expires endpoints that nobody hears of, while this keeper hears what the others hear.
    pub(super) fn expire_instances(&self, state: &mut State) {
        let now = clock::now();
        if !self.is_in_contact(state) || state.was_paused {
            return state.registry.restart_silence(now);
        }
        let expired = state.registry.expire(now);
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
            state.exchange.batches(regular, || registry.instances().collect())
        };
        for batch in batches {
            tokio::spawn(Arc::clone(self).send_batch(batch));
        }
    }

    async fn send_batch(self: Arc<Self>, batch: Batch) {
        let Batch { to, number, changed, refreshed } = batch;
        let from = self.me.disk;
        let message = Message::Registry(RegistryMessage::Instances { from, changed, refreshed });
        let link = self.peers.link(to.address).await.ok();
        let answered = match &link {
            Some(link) => link.call(message, PEER_ANSWERS_WITHIN).await.ok().map(|_| link.id()),
            None => None,
        };
        {
            let mut state = self.lock();
            match answered {
                Some(link) => {
                    state.contact.note(clock::now(), to.disk);
                    state.exchange.answered(to.disk, number, link);
                }
                None => {
                    debug!(self.log, "a keeper does not answer"; "keeper" => %to.node.0);
                    state.exchange.failed(to.disk, number);
                }
            }
        }
        self.progress.notify_waiters();
    }

    /// Tells subscribers and keepers of changes, with the next push.
    fn publish(&self, state: &mut State, changed: &[Instance]) {
        if changed.is_empty() {
            return;
        }
        state.subscribers.note(changed);
        // A voter of this moment must not be missed by what is acknowledged in it.
        self.set_exchange_keepers(state);
        state.exchange.note_changed(changed);
        self.wake_push.notify_one();
    }

    async fn wait_spread(&self, spread: Spread) {
        let until = Instant::now() + SPREAD_WITHIN;
        self.wait_until(until, |state| {
            let is_heard = |disk| state.contact.is_heard(clock::now(), disk);
            state.subscribers.have_instances(spread.revision)
                && state.exchange.have_confirmed(spread.change, is_heard)
        })
        .await;
    }
}

impl State {
    /// What stands for everything that was noted so far.
    fn spread(&self) -> Spread {
        Spread { revision: self.subscribers.pending_revision(), change: self.exchange.newest() }
    }
}
