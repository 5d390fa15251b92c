//! Relays: their starts and ends, their turns, and what they order.

use juniperwing::interface::{
    CallStatus, Command, EndpointEntry, EndpointId, EndpointListUpdate, Event, Notification,
    NotificationHistory, NotificationId, PossibleRun, Readiness,
};
use juniperwing::time::{Span, Time};

use super::state::{Happens, Held, Told};
use super::truth::View;
use super::{LEAST_TICK, MOMENT, World};
use crate::endpoint::CallId;
use crate::figures::Undelivered;
use crate::fleet::{destination_id, span_ms as ms};
use crate::judge::{Ran, Repeat, Taken};
use crate::scenario::Effect;

impl World<'_> {
    pub(super) fn start(&mut self, relay: usize) {
        let (seed, life) = (self.nodes[relay].plan.seed, self.nodes[relay].life);
        let seed = seed.wrapping_add(u64::from(life));
        let policy = self.policies.start(self.now, relay, seed, &self.fleet);
        let node = &mut self.nodes[relay];
        (node.policy, node.up, node.wake, node.turn_at) = (Some(policy), true, self.now, None);
        (node.watches, node.told_until) = (false, self.now);
        node.missed.clear();
        self.tell(relay, Told::Whole);
        self.judge.started(self.now, relay, MOMENT);
        let owed: Vec<u64> = self.nodes[relay].held.keys().copied().collect();
        for ntf in owed {
            let ended = self.nodes[relay].held[&ntf].ended;
            self.tell(relay, Told::Accepted(ntf));
            if ended {
                self.notice(relay, ntf);
            }
        }
        self.wants_turn(relay);
    }

    /// A relay's process ends at once.
    pub(super) fn kill(&mut self, relay: usize, kept: bool, back_after: Span) {
        if !self.nodes[relay].up {
            return;
        }
        let calls: Vec<CallId> = self.nodes[relay].calls.iter().copied().collect();
        calls.into_iter().for_each(|call| self.close(call, false));
        let idle = std::mem::take(&mut self.nodes[relay].idle);
        for (endpoint, since) in idle {
            self.endpoints[endpoint].connections -= since.len();
        }
        // What was told to nobody: an answer that no turn has seen is lost with the process.
        let node = &mut self.nodes[relay];
        (node.policy, node.up, node.life) = (None, false, node.life + 1);
        node.inbox.clear();
        // What had no 202 yet is not owed: its client comes again.
        let fresh: Vec<u64> = node.held.iter().filter(|(_, held)| held.fresh).map(|(ntf, _)| *ntf).collect();
        let gone: Vec<(u64, Held)> = if kept {
            fresh.iter().filter_map(|ntf| node.held.remove(ntf).map(|held| (*ntf, held))).collect()
        } else {
            std::mem::take(&mut node.held).into_iter().collect()
        };
        self.judge.stopped(self.now, relay, kept);
        for (_, held) in gone {
            let once = self.scenario.topic[self.messages[held.message].topic].effect == Effect::OnceOnly;
            let may_have_run = held.ran.is_some() || held.out.is_some();
            self.messages[held.message].held = None;
            if held.ended || self.messages[held.message].done {
                continue;
            }
            if once && may_have_run {
                self.give_up(held.message, Undelivered::Gone);
            } else {
                self.elsewhere(held.message);
            }
        }
        self.queue.put(self.now + back_after, Happens::Start(relay));
    }

    pub(super) fn tell(&mut self, relay: usize, told: Told) {
        self.nodes[relay].inbox.push(told);
        self.wants_turn(relay);
    }

    pub(super) fn wants_turn(&mut self, relay: usize) {
        let node = &mut self.nodes[relay];
        if node.turn_at.is_none() && node.up {
            let tick = ms(self.scenario.relays.tick_ms).max(LEAST_TICK);
            let at = node.last_turn.map_or(self.now, |last| (last + tick).max(self.now));
            node.turn_at = Some(at);
            let life = node.life;
            self.queue.put(at, Happens::Turn { relay, life });
        }
    }

    pub(super) fn turn(&mut self, relay: usize) {
        let now = self.now;
        let node = &mut self.nodes[relay];
        (node.turn_at, node.last_turn) = (None, Some(now));
        let inbox = std::mem::take(&mut node.inbox);
        let (mut events, mut waits, mut fresh) = (Vec::new(), Vec::new(), Vec::new());
        for told in inbox {
            if let Some(event) = self.event(relay, told, &mut waits, &mut fresh) {
                events.push(event);
            }
        }
        let node = &mut self.nodes[relay];
        if node.wake <= now {
            node.wake = Time::NEVER;
            events.push(Event::WakeUp);
        }
        if events.is_empty() {
            return;
        }
        self.ledger.figures.turns += 1;
        let Some(mut policy) = self.nodes[relay].policy.take() else { return };
        let view = View {
            now,
            endpoints: &self.endpoints,
            lanes: &self.lanes,
            spells: &self.spells,
            ids: &self.ids,
            figures: self.judged,
        };
        let commands = policy.handle(now, events, &view);
        self.nodes[relay].policy = Some(policy);
        self.carry_out(relay, &commands);
        for ntf in fresh {
            if let Some(held) = self.nodes[relay].held.get_mut(&ntf) {
                held.fresh = false;
            }
        }
        for (lane, until) in waits {
            self.judge.told_to_wait(relay, lane, until);
        }
    }

    /// What a relay is told, as the core has it; the judge and the folder take note.
    fn event(
        &mut self, relay: usize, told: Told, waits: &mut Vec<(usize, Time)>, fresh: &mut Vec<u64>,
    ) -> Option<Event> {
        let now = self.now;
        Some(match told {
            Told::Accepted(ntf) => {
                let held = self.nodes[relay].held.get(&ntf)?.clone();
                if held.fresh {
                    fresh.push(ntf);
                    self.judge.taken(now, relay, ntf, self.taken(held.message));
                } else {
                    // An earlier life took it: what was out then may have run, and may do so still.
                    let held = self.nodes[relay].held.get_mut(&ntf)?;
                    held.ran = held.ran.or(held.out);
                    held.doubt = if held.out.take().is_some() { Some(now) } else { held.doubt };
                }
                Event::Accepted(self.notification(ntf, &self.nodes[relay].held[&ntf]))
            }
            Told::Ended { mut outcome, lane } => {
                let (ntf, status) = (outcome.notification.0, outcome.status);
                let ran = match status {
                    CallStatus::Busy
                    | CallStatus::NoConnection
                    | CallStatus::ConnectionLimitReached
                    | CallStatus::Skipped => Ran::Never,
                    CallStatus::TimedOut | CallStatus::Reset | CallStatus::Cancelled => Ran::Unsure,
                    CallStatus::Delivered | CallStatus::Error => Ran::Maybe,
                };
                self.judge.outcome(now, relay, ntf, outcome.push_index, ran);
                if !matches!(status, CallStatus::Delivered | CallStatus::Cancelled | CallStatus::Skipped) {
                    self.judge.saw_failure(relay, lane);
                }
                if let Some(wait) = outcome.retry_after {
                    waits.push((lane, now + wait));
                }
                self.ledger.ended(now, status);
                let mut message = None;
                if let Some(held) = self.nodes[relay].held.get_mut(&ntf) {
                    let out = held.out.take();
                    if ran != Ran::Never {
                        held.ran = held.ran.or(out);
                    }
                    if ran == Ran::Unsure {
                        held.doubt = Some(now);
                    }
                    if status == CallStatus::Delivered {
                        message = Some((held.message, held.ended));
                    }
                    outcome.has_final_answer = held.ended;
                } else {
                    outcome.has_final_answer = true;
                }
                if let Some((message, ended)) = message {
                    outcome.has_final_answer = true;
                    self.nodes[relay].held.remove(&ntf);
                    self.messages[message].held = None;
                    if !ended {
                        self.judge.ended(now, relay, ntf, "delivered");
                    }
                    self.give_up(message, Undelivered::Gone);
                }
                Event::PushEnded(*outcome)
            }
            Told::List(changes) => {
                for (endpoint, readiness) in &changes {
                    self.judge.told_of(now, relay, *endpoint, *readiness == Readiness::Serving);
                }
                let entries =
                    changes.into_iter().map(|(endpoint, readiness)| self.entry(endpoint, readiness));
                Event::EndpointListUpdated(EndpointListUpdate::Changes(entries.collect()))
            }
            Told::Whole => {
                let live = (0..self.endpoints.len()).filter(|e| self.readiness[*e] != Readiness::Deleted);
                let live: Vec<(usize, Readiness)> = live.map(|e| (e, self.readiness[e])).collect();
                for (endpoint, readiness) in &live {
                    self.judge.told_of(now, relay, *endpoint, *readiness == Readiness::Serving);
                }
                let entries = live.into_iter().map(|(endpoint, readiness)| self.entry(endpoint, readiness));
                Event::EndpointListUpdated(EndpointListUpdate::Snapshot(entries.collect()))
            }
            Told::Broken => Event::EndpointListUpdated(EndpointListUpdate::Failed),
            Told::Withdrawn(ntf) => Event::Withdrawn(NotificationId(ntf)),
            Told::Heard(ntf) => {
                self.nodes[relay].held.remove(&ntf);
                Event::FinalAnswerAcknowledged(NotificationId(ntf))
            }
        })
    }

    fn taken(&self, message: usize) -> Taken {
        let message_ = &self.messages[message];
        let topic = &self.scenario.topic[message_.topic];
        let repeat = match topic.effect {
            Effect::Repeatable => Repeat::Harmless,
            Effect::Collapsible => Repeat::Dropped(ms(topic.window_ms), false),
            Effect::CollapsibleInZone => Repeat::Dropped(ms(topic.window_ms), true),
            Effect::OnceOnly => Repeat::Never,
        };
        let key = message_.key.clone().filter(|_| topic.ordered);
        Taken { repeat, key, valid_until: message_.valid_until }
    }

    fn notification(&self, ntf: u64, held: &Held) -> Notification {
        let message = &self.messages[held.message];
        let zone = |zone: usize| self.fleet.zones[zone].clone();
        Notification {
            id: NotificationId(ntf),
            destination: destination_id(message.destination),
            topic: self.fleet.topics[message.topic].topic.clone(),
            account: message.account.map(|account| self.fleet.accounts[account].clone()),
            key: message.key.clone(),
            valid_until: message.valid_until,
            history: NotificationHistory {
                is_recovered: true,
                push_count: held.pushes,
                first_possible_run: held.ran.map(|(at, of)| PossibleRun { sent_at: at, zone: zone(of) }),
                last_doubtful_end: held.doubt,
                has_final_answer: held.ended,
            },
        }
    }

    pub(super) fn entry(&self, endpoint: usize, readiness: Readiness) -> EndpointEntry {
        let plan = &self.endpoints[endpoint].plan;
        EndpointEntry {
            endpoint: plan.id.clone(),
            destination: destination_id(plan.destination),
            kind: self.fleet.kinds[self.fleet.destinations[plan.destination].kind].clone(),
            zone: self.fleet.zones[plan.zone].clone(),
            readiness,
            rate_per_second: self.lanes[plan.lane].plan.listed,
        }
    }

    /// Carries out what a relay commanded, in order, as the relay on sockets does.
    fn carry_out(&mut self, relay: usize, commands: &[Command]) {
        let mut rest = commands;
        while let Some((command, later)) = rest.split_first() {
            rest = later;
            match command {
                Command::Push { notification, endpoint, timeout, .. } => {
                    let mut pushes = vec![(notification.0, *timeout)];
                    let most = self.per_call(endpoint);
                    while let Some((Command::Push { notification, endpoint: same, timeout, .. }, later)) =
                        rest.split_first()
                        && same == endpoint
                        && pushes.len() < most
                    {
                        pushes.push((notification.0, *timeout));
                        rest = later;
                    }
                    self.push(relay, endpoint, &pushes);
                }
                Command::Cancel { notification, push_index } => {
                    self.cancel(relay, notification.0, *push_index)
                }
                Command::Throttle { notification, retry_after } => {
                    self.end(relay, notification.0, Some(*retry_after))
                }
                Command::Expire(ntf) => self.end(relay, ntf.0, None),
                Command::WakeAfter(after) => {
                    let at = self.now + *after;
                    let node = &mut self.nodes[relay];
                    if at < node.wake {
                        node.wake = at;
                        let life = node.life;
                        self.queue.put(at, Happens::Wake { relay, life });
                    }
                }
                Command::SubscribeToEndpointList => self.subscribe(relay),
                Command::Probe(_) => self.ledger.figures.probes += 1,
                Command::CloseIdleConnections(endpoint) => {
                    if let Some(endpoint) = self.ids.get(&endpoint.0).copied() {
                        let idle = self.nodes[relay].idle.remove(&endpoint).unwrap_or_default();
                        self.endpoints[endpoint].connections -= idle.len();
                    }
                }
                // Here a call is out at once.
                Command::Log(_) | Command::CancelUnsent(_) => {}
            }
        }
    }

    fn per_call(&self, endpoint: &EndpointId) -> usize {
        let Some(endpoint) = self.ids.get(&endpoint.0) else { return 1 };
        let destination = self.endpoints[*endpoint].plan.destination;
        self.fleet.kinds[self.fleet.destinations[destination].kind].max_notifications_per_call.max(1)
    }

    /// A final answer that is no delivery.
    fn end(&mut self, relay: usize, ntf: u64, throttled: Option<Span>) {
        let name = if throttled.is_some() { "throttled" } else { "expired" };
        self.judge.ended(self.now, relay, ntf, name);
        let Some(held) = self.nodes[relay].held.get_mut(&ntf).filter(|held| !held.ended) else { return };
        held.ended = true;
        let (message, fresh) = (held.message, held.fresh);
        // In the turn that took it on the answer itself says so; later a notice does.
        if fresh {
            self.tell(relay, Told::Heard(ntf));
        } else {
            self.notice(relay, ntf);
        }
        match throttled {
            Some(retry_in) => self.again(message, relay, Some(retry_in)),
            None => {
                self.messages[message].held = None;
                self.give_up(message, Undelivered::Expired);
            }
        }
    }

    fn notice(&mut self, relay: usize, ntf: u64) {
        let node = &mut self.nodes[relay];
        let after = ms(self.scenario.relays.notice_ms.draw(&mut node.chance));
        let life = node.life;
        self.queue.put(self.now + after, Happens::Tell { relay, life, told: Told::Heard(ntf) });
    }
}
