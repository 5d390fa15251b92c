//! The options, output and exit codes of the command line.

use std::process::Command;

#[path = "../../relay/tests/golden/mod.rs"]
mod golden;

/// Runs a command and returns it with its output and its exit code.
fn transcript(line: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing-emulator"));
    let output = command.args(line.split_whitespace()).output().expect("the program runs");
    let text = String::from_utf8([output.stdout, output.stderr].concat()).expect("UTF-8");
    let code = output.status.code().expect("an exit code");
    format!("$ juniperwing-emulator {line}\n{}\nexit code {code}\n\n", text.trim_end())
}

#[test]
fn help_and_misuse() {
    let lines = ["--help", "more", "--unknown-option", "--days many"];
    golden::assert_golden("command-line.txt", &lines.map(transcript).concat());
}
