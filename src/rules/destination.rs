//! Destinations: what they hold, whom they offer it to, and when it is given up.

use super::{ARRIVAL, LEAST_LEFT, MEMORY};
use crate::interface::{CallStatus, Command, PushOutcome};
use crate::mail::{Call, Mail, Note, Part};
use crate::state::{Destination, Held};
use crate::time::{Span, Time};

impl Destination {
    pub(crate) fn take(&mut self, note: Note, mail: &mut Mail) {
        self.born = self.born.or(Some(mail.now));
        match note {
            Note::Listed(entry) => self.list(entry),
            Note::Accepted(ntf) => {
                let key = ntf.key.clone().filter(|_| ntf.topic.is_ordered);
                let (turn, taken) = (key.is_none(), mail.now);
                key.into_iter().for_each(|key| mail.put(Part::Turns, Note::Join(key, ntf.id, self.id)));
                self.hold(ntf, taken, turn);
                self.handed.retain(|at| taken.since(*at) < self.terms.rules.warm_up_duration.mul_f64(MEMORY));
            }
            Note::Turn(id) => self.change(id, |held| held.turn = true),
            Note::Withdrawn(id) => self.change(id, |held| held.over = true),
            Note::Heard(id) => self.change(id, |held| held.past.has_final_answer = false),
            Note::Outcome(outcome, first) => self.outcome(&outcome, first, mail.now),
            Note::Recall => {
                self.ends.iter().for_each(|e| mail.commands.push(Command::CancelUnsent(e.0.clone())))
            }
            Note::Sent(call) => {
                let Some(()) = self.sent(&call, mail.now) else { return };
            }
            Note::Slot => return self.offer(0, Time::NEVER, mail),
            Note::Declined(until) => return self.offer(self.asked + 1, self.again.min(until), mail),
            Note::Pass(_, until) => return self.offer(2 * self.ends.len(), until, mail),
            Note::Shed(dire) => return self.shed(true, dire, mail),
            _ => {}
        }
        self.tidy(mail);
    }

    /// Gives up what is vain, asks for a slot for what waits, and sees to be woken when time changes that.
    fn tidy(&mut self, mail: &mut Mail) {
        (0..self.held.len()).rev().for_each(|place| self.give_up_if_vain(place, mail));
        let (late, mut next) = (self.latencies.median().max(LEAST_LEFT) - Span::from_nanos(1), Time::NEVER);
        for held in self.held.iter().filter(|h| h.out.is_none()) {
            let end = held.closes().map_or(Time::NEVER, |end| end - ARRIVAL);
            let dues = [held.ntf.valid_until - late, self.filled(held), end];
            next = dues.into_iter().filter(|at| *at > mail.now).fold(next, Time::min);
        }
        mail.alarm(Part::Destination(self.id), next);
        self.shed(false, false, mail);
        if self.held.iter().any(|h| h.turn && h.out.is_none() && !h.over) {
            mail.put(Part::Slots, Note::Ask(self.id));
        }
    }

    /// Calls off what is overdue, or sets an alarm: where slots are `full`, and where more of its key wait.
    fn shed(&mut self, full: bool, dire: bool, mail: &mut Mail) {
        let (now, usual, cancel) = (mail.now, self.overdue_after(), self.terms.limits.can_cancel);
        for place in 0..self.held.len() {
            let held = &self.held[place];
            let Some(at) = held.out.as_ref().filter(|_| cancel).map(|o| o.sent_at) else { continue };
            let waits = |h: &&Held| !h.turn && h.ntf.key == held.ntf.key;
            let behind = held.ntf.topic.is_ordered && self.held.iter().filter(waits).count() > 1;
            let after = if held.again() { usual } else { usual.max(self.terms.rules.overload_duration) };
            let due = if full || behind { at + after } else { Time::NEVER };
            if now < due {
                mail.alarm(if behind { Part::Destination(self.id) } else { Part::Slots }, due);
            } else if held.past.last_doubtful_end.is_none_or(|d| d < at) && (behind || held.again() || dire) {
                mail.commands.push(Command::Cancel {
                    notification: held.ntf.id,
                    push_index: held.past.push_count - 1,
                });
                self.held[place].past.last_doubtful_end = Some(now);
            }
        }
    }

