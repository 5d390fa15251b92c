//! What happens to machines.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::Arc;

use super::roles::{Keeper, control};
use super::{Action, RELAYS, World, address, millis};
use crate::day::{Direction, Kind, Scope, Trouble};
use crate::history::Seen;
use crate::host::SimulatedHost;
use crate::network::directions;

/// How long seeds and lists of keepers are out of date (`seedLagS`), in milliseconds.
const SEED_LAG_MS: u64 = 3_000;
/// How long a process has for its orderly end (`graceS`), in milliseconds.
const GRACE_MS: u64 = 8_000;
/// How much slower a slow disk is.
const SLOW_DISK: u32 = 30;

impl World {
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::Begin(index) => self.begin(index),
            Action::End(index) => self.end(index),
            Action::StartKeeper(number) => self.start_keeper(number),
            Action::KillKeeper(number) => self.kill_stopping(number),
            Action::StartRelay(number) => self.start_relay(number),
            Action::SpreadSeeds => self.spread_seeds(),
        }
    }

    fn begin(&mut self, index: usize) {
        let trouble = self.day.troubles[index];
        self.note(format!("begins: {trouble}"));
        match trouble.kind {
            Kind::Cut(scope, direction) => self.cut(index, trouble.machine, scope, direction),
            Kind::Freeze => self.freeze(trouble.machine),
            Kind::Kill => self.kill(trouble.machine),
            Kind::KillCore => self.members.clone().into_iter().for_each(|number| self.kill(number)),
            Kind::LosePower => self.lose_power(trouble.machine, false),
            Kind::LoseCorePower => {
                self.members.clone().into_iter().for_each(|number| self.lose_power(number, false));
            }
            Kind::Wipe => self.lose_power(trouble.machine, true),
            Kind::WipeAndLoseCorePower => self.lose_disks_and_power(trouble.machine),
            Kind::Stop => self.stop(trouble),
            Kind::SlowDisk => self.slow_disk(trouble.machine, SLOW_DISK),
            Kind::Replace => self.remove(trouble.machine),
            Kind::RestartRelay => {
                let now = self.now;
                let relay = 1 + (trouble.machine - 1) % RELAYS;
                self.relays.entry(relay).and_modify(|machine| machine.kill(now));
                self.history.add(now, Seen::RelayEnded { relay });
            }
        }
    }

    fn end(&mut self, index: usize) {
        let trouble = self.day.troubles[index];
        self.note(format!("ends: {trouble}"));
        match trouble.kind {
            Kind::Cut(..) => self.join(index),
            Kind::Freeze => self.thaw(trouble.machine),
            Kind::Kill | Kind::Stop => self.start_keeper(trouble.machine),
            Kind::KillCore => self.members.clone().into_iter().for_each(|number| self.start_keeper(number)),
            Kind::LosePower | Kind::Wipe => self.power_on(trouble.machine),
            Kind::LoseCorePower | Kind::WipeAndLoseCorePower => {
                self.members.clone().into_iter().for_each(|number| self.power_on(number));
            }
            Kind::SlowDisk => self.slow_disk(trouble.machine, 1),
            Kind::Replace => self.add_in_place_of(trouble.machine),
            Kind::RestartRelay => self.start_relay(1 + (trouble.machine - 1) % RELAYS),
        }
    }

    fn cut(&mut self, index: usize, number: usize, scope: Scope, direction: Direction) {
        let one = BTreeSet::from([address(0, number)]);
        let mut others: BTreeSet<IpAddr> = self.keepers.keys().map(|other| address(0, *other)).collect();
        if scope == Scope::All {
            others.extend((1..=RELAYS).map(|relay| address(1, relay)));
            others.extend([address(2, 1), address(3, 1)]);
        }
        others.remove(&address(0, number));
        let mut cuts = Vec::new();
        if direction != Direction::Out {
            cuts.extend(directions(&others, &one));
        }
        if direction != Direction::In {
            cuts.extend(directions(&one, &others));
        }
        cuts.iter().for_each(|(from, to)| self.network.cut(self.now, *from, *to));
        self.cuts.insert(index, cuts);
    }

    fn join(&mut self, index: usize) {
        for (from, to) in self.cuts.remove(&index).unwrap_or_default() {
            self.network.join(self.now, from, to);
        }
    }

    fn freeze(&mut self, number: usize) {
        let Some(keeper) = self.keepers.get_mut(&number) else { return };
        keeper.machine.freeze();
        self.network.set_frozen(address(0, number), true);
    }

    fn thaw(&mut self, number: usize) {
        self.network.set_frozen(address(0, number), false);
        let now = self.now;
        self.keepers.entry(number).and_modify(|keeper| keeper.machine.thaw(now));
    }

    fn kill(&mut self, number: usize) {
        let now = self.now;
        self.keepers.entry(number).and_modify(|keeper| keeper.machine.kill(now));
    }

    fn kill_stopping(&mut self, number: usize) {
        let now = self.now;
        let stopping = self.keepers.get_mut(&number).filter(|keeper| keeper.is_stopping);
        if let Some(keeper) = stopping {
            keeper.machine.kill(now);
            self.history.add(now, Seen::KeeperStopped { keeper: number });
            self.start_keeper(number);
        }
    }

    fn stop(&mut self, trouble: Trouble) {
        let Some(keeper) = self.keepers.get_mut(&trouble.machine) else { return };
        keeper.is_stopping = true;
        keeper.back_at_ms = trouble.end_ms();
        keeper.machine.stop();
        self.at(trouble.at_ms + GRACE_MS, Action::KillKeeper(trouble.machine));
    }

    fn lose_power(&mut self, number: usize, with_disk: bool) {
        let now = self.now;
        self.network.power_off(address(0, number));
        let Some(keeper) = self.keepers.get_mut(&number) else { return };
        keeper.machine.kill(now);
        keeper.machine.host.disk.lose_power(now);
        if with_disk {
            keeper.machine.host.disk.wipe();
        }
    }

    /// The machines from `first` on lose their disks, as many as may be lost at once; the others lose power.
    fn lose_disks_and_power(&mut self, first: usize) {
        let members = self.members.clone();
        for place in 0..members.len() {
            let number = members[(first - 1 + place) % members.len()];
            self.lose_power(number, place < self.tolerated());
        }
    }

    fn power_on(&mut self, number: usize) {
        if !self.members.contains(&number) {
            return;
        }
        self.network.power_on(self.now, address(0, number));
        self.start_keeper(number);
    }

    fn slow_disk(&mut self, number: usize, factor: u32) {
        if let Some(keeper) = self.keepers.get(&number) {
            keeper.machine.host.disk.set_slowness(factor);
        }
    }

    /// Takes a machine away for good.
    fn remove(&mut self, number: usize) {
        if !self.members.contains(&number) {
            return;
        }
        self.lose_power(number, true);
    }

    fn add_in_place_of(&mut self, number: usize) {
        let Some(place) = self.members.iter().position(|member| *member == number) else { return };
        let new = 1 + self.keepers.keys().max().copied().unwrap_or(0);
        self.members[place] = new;
        let (network, world_time) = (Arc::clone(&self.network), self.world_time.clone());
        let purpose = 10_000 + new as u64;
        let host = SimulatedHost::new(address(0, new), network, world_time, self.day.seed, purpose);
        self.keepers.insert(new, Keeper::new(host, new));
        self.keepers.remove(&number);
        self.start_keeper(new);
        let at = millis(self.now) + SEED_LAG_MS;
        self.at(at, Action::SpreadSeeds);
    }

    fn spread_seeds(&mut self) {
        let members = self.members.clone();
        let tolerated = self.tolerated();
        self.keepers.values().for_each(|keeper| keeper.reload(&members, tolerated));
        self.relay_seeds.send_replace(World::keeper_addresses(&members));
        self.control.send_replace(members.iter().map(|number| control(*number)).collect());
        self.seeds.send_replace(members);
    }
}
