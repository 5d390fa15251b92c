//! The load: proposals and reads at random keepers.

use juniperwing_protocol::replication::Version;
use juniperwing_replication::{Event, ProposeToken, ReadToken};

use super::event_queue::ScheduledEvent;
use super::random_span;
use super::simulation::Simulation;

impl Simulation {
    /// Proposes or reads at a random machine, or in half of the cases at the primary, so that the primary
    /// always has load.
    pub(super) fn generate_load(&mut self) {
        let interval = random_span(&mut self.rng, 5, 40);
        self.schedule_after(interval, ScheduledEvent::GenerateLoad);
        let any_machine = self.rng.below(self.machines.len() as u64) as usize;
        let prefers_primary = self.rng.one_in(2);
        let index = self.primary().filter(|_| prefers_primary).unwrap_or(any_machine);
        let is_frozen = self.is_frozen(index);
        let Some(replica) = self.machines[index].replica.as_ref().filter(|_| !is_frozen) else { return };
        self.last_token += 1;
        let token = self.last_token;
        if self.rng.one_in(3) {
            self.checker.read_started(ReadToken(token));
            self.handle_event(index, Event::Read { token: ReadToken(token) });
            return;
        }
        let committed = replica.committed().map(|committed| committed.version);
        let base = if self.rng.one_in(4) { committed.unwrap_or_default() } else { replica.latest().version };
        self.propose(index, ProposeToken(token), base);
    }

    /// Proposes a change whose value is `token`, so that it is unique.
    pub fn propose(&mut self, machine: usize, token: ProposeToken, base: Version) {
        self.checker.proposal_started(token, base);
        self.handle_event(machine, Event::Propose { token, base, change: token.0 });
    }
}
