//! Lookup of a turn across all partitions.

use std::sync::Arc;

use juniperwing_protocol::RequestId;
use juniperwing_protocol::session::{SessionCall, SessionReply, Turn};
use juniperwing_protocol::subscription::StoreMap;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::routing::{LedPartitions, PartitionPrimary, partitions_by_primary};
use super::{SessionError, SessionsClient, StoreFailureReason, wait_before_retry};

/// The result of looking up a turn in all partitions.
enum LookupResult {
    /// The chain of turns that ends with this one, oldest first.
    Found(Vec<Turn>),
    /// No partition has it.
    NotFound,
    /// No partition returned the turn, and at least one gave no definite reply.
    Uncertain,
}

impl SessionsClient {
    /// Looks up a turn in all partitions, with retries until the result is definite. Returns the chain that ends with
    /// the turn, oldest first.
    ///
    /// # Errors
    ///
    /// If no partition has the turn, or there is no definite result by the `deadline`.
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

    /// Calls each primary once, for all the partitions that it leads.
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
        let mut is_definite = true;
        while let Some(reply) = calls.join_next().await {
            match reply {
                Ok(Ok(SessionReply::TurnFound { chain })) => return LookupResult::Found(chain),
                Ok(Ok(SessionReply::UnknownTurn)) => {}
                _ => is_definite = false,
            }
        }
        if is_definite { LookupResult::NotFound } else { LookupResult::Uncertain }
    }
}
