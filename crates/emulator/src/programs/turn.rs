//! Turns as clients identify them, and their encoding in messages to the stores.

use std::sync::Arc;

use juniperwing_protocol::session::{BeginTurn, FinishTurn, MAX_TURN_LEASE_MS, Turn, TurnLease};
use juniperwing_protocol::{ProgramId, RequestId};

/// Identifies a turn.
pub type TurnId = u64;

/// How long turns are stored, in milliseconds; longer than any scenario.
const RETENTION_MS: u64 = 600_000;
/// The size of a turn's output, in bytes.
const OUTPUT_BYTES: usize = 300;

/// A turn that a client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnRequest {
    /// The turn.
    pub turn: TurnId,
    /// Its program.
    pub program: usize,
    /// The tokens that all turns of the program may generate together.
    pub budget: Option<u64>,
    /// The maximum number of tokens that this turn may generate.
    pub max_tokens: u64,
    /// The turn that it continues.
    pub previous: Option<TurnId>,
}

/// The stored content of a turn, as far as clients distinguish contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnContent {
    /// The turn.
    pub turn: TurnId,
    /// Differs between the attempts to run one turn.
    pub attempt: u64,
}

impl TurnRequest {
    /// The message that begins it.
    pub(super) fn begin_message(&self) -> BeginTurn {
        BeginTurn {
            program: program_id(self.program),
            request: request_id(self.turn),
            previous: self.previous.map(request_id),
            budget: self.budget,
            max_tokens: self.max_tokens,
            imported: Vec::new(),
            lease: TurnLease { duration_ms: MAX_TURN_LEASE_MS, retention_ms: RETENTION_MS },
        }
    }

    /// The message that commits `tokens` without storing the turn.
    pub(super) fn commit_message(&self, tokens: u64) -> FinishTurn {
        FinishTurn {
            program: program_id(self.program),
            request: request_id(self.turn),
            tokens,
            stored_turn: None,
            retention_ms: RETENTION_MS,
        }
    }

    /// The message that commits `tokens` and stores the turn with the content of an attempt.
    pub(super) fn store_message(&self, tokens: u64, attempt: u64) -> FinishTurn {
        let mut output = format!("{attempt};").into_bytes();
        output.resize(OUTPUT_BYTES, b'.');
        let turn = Turn {
            request: request_id(self.turn),
            previous: self.previous.map(request_id),
            input: Arc::from(format!("input of {}", self.turn).into_bytes()),
            output: Arc::from(output),
            retention_ms: RETENTION_MS,
            endpoint: None,
        };
        FinishTurn { stored_turn: Some(turn), ..self.commit_message(tokens) }
    }
}

/// Decodes a chain that the stores returned; `None` if it contains a turn that no client requested.
pub(super) fn decode_chain(chain: &[Turn]) -> Option<Vec<TurnContent>> {
    chain.iter().map(decode_turn).collect()
}

fn decode_turn(turn: &Turn) -> Option<TurnContent> {
    let output = std::str::from_utf8(&turn.output).ok()?;
    let (attempt, _) = output.split_once(';')?;
    let number = turn.request.0.strip_prefix("turn-")?;
    Some(TurnContent { turn: number.parse().ok()?, attempt: attempt.parse().ok()? })
}

fn program_id(program: usize) -> ProgramId {
    ProgramId::from(format!("program-{program}").as_str())
}

fn request_id(turn: TurnId) -> RequestId {
    RequestId::from(format!("turn-{turn}").as_str())
}
