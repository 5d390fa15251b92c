//! Relays: their starts and ends, their turns, and what they order.

use juniperwing::interface::{
    Command, EndpointId, Entry, Event, News, Notification, NtfId, Past, Readiness, Status,
};
use juniperwing::time::{Span, Time};

use super::oracle::OracleView;
use super::state::{PendingNotification, RelayInput, SimulationEvent};
use super::{LEAST_TICK, MOMENT, Simulation};
use crate::endpoint::CallId;
use crate::fleet::{destination_id, span_ms as ms};
use crate::judge::{AcceptedNotification, ExecutionStatus, RepeatSemantics};
use crate::metrics::UndeliveredReason;
use crate::scenario::Effect;

impl Simulation<'_> {
    pub(super) fn start_relay(&mut self, relay: usize) {
        let (seed, incarnation) = (self.nodes[relay].plan.seed, self.nodes[relay].incarnation);
        let seed = seed.wrapping_add(u64::from(incarnation));
        let policy = self.policies.start(self.now, relay, seed, &self.fleet);
        let node = &mut self.nodes[relay];
        (node.policy, node.is_running, node.wake_at, node.next_turn_at) =
            (Some(policy), true, self.now, None);
        (node.is_subscribed, node.last_list_update_at) = (false, self.now);
        node.unreported_changes.clear();
        self.enqueue_input(relay, RelayInput::EndpointSnapshot);
        self.judge.handle_relay_start(self.now, relay, MOMENT);
        let owed: Vec<u64> = self.nodes[relay].pending.keys().copied().collect();
        for ntf in owed {
            let ended = self.nodes[relay].pending[&ntf].has_final_answer;
            self.enqueue_input(relay, RelayInput::Accepted(ntf));
            if ended {
                self.schedule_notice(relay, ntf);
            }
        }
        self.schedule_turn(relay);
    }

    /// A relay's process ends at once.
    pub(super) fn stop_relay(&mut self, relay: usize, kept: bool, back_after: Span) {
        if !self.nodes[relay].is_running {
            return;
        }
        let calls: Vec<CallId> = self.nodes[relay].calls.iter().copied().collect();
        calls.into_iter().for_each(|call| self.close_call(call, false));
        let idle = std::mem::take(&mut self.nodes[relay].idle_connections);
        for (endpoint, since) in idle {
            self.endpoints[endpoint].connections -= since.len();
        }
        // What was told to nobody: an answer that no turn has seen is lost with the process.
        let node = &mut self.nodes[relay];
        (node.policy, node.is_running, node.incarnation) = (None, false, node.incarnation + 1);
        node.inputs.clear();
        // What had no 202 yet is not owed: its client comes again.
        let fresh: Vec<u64> =
            node.pending.iter().filter(|(_, pending)| pending.is_unanswered).map(|(ntf, _)| *ntf).collect();
        let is_terminated: Vec<(u64, PendingNotification)> = if kept {
            fresh.iter().filter_map(|ntf| node.pending.remove(ntf).map(|pending| (*ntf, pending))).collect()
        } else {
            std::mem::take(&mut node.pending).into_iter().collect()
        };
        self.judge.handle_relay_stop(self.now, relay, kept);
        for (_, pending) in is_terminated {
            let once = self.scenario.topic[self.notifications[pending.notification].topic].effect
                == Effect::OnceOnly;
            let may_have_run = pending.first_executed.is_some() || pending.in_flight.is_some();
            self.notifications[pending.notification].pending_as = None;
            if pending.has_final_answer || self.notifications[pending.notification].is_finished {
                continue;
            }
            if once && may_have_run {
                self.give_up(pending.notification, UndeliveredReason::Abandoned);
            } else {
                self.resubmit_elsewhere(pending.notification);
            }
        }
        self.queue.schedule(self.now + back_after, SimulationEvent::RelayStart(relay));
    }

    pub(super) fn enqueue_input(&mut self, relay: usize, input: RelayInput) {
        self.nodes[relay].inputs.push(input);
        self.schedule_turn(relay);
    }

    pub(super) fn schedule_turn(&mut self, relay: usize) {
        let node = &mut self.nodes[relay];
        if node.next_turn_at.is_none() && node.is_running {
            let tick = ms(self.scenario.relays.tick_ms).max(LEAST_TICK);
            let at = node.last_turn_at.map_or(self.now, |last| (last + tick).max(self.now));
            node.next_turn_at = Some(at);
            let incarnation = node.incarnation;
            self.queue.schedule(at, SimulationEvent::RelayTurn { relay, incarnation });
        }
    }

    pub(super) fn run_turn(&mut self, relay: usize) {
        let now = self.now;
        let node = &mut self.nodes[relay];
        (node.next_turn_at, node.last_turn_at) = (None, Some(now));
        let inputs = std::mem::take(&mut node.inputs);
        let (mut events, mut waits, mut fresh) = (Vec::new(), Vec::new(), Vec::new());
        for input in inputs {
            if let Some(event) = self.convert_input(relay, input, &mut waits, &mut fresh) {
                events.push(event);
            }
        }
        let node = &mut self.nodes[relay];
        if node.wake_at <= now {
            node.wake_at = Time::NEVER;
            events.push(Event::Woken);
        }
        if events.is_empty() {
            return;
        }
        self.recorder.metrics.turns += 1;
        let Some(mut policy) = self.nodes[relay].policy.take() else { return };
        let view = OracleView {
            now,
            endpoints: &self.endpoints,
            routes: &self.routes,
            fault_windows: &self.fault_windows,
            endpoint_indices: &self.endpoint_indices,
            parameters: self.rule_parameters,
        };
        let commands = policy.handle(now, events, &view);
        self.nodes[relay].policy = Some(policy);
        self.execute_commands(relay, &commands);
        for ntf in fresh {
            if let Some(pending) = self.nodes[relay].pending.get_mut(&ntf) {
                pending.is_unanswered = false;
            }
        }
        for (route, until) in waits {
            self.judge.handle_wait(relay, route, until);
        }
    }

    /// What a relay is told, as the core has it; the judge and the folder take note.
    fn convert_input(
        &mut self, relay: usize, input: RelayInput, waits: &mut Vec<(usize, Time)>, fresh: &mut Vec<u64>,
    ) -> Option<Event> {
        let now = self.now;
        Some(match input {
            RelayInput::Accepted(ntf) => {
                let pending = self.nodes[relay].pending.get(&ntf)?.clone();
                if pending.is_unanswered {
                    fresh.push(ntf);
                    self.judge.handle_accepted(
                        now,
                        relay,
                        ntf,
                        self.accepted_notification(pending.notification),
                    );
                } else {
                    // An earlier life took it: what was out then may have run, and may do so still.
                    let pending = self.nodes[relay].pending.get_mut(&ntf)?;
                    pending.first_executed = pending.first_executed.or(pending.in_flight);
                    pending.uncertain_since =
                        if pending.in_flight.take().is_some() { Some(now) } else { pending.uncertain_since };
                }
                Event::Accepted(self.notification(ntf, &self.nodes[relay].pending[&ntf]))
            }
            RelayInput::Ended { mut outcome, route } => {
                let (ntf, status) = (outcome.ntf.0, outcome.status);
                let ran = match status {
                    Status::Busy | Status::NoConnection | Status::Crowded | Status::Skipped => {
                        ExecutionStatus::NotExecuted
                    }
                    Status::TimedOut | Status::Reset | Status::Cancelled => ExecutionStatus::MayBeExecuting,
                    Status::Delivered | Status::Error => ExecutionStatus::MayHaveExecuted,
                };
                self.judge.handle_outcome(now, relay, ntf, outcome.push, ran);
                if !matches!(status, Status::Delivered | Status::Cancelled | Status::Skipped) {
                    self.judge.record_failure_seen(relay, route);
                }
                if let Some(wait) = outcome.wait {
                    waits.push((route, now + wait));
                }
                self.recorder.record_push_outcome(now, status);
                let mut notification = None;
                if let Some(pending) = self.nodes[relay].pending.get_mut(&ntf) {
                    let out = pending.in_flight.take();
                    if ran != ExecutionStatus::NotExecuted {
                        pending.first_executed = pending.first_executed.or(out);
                    }
                    if ran == ExecutionStatus::MayBeExecuting {
                        pending.uncertain_since = Some(now);
                    }
                    if status == Status::Delivered {
                        notification = Some((pending.notification, pending.has_final_answer));
                    }
                    outcome.settled = pending.has_final_answer;
                } else {
                    outcome.settled = true;
                }
                if let Some((notification, ended)) = notification {
                    outcome.settled = true;
                    self.nodes[relay].pending.remove(&ntf);
                    self.notifications[notification].pending_as = None;
                    if !ended {
                        self.judge.handle_final_answer(now, relay, ntf, "delivered");
                    }
                    self.give_up(notification, UndeliveredReason::Abandoned);
                }
                Event::Ended(*outcome)
            }
            RelayInput::EndpointChanges(changes) => {
                for (endpoint, readiness) in &changes {
                    self.judge.handle_readiness(now, relay, *endpoint, *readiness == Readiness::Serving);
                }
                let entries =
                    changes.into_iter().map(|(endpoint, readiness)| self.list_entry(endpoint, readiness));
                Event::List(News::Changes(entries.collect()))
            }
            RelayInput::EndpointSnapshot => {
                let live = (0..self.endpoints.len()).filter(|e| self.readiness[*e] != Readiness::Deleted);
                let live: Vec<(usize, Readiness)> = live.map(|e| (e, self.readiness[e])).collect();
                for (endpoint, readiness) in &live {
                    self.judge.handle_readiness(now, relay, *endpoint, *readiness == Readiness::Serving);
                }
                let entries =
                    live.into_iter().map(|(endpoint, readiness)| self.list_entry(endpoint, readiness));
                Event::List(News::Whole(entries.collect()))
            }
            RelayInput::SubscriptionLost => Event::List(News::Broken),
            RelayInput::Withdrawn(ntf) => Event::Withdrawn(NtfId(ntf)),
            RelayInput::NoticeDelivered(ntf) => {
                self.nodes[relay].pending.remove(&ntf);
                Event::Heard(NtfId(ntf))
            }
        })
    }

    fn accepted_notification(&self, notification: usize) -> AcceptedNotification {
        let message_ = &self.notifications[notification];
        let topic = &self.scenario.topic[message_.topic];
        let repeat = match topic.effect {
            Effect::Repeatable => RepeatSemantics::Harmless,
            Effect::Collapsible => RepeatSemantics::Deduplicated(ms(topic.window_ms), false),
            Effect::CollapsibleInZone => RepeatSemantics::Deduplicated(ms(topic.window_ms), true),
            Effect::OnceOnly => RepeatSemantics::Forbidden,
        };
        let key = message_.key.clone().filter(|_| topic.ordered);
        AcceptedNotification { repeat, key, valid_until: message_.valid_until }
    }

    fn notification(&self, ntf: u64, pending: &PendingNotification) -> Notification {
        let notification = &self.notifications[pending.notification];
        let zone = |zone: usize| self.fleet.zones[zone].clone();
        Notification {
            id: NtfId(ntf),
            destination: destination_id(notification.destination),
            topic: self.fleet.topics[notification.topic].topic.clone(),
            account: notification.account.map(|account| self.fleet.accounts[account].clone()),
            key: notification.key.clone(),
            valid_until: notification.valid_until,
            past: Past {
                taken_up: true,
                pushes: pending.push_count,
                ran: pending.first_executed.map(|(at, of)| (at, zone(of))),
                doubt: pending.uncertain_since,
                ended: pending.has_final_answer,
            },
        }
    }

    pub(super) fn list_entry(&self, endpoint: usize, readiness: Readiness) -> Entry {
        let plan = &self.endpoints[endpoint].plan;
        Entry {
            endpoint: plan.id.clone(),
            destination: destination_id(plan.destination),
            kind: self.fleet.kinds[self.fleet.destinations[plan.destination].kind].clone(),
            zone: self.fleet.zones[plan.zone].clone(),
            readiness,
            rate: self.routes[plan.route].plan.listed,
        }
    }

    /// Carries out what a relay commanded, in order, as the relay on sockets does.
    fn execute_commands(&mut self, relay: usize, commands: &[Command]) {
        let mut rest = commands;
        while let Some((command, later)) = rest.split_first() {
            rest = later;
            match command {
                Command::Push { ntf, endpoint, time_out, .. } => {
                    let mut pushes = vec![(ntf.0, *time_out)];
                    let most = self.max_per_call(endpoint);
                    while let Some((Command::Push { ntf, endpoint: same, time_out, .. }, later)) =
                        rest.split_first()
                        && same == endpoint
                        && pushes.len() < most
                    {
                        pushes.push((ntf.0, *time_out));
                        rest = later;
                    }
                    self.send_push(relay, endpoint, &pushes);
                }
                Command::Cancel { ntf, push } => self.cancel_push(relay, ntf.0, *push),
                Command::Throttle { ntf, retry_in } => {
                    self.finish_without_delivery(relay, ntf.0, Some(*retry_in))
                }
                Command::Expire(ntf) => self.finish_without_delivery(relay, ntf.0, None),
                Command::Wake(after) => {
                    let at = self.now + *after;
                    let node = &mut self.nodes[relay];
                    if at < node.wake_at {
                        node.wake_at = at;
                        let incarnation = node.incarnation;
                        self.queue.schedule(at, SimulationEvent::Wake { relay, incarnation });
                    }
                }
                Command::Subscribe => self.subscribe(relay),
                Command::Probe(_) => self.recorder.metrics.probes += 1,
                Command::CloseIdle(endpoint) => {
                    if let Some(endpoint) = self.endpoint_indices.get(&endpoint.0).copied() {
                        let idle = self.nodes[relay].idle_connections.remove(&endpoint).unwrap_or_default();
                        self.endpoints[endpoint].connections -= idle.len();
                    }
                }
                // Here a call is out at once.
                Command::Log(_) | Command::Recall(_) => {}
            }
        }
    }

    fn max_per_call(&self, endpoint: &EndpointId) -> usize {
        let Some(endpoint) = self.endpoint_indices.get(&endpoint.0) else { return 1 };
        let destination = self.endpoints[*endpoint].plan.destination;
        self.fleet.kinds[self.fleet.destinations[destination].kind].per_call.max(1)
    }

    /// A final answer that is no delivery.
    fn finish_without_delivery(&mut self, relay: usize, ntf: u64, throttled: Option<Span>) {
        let name = if throttled.is_some() { "throttled" } else { "expired" };
        self.judge.handle_final_answer(self.now, relay, ntf, name);
        let Some(pending) =
            self.nodes[relay].pending.get_mut(&ntf).filter(|pending| !pending.has_final_answer)
        else {
            return;
        };
        pending.has_final_answer = true;
        let (notification, fresh) = (pending.notification, pending.is_unanswered);
        // In the turn that took it on the answer itself says so; later a notice does.
        if fresh {
            self.enqueue_input(relay, RelayInput::NoticeDelivered(ntf));
        } else {
            self.schedule_notice(relay, ntf);
        }
        match throttled {
            Some(retry_in) => self.resubmit_or_give_up(notification, relay, Some(retry_in)),
            None => {
                self.notifications[notification].pending_as = None;
                self.give_up(notification, UndeliveredReason::Expired);
            }
        }
    }

    fn schedule_notice(&mut self, relay: usize, ntf: u64) {
        let node = &mut self.nodes[relay];
        let after = ms(self.scenario.relays.notice_ms.draw(&mut node.network_rng));
        let incarnation = node.incarnation;
        self.queue.schedule(
            self.now + after,
            SimulationEvent::RelayInput { relay, incarnation, input: RelayInput::NoticeDelivered(ntf) },
        );
    }
}