    /// Asks the next endpoint in rotation, own zone first if crossing is priced; resends first go elsewhere.
    fn offer(&mut self, asked: usize, again: Time, mail: &mut Mail) {
        (self.asked, self.again) = (asked, again);
        let mut order: Vec<usize> = (0..self.ends.len()).map(|i| (self.next + i) % self.ends.len()).collect();
        let home = self.terms.fleet.home_zone.as_ref();
        order.sort_by_key(|end| home.is_some_and(|home| *home != self.ends[*end].1));
        while self.asked < 2 * self.ends.len() && !self.held.is_empty() {
            let (endpoint, zone) = self.ends[order[self.asked % order.len()]].clone();
            let pushes = self.pick(mail.now, &endpoint, &zone);
            if !pushes.is_empty() {
                let (to, destination, fresh, rate) = (Part::Endpoint(endpoint.clone()), self.id, false, 0.0);
                let (usual, overdue, now) = (self.latencies.median(), self.overdue_after(), mail.now);
                let gaps = (self.gap(self.ends.len(), now), self.gap(1, now));
                let handed = (self.handed.len().max(1) as f64 / self.per_call as f64, self.known(now));
                let call = Call { destination, endpoint, pushes, usual, overdue, gaps, handed, rate, fresh };
                return mail.put(to, Note::Call(call));
            }
            self.asked += 1;
        }
        (0..self.held.len()).rev().for_each(|place| self.give_up_if_vain(place, mail));
        mail.put(Part::Slots, Note::Pass(self.id, self.again));
    }

    fn outcome(&mut self, o: &PushOutcome, first: bool, now: Time) {
        // Throttled pushes and refused connections tell nothing of latency.
        if first && matches!(o.status, CallStatus::Delivered | CallStatus::TimedOut | CallStatus::Cancelled) {
            self.latencies.record(now, o.elapsed, o.status != CallStatus::Delivered);
        }
        let Some(held) = self.held.iter_mut().find(|h| h.ntf.id == o.notification) else { return };
        let sent = held.out.take();
        held.over |= o.has_final_answer;
        if o.status.may_have_run() {
            let failing = self.failing.entry((o.endpoint.clone(), held.ntf.topic.name.clone())).or_default();
            *failing = (if o.status == CallStatus::Delivered { 0 } else { failing.0 + 1 }, now);
            held.past.first_possible_run = held.past.first_possible_run.take().or(sent);
        }
        held.past.last_doubtful_end =
            Some(now).filter(|_| o.status.may_be_running()).or(held.past.last_doubtful_end);
    }

    /// The design's cutoff, and rule: one final answer, at once if an endpoint takes it too late.
    fn give_up_if_vain(&mut self, place: usize, mail: &mut Mail) {
        let (usual, held) = (self.latencies.median().max(LEAST_LEFT), &mut self.held[place]);
        let from = if self.again < Time::NEVER { self.again.max(mail.now) } else { mail.now };
        let left = held.ntf.valid_until.since(from);
        let in_time = left >= LEAST_LEFT && self.latencies.is_worth_trying(left);
        let lives = in_time && held.may_run(mail.now, None, self.terms.limits.max_pushes);
        if held.out.is_some() || held.past.has_final_answer || lives {
            return;
        }
        let (ntf, key) = (held.ntf.id, held.ntf.key.clone().filter(|_| held.ntf.topic.is_ordered));
        if !held.over {
            let retry_in = self.terms.limits.max_retry_after.min(usual.max(from.since(mail.now)));
            let throttled = Command::Throttle { notification: ntf, retry_after: retry_in };
            mail.commands.push(if held.past.first_possible_run.is_some() {
                Command::Expire(ntf)
            } else {
                throttled
            });
            (held.over, held.past.has_final_answer) = (true, key.is_some());
        }
        if !held.past.has_final_answer {
            let doubt = self.held.remove(place).past.last_doubtful_end;
            key.into_iter().for_each(|key| mail.put(Part::Turns, Note::Leave(key, ntf, doubt)));
        }
    }
}
