//! Estimates the contents of an endpoint's prefix cache.

#![expect(
    clippy::disallowed_types,
    reason = "only looked up by key, for each section of a prompt and each endpoint"
)]

use std::collections::{HashMap, VecDeque};

use crate::prompt::PromptSection;

/// The maximum number of sections that are assumed to be in an endpoint's cache; the oldest are evicted.
const MAX_CACHED_SECTIONS: usize = 2_048;
/// Probabilities of being cached below this are treated as zero.
const NEGLIGIBLE_PROBABILITY: f64 = 0.01;

/// The sections that an endpoint has recently prefilled for this relay, which are assumed to be in its prefix cache.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    sections: HashMap<u64, CachedSection>,
    /// The ids of all prefilled sections, oldest first, with duplicates.
    order: VecDeque<u64>,
}

#[derive(Debug, Default)]
struct CachedSection {
    /// How often the id of the section occurs in `order`.
    occurrences: u32,
    /// The greatest length so far: a session's section grows with every turn.
    tokens: u32,
}

/// A section of a prompt, with the probability that an endpoint has cached it because of other relays' requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheableSection {
    pub(crate) section: PromptSection,
    pub(crate) shared_cache_probability: f64,
}

impl PrefixCache {
    /// Records a prompt that the endpoint has prefilled.
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
        for CacheableSection { section, shared_cache_probability } in prompt {
            let own_tokens = self.sections.get(&section.id).map(|cached| cached.tokens.min(section.tokens));
            let expected = own_tokens.map_or(shared_cache_probability * f64::from(section.tokens), f64::from);
            cached_tokens += prefix_probability * expected;
            // The sections after one that has grown are not cached: they were prefilled without its new tokens.
            let is_cached = own_tokens == Some(section.tokens);
            prefix_probability *= if is_cached { 1.0 } else { *shared_cache_probability };
            if prefix_probability < NEGLIGIBLE_PROBABILITY {
                break;
            }
        }
        cached_tokens
    }
}
