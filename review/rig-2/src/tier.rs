//! Starts the tier's processes with the commands of the deploy file, each "machine" at a loopback address of its own.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;

pub const LOOK: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Keeper,
    Store,
    Relay,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Role::Keeper => "keeper",
            Role::Store => "store",
            Role::Relay => "relay",
        }
    }
}

/// One machine with one role.
pub struct Machine {
    pub role: Role,
    pub name: String,
    pub address: Ipv4Addr,
    child: Option<Child>,
    settings: PathBuf,
    program: Vec<String>,
}

/// A tier of processes. They end when this is dropped.
pub struct Tier {
    pub machines: Vec<Machine>,
    pub folder: PathBuf,
    pub frontend_port: u16,
    pub readiness_port: u16,
    pub control_port: u16,
    record: Arc<Record>,
}

/// The command of a role as the deploy file gives it.
fn deployed_command(role: Role) -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
    let head = format!("[roles.{}]", role.name());
    let mut inside = false;
    for line in text.lines() {
        if line.starts_with('[') {
            inside = line.starts_with(&head);
        } else if inside && line.starts_with("run") {
            let value = line.split('"').nth(1).expect("run");
            return value.split(' ').map(str::to_owned).collect();
        }
    }
    panic!("no command for {}", role.name())
}

fn is_free(address: Ipv4Addr, port: u16) -> bool {
    TcpListener::bind((address, port)).is_ok()
}

impl Tier {
    /// Writes the settings and starts all processes.
    pub fn start(keepers: usize, stores: usize, relays: usize, record: &Arc<Record>) -> Tier {
        let number = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-rig-2-{number}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        // Each machine has an address of its own in 127.0.0.0/8; the ports are the same on all of them.
        let block = (16 + number % 200) as u8;
        let row = ((number / 200) % 250) as u8;
        let port = 20_000 + (number % 10_000) as u16;
        let (frontend_port, readiness_port, control_port, first) = (port, port + 1, port + 2, port + 10);
        let mut machines = Vec::new();
        let all = [(Role::Keeper, keepers), (Role::Store, stores), (Role::Relay, relays)];
        for (role, count) in all {
            for index in 1..=count {
                let address = Ipv4Addr::new(127, block, row, (10 + machines.len()) as u8);
                assert!(is_free(address, first) && is_free(address, port), "a port is taken; run again");
                let name = format!("{}-{index}", role.name());
                let settings = folder.join(format!("{name}.toml"));
                machines.push(Machine {
                    role,
                    name,
                    address,
                    child: None,
                    settings,
                    program: deployed_command(role),
                });
            }
        }
        let seeds: Vec<String> = machines
            .iter()
            .filter(|m| m.role == Role::Keeper)
            .take(3)
            .map(|m| format!("\"{}:{control_port}\"", m.address))
            .collect();
        let tolerated = if keepers >= 3 && stores != 1 { 1 } else { 0 };
        for machine in &machines {
            let (address, role) = (machine.address, machine.role);
            let listeners = match role {
                Role::Keeper => format!("controlPlane = \"{address}:{control_port}\"\n"),
                Role::Relay => format!(
                    "frontend = \"{address}:{frontend_port}\"\nreadiness = \"{address}:{readiness_port}\"\n"
                ),
                Role::Store => String::new(),
            };
            let data = match role {
                Role::Relay => String::new(),
                _ => format!(
                    "dataDirectory = \"{}\"\n",
                    folder.join(format!("{}-data", machine.name)).display()
                ),
            };
            let (class, memory, disk) = match role {
                Role::Keeper => ("core", 256, 128),
                Role::Store => ("storage", 260, 300),
                Role::Relay => ("edge", 260, 0),
            };
            let text = format!(
                "nodeName = \"{}\"\nrole = \"{}\"\nmachineClass = \"{class}\"\nipAddress = \"{address}\"\nzone = \"neihu-a\"\nregion = \"tw-north\"\n\
                 ephemeralPorts = [{first},{}]\nseedNodes = [{}]\nbootstrap = true\ncountsForQuorum = {}\nheartbeatMs = 1200\n{data}\
                 [zones]\nneihu-a = \"tw-north\"\n[listenersMap]\n{listeners}[limits]\ncpuQuota = 1.0\ncpuCores = 1\nmemoryMb = {memory}\nmaxFds = 4100\n\
                 diskMb = {disk}\n[faultTolerance]\nmachines = {tolerated}\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\n\
                 ackMs = 4000\ncatchUpS = 4.1\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
                 skewMaxMs = 5000\nrecoveryS = 12\npass_ms = 120\nagain_s = 0\nfinishS = 10\nsettleMs = 1000\n",
                machine.name,
                role.name(),
                first + 15,
                seeds.join(","),
                role != Role::Relay,
            );
            fs::write(&machine.settings, text).expect("settings");
        }
        let mut tier = Tier {
            machines,
            folder,
            frontend_port,
            readiness_port,
            control_port,
            record: Arc::clone(record),
        };
        for index in 0..tier.machines.len() {
            tier.start_machine(index);
        }
        tier
    }

