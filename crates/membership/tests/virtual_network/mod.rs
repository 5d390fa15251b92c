//! Members on a network in virtual time: loss, delay, one-way cuts, freezes, kills and restarts.

// Each test file uses a part of this.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use juniperwing_clock::{Span, Time};
use juniperwing_membership::{
    Command, Event, Incarnation, Member, MemberId, Membership, Message, Record, Role, RunId, Settings,
    Status, Timings, encode,
};

/// A datagram or a tick that is to come.
#[derive(Debug)]
enum Arrival {
    Datagram { from: SocketAddr, to: SocketAddr, bytes: Vec<u8> },
    Wake { machine: usize, run: u64 },
}

/// A process and what happens to it.
pub struct Machine {
    /// The member, while the process runs.
    pub membership: Option<Membership>,
    /// What it is told of itself at its next start.
    pub me: Member,
    /// Whether it stands still; datagrams wait.
    pub frozen: bool,
    /// Deaths that it has reported.
    pub deaths: Vec<MemberId>,
    /// All changes that it has reported.
    pub changes: Vec<(Member, Status)>,
    /// Datagrams refused.
    pub refused: usize,
    /// Processes under its own name that it has reported.
    pub conflicts: Vec<Member>,
    socket: VecDeque<(SocketAddr, Vec<u8>)>,
    wake_at: Time,
    run: u64,
}

/// What went over the network.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Datagrams sent.
    pub datagrams: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// The largest datagram.
    pub largest: usize,
    /// Ticks.
    pub wakes: u64,
}

/// The network and all machines.
pub struct Network {
    /// The machines, by number.
    pub machines: Vec<Machine>,
    /// The time.
    pub now: Time,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// What was sent since this was last cleared.
    pub traffic: Traffic,
    /// Pairs of machines between which nothing passes, from the first to the second.
    pub cuts: BTreeSet<(usize, usize)>,
    seeds: Vec<SocketAddr>,
    timings: Timings,
    queue: BTreeMap<(Time, u64), Arrival>,
    owners: BTreeMap<SocketAddr, usize>,
    serial: u64,
    chance: u64,
}

/// A time after the start of the network.
pub fn seconds(count: f64) -> Span {
    Span::from_secs_f64(count)
}

fn address(number: usize) -> SocketAddr {
    let [high, low, ..] = (number as u16).to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), 7380).into()
}

fn member(number: usize) -> Member {
    let role = match number {
        0..3 => Role::Keeper,
        _ if number.is_multiple_of(10) => Role::Store,
        _ => Role::Relay,
    };
    Member {
        id: MemberId { node: format!("edge-neihu-a-{number}").as_str().into(), role },
        run_id: RunId(0),
        zone: "neihu-a".into(),
        gossip_address: address(number),
        address: address(number),
        disk: None,
    }
}

