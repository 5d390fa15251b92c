//! The roles of processes of the tier.

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Forwards requests of clients to endpoints.
    Relay,
    /// Replicates the control state: the configuration, the endpoints and the store map.
    Keeper,
    /// Stores turns and budgets of programs.
    Store,
}

impl Role {
    /// Parses the name of a role, as on the command line and in settings.
    pub fn from_name(name: &str) -> Option<Role> {
        [Role::Relay, Role::Keeper, Role::Store].into_iter().find(|role| role.name() == name)
    }

    /// The name of the role, as on the command line and in settings.
    pub fn name(self) -> &'static str {
        match self {
            Role::Relay => "relay",
            Role::Keeper => "keeper",
            Role::Store => "store",
        }
    }
}
