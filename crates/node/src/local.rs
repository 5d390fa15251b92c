//! The command `juniperwing local`, which runs a tier on one machine with each role as a child process.
//!
//! Like the platform, it restarts a role that exits by itself, forwards SIGHUP, and terminates all roles with SIGTERM.

mod role_process;
mod roles;

use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;

use getopts::Options;
use rustix::process::Signal;
use tokio::sync::mpsc::channel;

use self::role_process::RoleProcess;
use self::roles::MAX_ROLES;
pub use self::roles::{LocalError, LocalRole, read_roles};
use crate::signals::{SignalRequest, Signals};

const USAGE: &str = "\
Usage: juniperwing local FOLDER [--log-level LEVEL]

Starts one process for each settings file (*.toml) of the folder, in the role that the file's `role` names, from the
working directory. A role that ends by itself is started again after a second. SIGTERM or SIGINT ends them all,
SIGHUP is passed on.";

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

/// Runs the roles until shutdown or until the first start of a role fails. Returns whether all roles were started.
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
            biased;
            signal = signals.next() => match signal {
                SignalRequest::Shutdown => break true,
                SignalRequest::Reload => supervised.iter().for_each(|(process, _)| process.send_signal(Signal::HUP)),
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
