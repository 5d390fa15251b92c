//! Decides when a primary starts an election for its own next epoch.

use juniperwing_clock::{Span, Time};

use super::Replica;
use crate::epoch_plan::{EpochPlan, EpochPlanner};
use crate::leadership::Leadership;
use crate::state::ReplicatedState;

/// The limit of the random part of the delay before an election for an epoch above a promised number.
const MAX_NEW_EPOCH_JITTER: Span = Span::from_millis(100);

impl<S: ReplicatedState> Replica<S> {
    /// Schedules an election because a voter has promised a number above that of this epoch. Unless another
    /// keeper becomes primary with that number, this primary starts an election for a higher epoch, so that
    /// the voter can follow it again.
    pub(super) fn schedule_new_epoch(&mut self, now: Time) {
        let delay =
            self.settings.timings.election_timeout.mul_f64(0.5) + self.jitter.below(MAX_NEW_EPOCH_JITTER);
        let Some(leadership) = &mut self.leadership else { return };
        leadership.new_epoch_at.get_or_insert(now + delay);
    }

    /// Starts an election if one is due or the plan differs from the current epoch. Returns whether it has
    /// started one.
    pub(super) fn change_epoch(&mut self, now: Time) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let plan = self.plan(now, leadership);
        let is_new_epoch_due = leadership.new_epoch_at.is_some_and(|at| now >= at);
        if self.find_successor(now).is_some()
            || !(is_new_epoch_due || plan.differs_from(&self.acceptor.accepted))
        {
            return false;
        }
        self.start_election(now, Some(plan));
        true
    }

    /// The voters and in-sync replicas of the next epoch.
    fn plan(&self, now: Time, leadership: &Leadership<S::Change>) -> EpochPlan {
        let committed = self.committed.as_ref().filter(|_| leadership.is_synchronized);
        let planner = EpochPlanner {
            now,
            settings: &self.settings,
            epoch: &self.acceptor.accepted,
            peers: leadership.peers.values().collect(),
            latest: self.latest.version,
            committed: committed.map(|committed| committed.version),
        };
        planner.plan()
    }
}
