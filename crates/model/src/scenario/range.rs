//! Parameters of a scenario that are a number or a range of numbers.

use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::random::uniform;

/// A number or a range of numbers, written `3` or `[2, 5]`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(from = "RangeForm", into = "RangeForm")]
pub struct Range {
    /// The lower end.
    pub min: f64,
    /// The upper end.
    pub max: f64,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(untagged, expecting = "expected a number, or a range of two numbers such as [2, 5]")]
enum RangeForm {
    Number(f64),
    Bounds([f64; 2]),
}

impl From<RangeForm> for Range {
    fn from(form: RangeForm) -> Range {
        match form {
            RangeForm::Number(value) => Range { min: value, max: value },
            RangeForm::Bounds([min, max]) => Range { min, max },
        }
    }
}

impl From<Range> for RangeForm {
    fn from(range: Range) -> RangeForm {
        if range.min == range.max {
            RangeForm::Number(range.min)
        } else {
            RangeForm::Bounds([range.min, range.max])
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
