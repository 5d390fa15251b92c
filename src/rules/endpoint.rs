//! Endpoints: drains, connections, and health.

use super::{BRIEF, OVERDUE_FLOOR, PATIENCE, STALE_MEMORY, SUSPECT};
use crate::interface::{CallStatus, Command, PushOutcome, RateLimitReport, Readiness};
use crate::mail::{Mail, Note, Part};
use crate::state::Endpoint;
use crate::time::{Span, Time};

impl Endpoint {
    /// The rate to go by that the list gives, in calls a second over all relays; zero if there is none.
    pub(super) fn rate(&self) -> f64 {
        if self.terms.fleet.has_listed_rates { self.entry.rate_per_second } else { 0.0 }
    }

    pub(crate) fn take(&mut self, note: Note, mail: &mut Mail) {
        match note {
            Note::Listed(entry) => self.entry = entry,
            Note::Call(mut call) => {
                call.rate = self.rate();
                self.gap = call.gaps.0;
                let until = self.takes_from(mail.now);
                if until > mail.now {
                    return mail.put(Part::Destination(call.destination), Note::Declined(until));
                }
                call.fresh = self.stale(mail.now).is_some_and(|span| mail.now.since(self.used) >= span);
                mail.put(Part::Lane(call.destination), Note::Call(call));
            }
            Note::Stale(span, _) => {
                self.stale = Some((self.stale(mail.now).map_or(span, |known| known.min(span)), mail.now));
                mail.commands.push(Command::CloseIdleConnections(self.entry.endpoint.clone()));
            }
            Note::Sent(call) => {
                self.aside = self.aside.map(|_| self.next_trial(mail));
                mail.alarm(Part::Endpoint(call.endpoint.clone()), mail.now + call.overdue);
                self.sent(&call, mail.now);
            }
            Note::Outcome(outcome, _) => self.outcome(outcome, mail),
            Note::Told(wait) => {
                mail.put(Part::Lane(self.entry.destination), Note::Told(wait));
                mail.put(Part::Destination(self.entry.destination), Note::Recall);
            }
            _ => self.suspect(mail),
        }
    }

    fn stale(&self, now: Time) -> Option<Span> {
        self.stale.filter(|(_, told)| now.since(*told) < STALE_MEMORY).map(|(span, _)| span)
    }

    /// Rule: nothing to an endpoint that drains or is gone. From when a call may go.
    fn takes_from(&self, now: Time) -> Time {
        if self.entry.readiness != Readiness::Serving {
            Time::NEVER
        } else if self
            .outs
            .last()
            .is_some_and(|o| o.at == now && o.ntfs.len() < self.entry.kind.max_notifications_per_call)
        {
            // A second call in the same round would be joined to the first.
            now + Span::from_nanos(1)
        } else if let Some(next) = self.aside {
            // A call still out there tells of the return by itself, and costs no further slot.
            let patience = if self.outs.is_empty() { 0.0 } else { PATIENCE };
            next + self.terms.rules.overload_duration.mul_f64(patience)
        } else {
            now
        }
    }

    fn next_trial(&self, mail: &mut Mail) -> Time {
        let gap = self
            .gap
            .mul_f64(1.0 / self.terms.rules.warm_up_initial_fraction)
            .max(self.terms.rules.overload_duration);
        mail.now + gap.mul_f64(0.75 + mail.chance() / 2.0)
    }

    fn outcome(&mut self, outcome: PushOutcome, mail: &mut Mail) {
        let Some(place) = self.outs.iter().position(|out| out.ntfs.contains(&outcome.notification)) else {
            return;
        };
        let out = &mut self.outs[place];
        out.ntfs.retain(|ntf| *ntf != outcome.notification);
        let (to, at, seldom) = (out.to, out.at, out.idle > self.terms.limits.idle_timeout);
        let first = !std::mem::replace(&mut out.answered, true);
        if out.ntfs.is_empty() {
            self.outs.remove(place);
            mail.put(Part::Lane(to), Note::Ended(to));
            mail.put(Part::Slots, Note::Ended(to));
            // Guards against few connections, full of idle ones: where short, or this relay comes too seldom.
            if seldom || self.stale(mail.now) == Some(Span::ZERO) {
                mail.commands.push(Command::CloseIdleConnections(self.entry.endpoint.clone()));
            }
        }
        if first {
            // Guards against calls whose connections are not up yet: they would go in the wait that was told.
            outcome.retry_after.iter().for_each(|_| mail.put(Part::Destination(to), Note::Recall));
            self.judge(at, outcome.status, outcome.rate_limit, mail);
        }
        mail.put(Part::Lane(to), Note::Outcome(outcome.clone(), first));
        mail.put(Part::Destination(to), Note::Outcome(outcome, first));
    }

