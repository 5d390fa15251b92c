//! Everything that is wrong with a configuration.

use std::fmt;

use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};

use crate::location::Location;
use crate::problem::Problem;

/// The number of findings that are listed; further ones are only counted.
pub const MAX_FINDINGS: usize = 100;

/// Something wrong, and its location.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Where.
    pub location: Location,
    /// What.
    pub problem: Problem,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

impl Serialize for Finding {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut finding = serializer.serialize_struct("Finding", 2)?;
        finding.serialize_field("place", &self.location)?;
        finding.serialize_field("problem", &self.problem.to_string())?;
        finding.end()
    }
}

/// Everything that is wrong with a configuration, in the order in which it was found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The first [`MAX_FINDINGS`].
    findings: Vec<Finding>,
    /// The number of further findings.
    omitted: usize,
}

impl Findings {
    /// The findings that are listed, [`MAX_FINDINGS`] at most.
    pub fn listed(&self) -> &[Finding] {
        &self.findings
    }

    /// The number of further findings.
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// A single finding.
    pub(crate) fn single(location: Location, problem: Problem) -> Self {
        Findings { findings: vec![Finding { location, problem }], omitted: 0 }
    }

    /// Adds a finding, or counts it if the list is full.
    pub(crate) fn add(&mut self, location: Location, problem: Problem) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(Finding { location, problem });
        } else {
            self.omitted += 1;
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{finding}")?;
        }
        if self.omitted > 0 {
            write!(f, "; and {} more", self.omitted)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