impl Network {
    /// So many machines, not started, of which the first three are seeds.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut network = Network {
            machines: Vec::new(),
            now: Time::from_nanos(1_000_000_000_000),
            loss: 0.0,
            traffic: Traffic::default(),
            cuts: BTreeSet::new(),
            seeds: (0..3.min(count)).map(address).collect(),
            timings: Timings::default(),
            queue: BTreeMap::new(),
            owners: BTreeMap::new(),
            serial: 0,
            chance: seed,
        };
        for number in 0..count {
            network.owners.insert(address(number), number);
            network.machines.push(Machine {
                membership: None,
                me: member(number),
                frozen: false,
                deaths: Vec::new(),
                changes: Vec::new(),
                refused: 0,
                conflicts: Vec::new(),
                socket: VecDeque::new(),
                wake_at: Time::NEVER,
                run: 0,
            });
        }
        network
    }

    /// As many machines, started within 0.3 s, and 20 s later.
    pub fn settled(count: usize, seed: u64) -> Self {
        let mut network = Network::new(count, seed);
        network.start_all();
        network.run(seconds(20.0));
        network
    }

    /// As many machines, all of which know each other from the start, so that nothing is news.
    pub fn acquainted(count: usize, seed: u64) -> Self {
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

    /// Starts all, at random times within 0.3 s.
    pub fn start_all(&mut self) {
        let mut starts: Vec<(u64, usize)> =
            (0..self.machines.len()).map(|machine| (self.draw() % 300, machine)).collect();
        starts.sort_unstable();
        let begin = self.now;
        for (millis, machine) in starts {
            self.run_until(begin + Span::from_millis(millis));
            self.start(machine);
        }
    }

    /// Starts a machine's process, with a new life.
    pub fn start(&mut self, machine: usize) {
        let seed = self.draw();
        let me = &mut self.machines[machine].me;
        me.run_id = RunId(seed);
        let settings =
            Settings { local_member: me.clone(), seeds: self.seeds.clone(), timings: self.timings };
        self.owners.insert(me.gossip_address, machine);
        let place = &mut self.machines[machine];
        place.membership = Some(Membership::new(self.now, settings, seed).unwrap());
        place.run += 1;
        place.socket.clear();
        place.wake_at = self.now;
        self.schedule_wake(machine);
    }

    /// Ends a machine's process without notice.
    pub fn kill(&mut self, machine: usize) {
        self.machines[machine].membership = None;
        self.machines[machine].frozen = false;
    }

    /// Gives a machine that is not running another address.
    pub fn move_to(&mut self, machine: usize, number: usize) {
        let me = &mut self.machines[machine].me;
        self.owners.remove(&me.gossip_address);
        me.gossip_address = address(number);
        me.address = address(number);
    }

    /// Lets a machine stand still.
    pub fn freeze(&mut self, machine: usize) {
        self.machines[machine].frozen = true;
    }

    /// Lets a machine run again: first its timers, then what waits in its socket (the worse order).
    pub fn thaw(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        if self.machines[machine].wake_at <= self.now {
            self.tick(machine);
        }
        while let Some((from, bytes)) = self.machines[machine].socket.pop_front() {
            self.deliver(machine, from, &bytes);
        }
    }

    /// Cuts all pairs between the two groups, in both directions.
    pub fn cut(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.cuts.insert((a, b));
                self.cuts.insert((b, a));
            }
        }
    }

    /// Lets a machine leave, and ends its process.
    pub fn leave(&mut self, machine: usize) {
        let now = self.now;
        let commands = self.membership(machine).handle(now, Event::Leave);
        self.carry_out(machine, commands);
        self.kill(machine);
    }

    /// Hands bytes to a machine as if they came from `from`.
    pub fn inject(&mut self, machine: usize, from: SocketAddr, bytes: &[u8]) {
        self.deliver(machine, from, bytes);
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Span) {
        self.run_until(self.now + span);
    }

    /// Runs until `done`, looking every 100 ms; gives the time that took, or panics after `limit`.
    pub fn run_until_true(&mut self, limit: Span, what: &str, done: impl Fn(&Network) -> bool) -> Span {
        let begin = self.now;
        while !done(self) {
            assert!(self.now.since(begin) < limit, "not within {} s: {what}", limit.as_secs_f64());
            self.run(Span::from_millis(100));
        }
        self.now.since(begin)
    }

    /// Whether every running machine holds `status` of `machine`.
    pub fn all_hold(&self, machine: usize, status: Status) -> bool {
        self.running().all(|observer| self.view(observer, machine) == Some(status))
    }

    /// Whether every running machine holds every running one as alive at its present life and address, and no
    /// other as live.
    pub fn converged(&self) -> bool {
        let expected: BTreeMap<&MemberId, &Member> =
            self.running().map(|machine| &self.machines[machine].me).map(|me| (&me.id, me)).collect();
        self.running().all(|machine| {
            let membership = self.machines[machine].membership.as_ref().unwrap();
            let live = membership.members().filter(|(_, status)| status.is_live());
            let mut count = 0;
            let right = live.into_iter().all(|(member, status)| {
                count += 1;
                status == Status::Alive && expected.get(&member.id) == Some(&member)
            });
            right && count == expected.len()
        })
    }

    /// What `observer` holds of `machine`.
    pub fn view(&self, observer: usize, machine: usize) -> Option<Status> {
        let id = &self.machines[machine].me.id;
        let membership = self.machines[observer].membership.as_ref()?;
        membership.members().find(|(member, _)| member.id == *id).map(|(_, status)| status)
    }

    /// The machines whose process runs.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.machines.len()).filter(|&machine| self.machines[machine].membership.is_some())
    }

    /// All deaths reported by anyone, since the last time.
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
            let (_, arrival) = self.queue.pop_first().unwrap();
            self.now = time;
            self.arrive(arrival);
        }
        self.now = end;
    }

    fn arrive(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Wake { machine, run } => {
                let place = &self.machines[machine];
                let due = place.run == run && place.wake_at == self.now && !place.frozen;
                if due && place.membership.is_some() {
                    self.tick(machine);
                }
            }
            Arrival::Datagram { from, to, bytes } => {
                let Some(&machine) = self.owners.get(&to) else { return };
                let place = &mut self.machines[machine];
                if place.membership.is_none() {
                    return;
                }
                if place.frozen {
                    place.socket.push_back((from, bytes));
                    return;
                }
                self.deliver(machine, from, &bytes);
            }
        }
    }

    fn tick(&mut self, machine: usize) {
        self.traffic.wakes += 1;
        let now = self.now;
        let commands = self.membership(machine).handle(now, Event::Tick);
        self.carry_out(machine, commands);
    }

    fn deliver(&mut self, machine: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        let commands = self.membership(machine).handle(now, Event::Datagram { from, bytes });
        self.carry_out(machine, commands);
    }

    fn carry_out(&mut self, machine: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { to, bytes } => self.send(machine, to, bytes),
                Command::Changed { member, status } => {
                    let place = &mut self.machines[machine];
                    if status == Status::Dead {
                        place.deaths.push(member.id.clone());
                    }
                    place.changes.push((member, status));
                }
                Command::WakeAt(time) => {
                    self.machines[machine].wake_at = time;
                    self.schedule_wake(machine);
                }
                Command::Rejected { .. } => self.machines[machine].refused += 1,
                Command::Conflict { duplicate } => self.machines[machine].conflicts.push(duplicate),
            }
        }
    }

    fn send(&mut self, machine: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.traffic.datagrams += 1;
        self.traffic.bytes += bytes.len() as u64;
        self.traffic.largest = self.traffic.largest.max(bytes.len());
        let from = self.machines[machine].me.gossip_address;
        let cut = self.owners.get(&to).is_some_and(|&target| self.cuts.contains(&(machine, target)));
        let lost = (self.draw() % 1_000_000) as f64 / 1e6 < self.loss;
        if cut || lost {
            return;
        }
        let delay = Span::from_nanos(1_000_000 + self.draw() % 4_000_000);
        self.enqueue(self.now + delay, Arrival::Datagram { from, to, bytes });
    }

    fn schedule_wake(&mut self, machine: usize) {
        let Machine { wake_at, run, .. } = self.machines[machine];
        let time = wake_at.max(self.now);
        self.machines[machine].wake_at = time;
        self.enqueue(time, Arrival::Wake { machine, run });
    }

    fn enqueue(&mut self, time: Time, arrival: Arrival) {
        self.serial += 1;
        self.queue.insert((time, self.serial), arrival);
    }

    fn draw(&mut self) -> u64 {
        self.chance = self.chance.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.chance ^ (self.chance >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
