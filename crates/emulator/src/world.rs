//! Plays a day: machines step by step, troubles at their times, callers all the while.

mod roles;
mod troubles;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use juniperwing_clock::Time;
use tokio::sync::watch;

use self::roles::Keeper;
use crate::clock::WorldTime;
use crate::day::{Day, QUIET_MS};
use crate::history::{History, Seen};
use crate::host::SimulatedHost;
use crate::machine::Machine;
use crate::network::{LEAST_DELAY, Network};
use crate::stability::millis;
use crate::{endpoints, operators};
use juniperwing_random::Rng;

/// Relays of a day.
pub const RELAYS: usize = 2;
/// Endpoints of a day.
const ENDPOINTS: u64 = 5;
/// Operators of a day.
const OPERATORS: u64 = 3;
/// A process that ends by itself is started again after this time, in milliseconds.
const RESTART_MS: u64 = 500;

/// What is done at a moment of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// A trouble of the day begins.
    Begin(usize),
    /// It ends.
    End(usize),
    /// A keeper's process is started, if it doesn't run.
    StartKeeper(usize),
    /// A keeper that was told to end has had its time.
    KillKeeper(usize),
    /// A relay's process is started.
    StartRelay(usize),
    /// All learn where keepers are now.
    SpreadSeeds,
}

/// The machines of a day and what happens to them.
struct World {
    day: Day,
    now: Time,
    world_time: WorldTime,
    network: Arc<Network>,
    history: History,
    with_logs: bool,
    /// By number; machines that were replaced stay as empty places.
    keepers: BTreeMap<usize, Keeper>,
    relays: BTreeMap<usize, Machine>,
    operators: Machine,
    endpoints: Machine,
    /// Those that count, by number.
    members: Vec<usize>,
    seeds: watch::Sender<Vec<usize>>,
    relay_seeds: watch::Sender<Vec<SocketAddr>>,
    control: watch::Sender<Vec<SocketAddr>>,
    agenda: BTreeMap<(u64, u64), Action>,
    agenda_count: u64,
    cuts: BTreeMap<usize, Vec<(IpAddr, IpAddr)>>,
    rng: Rng,
}

/// Plays a day; gives back what was seen. `with_logs` adds the logs of the keepers.
pub fn play(day: &Day, with_logs: bool) -> Vec<(Time, Seen)> {
    let mut world = World::new(day.clone(), with_logs);
    world.start();
    while millis(world.now) < world.day.length_ms {
        world.step();
    }
    let history = world.history.clone();
    drop(world);
    history.take()
}

fn time(millis: u64) -> Time {
    Time::from_nanos(millis * 1_000_000)
}

/// The address of a machine of a group.
fn address(group: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, group, number as u8))
}

impl World {
    fn new(day: Day, with_logs: bool) -> World {
        let world_time = WorldTime::default();
        world_time.set(time(1));
        let network = Arc::new(Network::new(Rng::for_purpose(day.seed, 1)));
        let host = |group: u8, number: usize| {
            let purpose = u64::from(group) * 1_000 + number as u64 + 10_000;
            let (network, world_time) = (Arc::clone(&network), world_time.clone());
            SimulatedHost::new(address(group, number), network, world_time, day.seed, purpose)
        };
        let members: Vec<usize> = (1..=day.keepers).collect();
        World {
            now: time(1),
            history: History::default(),
            with_logs,
            keepers: members.iter().map(|number| (*number, Keeper::new(host(0, *number), *number))).collect(),
            relays: (1..=RELAYS).map(|number| (number, Machine::new(host(1, number)))).collect(),
            operators: Machine::new(host(2, 1)),
            endpoints: Machine::new(host(3, 1)),
            seeds: watch::channel(members.clone()).0,
            relay_seeds: watch::channel(World::keeper_addresses(&members)).0,
            control: watch::channel(members.iter().map(|number| roles::control(*number)).collect()).0,
            members,
            agenda: BTreeMap::new(),
            agenda_count: 0,
            cuts: BTreeMap::new(),
            rng: Rng::for_purpose(day.seed, 2),
            world_time,
            network,
            day,
        }
    }

    fn at(&mut self, at_ms: u64, action: Action) {
        self.agenda_count += 1;
        self.agenda.insert((at_ms, self.agenda_count), action);
    }

    fn start(&mut self) {
        for number in self.members.clone() {
            let at = 1 + self.rng.below(300);
            self.at(at, Action::StartKeeper(number));
        }
        for relay in 1..=RELAYS {
            self.at(400 + relay as u64, Action::StartRelay(relay));
        }
        for index in 0..self.day.troubles.len() {
            let trouble = self.day.troubles[index];
            self.at(trouble.at_ms, Action::Begin(index));
            self.at(trouble.end_ms(), Action::End(index));
        }
        let (seed, quiet_from) = (self.day.seed, time(self.day.length_ms - QUIET_MS));
        let (control, history) = (self.control.subscribe(), self.history.clone());
        self.operators.start(self.now, |_| operators::run(control, history, seed, OPERATORS, quiet_from));
        let (control, history) = (self.control.subscribe(), self.history.clone());
        self.endpoints.start(self.now, |_| endpoints::run(control, history, seed, ENDPOINTS));
    }

    /// Plays the least time that a message takes.
    fn step(&mut self) {
        while let Some(((at_ms, count), action)) =
            self.agenda.first_key_value().map(|(key, value)| (*key, *value))
            && at_ms <= millis(self.now)
        {
            self.agenda.remove(&(at_ms, count));
            self.act(action);
        }
        let until = self.now + LEAST_DELAY;
        let mut ended = Vec::new();
        for (number, keeper) in &mut self.keepers {
            if keeper.machine.run(until) {
                ended.push(*number);
            }
        }
        for relay in self.relays.values_mut() {
            relay.run(until);
        }
        self.operators.run(until);
        self.endpoints.run(until);
        self.now = until;
        self.world_time.set(until);
        for number in ended {
            self.keeper_ended(number);
        }
    }

    fn note(&self, text: String) {
        self.history.add(self.now, Seen::Note(text));
    }

    fn keeper_ended(&mut self, number: usize) {
        let Some(keeper) = self.keepers.get_mut(&number) else { return };
        let restart_at = millis(self.now) + RESTART_MS;
        if keeper.is_stopping {
            // It may have taken longer than the machine was to be away.
            let back_at = keeper.back_at_ms.max(restart_at);
            self.history.add(self.now, Seen::KeeperStopped { keeper: number });
            self.at(back_at, Action::StartKeeper(number));
        } else {
            self.history.add(self.now, Seen::KeeperEnded { keeper: number });
            self.at(restart_at, Action::StartKeeper(number));
        }
    }
}
