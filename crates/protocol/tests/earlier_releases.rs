//! Messages of relays of earlier releases, which lack fields that were added at the end, are still understood.

use std::fs;
use std::path::Path;

use juniperwing_protocol::session::{BeginTurn, FinishTurn, RecordOutput, SessionCall, TurnLease};
use juniperwing_protocol::{Envelope, Message};

/// Decodes a message that was recorded before relays sent leases.
fn decode(name: &str) -> SessionCall {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/before-leases");
    let bytes = fs::read(folder.join(format!("{name}.bin"))).expect("read a golden file");
    let (envelope, _) = Envelope::decode(&bytes).expect("an envelope").expect("a complete envelope");
    match envelope.message {
        Message::SessionRequest(request) => request.body,
        other => panic!("{other:?}"),
    }
}

// Guards against relays that serve no turn while the stores are already of the next release.
#[test]
fn a_turn_begun_by_an_earlier_release_has_the_lease_that_it_had_then() {
    for name in ["session-begin", "session-begin-first"] {
        let SessionCall::Begin(BeginTurn { max_tokens, lease, .. }) = decode(name) else { panic!("{name}") };
        assert_eq!((max_tokens, lease), (802, TurnLease::default()), "{name}");
    }
    assert_eq!(TurnLease::default().total_ms(), 60_000);
}

#[test]
fn a_turn_finished_by_an_earlier_release_has_the_shortest_retention() {
    for name in ["session-finish", "session-finish-unkept"] {
        let SessionCall::Finish(FinishTurn { tokens, retention_ms, .. }) = decode(name) else {
            panic!("{name}")
        };
        assert_eq!((tokens, retention_ms), (803, 0), "{name}");
    }
}

#[test]
fn output_recorded_by_an_earlier_release_has_the_shortest_retention() {
    let SessionCall::RecordOutput(RecordOutput { first, events, retention_ms, .. }) =
        decode("session-record-output")
    else {
        panic!("another call")
    };
    assert_eq!((first, events.len(), retention_ms), (811, 2, 0));
}
