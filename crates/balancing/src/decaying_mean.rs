//! A mean in which older samples lose weight.

/// The number of samples over which the mean is effectively taken. Once there are this many, a new sample has the
/// weight `1 / WINDOW_SAMPLES`, and one that is this many samples old has decayed to about a third (1/e) of that.
const WINDOW_SAMPLES: f64 = 64.0;

/// A mean in which older samples lose weight. It starts with one sample of zero, so that the first real sample alone
/// does not determine the mean.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingMean {
    samples: f64,
    mean: f64,
}

impl Default for DecayingMean {
    fn default() -> Self {
        DecayingMean { samples: 1.0, mean: 0.0 }
    }
}

impl DecayingMean {
    pub(crate) fn add(&mut self, value: f64) {
        self.samples = (self.samples + 1.0).min(WINDOW_SAMPLES);
        self.mean += (value - self.mean) / self.samples;
    }

    pub(crate) fn get(&self) -> f64 {
        self.mean
    }
}
