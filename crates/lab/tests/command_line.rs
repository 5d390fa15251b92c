//! Commands, options and exit codes of the lab.

use std::process::Command;

#[path = "../../relay/tests/golden/mod.rs"]
mod golden;

/// A command line with its output and exit code.
fn transcript(line: &str) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing-lab"));
    let output = command.args(line.split_whitespace()).output().expect("the program runs");
    let output_text = String::from_utf8([output.stdout, output.stderr].concat()).expect("UTF-8");
    let code = output.status.code().expect("an exit code");
    format!("$ juniperwing-lab {line}\n{}\nexit code {code}\n\n", output_text.trim_end())
}

#[test]
fn help_and_misuse() {
    let lines = [
        "--help",
        "run --help",
        "compare --help",
        "sweep --help",
        "hunt --help",
        "replay --help",
        "survey --help",
        "check --help",
        "scenarios --help",
        "",
        "unknown-command",
        "--unknown-option",
        "run --unknown-option",
        "run",
        "check",
    ];
    golden::assert_golden("command-line.txt", &lines.map(transcript).concat());
}
