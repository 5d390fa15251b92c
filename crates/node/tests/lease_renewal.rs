//! When the lease of a turn is renewed, in virtual time.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::link::{Link, LinkPool, MessageHandler, ReplySender};
use juniperwing_node::sessions_client::{SessionsClient, renew_at_intervals};
use juniperwing_node::sync::watch;
use juniperwing_protocol::session::{RenewTurn, TurnLease};
use juniperwing_protocol::{Message, ProgramId, RequestId};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);
/// How long a call to stores that do not reply is retried before it fails.
const CALL_TIMEOUT: Duration = RENEWAL_INTERVAL;
/// The shortest time for which the stores retain a program after the last renewal: a lease, and the slack for clocks.
const SHORTEST_RETENTION: Duration = Duration::from_secs(70);
const RUN_TIME: Duration = Duration::from_secs(125);

/// Receives no messages.
struct NoMessages;

impl MessageHandler for NoMessages {
    fn handle_message(&self, _: &Link, _: Message, _: ReplySender) {}
}

/// Renews a lease whose stores are away for a time, and returns when it was renewed, counted from its beginning.
async fn renewals_with_outage(outage: std::ops::Range<Duration>) -> Vec<Duration> {
    let begun_at = Instant::now();
    let renewals = Arc::new(Mutex::new(Vec::new()));
    let renew = || {
        let (renewals, outage) = (Arc::clone(&renewals), outage.clone());
        async move {
            let called_at = Instant::now();
            if outage.contains(&(called_at - begun_at)) {
                let returns_at = begun_at + outage.end;
                sleep_until(returns_at.min(called_at + CALL_TIMEOUT)).await;
                if Instant::now() < returns_at {
                    return Err(());
                }
            }
            renewals.lock().unwrap().push(begun_at.elapsed());
            Ok(())
        }
    };
    assert!(
        timeout(RUN_TIME, renew_at_intervals(renew)).await.is_err(),
        "a lease is renewed until it is dropped"
    );
    let renewals = renewals.lock().unwrap();
    renewals.iter().map(|renewed_at| Duration::from_secs(renewed_at.as_secs())).collect()
}

fn seconds(numbers: &[u64]) -> Vec<Duration> {
    numbers.iter().copied().map(Duration::from_secs).collect()
}

#[tokio::test(start_paused = true)]
async fn a_lease_is_renewed_at_intervals() {
    assert_eq!(renewals_with_outage(Duration::ZERO..Duration::ZERO).await, seconds(&[30, 60, 90, 120]));
}

// Guards against a program that expires after its stores are back, since a failed renewal waited for the next interval.
#[tokio::test(start_paused = true)]
async fn a_lease_is_renewed_as_soon_as_the_stores_are_back() {
    for returns_after in [31, 59, 61, 65, 69] {
        let back_at = Duration::from_secs(returns_after);
        let renewals = renewals_with_outage(Duration::from_secs(1)..back_at).await;
        let first = renewals[0];
        assert!((back_at..SHORTEST_RETENTION).contains(&first), "back after {returns_after} s: {first:?}");
    }
}

// Guards against a busy loop where a store rejects the renewal at once.
#[tokio::test(start_paused = true)]
async fn renewals_that_fail_at_once_are_spaced() {
    let mut calls = 0_u32;
    let rejected = renew_at_intervals(|| {
        calls += 1;
        std::future::ready(Err::<(), ()>(()))
    });
    assert!(timeout(RENEWAL_INTERVAL + Duration::from_secs(1), rejected).await.is_err());
    assert!((1..=25).contains(&calls), "{calls} calls in a second");
}

// Guards against an outage of the stores that leaves no trace while turns run.
#[tokio::test(start_paused = true)]
async fn renewals_that_the_stores_do_not_confirm_are_counted() {
    let pool = Arc::new(LinkPool::new(Arc::new(NoMessages)));
    // The map names no store.
    let (_map, maps) = watch::channel(Arc::default());
    let client = SessionsClient::new(pool, maps);
    let renew = RenewTurn {
        program: ProgramId::from("p"),
        request: RequestId::from("long"),
        previous: None,
        reserved_tokens: Some(90),
        lease: TurnLease::default(),
    };
    let _renewal = client.renew_in_background(renew, Instant::now() + RUN_TIME);
    sleep(RENEWAL_INTERVAL).await;
    assert_eq!(client.failed_renewals(), 0);
    sleep(2 * CALL_TIMEOUT).await;
    assert!((1..=2).contains(&client.failed_renewals()), "{}", client.failed_renewals());
}
