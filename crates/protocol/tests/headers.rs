//! Names of HTTP headers are what clients, endpoints and operators write; they stay as they are.

/// Read as text, so that names of the constants are free.
const SOURCE: &str = include_str!("../src/headers.rs");

#[test]
fn header_names_stay() {
    let constants = SOURCE.lines().filter(|line| line.starts_with("pub const "));
    let mut names: Vec<&str> = constants.map(|line| line.split('"').nth(1).expect("a name")).collect();
    names.sort_unstable();
    let expected = [
        "budget",
        "finish-ms",
        "if-match",
        "last-event-id",
        "previous",
        "priority",
        "program",
        "retry-after",
        "session",
        "x-deadline-ms",
        "x-expect-instance",
        "x-instance-id",
        "x-model",
        "x-not-executed",
        "x-prompt-prefix",
        "x-request-id",
        "x-server-load",
        "x-server-signature",
        "x-token-count",
    ];
    assert_eq!(names, expected);
}
