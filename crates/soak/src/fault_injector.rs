//! Injects faults into the machines, endpoints and clients of a tier.

use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use crate::faults::{Direction, FaultKind, Machine, Misbehaviour, SettingsFile};
use crate::faulty_host::DiskFault;
use crate::history::{FaultInterval, Millis};
use crate::load::{Endpoints, Shared, retire_store};
use crate::schedule::Fault;
use crate::tier::{DelayedSignal, EXIT_DETECTION_DELAY, Tier};
use juniperwing_random::Rng;

/// Delay before an empty machine replaces a retired one.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(700);

/// Injects one scheduled fault.
pub(crate) struct FaultInjector {
    pub(crate) tier: Arc<Tier>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) endpoints: Arc<Endpoints>,
    /// Whether the schedule stays within the fault tolerance of the tier.
    pub(crate) is_within_tolerance: bool,
    pub(crate) rng: Rng,
}

impl FaultInjector {
    /// Injects the fault and records the interval in which it is active.
    pub(crate) async fn run(mut self, fault: Fault) {
        let history = Arc::clone(&self.shared.history);
        let index = {
            let started_at = history.now();
            let mut record = history.record();
            // The end is set when the fault is over.
            record.fault_intervals.push(FaultInterval {
                kind: fault.kind,
                started_at,
                ended_at: Millis::MAX / 2,
            });
            record.fault_intervals.len() - 1
        };
        self.inject(fault).await;
        let ended_at = history.now();
        history.record().fault_intervals[index].ended_at = ended_at;
    }

    async fn inject(&mut self, fault: Fault) {
        let duration = Duration::from_millis(fault.duration_ms);
        let tier = Arc::clone(&self.tier);
        match fault.kind {
            FaultKind::Kill(machine) => tier.kill(machine, duration, false).await,
            FaultKind::Wipe(machine) => tier.kill(machine, duration, true).await,
            FaultKind::KillDuringStart(machine) => self.kill_during_start(machine).await,
            FaultKind::Retire(machine) => self.retire(machine, duration).await,
            FaultKind::Freeze(machine) => tier.freeze(machine, duration).await,
            FaultKind::Stop(machine) => tier.stop(machine, &[]).await,
            FaultKind::StopRepeatedly(machine) => self.stop_repeatedly(machine).await,
            FaultKind::StopDuringStart(machine) => self.stop_during_start(machine).await,
            FaultKind::Reload(machine, file) => self.reload(machine, file, duration).await,
            FaultKind::Partition(machine, direction) => self.partition(machine, direction, duration).await,
            FaultKind::Reset(machine) => tier.change_rules(machine, |rules| rules.resets += 1),
            FaultKind::SlowLinks(machine) => self.slow_links(machine, duration).await,
            FaultKind::DiskStall(machine) => self.fail_disk(machine, DiskFault::Stalls, duration).await,
            FaultKind::DiskFull(machine) => self.fail_disk(machine, DiskFault::Full, duration).await,
            FaultKind::DiskSlow(machine) => self.slow_disk(machine, duration).await,
            FaultKind::DiskPanic(machine) => self.fail_disk(machine, DiskFault::Panics, duration).await,
            FaultKind::ClockStep(machine) => self.step_clock(machine, duration).await,
            FaultKind::KillAllStateful => tier.kill_all(false, duration, None).await,
            FaultKind::KillAll => tier.kill_all(true, duration, None).await,
            FaultKind::KillAllWipeOne(machine) => tier.kill_all(true, duration, Some(machine)).await,
            FaultKind::Endpoints(misbehaviour) => self.misbehave(misbehaviour, duration).await,
            FaultKind::ReplaceEndpoint => self.endpoints.replace(self.rng.below(6)).await,
            FaultKind::EndpointCrash => self.endpoints.crash(self.rng.below(6)).await,
            FaultKind::Burst => sleep(duration).await,
            FaultKind::ClientsDisconnect => self.disconnect_clients(duration).await,
        }
    }

