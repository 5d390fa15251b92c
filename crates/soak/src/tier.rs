//! A tier of real processes: starts, supervises and ends them, as the platform that runs a tier does.

pub mod directories;
mod node;
mod partition;
mod process_control;

use std::io;
use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::role::Role;
use juniperwing_node::sync::lock;
use rustix::process::Signal;
use tokio::time::sleep;

use self::directories::PlayDirectories;
use self::node::Node;
use self::partition::DirectedLink;
use crate::faults::Machine;
use crate::faulty_host::FaultRules;
use crate::history::History;
use crate::network::Network;
use crate::schedule::{KEEPER_COUNT, RELAY_COUNT, STORE_COUNT};

pub use self::partition::Partition;
pub use self::process_control::DelayedSignal;

/// Delay before a process that has exited is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the time until the exit of a process is detected.
pub const EXIT_DETECTION_DELAY: Duration = Duration::from_secs(1);
/// How often the processes are checked for their exit.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A tier of processes.
#[derive(Debug)]
pub struct Tier {
    network: Network,
    directories: PlayDirectories,
    program: PathBuf,
    nodes: Vec<Node>,
    /// Blocked links. A link that several partitions block is contained once for each of them.
    blocked_links: Mutex<Vec<DirectedLink>>,
    is_ending: AtomicBool,
    history: Arc<History>,
}

impl Tier {
    /// A tier that is not started yet. Its files are written to `folder`, and its processes run `program`.
    pub fn new(network: Network, folder: PathBuf, program: PathBuf, history: Arc<History>) -> Tier {
        let nodes_of = |role, count| (0..count).map(move |number| Node::new(Machine { role, number }));
        let keepers = nodes_of(Role::Keeper, KEEPER_COUNT);
        let nodes =
            keepers.chain(nodes_of(Role::Store, STORE_COUNT)).chain(nodes_of(Role::Relay, RELAY_COUNT));
        Tier {
            network,
            directories: PlayDirectories::new(folder),
            program,
            nodes: nodes.collect(),
            blocked_links: Mutex::default(),
            is_ending: AtomicBool::new(false),
            history,
        }
    }

    /// All machines.
    pub fn machines(&self) -> Vec<Machine> {
        self.nodes.iter().map(|node| node.machine).collect()
    }

    /// The address of a machine.
    pub fn address(&self, machine: Machine) -> IpAddr {
        self.network.machine(machine.role, machine.number)
    }

    /// The incarnation of a machine's process, which is 1 after the first start.
    pub fn incarnation(&self, machine: Machine) -> u64 {
        self.node(machine).incarnation.load(Ordering::Relaxed)
    }

    /// Starts all processes for the first time.
    ///
    /// # Errors
    ///
    /// If directories or processes cannot be created.
    pub async fn start_all(&self) -> io::Result<()> {
        self.directories.create_all()?;
        for node in &self.nodes {
            node.is_bootstrap_member.store(true, Ordering::Relaxed);
            self.write_rules(node)?;
            let mut child = node.control.lock().await;
            self.start(node, &mut child)?;
        }
        Ok(())
    }

    /// Restarts processes that exit by themselves, until the tier is ended. An exit that no fault explains is a
    /// finding.
    pub async fn supervise(&self) {
        while !self.is_ending.load(Ordering::Relaxed) {
            for node in &self.nodes {
                // While a fault holds the lock, it is the fault that restarts the process.
                let Ok(mut child) = node.control.try_lock() else { continue };
                let Some(status) = child.as_mut().and_then(|child| child.try_wait().ok().flatten()) else {
                    continue;
                };
                if !node.is_exit_expected.load(Ordering::Relaxed) && !node.may_exit_by_itself() {
                    let incarnation = node.incarnation.load(Ordering::Relaxed);
                    let details = format!("{} exited with {status}, incarnation {incarnation}", node.machine);
                    self.history.record_finding("a process ends by itself", details);
                }
                sleep(RESTART_DELAY).await;
                self.start_or_record(node, &mut child);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Changes the fault rules of a machine.
    pub fn change_rules(&self, machine: Machine, change: impl FnOnce(&mut FaultRules)) {
        let node = self.node(machine);
        change(&mut lock(&node.rules));
        // A write error becomes visible in the play: the fault does not begin or does not end.
        let _ = self.write_rules(node);
    }

    /// Allows a process to exit by itself until [`Tier::forbid_exit`] is called. Calls may nest.
    pub fn allow_exit(&self, machine: Machine) {
        self.node(machine).exit_allowances.fetch_add(1, Ordering::Relaxed);
    }

    /// Reverts one call of [`Tier::allow_exit`].
    pub fn forbid_exit(&self, machine: Machine) {
        self.node(machine).exit_allowances.fetch_sub(1, Ordering::Relaxed);
    }

    /// Kills all processes and waits for their exit.
    pub async fn end(&self) {
        self.is_ending.store(true, Ordering::Relaxed);
        for node in &self.nodes {
            node.is_exit_expected.store(true, Ordering::Relaxed);
            node.send_signal(Signal::CONT);
            node.send_signal(Signal::KILL);
        }
        for node in &self.nodes {
            let mut child = node.control.lock().await;
            node.kill_and_wait(&mut child).await;
        }
    }

    /// The files of the play.
    pub fn directories(&self) -> &PlayDirectories {
        &self.directories
    }

    fn write_rules(&self, node: &Node) -> io::Result<()> {
        lock(&node.rules).write(&self.directories.rules(node.machine))
    }

    fn node(&self, machine: Machine) -> &Node {
        let found = self.nodes.iter().find(|node| node.machine == machine);
        found.expect("every machine of a schedule is one of the tier")
    }
}
