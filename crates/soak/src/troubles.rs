//! The troubles that a tier may suffer.

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
    pub fn counts(self) -> bool {
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

/// A trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TroubleKind {
    /// SIGKILL; back after a while.
    Kill(Machine),
    /// SIGKILL again and again while it starts.
    KillInStart(Machine),
    /// SIGKILL and an empty disk.
    Wipe(Machine),
    /// A store is to be emptied; it is taken away with its disk when that is done, and an empty one comes.
    Retire(Machine),
    /// SIGSTOP for a while.
    Freeze(Machine),
    /// SIGTERM, and a start once it has ended.
    Stop(Machine),
    /// SIGTERM, then further signals while it ends.
    StopAgain(Machine),
    /// SIGTERM as soon as it has started.
    StopInStart(Machine),
    /// SIGHUP with a settings file that has changed.
    Reload(Machine, SettingsFile),
    /// Cut off from keepers and stores.
    Cut(Machine, Direction),
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
    KillAllThatCount,
    /// All processes are killed at once.
    KillAll,
    /// All are killed at once, and one of them loses its disk.
    KillAllWipeOne(Machine),
    /// Endpoints misbehave.
    Endpoints(Misbehaviour),
    /// An endpoint drains and is replaced.
    ReplaceEndpoint,
    /// An endpoint is gone without a word; another one takes its address.
    EndpointGone,
    /// Clients come in greater number.
    Burst,
    /// Clients leave in the middle.
    ClientsLeave,
}

impl TroubleKind {
    /// Its name, without the machine.
    pub fn name(self) -> &'static str {
        match self {
            TroubleKind::Kill(_) => "kill",
            TroubleKind::KillInStart(_) => "kill in start",
            TroubleKind::Wipe(_) => "wipe",
            TroubleKind::Retire(_) => "retire",
            TroubleKind::Freeze(_) => "freeze",
            TroubleKind::Stop(_) => "stop",
            TroubleKind::StopAgain(_) => "stop again",
            TroubleKind::StopInStart(_) => "stop in start",
            TroubleKind::Reload(..) => "reload",
            TroubleKind::Cut(..) => "cut",
            TroubleKind::Reset(_) => "reset",
            TroubleKind::SlowLinks(_) => "slow links",
            TroubleKind::DiskStall(_) => "disk stall",
            TroubleKind::DiskFull(_) => "disk full",
            TroubleKind::DiskSlow(_) => "disk slow",
            TroubleKind::DiskPanic(_) => "disk panic",
            TroubleKind::ClockStep(_) => "clock step",
            TroubleKind::KillAllThatCount => "kill all that count",
            TroubleKind::KillAll => "kill all",
            TroubleKind::KillAllWipeOne(_) => "kill all, wipe one",
            TroubleKind::Endpoints(_) => "endpoints misbehave",
            TroubleKind::ReplaceEndpoint => "replace endpoint",
            TroubleKind::EndpointGone => "endpoint gone",
            TroubleKind::Burst => "burst",
            TroubleKind::ClientsLeave => "clients leave",
        }
    }

    /// The machine that it strikes, if it strikes one.
    pub fn machine(self) -> Option<Machine> {
        match self {
            TroubleKind::Kill(machine)
            | TroubleKind::KillInStart(machine)
            | TroubleKind::Wipe(machine)
            | TroubleKind::Retire(machine)
            | TroubleKind::Freeze(machine)
            | TroubleKind::Stop(machine)
            | TroubleKind::StopAgain(machine)
            | TroubleKind::StopInStart(machine)
            | TroubleKind::Reload(machine, _)
            | TroubleKind::Cut(machine, _)
            | TroubleKind::Reset(machine)
            | TroubleKind::SlowLinks(machine)
            | TroubleKind::DiskStall(machine)
            | TroubleKind::DiskFull(machine)
            | TroubleKind::DiskSlow(machine)
            | TroubleKind::DiskPanic(machine)
            | TroubleKind::ClockStep(machine)
            | TroubleKind::KillAllWipeOne(machine) => Some(machine),
            TroubleKind::KillAllThatCount
            | TroubleKind::KillAll
            | TroubleKind::Endpoints(_)
            | TroubleKind::ReplaceEndpoint
            | TroubleKind::EndpointGone
            | TroubleKind::Burst
            | TroubleKind::ClientsLeave => None,
        }
    }

    /// Whether machines whose loss counts are lost meanwhile: at most one may be at a time, if service is to go on.
    pub fn is_counted_loss(self) -> bool {
        if self.strikes_many() {
            return true;
        }
        let harmless =
            matches!(self, TroubleKind::Reload(..) | TroubleKind::ClockStep(_) | TroubleKind::Reset(_));
        !harmless && self.machine().is_some_and(Machine::counts)
    }

    /// Whether it strikes more machines than may be lost at once.
    pub fn strikes_many(self) -> bool {
        matches!(self, TroubleKind::KillAllThatCount | TroubleKind::KillAll | TroubleKind::KillAllWipeOne(_))
    }

    /// Whether a disk is lost.
    pub fn loses_disk(self) -> bool {
        matches!(self, TroubleKind::Wipe(_) | TroubleKind::KillAllWipeOne(_))
    }

    /// Whether it is work that the platform plans, or what clients do: nothing that was read may be cut by it.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            TroubleKind::Stop(_)
                | TroubleKind::StopAgain(_)
                | TroubleKind::Reload(..)
                | TroubleKind::ReplaceEndpoint
                | TroubleKind::Burst
                | TroubleKind::ClientsLeave
        )
    }

    /// Whether it is a trouble of the tier's own machines, as against clients and endpoints.
    pub fn is_of_the_tier(self) -> bool {
        self.machine().is_some() || self.strikes_many()
    }
}

impl fmt::Display for TroubleKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())?;
        if let Some(machine) = self.machine() {
            write!(formatter, " {machine}")?;
        }
        match self {
            TroubleKind::Cut(_, direction) => write!(formatter, " {direction:?}"),
            TroubleKind::Reload(_, file) => write!(formatter, " {file:?}"),
            TroubleKind::Endpoints(misbehaviour) => write!(formatter, " {misbehaviour:?}"),
            _ => Ok(()),
        }
    }
}
