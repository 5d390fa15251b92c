//! Lanes: waits, limits, and returns.

use std::sync::Arc;

use super::*;
use crate::interface::{CallStatus, Command, PushOutcome, RateLimitReport, RelayConfig};
use crate::mail::{Mail, Note, Part};
use crate::state::Lane;
use crate::time::{Span, Time};

/// A pause that grows eightfold with each in a row; chance keeps many from coming back in step.
pub(super) fn pause(first: Span, times: i32, longest: Span, mail: &mut Mail) -> Span {
    let longest = longest.max(first.mul_f64(GROWTH));
    first.mul_f64(8f64.powi(times.min(8))).min(longest).mul_f64(0.5 + mail.chance())
}

impl RateLimitReport {
    /// Whether there is a limit, and next to nothing left of it.
    pub(super) fn is_used_up(self) -> bool {
        self.rate_per_second > 0.0 && self.remaining_fraction < LOW
    }
}

impl Lane {
    /// The gap between this relay's calls right after an outage.
    pub(super) fn part(&self) -> Span {
        self.gap.mul_f64(1.0 / self.terms.rules.warm_up_initial_fraction)
    }

    /// How long the told limit takes for so many calls; where none is told, no time.
    pub(super) fn calls(&self, count: f64) -> Span {
        if self.rate > 0.0 { Span::from_secs_f64(count / self.rate) } else { Span::ZERO }
    }

    pub(crate) fn new(terms: Arc<RelayConfig>) -> Self {
        Lane { window: (terms.limits.slots as f64 / 2.0).max(1.0), terms, ..Lane::default() }
    }

