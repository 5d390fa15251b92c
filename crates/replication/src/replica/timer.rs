//! The timer of a replica and its election timeout.

use juniperwing_clock::{Span, Time};

use super::{Replica, Stage};
use crate::interface::Command;
use crate::settings::Timings;
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Requests a tick if the requested one has expired or would be too late.
    pub(super) fn arm_timer(&mut self, now: Time) {
        let deadline =
            self.next_deadline(now).min(self.persistence.retry_at()).min(self.persistence.stall_deadline());
        let is_expired = self.timer_at.is_none_or(|at| at <= now || deadline < at);
        if is_expired && deadline != Time::NEVER {
            self.timer_at = Some(deadline);
            self.command(Command::WakeAt(deadline));
        }
    }

    /// The next time at which the current stage must act if no message arrives.
    fn next_deadline(&self, now: Time) -> Time {
        match &self.stage {
            Stage::Following if self.must_request_join(now) => self.join_retry_at.min(self.election_at),
            Stage::Following => self.election_at,
            Stage::PreVote(pre_vote) => pre_vote.expires_at,
            Stage::Candidate(election) => election.next_deadline(),
            Stage::Primary => {
                self.leadership.as_ref().map_or(self.election_at, |leadership| leadership.heartbeat_at)
            }
        }
    }

    /// Draws the time to wait for a primary. It increases with the position in the in-sync set, so that the
    /// in-sync replicas do not compete in an election.
    pub(super) fn draw_election_timeout(&mut self) -> Span {
        let Timings { election_timeout, election_stagger, .. } = self.settings.timings;
        let position =
            self.known_epoch.in_sync.iter().position(|disk| *disk == self.settings.local_voter.disk);
        let rank = position.unwrap_or_default().saturating_sub(1);
        election_timeout
            + election_stagger.mul_f64(rank as f64)
            + self.jitter.below(election_stagger.mul_f64(0.5))
    }
}
