//! Plays troubles on the machines, endpoints and clients of a tier.

use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::sleep;

use crate::fault::DiskFault;
use crate::history::{Millis, Suffered};
use crate::load::{Endpoints, Shared, retired};
use crate::schedule::Trouble;
use crate::tier::{EXCUSED_FOR, Tier};
use crate::troubles::{Direction, Machine, TroubleKind};
use juniperwing_random::Rng;

/// Before an empty machine comes in the place of one that was taken away.
const NEW_MACHINE_AFTER: Duration = Duration::from_millis(700);

/// Plays one trouble.
pub(crate) struct Player {
    pub(crate) tier: Arc<Tier>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) within_tolerance: bool,
    pub(crate) rng: Rng,
}

impl Player {
    /// Plays it, and notes when it began and was over.
    pub(crate) async fn play(mut self, trouble: Trouble) {
        let history = Arc::clone(&self.shared.history);
        let place = {
            let from = history.now();
            let mut record = history.record();
            // Until it is over, it lasts for ever.
            record.suffered.push(Suffered { kind: trouble.kind, from, until: Millis::MAX / 2 });
            record.suffered.len() - 1
        };
        self.strike(trouble).await;
        let until = history.now();
        history.record().suffered[place].until = until;
    }

    async fn strike(&mut self, trouble: Trouble) {
        let time = Duration::from_millis(trouble.lasts);
        let tier = Arc::clone(&self.tier);
        match trouble.kind {
            TroubleKind::Kill(machine) => tier.kill(machine, time, false).await,
            TroubleKind::Wipe(machine) => tier.kill(machine, time, true).await,
            TroubleKind::KillInStart(machine) => {
                let pauses: Vec<Duration> =
                    (0..3).map(|_| Duration::from_millis(5 + self.rng.below(250))).collect();
                tier.kill_in_start(machine, &pauses).await;
            }
            TroubleKind::Retire(machine) => self.retire(machine, time).await,
            TroubleKind::Freeze(machine) => tier.freeze(machine, time).await,
            TroubleKind::Stop(machine) => tier.stop(machine, &[]).await,
            TroubleKind::StopAgain(machine) => {
                let mut at = || Duration::from_millis(self.rng.below(900));
                let (mut first, mut second) = (at(), at());
                if second < first {
                    std::mem::swap(&mut first, &mut second);
                }
                let signals = [Signal::HUP, Signal::TERM, Signal::INT];
                let further = [(first, self.rng.pick(&signals)), (second, self.rng.pick(&signals))];
                tier.stop(machine, &further).await;
            }
            TroubleKind::StopInStart(machine) => {
                tier.stop_in_start(machine, Duration::from_millis(self.rng.below(120))).await;
            }
            TroubleKind::Reload(machine, file) => {
                if let Err(error) = tier.reload(machine, file, time).await {
                    self.shared.history.found("the soak itself", error.to_string());
                }
            }
            TroubleKind::Cut(machine, direction) => self.cut(machine, direction, time).await,
            TroubleKind::Reset(machine) => tier.change_rules(machine, |rules| rules.resets += 1),
            TroubleKind::SlowLinks(machine) => {
                let delay = self.rng.pick(&[20, 60, 150]);
                tier.change_rules(machine, |rules| rules.link_delay_ms = delay);
                sleep(time).await;
                tier.change_rules(machine, |rules| rules.link_delay_ms = 0);
            }
            TroubleKind::DiskStall(machine) => self.disk(machine, DiskFault::Stalls, time).await,
            TroubleKind::DiskFull(machine) => self.disk(machine, DiskFault::Refuses, time).await,
            TroubleKind::DiskSlow(machine) => {
                let ms = self.rng.pick(&[40, 150]);
                self.disk(machine, DiskFault::Slow { ms }, time).await;
            }
            TroubleKind::DiskPanic(machine) => self.disk(machine, DiskFault::Panics, time).await,
            TroubleKind::ClockStep(machine) => {
                let offset = self.rng.pick(&[-2_000, 2_000]);
                tier.change_rules(machine, |rules| rules.clock_offset_ms = offset);
                sleep(time).await;
                tier.change_rules(machine, |rules| rules.clock_offset_ms = 0);
            }
            TroubleKind::KillAllThatCount => tier.kill_all(false, time, None).await,
            TroubleKind::KillAll => tier.kill_all(true, time, None).await,
            TroubleKind::KillAllWipeOne(machine) => tier.kill_all(true, time, Some(machine)).await,
            TroubleKind::Endpoints(misbehaviour) => {
                self.shared.set_misbehaviour(Some(misbehaviour));
                sleep(time).await;
                self.shared.set_misbehaviour(None);
            }
            TroubleKind::ReplaceEndpoint => self.endpoints.replace(self.rng.below(6)).await,
            TroubleKind::EndpointGone => self.endpoints.vanish(self.rng.below(6)).await,
            TroubleKind::Burst => sleep(time).await,
            TroubleKind::ClientsLeave => {
                self.shared.set_leaving(true);
                sleep(time).await;
                self.shared.set_leaving(false);
            }
        }
    }

    /// Has a store emptied and takes it away. Only where nothing else is lost is it certain to be done in time.
    async fn retire(&self, machine: Machine, time: Duration) {
        if retired(&self.shared, machine, time).await {
            self.tier.kill(machine, NEW_MACHINE_AFTER, true).await;
        } else if self.within_tolerance {
            self.shared.history.found("a machine is emptied", format!("{machine} in {} s", time.as_secs()));
        }
    }

    /// Cuts a machine off from those that count; half of the time from relays as well.
    async fn cut(&mut self, machine: Machine, direction: Direction, time: Duration) {
        let all = self.tier.machines();
        let from_relays = self.rng.percent(50);
        let others: Vec<Machine> =
            all.into_iter().filter(|other| other.counts() || (from_relays && machine.counts())).collect();
        let cut = self.tier.cut(machine, &others, direction);
        sleep(time).await;
        drop(cut);
    }

    async fn disk(&self, machine: Machine, fault: DiskFault, time: Duration) {
        // Without its disk it may not start, and a panic ends it.
        self.tier.excuse(machine);
        self.tier.change_rules(machine, |rules| rules.disk = fault);
        sleep(time).await;
        self.tier.change_rules(machine, |rules| rules.disk = DiskFault::None);
        sleep(EXCUSED_FOR).await;
        self.tier.expect(machine);
    }
}
