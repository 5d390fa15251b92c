//! Straight lines through measured points.

use serde::{Deserialize, Serialize};

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The value at 0.
    pub intercept: f64,
    /// What one more adds.
    pub slope: f64,
    /// The root of the mean square of what the line leaves.
    pub residual: f64,
}

impl Line {
    /// The line through these points; `None` if they are fewer than two or all at one place.
    pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let left: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        Some(Line { intercept, slope, residual: (left / count).sqrt() })
    }

    /// The line's value.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
