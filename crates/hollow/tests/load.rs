//! The command line of hollow loads: bounds and clear errors.

use std::time::Duration;

use juniperwing_hollow::load::{Load, LoadError};

fn parse(text: &str) -> Result<Load, LoadError> {
    Load::parse(&text.split_whitespace().map(str::to_owned).collect::<Vec<_>>())
}

#[test]
fn a_load_is_read_with_its_defaults() {
    let load = parse("--keepers 127.0.0.1:1,127.0.0.2:1 --count 300").unwrap();
    assert_eq!((load.count, load.duration, load.keepers.len()), (300, Duration::from_secs(10), 2));
    assert_eq!((load.heartbeat, load.changes_per_s), (Duration::from_secs(1), 0.0));
}

#[test]
fn values_beyond_their_bounds_are_refused_by_name() {
    for (option, value) in [
        ("count", "0"),
        ("count", "20001"),
        ("seconds", "601"),
        ("heartbeat-ms", "1"),
        ("changes-per-s", "-1"),
        ("turns-per-s", "NaN"),
        ("turn-bytes", "many"),
        ("depth", "0"),
    ] {
        let error = parse(&format!("--keepers 127.0.0.1:1 --{option} {value}")).unwrap_err();
        assert!(error.to_string().starts_with(&format!("--{option}: ")), "{error}");
    }
}

#[test]
fn keepers_are_needed_and_unknown_words_refused() {
    assert!(parse("").unwrap_err().to_string().starts_with("--keepers: "));
    assert!(matches!(parse("--keepers 127.0.0.1:1 more"), Err(LoadError::Syntax { .. })));
    assert!(matches!(parse("--colour red"), Err(LoadError::Syntax { .. })));
}
