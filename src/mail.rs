//! How the parts of the decision module talk: notes, the inboxes they are put into, and the round they belong
//! to. Nothing here decides.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{
    Command, DestinationId, EndpointId, Entry, News, Notification, NtfId, Outcome, Status,
};
use crate::time::{Span, Time};

/// The lane of a call: its limit and waits hold for the destination or, where routes are apart, the endpoint.
pub(crate) type LaneId = (DestinationId, Option<EndpointId>);

/// The parts, in the order in which their inboxes are emptied.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Part {
    Book,
    Turns,
    Endpoint(EndpointId),
    Lane(LaneId),
    Destination(DestinationId),
    Slots,
}

#[derive(Debug)]
pub(crate) enum Note {
    /// A round has come: see to whatever time alone brings.
    Sweep,
    News(News),
    Listed(Entry),
    Accepted(Notification),
    Withdrawn(NtfId),
    /// A key's notification queues for its turn, has it, or leaves (with the time of a push in doubt).
    Join(String, NtfId, DestinationId),
    Turn(NtfId),
    Leave(String, NtfId, Option<Time>),
    /// A slot is free: does the destination take it? It passes, or a call goes from part to part until sent.
    Slot,
    Pass(DestinationId),
    Call(Call),
    Declined,
    Sent(Call),
    /// A push ended; the flag says that its call had shown no outcome before, for a call has one fate.
    Outcome(Outcome, bool),
    /// All slots are taken: the call out longest may be called off if it is overdue.
    Shed,
    /// A call has all its outcomes.
    Ended(DestinationId),
    Probed(Status),
    /// A call on a connection idle for so long was lost, and a later one to the same endpoint was not.
    Stale(Span),
}

/// Notifications on their way to an endpoint as one call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) destination: DestinationId,
    pub(crate) endpoint: EndpointId,
    pub(crate) pushes: Vec<(NtfId, Span)>,
    pub(crate) overdue_after: Span,
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
    pub(crate) commands: Vec<Command>,
    carry: u64,
}

impl Mail {
    pub(crate) fn new(seed: u64) -> Self {
        Mail { carry: (seed ^ 0x9e37_79b9_7f4a_7c15) >> 1 | 1, ..Mail::default() }
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

/// Keeps the last few of a kind of sample, `most` of them.
pub(crate) fn keep<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    samples.push_back(sample);
    if samples.len() > most {
        samples.pop_front();
    }
}
