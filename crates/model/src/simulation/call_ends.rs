//! Ends of calls and pushes as the relay sees them, and its connections.

use juniperwing::interface::{LimitReport, NtfId, Outcome, Status};
use juniperwing::time::Span;

use super::state::{CallItem, CallState, RelayInput, SimulationEvent};
use super::{RETIRED_AT, Simulation};
use crate::endpoint::CallId;

impl Simulation<'_> {
    /// An answer reaches the relay.
    pub(super) fn handle_response(
        &mut self, id: CallId, status: Status, wait: Option<Span>, limit: Option<LimitReport>,
    ) {
        if self.calls.get(&id).is_some_and(|call| call.is_awaited) {
            self.finish_all_items(id, status, wait, limit);
            let keep =
                !matches!(status, Status::NoConnection | Status::Crowded | Status::Reset | Status::Skipped);
            self.close_call(id, keep);
        }
    }

    /// All pushes of a call that are still out have their outcome.
    fn finish_all_items(
        &mut self, id: CallId, status: Status, wait: Option<Span>, limit: Option<LimitReport>,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let out: Vec<usize> = (0..call.items.len()).filter(|n| call.items[*n].is_in_flight).collect();
        out.into_iter().for_each(|item| self.finish_item(id, item, status, wait, limit));
    }

    /// One push of a call has its outcome.
    pub(super) fn finish_item(
        &mut self, id: CallId, item: usize, status: Status, wait: Option<Span>, limit: Option<LimitReport>,
    ) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let of = &mut call.items[item];
        of.is_in_flight = false;
        let outcome = Outcome {
            ntf: NtfId(of.ntf),
            push: of.push,
            endpoint: self.endpoints[call.endpoint].plan.id.clone(),
            status,
            spent: now.since(call.sent_at),
            settled: false,
            wait,
            limit,
        };
        let (relay, route) = (call.relay, call.route);
        self.enqueue_input(relay, RelayInput::Ended { outcome: Box::new(outcome), route });
    }

    /// A push's time is up.
    pub(super) fn handle_push_timeout(&mut self, id: CallId, ntf: u64) {
        let Some(call) = self.calls.get(&id).filter(|call| call.is_awaited) else { return };
        let Some(item) = call.items.iter().position(|m| m.ntf == ntf && m.is_in_flight) else { return };
        let status = if call.is_connected { Status::TimedOut } else { Status::NoConnection };
        self.abort_item(id, item, status);
    }

    pub(super) fn cancel_push(&mut self, relay: usize, ntf: u64, push: u32) {
        for id in &self.nodes[relay].calls {
            let of = |m: &CallItem| m.ntf == ntf && m.push == push && m.is_in_flight;
            if let Some(item) = self.calls.get(id).and_then(|call| call.items.iter().position(of)) {
                return self.abort_item(*id, item, Status::Cancelled);
            }
        }
    }

    /// A push ends before its call does. With the last the call is closed, and so it is with an ordered one.
    fn abort_item(&mut self, id: CallId, item: usize, status: Status) {
        self.finish_item(id, item, status, None, None);
        let Some(call) = self.calls.get(&id) else { return };
        if call.items[item].is_ordered || !call.items.iter().any(|m| m.is_in_flight) {
            self.abort_call(id, Status::Cancelled);
        }
    }

    /// A call is over without an answer.
    pub(super) fn abort_call(&mut self, id: CallId, status: Status) {
        self.finish_all_items(id, status, None, None);
        self.close_call(id, false);
    }

    /// The relay is done with a call: its connection is kept or closed.
    pub(super) fn close_call(&mut self, id: CallId, keep: bool) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.is_awaited = false;
        let (relay, index, up) = (call.relay, call.endpoint, call.is_connected);
        let drops = call.state == CallState::Queued && {
            let destination = self.endpoints[index].plan.destination;
            self.scenario.kind[self.fleet.destinations[destination].kind].drops_cancelled
        };
        if drops {
            self.endpoints[index].queue.retain(|waiting| *waiting != id);
        }
        if drops || call.state == CallState::Done {
            self.calls.remove(&id);
        }
        let node = &mut self.nodes[relay];
        node.calls.remove(&id);
        if up && keep {
            let idle = node.idle_connections.entry(index).or_default();
            idle.push(now);
            if idle.len() == 1 {
                let after = Span::from_secs_f64(self.scenario.network.idle_s * RETIRED_AT);
                self.queue
                    .schedule(now + after, SimulationEvent::CloseIdleConnections { relay, endpoint: index });
            }
        } else if up {
            self.endpoints[index].connections -= 1;
        }
    }

    /// Connections that have been idle for long are closed.
    pub(super) fn close_idle_connections(&mut self, relay: usize, endpoint: usize) {
        let after = Span::from_secs_f64(self.scenario.network.idle_s * RETIRED_AT);
        let node = &mut self.nodes[relay];
        let Some(idle) = node.idle_connections.get_mut(&endpoint) else { return };
        let before = idle.len();
        idle.retain(|since| *since + after > self.now);
        self.endpoints[endpoint].connections -= before - idle.len();
        match idle.first() {
            Some(first) => {
                let at = *first + after;
                self.queue.schedule(at, SimulationEvent::CloseIdleConnections { relay, endpoint });
            }
            None => drop(node.idle_connections.remove(&endpoint)),
        }
    }
}
