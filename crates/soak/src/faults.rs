//! Kinds of faults that are injected into a tier.

use std::fmt;

use juniperwing_node::role::Role;

/// A machine of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The role that runs on it.
    pub role: Role,
    /// Its number among the machines of its role, starting at 0.
    pub number: usize,
}

impl Machine {
    /// Whether it holds replicated state, so that its loss counts against the fault tolerance of the tier.
    pub fn is_stateful(self) -> bool {
        self.role != Role::Relay
    }
}

impl fmt::Display for Machine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.role.name(), self.number + 1)
    }
}

/// The direction of a network partition, as seen from the partitioned machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Outbound traffic of the machine is blocked.
    Out,
    /// Inbound traffic of the machine is blocked.
    In,
    /// Both.
    Both,
}

/// Contents of a settings file that a process reloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsFile {
    /// Valid, with a different list of seed nodes.
    OtherSeeds,
    /// An empty file.
    Empty,
    /// A syntax error.
    Broken,
    /// Valid, with a different address and data directory.
    Moved,
}

/// How endpoints mishandle requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehaviour {
    /// They execute the request and reset the connection without a response.
    LoseAnswers,
    /// They send a second, unsolicited response.
    AnswerTwice,
    /// They reset the connection in the middle of the response body.
    BreakOff,
    /// They respond with the id of another request.
    OtherId,
    /// They never respond.
    Hang,
    /// They reject the request with status 503.
    Decline,
}

/// A kind of fault and, where it affects a single machine, that machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGKILL; the process is restarted after the duration.
    Kill(Machine),
    /// Repeated SIGKILL during startup.
    KillDuringStart(Machine),
    /// SIGKILL and loss of the disk.
    Wipe(Machine),
    /// An operator retires a store; once that is completed, an empty machine replaces it.
    Retire(Machine),
    /// SIGSTOP, and SIGCONT after the duration.
    Freeze(Machine),
    /// SIGTERM, and a restart once the process has exited.
    Stop(Machine),
    /// SIGTERM, then further signals during the shutdown.
    StopRepeatedly(Machine),
    /// SIGTERM during startup.
    StopDuringStart(Machine),
    /// SIGHUP after a change of the settings file.
    Reload(Machine, SettingsFile),
    /// Network partition from keepers and stores, and possibly from relays.
    Partition(Machine, Direction),
    /// All connections of the machine are reset.
    Reset(Machine),
    /// The links of the machine have a higher latency.
    SlowLinks(Machine),
    /// Disk operations block.
    DiskStall(Machine),
    /// The disk is full.
    DiskFull(Machine),
    /// Disk syncs are slow.
    DiskSlow(Machine),
    /// The thread that writes to its disk panics.
    DiskPanic(Machine),
    /// The wall clock is stepped, and stepped back after the duration.
    ClockStep(Machine),
    /// All keepers and stores are killed at once.
    KillAllStateful,
    /// All processes are killed at once.
    KillAll,
    /// All processes are killed at once, and one machine loses its disk.
    KillAllWipeOne(Machine),
    /// Endpoints mishandle requests.
    Endpoints(Misbehaviour),
    /// An endpoint drains and is replaced.
    ReplaceEndpoint,
    /// An endpoint disappears without draining; an endpoint of another service reuses its address.
    EndpointCrash,
    /// Additional clients send requests.
    Burst,
    /// Clients disconnect before the response is complete.
    ClientsDisconnect,
}

