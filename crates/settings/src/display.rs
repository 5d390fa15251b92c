//! A one-line summary of settings for operators.

use std::fmt;

use crate::settings::Settings;

impl fmt::Display for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (fleet, limits, rules) =
            (&self.relay_config.fleet, &self.relay_config.limits, &self.relay_config.rules);
        let topic_types: Vec<&str> = self.topic_types.iter().map(|t| t.name.as_str()).collect();
        let kinds: Vec<&str> = self.kinds.iter().map(|kind| kind.name.as_str()).collect();
        write!(f, "{} relays, the list ", fleet.relay_count)?;
        f.write_str(if fleet.is_list_pushed { "pushed" } else { "asked for" })?;
        f.write_str(if fleet.has_listed_rates { ", with rates" } else { ", with no rates to go by" })?;
        if let Some(home_zone) = &fleet.home_zone {
            write!(f, "; zone {home_zone} first")?;
        }
        write!(f, "; {} slots, {} pushes, {} held", limits.slots, limits.max_pushes, limits.max_pending)?;
        write!(f, ", {} s to come back at the most", limits.max_retry_after.as_secs_f64())?;
        write!(f, ", connections idle for {} s", limits.idle_timeout.as_secs_f64())?;
        write!(f, "; cold from {}", rules.warm_up_initial_fraction)?;
        write!(f, " for {} s", rules.warm_up_duration.as_secs_f64())?;
        write!(f, ", falls above {} times", rules.overload_factor)?;
        write!(f, " for {} s", rules.overload_duration.as_secs_f64())?;
        write!(f, "; topic types {}; kinds {}", topic_types.join(", "), kinds.join(", "))
    }
}
