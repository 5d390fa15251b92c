//! The state machine of one member: its state, its public interface and its timers.

use juniperwing_clock::Time;
use juniperwing_random::Rng;

use crate::dissemination::Dissemination;
use crate::event::{Command, Event};
use crate::member::{Incarnation, Member, MemberId, Record, RunId, Status};
use crate::prober::Prober;
use crate::reconciler::Reconciler;
use crate::settings::{Settings, SettingsError, Timings};
use crate::table::Table;
use crate::wire::Message;

/// Number of members that are notified directly when this one leaves.
const LEAVE_FANOUT: usize = 8;

/// Another process that uses the name of the local member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DuplicateProcess {
    pub(crate) run_id: RunId,
    /// The number of its records received that superseded the local one.
    pub(crate) sightings: u32,
}

/// The state machine of one member, with its view of all members.
#[derive(Debug)]
pub struct Membership {
    pub(crate) local_id: MemberId,
    /// The local member's own record; it is also in the table.
    pub(crate) local_record: Record,
    pub(crate) timings: Timings,
    pub(crate) table: Table,
    pub(crate) dissemination: Dissemination,
    pub(crate) rng: Rng,
    pub(crate) prober: Prober,
    pub(crate) reconciler: Reconciler,
    pub(crate) commands: Vec<Command>,
    pub(crate) wake_at: Time,
    pub(crate) has_left: bool,
    /// A process with another run id under the local name.
    pub(crate) duplicate: Option<DuplicateProcess>,
}

impl Membership {
    /// A member that starts at `now`. The first event must be a tick, at once; `seed` determines all random choices.
    ///
    /// # Errors
    ///
    /// If the settings are invalid.
    pub fn new(now: Time, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let Settings { local_member, seeds, timings } = settings;
        let mut rng = Rng::new(seed);
        let mut table = Table::default();
        let prober = Prober::new(now, &timings, &mut rng);
        let reconciler = Reconciler::new(now, seeds, local_member.gossip_address, &timings, &mut rng);
        let local_id = local_member.id.clone();
        let local_record =
            Record { member: local_member, incarnation: Incarnation(0), status: Status::Alive };
        table.insert(local_record.clone(), None);
        Ok(Membership {
            local_id,
            local_record,
            timings,
            table,
            dissemination: Dissemination::default(),
            rng,
            prober,
            reconciler,
            commands: Vec::new(),
            wake_at: now,
            has_left: false,
            duplicate: None,
        })
    }

    /// Handles an event and returns the resulting commands.
    pub fn handle(&mut self, now: Time, event: Event<'_>) -> Vec<Command> {
        let is_tick = matches!(event, Event::Tick);
        if !self.has_left {
            self.detect_pause(now);
        }
        match event {
            Event::Datagram { from, bytes } => self.handle_bytes(now, from, bytes),
            Event::Tick if self.has_left => {}
            Event::Tick => self.tick(now),
            Event::Leave => self.leave(),
            Event::SeedsChanged(seeds) => {
                self.reconciler.set_seeds(now, seeds, self.local_record.member.gossip_address);
            }
        }
        if !self.has_left {
            self.schedule_wake_up(is_tick);
        }
        std::mem::take(&mut self.commands)
    }

    /// All known members with their status, the local one included.
    pub fn members(&self) -> impl Iterator<Item = (&Member, Status)> {
        self.table.records().map(|record| (&record.member, record.status))
    }

    /// The number of members that are alive or suspect, the local one included.
    pub fn live_count(&self) -> usize {
        self.table.live_count()
    }

    /// The number of updates still being disseminated.
    pub fn pending_updates(&self) -> usize {
        self.dissemination.iter().count()
    }

    fn tick(&mut self, now: Time) {
        self.request_indirect_probes_if_due(now);
        if self.is_probe_due(now) {
            self.suspect_unresponsive_target(now);
            self.expire(now);
            self.start_probe(now);
            self.send_gossip();
            self.sync_if_due(now);
        }
        self.contact_unreachable_if_due(now);
    }

    /// Resets probes and extends suspicions after a pause of this process (suspended, or without CPU time). It received
    /// nothing during the pause, so missing replies are no evidence against other members.
    fn detect_pause(&mut self, now: Time) {
        let delay = now.since(self.wake_at);
        if delay <= self.timings.probe_interval {
            return;
        }
        self.table.extend_suspicions(delay);
        self.prober.handle_pause(now);
        self.wake_at = now;
    }

    fn schedule_wake_up(&mut self, is_unconditional: bool) {
        let next = self.next_probe_event_at().min(self.next_contact_at());
        if is_unconditional || next != self.wake_at {
            self.wake_at = next;
            self.commands.push(Command::WakeAt(next));
        }
    }

    fn leave(&mut self) {
        if self.has_left {
            return;
        }
        self.has_left = true;
        self.local_record.status = Status::Left;
        self.table.insert(self.local_record.clone(), None);
        for record in self.pick_random_live(LEAVE_FANOUT, None) {
            self.send(record.member.gossip_address, &Message::Gossip, Vec::new());
        }
    }
}
