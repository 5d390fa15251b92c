//! Estimates which sections of prompts other relays send as well.

#![expect(clippy::disallowed_types, reason = "only looked up by key, for each section of a prompt")]

use std::collections::HashMap;

use juniperwing_protocol::identity::ProgramId;

use crate::prefix_cache::CacheableSection;
use crate::prompt::PromptSection;

/// The maximum number of sections that are remembered.
const MAX_SECTIONS: usize = 2_048;

/// How many programs have recently sent each section through this relay.
#[derive(Debug, Default)]
pub(crate) struct SharedSections {
    senders: HashMap<u64, Senders>,
}

#[derive(Debug)]
struct Senders {
    /// The last program that sent the section.
    last: ProgramId,
    /// How often the section came from another program than the time before.
    changes: u32,
}

impl SharedSections {
    /// Records that a program has sent a prompt.
    pub(crate) fn record(&mut self, program: &ProgramId, prompt: &[PromptSection]) {
        for section in prompt {
            match self.senders.get_mut(&section.id) {
                Some(senders) if senders.last == *program => {}
                Some(senders) => {
                    senders.last = program.clone();
                    senders.changes = senders.changes.saturating_add(1);
                }
                None => {
                    self.senders.insert(section.id, Senders { last: program.clone(), changes: 0 });
                }
            }
        }
        self.enforce_size_limit();
    }

    /// If there are too many sections, removes those that only one program has sent; if that is not enough, all.
    fn enforce_size_limit(&mut self) {
        if self.senders.len() > MAX_SECTIONS {
            self.senders.retain(|_, senders| senders.changes > 0);
        }
        if self.senders.len() > MAX_SECTIONS {
            self.senders.clear();
        }
    }

    /// Returns the sections of a prompt, each with the probability that an endpoint has cached it because of other
    /// relays' requests. Other relays are assumed to send a shared section as often as this one, in proportion to their
    /// calls:
    /// `other_calls_per_own_call` is the number of their calls that one endpoint gets for each call of this relay to any
    /// endpoint. A section that only one program has sent is taken to belong to that program alone.
    pub(crate) fn cacheable(
        &self, prompt: &[PromptSection], other_calls_per_own_call: f64,
    ) -> Vec<CacheableSection> {
        let cacheable = |section: &PromptSection| {
            let changes = self.senders.get(&section.id).map_or(0, |senders| senders.changes);
            let shared_cache_probability = 1.0 - (-f64::from(changes) * other_calls_per_own_call).exp();
            CacheableSection { section: *section, shared_cache_probability }
        };
        prompt.iter().map(cacheable).collect()
    }
}
