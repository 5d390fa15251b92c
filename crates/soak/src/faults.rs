//! Kinds of faults that are injected into a tier.

use std::fmt;

use juniperwing_node::role::Role;

/// A machine of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// The role that runs on it.
    pub role: Role,
    /// Its number among the machines of its role, from 0 on.
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
    /// What the machine sends is lost.
    Out,
    /// What is sent to it is lost.
    In,
    /// Both.
    Both,
}

/// Contents of a settings file that a process reloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsFile {
    /// Other seeds.
    OtherSeeds,
    /// Nothing.
    Empty,
    /// A syntax error.
    Broken,
    /// Another address and another data folder.
    Moved,
}

/// How endpoints misbehave towards requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehaviour {
    /// They run them and reset the connection without a response.
    LoseAnswers,
    /// They respond twice.
    AnswerTwice,
    /// They reset the connection in the middle of the response.
    BreakOff,
    /// They respond under another request id.
    OtherId,
    /// They never respond.
    Hang,
    /// They refuse with 503.
    Decline,
}

/// A kind of fault with the machine that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGKILL; started again after the duration.
    Kill(Machine),
    /// SIGKILL again and again while it starts.
    KillDuringStart(Machine),
    /// SIGKILL and an empty disk.
    Wipe(Machine),
    /// A store is retired by order; once that is completed it is replaced by an empty one.
    Retire(Machine),
    /// SIGSTOP for a while.
    Freeze(Machine),
    /// SIGTERM, and a start once it has ended.
    Stop(Machine),
    /// SIGTERM, then further signals while it ends.
    StopRepeatedly(Machine),
    /// SIGTERM as soon as it has started.
    StopDuringStart(Machine),
    /// SIGHUP with a settings file that has changed.
    Reload(Machine, SettingsFile),
    /// Partitioned from keepers and stores.
    Partition(Machine, Direction),
    /// All of its links are reset.
    Reset(Machine),
    /// Its links have a higher latency.
    SlowLinks(Machine),
    /// Its disk operations block.
    DiskStall(Machine),
    /// Its disk is full for a while.
    DiskFull(Machine),
    /// Its disk is slow.
    DiskSlow(Machine),
    /// The thread that writes to its disk panics.
    DiskPanic(Machine),
    /// Its wall clock steps.
    ClockStep(Machine),
    /// All keepers and stores are killed at once.
    KillAllStateful,
    /// All processes are killed at once.
    KillAll,
    /// All are killed at once, and one of them loses its disk.
    KillAllWipeOne(Machine),
    /// Endpoints misbehave.
    Endpoints(Misbehaviour),
    /// An endpoint drains and is replaced.
    ReplaceEndpoint,
    /// An endpoint disappears without draining; another one takes its address.
    EndpointCrash,
    /// Many more clients send requests.
    Burst,
    /// Clients disconnect before the response is complete.
    ClientsDisconnect,
}

impl FaultKind {
    /// Its name, without the machine.
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

    /// Whether it takes down stateful machines: at most one may be down at a time if the tier is to stay available.
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

    /// Whether it is planned work of the platform, or behaviour of clients: no request that was read may be cut by it.
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
