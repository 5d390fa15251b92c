//! Supervision of the child process of a role.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use tokio::sync::mpsc::Sender;

use super::roles::LocalRole;

/// A role that exits by itself within this time after its first start is assumed to have invalid settings, and is not
/// restarted.
const MIN_FIRST_RUN: Duration = Duration::from_secs(2);
/// Delay before a role that has exited is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// State of a role's child process.
#[derive(Debug, Default)]
struct ChildState {
    child: Option<Pid>,
    is_stopping: bool,
}

/// A role's child process, restarted when it exits.
#[derive(Debug)]
pub(super) struct RoleProcess {
    program: PathBuf,
    name: String,
    arguments: Vec<String>,
    state: Mutex<ChildState>,
    /// Notified when a stop is requested.
    stop_requested: std::sync::Condvar,
}

impl RoleProcess {
    pub(super) fn new(program: &Path, role: &LocalRole, log_level: Option<&str>) -> Self {
        let settings = role.settings_file.display().to_string();
        let mut arguments = vec![role.role.name().to_owned(), "--settings".to_owned(), settings.clone()];
        if let Some(level) = log_level {
            arguments.extend(["--log-level".to_owned(), level.to_owned()]);
        }
        RoleProcess {
            program: program.to_owned(),
            name: format!("{} ({settings})", role.role.name()),
            arguments,
            state: Mutex::default(),
            stop_requested: std::sync::Condvar::new(),
        }
    }

    /// Runs the process and restarts it until a stop is requested. Notifies `failed` and returns if the first start
    /// fails.
    pub(super) fn run(&self, failed: &Sender<()>) {
        let mut is_first = true;
        loop {
            let started_at = Instant::now();
            let Some(child) = self.start() else { return };
            let exit = child.and_then(|child| self.wait(child));
            if self.is_stopping() {
                return;
            }
            report_exit(&self.name, &exit);
            let was_killed = matches!(&exit, Ok(status) if status.code().is_none());
            if is_first && !was_killed && started_at.elapsed() < MIN_FIRST_RUN {
                // The receiver may have stopped after an earlier failure.
                let _ = failed.blocking_send(());
                return;
            }
            is_first = false;
            if self.wait_for_stop(RESTART_DELAY) {
                return;
            }
        }
    }

    /// Starts the process, unless a stop is requested.
    fn start(&self) -> Option<io::Result<Child>> {
        let mut state = self.lock();
        if state.is_stopping {
            return None;
        }
        let started = Command::new(&self.program).args(&self.arguments).spawn();
        if let Ok(child) = &started {
            state.child = Some(Pid::from_child(child));
            eprintln!("juniperwing local: {} runs as process {}", self.name, child.id());
        }
        Some(started)
    }

    fn wait(&self, mut child: Child) -> io::Result<ExitStatus> {
        let exit = child.wait();
        self.lock().child = None;
        exit
    }

    pub(super) fn send_signal(&self, signal: Signal) {
        if let Some(child) = self.lock().child {
            // The process may have exited already.
            let _ = kill_process(child, signal);
        }
    }

    pub(super) fn stop(&self) {
        self.lock().is_stopping = true;
        self.stop_requested.notify_all();
        self.send_signal(Signal::TERM);
    }

    fn is_stopping(&self) -> bool {
        self.lock().is_stopping
    }

    /// Waits up to `timeout` for a stop request. Returns whether there is one.
    fn wait_for_stop(&self, timeout: Duration) -> bool {
        let waited = self.stop_requested.wait_timeout_while(self.lock(), timeout, |state| !state.is_stopping);
        waited.unwrap_or_else(PoisonError::into_inner).0.is_stopping
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ChildState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn report_exit(name: &str, exit: &io::Result<ExitStatus>) {
    match exit {
        Ok(status) => eprintln!("juniperwing local: {name} ended: {status}"),
        Err(e) => eprintln!("juniperwing local: {name} cannot be started: {e}"),
    }
}
