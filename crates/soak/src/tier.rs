//! The processes of a tier: started, signalled, cut off, and started again as the platform would.

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

use crate::fault::Rules;
use crate::history::History;
use crate::network::Network;
use crate::schedule::{KEEPERS, RELAYS, STORES};
use crate::told_settings::{GRACE, ToldSettings};
use crate::troubles::{Direction, Machine, SettingsFile};

/// How much later than that the platform kills.
const GRACE_SLACK: Duration = Duration::from_millis(700);
/// Before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// The number of the signal by which the soak ends processes.
const SIGKILL: i32 = 9;
/// A process that has ended by itself is found a moment later.
pub const EXCUSED_FOR: Duration = Duration::from_secs(1);
/// How often processes are looked after.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// One machine of the tier with its process.
#[derive(Debug)]
struct Node {
    machine: Machine,
    /// Held by whoever ends or starts the process.
    control: tokio::sync::Mutex<Option<Child>>,
    pid: Mutex<Option<Pid>>,
    /// The process ends when this is closed, also if the soak is killed.
    stdin: Mutex<Option<ChildStdin>>,
    life: AtomicU64,
    log: Mutex<PathBuf>,
    /// Whether its end was brought about by the soak.
    may_end: AtomicBool,
    /// Troubles under way of which it may end by itself: a disk that does not let it start, a broken settings file.
    excuses: AtomicUsize,
    /// Whether it belongs to the first start of the tier.
    founds: AtomicBool,
    rules: Mutex<Rules>,
}

/// One direction between two machines in which nothing passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Way {
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
    cut: Mutex<Vec<Way>>,
    ending: AtomicBool,
    history: Arc<History>,
}

impl Tier {
    /// A tier that is not started yet. Its files go into `folder`, its processes run `program`.
    pub fn new(network: Network, folder: PathBuf, program: PathBuf, history: Arc<History>) -> Tier {
        let of = |role, count| (0..count).map(move |number| Node::new(Machine { role, number }));
        let nodes = of(Role::Keeper, KEEPERS).chain(of(Role::Store, STORES)).chain(of(Role::Relay, RELAYS));
        Tier {
            network,
            folder,
            program,
            nodes: nodes.collect(),
            cut: Mutex::default(),
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
    pub fn life(&self, machine: Machine) -> u64 {
        self.node(machine).life.load(Ordering::Relaxed)
    }

    /// Starts all processes for the first time.
    ///
    /// # Errors
    ///
    /// If folders or processes cannot be made.
    pub async fn found(&self) -> io::Result<()> {
        for part in ["settings", "rules", "logs", "data"] {
            fs::create_dir_all(self.folder.join(part))?;
        }
        for node in &self.nodes {
            node.founds.store(true, Ordering::Relaxed);
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
                if !node.may_end.load(Ordering::Relaxed) && !node.may_end_by_itself() {
                    let life = node.life.load(Ordering::Relaxed);
                    let details = format!("{} ended by itself with {status}, start {life}", node.machine);
                    self.history.found("a process ends by itself", details);
                }
                sleep(RESTART_PAUSE).await;
                self.start_or_tell(node, &mut child);
            }
            sleep(LOOK_EVERY).await;
        }
    }

    /// Kills a process and starts it again after a while; with an empty folder if its disk is lost.
    pub async fn kill(&self, machine: Machine, down: Duration, loses_disk: bool) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        end(node, &mut child).await;
        if loses_disk {
            node.founds.store(false, Ordering::Relaxed);
            // A folder that was never made is as empty.
            let _ = fs::remove_dir_all(self.data(machine));
        }
        sleep(down).await;
        self.start_or_tell(node, &mut child);
    }

