//! Findings: the problems of an invalid configuration.

use std::fmt;

use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};

use crate::location::Location;
use crate::problem::Problem;

/// Maximum number of listed findings; further ones are only counted.
pub const MAX_FINDINGS: usize = 100;

/// A problem and its location.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Where the problem is.
    pub location: Location,
    /// The problem.
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

/// The findings about a configuration, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The first [`MAX_FINDINGS`].
    findings: Vec<Finding>,
    /// The number of further findings.
    omitted: usize,
}

impl Findings {
    /// The listed findings, at most [`MAX_FINDINGS`].
    pub fn listed(&self) -> &[Finding] {
        &self.findings
    }

    /// The number of further findings.
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Creates a list with a single finding.
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