    /// Starts the process of a machine, with the settings of the moment.
    pub fn start_machine(&mut self, index: usize) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.machines[index].name)));
        let log = log.expect("a log");
        let machine = &mut self.machines[index];
        let child = Command::new(&machine.program[0])
            .args(&machine.program[1..])
            .env("JUNIPERWING_CONFIG", &machine.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("a process");
        self.record.line(&format!("{} started ({})", machine.name, machine.program.join(" ")));
        machine.child = Some(child);
    }

    /// Ends a process that this tier started, by its id.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.machines[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed (SIGKILL)", self.machines[index].name));
        }
    }

    /// The resident memory of a machine's process, in KiB.
    pub fn resident_kib(&self, index: usize) -> u64 {
        let Some(child) = &self.machines[index].child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// Takes a machine's disk away; its process must have ended. It starts again without `bootstrap`.
    pub fn wipe(&self, index: usize) {
        let machine = &self.machines[index];
        let _ = fs::remove_dir_all(self.folder.join(format!("{}-data", machine.name)));
        if let Ok(text) = fs::read_to_string(&machine.settings) {
            let _ = fs::write(&machine.settings, text.replace("bootstrap = true", "bootstrap = false"));
        }
        self.record.line(&format!("{} has lost its disk", machine.name));
    }

    /// Has a store emptied; returns whether that was completed in time.
    pub fn retire(&self, name: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let path = format!("/retire/{name}");
        let mut is_taken = false;
        while Instant::now() < until {
            for control in self.controls() {
                let answer = match is_taken {
                    false => call(
                        control,
                        "POST",
                        &path,
                        &[("Content-Type", "application/json")],
                        b"{\"durationS\":10}",
                        LOOK,
                    ),
                    true => call(control, "GET", &path, &[], b"", LOOK),
                };
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                if answer.status == 200 && (!is_taken || text.contains("completed")) {
                    self.record.line(&format!(
                        "operator: {} {path} -> 200 {text}",
                        if is_taken { "GET" } else { "POST" }
                    ));
                    if is_taken {
                        return true;
                    }
                    is_taken = true;
                }
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    pub fn note(&self, text: &str) {
        self.record.line(text);
    }

    pub fn of(&self, role: Role) -> Vec<usize> {
        (0..self.machines.len()).filter(|i| self.machines[*i].role == role).collect()
    }

    pub fn frontend(&self, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.machines[index].address), self.frontend_port)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.of(Role::Keeper)
            .iter()
            .map(|i| SocketAddr::new(IpAddr::V4(self.machines[*i].address), self.control_port))
            .collect()
    }

    /// Whether a relay answers the platform's question with 200.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::new(IpAddr::V4(self.machines[index].address), self.readiness_port);
        call(address, "GET", "/readyz", &[], b"", LOOK).status == 200
    }

    /// Waits until all relays are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.of(Role::Relay).iter().all(|i| self.is_ready(*i)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Sends a configuration as the operator does: to one keeper after the other until one gives a clear answer.
    pub fn put_config(&self, base: u64, body: &str) -> u16 {
        let base = base.to_string();
        for _ in 0..30 {
            for control in self.controls() {
                let headers = [("If-Match", base.as_str()), ("Content-Type", "application/json")];
                let answer =
                    call(control, "PUT", "/config", &headers, body.as_bytes(), Duration::from_secs(2));
                if (200..500).contains(&answer.status) {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    self.record
                        .line(&format!("operator: PUT /config If-Match {base} -> {} {text}", answer.status));
                    return answer.status;
                }
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        0
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            if let Some(mut child) = self.machines[index].child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