impl FaultKind {
    /// Name of the kind, without the machine.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Kill(_) => "kill",
            FaultKind::KillDuringStart(_) => "kill in start",
            FaultKind::Wipe(_) => "wipe",
            FaultKind::Retire(_) => "retire",
            FaultKind::Freeze(_) => "freeze",
            FaultKind::Stop(_) => "stop",
            FaultKind::StopRepeatedly(_) => "stop again",
            FaultKind::StopDuringStart(_) => "stop in start",
            FaultKind::Reload(..) => "reload",
            FaultKind::Partition(..) => "cut",
            FaultKind::Reset(_) => "reset",
            FaultKind::SlowLinks(_) => "slow links",
            FaultKind::DiskStall(_) => "disk stall",
            FaultKind::DiskFull(_) => "disk full",
            FaultKind::DiskSlow(_) => "disk slow",
            FaultKind::DiskPanic(_) => "disk panic",
            FaultKind::ClockStep(_) => "clock step",
            FaultKind::KillAllStateful => "kill all that count",
            FaultKind::KillAll => "kill all",
            FaultKind::KillAllWipeOne(_) => "kill all, wipe one",
            FaultKind::Endpoints(_) => "endpoints misbehave",
            FaultKind::ReplaceEndpoint => "replace endpoint",
            FaultKind::EndpointCrash => "endpoint gone",
            FaultKind::Burst => "burst",
            FaultKind::ClientsDisconnect => "clients leave",
        }
    }

    /// The machine that it affects, if it affects a single one.
    pub fn machine(self) -> Option<Machine> {
        match self {
            FaultKind::Kill(machine)
            | FaultKind::KillDuringStart(machine)
            | FaultKind::Wipe(machine)
            | FaultKind::Retire(machine)
            | FaultKind::Freeze(machine)
            | FaultKind::Stop(machine)
            | FaultKind::StopRepeatedly(machine)
            | FaultKind::StopDuringStart(machine)
            | FaultKind::Reload(machine, _)
            | FaultKind::Partition(machine, _)
            | FaultKind::Reset(machine)
            | FaultKind::SlowLinks(machine)
            | FaultKind::DiskStall(machine)
            | FaultKind::DiskFull(machine)
            | FaultKind::DiskSlow(machine)
            | FaultKind::DiskPanic(machine)
            | FaultKind::ClockStep(machine)
            | FaultKind::KillAllWipeOne(machine) => Some(machine),
            FaultKind::KillAllStateful
            | FaultKind::KillAll
            | FaultKind::Endpoints(_)
            | FaultKind::ReplaceEndpoint
            | FaultKind::EndpointCrash
            | FaultKind::Burst
            | FaultKind::ClientsDisconnect => None,
        }
    }

    /// Whether it makes stateful machines unavailable. The tier stays available only while at most one of them is.
    pub fn takes_down_stateful_machine(self) -> bool {
        if self.exceeds_tolerance() {
            return true;
        }
        let harmless = matches!(self, FaultKind::Reload(..) | FaultKind::ClockStep(_) | FaultKind::Reset(_));
        !harmless && self.machine().is_some_and(Machine::is_stateful)
    }

    /// Whether it takes down more machines at once than the tier tolerates.
    pub fn exceeds_tolerance(self) -> bool {
        matches!(self, FaultKind::KillAllStateful | FaultKind::KillAll | FaultKind::KillAllWipeOne(_))
    }

    /// Whether a disk is lost.
    pub fn loses_disk(self) -> bool {
        matches!(self, FaultKind::Wipe(_) | FaultKind::KillAllWipeOne(_))
    }

    /// Whether it is planned maintenance or client behaviour, neither of which may interrupt a request that was read.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            FaultKind::Stop(_)
                | FaultKind::StopRepeatedly(_)
                | FaultKind::Reload(..)
                | FaultKind::ReplaceEndpoint
                | FaultKind::Burst
                | FaultKind::ClientsDisconnect
        )
    }

    /// Whether it affects machines of the tier, not only clients or endpoints.
    pub fn affects_tier(self) -> bool {
        self.machine().is_some() || self.exceeds_tolerance()
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())?;
        if let Some(machine) = self.machine() {
            write!(formatter, " {machine}")?;
        }
        match self {
            FaultKind::Partition(_, direction) => write!(formatter, " {direction:?}"),
            FaultKind::Reload(_, file) => write!(formatter, " {file:?}"),
            FaultKind::Endpoints(misbehaviour) => write!(formatter, " {misbehaviour:?}"),
            _ => Ok(()),
        }
    }
}
