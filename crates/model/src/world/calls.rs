//! Calls on the way: from the push to the endpoint that serves it, and its answer.

use juniperwing::interface::{CallStatus, EndpointId};
use juniperwing::time::Span;
use rand::Rng;

use super::World;
use super::state::{Call, Happens, Member, Where};
use crate::endpoint::{CallId, Place};
use crate::figures::worth;
use crate::fleet::span_ms as ms;
use crate::judge::To;
use crate::scenario::{Effect, Woe};

impl World<'_> {
    pub(super) fn push(&mut self, relay: usize, endpoint: &EndpointId, pushes: &[(u64, Span)]) {
        let now = self.now;
        let Some(place) = self.ids.get(&endpoint.0).copied() else {
            self.ledger.figures.faults += pushes.len() as u64;
            return;
        };
        let (lane, zone) = (self.endpoints[place].plan.lane, self.endpoints[place].plan.zone);
        let to = To { endpoint: place, zone, lane };
        let mut members = Vec::new();
        for (ntf, _) in pushes {
            let Some(held) = self.nodes[relay].held.get_mut(ntf) else {
                // The judge sees what was sent for something that is over; nobody else does.
                self.judge.sent(now, relay, *ntf, 0, to);
                self.ledger.figures.faults += 1;
                continue;
            };
            let (push, message) = (held.pushes, held.message);
            held.pushes += 1;
            held.out = Some((now, zone));
            self.judge.sent(now, relay, *ntf, push, to);
            if self.messages[message].destination != self.endpoints[place].plan.destination {
                self.ledger.figures.faults += 1;
            }
            let ordered = self.messages[message].key.is_some();
            members.push(Member { ntf: *ntf, message, push, out: true, ordered });
        }
        if members.is_empty() {
            return;
        }
        self.ledger.figures.pushes.sent += members.len() as u64;
        self.ledger.figures.pushes.calls += 1;
        self.ledger.second(now).pushes += members.len() as u64;
        self.next_call += 1;
        let id = self.next_call;
        let one_way = self.one_way(relay, place);
        let node = &mut self.nodes[relay];
        let call = Call {
            relay,
            endpoint: place,
            lane,
            members,
            sent: now,
            one_way,
            up: false,
            open: true,
            place: Where::Flying,
            breaks: false,
        };
        if node.calls.len() >= node.plan.allowance.slots {
            // More calls than slots: not sent at all.
            node.calls.insert(id);
            self.calls.insert(id, Call { place: Where::Done, ..call });
            self.queue
                .put(now, Happens::Back { call: id, status: CallStatus::Skipped, wait: None, limit: None });
            return;
        }
        node.calls.insert(id);
        let idle = node.idle.get_mut(&place).and_then(Vec::pop).is_some();
        let cut = self.endpoints[place].struck.any(&self.spells, Woe::CutThere, now);
        self.calls.insert(id, Call { up: idle, ..call });
        for (ntf, time_out) in pushes {
            self.queue.put(now + *time_out, Happens::Due { call: id, ntf: *ntf });
        }
        if !idle {
            self.ledger.figures.connections += 1;
            let within = ms(self.scenario.network.connect_timeout_ms);
            self.queue.put(now + within, Happens::ConnectDue(id));
        }
        if cut {
            // Lost on the way: it reaches nobody.
            self.at(id, Where::Done);
        } else {
            let next = if idle { Happens::Reach(id) } else { Happens::Connect(id) };
            self.queue.put(now + one_way, next);
        }
    }

    /// How long a message takes between a relay and an endpoint just now.
    fn one_way(&mut self, relay: usize, endpoint: usize) -> Span {
        let network = &self.scenario.network;
        let (node, plan) = (&mut self.nodes[relay], &self.endpoints[endpoint].plan);
        let range = if node.plan.zone == plan.zone { network.near_ms } else { network.far_ms };
        let base = range.least + (range.most - range.least) * (node.plan.distance + plan.distance) / 2.0;
        ms(base * (1.0 + network.jitter * node.chance.random::<f64>()))
    }

    /// A connection is asked for at the endpoint.
    pub(super) fn connect(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !call.open {
            return self.at(id, Where::Done);
        }
        let endpoint = &mut self.endpoints[call.endpoint];
        let struck = &endpoint.struck;
        let refuses = endpoint.gone || struck.any(&self.spells, Woe::Down, now);
        if refuses || endpoint.connections >= endpoint.plan.connections {
            let status = if refuses { CallStatus::NoConnection } else { CallStatus::ConnectionLimitReached };
            self.queue.put(now + call.one_way, Happens::Back { call: id, status, wait: None, limit: None });
            return self.at(id, Where::Done);
        }
        endpoint.connections += 1;
        call.up = true;
        let slow = struck.factor(&self.spells, Woe::Handshakes, now);
        let trips = 2.0 * self.scenario.network.handshake_rtts * slow;
        let kind = &self.scenario.kind[self.fleet.destinations[endpoint.plan.destination].kind];
        let work = ms(kind.handshake_work_ms * slow);
        self.queue.put(now + call.one_way.mul_f64(trips) + work, Happens::Reach(id));
    }

    /// The last byte of a call reaches the endpoint.
    pub(super) fn reach(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (place, lane, relay) = (call.endpoint, call.lane, call.relay);
        let destination = self.endpoints[place].plan.destination;
        let kind = &self.scenario.kind[self.fleet.destinations[destination].kind];
        let count = call.members.len();
        let item = (kind.item_cost.least + kind.item_cost.most) / 2.0;
        let weight = 1.0 + item * (count - 1) as f64;
        let (tells_wait, refused_count, noise) = (kind.tells_wait, kind.refused_count, kind.report_noise);
        let failing = call.members.iter().any(|member| {
            self.endpoints[place].struck.fails(&self.spells, self.messages[member.message].topic, now)
        });
        self.watch(destination, |w| &mut w.reached, count as f64);
        let endpoint = &mut self.endpoints[place];
        if endpoint.gone || endpoint.struck.any(&self.spells, Woe::Down, now) {
            return self.answer(id, CallStatus::Reset, None);
        }
        if !self.lanes[lane].is_out() {
            self.judge.reached(now, relay, lane, weight);
        }
        let (window, multiple) = (self.judged.tip_after, self.judged.fall_multiple);
        let fell = self.lanes[lane].reach(now, weight, window, multiple, self.judged.fall_slack);
        let endpoint = &mut self.endpoints[place];
        let struck = &endpoint.struck;
        if fell || self.lanes[lane].fallen || struck.any(&self.spells, Woe::Silent, now) {
            // Taken, and never answered.
            return self.at(id, Where::Done);
        }
        if struck.any(&self.spells, Woe::Errors, now) || failing {
            return self.answer(id, CallStatus::Error, None);
        }
        if struck.any(&self.spells, Woe::Refuses, now) {
            return self.answer(id, CallStatus::Busy, None);
        }
        let spared = struck.spared(&self.spells, Woe::Resets, now);
        if spared < 1.0 {
            let broken = 1.0 - spared;
            let drawn = endpoint.draw();
            if drawn < broken / 2.0 {
                return self.answer(id, CallStatus::Reset, None);
            }
            if let Some(call) = self.calls.get_mut(&id) {
                call.breaks = drawn < broken;
            }
        }
        let factor = endpoint.struck.factor(&self.spells, Woe::Limit, now) * self.lanes[lane].level(now);
        let limit = &mut self.lanes[lane].limit;
        let within = limit.take(now, factor, refused_count);
        endpoint.make_report(now, noise, limit, factor);
        if !within {
            let wait = (endpoint.draw() < tells_wait).then(|| limit.opens(now, factor));
            return self.answer(id, CallStatus::Busy, wait.filter(|wait| *wait > Span::ZERO));
        }
        match endpoint.admit(id) {
            Place::Served => self.serve(id),
            Place::Waits => self.at(id, Where::Waiting),
            Place::Full => self.answer(id, CallStatus::Busy, None),
        }
    }

    /// A call begins to be served.
    fn serve(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.place = Where::Running;
        let endpoint = &mut self.endpoints[call.endpoint];
        let destination = &self.fleet.destinations[endpoint.plan.destination];
        let item = self.scenario.kind[destination.kind].item_cost;
        let mut work = 0.0;
        for (n, member) in call.members.iter().enumerate() {
            let part = if n == 0 { 1.0 } else { item.least + (item.most - item.least) * endpoint.draw() };
            work += self.messages[member.message].work * part;
        }
        // Each try differs a little from the last, for the same notification.
        let first = call.members.first().map_or(0, |member| self.messages[member.message].topic);
        let work = endpoint.service(work / destination.speed, self.fleet.topics[first].try_cv);
        let slow = endpoint.struck.factor(&self.spells, Woe::Slow, now) / self.lanes[call.lane].level(now);
        let from = endpoint.struck.goes_on(&self.spells, now).unwrap_or(now);
        self.queue.put(from + Span::from_secs_f64(work * slow), Happens::Served(id));
    }

    pub(super) fn served(&mut self, id: CallId) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let (place, lane, breaks) = (call.endpoint, call.lane, call.breaks);
        let endpoint = &mut self.endpoints[place];
        if let Some(at) = endpoint.struck.goes_on(&self.spells, now) {
            return self.queue.put(at, Happens::Served(id));
        }
        let silent = self.lanes[lane].fallen || endpoint.struck.any(&self.spells, Woe::Silent, now);
        let error = endpoint.draw() < endpoint.plan.error_rate;
        if let Some(next) = endpoint.release() {
            self.serve(next);
        }
        if silent {
            return self.at(id, Where::Done);
        }
        let status = if error { CallStatus::Error } else { CallStatus::Delivered };
        if !error {
            self.ran(id);
        }
        self.answer(id, if breaks { CallStatus::Reset } else { status }, None);
    }

    /// What a call carried has run.
    fn ran(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let destination = self.endpoints[call.endpoint].plan.destination;
        let ran: Vec<(usize, u64)> = call.members.iter().map(|member| (member.message, member.ntf)).collect();
        for (place, ntf) in ran {
            let message = &mut self.messages[place];
            let topic = &self.scenario.topic[message.topic];
            self.judge.ran(self.now, place, ntf, topic.effect == Effect::OnceOnly);
            let spent = self.now.since(message.born);
            let in_time = self.now <= message.valid_until;
            let first = in_time && !std::mem::replace(&mut message.delivered, true);
            if !first {
                self.ledger.figures.pushes.wasted += 1;
                continue;
            }
            let (born, share) = (message.born, worth(topic, spent));
            let (topic, account, benefit, done) =
                (message.topic, message.account, message.benefit, message.done);
            // What its client gave up on before is delivered all the same, but no benefit to anybody.
            if !done {
                self.ledger.delivered(born, spent, topic, account, benefit, share);
                self.watch(destination, |w| &mut w.delivered, 1.0);
            }
        }
    }

    /// The endpoint answers a call, or its connection breaks.
    fn answer(&mut self, id: CallId, status: CallStatus, wait: Option<Span>) {
        let now = self.now;
        let Some(call) = self.calls.get(&id) else { return };
        let endpoint = &self.endpoints[call.endpoint];
        let cut = endpoint.struck.any(&self.spells, Woe::CutBack, now);
        let kind = &self.scenario.kind[self.fleet.destinations[endpoint.plan.destination].kind];
        let limit = if kind.reports && status != CallStatus::Reset { endpoint.report(now) } else { None };
        if !cut && call.open {
            self.queue.put(now + call.one_way, Happens::Back { call: id, status, wait, limit });
        }
        self.at(id, Where::Done);
    }

    /// Notes where a call is; one that is done and that nobody waits for is forgotten.
    fn at(&mut self, id: CallId, place: Where) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.place = place;
            if place == Where::Done && !call.open {
                self.calls.remove(&id);
            }
        }
    }
}
