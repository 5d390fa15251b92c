//! Leases of turns: what a relay tells the stores of how long a turn may run, and when it renews that.

use std::sync::Arc;
use std::time::Duration;

use juniperwing_protocol::identity::RequestId;
use juniperwing_protocol::session::{RenewTurn, TurnLease};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::endpoint::{FakeEndpoint, ReceivedRequest, Step, chunk, last_chunk, stream_head};
use crate::support::{CONFIGURATION, RelayHarness, next_chunk, read, request, with_headers, with_timeout};

const EVENT: &str = "id: 1\ndata: one\n\n";
/// The deadline that the clients of long turns state, below the timeout of the route.
const LONG_DEADLINE_MS: u64 = 105_000;

fn one_event(request: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(request, "s"), chunk(EVENT), last_chunk()]
}

fn one_event_and_silence(request: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(request, "s"), chunk(EVENT), Step::Hang]
}

async fn wait_until_ended(renewal: &AbortHandle) {
    with_timeout(async {
        while !renewal.is_finished() {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

/// Sends a turn that continues `t1`, and returns what the stores were told of its renewal when it had ended.
async fn renewals_of(path: &str, budget: Option<&str>, deadline_ms: u64) -> Vec<RenewTurn> {
    let endpoint = FakeEndpoint::start("i-1", one_event).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let deadline = deadline_ms.to_string();
    let headers = [
        ("program", "p1"),
        ("session", "q1"),
        ("previous", "t1"),
        ("x-token-count", "1840,135"),
        ("x-deadline-ms", &deadline),
    ];
    let mut sent = with_headers(request("POST", path, "t2", "in"), &headers);
    if let Some(budget) = budget {
        sent = with_headers(sent, &[("budget", budget)]);
    }
    let response = read(harness.send(sent).await).await;
    assert_eq!(response.body.as_deref(), Some(EVENT.as_bytes()));
    let renewed = harness.stores.renewed_turns.lock().unwrap().clone();
    let mut renewals = Vec::new();
    for (renew, task) in renewed {
        wait_until_ended(&task).await;
        renewals.push(renew);
    }
    renewals
}

// Guards against a turn whose program the stores forget while it runs (review/6).
#[tokio::test]
async fn a_turn_that_may_outlast_its_lease_renews_it_until_it_ends() {
    let renewals = renewals_of("/kl/x", Some("1080"), LONG_DEADLINE_MS).await;
    let [renew] = renewals.as_slice() else { panic!("{renewals:?}") };
    assert_eq!((&*renew.program.0, &*renew.request.0), ("p1", "t2"));
    assert_eq!(renew.previous, Some(RequestId::from("t1")));
    assert_eq!(renew.reserved_tokens, Some(135));
    let TurnLease { duration_ms, retention_ms } = renew.lease;
    assert!((60_001..=LONG_DEADLINE_MS).contains(&duration_ms), "{duration_ms}");
    assert_eq!(retention_ms, 100_000);
}

#[tokio::test]
async fn a_turn_without_a_budget_renews_what_it_continues() {
    let renewals = renewals_of("/kl/x", None, LONG_DEADLINE_MS).await;
    let [renew] = renewals.as_slice() else { panic!("{renewals:?}") };
    assert_eq!((renew.previous.clone(), renew.reserved_tokens), (Some(RequestId::from("t1")), None));
}

// Guards against calls to the stores that short turns do not need.
#[tokio::test]
async fn a_turn_that_ends_within_its_lease_is_not_renewed() {
    assert_eq!(renewals_of("/kl/x", Some("1080"), 60_000).await, []);
    assert_eq!(renewals_of("/k/x", Some("1080"), LONG_DEADLINE_MS).await, [], "the timeout of the route");
}

// Guards against leases that outlive their clients.
#[tokio::test]
async fn the_renewal_ends_when_the_client_disconnects() {
    let endpoint = FakeEndpoint::start("i-1", one_event_and_silence).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let headers = [("program", "p1"), ("session", "q1"), ("budget", "1080"), ("x-deadline-ms", "105000")];
    let mut body =
        harness.send(with_headers(request("POST", "/kl/x", "t1", "in"), &headers)).await.into_body();
    next_chunk(&mut body).await.unwrap().unwrap();
    let (_, renewal) = harness.stores.renewed_turns.lock().unwrap()[0].clone();
    assert!(!renewal.is_finished());
    drop(body);
    wait_until_ended(&renewal).await;
}

#[tokio::test]
async fn the_lease_of_a_turn_lasts_until_its_deadline() {
    let endpoint = FakeEndpoint::start("i-1", one_event).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let headers = [("program", "p1"), ("budget", "1080"), ("x-deadline-ms", "7000")];
    read(harness.send(with_headers(request("POST", "/e/x", "t1", "in"), &headers)).await).await;
    let begun = harness.stores.begun_turns.lock().unwrap()[0].clone();
    assert!((6_000..=7_000).contains(&begun.lease.duration_ms), "{:?}", begun.lease);
    assert_eq!(begun.lease.retention_ms, 60_000, "the default");
}

/// Runs a turn on a route that retains turns for 100 s, and applies a configuration with another `retentionS` while it
/// runs; returns for how long the turn is stored.
async fn retention_after_change_to(retention_s: u64) -> u64 {
    let resume = Arc::new(Notify::new());
    let script = {
        let resume = Arc::clone(&resume);
        move |request: &ReceivedRequest| {
            vec![stream_head(request, "s"), chunk(EVENT), Step::Wait(Arc::clone(&resume)), last_chunk()]
        }
    };
    let endpoint = FakeEndpoint::start("i-1", script).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let headers = [("program", "p1"), ("session", "q1"), ("budget", "1080")];
    let mut body =
        harness.send(with_headers(request("POST", "/kl/x", "t1", "in"), &headers)).await.into_body();
    next_chunk(&mut body).await.unwrap().unwrap();
    let retention = format!("\"retentionS\":{retention_s}}}");
    harness.configure(2, &CONFIGURATION.replace("\"retentionS\":100}", &retention));
    resume.notify_one();
    assert!(next_chunk(&mut body).await.is_none(), "the response is complete");
    let finished = harness.stores.finished_turns.lock().unwrap();
    finished[0].stored_turn.as_ref().unwrap().retention_ms
}

// Guards against a turn that gets 404 within the `retentionS` that is in force when it ends.
#[tokio::test]
async fn a_turn_is_retained_by_the_configuration_in_force_at_its_end() {
    assert_eq!(retention_after_change_to(300).await, 300_000);
    assert_eq!(retention_after_change_to(10).await, 100_000, "never shorter than when it began");
}

// Guards against a client that is let down after a long silence of its stream, within its own deadline.
#[tokio::test]
async fn the_output_of_a_stream_is_recorded_for_as_long_as_its_client_may_resume_it() {
    let endpoint = FakeEndpoint::start("i-1", one_event).await;
    let harness = RelayHarness::with_endpoints(&[&endpoint]).await;
    let headers = [("program", "p1"), ("session", "q1"), ("x-deadline-ms", "105000")];
    read(harness.send(with_headers(request("POST", "/kr/x", "t1", "in"), &headers)).await).await;
    let recorded = harness.stores.recorded_outputs.lock().unwrap();
    assert_eq!(recorded[0].retention_ms, LONG_DEADLINE_MS);
}
