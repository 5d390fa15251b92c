//! How long calls to the endpoints of a service take, measured on the calls of this relay.

use juniperwing_clock::Span;

use crate::decaying_mean::DecayingMean;

/// The duration of a call that is assumed before the first one has ended. Any figure above zero gives the same order of
/// endpoints then, because their load is all that is known.
const ASSUMED_CALL_DURATION: Span = Span::from_millis(100);

/// Measures the times of a service's calls: how long a call occupies its slot, and, by a linear regression of the time
/// to the first event over the tokens that are not in the prefix cache, how long the prefill of a token takes.
#[derive(Debug, Default)]
pub(crate) struct ServiceTime {
    /// Seconds for which a call occupies its slot.
    slot_secs: DecayingMean,
    /// Tokens of a prompt that are not in the prefix cache.
    uncached_tokens: DecayingMean,
    first_event_secs: DecayingMean,
    uncached_tokens_squared: DecayingMean,
    /// Uncached tokens times seconds to the first event.
    product: DecayingMean,
}

impl ServiceTime {
    /// Records for how long a call occupied its slot.
    pub(crate) fn record_slot_time(&mut self, slot_time: Span) {
        self.slot_secs.add(slot_time.as_secs_f64());
    }

    /// Records the time to the first event of a call, and the tokens of its prompt that were not in the prefix cache.
    pub(crate) fn record_first_event(&mut self, uncached_tokens: f64, elapsed: Span) {
        self.uncached_tokens.add(uncached_tokens);
        self.first_event_secs.add(elapsed.as_secs_f64());
        self.uncached_tokens_squared.add(uncached_tokens * uncached_tokens);
        self.product.add(uncached_tokens * elapsed.as_secs_f64());
    }

    /// What is expected of the next call, with or without a prompt, at endpoints of `slots` slots on average.
    pub(crate) fn expect(&self, has_prompt: bool, slots: f64) -> ExpectedTime {
        let measured = self.slot_secs.get();
        let slot_secs = if measured > 0.0 { measured } else { ASSUMED_CALL_DURATION.as_secs_f64() };
        let prefill_secs_per_token = self.prefill_secs_per_token();
        let prefill_secs = prefill_secs_per_token * self.uncached_tokens.get();
        let has_prefill = has_prompt && prefill_secs > 0.0;
        let delay_per_call = if has_prefill { prefill_secs } else { slot_secs / slots.max(1.0) };
        ExpectedTime { slot_secs, prefill_secs_per_token, delay_per_call }
    }

    /// Seconds by which each uncached token delays the first event: the slope of the regression line. It is bounded by
    /// zero and by the whole time, and zero as long as all samples are alike.
    fn prefill_secs_per_token(&self) -> f64 {
        let (tokens, secs) = (self.uncached_tokens.get(), self.first_event_secs.get());
        let variance = self.uncached_tokens_squared.get() - tokens * tokens;
        if tokens <= 0.0 || variance <= 0.0 {
            return 0.0;
        }
        let covariance = self.product.get() - tokens * secs;
        (covariance / variance).clamp(0.0, secs / tokens)
    }
}

/// The expected times of a service's calls, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedTime {
    /// For which a call occupies its slot.
    slot_secs: f64,
    /// That the prefill of a token takes.
    prefill_secs_per_token: f64,
    /// By which a call at an endpoint delays each other call there: the prefill of its prompt comes between the decode
    /// steps of the others; calls without prompts share the endpoint's speed.
    pub(crate) delay_per_call: f64,
}

impl ExpectedTime {
    /// The seconds by which one more call at an endpoint makes calls longer, itself included. The call shares the
    /// endpoint with `load` others and waits while they occupy all `slots`; and while its `uncached_tokens` are
    /// prefilled, it and as many calls as usual, `usual_load`, wait. The usual load is taken there, not the present
    /// one, because what is prefilled serves for longer than a reported load is valid.
    pub(crate) fn added_secs(&self, load: f64, slots: u32, uncached_tokens: f64, usual_load: f64) -> f64 {
        let slots = f64::from(slots);
        let sharing = self.delay_per_call * load;
        let waiting = self.slot_secs * (load + 1.0 - slots).max(0.0) / slots;
        let prefill = self.prefill_secs_per_token * uncached_tokens * (1.0 + usual_load);
        sharing + waiting + prefill
    }
}
