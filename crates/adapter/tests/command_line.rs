//! The command line of the adapter: no options, batches on standard input, and exit codes.

use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on `input` and returns its exit code, standard output and standard error.
fn run(input: &str) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_juniperwing-adapter"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("the program reads its input");
    let output = child.wait_with_output().expect("the program ends");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn the_end_of_the_input_ends_the_program() {
    assert_eq!(run(""), (Some(0), String::new(), String::new()));
}

#[test]
fn a_line_that_is_not_a_batch_is_reported_with_its_number() {
    let (code, output, error) = run("word\n");
    assert_eq!((code, output), (Some(1), String::new()));
    assert!(error.starts_with("juniperwing-adapter: line 1: not a batch: "), "{error}");
}

/// Events that the adapter rejects, each with the expected error.
const REJECTED_EVENTS: [(&str, &str); 8] = [
    ("3", "malformed event: invalid type: integer `3`, expected struct Head at line 1 column 1"),
    (r#"{"relay":"r"}"#, "malformed event: missing field `m` at line 1 column 13"),
    (
        r#"{"m":"Spawn","relay":"s","boot-info":{"ceilings":3}}"#,
        "malformed Spawn: invalid type: integer `3`, expected struct Ceilings at line 1 column 50",
    ),
    (
        r#"{"m":"Accept","relay":"r","ticket":1}"#,
        "malformed Accept: missing field `bound-for` at line 1 column 37",
    ),
    (
        r#"{"m":"Accept","relay":"r","ticket":1,"bound-for":1,"valid-until":3,"cls":"zz"}"#,
        r#"Accept has an unknown class: "zz""#,
    ),
    (
        r#"{"m":"Endpoints","relay":"r","kind":"whole","bank":7}"#,
        "Endpoints refers to a bank without an Inventory",
    ),
    (r#"{"m":"Withdrawn","relay":"r"}"#, "malformed Withdrawn: missing field `ticket` at line 1 column 29"),
    (r#"{"m":"Inventory"}"#, "malformed Inventory: missing field `bank` at line 1 column 17"),
];

#[test]
fn a_rejected_event_is_reported_with_its_line_and_cause() {
    for (event, expected) in REJECTED_EVENTS {
        let batch = format!(r#"{{"now":0,"happened":[{{"m":"Spawn","relay":"r"}},{event}]}}"#);
        let (code, output, error) = run(&format!("{{\"now\":0,\"happened\":[]}}\n{batch}\n"));
        assert_eq!((code, output.as_str()), (Some(1), "{\"cmds\":[]}\n"), "{event}");
        assert_eq!(error, format!("juniperwing-adapter: line 2: {expected}\n"));
    }
}
