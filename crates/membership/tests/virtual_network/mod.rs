//! A simulated network of members in virtual time: loss, latency, one-way partitions, pauses, kills and restarts.

// Each test file uses only some of these items.
#![allow(dead_code)]

mod machine;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use juniperwing_clock::{Span, Time};
use juniperwing_membership::{
    Command, Event, Incarnation, Member, MemberId, Membership, Message, Record, RunId, Settings, Status,
    Timings, encode,
};

pub use machine::Machine;
use machine::{address, member};

/// A datagram or a tick that is scheduled.
#[derive(Debug)]
enum ScheduledEvent {
    Datagram { from: SocketAddr, to: SocketAddr, bytes: Vec<u8> },
    WakeUp { machine: usize, run: u64 },
}

/// Counters of the network's traffic.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Number of datagrams sent.
    pub datagrams: u64,
    /// Number of bytes sent.
    pub bytes: u64,
    /// Size of the largest datagram, in bytes.
    pub largest_datagram: usize,
    /// Number of ticks.
    pub wake_ups: u64,
}

/// The network and all machines.
pub struct Network {
    /// The machines, by number.
    pub machines: Vec<Machine>,
    /// The virtual time.
    pub now: Time,
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// Traffic since this was last reset.
    pub traffic: Traffic,
    /// Pairs of machines between which no datagram passes, from the first to the second.
    pub blocked_links: BTreeSet<(usize, usize)>,
    seeds: Vec<SocketAddr>,
    timings: Timings,
    queue: BTreeMap<(Time, u64), ScheduledEvent>,
    machines_by_address: BTreeMap<SocketAddr, usize>,
    last_event_number: u64,
    random_state: u64,
}

/// A time after the start of the network.
pub fn seconds(count: f64) -> Span {
    Span::from_secs_f64(count)
}

