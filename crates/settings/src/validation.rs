//! Validation of settings.

use crate::error::{InvalidSetting, SettingProblem};
use crate::raw::{RawSettings, RawTopicType, deduplication_scope, semantics};

const FRACTION: std::ops::RangeInclusive<f64> = 0.0..=1.0;

impl RawSettings {
    /// Checks whether a relay can use these settings.
    ///
    /// # Errors
    ///
    /// Returns the first setting that a relay cannot use.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        self.validate_limits()?;
        self.validate_rules()?;
        for (index, topic_type) in self.topic_types.iter().enumerate() {
            let problem = topic_type_problem(topic_type, &self.topic_types[..index]);
            if let Some((field, problem)) = problem {
                return invalid(format!("classes[{index}].{field}"), problem);
            }
        }
        let is_duplicate = |index: &usize| self.kinds[..*index].contains(&self.kinds[*index]);
        match (0..self.kinds.len()).find(is_duplicate) {
            Some(index) => invalid(format!("kinds[{index}]"), SettingProblem::KindNotUnique),
            None => Ok(()),
        }
    }

    fn validate_limits(&self) -> Result<(), InvalidSetting> {
        if self.kind_info.slots == 0 {
            return invalid("family-info.slots", SettingProblem::Zero);
        }
        if self.limits.max_pushes == 0 {
            return invalid("ceilings.max-attempts", SettingProblem::Zero);
        }
        if self.topic_types.is_empty() {
            return invalid("classes", SettingProblem::NoTopicTypes);
        }
        Ok(())
    }

    fn validate_rules(&self) -> Result<(), InvalidSetting> {
        let rules = &self.rules;
        if rules.overload_factor.is_some_and(|factor| !(factor >= 1.0 && factor.is_finite())) {
            return invalid("rules.fall-multiple", SettingProblem::BelowOne);
        }
        let is_unusable = |fraction: f64| fraction <= 0.0 || !FRACTION.contains(&fraction);
        if rules.warm_up_initial_fraction.is_some_and(is_unusable) {
            return invalid("rules.cold-from", SettingProblem::NotPositiveFraction);
        }
        if self.costs.cross_zone < 0.0 || !self.costs.cross_zone.is_finite() {
            return invalid("costs.cross-zone", SettingProblem::Negative);
        }
        Ok(())
    }
}

fn invalid(key: impl Into<String>, problem: SettingProblem) -> Result<(), InvalidSetting> {
    Err(InvalidSetting { key: key.into(), problem })
}

/// The first key of a topic type that has a problem, and the problem.
fn topic_type_problem(
    topic_type: &RawTopicType, earlier: &[RawTopicType],
) -> Option<(&'static str, SettingProblem)> {
    let known_semantics = [semantics::IDEMPOTENT, semantics::DEDUPLICATED, semantics::NON_IDEMPOTENT];
    let known_scopes = ["", deduplication_scope::ALL, deduplication_scope::ZONE];
    let is_deduplicated = topic_type.semantics == semantics::DEDUPLICATED;
    if !known_semantics.contains(&topic_type.semantics.as_str()) {
        return Some(("semantics", SettingProblem::UnknownSemantics));
    }
    if is_deduplicated && !known_scopes.contains(&topic_type.deduplication_scope.as_str()) {
        return Some(("dedup-scope", SettingProblem::UnknownDeduplicationScope));
    }
    if !FRACTION.contains(&topic_type.late_benefit_fraction) {
        return Some(("late-value", SettingProblem::NotFraction));
    }
    if topic_type.name.is_empty() || earlier.iter().any(|other| other.name == topic_type.name) {
        return Some(("name", SettingProblem::TopicTypeNameNotUnique));
    }
    None
}
