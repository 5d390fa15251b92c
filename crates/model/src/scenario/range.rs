//! Figures of a scenario: a number or a range of numbers.

use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::random::uniform;

/// A number or a range of numbers, written `3` or `[2, 5]`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(from = "Written", into = "Written")]
pub struct Range {
    /// The lower end.
    pub min: f64,
    /// The upper end.
    pub max: f64,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(untagged, expecting = "expected a number, or a range of two numbers such as [2, 5]")]
enum Written {
    One(f64),
    Two([f64; 2]),
}

impl From<Written> for Range {
    fn from(written: Written) -> Range {
        match written {
            Written::One(value) => Range { min: value, max: value },
            Written::Two([least, most]) => Range { min: least, max: most },
        }
    }
}

impl From<Range> for Written {
    fn from(range: Range) -> Written {
        if range.min == range.max { Written::One(range.min) } else { Written::Two([range.min, range.max]) }
    }
}

impl From<f64> for Range {
    fn from(value: f64) -> Range {
        Range { min: value, max: value }
    }
}

impl Default for Range {
    fn default() -> Range {
        Range::from(0.0)
    }
}

impl Range {
    /// Draws a number from the range, also where the range is one number.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> f64 {
        uniform(rng, self.min, self.max)
    }
}

/// A range that is drawn once for a run; in a resolved scenario it is one number.
pub type Once = Range;

/// A range that is drawn for each thing that it describes; a resolved scenario keeps it.
pub type Each = Range;
