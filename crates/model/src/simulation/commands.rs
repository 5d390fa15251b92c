//! The commands of relays, executed in order as the relay on sockets does.

use juniperwing::interface::{Command, EndpointId};
use juniperwing::time::Span;

use super::Simulation;
use super::state::{PushRequest, RelayInput, SimulationEvent};
use crate::fleet::span_ms;
use crate::judge::FinalAnswer;
use crate::metrics::UndeliveredReason;

impl Simulation<'_> {
    pub(super) fn execute_commands(&mut self, relay: usize, commands: &[Command]) {
        let mut rest = commands;
        while let Some((command, later)) = rest.split_first() {
            if let Command::Push { endpoint, .. } = command {
                let pushes = self.pushes_of_call(endpoint, rest);
                rest = &rest[pushes.len()..];
                self.send_pushes(relay, endpoint, &pushes);
            } else {
                rest = later;
                self.execute_command(relay, command);
            }
        }
    }

    /// The pushes at the start of `commands` that travel to one endpoint in one call.
    fn pushes_of_call(&self, to: &EndpointId, commands: &[Command]) -> Vec<PushRequest> {
        let pushes = commands.iter().map_while(|command| match command {
            Command::Push { notification, endpoint, timeout, .. } if endpoint == to => {
                Some(PushRequest { notification_id: notification.0, timeout: *timeout })
            }
            _ => None,
        });
        pushes.take(self.max_pushes_per_call(to)).collect()
    }

    /// One at least.
    fn max_pushes_per_call(&self, endpoint: &EndpointId) -> usize {
        let Some(endpoint) = self.endpoint_indices.get(&endpoint.0) else { return 1 };
        let destination = self.endpoints[*endpoint].plan.destination;
        self.fleet.kinds[self.fleet.destinations[destination].kind].max_notifications_per_call.max(1)
    }

    fn execute_command(&mut self, relay: usize, command: &Command) {
        match command {
            Command::Cancel { notification, push_index } => {
                self.cancel_push(relay, notification.0, *push_index);
            }
            Command::Throttle { notification, retry_after } => {
                self.throttle(relay, notification.0, *retry_after);
            }
            Command::Expire(notification_id) => self.expire(relay, notification_id.0),
            Command::WakeAfter(after) => self.schedule_wake(relay, *after),
            Command::SubscribeToEndpointList => self.subscribe(relay),
            Command::Probe(_) => self.recorder.metrics.probes += 1,
            Command::CloseIdleConnections(endpoint) => {
                if let Some(endpoint) = self.endpoint_indices.get(&endpoint.0).copied() {
                    let idle = self.nodes[relay].idle_connections.remove(&endpoint).unwrap_or_default();
                    self.endpoints[endpoint].connections -= idle.len();
                }
            }
            // Pushes are sent in batches, and a call is in flight at once: there is none to withhold.
            Command::Push { .. } | Command::Log(_) | Command::CancelUnsent(_) => {}
        }
    }

    fn schedule_wake(&mut self, relay: usize, after: Span) {
        let at = self.now + after;
        let node = &mut self.nodes[relay];
        if at < node.wake_at {
            node.wake_at = at;
            let incarnation = node.incarnation;
            self.queue.schedule(at, SimulationEvent::Wake { relay, incarnation });
        }
    }

    fn throttle(&mut self, relay: usize, notification_id: u64, retry_after: Span) {
        if let Some(notification) = self.answer(relay, notification_id, FinalAnswer::Throttled) {
            self.resubmit_or_give_up(notification, relay, Some(retry_after));
        }
    }

    fn expire(&mut self, relay: usize, notification_id: u64) {
        if let Some(notification) = self.answer(relay, notification_id, FinalAnswer::Expired) {
            self.notifications[notification].pending_at = None;
            self.give_up(notification, UndeliveredReason::Expired);
        }
    }

    /// A final answer that is no delivery. Returns the notification unless it has an answer already.
    fn answer(&mut self, relay: usize, notification_id: u64, answer: FinalAnswer) -> Option<usize> {
        self.judge.handle_final_answer(self.now, relay, notification_id, answer);
        let pending = self.nodes[relay]
            .pending
            .get_mut(&notification_id)
            .filter(|pending| !pending.has_final_answer)?;
        pending.has_final_answer = true;
        let (notification, is_unanswered) = (pending.notification, pending.is_unanswered);
        // In the turn that accepts it the response itself carries the answer; later a notice does.
        if is_unanswered {
            self.enqueue_input(relay, RelayInput::NoticeDelivered(notification_id));
        } else {
            self.schedule_notice(relay, notification_id);
        }
        Some(notification)
    }

    /// Schedules the time at which a relay learns that the client has its notice.
    pub(super) fn schedule_notice(&mut self, relay: usize, notification_id: u64) {
        let node = &mut self.nodes[relay];
        let at = self.now + span_ms(self.scenario.relays.notice_delay_ms.draw(&mut node.network_rng));
        let (incarnation, input) = (node.incarnation, RelayInput::NoticeDelivered(notification_id));
        self.queue.schedule(at, SimulationEvent::RelayInput { relay, incarnation, input });
    }
}
