//! The parts of prompts, and which of them an endpoint has read of late.

use std::collections::{HashMap, VecDeque};

/// Parts remembered of each endpoint; the oldest give way.
const PARTS_REMEMBERED: usize = 2_048;
/// Parts of one prompt that are looked at.
const PARTS_PER_PROMPT: usize = 64;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its identity, which other requests may share.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// Reads `ID:TOKENS` with commas between, the identities in hex. What cannot be read ends the list: parts
    /// behind it could not be kept without it.
    pub fn list(text: &str) -> Vec<PromptPart> {
        text.split(',').map_while(Self::read).take(PARTS_PER_PROMPT).collect()
    }

    fn read(text: &str) -> Option<PromptPart> {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    }
}

/// The parts that an endpoint has read of late.
#[derive(Debug, Default)]
pub(crate) struct PartMemory {
    known: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl PartMemory {
    /// Takes in a prompt that the endpoint reads.
    pub(crate) fn read(&mut self, prompt: &[PromptPart]) {
        for part in prompt {
            *self.known.entry(part.id).or_insert(0) += 1;
            self.order.push_back(part.id);
        }
        while self.order.len() > PARTS_REMEMBERED {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else { return };
        let Some(times) = self.known.get_mut(&oldest) else { return };
        *times -= 1;
        if *times == 0 {
            self.known.remove(&oldest);
        }
    }

    /// The share of a prompt's tokens that need not be read again: a part counts if all before it do.
    pub(crate) fn share(&self, prompt: &[PromptPart]) -> f64 {
        let total: f64 = prompt.iter().map(|part| f64::from(part.tokens)).sum();
        if total <= 0.0 {
            return 0.0;
        }
        let kept = prompt.iter().take_while(|part| self.known.contains_key(&part.id));
        kept.map(|part| f64::from(part.tokens)).sum::<f64>() / total
    }
}
