//! Names of HTTP headers are part of the interface for clients, endpoints and operators and must not change.

/// Read as text, so that the constants may be renamed.
const SOURCE: &str = include_str!("../src/headers.rs");

#[test]
fn header_names_are_unchanged() {
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
