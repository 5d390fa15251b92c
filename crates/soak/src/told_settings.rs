//! The settings files of the processes of a tier, proper ones and others.

use std::path::PathBuf;
use std::time::Duration;

use juniperwing_node::role::Role;

use crate::network::{CONTROL_PORT, FRONTEND_PORT, METRICS_PORT, Network, READINESS_PORT, TIER_PORTS};
use crate::schedule::KEEPERS;
use crate::troubles::{Machine, SettingsFile};

/// `bounds.graceS` of all processes.
pub const GRACE: Duration = Duration::from_secs(6);
/// A machine that is not there.
const ELSEWHERE: usize = 100;
/// Seeds of a file with other seeds.
const OTHER_SEEDS: usize = 2;

/// What the settings of a process follow from.
#[derive(Clone, Debug)]
pub(crate) struct ToldSettings {
    pub(crate) network: Network,
    pub(crate) machine: Machine,
    /// Its data folder.
    pub(crate) data: PathBuf,
    /// Whether it belongs to the first start of the tier.
    pub(crate) founds: bool,
}

impl ToldSettings {
    /// The text of the file; `file` names a kind that is not the proper one.
    pub(crate) fn text(&self, file: Option<SettingsFile>) -> String {
        match file {
            None => self.proper(self.seeds()),
            Some(SettingsFile::Empty) => String::new(),
            Some(SettingsFile::Broken) => "nodeName = \"x\"\n[limits".to_owned(),
            Some(SettingsFile::OtherSeeds) => {
                let mut seeds = self.seeds();
                seeds.rotate_left(1);
                seeds.truncate(OTHER_SEEDS);
                self.proper(seeds)
            }
            Some(SettingsFile::Moved) => {
                let machine = Machine { number: ELSEWHERE, ..self.machine };
                let data = self.data.with_file_name("moved");
                ToldSettings { machine, data, ..self.clone() }.proper(self.seeds())
            }
        }
    }

    /// The control listeners of all keepers.
    fn seeds(&self) -> Vec<String> {
        let listener = |number| self.network.listener(Role::Keeper, number, CONTROL_PORT);
        (0..KEEPERS).map(|number| format!("\"{}\"", listener(number))).collect()
    }

    fn proper(&self, seeds: Vec<String>) -> String {
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
             ephemeralPorts = [{first}, {last}]\nseedNodes = [{seeds}]\nbootstrap = {founds}\n\
             dataDirectory = \"{data}\"\nheartbeatMs = 600\nmetrics = \"{METRICS_PORT}/metrics\"\n\
             [listenersMap]\n{listeners}\n[limits]\nmemoryMb = 200\nmaxFds = 1024\ndiskMb = 128\n\
             [faultTolerance]\nmachines = 1\n\
             [bounds]\ngraceS = {grace}\nconfigApplyMs = 2000\ndrainMs = 2000\nackMs = 4000\ncontactMs = 3000\n",
            role = machine.role.name(),
            first = TIER_PORTS.0,
            last = TIER_PORTS.1,
            seeds = seeds.join(", "),
            founds = self.founds,
            data = self.data.display(),
            grace = GRACE.as_secs(),
        )
    }
}
