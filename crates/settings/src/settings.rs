//! Settings in the core's types.

use std::sync::Arc;

use juniperwing::interface::{Account, DestinationKind, RateLimitReport, RelayConfig, TopicType};
use juniperwing::time::Span;

use crate::error::IncompatibleSettings;

/// What connections to endpoints may do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    /// An idle one is closed by its endpoint after this time; zero if that is unknown.
    pub idle_timeout: Span,
    /// One that is not up within this time never comes up; zero if that is unknown.
    pub connect_timeout: Span,
    /// Whether two pushes of one notification may be in flight together.
    pub is_hedging_allowed: bool,
}

/// Settings in the core's types.
#[derive(Debug, Default)]
pub struct Settings {
    /// The core's configuration.
    pub relay_config: RelayConfig,
    /// Connections to endpoints.
    pub connections: Connections,
    pub(crate) topic_types: Vec<Arc<TopicType>>,
    pub(crate) kinds: Vec<Arc<DestinationKind>>,
    pub(crate) accounts: Vec<Arc<Account>>,
    pub(crate) load_report: LoadReportLayout,
}

/// The names of the values in a load report, and the indices of those that concern the rate limit.
#[derive(Debug, Default)]
pub(crate) struct LoadReportLayout {
    pub(crate) fields: Vec<String>,
    pub(crate) remaining_fraction: Option<usize>,
    pub(crate) rate_per_second: Option<usize>,
}

impl Settings {
    /// The topic type with this name.
    pub fn topic_type(&self, name: &str) -> Option<Arc<TopicType>> {
        self.topic_types.iter().find(|topic_type| topic_type.name == name).cloned()
    }

    /// The longest TTL of all topic types.
    pub fn max_ttl(&self) -> Span {
        self.topic_types.iter().map(|topic_type| topic_type.ttl).max().unwrap_or_default()
    }

    /// The account with this name.
    pub fn account(&self, name: &str) -> Option<Arc<Account>> {
        self.accounts.iter().find(|account| account.name == name).cloned()
    }

    /// Checks whether `replacement` may replace these settings while notifications of these topic types are pending and
    /// endpoints of these kinds are listed.
    ///
    /// # Errors
    ///
    /// The first topic type or kind in use that these settings have and the replacement has not.
    pub fn check_replacement<'a>(
        &self, replacement: &Settings, mut topic_types: impl Iterator<Item = &'a str>,
        mut kinds: impl Iterator<Item = &'a str>,
    ) -> Result<(), IncompatibleSettings> {
        let is_lost = |name: &&str| self.topic_type(name).is_some() && replacement.topic_type(name).is_none();
        if let Some(name) = topic_types.find(is_lost) {
            return Err(IncompatibleSettings::TopicTypeMissing { name: name.to_owned() });
        }
        let is_lost = |name: &&str| self.has_kind(name) && !replacement.has_kind(name);
        match kinds.find(is_lost) {
            Some(name) => Err(IncompatibleSettings::KindMissing { name: name.to_owned() }),
            None => Ok(()),
        }
    }

    fn has_kind(&self, name: &str) -> bool {
        self.kinds.iter().any(|kind| kind.name == name)
    }

    /// The kind with this name, or one with nothing but the name.
    pub fn kind(&self, name: &str) -> Arc<DestinationKind> {
        let known = self.kinds.iter().find(|kind| kind.name == name).cloned();
        known.unwrap_or_else(|| Arc::new(plain_kind(name)))
    }

    /// A destination's report of its rate limit, from a load report with its values in the order of the settings.
    pub fn rate_limit(&self, values: &[f64]) -> Option<RateLimitReport> {
        self.rate_limit_from(|index| values.get(index).copied())
    }

    /// The same, from a load report whose values have their names.
    pub fn rate_limit_by_name(&self, value: impl Fn(&str) -> Option<f64>) -> Option<RateLimitReport> {
        self.rate_limit_from(|index| value(self.load_report.fields.get(index)?))
    }

    fn rate_limit_from(&self, value: impl Fn(usize) -> Option<f64>) -> Option<RateLimitReport> {
        Some(RateLimitReport {
            remaining_fraction: value(self.load_report.remaining_fraction?)?,
            rate_per_second: value(self.load_report.rate_per_second?)?,
        })
    }
}

/// A kind of which nothing but the name is known.
pub(crate) fn plain_kind(name: &str) -> DestinationKind {
    DestinationKind { name: name.to_owned(), has_separate_routes: false, max_notifications_per_call: 1 }
}
