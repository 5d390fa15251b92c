//! Turns and budgets: what a relay asks the primary of a program's partition.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::identity::{EpochNumber, PartitionId, ProgramId, RequestId};

/// A partition in the epoch by which the sender goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartitionEpoch {
    /// The partition.
    pub partition: PartitionId,
    /// Its epoch.
    pub epoch: EpochNumber,
}

/// A question to the primary of a partition.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionRequest {
    /// The partition of the program.
    pub partition: PartitionId,
    /// The epoch by which the asker chose this store.
    pub epoch: EpochNumber,
    /// What is asked.
    pub body: SessionCall,
}

/// What is asked of a partition's primary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionCall {
    /// Before a turn is sent to an endpoint: reserve and fetch.
    Begin(BeginTurn),
    /// After a turn has ended, whole or not: settle, and keep it where the route says so.
    Finish(FinishTurn),
    /// Is this turn kept here? Asked of other partitions if its own does not know it.
    Find {
        /// The turn.
        turn: RequestId,
        /// The partitions that are asked, all of them led by the store that is asked. They stand instead of
        /// the one that the request names.
        partitions: Vec<PartitionEpoch>,
    },
}

/// A turn that is about to run. The same request may be begun again; it counts once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BeginTurn {
    /// The program.
    pub program: ProgramId,
    /// The try.
    pub request: RequestId,
    /// The turn that it continues from.
    pub previous: Option<RequestId>,
    /// Tokens that all turns of the program may generate together; `None` if there is no limit.
    pub budget: Option<u64>,
    /// The most that this turn may generate.
    pub max_tokens: u64,
    /// Turns of another program that this one continues from, found in another partition: to be kept here too.
    pub imported: Vec<Turn>,
}

/// A turn that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishTurn {
    /// The program.
    pub program: ProgramId,
    /// The try.
    pub request: RequestId,
    /// Tokens handed to the client.
    pub tokens: u64,
    /// The turn itself, if its answer is whole and its route keeps turns.
    pub stored_turn: Option<Turn>,
}

/// A kept turn. Never changes but for its expiry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The try that ran it.
    pub request: RequestId,
    /// The turn before.
    pub previous: Option<RequestId>,
    /// What the client sent.
    #[serde(with = "crate::shared_bytes")]
    pub input: Arc<[u8]>,
    /// The data of each event, each with a line feed behind.
    #[serde(with = "crate::shared_bytes")]
    pub output: Arc<[u8]>,
    /// For how long it is kept from now on, in milliseconds; with it the turns before it.
    pub retention_ms: u64,
    /// The endpoint instance that ran it and may still hold its prompt.
    pub endpoint: Option<Arc<str>>,
}

/// What a partition's primary answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionReply {
    /// The reservation is on enough disks. The chain up to `previous` comes oldest first.
    TurnBegun {
        /// The turns before, oldest first.
        chain: Vec<Turn>,
    },
    /// The budget is spent: the turn must not run.
    BudgetExhausted,
    /// The partition does not know the turn, and it is certain of that.
    UnknownTurn,
    /// The turn is settled, and kept if that was asked, on enough disks.
    TurnFinished,
    /// The turn asked for and those before it, oldest first.
    TurnFound {
        /// The chain.
        chain: Vec<Turn>,
    },
    /// Not the primary of the partition in the epoch named, or not certain to be.
    NotPrimary {
        /// The epoch that this store goes by.
        epoch: EpochNumber,
    },
    /// It cannot be done now: replicas are missing, or there is no room.
    Unavailable,
}
