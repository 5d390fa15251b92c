//! The simulated tier: its machines, the network between them, and common expectations of the tests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::DiskId;
use juniperwing_random::Rng;
use juniperwing_replication::{Command, Event, Replica, Timings};

use super::consistency_checker::ConsistencyChecker;
use super::event_queue::{EventQueue, ScheduledEvent};
use super::log::Log;
use super::machine::Machine;
use super::network::{NetworkConditions, RELIABLE_NETWORK, address};
use super::random_span;

/// A tier of keepers under load.
pub struct Simulation {
    pub now: Time,
    pub rng: Rng,
    pub machines: Vec<Machine>,
    /// Links that transmit nothing, as pairs of sender and receiver.
    pub blocked_links: BTreeSet<(SocketAddr, SocketAddr)>,
    pub network: NetworkConditions,
    pub checker: ConsistencyChecker,
    /// Additional delay of all messages to and from a machine.
    pub extra_latencies: BTreeMap<usize, Span>,
    /// Whether some writes to disk fail.
    pub has_failing_disks: bool,
    /// Whether some writes to disk are slow.
    pub has_slow_disks: bool,
    /// Machines whose disk completes no write.
    pub(super) stalled_disks: BTreeSet<usize>,
    /// Bytes of changes and states that a link transmits per millisecond; `None` for no limit.
    pub link_bytes_per_ms: Option<u64>,
    /// Bytes of changes and states that have been sent.
    pub bytes_sent: u64,
    /// When each slow link has transmitted everything in its queue.
    pub(super) links_free_at: BTreeMap<(usize, SocketAddr), Time>,
    pub timings: Timings,
    pub(super) min_in_sync_replicas: usize,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) queue: EventQueue,
    pub(super) last_token: u64,
}

impl Simulation {
    /// Creates a tier with `seeds` keepers that bootstrap it and start within 0.3 s in any order.
    pub fn new(seed: u64, seeds: usize, min_in_sync_replicas: usize) -> Simulation {
        let mut simulation = Simulation {
            now: Time::from_nanos(1_000_000_000),
            rng: Rng::new(seed),
            machines: Vec::new(),
            blocked_links: BTreeSet::new(),
            network: RELIABLE_NETWORK,
            checker: ConsistencyChecker::default(),
            extra_latencies: BTreeMap::new(),
            has_failing_disks: false,
            has_slow_disks: false,
            stalled_disks: BTreeSet::new(),
            link_bytes_per_ms: None,
            bytes_sent: 0,
            links_free_at: BTreeMap::new(),
            timings: Timings::default(),
            min_in_sync_replicas,
            seeds: (0..seeds).map(address).collect(),
            queue: EventQueue::default(),
            last_token: 0,
        };
        for index in 0..seeds {
            simulation.add_machine(&format!("core-{index}"), true);
        }
        simulation.schedule_after(Span::from_millis(50), ScheduledEvent::GenerateLoad);
        simulation
    }

    /// The running replica of a machine.
    pub fn replica(&self, machine: usize) -> &Replica<Log> {
        self.machines[machine].replica.as_ref().expect("a running process")
    }

    /// Passes an event to a keeper, if it is running, and executes its commands.
    pub fn handle_event(&mut self, machine: usize, event: Event<Log>) {
        let local_now = self.now - self.machines[machine].clock_lag;
        let Some(replica) = self.machines[machine].replica.as_mut() else { return };
        let commands = replica.handle(local_now, event);
        for command in commands {
            self.execute_command(machine, command);
        }
    }

    fn execute_command(&mut self, machine: usize, command: Command) {
        match command {
            Command::Send { to, message } => self.send_message(machine, to, message),
            Command::Persist { token, record } => self.start_disk_write(machine, token, record),
            Command::WakeAt(local_time) => {
                let Machine { incarnation, clock_lag, .. } = self.machines[machine];
                let time = (local_time + clock_lag).max(self.now);
                self.schedule_at(time, ScheduledEvent::Tick { machine, incarnation });
            }
            Command::Committed(version) => {
                let replica = self.machines[machine].replica.as_ref().expect("a running process");
                let committed = replica.committed().expect("a committed state");
                assert_eq!(committed.version, version);
                self.checker.state_committed(machine, version, &committed.state);
            }
            Command::ProposeCompleted { token, outcome } => self.checker.proposal_completed(token, outcome),
            Command::ReadCompleted { token, outcome } => {
                let committed = self.replica(machine).committed().map(|committed| committed.version);
                self.checker.read_completed(token, outcome, committed);
            }
            Command::RoleChanged(_) => {}
        }
    }

