//! Settings, converted to the core's types.

use std::sync::Arc;

use juniperwing::interface::{Account, DestinationKind, RateLimitReport, RelayConfig, TopicType};
use juniperwing::time::Span;

use crate::error::IncompatibleSettings;

/// Settings of connections to endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionSettings {
    /// The time after which endpoints close idle connections; zero if unknown.
    pub idle_timeout: Span,
    /// A connection that is not established within this time never will be; zero if unknown.
    pub connect_timeout: Span,
    /// Whether two pushes of one notification may be in flight at the same time.
    pub is_hedging_allowed: bool,
}

/// The settings of a relay, converted to the core's types.
#[derive(Debug, Default)]
pub struct Settings {
    /// The core's configuration.
    pub relay_config: RelayConfig,
    /// Settings of connections to endpoints.
    pub connections: ConnectionSettings,
    pub(crate) topic_types: Vec<Arc<TopicType>>,
    pub(crate) kinds: Vec<Arc<DestinationKind>>,
    pub(crate) accounts: Vec<Arc<Account>>,
    pub(crate) load_report: LoadReportLayout,
}

/// The names of the values in a load report, and the indices of those for the rate limit.
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
    /// Returns the first topic type or kind in use that is in these settings but not in the replacement.
    pub fn check_replacement<'a>(
        &self, replacement: &Settings, mut topic_types: impl Iterator<Item = &'a str>,
        mut kinds: impl Iterator<Item = &'a str>,
    ) -> Result<(), IncompatibleSettings> {
        let is_removed =
            |name: &&str| self.topic_type(name).is_some() && replacement.topic_type(name).is_none();
        if let Some(name) = topic_types.find(is_removed) {
            return Err(IncompatibleSettings::TopicTypeMissing { name: name.to_owned() });
        }
        let is_removed = |name: &&str| self.has_kind(name) && !replacement.has_kind(name);
        match kinds.find(is_removed) {
            Some(name) => Err(IncompatibleSettings::KindMissing { name: name.to_owned() }),
            None => Ok(()),
        }
    }

    fn has_kind(&self, name: &str) -> bool {
        self.kinds.iter().any(|kind| kind.name == name)
    }

    /// The kind with this name, or one with default properties if it is unknown.
    pub fn kind(&self, name: &str) -> Arc<DestinationKind> {
        let known = self.kinds.iter().find(|kind| kind.name == name).cloned();
        known.unwrap_or_else(|| Arc::new(default_kind(name)))
    }

    /// Reads a destination's rate limit from a load report with its values in the configured order.
    pub fn rate_limit(&self, values: &[f64]) -> Option<RateLimitReport> {
        self.rate_limit_from(|index| values.get(index).copied())
    }

    /// Reads a destination's rate limit from a load report with named values.
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

/// A kind with default properties.
pub(crate) fn default_kind(name: &str) -> DestinationKind {
    DestinationKind { name: name.to_owned(), has_separate_routes: false, max_notifications_per_call: 1 }
}
