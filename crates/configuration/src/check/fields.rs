//! Validates single fields.

use std::sync::Arc;

use juniperwing_clock::Span;

use super::Checker;
use super::section::Section;
use crate::problem::Problem;

/// Upper limit of durations, in milliseconds: a year of 366 days.
pub(super) const MAX_DURATION_MS: f64 = 366.0 * 86_400_000.0;
/// Upper limit of weights, priorities, and numbers of endpoints, connections or requests.
pub(super) const MAX_COUNT: f64 = u32::MAX as f64;
/// Upper limit of numbers of bytes or tokens: a double represents every integer up to here exactly.
pub(super) const MAX_EXACT_INTEGER: f64 = (1_u64 << 53) as f64;

impl Checker {
    /// Returns a required string, which must not be empty; an empty one after a finding.
    pub(super) fn required_string(
        &mut self, section: Section, field: &str, value: Option<String>,
    ) -> Arc<str> {
        match value.as_deref() {
            None => self.findings.add(section.field(field), Problem::Missing),
            Some("") => self.findings.add(section.field(field), Problem::Empty),
            Some(_) => {}
        }
        value.unwrap_or_default().into()
    }

    /// Converts a duration in milliseconds; `None` if it is missing, 0 or invalid.
    pub(super) fn duration_ms(&mut self, section: Section, field: &str, value: Option<f64>) -> Option<Span> {
        let millis = self.number(section, field, value, MAX_DURATION_MS)?;
        let span = Span::from_secs_f64(millis / 1e3);
        // A duration below 1 ns must not be rounded to 0, which means that the field is not given.
        Some(span.max(Span::from_nanos(1)))
    }

    /// Converts a 32-bit count; `None` if it is missing, 0 or invalid.
    pub(super) fn count(&mut self, section: Section, field: &str, value: Option<f64>) -> Option<u32> {
        self.integer(section, field, value, MAX_COUNT).map(|count| count as u32)
    }

    /// Converts a number of bytes or tokens; `None` if it is missing, 0 or invalid.
    pub(super) fn byte_or_token_count(
        &mut self, section: Section, field: &str, value: Option<f64>,
    ) -> Option<u64> {
        self.integer(section, field, value, MAX_EXACT_INTEGER)
    }

    /// Converts an integer from 0 to `max`; `None` if it is missing, 0 or invalid.
    fn integer(&mut self, section: Section, field: &str, value: Option<f64>, max: f64) -> Option<u64> {
        let value = self.number(section, field, value, max)?;
        if value.fract() != 0.0 {
            self.findings.add(section.field(field), Problem::NotInteger { value });
            return None;
        }
        Some(value as u64)
    }

    /// Checks that a number is in the range from 0 to `max`; `None` if it is missing, 0 or out of this range.
    pub(super) fn number(
        &mut self, section: Section, field: &str, value: Option<f64>, max: f64,
    ) -> Option<f64> {
        let value = value?;
        if value < 0.0 {
            self.findings.add(section.field(field), Problem::Negative { value });
            return None;
        }
        if value > max {
            self.findings.add(section.field(field), Problem::NumberTooLarge { value, max });
            return None;
        }
        Some(value).filter(|value| *value > 0.0)
    }
}
