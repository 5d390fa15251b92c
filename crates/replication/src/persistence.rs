//! Keeps track of what is on disk, and holds answers back until what they rest on is there.

use std::collections::VecDeque;
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::EpochNumber;
use juniperwing_protocol::replication::{ReplicationBody, Version};

use crate::interface::PersistToken;

/// The most answers that wait for the disk; their senders ask again for those beyond.
const MAX_DEFERRED: usize = 256;

/// Before a failed write is tried again.
const RETRY: Span = Span::from_millis(200);

/// A write that takes so long counts as failed: whatever needs this keeper's disk is better done by another one.
const STALLED_AFTER: Span = Span::from_millis(1_500);

/// What is to be done once the disk holds what it rests on.
#[derive(Clone, Debug)]
pub(crate) enum Deferred {
    /// Send an answer.
    Send(SocketAddr, ReplicationBody),
    /// Count this keeper's own promise.
    OwnPromise(EpochNumber),
    /// Count this keeper's own acceptance.
    OwnAccept(EpochNumber),
}

#[derive(Clone, Copy, Debug)]
struct Writing {
    generation: u64,
    version: Version,
    began: Time,
}

/// One record is written at a time; all changes made meanwhile go into the next.
#[derive(Clone, Debug)]
pub(crate) struct Disk {
    wanted: u64,
    durable: u64,
    durable_version: Version,
    writing: Option<Writing>,
    retry_at: Option<Time>,
    /// Whether the write under way has taken for too long.
    stalled: bool,
    deferred: VecDeque<(u64, Deferred)>,
}

impl Disk {
    /// A disk that holds `version`.
    pub(crate) fn new(version: Version) -> Self {
        Disk {
            wanted: 0,
            durable: 0,
            durable_version: version,
            writing: None,
            retry_at: None,
            stalled: false,
            deferred: VecDeque::new(),
        }
    }

    /// Something that belongs on disk has changed.
    pub(crate) fn mark(&mut self) {
        self.wanted += 1;
    }

    /// The version of the state that is on disk for sure.
    pub(crate) fn version(&self) -> Version {
        self.durable_version
    }

    /// Whether the disk holds all that belongs there.
    pub(crate) fn is_clean(&self) -> bool {
        self.durable == self.wanted
    }

    /// Whether the last write failed, or the one under way has taken for too long.
    pub(crate) fn is_failing(&self) -> bool {
        self.retry_at.is_some() || self.stalled
    }

    /// When the write under way will have taken for too long.
    pub(crate) fn stalls_at(&self) -> Time {
        let writing = self.writing.filter(|_| !self.stalled);
        writing.map_or(Time::NEVER, |writing| writing.began + STALLED_AFTER)
    }

    /// Takes in how late it is. `true` if the write under way has just become one that takes too long.
    pub(crate) fn watch(&mut self, now: Time) -> bool {
        let stalls = now >= self.stalls_at();
        self.stalled |= stalls;
        stalls
    }

    /// When a failed write is tried again, unless it is being tried now.
    pub(crate) fn retry_at(&self) -> Time {
        self.retry_at.filter(|_| self.writing.is_none()).unwrap_or(Time::NEVER)
    }

    /// Holds `deferred` back until all changes up to now are on disk.
    pub(crate) fn defer(&mut self, deferred: Deferred) {
        if self.deferred.len() < MAX_DEFERRED {
            self.deferred.push_back((self.wanted, deferred));
        }
    }

    /// What rests on nothing that is missing on disk.
    pub(crate) fn release(&mut self) -> Option<Deferred> {
        let (generation, _) = self.deferred.front()?;
        if *generation > self.durable {
            return None;
        }
        self.deferred.pop_front().map(|(_, deferred)| deferred)
    }

    /// Begins to write if there is something to write and nothing is being written.
    pub(crate) fn begin(&mut self, now: Time, version: Version) -> Option<PersistToken> {
        let waits = self.retry_at.is_some_and(|at| now < at);
        if waits || self.writing.is_some() || self.wanted == self.durable {
            return None;
        }
        self.writing = Some(Writing { generation: self.wanted, version, began: now });
        Some(PersistToken(self.wanted))
    }

    /// The record of `token` is on disk.
    pub(crate) fn complete(&mut self, token: PersistToken) {
        let Some(writing) = self.writing.take_if(|writing| writing.generation == token.0) else { return };
        self.durable = writing.generation;
        self.durable_version = writing.version;
        self.retry_at = None;
        self.stalled = false;
    }

    /// The record of `token` could not be written.
    pub(crate) fn fail(&mut self, now: Time, token: PersistToken) {
        if self.writing.take_if(|writing| writing.generation == token.0).is_some() {
            self.retry_at = Some(now + RETRY);
            self.stalled = false;
        }
    }
}