    pub(crate) fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Call(call) => {
                (self.gap, self.handed) = (call.gaps.1, call.handed);
                self.rate = if self.told { self.rate } else { call.rate };
                let until = self.takes_from(mail.now, call.pushes.len());
                if until > mail.now {
                    return mail.put(Part::Destination(call.destination), Note::Declined(until));
                }
                (self.out, self.last_sent) = (self.out + 1, mail.now);
                if call.fresh {
                    mail.commands.push(Command::CloseIdleConnections(call.endpoint.clone()));
                }
                for &(ntf, time_out, send_within) in &call.pushes {
                    let endpoint = call.endpoint.clone();
                    mail.commands.push(Command::Push {
                        notification: ntf,
                        endpoint,
                        timeout: time_out,
                        send_within,
                    });
                }
                mail.put(Part::Endpoint(call.endpoint.clone()), Note::Sent(call.clone()));
                mail.put(Part::Slots, Note::Sent(call.clone()));
                mail.put(Part::Destination(call.destination), Note::Sent(call));
            }
            Note::Told(wait) => self.wait_until = self.wait_until.max(mail.now + wait),
            Note::Ended(_) => self.out = self.out.saturating_sub(1),
            Note::Back(at, apart) => {
                let most =
                    if apart { self.part().min(self.terms.rules.warm_up_duration) } else { Span::ZERO };
                self.back = Some((at, at + most.mul_f64(mail.chance()), 0));
            }
            Note::Outcome(outcome, first) => {
                if let Some(wait) = outcome.retry_after {
                    self.wait_until = self.wait_until.max(mail.now + wait);
                    // Guards against all who were told when it opens: they would come back at the same time.
                    let limited = outcome.rate_limit.map_or(self.rate, |limit| limit.rate_per_second) > 0.0;
                    if first && !(limited && wait < self.terms.rules.overload_duration.mul_f64(BRIEF)) {
                        self.take(Note::Back(self.wait_until, true), mail);
                    }
                }
                if first {
                    self.learn(&outcome, mail);
                }
            }
            _ => {}
        }
    }

    /// Rules: nothing in a told wait; after an outage, no more than its part. From when a call may go.
    fn takes_from(&self, now: Time, pushes: usize) -> Time {
        if self.out as f64 >= self.window {
            return Time::NEVER;
        }
        let f = &self.terms.rules;
        let next = self.last_sent + self.calls(1.0).max(self.pace);
        let next = next.max(self.wait_until).max(self.pause_until);
        let back = self.back.filter(|back| now.since(back.0) < f.warm_up_duration);
        let Some((since, from, wins)) = back else { return next };
        let level = f.warm_up_initial_fraction
            + (1.0 - f.warm_up_initial_fraction) * now.since(since).as_secs_f64()
                / f.warm_up_duration.as_secs_f64();
        let gap = self.gap.mul_f64(1.0 / level).max(f.overload_duration.mul_f64(0.5f64.powi(wins)));
        let weight = 1.0 + FURTHER * pushes.saturating_sub(1) as f64;
        next.max(from).max(self.last_sent + gap.mul_f64(weight))
    }

    fn learn(&mut self, outcome: &PushOutcome, mail: &mut Mail) {
        let (status, limit, wait) =
            (outcome.status, outcome.rate_limit, outcome.retry_after.unwrap_or_default());
        (self.rate, self.told) = limit.map_or((self.rate, self.told), |limit| (limit.rate_per_second, true));
        let above = limit.map_or(self.rate > 0.0 && wait > Span::ZERO, RateLimitReport::is_used_up);
        match status {
            // Above the limit: what is refused uses it up too, so all that are must come more rarely.
            CallStatus::Busy if mail.now >= self.pause_until && above => {
                let equal = self.calls(self.terms.fleet.relay_count as f64);
                // A told wait says by how much: all who were told come back at its end, and use it up again.
                let (own, grows) = match limit {
                    Some(_) => ((self.handed.1 + equal).mul_f64(1.0 / self.handed.0).min(equal), BACK_OFF),
                    None => (self.calls(REFUSED).max(wait.mul_f64(BACK_OFF)), TOLD_BACK_OFF),
                };
                self.pace = self.pace.mul_f64(grows).max(own).min(equal.mul_f64(MOST).max(own));
                self.pause_until = mail.now + self.pace.mul_f64(0.5 + mail.chance());
                if limit.is_none() {
                    self.pause(status, 2, mail);
                }
            }
            CallStatus::Delivered => {
                if self.rate > 0.0 {
                    let left = limit.map_or(LEFT_UNTOLD, |limit| limit.remaining_fraction);
                    self.pace = self.pace.mul_f64(2f64.powf(HALF_LEFT - left));
                }
                (self.refused, self.window) = (0, self.window + 1.0 / self.window);
                self.back = self.back.map(|(since, from, wins)| (since, from, wins + 1));
            }
            CallStatus::Busy | CallStatus::NoConnection | CallStatus::ConnectionLimitReached
                if mail.now >= self.pause_until =>
            {
                // A full table of connections refuses at once, one that cannot be reached does not.
                let at_once = outcome.elapsed < self.terms.rules.overload_duration.mul_f64(OVERDUE_FLOOR);
                let mild = if status == CallStatus::Busy {
                    limit.is_some_and(|l| l.rate_per_second > 0.0)
                } else {
                    at_once
                };
                self.pause(status, if mild { 1 } else { 2 }, mail);
                self.window = (self.window * 0.6).max(1.0);
            }
            CallStatus::TimedOut | CallStatus::Reset => self.window = (self.window * 0.95).max(1.0),
            _ => {}
        }
    }

    /// A relay that sees little cannot tell a limit from an outage, after which all count: ever more rarely.
    fn pause(&mut self, status: CallStatus, grows: i32, mail: &mut Mail) {
        let first = PAUSE.max(self.calls(REFUSED));
        let longest = match status {
            CallStatus::ConnectionLimitReached => Span::ZERO,
            // No limit is spoken of, so nothing is lost by keeping to the part in full.
            CallStatus::NoConnection => self.part(),
            _ => self.part().min(self.terms.rules.warm_up_duration),
        };
        let until = mail.now + pause(first, grows * self.refused, longest, mail);
        self.pause_until = self.pause_until.max(until);
        self.refused += 1;
    }
}
