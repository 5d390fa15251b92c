//! Human-readable description of settings, for `--check`.

use std::net::SocketAddr;

use super::{InternalPort, Settings};
use crate::role::Role;

impl Settings {
    /// The missing keys that a role requires.
    pub fn missing_keys(&self, role: Role) -> Vec<&'static str> {
        let listeners = &self.listeners_map;
        let required = match role {
            Role::Relay => vec![
                ("listenersMap.frontend", listeners.frontend.is_some()),
                ("listenersMap.readiness", listeners.readiness.is_some()),
            ],
            Role::Keeper => vec![
                ("listenersMap.controlPlane", listeners.control_plane.is_some()),
                ("dataDirectory", self.data_directory.is_some()),
            ],
            Role::Store => vec![("dataDirectory", self.data_directory.is_some())],
        };
        required.into_iter().filter(|(_, is_given)| !is_given).map(|(key, _)| key).collect()
    }

    /// Describes the settings that a role uses, one per line.
    pub fn describe(&self, role: Role) -> String {
        let mut lines = vec![format!("{} {} in zone {}", role.name(), self.node_name, self.zone)];
        lines.extend(self.describe_listeners(role));
        lines.push(format!("seed keepers: {}", format_addresses(&self.seed_keepers())));
        if let (Role::Keeper | Role::Store, Some(directory)) = (role, &self.data_directory) {
            lines.push(format!("keeps its data in {}", directory.display()));
        }
        if role == Role::Keeper {
            let start_mode =
                if self.bootstrap { "founds a tier if its folder is empty" } else { "joins a tier" };
            lines.push(start_mode.to_owned());
        }
        let (machines, replicas) = (self.fault_tolerance.machines, self.required_replicas());
        lines.push(format!(
            "bears the loss of {machines} machines: {replicas} copies of what is acknowledged"
        ));
        let limits = &self.limits;
        lines.push(format!(
            "may use {} MB of memory, {} descriptors, {} MB of disk",
            limits.memory_mb, limits.max_fds, limits.disk_mb
        ));
        lines.join("\n") + "\n"
    }

    fn describe_listeners(&self, role: Role) -> Vec<String> {
        let listeners = &self.listeners_map;
        let line = |purpose: &str, address: Option<SocketAddr>| {
            address.map(|address| format!("listens on {address} for {purpose}"))
        };
        let lines = match role {
            Role::Relay => {
                vec![line("clients", listeners.frontend), line("readiness checks", listeners.readiness)]
            }
            Role::Keeper => vec![
                line("endpoints and operators", listeners.control_plane),
                line("the tier", Some(self.own_address(InternalPort::Keeper))),
            ],
            Role::Store => vec![line("the tier", Some(self.own_address(InternalPort::Store)))],
        };
        lines.into_iter().flatten().collect()
    }
}

fn format_addresses(addresses: &[SocketAddr]) -> String {
    if addresses.is_empty() {
        return "none".to_owned();
    }
    addresses.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
