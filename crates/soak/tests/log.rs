//! A relay must keep serving when its log is not read. Writes to a full pipe block: a relay that waited for them would
//! stop answering.

use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use juniperwing_node::role::Role;
use juniperwing_soak::http::{Head, HttpError, encode_request, exchange};
use juniperwing_soak::network::{FRONTEND_PORT, Network, READINESS_PORT};
use tokio::process::Command;
use tokio::time::{Instant, sleep};

/// Time to fill a pipe: it holds 64 KiB, and a relay logs up to 100 lines of about 300 bytes per second.
const FILL_DURATION: Duration = Duration::from_secs(6);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

#[tokio::test]
async fn relay_serves_while_its_log_pipe_is_full() {
    let response = readiness_after_many_lines(Stdio::piped(), "unread").await;
    assert!(response.is_ok(), "the relay does not respond: {response:?}");
}

#[tokio::test]
async fn relay_serves_while_its_log_is_discarded() {
    let response = readiness_after_many_lines(Stdio::null(), "discarded").await;
    assert!(response.is_ok(), "the relay does not respond: {response:?}");
}

/// Response of a relay to a readiness probe after it has logged more than a pipe holds. Its standard error is held open
/// and never read.
async fn readiness_after_many_lines(standard_error: Stdio, name: &str) -> Result<(Head, Vec<u8>), HttpError> {
    let (network, _reservation) =
        Network::reserve(u64::from(std::process::id()) + name.len() as u64).unwrap();
    let address = network.machine(Role::Relay, 0);
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("log-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let settings = folder.join("relay.toml");
    let text = format!(
        "nodeName = \"relay-1\"\nipAddress = \"{address}\"\nzone = \"a\"\nephemeralPorts = [7380, 7395]\n\
         [listenersMap]\nfrontend = \"{address}:{FRONTEND_PORT}\"\nreadiness = \"{address}:{READINESS_PORT}\"\n"
    );
    std::fs::write(&settings, text).unwrap();
    let _relay = Command::new(env!("CARGO_BIN_EXE_juniperwing-soak"))
        .args(["node", "relay"])
        .args([folder.join("rules.json"), settings])
        .stdin(Stdio::piped())
        .stderr(standard_error)
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let frontend = network.listener(Role::Relay, 0, FRONTEND_PORT);
    let readiness = network.listener(Role::Relay, 0, READINESS_PORT);
    let until = Instant::now() + FILL_DURATION;
    while Instant::now() < until {
        // Each request is rejected and logged.
        let rejected_request = encode_request("GET", "/x", &[("Host", "h"), ("X-Request-Id", "q")], b"");
        let _ = exchange(frontend, &rejected_request, RESPONSE_TIMEOUT).await;
        sleep(Duration::from_millis(5)).await;
    }
    let probe = encode_request("GET", "/readyz", &[("Host", "relay")], b"");
    let response = exchange(readiness, &probe, RESPONSE_TIMEOUT).await;
    let _ = std::fs::remove_dir_all(&folder);
    response
}
