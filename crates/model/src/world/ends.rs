//! Ends of calls and pushes as the relay sees them, and its connections.

use juniperwing::interface::{CallStatus, NotificationId, PushOutcome, RateLimitReport};
use juniperwing::time::Span;

use super::state::{Happens, Member, Told, Where};
use super::{RETIRED_AT, World};
use crate::endpoint::CallId;

impl World<'_> {
    /// An answer reaches the relay.
    pub(super) fn back(
        &mut self, id: CallId, status: CallStatus, wait: Option<Span>, limit: Option<RateLimitReport>,
    ) {
        if self.calls.get(&id).is_some_and(|call| call.open) {
            self.ended_all(id, status, wait, limit);
            let keep = !matches!(
                status,
                CallStatus::NoConnection
                    | CallStatus::ConnectionLimitReached
                    | CallStatus::Reset
                    | CallStatus::Skipped
            );
            self.close(id, keep);
        }
    }

    /// All pushes of a call that are still out have their outcome.
    fn ended_all(
        &mut self, id: CallId, status: CallStatus, wait: Option<Span>, limit: Option<RateLimitReport>,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let out: Vec<usize> = (0..call.members.len()).filter(|n| call.members[*n].out).collect();
        out.into_iter().for_each(|member| self.ended(id, member, status, wait, limit));
    }

    /// One push of a call has its outcome.
    pub(super) fn ended(
        &mut self, id: CallId, member: usize, status: CallStatus, wait: Option<Span>,
        limit: Option<RateLimitReport>,
    ) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let of = &mut call.members[member];
        of.out = false;
        let outcome = PushOutcome {
            notification: NotificationId(of.ntf),
            push_index: of.push,
            endpoint: self.endpoints[call.endpoint].plan.id.clone(),
            status,
            elapsed: now.since(call.sent),
            has_final_answer: false,
            retry_after: wait,
            rate_limit: limit,
        };
        let (relay, lane) = (call.relay, call.lane);
        self.tell(relay, Told::Ended { outcome: Box::new(outcome), lane });
    }

    /// A push's time is up.
    pub(super) fn due(&mut self, id: CallId, ntf: u64) {
        let Some(call) = self.calls.get(&id).filter(|call| call.open) else { return };
        let Some(member) = call.members.iter().position(|m| m.ntf == ntf && m.out) else { return };
        let status = if call.up { CallStatus::TimedOut } else { CallStatus::NoConnection };
        self.end_member(id, member, status);
    }

    pub(super) fn cancel(&mut self, relay: usize, ntf: u64, push: u32) {
        for id in &self.nodes[relay].calls {
            let of = |m: &Member| m.ntf == ntf && m.push == push && m.out;
            if let Some(member) = self.calls.get(id).and_then(|call| call.members.iter().position(of)) {
                return self.end_member(*id, member, CallStatus::Cancelled);
            }
        }
    }

    /// A push ends before its call does. With the last the call is closed, and so it is with an ordered one.
    fn end_member(&mut self, id: CallId, member: usize, status: CallStatus) {
        self.ended(id, member, status, None, None);
        let Some(call) = self.calls.get(&id) else { return };
        if call.members[member].ordered || !call.members.iter().any(|m| m.out) {
            self.broke(id, CallStatus::Cancelled);
        }
    }

    /// A call is over without an answer.
    pub(super) fn broke(&mut self, id: CallId, status: CallStatus) {
        self.ended_all(id, status, None, None);
        self.close(id, false);
    }

    /// The relay is done with a call: its connection is kept or closed.
    pub(super) fn close(&mut self, id: CallId, keep: bool) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.open = false;
        let (relay, place, up) = (call.relay, call.endpoint, call.up);
        let drops = call.place == Where::Waiting && {
            let destination = self.endpoints[place].plan.destination;
            self.scenario.kind[self.fleet.destinations[destination].kind].drops_cancelled
        };
        if drops {
            self.endpoints[place].queue.retain(|waiting| *waiting != id);
        }
        if drops || call.place == Where::Done {
            self.calls.remove(&id);
        }
        let node = &mut self.nodes[relay];
        node.calls.remove(&id);
        if up && keep {
            let idle = node.idle.entry(place).or_default();
            idle.push(now);
            if idle.len() == 1 {
                let after = Span::from_secs_f64(self.scenario.network.idle_s * RETIRED_AT);
                self.queue.put(now + after, Happens::Retire { relay, endpoint: place });
            }
        } else if up {
            self.endpoints[place].connections -= 1;
        }
    }

    /// Connections that have been idle for long are closed.
    pub(super) fn retire(&mut self, relay: usize, endpoint: usize) {
        let after = Span::from_secs_f64(self.scenario.network.idle_s * RETIRED_AT);
        let node = &mut self.nodes[relay];
        let Some(idle) = node.idle.get_mut(&endpoint) else { return };
        let before = idle.len();
        idle.retain(|since| *since + after > self.now);
        self.endpoints[endpoint].connections -= before - idle.len();
        match idle.first() {
            Some(first) => {
                let at = *first + after;
                self.queue.put(at, Happens::Retire { relay, endpoint });
            }
            None => drop(node.idle.remove(&endpoint)),
        }
    }
}
