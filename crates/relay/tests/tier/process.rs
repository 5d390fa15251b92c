//! The program as a process.

use std::process::{Child, Command, Output, Stdio};
use std::time::Instant;

use crate::http::PATIENCE;

/// Runs a command to its end.
pub fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing"));
    command.args(arguments).env_remove("JUNIPERWING_CONFIG").output().expect("the program runs")
}

/// A command that runs until the test ends it.
pub struct Running(Child);

impl Running {
    pub fn start(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing"));
        command.args(arguments).stdout(Stdio::null()).stderr(Stdio::null());
        Running(command.spawn().expect("the program starts"))
    }

    /// The number of the process.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        signal(self.id(), name);
    }

    /// Ends it by SIGTERM. Returns its exit code.
    pub fn stop(mut self) -> Option<i32> {
        self.signal("TERM");
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.0.try_wait().expect("it is a child") {
                return status.code();
            }
            assert!(Instant::now() < end, "it does not end");
            std::thread::yield_now();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        // A test that failed leaves nothing behind: the roles end with their parent's orderly end.
        if matches!(self.0.try_wait(), Ok(None)) {
            self.signal("TERM");
            let _ = self.0.wait();
        }
    }
}

/// Sends a signal to one process.
pub fn signal(process: u32, name: &str) {
    let status = Command::new("kill").args(["-s", name, &process.to_string()]).status();
    assert!(status.expect("kill runs").success());
}
