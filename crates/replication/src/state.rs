//! What is replicated.

use std::sync::Arc;

use juniperwing_protocol::replication::{NumberedChange, Version};

use crate::error::MalformedState;

/// A state that is replicated by changes.
///
/// `apply` must depend on nothing but the state and the change: every replica applies the same changes.
pub trait ReplicatedState: Clone {
    /// One write.
    type Change: Clone;

    /// Makes the change.
    fn apply(&mut self, change: &Self::Change);

    /// The state as bytes, for the disk and for replicas that lag.
    fn encode(&self) -> Vec<u8>;

    /// The state that `bytes` hold.
    ///
    /// # Errors
    ///
    /// If the bytes do not follow the encoding.
    fn decode(bytes: &[u8]) -> Result<Self, MalformedState>;

    /// A change as bytes.
    fn encode_change(change: &Self::Change) -> Vec<u8>;

    /// The change that `bytes` hold.
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
    /// The state as bytes.
    pub encoded: Arc<Vec<u8>>,
}

impl<S: ReplicatedState> Versioned<S> {
    /// Gives `state` a version and encodes it.
    pub(crate) fn new(version: Version, state: S) -> Self {
        let encoded = Arc::new(state.encode());
        Versioned { version, state: Arc::new(state), encoded }
    }

    /// Decodes a state.
    pub(crate) fn decode(version: Version, bytes: Vec<u8>) -> Result<Self, MalformedState> {
        let state = Arc::new(S::decode(&bytes)?);
        Ok(Versioned { version, state, encoded: Arc::new(bytes) })
    }

    /// This state with `change` made.
    pub(crate) fn with_change(&self, version: Version, change: &S::Change) -> Self {
        let mut state = (*self.state).clone();
        state.apply(change);
        Versioned::new(version, state)
    }

    /// This state with all the changes made.
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
