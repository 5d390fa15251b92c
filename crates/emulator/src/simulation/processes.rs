//! Starts the processes of keepers and relays.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use juniperwing_node::clock;
use juniperwing_node::keeper::run_with;
use juniperwing_node::settings::{Port, Settings};
use juniperwing_node::sync::watch;
use slog::{Discard, Logger, o};

use super::{Simulation, address, millis};
use crate::history::Event;
use crate::host::SimulatedHost;
use crate::log::history_logger;
use crate::machine::Machine;
use crate::relay;

/// The port of a keeper's control listener.
const CONTROL_PORT: u16 = 8_144;
/// The first of the ephemeral ports of keepers and relays.
const FIRST_PORT: u16 = 7_380;
/// Keepers that start this early bootstrap the tier, in milliseconds.
const BOOTSTRAP_PERIOD_MS: u64 = 1_000;

/// A keeper and its machine.
pub(super) struct Keeper {
    pub(super) machine: Machine,
    number: usize,
    /// Sends changed settings to the running process.
    settings: Option<watch::Sender<Settings>>,
    /// Whether the process was asked to shut down.
    pub(super) is_stopping: bool,
    /// The earliest restart of a process that was asked to shut down, in milliseconds.
    pub(super) restart_not_before_ms: u64,
}

impl Keeper {
    pub(super) fn new(host: Arc<SimulatedHost>, number: usize) -> Keeper {
        Keeper {
            machine: Machine::new(host),
            number,
            settings: None,
            is_stopping: false,
            restart_not_before_ms: 0,
        }
    }

    /// Reloads the settings of the running process.
    pub(super) fn reload(&self, seeds: &[usize], tolerated_failures: usize) {
        if let Some(sender) = &self.settings {
            sender.send_replace(settings(self.number, seeds, tolerated_failures, false));
        }
    }
}

/// The address at which a keeper receives orders and heartbeats.
pub(super) fn control_address(number: usize) -> SocketAddr {
    SocketAddr::new(address(0, number), CONTROL_PORT)
}

fn settings(number: usize, seeds: &[usize], tolerated_failures: usize, bootstrap: bool) -> Settings {
    let mut listed = String::new();
    for seed in seeds.iter().take(3) {
        // Writing to a string does not fail.
        let _ = write!(listed, "\"{}\",", control_address(*seed));
    }
    let machine = address(0, number);
    let text = format!(
        "nodeName = \"core-{number}\"\nipAddress = \"{machine}\"\nzone = \"a\"\n\
         ephemeralPorts = [{FIRST_PORT},{last}]\nseedNodes = [{listed}]\nbootstrap = {bootstrap}\n\
         dataDirectory = \"/data\"\nheartbeatMs = 1200\n\
         [listenersMap]\ncontrolPlane = \"{control}\"\n[faultTolerance]\nmachines = {tolerated_failures}\n",
        last = FIRST_PORT + 15,
        control = control_address(number),
    );
    Settings::parse(Path::new("simulated.toml"), &text).expect("settings of a simulated keeper are valid")
}

impl Simulation {
    /// The number of machines that may fail at once.
    pub(super) fn tolerated_failures(&self) -> usize {
        (self.scenario.keepers - 1) / 2
    }

    pub(super) fn start_keeper(&mut self, number: usize) {
        let bootstrap = millis(self.now) < BOOTSTRAP_PERIOD_MS;
        let seeds = self.seeds.borrow().clone();
        let settings = settings(number, &seeds, self.tolerated_failures(), bootstrap);
        let log = self.logger(&format!("core-{number}"));
        let history = self.history.clone();
        let Some(keeper) = self.keepers.get_mut(&number) else { return };
        if keeper.machine.is_running() {
            return;
        }
        let (sender, changes) = watch::channel(settings.clone());
        keeper.settings = Some(sender);
        keeper.is_stopping = false;
        let now = self.now;
        self.history.record(now, Event::KeeperStarted { keeper: number });
        keeper.machine.start(now, |stopped| async move {
            let stop = async { drop(stopped.await) };
            if let Err(error) = run_with(settings, changes, log, stop).await {
                let event = Event::Log(format!("core-{number} failed: {error}"));
                history.record(clock::now(), event);
            }
        });
    }

    pub(super) fn start_relay(&mut self, number: usize) {
        let address = SocketAddr::new(address(1, number), FIRST_PORT + Port::Relay as u16);
        let (history, seeds) = (self.history.clone(), self.relay_seeds.subscribe());
        let now = self.now;
        if let Some(machine) = self.relays.get_mut(&number).filter(|machine| !machine.is_running()) {
            machine.start(now, |_| relay::run(number, address, seeds, history));
        }
    }

    /// The addresses at which keepers listen for relays.
    pub(super) fn keeper_addresses(members: &[usize]) -> Vec<SocketAddr> {
        let port = FIRST_PORT + Port::Keeper as u16;
        members.iter().take(3).map(|number| SocketAddr::new(address(0, *number), port)).collect()
    }

    fn logger(&self, name: &str) -> Logger {
        if self.with_logs { history_logger(&self.history, name) } else { Logger::root(Discard, o!()) }
    }
}
