//! Background commits: turns that are committed without a waiting caller.
//!
//! A turn that is not committed counts in full against its budget until its reservation expires. A commit is therefore
//! retried for that long: closely at first, and then at intervals. Each of the two phases has a limit of its own, so that
//! commits to stores that stay unavailable leave room for those to others.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use juniperwing_protocol::session::{FinishTurn, MAX_TURN_LEASE_MS};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep};

use super::{ATTEMPT_TIMEOUT, CallUnconfirmed, SessionsClient};

/// How long a commit is retried without a break.
const PROMPT_PHASE: Duration = Duration::from_secs(10);
/// The interval between later tries.
const LATE_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum number of concurrent commits in each phase.
const MAX_COMMITS_PER_PHASE: usize = 1_024;

/// The background commits of a client, shared with its clones.
#[derive(Clone)]
pub(super) struct BackgroundCommits {
    prompt: Arc<Semaphore>,
    late: Arc<Semaphore>,
    failed: Arc<AtomicU64>,
}

impl BackgroundCommits {
    pub(super) fn new() -> Self {
        BackgroundCommits {
            prompt: Arc::new(Semaphore::new(MAX_COMMITS_PER_PHASE)),
            late: Arc::new(Semaphore::new(MAX_COMMITS_PER_PHASE)),
            failed: Arc::default(),
        }
    }

    fn count_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }
}

impl SessionsClient {
    /// Commits a turn in the background, with retries until its reservation has expired. If too many commits are in
    /// flight, the turn may stay uncommitted, and its reservation then counts in full against the budget.
    pub fn finish_in_background(&self, finish: FinishTurn) {
        let permits = Arc::clone(&self.background.prompt);
        let Ok(permit) = permits.try_acquire_owned() else { return self.background.count_failed() };
        let client = self.clone();
        tokio::spawn(async move {
            if client.finish_with_retries(finish, permit).await.is_err() {
                client.background.count_failed();
            }
        });
    }

    async fn finish_with_retries(
        &self, finish: FinishTurn, prompt_permit: OwnedSemaphorePermit,
    ) -> Result<(), CallUnconfirmed> {
        let gives_up_at = Instant::now() + reservation_lifetime(&finish);
        let mut result = self.finish(finish.clone(), PROMPT_PHASE).await;
        if result.is_ok() {
            return result;
        }
        let Ok(_late_permit) = self.background.late.try_acquire() else { return result };
        drop(prompt_permit);
        while result.is_err() && Instant::now() < gives_up_at {
            sleep(LATE_RETRY_INTERVAL).await;
            result = self.finish(finish.clone(), ATTEMPT_TIMEOUT).await;
        }
        result
    }

    /// Waits until no background commit is in flight.
    pub async fn wait_for_background_commits(&self) {
        // The semaphores are never closed. A commit takes a permit of the late phase before it returns the other one.
        for permits in [&self.background.prompt, &self.background.late] {
            let _ = permits.acquire_many(MAX_COMMITS_PER_PHASE as u32).await;
        }
    }

    /// The number of background commits in flight.
    pub fn background_commits(&self) -> usize {
        let in_flight = |permits: &Semaphore| MAX_COMMITS_PER_PHASE - permits.available_permits();
        in_flight(&self.background.prompt) + in_flight(&self.background.late)
    }

    /// The number of background commits that failed or were dropped.
    pub fn failed_commits(&self) -> u64 {
        self.background.failed.load(Ordering::Relaxed)
    }
}

/// The longest time from now on for which the reservation of a turn that has ended may count.
fn reservation_lifetime(finish: &FinishTurn) -> Duration {
    Duration::from_millis(MAX_TURN_LEASE_MS.saturating_add(finish.retention_ms))
}
