//! The lookup of a turn in all partitions.

use std::sync::Arc;

use juniperwing_protocol::RequestId;
use juniperwing_protocol::session::{SessionCall, SessionReply, Turn};
use juniperwing_protocol::subscription::StoreMap;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::routing::{LedPartitions, PartitionPrimary, partitions_by_primary};
use super::{SessionError, SessionsClient, StoreFailureReason, wait_before_retry};

/// What the stores know of a turn.
enum LookupResult {
    /// The turn and those before it, oldest first.
    Found(Vec<Turn>),
    /// No partition has it.
    NotFound,
    /// Some partition was not certain.
    Uncertain,
}

impl SessionsClient {
    /// Looks for a turn in all partitions until the result is certain; returns it with those before it, oldest first.
    ///
    /// # Errors
    ///
    /// If no partition has it, or the result is not certain at the `deadline`.
    pub(super) async fn find_turn(
        &self, turn: &RequestId, deadline: Instant,
    ) -> Result<Vec<Turn>, SessionError> {
        let mut map = self.map.clone();
        loop {
            let newest = Arc::clone(&map.borrow_and_update());
            match self.look_up_once(&newest, turn, deadline).await {
                LookupResult::Found(chain) => return Ok(chain),
                LookupResult::NotFound => return Err(SessionError::UnknownTurn),
                LookupResult::Uncertain => {
                    wait_before_retry(&mut map, deadline).await.ok_or(StoreFailureReason::Uncertain)?;
                }
            }
        }
    }

    /// Calls each store once, for all the partitions that it leads.
    async fn look_up_once(&self, map: &StoreMap, turn: &RequestId, deadline: Instant) -> LookupResult {
        let Some(primaries) = partitions_by_primary(map) else { return LookupResult::Uncertain };
        let mut calls = JoinSet::new();
        for LedPartitions { address, partitions } in primaries {
            let Some(first) = partitions.first().copied() else { continue };
            let primary = PartitionPrimary { partition: first.partition, epoch: first.epoch, address };
            let call = SessionCall::Find { turn: turn.clone(), partitions };
            let client = self.clone();
            calls.spawn(async move { client.call_once(primary, call, deadline).await });
        }
        let mut is_certain = true;
        while let Some(reply) = calls.join_next().await {
            match reply {
                Ok(Ok(SessionReply::TurnFound { chain })) => return LookupResult::Found(chain),
                Ok(Ok(SessionReply::UnknownTurn)) => {}
                _ => is_certain = false,
            }
        }
        if is_certain { LookupResult::NotFound } else { LookupResult::Uncertain }
    }
}
