//! The adapter as a program: no options, batches by standard input, and its exit codes.

use std::io::Write;
use std::process::{Command, Stdio};

/// Exit code, standard output and standard error for this input.
fn run(input: &str) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing-adapter"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("the program reads");
    let output = child.wait_with_output().expect("the program ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn the_end_of_the_input_ends_it() {
    assert_eq!(run(""), (Some(0), String::new(), String::new()));
}

#[test]
fn what_is_no_batch_is_told_with_its_line() {
    let (code, out, told) = run("word\n");
    assert_eq!((code, out), (Some(1), String::new()));
    assert!(told.starts_with("juniperwing-adapter: line 1: not a batch: "), "{told}");
}
