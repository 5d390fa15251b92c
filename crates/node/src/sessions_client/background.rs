//! Commits of turns for which nobody waits.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use juniperwing_protocol::session::FinishTurn;
use tokio::sync::Semaphore;

use super::SessionsClient;

/// How long a commit in the background is tried.
const BACKGROUND_COMMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of commits in the background at the same time.
const MAX_BACKGROUND_COMMITS: usize = 1_024;

/// The commits in the background of a client and its clones.
#[derive(Clone)]
pub(super) struct BackgroundCommits {
    permits: Arc<Semaphore>,
    lost: Arc<AtomicU64>,
}

impl BackgroundCommits {
    pub(super) fn new() -> Self {
        BackgroundCommits { permits: Arc::new(Semaphore::new(MAX_BACKGROUND_COMMITS)), lost: Arc::default() }
    }

    fn count_lost(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }
}

impl SessionsClient {
    /// Commits a turn in the background, with retries for about ten seconds. If too many are in flight, or the time is
    /// over, the turn's reservation counts in full.
    pub fn finish_in_background(&self, finish: FinishTurn) {
        let permits = Arc::clone(&self.background.permits);
        let Ok(permit) = permits.try_acquire_owned() else { return self.background.count_lost() };
        let client = self.clone();
        tokio::spawn(async move {
            if client.finish(finish, BACKGROUND_COMMIT_TIMEOUT).await.is_err() {
                client.background.count_lost();
            }
            drop(permit);
        });
    }

    /// Waits until no turn is being committed in the background.
    pub async fn wait_for_background_commits(&self) {
        // The semaphore is never closed.
        let _ = self.background.permits.acquire_many(MAX_BACKGROUND_COMMITS as u32).await;
    }

    /// The number of turns that are being committed in the background.
    pub fn background_commits(&self) -> usize {
        MAX_BACKGROUND_COMMITS - self.background.permits.available_permits()
    }

    /// The number of turns that could not be committed in the background.
    pub fn lost_commits(&self) -> u64 {
        self.background.lost.load(Ordering::Relaxed)
    }
}
