//! Outcomes of calls and pushes at the relay, and its connections.

use juniperwing::interface::{CallStatus, NotificationId, PushOutcome};
use juniperwing::time::Span;

use super::state::{CallItem, CallState, RelayInput, Response, SimulationEvent};
use super::{IDLE_CLOSE_FRACTION, Simulation};
use crate::endpoint::CallId;

impl Simulation<'_> {
    /// Handles a response that reaches the relay.
    pub(super) fn handle_response(&mut self, id: CallId, response: Response) {
        if self.calls.get(&id).is_some_and(|call| call.is_awaited) {
            self.finish_all_items(id, response);
            let keeps_connection = !matches!(
                response.status,
                CallStatus::NoConnection
                    | CallStatus::ConnectionLimitReached
                    | CallStatus::Reset
                    | CallStatus::Skipped
            );
            self.close_call(id, keeps_connection);
        }
    }

    /// Reports the outcome of all pushes of a call that are in flight.
    fn finish_all_items(&mut self, id: CallId, response: Response) {
        let Some(call) = self.calls.get(&id) else { return };
        let in_flight: Vec<usize> = (0..call.items.len()).filter(|n| call.items[*n].is_in_flight).collect();
        in_flight.into_iter().for_each(|item| self.finish_item(id, item, response));
    }

    /// Reports the outcome of one push of a call.
    fn finish_item(&mut self, id: CallId, item: usize, response: Response) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let item = &mut call.items[item];
        item.is_in_flight = false;
        let outcome = PushOutcome {
            notification: NotificationId(item.notification_id),
            push_index: item.push,
            endpoint: self.endpoints[call.endpoint].plan.id.clone(),
            status: response.status,
            elapsed: self.now.since(call.sent_at),
            has_final_answer: false,
            retry_after: response.retry_after,
            rate_limit: response.rate_limit,
        };
        let (relay, route) = (call.relay, call.route);
        self.enqueue_input(relay, RelayInput::PushEnded { outcome: Box::new(outcome), route });
    }

    pub(super) fn handle_push_timeout(&mut self, id: CallId, notification_id: u64) {
        let Some(call) = self.calls.get(&id).filter(|call| call.is_awaited) else { return };
        let is_of = |item: &CallItem| item.notification_id == notification_id && item.is_in_flight;
        let Some(item) = call.items.iter().position(is_of) else { return };
        let status = if call.is_connected { CallStatus::TimedOut } else { CallStatus::NoConnection };
        self.abort_item(id, item, status);
    }

    pub(super) fn handle_connect_timeout(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|call| call.is_awaited && !call.is_connected) {
            self.abort_call(id, CallStatus::NoConnection);
        }
    }

    /// Cancels a push on command of its relay.
    pub(super) fn cancel_push(&mut self, relay: usize, notification_id: u64, push: u32) {
        let is_of = |item: &CallItem| {
            item.notification_id == notification_id && item.push == push && item.is_in_flight
        };
        for id in &self.relays[relay].calls {
            if let Some(item) = self.calls.get(id).and_then(|call| call.items.iter().position(is_of)) {
                return self.abort_item(*id, item, CallStatus::Cancelled);
            }
        }
    }

    /// Ends a push before its call has a response. The call is aborted with its last push in flight, and with any push
    /// of an ordered notification.
    fn abort_item(&mut self, id: CallId, item: usize, status: CallStatus) {
        self.finish_item(id, item, Response::of(status));
        let Some(call) = self.calls.get(&id) else { return };
        if call.items[item].is_ordered || !call.items.iter().any(|item| item.is_in_flight) {
            self.abort_call(id, CallStatus::Cancelled);
        }
    }

    /// Ends a call without response.
    fn abort_call(&mut self, id: CallId, status: CallStatus) {
        self.finish_all_items(id, Response::of(status));
        self.close_call(id, false);
    }

    /// Ends the relay's wait for a call, and keeps or closes its connection.
    pub(super) fn close_call(&mut self, id: CallId, keeps_connection: bool) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.is_awaited = false;
        let (relay, endpoint, is_connected, state) =
            (call.relay, call.endpoint, call.is_connected, call.state);
        let leaves_queue = state == CallState::Queued && self.kind_of(endpoint).drops_cancelled;
        if leaves_queue {
            self.endpoints[endpoint].queue.retain(|queued| *queued != id);
        }
        if leaves_queue || state == CallState::Done {
            self.calls.remove(&id);
        }
        let process = &mut self.relays[relay];
        process.calls.remove(&id);
        if is_connected && keeps_connection {
            let idle = process.idle_connections.entry(endpoint).or_default();
            idle.push(self.now);
            if idle.len() == 1 {
                let at = self.now + self.max_idle_time();
                self.queue.schedule(at, SimulationEvent::CloseIdleConnections { relay, endpoint });
            }
        } else if is_connected {
            self.endpoints[endpoint].connections -= 1;
        }
    }

    /// How long a relay keeps an idle connection.
    fn max_idle_time(&self) -> Span {
        Span::from_secs_f64(self.scenario.network.idle_timeout_s * IDLE_CLOSE_FRACTION)
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn close_idle_connections(&mut self, relay: usize, endpoint: usize) {
        let max_idle = self.max_idle_time();
        let connections = &mut self.relays[relay].idle_connections;
        let Some(idle) = connections.get_mut(&endpoint) else { return };
        let before = idle.len();
        idle.retain(|since| *since + max_idle > self.now);
        self.endpoints[endpoint].connections -= before - idle.len();
        match idle.first() {
            Some(first) => {
                let at = *first + max_idle;
                self.queue.schedule(at, SimulationEvent::CloseIdleConnections { relay, endpoint });
            }
            None => drop(connections.remove(&endpoint)),
        }
    }
}
