//! A tier on one machine: `juniperwing local` starts the roles of a folder of settings as child processes.
//!
//! As the platform would, it starts a role again that ends by itself, passes SIGHUP on, and ends all by SIGTERM.

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

/// A role that ends by itself sooner than this after its first start has settings that cannot be used.
const MIN_FIRST_RUN: Duration = Duration::from_secs(2);
/// The pause before a role that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Roles in one folder at most.
const MAX_ROLES: usize = 64;
const USAGE: &str = "\
Usage: juniperwing local FOLDER [--log-level LEVEL]

Starts one process for each settings file (*.toml) of the folder, in the role that the file's `role` names, from the
working directory. A role that ends by itself is started again after a second. SIGTERM or SIGINT ends them all,
SIGHUP is passed on.";

/// Why the tier cannot be started.
#[derive(Debug, Snafu)]
pub enum LocalError {
    /// The folder or a file in it cannot be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    Unreadable {
        /// The folder or file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// A file names no role.
    #[snafu(display("{}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What the parser says.
        source: toml::de::Error,
    },
    /// A file names a role that does not exist.
    #[snafu(display("{}: role: {role:?} is not one of relay, keeper, store", path.display()))]
    UnknownRole {
        /// The file.
        path: PathBuf,
        /// What it names.
        role: String,
    },
    /// There is nothing to start, or too much.
    #[snafu(display("{}: {count} settings files; there must be 1 to {MAX_ROLES}", folder.display()))]
    SettingsFileCount {
        /// The folder.
        folder: PathBuf,
        /// How many there are.
        count: usize,
    },
}

/// The part of a settings file that says which role it is for.
#[derive(Deserialize)]
struct RoleSetting {
    role: String,
}

/// A role to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalRole {
    /// Which.
    pub role: Role,
    /// Its settings.
    pub settings_file: PathBuf,
}

/// The roles of a folder, in the order of their files' names.
///
/// # Errors
///
/// If the folder holds no settings, or a file names no role.
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

/// Runs the roles of a folder with the arguments behind `local`, until SIGTERM or SIGINT.
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

fn usage_error(why: &str) -> ExitCode {
    eprintln!("juniperwing local: {why}\nTry 'juniperwing local --help'.");
    ExitCode::from(2)
}

fn serve(roles: &[LocalRole], log_level: Option<String>) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.and_then(|runtime| runtime.block_on(supervise(roles, log_level)));
    match ended {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("juniperwing local: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the roles until the end is wanted. Returns whether all of them could be started.
async fn supervise(roles: &[LocalRole], log_level: Option<String>) -> io::Result<bool> {
    let mut signals = Signals::new()?;
    let program = std::env::current_exe()?;
    let (failed, mut failures) = channel(MAX_ROLES);
    let mut supervised = Vec::new();
    for role in roles {
        let process = Arc::new(RoleProcess::new(&program, role, log_level.as_deref()));
        let (running, failed) = (Arc::clone(&process), failed.clone());
        supervised.push((process, thread::spawn(move || running.run(&failed))));
    }
    let all_started = loop {
        tokio::select! {
            wish = signals.next() => match wish {
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
        // A thread that panicked has said so; the others are still waited for.
        let _ = thread.join();
    }
    Ok(all_started)
}

/// What is known of the process of a role.
#[derive(Debug, Default)]
struct ChildState {
    child: Option<Pid>,
    is_stopping: bool,
}

/// The process of a role, started again when it ends.
#[derive(Debug)]
struct RoleProcess {
    program: PathBuf,
    name: String,
    arguments: Vec<String>,
    state: Mutex<ChildState>,
    /// Told when the end is wanted.
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

    /// Starts the process again and again. Tells if the first start failed.
    fn run(&self, failed: &Sender<()>) {
        let mut is_first = true;
        loop {
            let begun = Instant::now();
            let Some(child) = self.start() else { return };
            let ended = child.and_then(|child| self.wait(child));
            if self.is_stopping() {
                return;
            }
            report_exit(&self.name, &ended);
            let was_killed = matches!(&ended, Ok(status) if status.code().is_none());
            if is_first && !was_killed && begun.elapsed() < MIN_FIRST_RUN {
                // Whoever listens ends when the first has told.
                let _ = failed.blocking_send(());
                return;
            }
            is_first = false;
            if self.wait_for_stop(RESTART_DELAY) {
                return;
            }
        }
    }

    /// Starts the process, unless the end is wanted.
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
        let ended = child.wait();
        self.lock().child = None;
        ended
    }

    fn send_signal(&self, signal: Signal) {
        if let Some(child) = self.lock().child {
            // A process that has just ended needs no signal.
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

    /// Waits for the end to be wanted. Returns whether it is.
    fn wait_for_stop(&self, time: Duration) -> bool {
        let waited =
            self.stop_requested.wait_timeout_while(self.lock(), time, |progress| !progress.is_stopping);
        waited.unwrap_or_else(PoisonError::into_inner).0.is_stopping
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ChildState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn report_exit(name: &str, ended: &io::Result<ExitStatus>) {
    match ended {
        Ok(status) => eprintln!("juniperwing local: {name} ended: {status}"),
        Err(e) => eprintln!("juniperwing local: {name} cannot be started: {e}"),
    }
}
