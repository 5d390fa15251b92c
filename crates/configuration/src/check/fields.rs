//! Checks single fields.

use std::sync::Arc;

use juniperwing_clock::Span;

use super::Checker;
use super::section::Section;
use crate::problem::Problem;

/// The longest span that is allowed, in milliseconds: a year of 366 days.
pub(super) const MAX_SPAN_MS: f64 = 366.0 * 86_400_000.0;
/// The greatest weight, priority, or number of endpoints, connections or requests.
pub(super) const MAX_COUNT: f64 = u32::MAX as f64;
/// The greatest number of bytes or tokens; doubles are exact up to here.
pub(super) const MAX_AMOUNT: f64 = (1_u64 << 53) as f64;

impl Checker {
    /// A text that is required and must not be empty; empty after a finding.
    pub(super) fn text(&mut self, section: Section, field: &str, value: Option<String>) -> Arc<str> {
        match value.as_deref() {
            None => self.findings.add(section.field(field), Problem::Missing),
            Some("") => self.findings.add(section.field(field), Problem::Empty),
            Some(_) => {}
        }
        value.unwrap_or_default().into()
    }

    /// A span in milliseconds; `None` if it is missing or 0.
    pub(super) fn span_ms(&mut self, section: Section, field: &str, value: Option<f64>) -> Option<Span> {
        let millis = self.number(section, field, value, MAX_SPAN_MS)?;
        let span = Span::from_secs_f64(millis / 1e3);
        // A tiny span is not rounded to 0, which means that the field is not given.
        Some(span.max(Span::from_nanos(1)))
    }

    /// An integer that counts things; `None` if it is missing or 0.
    pub(super) fn count(&mut self, section: Section, field: &str, value: Option<f64>) -> Option<u32> {
        self.integer(section, field, value, MAX_COUNT).map(|count| count as u32)
    }

    /// An integer number of bytes or tokens; `None` if it is missing or 0.
    pub(super) fn amount(&mut self, section: Section, field: &str, value: Option<f64>) -> Option<u64> {
        self.integer(section, field, value, MAX_AMOUNT)
    }

    /// An integer from 0 to `max`; `None` if it is missing or 0.
    fn integer(&mut self, section: Section, field: &str, value: Option<f64>, max: f64) -> Option<u64> {
        let value = self.number(section, field, value, max)?;
        if value.fract() != 0.0 {
            self.findings.add(section.field(field), Problem::NotInteger { value });
            return None;
        }
        Some(value as u64)
    }

    /// A number from 0 to `max`; `None` if it is missing, 0 or out of this range.
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
