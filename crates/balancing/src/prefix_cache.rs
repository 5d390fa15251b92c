//! Estimates what is in an endpoint's prefix cache.

#![expect(
    clippy::disallowed_types,
    reason = "only looked up by key, for each section of a prompt and each endpoint"
)]

use std::collections::{HashMap, VecDeque};

use crate::prompt::PromptSection;

/// The number of sections that are assumed to be in the cache of an endpoint; the oldest are evicted.
const MAX_CACHED_SECTIONS: usize = 2_048;
/// A probability of being cached below this is taken as zero.
const NEGLIGIBLE_PROBABILITY: f64 = 0.01;

/// The sections that an endpoint has prefilled lately for this relay, which are assumed to be in its prefix cache.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    sections: HashMap<u64, CachedSection>,
    /// The ids of all prefilled sections, oldest first, with repetitions.
    order: VecDeque<u64>,
}

#[derive(Debug, Default)]
struct CachedSection {
    /// How often the section is in the order.
    occurrences: u32,
    /// The greatest length: the section of a session grows from turn to turn.
    tokens: u32,
}

/// A section of a prompt, with the probability that an endpoint has cached it for other relays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheableSection {
    pub(crate) section: PromptSection,
    pub(crate) cached_for_others: f64,
}

impl PrefixCache {
    /// Records a prompt that the endpoint prefills.
    pub(crate) fn insert(&mut self, prompt: &[PromptSection]) {
        for section in prompt {
            let cached = self.sections.entry(section.id).or_default();
            cached.occurrences += 1;
            cached.tokens = cached.tokens.max(section.tokens);
            self.order.push_back(section.id);
        }
        while self.order.len() > MAX_CACHED_SECTIONS {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else { return };
        let Some(cached) = self.sections.get_mut(&oldest) else { return };
        cached.occurrences -= 1;
        if cached.occurrences == 0 {
            self.sections.remove(&oldest);
        }
    }

    /// The expected number of a prompt's tokens that are cached. A section is cached only if all before it are.
    pub(crate) fn cached_tokens(&self, prompt: &[CacheableSection]) -> f64 {
        let (mut cached_tokens, mut prefix_probability) = (0.0, 1.0);
        for CacheableSection { section, cached_for_others } in prompt {
            let own_tokens = self.sections.get(&section.id).map(|cached| cached.tokens.min(section.tokens));
            let expected = own_tokens.map_or(cached_for_others * f64::from(section.tokens), f64::from);
            cached_tokens += prefix_probability * expected;
            // What follows a section that has grown was not prefilled after its new tokens.
            let is_cached = own_tokens == Some(section.tokens);
            prefix_probability *= if is_cached { 1.0 } else { *cached_for_others };
            if prefix_probability < NEGLIGIBLE_PROBABILITY {
                break;
            }
        }
        cached_tokens
    }
}
