//! The simulation loop: runs all machines step by step and applies the faults of a scenario at their times.

mod faults;
mod processes;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use juniperwing_clock::Time;
use juniperwing_node::sync::watch;
use juniperwing_random::Rng;

use self::processes::{
    TierProcess, address, control_addresses, endpoints_address, keeper_addresses, operators_address,
};
use crate::clock::SimulationTime;
use crate::history::{Event, History, RecordedEvent};
use crate::host::SimulatedHost;
use crate::machine::Machine;
use crate::network::{MIN_DELAY, Network};
use crate::programs::ProgramPool;
use crate::retirements::{self, Retirements};
use crate::scenario::{ProcessId, READ_ONLY_TAIL_MS, RELAY_COUNT, Role, Scenario};
use crate::stability::millis;
use crate::{endpoints, operators};

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
    /// Starts the process of a keeper or a store unless it is running.
    StartProcess(ProcessId),
    /// Kills a process that has not shut down within its grace period.
    KillStopping(ProcessId),
    /// Starts a relay's process.
    StartRelay(usize),
    /// Publishes the current addresses of the keepers to all processes.
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
    /// Keepers and stores, without those that were replaced or retired.
    processes: BTreeMap<ProcessId, TierProcess>,
    relays: BTreeMap<usize, Machine>,
    operators: Machine,
    endpoints: Machine,
    programs: ProgramPool,
    retirements: Retirements,
    /// The processes with a CPU quota, which run only at the beginning of each period.
    throttled: BTreeSet<ProcessId>,
    /// The numbers of the current keepers.
    keepers: Vec<usize>,
    /// The numbers of the current stores.
    stores: Vec<usize>,
    seeds: watch::Sender<Vec<usize>>,
    relay_seeds: watch::Sender<Vec<SocketAddr>>,
    control: watch::Sender<Vec<SocketAddr>>,
    /// The scheduled actions, by time in milliseconds and then in the order in which they were scheduled.
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

impl Simulation {
    fn new(scenario: Scenario, with_logs: bool) -> Simulation {
        let simulation_time = SimulationTime::default();
        simulation_time.set(time(1));
        let network = Arc::new(Network::new(Rng::for_purpose(scenario.seed, 1)));
        let host = |address: IpAddr| {
            let (network, simulation_time) = (Arc::clone(&network), simulation_time.clone());
            SimulatedHost::new(address, network, simulation_time, scenario.seed)
        };
        let history = History::default();
        let keepers: Vec<usize> = (1..=scenario.keepers).collect();
        let stores: Vec<usize> = (1..=scenario.stores).collect();
        let tier_processes = keepers.iter().copied().map(ProcessId::keeper);
        let tier_processes = tier_processes.chain(stores.iter().copied().map(ProcessId::store));
        let relay = |number| (number, Machine::new(host(address(ProcessId::relay(number)))));
        Simulation {
            now: time(1),
            programs: ProgramPool::new(history.clone(), scenario.seed),
            retirements: Retirements::default(),
            throttled: BTreeSet::new(),
            history,
            with_logs,
            processes: tier_processes
                .map(|process| (process, TierProcess::new(host(address(process)))))
                .collect(),
            relays: (1..=RELAY_COUNT).map(relay).collect(),
            operators: Machine::new(host(operators_address())),
            endpoints: Machine::new(host(endpoints_address())),
            seeds: watch::channel(keepers.clone()).0,
            relay_seeds: watch::channel(keeper_addresses(&keepers)).0,
            control: watch::channel(control_addresses(&keepers)).0,
            keepers,
            stores,
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
        let processes: Vec<ProcessId> = self.processes.keys().copied().collect();
        for process in processes {
            let at_ms = 1 + self.rng.below(300);
            self.schedule(at_ms, Action::StartProcess(process));
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
        let retiring =
            retirements::run(self.retirements.clone(), self.control.subscribe(), self.history.clone());
        self.operators.start(self.now, |_| async move {
            tokio::join!(operators::run(control, history, seed, OPERATOR_COUNT, read_only_from), retiring);
        });
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
            self.execute(action);
        }
        self.enforce_quotas();
        let until = self.now + MIN_DELAY;
        let mut exited = Vec::new();
        for (process, running) in &mut self.processes {
            if running.machine.run(until) {
                exited.push(*process);
            }
        }
        for relay in self.relays.values_mut() {
            relay.run(until);
        }
        self.operators.run(until);
        self.endpoints.run(until);
        self.now = until;
        self.simulation_time.set(until);
        self.remove_retired();
        for process in exited {
            self.handle_exit(process);
        }
    }

    /// The numbers of the current keepers or stores.
    fn members(&mut self, role: Role) -> &mut Vec<usize> {
        if role == Role::Store { &mut self.stores } else { &mut self.keepers }
    }

    fn record_log(&self, text: String) {
        self.history.record(self.now, Event::Log(text));
    }

    fn handle_exit(&mut self, process: ProcessId) {
        let Some(exited) = self.processes.get_mut(&process) else { return };
        let earliest_restart_ms = millis(self.now) + RESTART_DELAY_MS;
        if exited.is_stopping {
            // The shutdown may have taken longer than the fault.
            let restart_ms = exited.restart_not_before_ms.max(earliest_restart_ms);
            self.history.record(self.now, Event::ProcessStopped { process });
            self.schedule(restart_ms, Action::StartProcess(process));
        } else {
            self.history.record(self.now, Event::ProcessExited { process });
            self.schedule(earliest_restart_ms, Action::StartProcess(process));
        }
    }
}
