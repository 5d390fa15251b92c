//! The processes of a tier: started, signalled, partitioned, and restarted as the platform would.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::IpAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::role::Role;
use juniperwing_node::sync::lock;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, ChildStdin, Command};
use tokio::time::{Instant, sleep, timeout};

use crate::faults::{Direction, Machine, SettingsFile};
use crate::faulty_host::FaultRules;
use crate::history::History;
use crate::network::Network;
use crate::node_settings::{GRACE_PERIOD, NodeSettings};
use crate::schedule::{KEEPER_COUNT, RELAY_COUNT, STORE_COUNT};

/// How much later than that the platform kills.
const GRACE_PERIOD_SLACK: Duration = Duration::from_millis(700);
/// Before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);
/// The number of the signal by which the soak ends processes.
const SIGKILL: i32 = 9;
/// A process that has ended by itself is found a moment later.
pub const EXIT_DETECTION_DELAY: Duration = Duration::from_secs(1);
/// How often processes are looked after.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One machine of the tier with its process.
#[derive(Debug)]
struct Node {
    machine: Machine,
    /// Held by whoever ends or starts the process.
    control: tokio::sync::Mutex<Option<Child>>,
    pid: Mutex<Option<Pid>>,
    /// The process ends when this is closed, also if the soak is killed.
    stdin: Mutex<Option<ChildStdin>>,
    incarnation: AtomicU64,
    log: Mutex<PathBuf>,
    /// Whether its end was brought about by the soak.
    is_exit_expected: AtomicBool,
    /// Number of active faults that may make the process exit by itself, such as a failing disk or a broken settings file.
    exit_allowances: AtomicUsize,
    /// Whether it belongs to the first start of the tier.
    is_bootstrap_member: AtomicBool,
    rules: Mutex<FaultRules>,
}

/// One direction between two machines in which nothing passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DirectedLink {
    from: IpAddr,
    to: IpAddr,
}

/// A tier of processes.
#[derive(Debug)]
pub struct Tier {
    network: Network,
    folder: PathBuf,
    program: PathBuf,
    nodes: Vec<Node>,
    cut_links: Mutex<Vec<DirectedLink>>,
    ending: AtomicBool,
    history: Arc<History>,
}

