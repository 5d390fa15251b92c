//! Whose turn it is: which destination calls next, and which notification of a key.

use std::collections::BTreeSet;

use super::NEXT_LIFE;
use crate::mail::{Mail, Note, Part};
use crate::state::{Slots, Turns};
use crate::time::{Span, Time};

impl Slots {
    pub(crate) fn take(&mut self, note: Note, total: usize, tip_after: Span, mail: &mut Mail) {
        let now = mail.now;
        match note {
            Note::Ask(destination) => self.times.set_waiting(destination, now),
            Note::Pass(destination, until) => {
                self.offered = false;
                self.times.set_waiting(destination, until);
                mail.alarm(Part::Slots, until);
            }
            Note::Sent(call) => {
                self.offered = false;
                self.times.begin_call(now, call.destination, call.usual);
            }
            Note::Ended(destination) => self.times.end_call(now, &destination),
            _ => {}
        }
        if self.times.slots_in_use() < total && !self.offered {
            // The design's choice: least slot time, calls out included at what they are likely to take.
            if let Some(&next) = self.times.next_destination(now, tip_after) {
                self.offered = true;
                mail.put(Part::Destination(next), Note::Slot);
            }
        } else if total == 0 {
            // Guards against what only the next process could push, if that is too late for it.
            let waiting = self.times.waiting_destinations(now);
            waiting.for_each(|id| mail.put(Part::Destination(*id), Note::Pass(*id, now + NEXT_LIFE)));
        } else if self.times.slots_in_use() >= total && self.times.waiting_destinations(now).count() > 0 {
            // Guards against silent destinations that take every slot; once-only ones go if most are stuck.
            let stuck = self.times.calls_in_flight().filter(|(_, began)| now.since(*began) >= tip_after);
            let dire = stuck.count() * 2 > total;
            let out: BTreeSet<_> = self.times.calls_in_flight().map(|(id, _)| *id).collect();
            out.into_iter().for_each(|id| mail.put(Part::Destination(id), Note::Shed(dire)));
        }
    }
}

/// Rule: of one key, one at a time, in the order taken, over all ordered topic types.
impl Turns {
    pub(crate) fn take(&mut self, note: Note, settle: Span, mail: &mut Mail) {
        match note {
            Note::Join(key, ntf, to) => self.lines.entry(key).or_default().waiting.push_back((ntf, to)),
            Note::Leave(key, ntf, doubt) => {
                let Some(line) = self.lines.get_mut(&key) else { return };
                line.granted &= line.waiting.front().is_some_and(|w| w.0 != ntf);
                line.waiting.retain(|w| w.0 != ntf);
                line.rest_until = line.rest_until.max(doubt.map_or(Time::default(), |at| at + settle));
            }
            _ => {}
        }
        for line in self.lines.values_mut().filter(|line| !line.granted) {
            if line.rest_until > mail.now {
                mail.alarm(Part::Turns, line.rest_until);
            } else if let Some(&(ntf, destination)) = line.waiting.front() {
                line.granted = true;
                mail.put(Part::Destination(destination), Note::Turn(ntf));
            }
        }
        self.lines.retain(|_, line| !line.waiting.is_empty() || line.rest_until > mail.now);
    }
}
