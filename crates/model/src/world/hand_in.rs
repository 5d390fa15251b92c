//! Notifications as their clients have them: drawn, handed in, handed in again, taken back and given up.

use juniperwing::time::Span;
use rand::Rng;

use super::World;
use super::state::{Happens, Held, Message, Told};
use crate::clients::{Arrival, comes_again};
use crate::figures::Undelivered;
use crate::fleet::span_ms as ms;

impl World<'_> {
    pub(super) fn draw(&mut self, source: usize) {
        match self.traffic.next(source, &self.fleet, &self.spells, &self.struck) {
            Some(arrival) => {
                let at = arrival.drawn;
                self.queue.put(at, Happens::Draw(source, Box::new(arrival)));
            }
            None => self.sources_left -= 1,
        }
    }

    pub(super) fn arrives(&mut self, arrival: Arrival) {
        let Arrival { at, destination, topic, relay, key, work, ttl, patience, .. } = arrival;
        let account = self.fleet.destinations[destination].account;
        let mut benefit = self.scenario.topic[topic].benefit;
        if let Some(share) = account.map(|account| &mut self.shares[account]) {
            share.left =
                (share.left + share.quota * at.since(share.at).as_secs_f64()).min(share.quota.max(1.0));
            share.at = share.at.max(at);
            if share.left < 1.0 {
                benefit *= share.over;
            } else {
                share.left -= 1.0;
            }
        }
        let message = self.messages.len();
        self.messages.push(Message {
            topic,
            destination,
            account,
            benefit,
            born: at,
            valid_until: at + ttl,
            key,
            work,
            again: 0,
            done: false,
            delivered: false,
            held: None,
        });
        self.open += 1;
        self.ledger.offered(at, topic, account, benefit);
        self.queue.put(at, Happens::HandIn { message, relay });
        if let Some(patience) = patience {
            self.queue.put(at + patience, Happens::TakenBack { message });
        }
    }

    pub(super) fn hand_in(&mut self, message: usize, relay: usize) {
        if self.messages[message].done {
            return;
        }
        if self.now >= self.messages[message].valid_until {
            return self.give_up(message, Undelivered::Gone);
        }
        if !self.nodes[relay].up {
            return self.elsewhere(message);
        }
        if self.nodes[relay].held.len() >= self.nodes[relay].plan.allowance.max_pending {
            self.ledger.figures.hold_full += 1;
            return self.again(message, relay, None);
        }
        self.next_ntf += 1;
        let ntf = self.next_ntf;
        let held = Held { message, pushes: 0, ran: None, out: None, doubt: None, ended: false, fresh: true };
        self.nodes[relay].held.insert(ntf, held);
        self.messages[message].held = Some((relay, ntf));
        self.tell(relay, Told::Accepted(ntf));
    }

    /// Its relay is gone: it comes to a live one after a while.
    pub(super) fn elsewhere(&mut self, message: usize) {
        let live: Vec<usize> = (0..self.nodes.len()).filter(|relay| self.nodes[*relay].up).collect();
        let after = ms(self.scenario.clients.orphan_ms.draw(&mut self.clients));
        let place = self.clients.random::<u32>() as usize;
        // With none left, any will do: it asks again.
        let relay = if live.is_empty() { place % self.nodes.len() } else { live[place % live.len()] };
        self.queue.put(self.now + after, Happens::HandIn { message, relay });
    }

    /// It was turned away: its client comes again, or gives up.
    pub(super) fn again(&mut self, message: usize, relay: usize, retry_in: Option<Span>) {
        self.messages[message].held = None;
        if self.messages[message].done {
            return;
        }
        let plan = &self.scenario.clients;
        let longest = ms(plan.longest_retry_ms);
        let told = retry_in.filter(|_| longest > Span::ZERO).map(|span| span.min(longest));
        let again = self.messages[message].again;
        match comes_again(plan, &mut self.clients, again, told) {
            Some(after) if self.now + after < self.messages[message].valid_until => {
                self.messages[message].again += 1;
                self.ledger.figures.again += 1;
                self.queue.put(self.now + after, Happens::HandIn { message, relay });
            }
            _ => self.give_up(message, Undelivered::Throttled),
        }
    }

    pub(super) fn give_up(&mut self, message: usize, why: Undelivered) {
        let message = &mut self.messages[message];
        if !std::mem::replace(&mut message.done, true) {
            self.open -= 1;
            if !message.delivered {
                self.ledger.undelivered(message.topic, message.account, why);
            }
        }
    }

    pub(super) fn taken_back(&mut self, message: usize) {
        if let Some((relay, ntf)) = self.messages[message].held
            && let Some(held) = self.nodes[relay].held.get(&ntf)
            && !held.ended
            && self.nodes[relay].up
        {
            self.nodes[relay].held.remove(&ntf);
            self.judge.withdrawn(ntf);
            self.tell(relay, Told::Withdrawn(ntf));
        }
        self.messages[message].held = None;
        self.give_up(message, Undelivered::Gone);
    }
}
