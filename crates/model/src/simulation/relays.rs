//! The processes of relays: start, end and turns.

use std::collections::BTreeMap;

use juniperwing::interface::Event;
use juniperwing::time::{Span, Time};

use super::inputs::TurnEffects;
use super::oracle::OracleView;
use super::state::{PendingNotification, RelayInput, SimulationEvent};
use super::{MIN_TICK, RESTART_ALLOWANCE, Simulation};
use crate::endpoint::CallId;
use crate::fleet::span_ms;
use crate::metrics::UndeliveredReason;
use crate::scenario::Semantics;

impl Simulation<'_> {
    /// Whether an event was meant for the present process of a relay.
    pub(super) fn is_current(&self, relay: usize, incarnation: u32) -> bool {
        self.nodes[relay].incarnation == incarnation
    }

    /// A relay's process starts on what its storage holds.
    pub(super) fn start_relay(&mut self, relay: usize) {
        let (seed, incarnation) = (self.nodes[relay].plan.seed, self.nodes[relay].incarnation);
        let seed = seed.wrapping_add(u64::from(incarnation));
        let policy = self.policies.start(self.now, relay, seed, &self.fleet);
        let node = &mut self.nodes[relay];
        node.policy = Some(policy);
        node.is_running = true;
        node.wake_at = self.now;
        node.next_turn_at = None;
        node.is_subscribed = false;
        node.last_list_update_at = self.now;
        node.unreported_changes.clear();
        self.enqueue_input(relay, RelayInput::EndpointSnapshot);
        self.judge.handle_relay_start(self.now, relay, RESTART_ALLOWANCE);
        let pending: Vec<u64> = self.nodes[relay].pending.keys().copied().collect();
        for notification_id in pending {
            let has_final_answer = self.nodes[relay].pending[&notification_id].has_final_answer;
            self.enqueue_input(relay, RelayInput::Accepted(notification_id));
            if has_final_answer {
                self.schedule_notice(relay, notification_id);
            }
        }
        self.schedule_turn(relay);
    }

    /// A relay's process ends at once and starts again after a while; `kept` if its storage outlasts it.
    pub(super) fn stop_relay(&mut self, relay: usize, kept: bool, restart_after: Span) {
        if !self.nodes[relay].is_running {
            return;
        }
        let calls: Vec<CallId> = self.nodes[relay].calls.iter().copied().collect();
        calls.into_iter().for_each(|call| self.close_call(call, false));
        let idle = std::mem::take(&mut self.nodes[relay].idle_connections);
        for (endpoint, since) in idle {
            self.endpoints[endpoint].connections -= since.len();
        }
        let node = &mut self.nodes[relay];
        node.policy = None;
        node.is_running = false;
        node.incarnation += 1;
        // An answer that no turn has seen is lost with the process.
        node.inputs.clear();
        let lost = self.take_lost_notifications(relay, kept);
        self.judge.handle_relay_stop(self.now, relay, kept);
        lost.iter().for_each(|pending| self.handle_lost_notification(pending));
        self.queue.schedule(self.now + restart_after, SimulationEvent::RelayStart(relay));
    }

    /// What is lost with a process: all without its storage, else what was not answered yet and is not owed.
    fn take_lost_notifications(&mut self, relay: usize, kept: bool) -> Vec<PendingNotification> {
        let pending = std::mem::take(&mut self.nodes[relay].pending);
        if !kept {
            return pending.into_values().collect();
        }
        let (lost, owed): (BTreeMap<_, _>, BTreeMap<_, _>) =
            pending.into_iter().partition(|(_, pending)| pending.is_unanswered);
        self.nodes[relay].pending = owed;
        lost.into_values().collect()
    }

    /// The client submits a lost notification again, unless that could repeat an effect.
    fn handle_lost_notification(&mut self, pending: &PendingNotification) {
        let notification = &mut self.notifications[pending.notification];
        notification.pending_at = None;
        if pending.has_final_answer || notification.is_finished {
            return;
        }
        let topic = &self.scenario.topics[notification.submission.topic];
        let may_have_executed = pending.first_executed.is_some() || pending.in_flight.is_some();
        if topic.semantics == Semantics::NonIdempotent && may_have_executed {
            self.give_up(pending.notification, UndeliveredReason::Abandoned);
        } else {
            self.resubmit_elsewhere(pending.notification);
        }
    }

    pub(super) fn enqueue_input(&mut self, relay: usize, input: RelayInput) {
        self.nodes[relay].inputs.push(input);
        self.schedule_turn(relay);
    }

    /// Schedules a turn as soon as the tick of relays allows, unless one is scheduled.
    pub(super) fn schedule_turn(&mut self, relay: usize) {
        let node = &mut self.nodes[relay];
        if node.next_turn_at.is_none() && node.is_running {
            let tick = span_ms(self.scenario.relays.tick_ms).max(MIN_TICK);
            let at = node.last_turn_at.map_or(self.now, |last| (last + tick).max(self.now));
            node.next_turn_at = Some(at);
            let incarnation = node.incarnation;
            self.queue.schedule(at, SimulationEvent::RelayTurn { relay, incarnation });
        }
    }

    pub(super) fn handle_wake(&mut self, relay: usize, incarnation: u32) {
        if self.is_current(relay, incarnation) && self.nodes[relay].wake_at <= self.now {
            self.schedule_turn(relay);
        }
    }

    pub(super) fn handle_turn(&mut self, relay: usize, incarnation: u32) {
        if self.is_current(relay, incarnation) && self.nodes[relay].is_running {
            self.run_turn(relay);
        }
    }

    /// Gives a relay its inputs and executes its commands.
    fn run_turn(&mut self, relay: usize) {
        let mut effects = TurnEffects::default();
        let events = self.take_events(relay, &mut effects);
        if events.is_empty() {
            return;
        }
        self.recorder.metrics.turns += 1;
        let Some(mut policy) = self.nodes[relay].policy.take() else { return };
        let view = OracleView {
            now: self.now,
            endpoints: &self.endpoints,
            routes: &self.routes,
            fault_windows: &self.fault_windows,
            endpoint_indices: &self.endpoint_indices,
            overload_threshold: self.overload_threshold,
        };
        let commands = policy.handle(self.now, events, &view);
        self.nodes[relay].policy = Some(policy);
        self.execute_commands(relay, &commands);
        for notification_id in effects.accepted {
            if let Some(pending) = self.nodes[relay].pending.get_mut(&notification_id) {
                pending.is_unanswered = false;
            }
        }
        for (route, until) in effects.waits {
            self.judge.handle_wait(relay, route, until);
        }
    }

    fn take_events(&mut self, relay: usize, effects: &mut TurnEffects) -> Vec<Event> {
        let node = &mut self.nodes[relay];
        (node.next_turn_at, node.last_turn_at) = (None, Some(self.now));
        let inputs = std::mem::take(&mut node.inputs);
        let mut events = Vec::new();
        for input in inputs {
            events.extend(self.convert_input(relay, input, effects));
        }
        let node = &mut self.nodes[relay];
        if node.wake_at <= self.now {
            node.wake_at = Time::NEVER;
            events.push(Event::WakeUp);
        }
        events
    }
}
