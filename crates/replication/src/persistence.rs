//! Tracks which state is on disk, and defers actions until the state that they depend on is durable.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{ReplicationBody, Version};

use crate::interface::PersistToken;

/// The maximum number of deferred actions. Further ones are dropped; the peers resend their requests.
const MAX_DEFERRED_ACTIONS: usize = 256;

/// Delay before a failed write is retried.
const WRITE_RETRY_INTERVAL: Span = Span::from_millis(200);

/// A write that takes longer counts as stalled: a primary whose disk hangs steps down, so that a keeper with
/// a working disk can take over.
const WRITE_STALL_TIMEOUT: Span = Span::from_millis(1_500);

/// An action that is executed once everything that it depends on is on disk.
#[derive(Clone, Debug)]
pub(crate) enum DeferredAction {
    /// Send a message.
    Send(SocketAddr, ReplicationBody),
    /// Count this keeper's own promise.
    CountOwnPromise(EpochNumber),
    /// Count this keeper's own acceptance.
    CountOwnAccept(EpochNumber),
}

/// The write in progress.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    /// The generation that is on disk once the write has succeeded.
    generation: u64,
    /// The version of the state in it.
    version: Version,
    started_at: Time,
}

/// The state of the disk. One record is written at a time; all changes made meanwhile are part of the next
/// record.
///
/// Each change of the persistent state starts a new generation.
#[derive(Clone, Debug)]
pub(crate) struct Persistence {
    latest_generation: u64,
    /// At most `latest_generation`.
    durable_generation: u64,
    durable_version: Version,
    pending_write: Option<PendingWrite>,
    /// When a failed write is retried; `None` if the last one succeeded.
    retry_at: Option<Time>,
    /// Whether the write in progress has reached the stall timeout.
    is_stalled: bool,
    /// The deferred actions in order, each with the generation that it waits for.
    deferred: VecDeque<(u64, DeferredAction)>,
}

impl Persistence {
    /// A disk that holds `version`.
    pub(crate) fn new(version: Version) -> Self {
        Persistence {
            latest_generation: 0,
            durable_generation: 0,
            durable_version: version,
            pending_write: None,
            retry_at: None,
            is_stalled: false,
            deferred: VecDeque::new(),
        }
    }

    /// Records a change of the persistent state.
    pub(crate) fn mark_dirty(&mut self) {
        self.latest_generation += 1;
    }

    /// The version of the state that is known to be on disk.
    pub(crate) fn durable_version(&self) -> Version {
        self.durable_version
    }

    /// Whether the newest generation is on disk.
    pub(crate) fn is_up_to_date(&self) -> bool {
        self.durable_generation == self.latest_generation
    }

    /// Whether the last write failed, or the one in progress has stalled.
    pub(crate) fn is_failing(&self) -> bool {
        self.retry_at.is_some() || self.is_stalled
    }

    /// When the write in progress will count as stalled; [`Time::NEVER`] if there is none or it already does.
    pub(crate) fn stall_deadline(&self) -> Time {
        let write = self.pending_write.filter(|_| !self.is_stalled);
        write.map_or(Time::NEVER, |write| write.started_at + WRITE_STALL_TIMEOUT)
    }

    /// Returns `true` once when the write in progress has stalled.
    pub(crate) fn detect_stall(&mut self, now: Time) -> bool {
        let has_stalled = now >= self.stall_deadline();
        self.is_stalled |= has_stalled;
        has_stalled
    }

    /// When a failed write is retried; [`Time::NEVER`] while a write is in progress.
    pub(crate) fn retry_at(&self) -> Time {
        self.retry_at.filter(|_| self.pending_write.is_none()).unwrap_or(Time::NEVER)
    }

    /// Defers an action until all changes up to now are on disk.
    pub(crate) fn defer(&mut self, action: DeferredAction) {
        if self.deferred.len() < MAX_DEFERRED_ACTIONS {
            self.deferred.push_back((self.latest_generation, action));
        }
    }

    /// Removes and returns the next action whose generation is on disk.
    pub(crate) fn next_released(&mut self) -> Option<DeferredAction> {
        let (generation, _) = self.deferred.front()?;
        if *generation > self.durable_generation {
            return None;
        }
        self.deferred.pop_front().map(|(_, action)| action)
    }

    /// Starts a write of a record with `version` if there is something to write and no write is in progress.
    pub(crate) fn start_write(&mut self, now: Time, version: Version) -> Option<PersistToken> {
        let is_waiting_for_retry = self.retry_at.is_some_and(|at| now < at);
        if is_waiting_for_retry || self.pending_write.is_some() || self.is_up_to_date() {
            return None;
        }
        let generation = self.latest_generation;
        self.pending_write = Some(PendingWrite { generation, version, started_at: now });
        Some(PersistToken(generation))
    }

    /// Records that the write of `token` has succeeded.
    pub(crate) fn complete_write(&mut self, token: PersistToken) {
        let Some(write) = self.pending_write.take_if(|write| write.generation == token.0) else { return };
        self.durable_generation = write.generation;
        self.durable_version = write.version;
        self.retry_at = None;
        self.is_stalled = false;
    }

    /// Records that the write of `token` has failed.
    pub(crate) fn fail_write(&mut self, now: Time, token: PersistToken) {
        if self.pending_write.take_if(|write| write.generation == token.0).is_some() {
            self.retry_at = Some(now + WRITE_RETRY_INTERVAL);
            self.is_stalled = false;
        }
    }
}
