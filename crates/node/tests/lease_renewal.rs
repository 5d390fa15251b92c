//! When the lease of a turn is renewed, in virtual time.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use juniperwing_node::sessions_client::renew_at_intervals;
use tokio::time::{Instant, sleep_until, timeout};

const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);
/// How long a call to stores that do not reply is retried before it fails.
const CALL_TIMEOUT: Duration = RENEWAL_INTERVAL;
/// The shortest time for which the stores retain a program after the last renewal: a lease, and the slack for clocks.
const SHORTEST_RETENTION: Duration = Duration::from_secs(70);
const RUN_TIME: Duration = Duration::from_secs(125);

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
