//! The processes of relays: start, stop and turns.

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
    /// Whether an event is for the present process of a relay, not for an earlier one.
    pub(super) fn is_current(&self, relay: usize, incarnation: u32) -> bool {
        self.relays[relay].incarnation == incarnation
    }

    /// Starts a relay's process, which recovers the notifications in its storage.
    pub(super) fn start_relay(&mut self, relay: usize) {
        let (seed, incarnation) = (self.relays[relay].plan.seed, self.relays[relay].incarnation);
        let seed = seed.wrapping_add(u64::from(incarnation));
        let policy = self.policies.start(self.now, relay, seed, &self.fleet);
        let process = &mut self.relays[relay];
        process.policy = Some(policy);
        process.is_running = true;
        process.wake_at = self.now;
        process.next_turn_at = None;
        process.is_subscribed = false;
        process.last_list_update_at = self.now;
        process.unreported_changes.clear();
        self.enqueue_input(relay, RelayInput::EndpointSnapshot);
        self.rule_checker.handle_relay_start(self.now, relay, RESTART_ALLOWANCE);
        let pending: Vec<u64> = self.relays[relay].pending.keys().copied().collect();
        for notification_id in pending {
            let has_final_answer = self.relays[relay].pending[&notification_id].has_final_answer;
            self.enqueue_input(relay, RelayInput::Accepted(notification_id));
            if has_final_answer {
                self.schedule_notice(relay, notification_id);
            }
        }
        self.schedule_turn(relay);
    }

    /// Kills a relay's process and schedules its restart, with its storage or without.
    pub(super) fn stop_relay(&mut self, relay: usize, is_storage_kept: bool, restart_after: Span) {
        if !self.relays[relay].is_running {
            return;
        }
        let calls: Vec<CallId> = self.relays[relay].calls.iter().copied().collect();
        calls.into_iter().for_each(|call| self.close_call(call, false));
        let idle = std::mem::take(&mut self.relays[relay].idle_connections);
        for (endpoint, since) in idle {
            self.endpoints[endpoint].connections -= since.len();
        }
        let process = &mut self.relays[relay];
        process.policy = None;
        process.is_running = false;
        process.incarnation += 1;
        // Inputs that no turn has handled are lost with the process.
        process.inputs.clear();
        let lost = self.take_lost_notifications(relay, is_storage_kept);
        self.rule_checker.handle_relay_stop(self.now, relay, is_storage_kept);
        lost.iter().for_each(|pending| self.handle_lost_notification(pending));
        self.queue.schedule(self.now + restart_after, SimulationEvent::RelayStart(relay));
    }

    /// Removes and returns the notifications that are lost with a process: all of them if the storage is lost, else
    /// those whose submission has no response yet.
    fn take_lost_notifications(&mut self, relay: usize, is_storage_kept: bool) -> Vec<PendingNotification> {
        let pending = std::mem::take(&mut self.relays[relay].pending);
        if !is_storage_kept {
            return pending.into_values().collect();
        }
        let (lost, stored): (BTreeMap<_, _>, BTreeMap<_, _>) =
            pending.into_iter().partition(|(_, pending)| pending.is_unanswered);
        self.relays[relay].pending = stored;
        lost.into_values().collect()
    }

    /// Resubmits a lost notification on behalf of its client, unless that could repeat an effect.
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
        self.relays[relay].inputs.push(input);
        self.schedule_turn(relay);
    }

    /// Schedules a turn as soon as the tick of relays permits, unless one is already scheduled.
    pub(super) fn schedule_turn(&mut self, relay: usize) {
        let process = &mut self.relays[relay];
        if process.next_turn_at.is_none() && process.is_running {
            let tick = span_ms(self.scenario.relays.tick_ms).max(MIN_TICK);
            let at = process.last_turn_at.map_or(self.now, |last| (last + tick).max(self.now));
            process.next_turn_at = Some(at);
            let incarnation = process.incarnation;
            self.queue.schedule(at, SimulationEvent::RelayTurn { relay, incarnation });
        }
    }

    pub(super) fn handle_wake(&mut self, relay: usize, incarnation: u32) {
        if self.is_current(relay, incarnation) && self.relays[relay].wake_at <= self.now {
            self.schedule_turn(relay);
        }
    }

    pub(super) fn handle_turn(&mut self, relay: usize, incarnation: u32) {
        if self.is_current(relay, incarnation) && self.relays[relay].is_running {
            self.run_turn(relay);
        }
    }

    /// Passes the pending inputs to a relay's policy and executes its commands.
    fn run_turn(&mut self, relay: usize) {
        let mut effects = TurnEffects::default();
        let events = self.take_events(relay, &mut effects);
        if events.is_empty() {
            return;
        }
        self.recorder.metrics.turns += 1;
        let Some(mut policy) = self.relays[relay].policy.take() else { return };
        let view = OracleView {
            now: self.now,
            endpoints: &self.endpoints,
            routes: &self.routes,
            fault_windows: &self.fault_windows,
            endpoint_indices: &self.endpoint_indices,
            overload_threshold: self.overload_threshold,
        };
        let commands = policy.handle(self.now, events, &view);
        self.relays[relay].policy = Some(policy);
        self.execute_commands(relay, &commands);
        for notification_id in effects.accepted {
            if let Some(pending) = self.relays[relay].pending.get_mut(&notification_id) {
                pending.is_unanswered = false;
            }
        }
        for (route, until) in effects.retry_after {
            self.rule_checker.handle_retry_after(relay, route, until);
        }
    }

    fn take_events(&mut self, relay: usize, effects: &mut TurnEffects) -> Vec<Event> {
        let process = &mut self.relays[relay];
        (process.next_turn_at, process.last_turn_at) = (None, Some(self.now));
        let inputs = std::mem::take(&mut process.inputs);
        let mut events = Vec::new();
        for input in inputs {
            events.extend(self.convert_input(relay, input, effects));
        }
        let process = &mut self.relays[relay];
        if process.wake_at <= self.now {
            process.wake_at = Time::NEVER;
            events.push(Event::WakeUp);
        }
        events
    }
}
