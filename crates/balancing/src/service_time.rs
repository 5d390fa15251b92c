//! What calls to the endpoints of a service take, measured on the calls of this relay.

use juniperwing_clock::Span;

/// Samples that a mean goes by: from then on each new one counts for this share, and a sample that is as many older
/// counts for little more than a third of it.
const WINDOW: f64 = 64.0;
/// What a call is taken to last before the first one has ended. Any figure above zero gives the same order of endpoints
/// then, for load is all that is known.
const UNMEASURED: Span = Span::from_millis(100);

/// A mean in which older samples fade. It begins with one sample of zero, so that the first real one does not stand for
/// all others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgedMean {
    weight: f64,
    mean: f64,
}

impl Default for AgedMean {
    fn default() -> Self {
        AgedMean { weight: 1.0, mean: 0.0 }
    }
}

impl AgedMean {
    pub(crate) fn add(&mut self, value: f64) {
        self.weight = (self.weight + 1.0).min(WINDOW);
        self.mean += (value - self.mean) / self.weight;
    }

    pub(crate) fn get(&self) -> f64 {
        self.mean
    }
}

/// The time that a service's calls take.
#[derive(Debug, Default)]
pub(crate) struct ServiceTime {
    /// Seconds that a call holds its slot.
    held: AgedMean,
    unread: AgedMean,
    to_first_event: AgedMean,
    unread_squared: AgedMean,
    product: AgedMean,
}

impl ServiceTime {
    /// A call has held its slot for so long.
    pub(crate) fn record_held(&mut self, held: Span) {
        self.held.add(held.as_secs_f64());
    }

    /// A call with so many tokens of its prompt to be read began to answer after so long.
    pub(crate) fn record_first_event(&mut self, unread_tokens: f64, lasted: Span) {
        self.unread.add(unread_tokens);
        self.to_first_event.add(lasted.as_secs_f64());
        self.unread_squared.add(unread_tokens * unread_tokens);
        self.product.add(unread_tokens * lasted.as_secs_f64());
    }

    /// What is expected of the next call, with or without a prompt, at endpoints of so many slots.
    pub(crate) fn expected(&self, has_prompt: bool, slots: f64) -> ExpectedTime {
        let held = if self.held.get() > 0.0 { self.held.get() } else { UNMEASURED.as_secs_f64() };
        let per_token = self.reading_secs_per_token();
        let reading = per_token * self.unread.get();
        let per_call = if has_prompt && reading > 0.0 { reading } else { held / slots.max(1.0) };
        ExpectedTime { held, per_token, per_call }
    }

    /// Seconds by which each unread token delays the first event: the slope of a line through what was seen. It lies
    /// between nothing and all of the time. Zero before there are samples that differ.
    fn reading_secs_per_token(&self) -> f64 {
        let (unread, lasted) = (self.unread.get(), self.to_first_event.get());
        let variance = self.unread_squared.get() - unread * unread;
        if unread <= 0.0 || variance <= 0.0 {
            return 0.0;
        }
        let covariance = self.product.get() - unread * lasted;
        (covariance / variance).clamp(0.0, lasted / unread)
    }
}

/// The time that calls of a service take, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedTime {
    /// That a call holds its slot.
    held: f64,
    /// That reading one token of a prompt takes.
    per_token: f64,
    /// By which a call at an endpoint delays each other call there: the endpoint reads its prompt between the tokens of
    /// the others; calls without prompts share the endpoint's speed.
    pub(crate) per_call: f64,
}

impl ExpectedTime {
    /// By how much one more call at an endpoint makes calls longer, itself included: it shares the endpoint with `load`
    /// others and waits while they hold all `slots`; and its `unread` tokens are read while it and as many as are usually
    /// there, `usual_load`, wait. What an endpoint reads it reads for longer than a load that was told holds.
    pub(crate) fn added_secs(&self, load: f64, slots: u32, unread: f64, usual_load: f64) -> f64 {
        let slots = f64::from(slots);
        let sharing = self.per_call * load;
        let waiting = self.held * (load + 1.0 - slots).max(0.0) / slots;
        let reading = self.per_token * unread * (1.0 + usual_load);
        sharing + waiting + reading
    }
}
