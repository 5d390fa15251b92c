//! Chains of stored turns, in which each turn continues the previous one.

use juniperwing_protocol::session::Turn;
use juniperwing_protocol::{ProgramId, RequestId};

use crate::limits::MAX_CHAIN_TURNS;
use crate::table::Table;

/// The result of looking up a turn and its predecessors in a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chain {
    /// The turns, oldest first.
    Found(Vec<Turn>),
    /// The turn is not in the table.
    Unknown,
    /// The turn is in the table, but the chain is incomplete or too long.
    Broken,
}

impl Table {
    /// Returns the chain that ends with `turn`. Turns of `program` take precedence over those of other programs.
    pub fn chain(&self, program: &ProgramId, turn: &RequestId) -> Chain {
        let mut chain = Vec::new();
        let mut next = Some(turn);
        while let Some(request) = next {
            let found = self.find_turn(program, request).filter(|_| chain.len() < MAX_CHAIN_TURNS);
            let Some(turn) = found else {
                return if chain.is_empty() { Chain::Unknown } else { Chain::Broken };
            };
            chain.push(turn.clone());
            next = turn.previous.as_ref();
        }
        chain.reverse();
        Chain::Found(chain)
    }

    /// Returns the chain that ends with `turn`, which may belong to any program.
    pub fn chain_in_any_program(&self, turn: &RequestId) -> Chain {
        match self.program_with_turn(turn) {
            Some(program) => self.chain(program, turn),
            None => Chain::Unknown,
        }
    }

    /// Whether the turn is stored under this program.
    pub fn has_turn(&self, program: &ProgramId, turn: &RequestId) -> bool {
        self.turn_of(program, turn).is_some()
    }

    fn find_turn(&self, program: &ProgramId, turn: &RequestId) -> Option<&Turn> {
        self.turn_of(program, turn).or_else(|| self.turn_of(self.program_with_turn(turn)?, turn))
    }

    fn turn_of(&self, program: &ProgramId, turn: &RequestId) -> Option<&Turn> {
        self.record(program, turn)?.turn.as_ref()
    }

    fn program_with_turn(&self, turn: &RequestId) -> Option<&ProgramId> {
        let from = (turn.clone(), ProgramId::from(""));
        let (request, program) = self.turns.range(from..).next()?;
        (request == turn).then_some(program)
    }
}