    /// What an outcome, of a call sent at `at`, says of the endpoint's health.
    fn judge(&mut self, at: Time, status: CallStatus, limit: Option<RateLimitReport>, mail: &mut Mail) {
        let (now, span) = (mail.now, self.terms.rules.overload_duration);
        let sign = match status {
            CallStatus::Delivered => {
                // Too short for an outage, as far as this relay saw: no reason to hold back.
                let brief = self.delivered.is_some_and(|t| now.since(t) < span.mul_f64(BRIEF));
                let was_aside = self.aside.take().is_some();
                // One connection refused some time ago will do: of many relays most see no more of it.
                let refused = self.refused.take();
                let down = refused.is_some_and(|at| now.since(at) >= span.mul_f64(BRIEF));
                if (was_aside || down) && !brief {
                    mail.commands.push(Command::Log(format!("{} is back", self.entry.endpoint.0)));
                    mail.put(Part::Lane(self.entry.destination), Note::Back(now, was_aside));
                }
                // Guards against connections that die unseen while idle: then all endpoints get fresh ones.
                let idle = span.mul_f64(OVERDUE_FLOOR);
                let mut lost = self.outs.iter().filter(|o| o.lost(now) && o.at < at && o.idle >= idle);
                if let Some(out) = lost.next_back().filter(|o| now.since(o.at) < span.mul_f64(PATIENCE)) {
                    mail.put(Part::Book, Note::Stale(out.idle.mul_f64(0.9), None));
                }
                // Refused before it answers, one that is up is short of connections.
                if refused.is_some() && !down && !was_aside {
                    self.short_of_connections(mail);
                }
                self.delivered = Some(now);
                self.streak = if was_aside { 0 } else { self.streak.saturating_sub(1) };
                false
            }
            // Above a limit, or up, as a call shows that is out and not lost: no sign of an outage.
            CallStatus::Busy if limit.map_or(self.rate() > 0.0, RateLimitReport::is_used_up) => false,
            CallStatus::NoConnection => self.outs.iter().all(|o| o.lost(now)),
            CallStatus::ConnectionLimitReached => {
                self.short_of_connections(mail);
                false
            }
            _ => status != CallStatus::Skipped,
        };
        self.refused = self.refused.or((status == CallStatus::NoConnection).then_some(now));
        self.streak += usize::from(sign);
        self.suspect(mail);
    }

    /// Guards against few connections, which many relays fill with idle ones: at this kind none is left idle.
    fn short_of_connections(&self, mail: &mut Mail) {
        if self.stale(mail.now) != Some(Span::ZERO) {
            mail.put(Part::Book, Note::Stale(Span::ZERO, Some(self.entry.kind.clone())));
        }
    }

    /// Guards against silence as well as failures: a call long overdue is evidence before its time-out.
    fn suspect(&mut self, mail: &mut Mail) {
        let (now, span) = (mail.now, self.terms.rules.overload_duration);
        let mut lost = self.outs.iter().filter(|o| o.lost(now)).count();
        if let Some(good) = self.delivered.filter(|t| lost > 0 && now.since(*t) < span) {
            mail.alarm(Part::Endpoint(self.entry.endpoint.clone()), good + span);
            lost = 0;
        }
        if self.aside.is_none() && self.streak + lost >= SUSPECT {
            self.aside = Some(self.next_trial(mail));
            mail.commands.push(Command::Log(format!("{} set aside", self.entry.endpoint.0)));
        }
    }
}
