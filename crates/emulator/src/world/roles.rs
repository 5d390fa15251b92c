//! Starts the processes of a day.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use juniperwing_node::keeper::run_with;
use juniperwing_node::settings::{Port, Settings};
use slog::{Discard, Logger, o};
use tokio::sync::watch;

use super::{World, address};
use crate::host::SimulatedHost;
use crate::log::logger;
use crate::machine::Machine;
use crate::relay;

const CONTROL_PORT: u16 = 8_144;
const FIRST_PORT: u16 = 7_380;
/// Only processes that start this early are of the very first start, in milliseconds.
const FIRST_START_MS: u64 = 1_000;

/// A keeper's machine.
pub(super) struct Keeper {
    pub(super) machine: Machine,
    number: usize,
    /// Settings as they change, for the process that runs.
    settings: Option<watch::Sender<Settings>>,
    /// The process was told to end.
    pub(super) is_stopping: bool,
    /// When a process that was told to end is to be started again at the soonest, in milliseconds.
    pub(super) back_at_ms: u64,
}

impl Keeper {
    pub(super) fn new(host: Arc<SimulatedHost>, number: usize) -> Keeper {
        Keeper { machine: Machine::new(host), number, settings: None, is_stopping: false, back_at_ms: 0 }
    }

    pub(super) fn reload(&self, seeds: &[usize], tolerated: usize) {
        if let Some(sender) = &self.settings {
            sender.send_replace(settings(self.number, seeds, tolerated, false));
        }
    }
}

/// Where a keeper takes orders and heartbeats.
pub(super) fn control(number: usize) -> SocketAddr {
    SocketAddr::new(address(0, number), CONTROL_PORT)
}

fn settings(number: usize, seeds: &[usize], tolerated: usize, bootstrap: bool) -> Settings {
    let mut listed = String::new();
    for seed in seeds.iter().take(3) {
        // Writing to a string does not fail.
        let _ = write!(listed, "\"{}\",", control(*seed));
    }
    let machine = address(0, number);
    let text = format!(
        "nodeName = \"core-{number}\"\nipAddress = \"{machine}\"\nzone = \"a\"\n\
         ephemeralPorts = [{FIRST_PORT},{last}]\nseedNodes = [{listed}]\nbootstrap = {bootstrap}\n\
         dataDirectory = \"/data\"\nheartbeatMs = 1200\n\
         [listenersMap]\ncontrolPlane = \"{control}\"\n[faultTolerance]\nmachines = {tolerated}\n",
        last = FIRST_PORT + 15,
        control = control(number),
    );
    Settings::parse(Path::new("simulated.toml"), &text).expect("settings of a simulated keeper are valid")
}

impl World {
    pub(super) fn tolerated(&self) -> usize {
        (self.day.keepers - 1) / 2
    }

    pub(super) fn start_keeper(&mut self, number: usize) {
        let bootstrap = super::millis(self.now) < FIRST_START_MS;
        let seeds = self.seeds.borrow().clone();
        let settings = settings(number, &seeds, self.tolerated(), bootstrap);
        let log = self.log(&format!("core-{number}"));
        let history = self.history.clone();
        let Some(keeper) = self.keepers.get_mut(&number) else { return };
        if keeper.machine.is_running() {
            return;
        }
        let (sender, changes) = watch::channel(settings.clone());
        keeper.settings = Some(sender);
        keeper.is_stopping = false;
        let now = self.now;
        self.history.add(now, crate::history::Seen::KeeperStarted { keeper: number });
        keeper.machine.start(now, |stopped| async move {
            let stop = async { drop(stopped.await) };
            if let Err(error) = run_with(settings, changes, log, stop).await {
                let note = crate::history::Seen::Note(format!("core-{number} cannot go on: {error}"));
                history.add(juniperwing_node::clock::now(), note);
            }
        });
    }

    pub(super) fn start_relay(&mut self, number: usize) {
        let own = SocketAddr::new(address(1, number), FIRST_PORT + Port::Relay as u16);
        let (history, seeds) = (self.history.clone(), self.relay_seeds.subscribe());
        let now = self.now;
        if let Some(machine) = self.relays.get_mut(&number).filter(|machine| !machine.is_running()) {
            machine.start(now, |_| relay::run(number, own, seeds, history));
        }
    }

    /// Where keepers listen for relays.
    pub(super) fn keeper_addresses(members: &[usize]) -> Vec<SocketAddr> {
        let port = FIRST_PORT + Port::Keeper as u16;
        members.iter().take(3).map(|number| SocketAddr::new(address(0, *number), port)).collect()
    }

    fn log(&self, name: &str) -> Logger {
        if self.with_logs { logger(&self.history, name) } else { Logger::root(Discard, o!()) }
    }
}
