//! Settings files of the processes of a tier, valid ones and faulty ones.

use std::path::PathBuf;
use std::time::Duration;

use juniperwing_node::role::Role;

use crate::faults::{Machine, SettingsFile};
use crate::network::{CONTROL_PORT, FRONTEND_PORT, METRICS_PORT, Network, READINESS_PORT, TIER_PORTS};
use crate::schedule::KEEPER_COUNT;

/// `bounds.graceS` of all processes.
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// The number of a machine that does not exist.
const ABSENT_MACHINE_NUMBER: usize = 100;
/// Number of seeds of a file with other seeds.
const OTHER_SEED_COUNT: usize = 2;

/// Values from which the settings of a process are made.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings {
    pub(crate) network: Network,
    pub(crate) machine: Machine,
    /// Its data directory.
    pub(crate) data: PathBuf,
    /// Whether it takes part in the bootstrap of the tier.
    pub(crate) is_bootstrap_member: bool,
}

impl NodeSettings {
    /// The text of the settings file; `file` selects contents other than the valid ones.
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

    /// The control listeners of all keepers.
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