    async fn kill_during_start(&mut self, machine: Machine) {
        let uptimes: Vec<Duration> = (0..3).map(|_| Duration::from_millis(5 + self.rng.below(250))).collect();
        self.tier.kill_during_start(machine, &uptimes).await;
    }

    async fn stop_during_start(&mut self, machine: Machine) {
        self.tier.stop_during_start(machine, Duration::from_millis(self.rng.below(120))).await;
    }

    async fn reload(&self, machine: Machine, file: SettingsFile, duration: Duration) {
        if let Err(error) = self.tier.reload(machine, file, duration).await {
            self.shared.history.record_finding("the soak itself", error.to_string());
        }
    }

    async fn slow_links(&mut self, machine: Machine, duration: Duration) {
        let delay = self.rng.choose_copied(&[20, 60, 150]);
        self.tier.change_rules(machine, |rules| rules.link_delay_ms = delay);
        sleep(duration).await;
        self.tier.change_rules(machine, |rules| rules.link_delay_ms = 0);
    }

    async fn slow_disk(&mut self, machine: Machine, duration: Duration) {
        let ms = self.rng.choose_copied(&[40, 150]);
        self.fail_disk(machine, DiskFault::Slow { ms }, duration).await;
    }

    async fn step_clock(&mut self, machine: Machine, duration: Duration) {
        let offset = self.rng.choose_copied(&[-2_000, 2_000]);
        self.tier.change_rules(machine, |rules| rules.clock_offset_ms = offset);
        sleep(duration).await;
        self.tier.change_rules(machine, |rules| rules.clock_offset_ms = 0);
    }

    async fn misbehave(&self, misbehaviour: Misbehaviour, duration: Duration) {
        self.shared.set_misbehaviour(Some(misbehaviour));
        sleep(duration).await;
        self.shared.set_misbehaviour(None);
    }

    async fn disconnect_clients(&self, duration: Duration) {
        self.shared.set_early_disconnects(true);
        sleep(duration).await;
        self.shared.set_early_disconnects(false);
    }

    /// Stops a process by SIGTERM and sends two further signals at random times while it shuts down.
    async fn stop_repeatedly(&mut self, machine: Machine) {
        let mut delay = || Duration::from_millis(self.rng.below(900));
        let mut delays = [delay(), delay()];
        delays.sort_unstable();
        let signals = [Signal::HUP, Signal::TERM, Signal::INT];
        let further = delays.map(|delay| DelayedSignal { delay, signal: self.rng.choose_copied(&signals) });
        self.tier.stop(machine, &further).await;
    }

    /// Retires a store and replaces it by an empty machine. A retirement that is not completed in time is a finding
    /// only within the fault tolerance; beyond it other faults may delay the retirement.
    async fn retire(&self, machine: Machine, duration: Duration) {
        if retire_store(&self.shared, machine, duration).await {
            self.tier.kill(machine, REPLACEMENT_DELAY, true).await;
        } else if self.is_within_tolerance {
            self.shared.history.record_finding(
                "a machine is emptied",
                format!("{machine} was not retired within {} s", duration.as_secs()),
            );
        }
    }

    /// Partitions a machine from the stateful ones. In half of the cases a stateful machine is also partitioned from
    /// the relays.
    async fn partition(&mut self, machine: Machine, direction: Direction, duration: Duration) {
        let all = self.tier.machines();
        let from_relays = self.rng.percent(50);
        let others: Vec<Machine> = all
            .into_iter()
            .filter(|other| other.is_stateful() || (from_relays && machine.is_stateful()))
            .collect();
        let partition = self.tier.partition(machine, &others, direction);
        sleep(duration).await;
        drop(partition);
    }

    async fn fail_disk(&self, machine: Machine, fault: DiskFault, duration: Duration) {
        // The process may fail to start without its disk, and exits after a panic.
        self.tier.allow_exit(machine);
        self.tier.change_rules(machine, |rules| rules.disk = fault);
        sleep(duration).await;
        self.tier.change_rules(machine, |rules| rules.disk = DiskFault::None);
        sleep(EXIT_DETECTION_DELAY).await;
        self.tier.forbid_exit(machine);
    }
}
