//! Renewal of the leases of turns that run for long.

use std::sync::atomic::Ordering;
use std::time::Duration;

use juniperwing_protocol::session::{MAX_TURN_LEASE_MS, RenewTurn, SessionCall, SessionReply};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

use super::{CallUnconfirmed, RETRY_DELAY, SessionsClient};

/// How often a lease is renewed. As much time is left to retry a renewal before the lease ends.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(MAX_TURN_LEASE_MS / 2);

/// Renews the lease of a turn in the background until it is dropped.
#[derive(Debug)]
#[must_use = "the renewal ends when this is dropped"]
pub struct LeaseRenewal(AbortHandle);

impl LeaseRenewal {
    /// Takes over a task that renews a lease until it is aborted.
    pub fn new(task: AbortHandle) -> Self {
        LeaseRenewal(task)
    }
}

impl Drop for LeaseRenewal {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Renews a lease at intervals of half a lease; never returns. After a failure the lease is renewed again without waiting
/// for the interval, since it may end before.
pub async fn renew_at_intervals<Renewal, Failure>(mut renew: impl FnMut() -> Renewal)
where
    Renewal: Future<Output = Result<(), Failure>>,
{
    loop {
        sleep(RENEWAL_INTERVAL).await;
        while renew().await.is_err() {
            sleep(RETRY_DELAY).await;
        }
    }
}

impl SessionsClient {
    /// Renews the lease of a turn in the background, up to the turn's deadline. If no renewal succeeds before the lease
    /// ends, the store rejects the turn when it is finished, unless its program was retained anyway.
    pub fn renew_in_background(&self, renew: RenewTurn, deadline: Instant) -> LeaseRenewal {
        let client = self.clone();
        let renew_once = move || {
            let (client, mut renew) = (client.clone(), renew.clone());
            let remaining = deadline.saturating_duration_since(Instant::now());
            renew.lease.duration_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
            async move {
                let renewed = client.renew(renew, RENEWAL_INTERVAL).await;
                client.failed_renewals.fetch_add(u64::from(renewed.is_err()), Ordering::Relaxed);
                renewed
            }
        };
        LeaseRenewal::new(tokio::spawn(renew_at_intervals(renew_once)).abort_handle())
    }

    /// The number of renewals of leases that failed.
    pub fn failed_renewals(&self) -> u64 {
        self.failed_renewals.load(Ordering::Relaxed)
    }

    /// Renews the lease of a turn once.
    ///
    /// # Errors
    ///
    /// If the renewal is not confirmed by the required number of replicas within `max_wait`.
    pub async fn renew(&self, renew: RenewTurn, max_wait: Duration) -> Result<(), CallUnconfirmed> {
        let program = renew.program.clone();
        self.call_until_confirmed(&program, SessionCall::Renew(renew), &SessionReply::TurnRenewed, max_wait)
            .await
    }
}