impl Tier {
    /// A tier that is not started yet. Its files go into `folder`, its processes run `program`.
    pub fn new(network: Network, folder: PathBuf, program: PathBuf, history: Arc<History>) -> Tier {
        let of = |role, count| (0..count).map(move |number| Node::new(Machine { role, number }));
        let nodes = of(Role::Keeper, KEEPER_COUNT)
            .chain(of(Role::Store, STORE_COUNT))
            .chain(of(Role::Relay, RELAY_COUNT));
        Tier {
            network,
            folder,
            program,
            nodes: nodes.collect(),
            cut_links: Mutex::default(),
            ending: AtomicBool::new(false),
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

    /// Which start of its process a machine is at.
    pub fn incarnation(&self, machine: Machine) -> u64 {
        self.node(machine).incarnation.load(Ordering::Relaxed)
    }

    /// Starts all processes for the first time.
    ///
    /// # Errors
    ///
    /// If folders or processes cannot be made.
    pub async fn start_all(&self) -> io::Result<()> {
        for part in ["settings", "rules", "logs", "data"] {
            fs::create_dir_all(self.folder.join(part))?;
        }
        for node in &self.nodes {
            node.is_bootstrap_member.store(true, Ordering::Relaxed);
            self.write_rules(node)?;
            let mut child = node.control.lock().await;
            self.start(node, &mut child)?;
        }
        Ok(())
    }

    /// Starts again what ends by itself, until the tier is ended.
    pub async fn supervise(&self) {
        while !self.ending.load(Ordering::Relaxed) {
            for node in &self.nodes {
                // Whoever holds it looks after it.
                let Ok(mut child) = node.control.try_lock() else { continue };
                let Some(status) = child.as_mut().and_then(|child| child.try_wait().ok().flatten()) else {
                    continue;
                };
                if !node.is_exit_expected.load(Ordering::Relaxed) && !node.may_exit_unexpectedly() {
                    let incarnation = node.incarnation.load(Ordering::Relaxed);
                    let details =
                        format!("{} ended by itself with {status}, start {incarnation}", node.machine);
                    self.history.record_finding("a process ends by itself", details);
                }
                sleep(RESTART_DELAY).await;
                self.start_or_record(node, &mut child);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills a process and starts it again after a while; with an empty folder if its disk is lost.
    pub async fn kill(&self, machine: Machine, downtime: Duration, wiped: bool) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        end(node, &mut child).await;
        if wiped {
            node.is_bootstrap_member.store(false, Ordering::Relaxed);
            // A folder that was never made is as empty.
            let _ = fs::remove_dir_all(self.data(machine));
        }
        sleep(downtime).await;
        self.start_or_record(node, &mut child);
    }

    /// Kills many processes at the same moment; they are back after a while.
    pub async fn kill_all(&self, includes_relays: bool, downtime: Duration, wiped: Option<Machine>) {
        let nodes: Vec<&Node> =
            self.nodes.iter().filter(|node| includes_relays || node.machine.is_stateful()).collect();
        for node in &nodes {
            node.is_exit_expected.store(true, Ordering::Relaxed);
            node.signal(Signal::KILL);
        }
        // Held until all are back, so that nobody starts one of them meanwhile.
        let mut children = Vec::new();
        for node in &nodes {
            let mut child = node.control.lock().await;
            end(node, &mut child).await;
            children.push(child);
        }
        if let Some(machine) = wiped {
            self.node(machine).is_bootstrap_member.store(false, Ordering::Relaxed);
            let _ = fs::remove_dir_all(self.data(machine));
        }
        sleep(downtime).await;
        for (node, mut child) in nodes.into_iter().zip(children) {
            self.start_or_record(node, &mut child);
        }
    }

    /// Kills a process and then kills it several times more while it starts.
    pub async fn kill_during_start(&self, machine: Machine, pauses: &[Duration]) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        end(node, &mut child).await;
        for pause in pauses {
            self.start_or_record(node, &mut child);
            sleep(*pause).await;
            end(node, &mut child).await;
        }
        self.start_or_record(node, &mut child);
    }

    /// Has a process stand still for a while.
    pub async fn freeze(&self, machine: Machine, time: Duration) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        node.signal(Signal::STOP);
        let until = Instant::now() + time;
        // Faults that strike many kill without waiting for this one.
        let runs = |child: &mut Option<Child>| {
            child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        };
        while Instant::now() < until && runs(&mut child) {
            sleep(POLL_INTERVAL.min(until - Instant::now())).await;
        }
        node.signal(Signal::CONT);
    }

    /// SIGTERM, further signals at the given times behind it, and a start once the process has ended.
    pub async fn stop(&self, machine: Machine, signals: &[(Duration, Signal)]) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        self.stop_locked(node, &mut child, signals).await;
        self.start_or_record(node, &mut child);
    }

    /// Kills a process, starts it, and sends SIGTERM a moment later.
    pub async fn stop_during_start(&self, machine: Machine, pause: Duration) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        end(node, &mut child).await;
        self.start_or_record(node, &mut child);
        sleep(pause).await;
        // Before it catches signals, SIGTERM ends it as it ends any program.
        node.is_exit_expected.store(true, Ordering::Relaxed);
        self.stop_locked(node, &mut child, &[]).await;
        self.start_or_record(node, &mut child);
    }

    async fn stop_locked(&self, node: &Node, child: &mut Option<Child>, signals: &[(Duration, Signal)]) {
        let caught_signals = node.catches_signals();
        node.is_exit_expected.store(true, Ordering::Relaxed);
        let began = Instant::now();
        node.signal(Signal::TERM);
        for (at, signal) in signals {
            sleep(at.saturating_sub(began.elapsed())).await;
            node.signal(*signal);
        }
        let Some(process) = child.as_mut() else { return };
        let left = (GRACE_PERIOD + GRACE_PERIOD_SLACK).saturating_sub(began.elapsed());
        match timeout(left, process.wait()).await {
            Err(_) => {
                let took = began.elapsed().as_millis();
                self.history.record_finding(
                    "an end within the grace",
                    format!("{} runs {took} ms after SIGTERM", node.machine),
                );
            }
            // Faults that strike many kill without waiting for others.
            Ok(Ok(status)) if caught_signals && !status.success() && status.signal() != Some(SIGKILL) => {
                self.history.record_finding(
                    "an end in order",
                    format!("{} ends with {status} after SIGTERM", node.machine),
                );
            }
            Ok(_) => {}
        }
        end(node, child).await;
    }

