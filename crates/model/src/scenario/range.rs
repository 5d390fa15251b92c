//! Parameters of a scenario that are a number or a range of numbers.

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
    Number(f64),
    Bounds([f64; 2]),
}

impl From<Written> for Range {
    fn from(written: Written) -> Range {
        match written {
            Written::Number(value) => Range { min: value, max: value },
            Written::Bounds([min, max]) => Range { min, max },
        }
    }
}

impl From<Range> for Written {
    fn from(range: Range) -> Written {
        if range.min == range.max {
            Written::Number(range.min)
        } else {
            Written::Bounds([range.min, range.max])
        }
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
    /// Draws a number from the range. Consumes one draw even if the range is a single number.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> f64 {
        uniform(rng, self.min, self.max)
    }
}

/// A range that is drawn once for a run; in a resolved scenario it is a single number.
pub type PerRun = Range;

/// A range that is drawn for each item that it describes; a resolved scenario keeps the range.
pub type PerItem = Range;
