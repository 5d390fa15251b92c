//! The faults that a tier may suffer.

use std::fmt;

use juniperwing_node::role::Role;

/// A machine of the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// What runs on it.
    pub role: Role,
    /// Its number, from 0 on.
    pub number: usize,
}

impl Machine {
    /// Whether its loss counts.
    pub fn is_stateful(self) -> bool {
        self.role != Role::Relay
    }
}

impl fmt::Display for Machine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.role.name(), self.number + 1)
    }
}

/// Which way a cut goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// What the machine sends is lost.
    Out,
    /// What it is sent is lost.
    In,
    /// Both.
    Both,
}

/// What a settings file holds when a process is told to read it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsFile {
    /// Other seeds.
    OtherSeeds,
    /// Nothing.
    Empty,
    /// What cannot be read.
    Broken,
    /// Another address and another data folder.
    Moved,
}

/// What endpoints do to the requests that they get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehaviour {
    /// They run them and close without an answer.
    LoseAnswers,
    /// They answer twice.
    AnswerTwice,
    /// They break off in the middle of the answer.
    BreakOff,
    /// They answer under another id.
    OtherId,
    /// They say nothing.
    Hang,
    /// They decline.
    Decline,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGKILL; back after a while.
    Kill(Machine),
    /// SIGKILL again and again while it starts.
    KillDuringStart(Machine),
    /// SIGKILL and an empty disk.
    Wipe(Machine),
    /// A store is to be emptied; it is taken away with its disk when that is done, and an empty one comes.
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
    /// Cut off from keepers and stores.
    Partition(Machine, Direction),
    /// All of its links are reset.
    Reset(Machine),
    /// Its links take longer.
    SlowLinks(Machine),
    /// Its disk answers nothing.
    DiskStall(Machine),
    /// Its disk is full for a while.
    DiskFull(Machine),
    /// Its disk is slow.
    DiskSlow(Machine),
    /// The thread that writes to its disk panics.
    DiskPanic(Machine),
    /// Its time of day steps.
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
    /// An endpoint is gone without a word; another one takes its address.
    EndpointCrash,
    /// Clients come in greater number.
    Burst,
    /// Clients leave in the middle.
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

    /// The machine that it strikes, if it strikes one.
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

    /// Whether machines whose loss counts are lost meanwhile: at most one may be at a time, if service is to go on.
    pub fn takes_down_stateful_machine(self) -> bool {
        if self.exceeds_tolerance() {
            return true;
        }
        let harmless = matches!(self, FaultKind::Reload(..) | FaultKind::ClockStep(_) | FaultKind::Reset(_));
        !harmless && self.machine().is_some_and(Machine::is_stateful)
    }

    /// Whether it strikes more machines than may be lost at once.
    pub fn exceeds_tolerance(self) -> bool {
        matches!(self, FaultKind::KillAllStateful | FaultKind::KillAll | FaultKind::KillAllWipeOne(_))
    }

    /// Whether a disk is lost.
    pub fn loses_disk(self) -> bool {
        matches!(self, FaultKind::Wipe(_) | FaultKind::KillAllWipeOne(_))
    }

    /// Whether it is work that the platform plans, or what clients do: nothing that was read may be cut by it.
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

    /// Whether it is a fault of the tier's own machines, as against clients and endpoints.
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
