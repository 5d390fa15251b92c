//! Reloading of the configuration.

use juniperwing::interface::Event;
use juniperwing::time::Time;
use slog::{info, warn};

use super::Server;
use crate::config::Config;

impl Server {
    /// Reloads the configuration. Settings and the address of discovery take effect immediately. Notifications keep the
    /// guarantee and the time to live with which they were accepted, and calls, pauses and drains in progress continue.
    /// An incomplete or invalid file changes nothing.
    pub(super) fn reload(&mut self, now: Time) {
        let config = match Config::read(Some(self.config_path.clone())) {
            Ok(config) => config,
            Err(e) => return warn!(self.log, "configuration reload failed"; "error" => e.to_string()),
        };
        let live_topics = self.journal.live().map(|(_, entry)| entry.notification.attributes.topic.as_str());
        if let Err(error) =
            self.settings.check_replacement(&config.settings, live_topics, self.discovery.kinds())
        {
            return warn!(self.log, "configuration reload failed"; "error" => error.to_string());
        }
        let changed_keys = self.static_config.changed_keys(&config.static_config);
        if !changed_keys.is_empty() {
            warn!(self.log, "configuration changes need a restart"; "keys" => changed_keys.join(", "));
        }
        info!(self.log, "configuration reloaded"; "discovery" => config.discovery_address.to_string(),
            "settings" => config.settings.to_string());
        self.settings = config.settings;
        self.upstream.apply_settings(&mut self.net, self.settings.connections);
        self.core.enqueue(Event::ConfigChanged(self.settings.relay_config.clone()));
        self.core.enqueue(Event::EndpointListUpdated(self.discovery.apply_settings(&self.settings)));
        if config.discovery_address == self.discovery.address {
            return;
        }
        self.notices.change_address(&mut self.net, config.discovery_address, now);
        if let Err(e) = self.discovery.change_address(&mut self.net, config.discovery_address, now) {
            self.handle_watch_failure(e);
        }
    }
}
