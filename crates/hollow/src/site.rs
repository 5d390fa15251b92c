//! A small tier of real processes on loopback addresses: keepers, stores and one relay.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::usage::{self, Usage};

/// Keepers of a site.
pub const KEEPERS: usize = 3;
/// Stores of a site.
pub const STORES: usize = 3;
/// The control listener's port.
const CONTROL_PORT: u16 = 8_144;
/// The first of the ports for the tier's own messages.
const FIRST_PORT: u16 = 7_380;
/// The offset of a keeper's port from it.
const KEEPER_OFFSET: u16 = 1;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Keeps configuration and endpoints.
    Keeper,
    /// Keeps turns.
    Store,
    /// Carries traffic; here it only listens to keepers.
    Relay,
}

impl Role {
    /// Its name, as on the command line and in the data file.
    pub fn name(self) -> &'static str {
        match self {
            Role::Keeper => "keeper",
            Role::Store => "store",
            Role::Relay => "relay",
        }
    }

    /// The last part of the loopback addresses of its machines begins here.
    fn first_host(self) -> usize {
        match self {
            Role::Keeper => 1,
            Role::Store => 11,
            Role::Relay => 21,
        }
    }
}

struct Running {
    role: Role,
    child: Child,
}

/// The processes of a site. They end when it is dropped.
pub struct Site {
    network: u8,
    folder: PathBuf,
    running: Vec<Running>,
}

impl Site {
    /// Starts a site on 127.NETWORK.0.0 with empty disks under a folder of its own.
    ///
    /// # Errors
    ///
    /// If files cannot be written or a process cannot be started.
    pub fn start(program: &Path, folder: &Path, network: u8) -> io::Result<Site> {
        fs::create_dir_all(folder)?;
        let mut site = Site { network, folder: folder.to_owned(), running: Vec::new() };
        for (role, count) in [(Role::Keeper, KEEPERS), (Role::Store, STORES), (Role::Relay, 1)] {
            for number in 0..count {
                site.start_process(program, role, number)?;
            }
        }
        Ok(site)
    }

    /// The control listeners of the keepers.
    pub fn control(&self) -> Vec<SocketAddr> {
        (0..KEEPERS).map(|number| self.address(Role::Keeper, number, CONTROL_PORT)).collect()
    }

    /// Where the keepers listen for relays and stores.
    pub fn internal(&self) -> Vec<SocketAddr> {
        (0..KEEPERS).map(|number| self.address(Role::Keeper, number, FIRST_PORT + KEEPER_OFFSET)).collect()
    }

    /// What the processes of a role have used so far.
    ///
    /// # Errors
    ///
    /// If one of them has ended.
    pub fn usage(&self, role: Role) -> io::Result<Vec<Usage>> {
        let running = self.running.iter().filter(|running| running.role == role);
        running.map(|running| usage::of(running.child.id())).collect()
    }

    fn start_process(&mut self, program: &Path, role: Role, number: usize) -> io::Result<()> {
        let name = format!("{}-{number}", role.name());
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(role, number, &name))?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .arg(role.name())
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.running.push(Running { role, child });
        Ok(())
    }

    fn settings(&self, role: Role, number: usize, name: &str) -> String {
        let ip = self.address(role, number, 0).ip();
        let seeds: Vec<String> = self.control().iter().map(|seed| format!("\"{seed}\"")).collect();
        let mut text = format!(
            "nodeName = \"{name}\"\nipAddress = \"{ip}\"\nzone = \"zone-{number}\"\n\
             ephemeralPorts = [{FIRST_PORT}, {}]\nseedNodes = [{}]\nbootstrap = true\nheartbeatMs = 1200\n",
            FIRST_PORT + 15,
            seeds.join(", ")
        );
        if role != Role::Relay {
            let data = self.folder.join(format!("{name}.data"));
            let _ = writeln!(text, "dataDirectory = \"{}\"", data.display());
        }
        let _ = match role {
            Role::Keeper => writeln!(text, "[listenersMap]\ncontrolPlane = \"{ip}:{CONTROL_PORT}\""),
            Role::Relay => {
                writeln!(text, "[listenersMap]\nfrontend = \"{ip}:8149\"\nreadiness = \"{ip}:8141\"")
            }
            Role::Store => Ok(()),
        };
        // Memory and disk of a store large enough that a run meets neither bound.
        text.push_str("[limits]\nmemoryMb = 1000\nmaxFds = 4096\ndiskMb = 4000\n");
        text
    }

    fn address(&self, role: Role, number: usize, port: u16) -> SocketAddr {
        let host = (role.first_host() + number) as u8;
        SocketAddr::from(([127, self.network, 0, host], port))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for running in &mut self.running {
            // It may have ended by itself; there is nothing left to do then.
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
        // What is left over lies in a folder for temporary files.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
