//! Validates services.

use std::collections::btree_map::Entry;
use std::sync::Arc;

use juniperwing_protocol::identity::ServiceName;

use super::Checker;
use super::fields::MAX_EXACT_INTEGER;
use super::section::Section;
use crate::message::{BackendMessage, EngineMessage};
use crate::problem::Problem;
use crate::service::{Engine, ModelName, Service};

impl Checker {
    pub(super) fn services(&mut self, messages: Vec<BackendMessage>) -> Vec<Arc<Service>> {
        let mut services = Vec::with_capacity(messages.len());
        for (index, message) in messages.into_iter().enumerate() {
            services.push(Arc::new(self.service(index, message)));
        }
        services
    }

    fn service(&mut self, index: usize, message: BackendMessage) -> Service {
        let section = Section::Service(index);
        let name = ServiceName(self.required_string(section, "name", message.name));
        self.register_service(index, &name);
        Service {
            name,
            health_check: message.health_check.filter(|path| !path.is_empty()).map(Arc::from),
            max_connections: self.count(section, "maxConnections", message.max_connections),
            protocol: message.protocol.filter(|protocol| !protocol.is_empty()).map(Arc::from),
            tls: message.tls.unwrap_or(false),
            engine: message.engine.map(|engine| self.engine(index, engine)),
        }
    }

    /// Registers a service by its name; a duplicate is a finding.
    fn register_service(&mut self, index: usize, name: &ServiceName) {
        if name.0.is_empty() {
            return;
        }
        match self.services.entry(name.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(index);
            }
            Entry::Occupied(entry) => {
                let problem = Problem::DuplicateService { first: *entry.get() };
                self.findings.add(Section::Service(index).field("name"), problem);
            }
        }
    }

    fn engine(&mut self, service: usize, message: EngineMessage) -> Engine {
        let section = Section::Engine(service);
        let models = message.models.into_iter().filter_map(|model| model.name);
        Engine {
            capacity: self.count(section, "capacity", message.capacity),
            kv_tokens: self.byte_or_token_count(section, "kvTokens", message.kv_tokens),
            kv_bytes: self.byte_or_token_count(section, "kvBytes", message.kv_bytes),
            link_mbps: self.number(section, "linkMbps", message.link_mbps, MAX_EXACT_INTEGER),
            tokens_per_event: self.count(section, "stride", message.stride).unwrap_or(1),
            models: models.map(|name| ModelName(name.into())).collect(),
        }
    }
}
