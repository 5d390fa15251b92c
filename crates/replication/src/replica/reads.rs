//! Reads on the primary: each is confirmed by a round of heartbeats that began after it.

use std::collections::BTreeSet;

use juniperwing_clock::Time;
use juniperwing_protocol::DiskId;
use juniperwing_protocol::replication::is_majority;

use super::Replica;
use crate::error::ReadError;
use crate::interface::{Command, ReadToken};
use crate::leadership::{MAX_PENDING_READS, PendingRead};
use crate::state::ReplicatedState;

impl<S: ReplicatedState> Replica<S> {
    /// Queues a read for a round of heartbeats that begins after it. While the round of an earlier read is in
    /// progress, the next round begins when a majority has answered it, so that many reads share one round.
    pub(super) fn handle_read(&mut self, now: Time, token: ReadToken) {
        let error = match &mut self.leadership {
            Some(leadership) if leadership.pending_reads.len() >= MAX_PENDING_READS => ReadError::Busy,
            Some(leadership) if leadership.has_served => {
                if leadership.pending_reads.is_empty() {
                    leadership.heartbeat_at = now;
                }
                leadership.pending_reads.push_back(PendingRead {
                    token,
                    requested_at: now,
                    required_round: leadership.heartbeat_round + 1,
                });
                return;
            }
            _ => ReadError::NotPrimary,
        };
        self.command(Command::ReadCompleted { token, outcome: Err(error) });
    }

    /// Confirms the reads whose round a majority has answered; starts the round of the next ones.
    pub(super) fn complete_reads(&mut self) {
        let local_disk = self.local_disk();
        let Some(leadership) = &mut self.leadership else { return };
        if !leadership.is_synchronized {
            return;
        }
        let voters = &self.acceptor.accepted.voters;
        let mut completed = Vec::new();
        while let Some(read) = leadership.pending_reads.front() {
            let acknowledging =
                leadership.peers.iter().filter(|(_, peer)| peer.acknowledged_round >= read.required_round);
            let mut responders: BTreeSet<DiskId> = acknowledging.map(|(disk, _)| *disk).collect();
            responders.insert(local_disk);
            let is_round_started = read.required_round <= leadership.heartbeat_round;
            if !is_round_started || !is_majority(voters, |disk| responders.contains(&disk)) {
                break;
            }
            completed.push(read.token);
            leadership.pending_reads.pop_front();
        }
        let heartbeat_round = leadership.heartbeat_round;
        if leadership.pending_reads.front().is_some_and(|read| read.required_round > heartbeat_round) {
            leadership.heartbeat_at = Time::default();
        }
        for token in completed {
            self.command(Command::ReadCompleted { token, outcome: Ok(()) });
        }
    }
}
