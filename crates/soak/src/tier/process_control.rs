//! Process faults: kills, suspends, stops, reloads and restarts the processes of a tier.

use std::fs;
use std::io;
use std::os::unix::process::ExitStatusExt;
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::Ordering;
use std::time::Duration;

use juniperwing_node::sync::lock;
use rustix::process::{Pid, Signal};
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use super::node::{Node, is_running};
use super::{EXIT_DETECTION_DELAY, POLL_INTERVAL, Tier};
use crate::faults::{Machine, SettingsFile};
use crate::node_settings::{GRACE_PERIOD, NodeSettings};

/// Additional time after the grace period before a process is killed.
const GRACE_PERIOD_SLACK: Duration = Duration::from_millis(700);
/// Number of the signal with which the soak test kills processes.
const SIGKILL: i32 = 9;

/// A signal that is sent some time after the SIGTERM of a stop.
#[derive(Clone, Copy, Debug)]
pub struct DelayedSignal {
    /// Delay after the SIGTERM.
    pub delay: Duration,
    /// The signal.
    pub signal: Signal,
}

impl Tier {
    /// Kills a process and restarts it after `downtime`, with an empty data directory if `is_wiped`.
    pub async fn kill(&self, machine: Machine, downtime: Duration, is_wiped: bool) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        node.kill_and_wait(&mut child).await;
        if is_wiped {
            self.wipe(machine);
        }
        sleep(downtime).await;
        self.start_or_record(node, &mut child);
    }

    /// Kills all stateful processes at once, and the relays too if `includes_relays`, and restarts them after
    /// `downtime`. The machine `wiped` loses its disk.
    pub async fn kill_all(&self, includes_relays: bool, downtime: Duration, wiped: Option<Machine>) {
        let nodes: Vec<&Node> =
            self.nodes.iter().filter(|node| includes_relays || node.machine.is_stateful()).collect();
        for node in &nodes {
            node.is_exit_expected.store(true, Ordering::Relaxed);
            node.send_signal(Signal::KILL);
        }
        // All locks are held until the restart, so that no other task starts one of the processes before.
        let mut children = Vec::new();
        for node in &nodes {
            let mut child = node.control.lock().await;
            node.kill_and_wait(&mut child).await;
            children.push(child);
        }
        if let Some(machine) = wiped {
            self.wipe(machine);
        }
        sleep(downtime).await;
        for (node, mut child) in nodes.into_iter().zip(children) {
            self.start_or_record(node, &mut child);
        }
    }

    /// Kills a process, then restarts it and kills it during startup, once after each of `uptimes`.
    pub async fn kill_during_start(&self, machine: Machine, uptimes: &[Duration]) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        node.kill_and_wait(&mut child).await;
        for uptime in uptimes {
            self.start_or_record(node, &mut child);
            sleep(*uptime).await;
            node.kill_and_wait(&mut child).await;
        }
        self.start_or_record(node, &mut child);
    }

    /// Suspends a process by SIGSTOP for a time.
    pub async fn freeze(&self, machine: Machine, duration: Duration) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        node.send_signal(Signal::STOP);
        let until = Instant::now() + duration;
        // A fault of many machines kills processes without waiting for this lock.
        while Instant::now() < until && is_running(&mut child) {
            sleep(POLL_INTERVAL.min(until - Instant::now())).await;
        }
        node.send_signal(Signal::CONT);
    }

    /// Stops a process by SIGTERM, sends the further signals, and restarts it once it has exited.
    pub async fn stop(&self, machine: Machine, further_signals: &[DelayedSignal]) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        self.stop_locked(node, &mut child, further_signals).await;
        self.start_or_record(node, &mut child);
    }

    /// Kills and restarts a process, and stops it by SIGTERM after `uptime`.
    pub async fn stop_during_start(&self, machine: Machine, uptime: Duration) {
        let node = self.node(machine);
        let mut child = node.control.lock().await;
        node.kill_and_wait(&mut child).await;
        self.start_or_record(node, &mut child);
        sleep(uptime).await;
        // Before the process has installed its signal handlers, SIGTERM terminates it.
        node.is_exit_expected.store(true, Ordering::Relaxed);
        self.stop_locked(node, &mut child, &[]).await;
        self.start_or_record(node, &mut child);
    }

    /// Replaces the settings file, sends SIGHUP, and restores the valid file after `duration` without a signal.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub async fn reload(&self, machine: Machine, file: SettingsFile, duration: Duration) -> io::Result<()> {
        let path = self.directories.settings(machine);
        let node = self.node(machine);
        // A process that is just starting may read the file and exit.
        self.allow_exit(machine);
        fs::write(&path, self.settings(node).text(Some(file)))?;
        if node.catches_signals() {
            node.send_signal(Signal::HUP);
        }
        sleep(duration).await;
        let restored = fs::write(&path, self.settings(node).text(None));
        sleep(EXIT_DETECTION_DELAY).await;
        self.forbid_exit(machine);
        restored
    }

    /// Sends SIGTERM and the further signals, and kills the process if it does not exit within the grace period.
    async fn stop_locked(&self, node: &Node, child: &mut Option<Child>, further_signals: &[DelayedSignal]) {
        let caught_signals = node.catches_signals();
        node.is_exit_expected.store(true, Ordering::Relaxed);
        let stopped_at = Instant::now();
        node.send_signal(Signal::TERM);
        for further in further_signals {
            sleep(further.delay.saturating_sub(stopped_at.elapsed())).await;
            node.send_signal(further.signal);
        }
        let Some(process) = child.as_mut() else { return };
        let remaining = (GRACE_PERIOD + GRACE_PERIOD_SLACK).saturating_sub(stopped_at.elapsed());
        match timeout(remaining, process.wait()).await {
            Err(_) => {
                let elapsed_ms = stopped_at.elapsed().as_millis();
                let details = format!("{} still runs {elapsed_ms} ms after SIGTERM", node.machine);
                self.history.record_finding("an end within the grace", details);
            }
            Ok(Ok(status)) if caught_signals && is_failure(status) => {
                let details = format!("{} exited with {status} after SIGTERM", node.machine);
                self.history.record_finding("an end in order", details);
            }
            Ok(_) => {}
        }
        node.kill_and_wait(child).await;
    }

    fn wipe(&self, machine: Machine) {
        self.node(machine).is_bootstrap_member.store(false, Ordering::Relaxed);
        self.directories.wipe_data(machine);
    }

    /// Starts a process. A failure is a finding.
    pub(super) fn start_or_record(&self, node: &Node, child: &mut Option<Child>) {
        if let Err(error) = self.start(node, child) {
            let details = format!("cannot start {}: {error}", node.machine);
            self.history.record_finding("the soak itself", details);
        }
    }

    /// Starts a process, unless it is running or the tier is being ended.
    pub(super) fn start(&self, node: &Node, child: &mut Option<Child>) -> io::Result<()> {
        // Another fault may already have started it.
        if is_running(child) || self.is_ending.load(Ordering::Relaxed) {
            return Ok(());
        }
        let machine = node.machine;
        let settings_path = self.directories.settings(machine);
        fs::write(&settings_path, self.settings(node).text(None))?;
        let incarnation = node.incarnation.fetch_add(1, Ordering::Relaxed) + 1;
        let log_path = self.directories.log(machine, incarnation);
        let log = fs::File::create(&log_path)?;
        let mut started = Command::new(&self.program)
            .arg("node")
            .arg(machine.role.name())
            .arg(self.directories.rules(machine))
            .arg(settings_path)
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

    fn settings(&self, node: &Node) -> NodeSettings {
        NodeSettings {
            network: self.network,
            machine: node.machine,
            data: self.directories.data(node.machine),
            is_bootstrap_member: node.is_bootstrap_member.load(Ordering::Relaxed),
        }
    }
}

/// Whether a process failed by itself. SIGKILL does not count: a fault of many machines may kill the process while
/// another fault stops it.
fn is_failure(status: ExitStatus) -> bool {
    !status.success() && status.signal() != Some(SIGKILL)
}
