//! A relay: its parts, where each event goes, and the loop that hands out their notes. Nothing here decides.

use std::collections::BTreeMap;

use crate::interface::{
    Allowance, Command, DestinationId, EndpointId, Event, Fleet, LONGEST_WAKE, RuleFigures,
};
use crate::mail::{LaneId, Mail, Note, Part};
use crate::rules::{Book, Destination, Endpoint, Lane, Slots, Turns};
use crate::time::Time;

/// A relay's decisions. It knows only its own events, its clock and its seed.
pub struct Relay {
    fleet: Fleet,
    allowed: Allowance,
    figures: RuleFigures,
    /// When the next wake-up asked for is due.
    wake: Time,
    mail: Mail,
    book: Book,
    turns: Turns,
    slots: Slots,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    lanes: BTreeMap<LaneId, Lane>,
    destinations: BTreeMap<DestinationId, Destination>,
}

impl Relay {
    /// A relay that has just started and knows nothing yet.
    pub fn new(now: Time, seed: u64, fleet: Fleet, allowed: Allowance, figures: RuleFigures) -> Self {
        let mut mail = Mail::new(seed);
        mail.alarm(Part::Book, if fleet.list_on_request { now } else { Time::NEVER });
        Relay {
            fleet,
            allowed,
            figures,
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
                Event::List(news) => (Part::Book, Note::News(news)),
                Event::Accepted(ntf) => (Part::Destination(ntf.destination), Note::Accepted(ntf)),
                Event::Ended(outcome) => {
                    (Part::Endpoint(outcome.endpoint.clone()), Note::Outcome(outcome, false))
                }
                Event::Told { endpoint, wait } => (Part::Endpoint(endpoint), Note::Told(wait)),
                Event::Withdrawn(ntf) | Event::Heard(ntf) => {
                    let Some((id, _)) = self.destinations.iter().find(|(_, d)| d.holds(ntf)) else {
                        continue;
                    };
                    let withdrawn = matches!(event, Event::Withdrawn(_));
                    let note = if withdrawn { Note::Withdrawn(ntf) } else { Note::Heard(ntf) };
                    (Part::Destination(*id), note)
                }
                Event::Slots(slots) => {
                    self.allowed.slots = slots;
                    (Part::Slots, Note::Due)
                }
                Event::Probed { .. } | Event::Woken => continue,
            };
            self.mail.put(part, note);
            self.settle();
        }
        // Each part says when time alone next changes something for it; a wake-up not yet due will do. One
        // that is due within a tick may have come by now, for a front's clock can be coarser than this one.
        let next = self.mail.next_alarm().min(now + LONGEST_WAKE);
        if self.wake <= now + self.fleet.tick || next < self.wake {
            self.wake = next;
            self.mail.commands.push(Command::Wake(next.since(now)));
        }
        std::mem::take(&mut self.mail.commands)
    }

    /// The one loop: empties every inbox.
    fn settle(&mut self) {
        let (allowed, figures, relays) = (self.allowed, self.figures, self.fleet.relays);
        while let Some((part, note)) = self.mail.next() {
            let mail = &mut self.mail;
            match part {
                Part::Book => self.book.take(note, figures.ask_every, mail),
                Part::Turns => self.turns.take(note, figures.settle, mail),
                Part::Slots => self.slots.take(note, allowed.slots, figures.tip_after, mail),
                Part::Lane(id) => {
                    let new = || Lane::new(allowed.slots, relays, figures);
                    self.lanes.entry(id).or_insert_with(new).take(note, mail);
                }
                Part::Endpoint(id) => {
                    if let Note::Listed(entry) = &note {
                        let new = || Endpoint::new(figures);
                        self.endpoints.entry(entry.endpoint.clone()).or_insert_with(new);
                    }
                    let Some(endpoint) = self.endpoints.get_mut(&id) else { continue };
                    endpoint.take(note, mail);
                    if endpoint.gone() {
                        self.endpoints.remove(&id);
                        self.lanes.retain(|lane, _| lane.1.as_ref() != Some(&id));
                    }
                }
                Part::Destination(id) => {
                    let new = || Destination::new(id, relays, allowed, figures);
                    self.destinations.entry(id).or_insert_with(new).take(note, mail);
                }
            }
        }
    }
}
