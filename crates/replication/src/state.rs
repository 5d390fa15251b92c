//! The replicated state and its versions.

use std::sync::Arc;

use juniperwing_protocol::replication::{NumberedChange, Version};

use crate::error::MalformedState;

/// A state that is replicated by changes.
///
/// [`ReplicatedState::apply`] must be deterministic: every replica applies the same changes.
pub trait ReplicatedState: Clone {
    /// A change of the state.
    type Change: Clone;

    /// Applies a change.
    fn apply(&mut self, change: &Self::Change);

    /// Encodes the state, for the disk and for lagging replicas.
    fn encode(&self) -> Vec<u8>;

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// If the bytes do not follow the encoding.
    fn decode(bytes: &[u8]) -> Result<Self, MalformedState>;

    /// Encodes a change.
    fn encode_change(change: &Self::Change) -> Vec<u8>;

    /// Decodes a change.
    ///
    /// # Errors
    ///
    /// If the bytes do not follow the encoding.
    fn decode_change(bytes: &[u8]) -> Result<Self::Change, MalformedState>;
}

/// An immutable state with its version and its encoding; cheap to clone.
#[derive(Clone, Debug)]
pub struct Versioned<S> {
    /// The version.
    pub version: Version,
    /// The state.
    pub state: Arc<S>,
    /// The encoding of `state`.
    pub encoded: Arc<Vec<u8>>,
}

impl<S: ReplicatedState> Versioned<S> {
    /// Encodes `state` and gives it a version.
    pub(crate) fn new(version: Version, state: S) -> Self {
        let encoded = Arc::new(state.encode());
        Versioned { version, state: Arc::new(state), encoded }
    }

    /// Decodes a state.
    pub(crate) fn decode(version: Version, bytes: Vec<u8>) -> Result<Self, MalformedState> {
        let state = Arc::new(S::decode(&bytes)?);
        Ok(Versioned { version, state, encoded: Arc::new(bytes) })
    }

    /// This state with `change` applied.
    pub(crate) fn with_change(&self, version: Version, change: &S::Change) -> Self {
        let mut state = (*self.state).clone();
        state.apply(change);
        Versioned::new(version, state)
    }

    /// This state with all of `changes` applied.
    pub(crate) fn with_changes(&self, changes: &[NumberedChange]) -> Result<Self, MalformedState> {
        let mut state = (*self.state).clone();
        let mut version = self.version;
        for numbered in changes {
            state.apply(&S::decode_change(&numbered.change)?);
            version = numbered.version;
        }
        Ok(Versioned::new(version, state))
    }
}
