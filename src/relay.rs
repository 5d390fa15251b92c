//! A relay: its parts, where each event goes, and the loop that hands out their notes. Nothing here decides.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::interface::{Command, DestinationId, EndpointId, Event, MAX_WAKE_DELAY, RelayConfig};
use crate::mail::{Mail, Note, Part};
use crate::state::{Book, Destination, Endpoint, Lane, Slots, Turns};
use crate::time::Time;

/// A relay's decisions. It knows only its own events, its clock and its seed.
pub struct Relay {
    terms: Arc<RelayConfig>,
    /// Slots at the most, whatever the terms say.
    most_slots: usize,
    /// When the next wake-up asked for is due.
    wake: Time,
    mail: Mail,
    book: Book,
    turns: Turns,
    slots: Slots,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    lanes: BTreeMap<DestinationId, Lane>,
    destinations: BTreeMap<DestinationId, Destination>,
}

impl Relay {
    /// A relay that has just started and knows nothing yet.
    pub fn new(now: Time, seed: u64, terms: RelayConfig) -> Self {
        let mut mail = Mail::new(seed);
        mail.alarm(Part::Book, if terms.fleet.is_list_on_request { now } else { Time::NEVER });
        Relay {
            terms: Arc::new(terms),
            most_slots: usize::MAX,
            wake: Time::default(),
            mail,
            book: Book::default(),
            turns: Turns::default(),
            slots: Slots::default(),
            endpoints: BTreeMap::new(),
            lanes: BTreeMap::new(),
            destinations: BTreeMap::new(),
        }
    }

    /// Takes all that happened up to `now` and gives the commands that follow from it.
    pub fn handle(&mut self, now: Time, events: Vec<Event>) -> Vec<Command> {
        self.mail.begin(now);
        self.settle();
        for event in events {
            let (part, note) = match event {
                Event::EndpointListUpdated(news) => (Part::Book, Note::News(news)),
                Event::Accepted(ntf) => (Part::Destination(ntf.destination), Note::Accepted(ntf)),
                Event::PushEnded(outcome) => {
                    (Part::Endpoint(outcome.endpoint.clone()), Note::Outcome(outcome, false))
                }
                Event::RetryAfterReported { endpoint, retry_after } => {
                    (Part::Endpoint(endpoint), Note::Told(retry_after))
                }
                Event::Withdrawn(ntf) | Event::FinalAnswerAcknowledged(ntf) => {
                    let Some((id, _)) = self.destinations.iter().find(|(_, d)| d.holds(ntf)) else {
                        continue;
                    };
                    let withdrawn = matches!(event, Event::Withdrawn(_));
                    let note = if withdrawn { Note::Withdrawn(ntf) } else { Note::Heard(ntf) };
                    (Part::Destination(*id), note)
                }
                Event::SlotLimitChanged(slots) => {
                    self.most_slots = slots;
                    (Part::Slots, Note::Due)
                }
                Event::ConfigChanged(terms) => {
                    self.adopt(Arc::new(terms));
                    (Part::Slots, Note::Due)
                }
                Event::ProbeEnded { .. } | Event::WakeUp => continue,
            };
            self.mail.put(part, note);
            self.settle();
        }
        // Each part says when time alone next changes something for it; a wake-up not yet due will do. One
        // that is due within a tick may have come by now, for a front's clock can be coarser than this one.
        let next = self.mail.next_alarm().min(now + MAX_WAKE_DELAY);
        if self.wake <= now + self.terms.fleet.tick || next < self.wake {
            self.wake = next;
            self.mail.commands.push(Command::WakeAfter(next.since(now)));
        }
        std::mem::take(&mut self.mail.commands)
    }

    /// Has all parts go by other terms. What they have seen and decided so far stays with them.
    fn adopt(&mut self, terms: Arc<RelayConfig>) {
        // News of the list may have to be asked for from now on. One that is subscribed loses nothing.
        if terms.fleet.is_list_on_request && !self.terms.fleet.is_list_on_request {
            self.mail.alarm(Part::Book, self.mail.now);
        }
        self.endpoints.values_mut().for_each(|endpoint| endpoint.terms = terms.clone());
        self.lanes.values_mut().for_each(|lane| lane.terms = terms.clone());
        self.destinations.values_mut().for_each(|destination| destination.terms = terms.clone());
        self.terms = terms;
    }

    /// The one loop: empties every inbox.
    fn settle(&mut self) {
        let terms = self.terms.clone();
        let (slots, figures) = (terms.limits.slots.min(self.most_slots), &terms.rules);
        while let Some((part, note)) = self.mail.next() {
            let mail = &mut self.mail;
            match part {
                Part::Book => {
                    self.book.take(note, figures.list_refresh_interval, terms.fleet.is_list_pushed, mail)
                }
                Part::Turns => self.turns.take(note, figures.key_cooldown, mail),
                Part::Slots => self.slots.take(note, slots, figures.overload_duration, mail),
                Part::Lane(id) => {
                    let new = || Lane::new(terms.clone());
                    self.lanes.entry(id).or_insert_with(new).take(note, mail);
                }
                Part::Endpoint(id) => {
                    if let Note::Listed(entry) = &note {
                        let new = || Endpoint::new(terms.clone());
                        self.endpoints.entry(entry.endpoint.clone()).or_insert_with(new);
                    }
                    let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
                    endpoint.take(note, mail);
                    if endpoint.gone() {
                        self.endpoints.remove(&id);
                    }
                }
                Part::Destination(id) => {
                    let new = || Destination::new(id, terms.clone());
                    self.destinations.entry(id).or_insert_with(new).take(note, mail);
                }
            }
        }
    }
}
