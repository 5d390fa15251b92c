//! The execution of commands of relays, in order, as by the relay on sockets.

use juniperwing::interface::{Command, EndpointId};
use juniperwing::time::Span;

use super::Simulation;
use super::state::{PushRequest, RelayInput, SimulationEvent};
use crate::fleet::span_ms;
use crate::metrics::UndeliveredReason;
use crate::rule_checker::FinalAnswer;

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

    /// The pushes at the start of `commands` that are sent to one endpoint in one call.
    fn pushes_of_call(&self, to: &EndpointId, commands: &[Command]) -> Vec<PushRequest> {
        let pushes = commands.iter().map_while(|command| match command {
            Command::Push { notification, endpoint, timeout, .. } if endpoint == to => {
                Some(PushRequest { notification_id: notification.0, timeout: *timeout })
            }
            _ => None,
        });
        pushes.take(self.max_pushes_per_call(to)).collect()
    }

    /// The maximum of pushes in a call to an endpoint, at least 1.
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
                    let idle = self.relays[relay].idle_connections.remove(&endpoint).unwrap_or_default();
                    self.endpoints[endpoint].connections -= idle.len();
                }
            }
            // Pushes are handled by `execute_commands`. A call is in flight as soon as it is commanded, so `CancelUnsent`
            // finds no unsent push.
            Command::Push { .. } | Command::Log(_) | Command::CancelUnsent(_) => {}
        }
    }

    fn schedule_wake(&mut self, relay: usize, after: Span) {
        let at = self.now + after;
        let process = &mut self.relays[relay];
        if at < process.wake_at {
            process.wake_at = at;
            let incarnation = process.incarnation;
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

    /// Records a final answer other than a delivery. Returns the notification unless it already has a final answer.
    fn answer(&mut self, relay: usize, notification_id: u64, answer: FinalAnswer) -> Option<usize> {
        self.rule_checker.handle_final_answer(self.now, relay, notification_id, answer);
        let pending = self.relays[relay]
            .pending
            .get_mut(&notification_id)
            .filter(|pending| !pending.has_final_answer)?;
        pending.has_final_answer = true;
        let (notification, is_unanswered) = (pending.notification, pending.is_unanswered);
        // In the turn that accepts the notification, the answer is part of the response; later it is sent as a notice.
        if is_unanswered {
            self.enqueue_input(relay, RelayInput::NoticeDelivered(notification_id));
        } else {
            self.schedule_notice(relay, notification_id);
        }
        Some(notification)
    }

    /// Schedules the time at which a relay learns that the client has its notice.
    pub(super) fn schedule_notice(&mut self, relay: usize, notification_id: u64) {
        let process = &mut self.relays[relay];
        let at = self.now + span_ms(self.scenario.relays.notice_delay_ms.draw(&mut process.network_rng));
        let (incarnation, input) = (process.incarnation, RelayInput::NoticeDelivered(notification_id));
        self.queue.schedule(at, SimulationEvent::RelayInput { relay, incarnation, input });
    }
}
