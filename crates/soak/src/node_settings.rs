//! Valid and faulty settings files for the processes of a tier.

use std::path::PathBuf;
use std::time::Duration;

use juniperwing_node::role::Role;

use crate::faults::{Machine, SettingsFile};
use crate::network::{CONTROL_PORT, FRONTEND_PORT, METRICS_PORT, Network, READINESS_PORT, TIER_PORTS};
use crate::schedule::KEEPER_COUNT;

/// `bounds.graceS` of all processes.
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Number of a machine that does not exist.
const ABSENT_MACHINE_NUMBER: usize = 100;
/// Number of seed nodes in [`SettingsFile::OtherSeeds`].
const OTHER_SEED_COUNT: usize = 2;

/// Values from which the settings file of a process is generated.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings {
    pub(crate) network: Network,
    pub(crate) machine: Machine,
    /// The data directory of the process.
    pub(crate) data: PathBuf,
    /// Whether the process takes part in the bootstrap of the tier.
    pub(crate) is_bootstrap_member: bool,
}

impl NodeSettings {
    /// The contents of the settings file; `file` selects other contents than the regular ones.
    pub(crate) fn text(&self, file: Option<SettingsFile>) -> String {
        match file {
            None => self.valid_text(self.seeds()),
            Some(SettingsFile::Empty) => String::new(),
            Some(SettingsFile::Broken) => "nodeName = \"x\"\n[limits".to_owned(),
            Some(SettingsFile::OtherSeeds) => {
                let mut seeds = self.seeds();
                seeds.rotate_left(1);
                seeds.truncate(OTHER_SEED_COUNT);
                self.valid_text(seeds)
            }
            Some(SettingsFile::Moved) => {
                let machine = Machine { number: ABSENT_MACHINE_NUMBER, ..self.machine };
                let data = self.data.with_file_name("moved");
                NodeSettings { machine, data, ..self.clone() }.valid_text(self.seeds())
            }
        }
    }

    /// The seed nodes: the control listeners of all keepers.
    fn seeds(&self) -> Vec<String> {
        let listener = |number| self.network.listener(Role::Keeper, number, CONTROL_PORT);
        (0..KEEPER_COUNT).map(|number| format!("\"{}\"", listener(number))).collect()
    }

    fn valid_text(&self, seeds: Vec<String>) -> String {
        let machine = self.machine;
        let address = self.network.machine(machine.role, machine.number);
        let listeners = match machine.role {
            Role::Keeper => format!("controlPlane = \"{address}:{CONTROL_PORT}\""),
            Role::Relay => format!(
                "frontend = \"{address}:{FRONTEND_PORT}\"\nreadiness = \"{address}:{READINESS_PORT}\""
            ),
            Role::Store => String::new(),
        };
        format!(
            "nodeName = \"{machine}\"\nrole = \"{role}\"\nipAddress = \"{address}\"\nzone = \"a\"\n\
             ephemeralPorts = [{first}, {last}]\nseedNodes = [{seeds}]\nbootstrap = {is_bootstrap_member}\n\
             dataDirectory = \"{data}\"\nheartbeatMs = 600\nmetrics = \"{METRICS_PORT}/metrics\"\n\
             [listenersMap]\n{listeners}\n[limits]\nmemoryMb = 200\nmaxFds = 1024\ndiskMb = 128\n\
             [faultTolerance]\nmachines = 1\n\
             [bounds]\ngraceS = {grace}\nconfigApplyMs = 2000\ndrainMs = 2000\nackMs = 4000\ncontactMs = 3000\n",
            role = machine.role.name(),
            first = TIER_PORTS.0,
            last = TIER_PORTS.1,
            seeds = seeds.join(", "),
            is_bootstrap_member = self.is_bootstrap_member,
            data = self.data.display(),
            grace = GRACE_PERIOD.as_secs(),
        )
    }
}
