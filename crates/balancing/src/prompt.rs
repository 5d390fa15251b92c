//! The parts of prompts, and which of them an endpoint has read of late.

use std::collections::{HashMap, VecDeque};

use juniperwing_protocol::identity::ProgramId;

/// Parts remembered of each endpoint; the oldest give way.
const PARTS_REMEMBERED: usize = 2_048;
/// Parts of one prompt that are looked at.
const PARTS_PER_PROMPT: usize = 64;
/// A lower chance that a part is kept is passed over.
const NEGLIGIBLE: f64 = 0.01;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSection {
    /// Its identity, which other requests may share.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl PromptSection {
    /// Reads `ID:TOKENS` with commas between, the identities in hex. What cannot be read ends the list: parts
    /// behind it could not be kept without it.
    pub fn list(text: &str) -> Vec<PromptSection> {
        text.split(',').map_while(Self::read).take(PARTS_PER_PROMPT).collect()
    }

    fn read(text: &str) -> Option<PromptSection> {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(PromptSection { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    }
}

/// The parts that an endpoint has read of late.
#[derive(Debug, Default)]
pub(crate) struct PartMemory {
    known: HashMap<u64, ReadPart>,
    order: VecDeque<u64>,
}

/// A part that an endpoint has read.
#[derive(Debug, Default)]
struct ReadPart {
    /// Prompts in the memory that hold it.
    prompts: u32,
    /// Its length when it was longest: the part of a session grows from turn to turn.
    tokens: u32,
}

impl PartMemory {
    /// Takes in a prompt that the endpoint reads.
    pub(crate) fn read(&mut self, prompt: &[PromptSection]) {
        for part in prompt {
            let read = self.known.entry(part.id).or_default();
            read.prompts += 1;
            read.tokens = read.tokens.max(part.tokens);
            self.order.push_back(part.id);
        }
        while self.order.len() > PARTS_REMEMBERED {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else { return };
        let Some(part) = self.known.get_mut(&oldest) else { return };
        part.prompts -= 1;
        if part.prompts == 0 {
            self.known.remove(&oldest);
        }
    }

    /// Tokens of a prompt that have likely been read already: a part is kept if all before it are.
    pub(crate) fn kept_tokens(&self, prompt: &[LikelyPart]) -> f64 {
        let (mut kept, mut all_kept) = (0.0, 1.0);
        for LikelyPart { part, read_for_others } in prompt {
            let own = self.known.get(&part.id).map(|read| read.tokens.min(part.tokens));
            kept += all_kept * own.map_or(read_for_others * f64::from(part.tokens), f64::from);
            // What follows a part that has grown was not read behind what is new of it.
            all_kept *= if own == Some(part.tokens) { 1.0 } else { *read_for_others };
            if all_kept < NEGLIGIBLE {
                break;
            }
        }
        kept
    }
}

/// A part of a prompt with the chance that any one endpoint has read it for other relays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LikelyPart {
    pub(crate) part: PromptSection,
    pub(crate) read_for_others: f64,
}

/// How many programs have sent each part through this relay of late.
#[derive(Debug, Default)]
pub(crate) struct SharedParts {
    senders: HashMap<u64, Senders>,
}

#[derive(Debug)]
struct Senders {
    /// The last program that sent the part.
    last: ProgramId,
    /// How often the program changed.
    changes: u32,
}

impl SharedParts {
    /// A program sends a prompt.
    pub(crate) fn sent(&mut self, program: &ProgramId, prompt: &[PromptSection]) {
        for part in prompt {
            match self.senders.get_mut(&part.id) {
                Some(senders) if senders.last == *program => {}
                Some(senders) => {
                    senders.last = program.clone();
                    senders.changes = senders.changes.saturating_add(1);
                }
                None => {
                    self.senders.insert(part.id, Senders { last: program.clone(), changes: 0 });
                }
            }
        }
        if self.senders.len() > PARTS_REMEMBERED {
            self.senders.retain(|_, senders| senders.changes > 0);
        }
        if self.senders.len() > PARTS_REMEMBERED {
            self.senders.clear();
        }
    }

    /// The parts of a prompt. Other relays send a shared part as often as this one does, as far as they send calls:
    /// `others_per_own_call` is how many calls of theirs one endpoint gets for each call of this relay's, whichever
    /// endpoint that goes to. A part that only one program has sent belongs to it alone.
    pub(crate) fn likely(&self, prompt: &[PromptSection], others_per_own_call: f64) -> Vec<LikelyPart> {
        let likely = |part: &PromptSection| {
            let shared = self.senders.get(&part.id).map_or(0, |senders| senders.changes);
            let read_for_others = 1.0 - (-f64::from(shared) * others_per_own_call).exp();
            LikelyPart { part: *part, read_for_others }
        };
        prompt.iter().map(likely).collect()
    }
}
