//! The list of endpoints.

use super::lane::pause;
use super::{BACK_OFF, FIRST_ASK, LEAST_LEFT, PAUSE};
use crate::interface::{Command, EndpointEntry, EndpointListUpdate, Readiness};
use crate::mail::{Mail, Note, Part};
use crate::state::Book;
use crate::time::Span;

impl Book {
    pub(crate) fn take(&mut self, note: Note, ask_every: Span, pushed: bool, mail: &mut Mail) {
        let spoken =
            matches!(&note, Note::News(news) if !matches!(news, EndpointListUpdate::CachedSnapshot(_)));
        let early = self.early.take_if(|_| spoken);
        early.into_iter().for_each(|early| self.merge(early, mail));
        match note {
            // Guards against drains told while there was no process: pushed, they count from its start.
            Note::News(EndpointListUpdate::CachedSnapshot(entries)) if pushed => self.early = Some(entries),
            Note::News(EndpointListUpdate::Failed) if !self.pausing => {
                // Guards against a list overrun: ask again, never in step; ever later, unless it is pushed.
                let first = ask_every.mul_f64(FIRST_ASK).clamp(LEAST_LEFT, PAUSE.mul_f64(BACK_OFF));
                let at = mail.now + pause(first, self.failures, Span::ZERO, mail);
                mail.alarm(Part::Book, at);
                (self.pausing, self.failures) = (true, self.failures + i32::from(!pushed));
            }
            Note::News(EndpointListUpdate::Changes(entries)) => self.merge(entries, mail),
            Note::News(
                EndpointListUpdate::Snapshot(mut entries) | EndpointListUpdate::CachedSnapshot(mut entries),
            ) => {
                entries.extend(self.missing_from(&entries));
                self.merge(entries, mail);
            }
            Note::Stale(span, kind) => {
                let all = self.entries.values().filter(|e| kind.as_ref().is_none_or(|kind| *kind == e.kind));
                all.for_each(|e| mail.put(Part::Endpoint(e.endpoint.clone()), Note::Stale(span, None)));
            }
            Note::Due => {
                self.pausing = false;
                mail.commands.push(Command::SubscribeToEndpointList);
            }
            _ => {}
        }
    }

    fn merge(&mut self, mut entries: Vec<EndpointEntry>, mail: &mut Mail) {
        self.failures = 0;
        entries.retain(|entry| self.entries.get(&entry.endpoint) != Some(entry));
        for entry in entries {
            // Guards against one that goes over to another destination: it is gone from the one that it had.
            let old = self.entries.insert(entry.endpoint.clone(), entry.clone());
            let old = old.filter(|old| old.destination != entry.destination);
            let gone = old.map(|old| EndpointEntry { readiness: Readiness::Deleted, ..old });
            gone.into_iter().for_each(|old| mail.put(Part::Destination(old.destination), Note::Listed(old)));
            mail.put(Part::Endpoint(entry.endpoint.clone()), Note::Listed(entry.clone()));
            mail.put(Part::Destination(entry.destination), Note::Listed(entry));
        }
        self.entries.retain(|_, entry| entry.readiness != Readiness::Deleted);
    }
}
