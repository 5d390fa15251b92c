//! How the parts of the decision module talk: notes, the inboxes they are put into, and the round they belong
//! to. Nothing here decides.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use std::sync::Arc;

use crate::interface::{
    Command, DestinationId, DestinationKind, EndpointEntry, EndpointId, EndpointListUpdate, Notification,
    NotificationId, PushOutcome,
};
use crate::time::{Span, Time};

/// The parts, in the order in which their inboxes are emptied.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Part {
    Book,
    Turns,
    Endpoint(EndpointId),
    Lane(DestinationId),
    Destination(DestinationId),
    Slots,
}

#[derive(Debug)]
pub(crate) enum Note {
    /// An alarm of the part's own has come: see to whatever time alone brings.
    Due,
    News(EndpointListUpdate),
    Listed(EndpointEntry),
    Accepted(Notification),
    Withdrawn(NotificationId),
    Heard(NotificationId),
    /// A key's notification queues for its turn, has it, or leaves (with the time of a push in doubt).
    Join(String, NotificationId, DestinationId),
    Turn(NotificationId),
    Leave(String, NotificationId, Option<Time>),
    /// A destination has something to send.
    Ask(DestinationId),
    /// A slot is free: does the destination take it? It passes (until then), or a call goes from part to part
    /// until sent or declined (until then). To a destination: there are no slots until then.
    Slot,
    Pass(DestinationId, Time),
    Call(Call),
    Declined(Time),
    Sent(Call),
    /// A push ended; the flag says that its call had shown no outcome before, for a call has one fate.
    Outcome(PushOutcome, bool),
    /// A wait that was told by no outcome.
    Told(Span),
    /// What is not out to the destination's endpoints is not to go.
    Recall,
    /// All slots are taken and others wait: calls that are overdue may be called off; once-only ones too if
    /// the flag says that most slots are stuck.
    Shed(bool),
    /// A call has all its outcomes.
    Ended(DestinationId),
    /// It is, or will be, back from an outage at that time; the flag says that others may see it just then.
    Back(Time, bool),
    /// Connections must not be idle for so long, at endpoints of one kind or all.
    Stale(Span, Option<Arc<DestinationKind>>),
}

/// Notifications on their way to an endpoint as one call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) destination: DestinationId,
    pub(crate) endpoint: EndpointId,
    /// Each with its time-out, and how soon it must have gone out.
    pub(crate) pushes: Vec<(NotificationId, Span, Span)>,
    pub(crate) overdue: Span,
    /// The gaps between this relay's calls to the endpoint, and to the lane, after an outage.
    pub(crate) gaps: (Span, Span),
    /// How many full calls would carry what the destination was handed of late, and in how long.
    pub(crate) handed: (f64, Span),
    /// The listed rate to go by, in calls a second over all relays; zero if there is none.
    pub(crate) rate: f64,
    /// How long such a call usually lasts.
    pub(crate) usual: Span,
    /// It must not go over a connection that has been idle.
    pub(crate) fresh: bool,
}

/// The round at hand: its clock, the inboxes, the commands given so far, and the state of chance.
#[derive(Default)]
pub(crate) struct Mail {
    pub(crate) now: Time,
    inboxes: BTreeMap<Part, VecDeque<Note>>,
    alarms: BTreeSet<(Time, Part)>,
    pub(crate) commands: Vec<Command>,
    carry: u64,
}

impl Mail {
    pub(crate) fn new(seed: u64) -> Self {
        Mail { carry: (seed ^ 0x9e37_79b9_7f4a_7c15) >> 1 | 1, ..Mail::default() }
    }

    /// Begins a round: whoever has alarms that have come is told so, once.
    pub(crate) fn begin(&mut self, now: Time) {
        self.now = now;
        let mut due = BTreeSet::new();
        while self.alarms.first().is_some_and(|alarm| alarm.0 <= now) {
            due.extend(self.alarms.pop_first().map(|alarm| alarm.1));
        }
        due.into_iter().for_each(|part| self.put(part, Note::Due));
    }

    /// Has a part told in the first round at or after a time.
    pub(crate) fn alarm(&mut self, part: Part, at: Time) {
        if at < Time::NEVER {
            self.alarms.insert((at, part));
        }
    }

    /// When the next alarm comes.
    pub(crate) fn next_alarm(&self) -> Time {
        self.alarms.first().map_or(Time::NEVER, |alarm| alarm.0)
    }

    /// Puts a note into a part's inbox.
    pub(crate) fn put(&mut self, part: Part, note: Note) {
        self.inboxes.entry(part).or_default().push_back(note);
    }

    /// Chance, from 0 up to 1, by multiply-with-carry.
    pub(crate) fn chance(&mut self) -> f64 {
        self.carry = 4_294_957_665 * (self.carry & 0xffff_ffff) + (self.carry >> 32);
        f64::from(self.carry as u32) / 4_294_967_296.0
    }

    /// The next note of the first part that has any.
    pub(crate) fn next(&mut self) -> Option<(Part, Note)> {
        loop {
            let mut first = self.inboxes.first_entry()?;
            if let Some(note) = first.get_mut().pop_front() {
                return Some((first.key().clone(), note));
            }
            first.remove();
        }
    }
}
