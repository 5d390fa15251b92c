//! Slots: which destination calls next.

use std::collections::BTreeSet;

use super::tuning::NEXT_LIFE;
use crate::mail::{Mail, Note, Part};
use crate::state::Slots;
use crate::time::Span;

impl Slots {
    pub(crate) fn take(&mut self, note: Note, total: usize, tip_after: Span, mail: &mut Mail) {
        let now = mail.now;
        match note {
            Note::Ask(destination) => self.times.wait(destination, now),
            Note::Pass(destination, until) => {
                self.offered = false;
                self.times.wait(destination, until);
                mail.alarm(Part::Slots, until);
            }
            Note::Sent(call) => {
                self.offered = false;
                self.times.begin(now, call.destination, call.usual);
            }
            Note::Ended(destination) => self.times.end(now, &destination),
            _ => {}
        }
        if self.times.open() < total && !self.offered {
            // The design's choice: least slot time, calls out included at what they are likely to take.
            if let Some(&next) = self.times.next(now, tip_after) {
                self.offered = true;
                mail.put(Part::Destination(next), Note::Slot);
            }
        } else if total == 0 {
            // Guards against what only the next process could push, if that is too late for it.
            let waiting = self.times.waiting(now);
            waiting.for_each(|id| mail.put(Part::Destination(*id), Note::Pass(*id, now + NEXT_LIFE)));
        } else if self.times.open() >= total && self.times.waiting(now).count() > 0 {
            // Guards against silent destinations that take every slot; once-only ones go if most are stuck.
            let stuck = self.times.out().filter(|(_, began)| now.since(*began) >= tip_after);
            let dire = stuck.count() * 2 > total;
            let out: BTreeSet<_> = self.times.out().map(|(id, _)| *id).collect();
            out.into_iter().for_each(|id| mail.put(Part::Destination(id), Note::Shed(dire)));
        }
    }
}
