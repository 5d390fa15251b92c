//! The list of endpoints and the troubles that begin and end.

use std::collections::BTreeSet;

use juniperwing::interface::Readiness;
use juniperwing::time::Span;

use super::World;
use super::build::new_endpoint;
use super::state::{Happens, Told};
use crate::endpoint::Outage;
use crate::fleet::{EndpointPlan, endpoint_id, span_ms as ms};
use crate::scenario::Woe;

impl World<'_> {
    fn list_down(&self) -> bool {
        self.spells.iter().any(|spell| spell.what == Woe::ListDown && spell.acts(self.now))
    }

    pub(super) fn subscribe(&mut self, relay: usize) {
        self.ledger.figures.list_requests += 1;
        let down = self.list_down();
        let node = &mut self.nodes[relay];
        let at = self.now + ms(self.scenario.list.answer_ms.draw(&mut node.list));
        let life = node.life;
        let told = if down {
            Told::Broken
        } else {
            node.watches = true;
            let missed = std::mem::take(&mut node.missed);
            node.told_until = node.told_until.max(at);
            Told::List(missed.into_iter().map(|endpoint| (endpoint, self.readiness[endpoint])).collect())
        };
        self.queue.put(at, Happens::Tell { relay, life, told });
    }

    /// The list changes; each relay hears of it in its own time, of one change after the other.
    pub(super) fn changed(&mut self, endpoint: usize, readiness: Readiness) {
        self.readiness[endpoint] = readiness;
        let stale = self.spells.iter().filter(|spell| spell.what == Woe::ListStale && spell.acts(self.now));
        let later = Span::from_secs_f64(stale.map(|spell| spell.size).sum());
        let down = self.list_down();
        for relay in 0..self.nodes.len() {
            let node = &mut self.nodes[relay];
            let after = Span::from_secs_f64(self.scenario.list.notice_s.draw(&mut node.list)) + later;
            if !node.up || !node.watches || down {
                node.missed.insert(endpoint);
                continue;
            }
            node.told_until = node.told_until.max(self.now + after);
            let (at, life) = (node.told_until, node.life);
            let told = Told::List(vec![(endpoint, readiness)]);
            self.queue.put(at, Happens::Tell { relay, life, told });
        }
    }

    pub(super) fn edge(&mut self, place: usize) {
        let spell = self.spells[place].clone();
        let begins = self.now < spell.to;
        match spell.what {
            Woe::ListDown if begins => {
                for relay in 0..self.nodes.len() {
                    if self.nodes[relay].up && std::mem::take(&mut self.nodes[relay].watches) {
                        self.tell(relay, Told::Broken);
                    }
                }
            }
            Woe::Kill | Woe::Lose if begins => {
                let relays = self.struck_relays[place].clone();
                let kept = spell.what == Woe::Kill;
                relays.into_iter().for_each(|relay| self.kill(relay, kept, Span::from_secs_f64(spell.size)));
            }
            Woe::Deploy if begins => {
                let ends = self.struck_ends[place].clone();
                let each = spell.to.since(spell.from).mul_f64(1.0 / ends.len().max(1) as f64);
                for (n, endpoint) in ends.into_iter().enumerate() {
                    let at = spell.from + each.mul_f64(n as f64);
                    self.queue
                        .put(at, Happens::Drain { endpoint, gone_after: Span::from_secs_f64(spell.size) });
                }
            }
            _ => {}
        }
        let lanes: BTreeSet<usize> =
            self.struck_ends[place].iter().map(|end| self.endpoints[*end].plan.lane).collect();
        lanes.into_iter().for_each(|lane| self.note_lane(lane));
    }

    /// Whether all of a lane is out just now.
    pub(super) fn note_lane(&mut self, lane: usize) {
        let (now, spells) = (self.now, &self.spells);
        let mut live =
            self.lanes[lane].endpoints.iter().map(|e| &self.endpoints[*e]).filter(|e| !e.gone).peekable();
        let out = live.peek().is_some() && live.all(|end| end.struck.out(spells, now));
        let record = &mut self.lanes[lane];
        let least = Span::from_secs_f64(self.scenario.rules.least_outage_s);
        match record.note_out(out, now, least) {
            Some(Outage::Began) => self.judge.outage(lane),
            Some(Outage::Ended) => {
                let cold = Some((record.plan.capacity, record.plan.cold));
                self.judge.returned(now, lane, cold);
            }
            Some(Outage::Brief) => self.judge.returned(now, lane, None),
            None => {}
        }
    }

    /// An endpoint drains, and another takes its place.
    pub(super) fn drain(&mut self, endpoint: usize, gone_after: Span) {
        if self.readiness[endpoint] != Readiness::Serving {
            return;
        }
        let place = self.endpoints.len();
        let plan = EndpointPlan { id: endpoint_id(place), ..self.endpoints[endpoint].plan.clone() };
        let (lane, struck) = (plan.lane, self.endpoints[endpoint].struck.clone());
        self.ids.insert(plan.id.0.clone(), place);
        self.endpoints.push(new_endpoint(plan, struck, place, &self.chance));
        self.lanes[lane].endpoints.push(place);
        self.readiness.push(Readiness::Serving);
        self.changed(place, Readiness::Serving);
        self.changed(endpoint, Readiness::Draining);
        self.queue.put(self.now + gone_after, Happens::Gone(endpoint));
    }
}
