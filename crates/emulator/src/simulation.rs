//! The simulation loop: runs all machines step by step and applies the faults of a scenario at their times.

mod faults;
mod processes;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_node::sync::watch;
use juniperwing_random::Rng;

use self::processes::Keeper;
use crate::clock::SimulationTime;
use crate::history::{Event, History, RecordedEvent};
use crate::host::SimulatedHost;
use crate::machine::Machine;
use crate::network::{MIN_DELAY, Network};
use crate::scenario::{READ_ONLY_TAIL_MS, Scenario};
use crate::stability::millis;
use crate::{endpoints, operators};

/// The number of relays.
pub const RELAY_COUNT: usize = 2;
/// The number of endpoints.
const ENDPOINT_COUNT: u64 = 5;
/// The number of operators.
const OPERATOR_COUNT: u64 = 3;
/// The minimum delay before a process that exited is started again, in milliseconds.
const RESTART_DELAY_MS: u64 = 500;

/// A scheduled action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// Begins the fault with this index.
    BeginFault(usize),
    /// Ends the fault with this index.
    EndFault(usize),
    /// Starts a keeper's process unless it runs.
    StartKeeper(usize),
    /// Kills a keeper that has not shut down within its grace period.
    KillKeeper(usize),
    /// Starts a relay's process.
    StartRelay(usize),
    /// Publishes the present addresses of keepers to all processes.
    PublishSeeds,
}

/// The state of a simulation.
struct Simulation {
    scenario: Scenario,
    now: Time,
    simulation_time: SimulationTime,
    network: Arc<Network>,
    history: History,
    with_logs: bool,
    /// Keepers by number; those that were replaced are removed.
    keepers: BTreeMap<usize, Keeper>,
    relays: BTreeMap<usize, Machine>,
    operators: Machine,
    endpoints: Machine,
    /// The numbers of the present keepers.
    members: Vec<usize>,
    seeds: watch::Sender<Vec<usize>>,
    relay_seeds: watch::Sender<Vec<SocketAddr>>,
    control: watch::Sender<Vec<SocketAddr>>,
    /// By time in milliseconds, then by order of scheduling.
    scheduled_actions: BTreeMap<(u64, u64), Action>,
    action_count: u64,
    /// The directions blocked by each fault that is a partition, by its index.
    partitions: BTreeMap<usize, Vec<(IpAddr, IpAddr)>>,
    rng: Rng,
}

/// Runs a scenario and returns its history. `with_logs` adds the log lines of the keepers.
pub fn run(scenario: &Scenario, with_logs: bool) -> Vec<RecordedEvent> {
    let mut simulation = Simulation::new(scenario.clone(), with_logs);
    simulation.start();
    while millis(simulation.now) < simulation.scenario.duration_ms {
        simulation.step();
    }
    let history = simulation.history.clone();
    drop(simulation);
    history.take()
}

/// A time in milliseconds from the start of the scenario.
fn time(millis: u64) -> Time {
    Time::from_nanos(millis * 1_000_000)
}

/// The address of a machine; groups: 0 keepers, 1 relays, 2 operators, 3 endpoints.
fn address(group: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, group, number as u8))
}

impl Simulation {
    fn new(scenario: Scenario, with_logs: bool) -> Simulation {
        let simulation_time = SimulationTime::default();
        simulation_time.set(time(1));
        let network = Arc::new(Network::new(Rng::for_purpose(scenario.seed, 1)));
        let host = |group: u8, number: usize| {
            let purpose = u64::from(group) * 1_000 + number as u64 + 10_000;
            let (network, simulation_time) = (Arc::clone(&network), simulation_time.clone());
            SimulatedHost::new(address(group, number), network, simulation_time, scenario.seed, purpose)
        };
        let members: Vec<usize> = (1..=scenario.keepers).collect();
        Simulation {
            now: time(1),
            history: History::default(),
            with_logs,
            keepers: members.iter().map(|number| (*number, Keeper::new(host(0, *number), *number))).collect(),
            relays: (1..=RELAY_COUNT).map(|number| (number, Machine::new(host(1, number)))).collect(),
            operators: Machine::new(host(2, 1)),
            endpoints: Machine::new(host(3, 1)),
            seeds: watch::channel(members.clone()).0,
            relay_seeds: watch::channel(Simulation::keeper_addresses(&members)).0,
            control: watch::channel(
                members.iter().map(|number| processes::control_address(*number)).collect(),
            )
            .0,
            members,
            scheduled_actions: BTreeMap::new(),
            action_count: 0,
            partitions: BTreeMap::new(),
            rng: Rng::for_purpose(scenario.seed, 2),
            simulation_time,
            network,
            scenario,
        }
    }

    /// Schedules an action at a time in milliseconds.
    fn schedule(&mut self, at_ms: u64, action: Action) {
        self.action_count += 1;
        self.scheduled_actions.insert((at_ms, self.action_count), action);
    }

    fn start(&mut self) {
        for number in self.members.clone() {
            let at_ms = 1 + self.rng.below(300);
            self.schedule(at_ms, Action::StartKeeper(number));
        }
        for relay in 1..=RELAY_COUNT {
            self.schedule(400 + relay as u64, Action::StartRelay(relay));
        }
        for index in 0..self.scenario.faults.len() {
            let fault = self.scenario.faults[index];
            self.schedule(fault.start_ms, Action::BeginFault(index));
            self.schedule(fault.end_ms(), Action::EndFault(index));
        }
        let (seed, read_only_from) =
            (self.scenario.seed, time(self.scenario.duration_ms - READ_ONLY_TAIL_MS));
        let (control, history) = (self.control.subscribe(), self.history.clone());
        self.operators
            .start(self.now, |_| operators::run(control, history, seed, OPERATOR_COUNT, read_only_from));
        let (control, history) = (self.control.subscribe(), self.history.clone());
        self.endpoints.start(self.now, |_| endpoints::run(control, history, seed, ENDPOINT_COUNT));
    }

    /// Runs all machines for the minimum latency of a message.
    fn step(&mut self) {
        while let Some(((at_ms, count), action)) =
            self.scheduled_actions.first_key_value().map(|(key, value)| (*key, *value))
            && at_ms <= millis(self.now)
        {
            self.scheduled_actions.remove(&(at_ms, count));
            self.perform(action);
        }
        let until = self.now + MIN_DELAY;
        let mut exited = Vec::new();
        for (number, keeper) in &mut self.keepers {
            if keeper.machine.run(until) {
                exited.push(*number);
            }
        }
        for relay in self.relays.values_mut() {
            relay.run(until);
        }
        self.operators.run(until);
        self.endpoints.run(until);
        self.now = until;
        self.simulation_time.set(until);
        for number in exited {
            self.handle_keeper_exit(number);
        }
    }

    fn record_log(&self, text: String) {
        self.history.record(self.now, Event::Log(text));
    }

    fn handle_keeper_exit(&mut self, number: usize) {
        let Some(keeper) = self.keepers.get_mut(&number) else { return };
        let earliest_restart_ms = millis(self.now) + RESTART_DELAY_MS;
        if keeper.is_stopping {
            // The shutdown may have taken longer than the fault.
            let restart_ms = keeper.restart_not_before_ms.max(earliest_restart_ms);
            self.history.record(self.now, Event::KeeperStopped { keeper: number });
            self.schedule(restart_ms, Action::StartKeeper(number));
        } else {
            self.history.record(self.now, Event::KeeperExited { keeper: number });
            self.schedule(earliest_restart_ms, Action::StartKeeper(number));
        }
    }
}
