//! The processes of a small deployment on loopback addresses, started with the commands of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

use crate::record::Record;

/// The processes that run now, for the watch over a case that hangs.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that run. Only for a case that hangs; otherwise they end with their [`Tier`].
pub fn end_all() {
    for id in RUNNING.lock().expect("no panics").drain(..) {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

fn end(mut child: Child) {
    RUNNING.lock().expect("no panics").retain(|id| *id != child.id());
    let _ = child.kill();
    let _ = child.wait();
}

/// One machine with one role.
pub struct Node {
    pub name: String,
    role: &'static str,
    ip: Ipv4Addr,
    zone: &'static str,
    child: Option<Child>,
}

/// The machines of the deployment. All processes end when it is dropped.
pub struct Tier {
    folder: PathBuf,
    port: u16,
    network: (u8, u8),
    pub nodes: Vec<Node>,
    record: Record,
}

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

impl Tier {
    /// Lays out three keepers, three stores and six relays; nothing is started yet.
    pub fn new(record: &Record) -> Tier {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let network = (64 + (id % 128) as u8, (id / 128 % 250) as u8 + 1);
        let mut nodes = Vec::new();
        for (role, count, first) in [("keeper", 3, 11), ("store", 3, 21), ("relay", 6, 31)] {
            for index in 0..count {
                nodes.push(Node {
                    name: format!("{role}-{}", index + 1),
                    role,
                    ip: Ipv4Addr::new(127, network.0, network.1, first + index),
                    zone: ZONES[usize::from(index) % ZONES.len()],
                    child: None,
                });
            }
        }
        let port = free_ports(&nodes);
        record.line(&format!("layout: network 127.{}.{}.0/24, first port {port}", network.0, network.1));
        Tier { folder, port, network, nodes, record: record.clone() }
    }

    /// An address of this deployment's network for a stand-in.
    pub fn stand_in_ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, last)
    }

    /// The control listeners of the keepers.
    pub fn control(&self) -> Vec<SocketAddr> {
        let keepers = self.nodes.iter().filter(|node| node.role == "keeper");
        keepers.map(|node| SocketAddr::from((node.ip, self.port + 16))).collect()
    }

    /// The frontend of a relay, counted from 0.
    pub fn frontend(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.node(&format!("relay-{}", index + 1)).ip, self.port + 17))
    }

    /// The readiness listeners of all relays.
    pub fn readiness(&self) -> Vec<SocketAddr> {
        let relays = self.nodes.iter().filter(|node| node.role == "relay");
        relays.map(|node| SocketAddr::from((node.ip, self.port + 18))).collect()
    }

    fn node(&self, name: &str) -> &Node {
        self.nodes.iter().find(|node| node.name == name).expect("a known machine")
    }

    /// The very first start of all machines.
    pub fn start_all(&mut self) {
        let names: Vec<String> = self.nodes.iter().map(|node| node.name.clone()).collect();
        names.iter().for_each(|name| self.start(name, true));
    }

    /// Starts the process of a machine.
    pub fn start(&mut self, name: &str, bootstrap: bool) {
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(self.node(name), bootstrap)).expect("settings are written");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        let command = deploy_command(self.node(name).role);
        let mut words = command.split(' ');
        let mut process = Command::new(words.next().expect("a program"));
        process.args(words).env_clear().env("JUNIPERWING_CONFIG", &settings);
        for variable in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(variable) {
                process.env(variable, value);
            }
        }
        process.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = process.spawn().expect("the program of the deploy file starts");
        self.record.line(&format!("machine {name}: started as {command:?}, process {}", child.id()));
        RUNNING.lock().expect("no panics").push(child.id());
        self.node_mut(name).child = Some(child);
    }

    /// Ends the process of a machine with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        if let Some(child) = self.node_mut(name).child.take() {
            end(child);
            self.record.say(&format!("machine {name}: SIGKILL"));
        }
    }

    /// Empties the data directory of a machine whose process has ended.
    pub fn lose_disk(&mut self, name: &str) {
        assert!(self.node(name).child.is_none(), "the process has ended");
        fs::remove_dir_all(self.folder.join(name)).expect("the data directory is removed");
        self.record.say(&format!("machine {name}: its disk is lost"));
    }

    /// Machines whose process has ended by itself.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for node in &mut self.nodes {
            if node.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                ended.push(node.name.clone());
            }
        }
        ended
    }

    /// Copies what the logs of some machines say into the record.
    pub fn record_logs(&self, names: &[&str], words: &[&str]) {
        for name in names {
            let text = fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
            for line in text.lines().filter(|line| words.iter().any(|word| line.contains(word))) {
                self.record.line(&format!("log of {name}: {line}"));
            }
        }
    }

    fn node_mut(&mut self, name: &str) -> &mut Node {
        self.nodes.iter_mut().find(|node| node.name == name).expect("a known machine")
    }

    fn settings(&self, node: &Node, bootstrap: bool) -> String {
        let Node { name, role, ip, zone, .. } = node;
        let port = self.port;
        let seeds: Vec<String> = self.control().iter().map(|address| format!("\"{address}\"")).collect();
        let (class, serves, listeners, disk_mb) = match *role {
            "keeper" => ("core", "control", format!("controlPlane = \"{ip}:{}\"", port + 16), 128),
            "store" => ("storage", "storage", String::new(), 300),
            _ => {
                let (frontend, readiness) = (port + 17, port + 18);
                let listeners = format!("frontend = \"{ip}:{frontend}\"\nreadiness = \"{ip}:{readiness}\"");
                ("edge", "edge", listeners, 0)
            }
        };
        let data = match *role {
            "relay" => String::new(),
            _ => {
                let directory = self.folder.join(name);
                fs::create_dir_all(&directory).expect("a data directory");
                format!("dataDirectory = \"{}\"\n", directory.display())
            }
        };
        let counts = *role != "relay";
        format!(
            "nodeName = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\n\
             ipAddress = \"{ip}\"\nzone = \"{zone}\"\nregion = \"one\"\nephemeralPorts = [{port},{}]\n\
             seedNodes = [{}]\nbootstrap = {bootstrap}\ncountsForQuorum = {counts}\n\
             discovery = \"registration\"\ningress = \"anycast\"\nheartbeatMs = 1200\n{data}\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\"]\n\
             [zones]\nhall-a = \"one\"\nhall-b = \"one\"\nhall-c = \"one\"\n\
             [listenersMap]\n{listeners}\n\
             [limits]\ncpuQuota = 0.5\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 1000\nlinkMbps = 1000.0\n\
             diskMb = {disk_mb}\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4.4\n\
             drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
             skewMaxMs = 5000\nrecoveryS = 12\npass_ms = 120\nagain_s = 0\nfinishS = 10\nsettleMs = 1000\n",
            port + 15,
            seeds.join(","),
        )
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.child.take().into_iter().for_each(end);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The command line of a role in the deploy file.
fn deploy_command(role: &str) -> String {
    let text = fs::read_to_string(Path::new("deploy/system.toml")).expect("run from the repository's root");
    let section = text.split(&format!("[roles.{role}]")).nth(1).expect("the role is deployed");
    let line = section.lines().find(|line| line.starts_with("run = ")).expect("the role has a command");
    line.trim_start_matches("run = ").trim_matches('"').to_owned()
}

/// Finds a first port from which enough ports are free at the addresses of all machines.
fn free_ports(nodes: &[Node]) -> u16 {
    let start = 20_000 + (std::process::id() % 1_000) as u16 * 20;
    for first in (start..60_000).step_by(20) {
        let is_free =
            |node: &Node| (first..first + 20).all(|port| TcpListener::bind((node.ip, port)).is_ok());
        if nodes.iter().all(is_free) {
            return first;
        }
    }
    panic!("no free ports");
}