    /// Ends all faults except stalled disks and slow links: no link is blocked, no machine is frozen, and all
    /// machines that are not removed are started.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.network = RELIABLE_NETWORK;
        self.has_failing_disks = false;
        self.has_slow_disks = false;
        for index in 0..self.machines.len() {
            self.thaw(index);
            if self.machines[index].replica.is_none() {
                let delay = random_span(&mut self.rng, 0, 300);
                self.start_after(index, delay);
            }
        }
    }

    /// The machine whose keeper serves as primary; if there are several, the one that knows the highest
    /// epoch.
    pub fn primary(&self) -> Option<usize> {
        let is_primary = |machine: &Machine| machine.replica.as_ref().is_some_and(Replica::is_primary);
        let primaries = (0..self.machines.len()).filter(|index| is_primary(&self.machines[*index]));
        primaries.max_by_key(|index| self.replica(*index).epoch().number)
    }

    /// Whether a primary serves, all machines that are not removed are voters and in sync, and the next loss
    /// of as many machines as must be tolerated leaves a majority. A removed machine may remain a voter if
    /// that makes the number of voters odd.
    pub fn is_fully_replicated(&self) -> bool {
        let Some(primary) = self.primary() else { return false };
        let replica = self.replica(primary);
        let present = self.machines.iter().filter(|machine| !machine.is_removed);
        let mut expected: Vec<DiskId> = present.map(|machine| machine.voter.disk).collect();
        expected.sort_unstable();
        let mut in_sync = replica.epoch().in_sync.clone();
        in_sync.sort_unstable();
        let voters = replica.voters();
        let all_vote = expected.iter().all(|disk| voters.iter().any(|voter| voter.disk == *disk));
        let remaining = expected.len() + 1 - self.min_in_sync_replicas;
        let is_committed = replica.epoch().previous_voters.is_empty();
        is_committed && all_vote && in_sync == expected && 2 * remaining > voters.len()
    }

    /// Describes the state of every keeper, for failure messages.
    pub fn describe(&self) -> String {
        let mut lines = vec![format!("at {} ms", self.now.since(Time::default()).as_millis())];
        let machines = self.machines.iter().enumerate();
        lines.extend(machines.map(|(index, machine)| self.describe_machine(index, machine)));
        lines.join("\n")
    }

    fn describe_machine(&self, index: usize, machine: &Machine) -> String {
        let Some(replica) = &machine.replica else {
            return format!("{index} disk {} down, removed: {}", machine.voter.disk, machine.is_removed);
        };
        let epoch = replica.epoch();
        format!(
            "{index} disk {} {:?} latest {:?} epoch {} of {}, in sync {:?}, voters {:?}, before {:?}",
            machine.voter.disk,
            replica.role(),
            replica.latest().version,
            epoch.number,
            epoch.primary,
            self.machine_indices(epoch.in_sync.iter()),
            self.machine_indices(epoch.voters.iter().map(|voter| &voter.disk)),
            self.machine_indices(epoch.previous_voters.iter().map(|voter| &voter.disk)),
        )
    }

    /// The indices of the machines with those disks; `None` for a lost disk.
    fn machine_indices<'a>(&self, disks: impl Iterator<Item = &'a DiskId>) -> Vec<Option<usize>> {
        let index = |disk: &DiskId| self.machines.iter().position(|machine| machine.voter.disk == *disk);
        disks.map(index).collect()
    }

    /// Runs until a further change is acknowledged; panics if that takes longer than `limit`.
    pub fn expect_progress(&mut self, limit: Span, fault: &str) {
        let before = self.checker.acknowledged_count();
        let has_progress =
            self.run_until(limit, |simulation| simulation.checker.acknowledged_count() > before);
        assert!(has_progress, "no progress after {fault}\n{}", self.describe());
    }

    /// Runs until the tier is fully replicated; panics if that takes longer than `limit`.
    pub fn expect_fully_replicated(&mut self, limit: Span, fault: &str) {
        let is_replicated = self.run_until(limit, Simulation::is_fully_replicated);
        assert!(is_replicated, "not fully replicated after {fault}\n{}", self.describe());
    }
}
