//! The command `juniperwing local`: a tier on one machine, with each role as a child process.
//!
//! Like the platform it restarts a role that exits by itself, forwards SIGHUP, and terminates all roles by SIGTERM.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, ExitStatus};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use getopts::Options;
use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};
use tokio::sync::mpsc::{Sender, channel};

use crate::role::Role;
use crate::signals::{ShutdownOrReload, Signals};

/// A role that exits by itself within this time after its first start is taken to have invalid settings.
const MIN_FIRST_RUN: Duration = Duration::from_secs(2);
/// Delay before a role that has exited is restarted.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of roles in a directory.
const MAX_ROLES: usize = 64;
const USAGE: &str = "\
Usage: juniperwing local FOLDER [--log-level LEVEL]

Starts one process for each settings file (*.toml) of the folder, in the role that the file's `role` names, from the
working directory. A role that ends by itself is started again after a second. SIGTERM or SIGINT ends them all,
SIGHUP is passed on.";

/// Why the tier cannot be started.
#[derive(Debug, Snafu)]
pub enum LocalError {
    /// The directory or a file in it cannot be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    Unreadable {
        /// The directory or file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file names no role or is not valid TOML.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The error of the parser.
        source: toml::de::Error,
    },
    /// A file names a role that does not exist.
    #[snafu(display("{}: role: {role:?} is not one of relay, keeper, store", path.display()))]
    UnknownRole {
        /// The file.
        path: PathBuf,
        /// The name given in the file.
        role: String,
    },
    /// The directory holds no settings files, or too many.
    #[snafu(display("{}: {count} settings files; there must be 1 to {MAX_ROLES}", folder.display()))]
    SettingsFileCount {
        /// The directory.
        folder: PathBuf,
        /// The number of settings files.
        count: usize,
    },
}

/// The key of a settings file that names its role.
#[derive(Deserialize)]
struct RoleSetting {
    role: String,
}

/// A role to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalRole {
    /// The role.
    pub role: Role,
    /// Its settings file.
    pub settings_file: PathBuf,
}

/// Reads the roles of a directory, in the order of their file names.
///
/// # Errors
///
/// If the directory holds no settings, or a file names no role.
pub fn read_roles(folder: &Path) -> Result<Vec<LocalRole>, LocalError> {
    let entries = std::fs::read_dir(folder).context(UnreadableSnafu { path: folder })?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.context(UnreadableSnafu { path: folder })?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            files.push(path);
        }
    }
    ensure!((1..=MAX_ROLES).contains(&files.len()), SettingsFileCountSnafu { folder, count: files.len() });
    files.sort();
    files.into_iter().map(read_role).collect()
}

fn read_role(path: PathBuf) -> Result<LocalRole, LocalError> {
    let text = std::fs::read_to_string(&path).context(UnreadableSnafu { path: &path })?;
    let named: RoleSetting = toml::from_str(&text).context(MalformedSnafu { path: &path })?;
    match Role::from_name(&named.role) {
        Some(role) => Ok(LocalRole { role, settings_file: path }),
        None => UnknownRoleSnafu { path, role: named.role }.fail(),
    }
}

/// Runs the command with the arguments that follow `local`, until SIGTERM or SIGINT.
pub fn run(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "log-level", "error, warning, info or debug [default: info]", "LEVEL");
    options.optflag("h", "help", "print this");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(e) => return usage_error(&e.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    let [folder] = matches.free.as_slice() else { return usage_error("name one folder of settings") };
    match read_roles(Path::new(folder)) {
        Ok(roles) => serve(&roles, matches.opt_str("log-level")),
        Err(e) => usage_error(&e.to_string()),
    }
}

fn usage_error(problem: &str) -> ExitCode {
    eprintln!("juniperwing local: {problem}\nTry 'juniperwing local --help'.");
    ExitCode::from(2)
}

fn serve(roles: &[LocalRole], log_level: Option<String>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime.and_then(|runtime| runtime.block_on(supervise(roles, log_level)));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("juniperwing local: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the roles until shutdown. Returns whether all of them could be started.
async fn supervise(roles: &[LocalRole], log_level: Option<String>) -> io::Result<bool> {
    let mut signals = Signals::new()?;
    let program = std::env::current_exe()?;
    let (failed, mut failures) = channel(MAX_ROLES);
    let mut supervised = Vec::new();
    for role in roles {
        let process = Arc::new(RoleProcess::new(&program, role, log_level.as_deref()));
        let (runner, failed) = (Arc::clone(&process), failed.clone());
        supervised.push((process, thread::spawn(move || runner.run(&failed))));
    }
    let all_started = loop {
        tokio::select! {
            signal = signals.next() => match signal {
                ShutdownOrReload::Shutdown => break true,
                ShutdownOrReload::Reload => supervised.iter().for_each(|(process, _)| process.send_signal(Signal::HUP)),
            },
            _ = failures.recv() => break false,
        }
    };
    for (process, _) in &supervised {
        process.stop();
    }
    for (_, thread) in supervised {
        // A panic of the thread has been logged; the other threads are still joined.
        let _ = thread.join();
    }
    Ok(all_started)
}

/// State of a role's child process.
#[derive(Debug, Default)]
struct ChildState {
    child: Option<Pid>,
    is_stopping: bool,
}

/// A role's child process, restarted when it exits.
#[derive(Debug)]
struct RoleProcess {
    program: PathBuf,
    name: String,
    arguments: Vec<String>,
    state: Mutex<ChildState>,
    /// Notified when the process shall stop.
    stop_requested: std::sync::Condvar,
}

impl RoleProcess {
    fn new(program: &Path, role: &LocalRole, log_level: Option<&str>) -> Self {
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

    /// Runs the process and restarts it until it shall stop. Notifies `failed` and returns if the first start fails.
    fn run(&self, failed: &Sender<()>) {
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

    /// Starts the process, unless it shall stop.
    fn start(&self) -> Option<io::Result<Child>> {
        let mut progress = self.lock();
        if progress.is_stopping {
            return None;
        }
        let started = Command::new(&self.program).args(&self.arguments).spawn();
        if let Ok(child) = &started {
            progress.child = Some(Pid::from_child(child));
            eprintln!("juniperwing local: {} runs as process {}", self.name, child.id());
        }
        Some(started)
    }

    fn wait(&self, mut child: Child) -> io::Result<ExitStatus> {
        let exit = child.wait();
        self.lock().child = None;
        exit
    }

    fn send_signal(&self, signal: Signal) {
        if let Some(child) = self.lock().child {
            // The process may just have exited.
            let _ = kill_process(child, signal);
        }
    }

    fn stop(&self) {
        self.lock().is_stopping = true;
        self.stop_requested.notify_all();
        self.send_signal(Signal::TERM);
    }

    fn is_stopping(&self) -> bool {
        self.lock().is_stopping
    }

    /// Waits up to `time` for a request to stop. Returns whether there is one.
    fn wait_for_stop(&self, time: Duration) -> bool {
        let waited =
            self.stop_requested.wait_timeout_while(self.lock(), time, |progress| !progress.is_stopping);
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