    /// SIGHUP with another settings file; the right one is back after a while, without a signal.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub async fn reload(&self, machine: Machine, file: SettingsFile, time: Duration) -> io::Result<()> {
        let path = self.settings_path(machine);
        let node = self.node(machine);
        // One that starts just now may read it.
        self.allow_exit(machine);
        fs::write(&path, self.settings(node, Some(file)))?;
        if node.catches_signals() {
            node.signal(Signal::HUP);
        }
        sleep(time).await;
        let restored = fs::write(&path, self.settings(self.node(machine), None));
        sleep(EXIT_DETECTION_DELAY).await;
        self.forbid_exit(machine);
        restored
    }

    /// Changes the rules of a machine.
    pub fn change_rules(&self, machine: Machine, change: impl FnOnce(&mut FaultRules)) {
        let node = self.node(machine);
        change(&mut lock(&node.rules));
        // A file that cannot be written shows in the play: the fault does not come or does not end.
        let _ = self.write_rules(node);
    }

    /// A process may end by itself until [`Tier::forbid_exit`].
    pub fn allow_exit(&self, machine: Machine) {
        self.node(machine).exit_allowances.fetch_add(1, Ordering::Relaxed);
    }

    /// What was excused is over.
    pub fn forbid_exit(&self, machine: Machine) {
        self.node(machine).exit_allowances.fetch_sub(1, Ordering::Relaxed);
    }

    /// Cuts a machine off from others until the guard is dropped.
    pub fn partition(&self, machine: Machine, others: &[Machine], direction: Direction) -> Partition<'_> {
        let me = self.address(machine);
        let mut links = Vec::new();
        for other in others.iter().map(|other| self.address(*other)).filter(|other| *other != me) {
            if direction != Direction::In {
                links.push(DirectedLink { from: me, to: other });
            }
            if direction != Direction::Out {
                links.push(DirectedLink { from: other, to: me });
            }
        }
        lock(&self.cut_links).extend(&links);
        self.apply_cut_links();
        Partition { tier: self, links }
    }

    fn apply_cut_links(&self) {
        let cut_links = lock(&self.cut_links).clone();
        for node in &self.nodes {
            let me = self.address(node.machine);
            let to: BTreeSet<IpAddr> =
                cut_links.iter().filter(|link| link.from == me).map(|link| link.to).collect();
            let from = cut_links.iter().filter(|link| link.to == me).map(|link| link.from).collect();
            self.change_rules(node.machine, |rules| {
                rules.cut_to = to;
                rules.cut_from = from;
            });
        }
    }

    /// Ends all processes.
    pub async fn end(&self) {
        self.ending.store(true, Ordering::Relaxed);
        for node in &self.nodes {
            node.is_exit_expected.store(true, Ordering::Relaxed);
            node.signal(Signal::CONT);
            node.signal(Signal::KILL);
        }
        for node in &self.nodes {
            let mut child = node.control.lock().await;
            end(node, &mut child).await;
        }
    }

    /// The logs of all lives, by file.
    ///
    /// # Errors
    ///
    /// If they cannot be read.
    pub fn logs(&self) -> io::Result<Vec<(String, String)>> {
        let mut logs = Vec::new();
        for entry in fs::read_dir(self.folder.join("logs"))? {
            let path = entry?.path();
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            logs.push((name, String::from_utf8_lossy(&fs::read(&path)?).into_owned()));
        }
        logs.sort();
        Ok(logs)
    }

    fn start_or_record(&self, node: &Node, child: &mut Option<Child>) {
        if let Err(error) = self.start(node, child) {
            self.history
                .record_finding("the soak itself", format!("{} is not started: {error}", node.machine));
        }
    }

    fn start(&self, node: &Node, child: &mut Option<Child>) -> io::Result<()> {
        // Another fault may have started it already.
        let runs = child.as_mut().is_some_and(|running| matches!(running.try_wait(), Ok(None)));
        if runs || self.ending.load(Ordering::Relaxed) {
            return Ok(());
        }
        let machine = node.machine;
        fs::write(self.settings_path(machine), self.settings(node, None))?;
        let incarnation = node.incarnation.fetch_add(1, Ordering::Relaxed) + 1;
        let log_path = self.folder.join("logs").join(format!("{machine}.{incarnation:02}.log"));
        let log = fs::File::create(&log_path)?;
        let mut started = Command::new(&self.program)
            .arg("node")
            .arg(machine.role.name())
            .arg(self.rules_path(machine))
            .arg(self.settings_path(machine))
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let pid = started.id().and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        *lock(&node.pid) = pid;
        *lock(&node.stdin) = started.stdin.take();
        *lock(&node.log) = log_path;
        node.is_exit_expected.store(false, Ordering::Relaxed);
        *child = Some(started);
        Ok(())
    }

    fn settings(&self, node: &Node, file: Option<SettingsFile>) -> String {
        let settings = NodeSettings {
            network: self.network,
            machine: node.machine,
            data: self.data(node.machine),
            is_bootstrap_member: node.is_bootstrap_member.load(Ordering::Relaxed),
        };
        settings.text(file)
    }

    fn write_rules(&self, node: &Node) -> io::Result<()> {
        lock(&node.rules).write(&self.rules_path(node.machine))
    }

    fn data(&self, machine: Machine) -> PathBuf {
        self.folder.join("data").join(machine.to_string())
    }

    fn settings_path(&self, machine: Machine) -> PathBuf {
        self.folder.join("settings").join(format!("{machine}.toml"))
    }

    fn rules_path(&self, machine: Machine) -> PathBuf {
        self.folder.join("rules").join(format!("{machine}.json"))
    }

    /// Where the play keeps its files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn node(&self, machine: Machine) -> &Node {
        let found = self.nodes.iter().find(|node| node.machine == machine);
        found.expect("every machine of a schedule is one of the tier")
    }
}