impl Network {
    /// `count` machines that are not started. The first three are seeds.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut network = Network {
            machines: Vec::new(),
            now: Time::from_nanos(1_000_000_000_000),
            loss: 0.0,
            traffic: Traffic::default(),
            blocked_links: BTreeSet::new(),
            seeds: (0..3.min(count)).map(address).collect(),
            timings: Timings::default(),
            queue: BTreeMap::new(),
            machines_by_address: BTreeMap::new(),
            last_event_number: 0,
            random_state: seed,
        };
        for number in 0..count {
            network.machines_by_address.insert(address(number), number);
            network.machines.push(Machine {
                membership: None,
                me: member(number),
                is_paused: false,
                deaths: Vec::new(),
                changes: Vec::new(),
                rejected: 0,
                conflicts: Vec::new(),
                socket: VecDeque::new(),
                wake_at: Time::NEVER,
                run: 0,
            });
        }
        network
    }

    /// `count` machines, started within 0.3 s, 20 s later.
    pub fn settled(count: usize, seed: u64) -> Self {
        let mut network = Network::new(count, seed);
        network.start_all();
        network.run(seconds(20.0));
        network
    }

    /// `count` machines, all of which know each other from the start, so that there are no updates.
    pub fn with_known_members(count: usize, seed: u64) -> Self {
        let mut network = Network::new(count, seed);
        for machine in 0..count {
            network.start(machine);
        }
        let record = |machine: &Machine| Record {
            member: machine.me.clone(),
            incarnation: Incarnation(0),
            status: Status::Alive,
        };
        let records: Vec<Record> = network.machines.iter().map(record).collect();
        for chunk in records.chunks(8) {
            for machine in 0..count {
                let from = if machine == 0 { &records[1] } else { &records[0] };
                let bytes = encode(from, &Message::Correction, chunk);
                network.deliver(machine, from.member.gossip_address, &bytes);
            }
        }
        network
    }

    /// Starts all machines, at random times within 0.3 s.
    pub fn start_all(&mut self) {
        let mut starts: Vec<(u64, usize)> =
            (0..self.machines.len()).map(|machine| (self.next_random() % 300, machine)).collect();
        starts.sort_unstable();
        let begin = self.now;
        for (millis, machine) in starts {
            self.run_until(begin + Span::from_millis(millis));
            self.start(machine);
        }
    }

    /// Starts the process of a machine, with a new run id.
    pub fn start(&mut self, machine: usize) {
        let seed = self.next_random();
        let me = &mut self.machines[machine].me;
        me.run_id = RunId(seed);
        let settings =
            Settings { local_member: me.clone(), seeds: self.seeds.clone(), timings: self.timings };
        self.machines_by_address.insert(me.gossip_address, machine);
        let process = &mut self.machines[machine];
        process.membership = Some(Membership::new(self.now, settings, seed).unwrap());
        process.run += 1;
        process.socket.clear();
        process.wake_at = self.now;
        self.schedule_wake_up(machine);
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, machine: usize) {
        self.machines[machine].membership = None;
        self.machines[machine].is_paused = false;
    }

    /// Moves a machine that is not running to another address.
    pub fn move_to(&mut self, machine: usize, number: usize) {
        let me = &mut self.machines[machine].me;
        self.machines_by_address.remove(&me.gossip_address);
        me.gossip_address = address(number);
        me.address = address(number);
    }

    /// Pauses a machine.
    pub fn pause(&mut self, machine: usize) {
        self.machines[machine].is_paused = true;
    }

    /// Resumes a machine: its timers fire before the datagrams in its socket are handled, which is the worst case.
    pub fn resume(&mut self, machine: usize) {
        self.machines[machine].is_paused = false;
        if self.machines[machine].wake_at <= self.now {
            self.tick(machine);
        }
        while let Some((from, bytes)) = self.machines[machine].socket.pop_front() {
            self.deliver(machine, from, &bytes);
        }
    }

    /// Partitions two groups of machines from each other, in both directions.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.blocked_links.insert((a, b));
                self.blocked_links.insert((b, a));
            }
        }
    }

    /// Makes a member announce that it leaves, and terminates its process.
    pub fn leave(&mut self, machine: usize) {
        let now = self.now;
        let commands = self.membership(machine).handle(now, Event::Leave);
        self.execute(machine, commands);
        self.kill(machine);
    }

    /// Delivers bytes to a machine as if they were sent by `from`.
    pub fn inject(&mut self, machine: usize, from: SocketAddr, bytes: &[u8]) {
        self.deliver(machine, from, bytes);
    }

    /// Advances virtual time by `span`.
    pub fn run(&mut self, span: Span) {
        self.run_until(self.now + span);
    }

    /// Runs until `is_done`, checked every 100 ms, and returns the time that took.
    ///
    /// # Panics
    ///
    /// After `limit`.
    pub fn run_until_true(&mut self, limit: Span, what: &str, is_done: impl Fn(&Network) -> bool) -> Span {
        let begin = self.now;
        while !is_done(self) {
            assert!(self.now.since(begin) < limit, "not within {} s: {what}", limit.as_secs_f64());
            self.run(Span::from_millis(100));
        }
        self.now.since(begin)
    }

    /// Whether every running member regards `machine` as `status`.
    pub fn all_view_as(&self, machine: usize, status: Status) -> bool {
        self.running().all(|observer| self.view(observer, machine) == Some(status))
    }

    /// Whether every running member regards every running one as alive, with its current run id and address, and no
    /// other as live.
    pub fn has_converged(&self) -> bool {
        let expected: BTreeMap<&MemberId, &Member> =
            self.running().map(|machine| &self.machines[machine].me).map(|me| (&me.id, me)).collect();
        self.running().all(|machine| {
            let membership = self.machines[machine].membership.as_ref().unwrap();
            let live = membership.members().filter(|(_, status)| status.is_live());
            let mut count = 0;
            let is_expected = live.into_iter().all(|(member, status)| {
                count += 1;
                status == Status::Alive && expected.get(&member.id) == Some(&member)
            });
            is_expected && count == expected.len()
        })
    }

    /// The status of `machine` in the view of `observer`.
    pub fn view(&self, observer: usize, machine: usize) -> Option<Status> {
        let id = &self.machines[machine].me.id;
        let membership = self.machines[observer].membership.as_ref()?;
        membership.members().find(|(member, _)| member.id == *id).map(|(_, status)| status)
    }

    /// The machines with a running process.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.machines.len()).filter(|&machine| self.machines[machine].membership.is_some())
    }

    /// Removes and returns all deaths reported by any member.
    pub fn take_deaths(&mut self) -> Vec<MemberId> {
        self.machines.iter_mut().flat_map(|machine| std::mem::take(&mut machine.deaths)).collect()
    }

    /// The member of a running machine.
    pub fn membership(&mut self, machine: usize) -> &mut Membership {
        self.machines[machine].membership.as_mut().unwrap()
    }

    fn run_until(&mut self, end: Time) {
        while let Some((&(time, _), _)) = self.queue.first_key_value() {
            if time > end {
                break;
            }
            let (_, event) = self.queue.pop_first().unwrap();
            self.now = time;
            self.execute_event(event);
        }
        self.now = end;
    }

    fn execute_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::WakeUp { machine, run } => {
                let process = &self.machines[machine];
                let is_due = process.run == run && process.wake_at == self.now && !process.is_paused;
                if is_due && process.membership.is_some() {
                    self.tick(machine);
                }
            }
            ScheduledEvent::Datagram { from, to, bytes } => {
                let Some(&machine) = self.machines_by_address.get(&to) else { return };
                let process = &mut self.machines[machine];
                if process.membership.is_none() {
                    return;
                }
                if process.is_paused {
                    process.socket.push_back((from, bytes));
                    return;
                }
                self.deliver(machine, from, &bytes);
            }
        }
    }

    fn tick(&mut self, machine: usize) {
        self.traffic.wake_ups += 1;
        let now = self.now;
        let commands = self.membership(machine).handle(now, Event::Tick);
        self.execute(machine, commands);
    }

    fn deliver(&mut self, machine: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let commands = self.membership(machine).handle(now, Event::Datagram { from, bytes });
        self.execute(machine, commands);
    }

    fn execute(&mut self, machine: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { to, bytes } => self.send(machine, to, bytes),
                Command::Changed { member, status } => {
                    let process = &mut self.machines[machine];
                    if status == Status::Dead {
                        process.deaths.push(member.id.clone());
                    }
                    process.changes.push((member, status));
                }
                Command::WakeAt(time) => {
                    self.machines[machine].wake_at = time;
                    self.schedule_wake_up(machine);
                }
                Command::Rejected { .. } => self.machines[machine].rejected += 1,
                Command::Conflict { duplicate } => self.machines[machine].conflicts.push(duplicate),
            }
        }
    }

    fn send(&mut self, machine: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.traffic.datagrams += 1;
        self.traffic.bytes += bytes.len() as u64;
        self.traffic.largest_datagram = self.traffic.largest_datagram.max(bytes.len());
        let from = self.machines[machine].me.gossip_address;
        let is_blocked = self
            .machines_by_address
            .get(&to)
            .is_some_and(|&target| self.blocked_links.contains(&(machine, target)));
        let is_lost = (self.next_random() % 1_000_000) as f64 / 1e6 < self.loss;
        if is_blocked || is_lost {
            return;
        }
        let delay = Span::from_nanos(1_000_000 + self.next_random() % 4_000_000);
        self.enqueue(self.now + delay, ScheduledEvent::Datagram { from, to, bytes });
    }

    fn schedule_wake_up(&mut self, machine: usize) {
        let Machine { wake_at, run, .. } = self.machines[machine];
        let time = wake_at.max(self.now);
        self.machines[machine].wake_at = time;
        self.enqueue(time, ScheduledEvent::WakeUp { machine, run });
    }

    fn enqueue(&mut self, time: Time, event: ScheduledEvent) {
        self.last_event_number += 1;
        self.queue.insert((time, self.last_event_number), event);
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random_state ^ (self.random_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
