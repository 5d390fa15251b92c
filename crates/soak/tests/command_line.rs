//! Commands, options and exit codes of the soak test.

use std::process::Command;

#[path = "../../relay/tests/golden/mod.rs"]
mod golden;

/// Runs a command line. Returns it together with its output and exit code.
fn transcript(line: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing-soak"));
    let output = command.args(line.split_whitespace()).output().expect("the program runs");
    let text = String::from_utf8([output.stdout, output.stderr].concat()).expect("UTF-8");
    let code = output.status.code().expect("an exit code");
    format!("$ juniperwing-soak {line}\n{}\nexit code {code}\n\n", text.trim_end())
}

#[test]
fn help_and_misuse() {
    let lines = ["", "--help", "run --help", "unknown-command", "run --unknown-option", "run --plays many"];
    golden::assert_golden("command-line.txt", &lines.map(transcript).concat());
}
