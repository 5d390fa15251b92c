//! Runs the program in a directory of the test.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Environment variables that the program reads.
const VARIABLES: [&str; 7] = [
    "JUNIPERWING_CONFIG",
    "JUNIPERWING_LOG",
    "ROUTER_CONFIG",
    "ROUTER_DISCOVERY",
    "ROUTER_LISTEN",
    "ROUTER_NAME",
    "ROUTER_STATE",
];

/// The working directory of commands; removed when this is dropped.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    pub fn new() -> TestDirectory {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("juniperwing-names-{}-{count}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory for temporary files");
        TestDirectory(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).expect("a written file");
    }

    /// Returns the command with these arguments, run in this directory and without the variables that the program
    /// reads.
    pub fn program(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing"));
        for name in VARIABLES {
            command.env_remove(name);
        }
        command.args(arguments).current_dir(&self.0);
        command
    }

    /// Runs a command and returns its command line, output and exit code.
    pub fn transcript(&self, arguments: &[&str]) -> String {
        let output = self.program(arguments).output().expect("the program runs");
        let printed = String::from_utf8([output.stdout, output.stderr].concat()).expect("UTF-8");
        let code = output.status.code().expect("an exit code");
        format!("$ juniperwing {}\n{}\nexit code {code}\n\n", arguments.join(" "), printed.trim_end())
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        // A failure is ignored: the system cleans up temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