impl Node {
    fn new(machine: Machine) -> Node {
        Node {
            machine,
            control: tokio::sync::Mutex::default(),
            pid: Mutex::default(),
            stdin: Mutex::default(),
            incarnation: AtomicU64::new(0),
            log: Mutex::default(),
            is_exit_expected: AtomicBool::new(false),
            exit_allowances: AtomicUsize::new(0),
            is_bootstrap_member: AtomicBool::new(false),
            rules: Mutex::default(),
        }
    }

    fn may_exit_unexpectedly(&self) -> bool {
        self.exit_allowances.load(Ordering::Relaxed) > 0
    }

    /// Whether the process catches signals, as its first line shows; before, SIGTERM ends it as it ends any program.
    fn catches_signals(&self) -> bool {
        fs::metadata(&*lock(&self.log)).is_ok_and(|log| log.len() > 0)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = *lock(&self.pid) {
            // A process that has just ended needs no signal.
            let _ = kill_process(pid, signal);
        }
    }
}

/// Ends a process at once and waits for its end.
async fn end(node: &Node, child: &mut Option<Child>) {
    node.is_exit_expected.store(true, Ordering::Relaxed);
    if let Some(mut process) = child.take() {
        // One that has ended already is waited for all the same.
        let _ = process.start_kill();
        let _ = process.wait().await;
    }
    *lock(&node.pid) = None;
}

/// Guard that keeps a machine partitioned until it is dropped.
#[derive(Debug)]
pub struct Partition<'tier> {
    tier: &'tier Tier,
    links: Vec<DirectedLink>,
}

impl Drop for Partition<'_> {
    fn drop(&mut self) {
        {
            let mut cut_links = lock(&self.tier.cut_links);
            for link in &self.links {
                if let Some(place) = cut_links.iter().position(|cut| cut == link) {
                    cut_links.swap_remove(place);
                }
            }
        }
        self.tier.apply_cut_links();
    }
}
