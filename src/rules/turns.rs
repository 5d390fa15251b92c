//! Rule: of one key, one at a time, in the order taken, over all ordered topic types.

use crate::mail::{Mail, Note, Part};
use crate::state::Turns;
use crate::time::{Span, Time};

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