    /// Kills many processes at the same moment; they are back after a while.
    pub async fn kill_all(&self, relays_too: bool, down: Duration, loses_disk: Option<Machine>) {
        let struck: Vec<&Node> =
            self.nodes.iter().filter(|node| relays_too || node.machine.counts()).collect();
        for node in &struck {
            node.may_end.store(true, Ordering::Relaxed);
            node.signal(Signal::KILL);
        }
        // Held until all are back, so that nobody starts one of them meanwhile.
        let mut held = Vec::new();
        for node in &struck {
            let mut child = node.control.lock().await;
            end(node, &mut child).await;
            held.push(child);
        }
        if let Some(machine) = loses_disk {
            self.node(machine).founds.store(false, Ordering::Relaxed);
            let _ = fs::remove_dir_all(self.data(machine));
        }
        sleep(down).await;
        for (node, mut child) in struck.into_iter().zip(held) {
            self.start_or_tell(node, &mut child);
        }
    }

    /// Kills a process and then kills it several times more while it starts.
    pub async fn kill_in_start(&self, machine: Machine, pauses: &[Duration]) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        end(node, &mut child).await;
        for pause in pauses {
            self.start_or_tell(node, &mut child);
            sleep(*pause).await;
            end(node, &mut child).await;
        }
        self.start_or_tell(node, &mut child);
    }

    /// Has a process stand still for a while.
    pub async fn freeze(&self, machine: Machine, time: Duration) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        node.signal(Signal::STOP);
        let until = Instant::now() + time;
        // Troubles that strike many kill without waiting for this one.
        let runs = |child: &mut Option<Child>| {
            child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        };
        while Instant::now() < until && runs(&mut child) {
            sleep(LOOK_EVERY.min(until - Instant::now())).await;
        }
        node.signal(Signal::CONT);
    }

    /// SIGTERM, further signals at the given times behind it, and a start once the process has ended.
    pub async fn stop(&self, machine: Machine, further: &[(Duration, Signal)]) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        self.stop_held(node, &mut child, further).await;
        self.start_or_tell(node, &mut child);
    }

    /// Kills a process, starts it, and sends SIGTERM a moment later.
    pub async fn stop_in_start(&self, machine: Machine, pause: Duration) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        end(node, &mut child).await;
        self.start_or_tell(node, &mut child);
        sleep(pause).await;
        // Before it catches signals, SIGTERM ends it as it ends any program.
        node.may_end.store(true, Ordering::Relaxed);
        self.stop_held(node, &mut child, &[]).await;
        self.start_or_tell(node, &mut child);
    }

    async fn stop_held(&self, node: &Node, child: &mut Option<Child>, further: &[(Duration, Signal)]) {
        let caught = node.catches_signals();
        node.may_end.store(true, Ordering::Relaxed);
        let began = Instant::now();
        node.signal(Signal::TERM);
        for (at, signal) in further {
            sleep(at.saturating_sub(began.elapsed())).await;
            node.signal(*signal);
        }
        let Some(process) = child.as_mut() else { return };
        let left = (GRACE + GRACE_SLACK).saturating_sub(began.elapsed());
        match timeout(left, process.wait()).await {
            Err(_) => {
                let took = began.elapsed().as_millis();
                self.history.found(
                    "an end within the grace",
                    format!("{} runs {took} ms after SIGTERM", node.machine),
                );
            }
            // Troubles that strike many kill without waiting for others.
            Ok(Ok(status)) if caught && !status.success() && status.signal() != Some(SIGKILL) => {
                self.history
                    .found("an end in order", format!("{} ends with {status} after SIGTERM", node.machine));
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
        self.excuse(machine);
        fs::write(&path, self.settings(node, Some(file)))?;
        if node.catches_signals() {
            node.signal(Signal::HUP);
        }
        sleep(time).await;
        let restored = fs::write(&path, self.settings(self.node(machine), None));
        sleep(EXCUSED_FOR).await;
        self.expect(machine);
        restored
    }

    /// Changes the rules of a machine.
    pub fn change_rules(&self, machine: Machine, change: impl FnOnce(&mut Rules)) {
        let node = self.node(machine);
        change(&mut lock(&node.rules));
        // A file that cannot be written shows in the play: the trouble does not come or does not end.
        let _ = self.write_rules(node);
    }

    /// A process may end by itself until [`Tier::expect`].
    pub fn excuse(&self, machine: Machine) {
        self.node(machine).excuses.fetch_add(1, Ordering::Relaxed);
    }

    /// What was excused is over.
    pub fn expect(&self, machine: Machine) {
        self.node(machine).excuses.fetch_sub(1, Ordering::Relaxed);
    }

    /// Cuts a machine off from others until the guard is dropped.
    pub fn cut(&self, machine: Machine, others: &[Machine], direction: Direction) -> Cut<'_> {
        let me = self.address(machine);
        let mut ways = Vec::new();
        for other in others.iter().map(|other| self.address(*other)).filter(|other| *other != me) {
            if direction != Direction::In {
                ways.push(Way { from: me, to: other });
            }
            if direction != Direction::Out {
                ways.push(Way { from: other, to: me });
            }
        }
        lock(&self.cut).extend(&ways);
        self.apply_cuts();
        Cut { tier: self, ways }
    }

    fn apply_cuts(&self) {
        let cut = lock(&self.cut).clone();
        for node in &self.nodes {
            let me = self.address(node.machine);
            let to: BTreeSet<IpAddr> = cut.iter().filter(|way| way.from == me).map(|way| way.to).collect();
            let from = cut.iter().filter(|way| way.to == me).map(|way| way.from).collect();
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
            node.may_end.store(true, Ordering::Relaxed);
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

    fn start_or_tell(&self, node: &Node, child: &mut Option<Child>) {
        if let Err(error) = self.start(node, child) {
            self.history.found("the soak itself", format!("{} is not started: {error}", node.machine));
        }
    }

    fn start(&self, node: &Node, child: &mut Option<Child>) -> io::Result<()> {
        // Another trouble may have started it already.
        let runs = child.as_mut().is_some_and(|running| matches!(running.try_wait(), Ok(None)));
        if runs || self.ending.load(Ordering::Relaxed) {
            return Ok(());
        }
        let machine = node.machine;
        fs::write(self.settings_path(machine), self.settings(node, None))?;
        let life = node.life.fetch_add(1, Ordering::Relaxed) + 1;
        let log_path = self.folder.join("logs").join(format!("{machine}.{life:02}.log"));
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
        node.may_end.store(false, Ordering::Relaxed);
        *child = Some(started);
        Ok(())
    }

    fn settings(&self, node: &Node, file: Option<SettingsFile>) -> String {
        let told = ToldSettings {
            network: self.network,
            machine: node.machine,
            data: self.data(node.machine),
            founds: node.founds.load(Ordering::Relaxed),
        };
        told.text(file)
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
            life: AtomicU64::new(0),
            log: Mutex::default(),
            may_end: AtomicBool::new(false),
            excuses: AtomicUsize::new(0),
            founds: AtomicBool::new(false),
            rules: Mutex::default(),
        }
    }

    fn may_end_by_itself(&self) -> bool {
        self.excuses.load(Ordering::Relaxed) > 0
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
    node.may_end.store(true, Ordering::Relaxed);
    if let Some(mut process) = child.take() {
        // One that has ended already is waited for all the same.
        let _ = process.start_kill();
        let _ = process.wait().await;
    }
    *lock(&node.pid) = None;
}

/// A machine is cut off as long as this lives.
#[derive(Debug)]
pub struct Cut<'tier> {
    tier: &'tier Tier,
    ways: Vec<Way>,
}

impl Drop for Cut<'_> {
    fn drop(&mut self) {
        {
            let mut cut = lock(&self.tier.cut);
            for way in &self.ways {
                if let Some(place) = cut.iter().position(|held| held == way) {
                    cut.swap_remove(place);
                }
            }
        }
        self.tier.apply_cuts();
    }
}
