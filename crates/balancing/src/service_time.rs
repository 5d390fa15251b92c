//! The duration of calls to the endpoints of a service, measured on this relay's own calls.

use juniperwing_clock::Span;

use crate::decaying_mean::DecayingMean;

/// The duration of a call that is assumed until the first one has ended. Any value above zero yields the same ranking,
/// because until then only the load of endpoints is known.
const ASSUMED_CALL_DURATION: Span = Span::from_millis(100);

/// Measures how long a service's calls occupy their slots and how long the prefill of a token takes. The latter is the
/// slope of a linear regression of the time to the first event on the tokens that are not in the prefix cache.
#[derive(Debug, Default)]
pub(crate) struct ServiceTime {
    /// The seconds for which a call occupies its slot.
    slot_secs: DecayingMean,
    /// The tokens of a prompt that are not in the prefix cache.
    uncached_tokens: DecayingMean,
    first_event_secs: DecayingMean,
    uncached_tokens_squared: DecayingMean,
    /// Uncached tokens times seconds to the first event.
    tokens_times_secs: DecayingMean,
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
        self.tokens_times_secs.add(uncached_tokens * elapsed.as_secs_f64());
    }

    /// Returns the expected times of the next call, with or without a prompt, at endpoints with `slots` slots on
    /// average.
    pub(crate) fn expect(&self, has_prompt: bool, slots: f64) -> ExpectedTime {
        let measured = self.slot_secs.get();
        let slot_secs = if measured > 0.0 { measured } else { ASSUMED_CALL_DURATION.as_secs_f64() };
        let prefill_secs_per_token = self.prefill_secs_per_token();
        let prefill_secs = prefill_secs_per_token * self.uncached_tokens.get();
        let has_prefill = has_prompt && prefill_secs > 0.0;
        let delay_per_call = if has_prefill { prefill_secs } else { slot_secs / slots.max(1.0) };
        ExpectedTime { slot_secs, prefill_secs_per_token, delay_per_call }
    }

    /// The seconds by which each uncached token delays the first event: the slope of the regression line, clamped
    /// between zero and the mean time per token. It is zero while all samples have the same number of tokens.
    fn prefill_secs_per_token(&self) -> f64 {
        let (tokens, secs) = (self.uncached_tokens.get(), self.first_event_secs.get());
        let variance = self.uncached_tokens_squared.get() - tokens * tokens;
        if tokens <= 0.0 || variance <= 0.0 {
            return 0.0;
        }
        let covariance = self.tokens_times_secs.get() - tokens * secs;
        (covariance / variance).clamp(0.0, secs / tokens)
    }
}

/// The expected times of a service's calls, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedTime {
    /// For which a call occupies its slot.
    slot_secs: f64,
    /// For the prefill of one token.
    prefill_secs_per_token: f64,
    /// By which a call at an endpoint delays each other call there. The prefill of a prompt interrupts the decode steps
    /// of other calls; calls without prompts share the endpoint's throughput.
    pub(crate) delay_per_call: f64,
}

impl ExpectedTime {
    /// The total delay in seconds that one more call at an endpoint causes, to itself and to other calls. The call
    /// shares the endpoint with `load` others and waits while they occupy all `slots`. While its `uncached_tokens` are
    /// prefilled, it and `mean_load` other calls wait. The prefill uses the mean load instead of the current one,
    /// because a cached prefix is useful for longer than a reported load is valid.
    pub(crate) fn added_secs(&self, load: f64, slots: u32, uncached_tokens: f64, mean_load: f64) -> f64 {
        let slots = f64::from(slots);
        let sharing = self.delay_per_call * load;
        let waiting = self.slot_secs * (load + 1.0 - slots).max(0.0) / slots;
        let prefill = self.prefill_secs_per_token * uncached_tokens * (1.0 + mean_load);
        sharing + waiting + prefill
    }
}
