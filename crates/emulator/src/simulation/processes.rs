//! Starts the processes of keepers, stores and relays.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use juniperwing_node::clock;
use juniperwing_node::settings::{InternalPort, Settings};
use juniperwing_node::sync::watch;
use juniperwing_node::{keeper, store};
use slog::{Discard, Logger, o};

use super::{Simulation, millis};
use crate::history::Event;
use crate::host::SimulatedHost;
use crate::log::history_logger;
use crate::machine::Machine;
use crate::relay::{self, RelaySetup};
use crate::scenario::{ProcessId, Role};

/// The port of a keeper's control listener.
const CONTROL_PORT: u16 = 8_144;
/// The first of the ephemeral ports of each process of the tier.
const FIRST_PORT: u16 = 7_380;
/// Keepers that start within this time from the start of the scenario bootstrap the tier, in milliseconds.
const BOOTSTRAP_PERIOD_MS: u64 = 1_000;

/// A process of the tier that has a disk (a keeper or a store), and its machine.
pub(super) struct TierProcess {
    pub(super) machine: Machine,
    /// Sends changed settings to the running process, if it is a keeper.
    settings: Option<watch::Sender<Settings>>,
    /// Whether the process was asked to shut down.
    pub(super) is_stopping: bool,
    /// The earliest restart of a process that was asked to shut down, in milliseconds.
    pub(super) restart_not_before_ms: u64,
}

impl TierProcess {
    pub(super) fn new(host: Arc<SimulatedHost>) -> TierProcess {
        TierProcess {
            machine: Machine::new(host),
            settings: None,
            is_stopping: false,
            restart_not_before_ms: 0,
        }
    }
}

/// The address of a process.
pub(super) fn address(process: ProcessId) -> IpAddr {
    let group = match process.role {
        Role::Keeper => 0,
        Role::Relay => 1,
        Role::Store => 4,
    };
    group_address(group, process.number)
}

/// The address of the machine with the operators.
pub(super) fn operators_address() -> IpAddr {
    group_address(2, 1)
}

/// The address of the machine with the endpoints.
pub(super) fn endpoints_address() -> IpAddr {
    group_address(3, 1)
}

fn group_address(group: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, group, number as u8))
}

/// The address at which a keeper receives orders and heartbeats.
pub(super) fn control_address(number: usize) -> SocketAddr {
    SocketAddr::new(address(ProcessId::keeper(number)), CONTROL_PORT)
}

/// The addresses at which keepers receive orders and heartbeats.
pub(super) fn control_addresses(keepers: &[usize]) -> Vec<SocketAddr> {
    keepers.iter().map(|number| control_address(*number)).collect()
}

/// The addresses at which keepers listen for relays.
pub(super) fn keeper_addresses(keepers: &[usize]) -> Vec<SocketAddr> {
    let port = FIRST_PORT + InternalPort::Keeper as u16;
    keepers.iter().take(3).map(|number| SocketAddr::new(address(ProcessId::keeper(*number)), port)).collect()
}

fn settings(process: ProcessId, seeds: &[usize], tolerated_failures: usize, bootstrap: bool) -> Settings {
    let mut seed_nodes = String::new();
    for seed in seeds.iter().take(3) {
        // Writing to a string does not fail.
        let _ = write!(seed_nodes, "\"{}\",", control_address(*seed));
    }
    let machine = address(process);
    let mut text = format!(
        "nodeName = \"{process}\"\nipAddress = \"{machine}\"\nzone = \"a\"\n\
         ephemeralPorts = [{FIRST_PORT},{last}]\nseedNodes = [{seed_nodes}]\nbootstrap = {bootstrap}\n\
         dataDirectory = \"/data\"\nheartbeatMs = 1200\n",
        last = FIRST_PORT + 15,
    );
    if process.role == Role::Keeper {
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "[listenersMap]\ncontrolPlane = \"{control}\"\n",
            control = control_address(process.number)
        );
    }
    // Writing to a string does not fail.
    let _ = write!(text, "[faultTolerance]\nmachines = {tolerated_failures}\n");
    Settings::parse(Path::new("simulated.toml"), &text).expect("settings of a simulated process are valid")
}

impl Simulation {
    /// Starts the process of a keeper or a store unless it is running.
    pub(super) fn start_process(&mut self, process: ProcessId) {
        let bootstrap = process.role == Role::Keeper && millis(self.now) < BOOTSTRAP_PERIOD_MS;
        let seeds = self.seeds.borrow().clone();
        let settings = settings(process, &seeds, self.scenario.tolerated_failures(), bootstrap);
        let log = self.logger(process);
        let history = self.history.clone();
        let now = self.now;
        let Some(running) = self.processes.get_mut(&process) else { return };
        if running.machine.is_running() {
            return;
        }
        self.history.record(now, Event::ProcessStarted { process });
        running.is_stopping = false;
        if process.role == Role::Keeper {
            let (sender, changes) = watch::channel(settings.clone());
            running.settings = Some(sender);
            running.machine.start(now, |stopped| async move {
                let stop = async { drop(stopped.await) };
                if let Err(error) = keeper::run_with(settings, changes, log, stop).await {
                    history.record(clock::now(), Event::Log(format!("{process} failed: {error}")));
                }
            });
        } else {
            running.machine.start(now, |stopped| async move {
                let stop = async { drop(stopped.await) };
                if let Err(error) = store::run_until(&settings, log, stop).await {
                    history.record(clock::now(), Event::Log(format!("{process} failed: {error}")));
                }
            });
        }
    }

    /// Starts the process of a relay unless it is running.
    pub(super) fn start_relay(&mut self, number: usize) {
        let address =
            SocketAddr::new(address(ProcessId::relay(number)), FIRST_PORT + InternalPort::Relay as u16);
        let setup = RelaySetup {
            number,
            address,
            seeds: self.relay_seeds.subscribe(),
            subscriptions: self.scenario.tolerated_failures() + 1,
            history: self.history.clone(),
            programs: (self.scenario.stores > 0).then(|| self.programs.clone()),
        };
        let now = self.now;
        if let Some(machine) = self.relays.get_mut(&number).filter(|machine| !machine.is_running()) {
            machine.start(now, |_| relay::run(setup));
        }
    }

    /// Sends settings with the current keepers to the running keepers.
    pub(super) fn reload_keepers(&self) {
        let tolerated_failures = self.scenario.tolerated_failures();
        let keepers = self.processes.iter().filter(|(process, _)| process.role == Role::Keeper);
        for (process, running) in keepers {
            if let Some(sender) = &running.settings {
                sender.send_replace(settings(*process, &self.keepers, tolerated_failures, false));
            }
        }
    }

    fn logger(&self, process: ProcessId) -> Logger {
        if self.with_logs {
            history_logger(&self.history, &process.to_string())
        } else {
            Logger::root(Discard, o!())
        }
    }
}
