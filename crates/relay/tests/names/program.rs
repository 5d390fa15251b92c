//! The program as a process, in a directory of the test's own.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Variables that the program reads.
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

    /// The program with these arguments, in this directory, without any variable that it reads.
    pub fn program(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing"));
        for name in VARIABLES {
            command.env_remove(name);
        }
        command.args(arguments).current_dir(&self.0);
        command
    }

    /// A command as it is typed, its output and its exit code.
    pub fn transcript(&self, arguments: &[&str]) -> String {
        let output = self.program(arguments).output().expect("the program runs");
        let printed = String::from_utf8([output.stdout, output.stderr].concat()).expect("UTF-8");
        let code = output.status.code().expect("an exit code");
        format!("$ juniperwing {}\n{}\nexit code {code}\n\n", arguments.join(" "), printed.trim_end())
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        // The system clears its directory of temporary files if this cannot.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
