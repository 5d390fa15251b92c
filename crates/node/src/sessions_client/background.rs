//! Background commits: turns that are committed without a waiting caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use juniperwing_protocol::session::FinishTurn;
use tokio::sync::Semaphore;

use super::SessionsClient;

/// How long a background commit is retried.
const BACKGROUND_COMMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of concurrent background commits.
const MAX_BACKGROUND_COMMITS: usize = 1_024;

/// The background commits of a client, shared with its clones.
#[derive(Clone)]
pub(super) struct BackgroundCommits {
    permits: Arc<Semaphore>,
    failed: Arc<AtomicU64>,
}

impl BackgroundCommits {
    pub(super) fn new() -> Self {
        BackgroundCommits {
            permits: Arc::new(Semaphore::new(MAX_BACKGROUND_COMMITS)),
            failed: Arc::default(),
        }
    }

    fn count_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }
}

impl SessionsClient {
    /// Commits a turn in the background, with retries for up to ten seconds. If too many commits are in flight, or the
    /// retries time out, the turn may stay uncommitted, and its reservation then counts in full against the budget.
    pub fn finish_in_background(&self, finish: FinishTurn) {
        let permits = Arc::clone(&self.background.permits);
        let Ok(permit) = permits.try_acquire_owned() else { return self.background.count_failed() };
        let client = self.clone();
        tokio::spawn(async move {
            if client.finish(finish, BACKGROUND_COMMIT_TIMEOUT).await.is_err() {
                client.background.count_failed();
            }
            drop(permit);
        });
    }

    /// Waits until no background commit is in flight.
    pub async fn wait_for_background_commits(&self) {
        // The semaphore is never closed.
        let _ = self.background.permits.acquire_many(MAX_BACKGROUND_COMMITS as u32).await;
    }

    /// The number of background commits in flight.
    pub fn background_commits(&self) -> usize {
        MAX_BACKGROUND_COMMITS - self.background.permits.available_permits()
    }

    /// The number of background commits that failed or were dropped.
    pub fn failed_commits(&self) -> u64 {
        self.background.failed.load(Ordering::Relaxed)
    }
}
