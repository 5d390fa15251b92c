//! State of a machine of a tier and of its process.

use std::fs;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use juniperwing_node::sync::lock;
use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, ChildStdin};

use crate::faults::Machine;
use crate::faulty_host::FaultRules;

/// A machine of the tier with its process.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) machine: Machine,
    /// The process. A task that ends or restarts the process holds the lock from the end to the restart.
    pub(super) control: tokio::sync::Mutex<Option<Child>>,
    pub(super) pid: Mutex<Option<Pid>>,
    /// The process exits when this pipe is closed, which also happens if the soak test itself is killed.
    pub(super) stdin: Mutex<Option<ChildStdin>>,
    /// Number of times the process was started.
    pub(super) incarnation: AtomicU64,
    /// Path of the log of the current incarnation.
    pub(super) log: Mutex<PathBuf>,
    /// Whether the soak test itself has ended the process.
    pub(super) is_exit_expected: AtomicBool,
    /// Number of active faults that may make the process exit by itself: a disk fault that prevents its start, or a
    /// broken settings file.
    pub(super) exit_allowances: AtomicUsize,
    /// Whether the process takes part in the bootstrap of the tier. It does not after a loss of its disk.
    pub(super) is_bootstrap_member: AtomicBool,
    pub(super) rules: Mutex<FaultRules>,
}

impl Node {
    pub(super) fn new(machine: Machine) -> Node {
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

    /// Whether an active fault may make the process exit by itself.
    pub(super) fn may_exit_by_itself(&self) -> bool {
        self.exit_allowances.load(Ordering::Relaxed) > 0
    }

    /// Whether the process has installed its signal handlers, which its first log line shows. Before that, SIGTERM has
    /// its default action and terminates the process.
    pub(super) fn catches_signals(&self) -> bool {
        fs::metadata(&*lock(&self.log)).is_ok_and(|log| log.len() > 0)
    }

    /// Sends a signal to the process, if it has been started.
    pub(super) fn send_signal(&self, signal: Signal) {
        if let Some(pid) = *lock(&self.pid) {
            // Fails if the process has just exited; then there is nothing to signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and waits for its exit. `child` is the value that `control` guards.
    pub(super) async fn kill_and_wait(&self, child: &mut Option<Child>) {
        self.is_exit_expected.store(true, Ordering::Relaxed);
        if let Some(mut process) = child.take() {
            // Fails if the process has already exited; it must be reaped all the same.
            let _ = process.start_kill();
            let _ = process.wait().await;
        }
        *lock(&self.pid) = None;
    }
}

/// Whether a process is running.
pub(super) fn is_running(child: &mut Option<Child>) -> bool {
    child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
}
