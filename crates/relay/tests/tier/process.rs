//! Runs the program as a process.

use std::process::{Child, Command, Output, Stdio};
use std::time::Instant;

use crate::http::CALL_TIMEOUT;

/// Runs a command until it exits.
pub fn run_program(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing"));
    command.args(arguments).env_remove("JUNIPERWING_CONFIG").output().expect("the program runs")
}

/// A command that runs until the test ends it.
pub struct RunningProgram(Child);

impl RunningProgram {
    pub fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing"));
        command.args(arguments).stdout(Stdio::null()).stderr(Stdio::null());
        RunningProgram(command.spawn().expect("the program starts"))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal by its name.
    pub fn send_signal(&self, name: &str) {
        send_signal(self.id(), name);
    }

    /// Stops the process with SIGTERM. Returns its exit code.
    pub fn stop(mut self) -> Option<i32> {
        self.send_signal("TERM");
        let deadline = Instant::now() + CALL_TIMEOUT;
        loop {
            if let Some(status) = self.0.try_wait().expect("a child process") {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the process does not exit");
            std::thread::yield_now();
        }
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        // Stops the process after a failed test: the roles exit when their parent receives SIGTERM.
        if matches!(self.0.try_wait(), Ok(None)) {
            self.send_signal("TERM");
            let _ = self.0.wait();
        }
    }
}

/// Sends a signal to one process.
pub fn send_signal(process: u32, name: &str) {
    let status = Command::new("kill").args(["-s", name, &process.to_string()]).status();
    assert!(status.expect("kill runs").success());
}
