//! The network between simulated machines: connections and datagrams with delay, cuts of each direction, resets,
//! and machines that say nothing because they are frozen or have no power.
//!
//! One lock guards everything. Machines run one after the other, each for one step of the simulation, and no
//! message takes less than a step, so that none can arrive in the past of its receiver.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Waker;
use std::time::Duration;

use juniperwing_clock::{Span, Time};
use juniperwing_node::sync::lock;
use tokio::sync::Notify;

use juniperwing_random::Rng;

/// The shortest time that a message takes; also the step of the simulation.
pub const LEAST_DELAY: Span = Span::from_millis(2);
/// What is added to it at the most.
const MORE_DELAY_NANOS: u64 = 3_000_000;
/// How long after the end of a cut the bytes that it held up are sent again, at the most.
const MORE_RESEND_NANOS: u64 = 200_000_000;
/// Bytes that may be under way or unread in one direction of a connection.
const WINDOW_BYTES: usize = 256 << 10;
/// One datagram in so many is lost.
const DATAGRAM_LOSS: u64 = 200;
/// Datagrams that wait in a socket.
const MAX_DATAGRAMS: usize = 1_000;
/// The first port that a connecting end is given.
const FIRST_PORT: u16 = 20_000;

/// Tells the directions of connections apart.
pub type PipeId = u64;

/// What travels in one direction of a connection.
#[derive(Debug)]
enum Segment {
    Bytes(VecDeque<u8>),
    End,
    Reset,
}

/// One direction of a connection.
#[derive(Debug)]
struct Pipe {
    from: IpAddr,
    to: IpAddr,
    /// How often the receiving machine had lost power when the connection came up.
    receiver_life: u64,
    back: PipeId,
    travelling: VecDeque<(Time, Segment)>,
    held: VecDeque<Segment>,
    bytes: usize,
    last_arrival: Time,
    reader: Option<Waker>,
    writer: Option<Waker>,
    reader_gone: bool,
    writer_gone: bool,
    ended: bool,
    /// When the writer learns that nobody reads.
    broken_at: Option<Time>,
    unacknowledged_since: Option<Time>,
    user_timeout: Option<Duration>,
}

/// A socket that accepts connections.
#[derive(Debug, Default)]
pub struct Accepting {
    /// Connections that come up, with the times at which they do: the receiving and the sending pipe.
    pub queue: Mutex<VecDeque<(Time, Connection)>>,
    /// Told of each.
    pub news: Notify,
}

/// A socket for datagrams.
#[derive(Debug, Default)]
pub struct Mailbox {
    /// Datagrams with the times of their arrival and their senders.
    pub queue: Mutex<VecDeque<(Time, Vec<u8>, SocketAddr)>>,
    /// Told of each.
    pub news: Notify,
}

/// One end of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// The other end.
    pub peer: SocketAddr,
    /// Where bytes come from.
    pub incoming: PipeId,
    /// Where bytes go.
    pub outgoing: PipeId,
}

/// What comes of the first packet of a connection.
#[derive(Clone, Copy, Debug)]
pub enum Opened {
    /// It comes up at this time.
    Up(Time, Connection),
    /// Nobody listens; the answer comes at this time.
    Refused(Time),
    /// There is no answer.
    Silent,
}

/// What a reader finds.
#[derive(Debug)]
pub enum Received {
    /// So many bytes.
    Bytes(usize),
    /// The orderly end.
    End,
    /// The connection is broken.
    Broken(io::ErrorKind),
    /// Nothing until this time at the earliest; the waker is kept.
    Wait(Time),
}

#[derive(Debug, Default)]
struct MachineState {
    has_no_power: bool,
    is_frozen: bool,
    life: u64,
    next_port: u16,
}

#[derive(Debug)]
struct State {
    rng: Rng,
    machines: BTreeMap<IpAddr, MachineState>,
    /// Directions that are cut, each as often as cuts overlap.
    cuts: BTreeMap<(IpAddr, IpAddr), u32>,
    pipes: BTreeMap<PipeId, Pipe>,
    next_pipe: PipeId,
    listeners: BTreeMap<SocketAddr, Arc<Accepting>>,
    mailboxes: BTreeMap<SocketAddr, Arc<Mailbox>>,
    wake: Vec<Waker>,
}

/// The network.
#[derive(Debug)]
pub struct Network {
    state: Mutex<State>,
}

impl Network {
    /// A network without machines.
    pub fn new(rng: Rng) -> Network {
        let state = State {
            rng,
            machines: BTreeMap::new(),
            cuts: BTreeMap::new(),
            pipes: BTreeMap::new(),
            next_pipe: 1,
            listeners: BTreeMap::new(),
            mailboxes: BTreeMap::new(),
            wake: Vec::new(),
        };
        Network { state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Does something and wakes whoever waits for it, without the lock.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let (outcome, wake) = {
            let mut state = self.lock();
            let outcome = change(&mut state);
            (outcome, std::mem::take(&mut state.wake))
        };
        wake.into_iter().for_each(Waker::wake);
        outcome
    }

    /// Cuts one direction between two machines; cuts add up. What is under way has not arrived and is held up.
    pub fn cut(&self, now: Time, from: IpAddr, to: IpAddr) {
        let mut state = self.lock();
        *state.cuts.entry((from, to)).or_default() += 1;
        for pipe in state.pipes.values_mut().filter(|pipe| (pipe.from, pipe.to) == (from, to)) {
            let arrived = pipe.travelling.partition_point(|(arrival, _)| *arrival <= now);
            let under_way = pipe.travelling.split_off(arrived);
            pipe.held.extend(under_way.into_iter().map(|(_, segment)| segment));
            if !pipe.held.is_empty() {
                pipe.unacknowledged_since.get_or_insert(now);
            }
        }
    }

    /// Takes back one cut. What it held up is sent again soon.
    pub fn join(&self, now: Time, from: IpAddr, to: IpAddr) {
        self.change(|state| state.join(now, from, to));
    }

    /// A machine freezes or thaws.
    pub fn set_frozen(&self, machine: IpAddr, frozen: bool) {
        self.lock().machines.entry(machine).or_default().is_frozen = frozen;
    }

    /// A machine loses power: it says nothing more on any connection.
    pub fn power_off(&self, machine: IpAddr) {
        let mut state = self.lock();
        let known = state.machines.entry(machine).or_default();
        known.has_no_power = true;
        known.life += 1;
        for pipe in state.pipes.values_mut().filter(|pipe| pipe.from == machine) {
            pipe.held.clear();
        }
    }

    /// It has power again and knows nothing of earlier connections.
    pub fn power_on(&self, now: Time, machine: IpAddr) {
        self.change(|state| {
            state.machines.entry(machine).or_default().has_no_power = false;
            let orphans: Vec<PipeId> = state
                .pipes
                .iter()
                .filter(|(_, pipe)| pipe.to == machine && pipe.unacknowledged_since.is_some())
                .map(|(id, _)| *id)
                .collect();
            orphans.into_iter().for_each(|pipe| state.refuse(now, pipe));
        });
    }

    /// Opens a socket for connections.
    ///
    /// # Errors
    ///
    /// If there is one at this address.
    pub fn listen(&self, address: SocketAddr) -> io::Result<Arc<Accepting>> {
        let mut state = self.lock();
        if state.listeners.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let accepting = Arc::new(Accepting::default());
        state.listeners.insert(address, Arc::clone(&accepting));
        Ok(accepting)
    }

    /// The socket is closed; gives back the connections that nobody took.
    pub fn stop_listening(&self, address: SocketAddr) -> Vec<Connection> {
        let accepting = self.lock().listeners.remove(&address);
        let Some(accepting) = accepting else { return Vec::new() };
        let mut queue = lock(&accepting.queue);
        queue.drain(..).map(|(_, connection)| connection).collect()
    }

    /// Sends the first packet of a connection.
    pub fn open(&self, now: Time, from: IpAddr, to: SocketAddr) -> Opened {
        self.change(|state| state.open(now, from, to))
    }

    /// Sends bytes; `None` if they have to wait, and then the waker is kept.
    ///
    /// # Errors
    ///
    /// If the connection is broken.
    pub fn send(&self, now: Time, pipe: PipeId, bytes: &[u8], waker: &Waker) -> io::Result<Option<usize>> {
        self.change(|state| state.send(now, pipe, bytes, waker))
    }

    /// The writer sends nothing more.
    pub fn end(&self, now: Time, pipe: PipeId) {
        self.change(|state| state.end(now, pipe));
    }

    /// The writer is dropped.
    pub fn drop_writer(&self, now: Time, pipe: PipeId) {
        self.change(|state| {
            state.end(now, pipe);
            if let Some(held) = state.pipes.get_mut(&pipe) {
                held.writer_gone = true;
            }
            state.forget(pipe);
        });
    }

    /// The reader is dropped; bytes that it has not read reset the connection.
    pub fn drop_reader(&self, now: Time, pipe: PipeId) {
        self.change(|state| {
            if let Some(held) = state.pipes.get_mut(&pipe) {
                held.reader_gone = true;
                if held.bytes > 0 {
                    state.refuse(now, pipe);
                }
            }
            state.forget(pipe);
        });
    }

    /// Reads what has arrived.
    pub fn receive(&self, now: Time, pipe: PipeId, buffer: &mut [u8], waker: &Waker) -> Received {
        self.change(|state| state.receive(now, pipe, buffer, waker))
    }

    /// See [`juniperwing_node::host::SimulatedWriter::set_user_timeout`].
    pub fn set_user_timeout(&self, pipe: PipeId, time_out: Duration) {
        if let Some(pipe) = self.lock().pipes.get_mut(&pipe) {
            pipe.user_timeout = Some(time_out);
        }
    }

    /// Opens a socket for datagrams.
    ///
    /// # Errors
    ///
    /// If there is one at this address.
    pub fn bind(&self, address: SocketAddr) -> io::Result<Arc<Mailbox>> {
        let mut state = self.lock();
        if state.mailboxes.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let mailbox = Arc::new(Mailbox::default());
        state.mailboxes.insert(address, Arc::clone(&mailbox));
        Ok(mailbox)
    }

    /// Closes it.
    pub fn unbind(&self, address: SocketAddr) {
        drop(self.lock().mailboxes.remove(&address));
    }

    /// Sends a datagram, which may be lost.
    pub fn send_datagram(&self, now: Time, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let mailbox = {
            let mut state = self.lock();
            let lost = state.rng.one_in(DATAGRAM_LOSS);
            let at = now + state.delay();
            let reachable = !lost && !state.is_cut(from.ip(), to.ip()) && state.has_power(to.ip());
            let mailbox = state.mailboxes.get(&to).filter(|_| reachable).cloned();
            mailbox.map(|mailbox| (mailbox, at))
        };
        let Some((mailbox, at)) = mailbox else { return };
        let mut queue = lock(&mailbox.queue);
        if queue.len() < MAX_DATAGRAMS {
            let place = queue.partition_point(|(arrival, _, _)| *arrival <= at);
            queue.insert(place, (at, bytes.to_vec(), from));
        }
        drop(queue);
        mailbox.news.notify_one();
    }
}

impl State {
    fn is_cut(&self, from: IpAddr, to: IpAddr) -> bool {
        self.cuts.contains_key(&(from, to))
    }

    fn has_power(&self, machine: IpAddr) -> bool {
        self.machines.get(&machine).is_none_or(|known| !known.has_no_power)
    }

    fn life(&self, machine: IpAddr) -> u64 {
        self.machines.get(&machine).map_or(0, |known| known.life)
    }

    fn delay(&mut self) -> Span {
        LEAST_DELAY + Span::from_nanos(self.rng.below(MORE_DELAY_NANOS))
    }

    fn join(&mut self, now: Time, from: IpAddr, to: IpAddr) {
        let Some(count) = self.cuts.get_mut(&(from, to)) else { return };
        *count -= 1;
        if *count > 0 {
            return;
        }
        self.cuts.remove(&(from, to));
        let both_open = !self.is_cut(to, from);
        let pipes: Vec<PipeId> = self
            .pipes
            .iter()
            .filter(|(_, pipe)| (pipe.from, pipe.to) == (from, to) || (pipe.to, pipe.from) == (from, to))
            .map(|(id, _)| *id)
            .collect();
        for id in pipes {
            let again = now + Span::from_nanos(self.rng.below(MORE_RESEND_NANOS));
            let Some(pipe) = self.pipes.get_mut(&id) else { continue };
            if both_open {
                pipe.unacknowledged_since = None;
            }
            if (pipe.from, pipe.to) == (from, to) {
                let held = std::mem::take(&mut pipe.held);
                held.into_iter().for_each(|segment| self.dispatch(again, id, segment));
            }
        }
    }

    fn open(&mut self, now: Time, from: IpAddr, to: SocketAddr) -> Opened {
        let frozen = self.machines.get(&to.ip()).is_some_and(|known| known.is_frozen);
        if self.is_cut(from, to.ip()) || self.is_cut(to.ip(), from) || !self.has_power(to.ip()) || frozen {
            return Opened::Silent;
        }
        let arrival = now + self.delay();
        let answered = arrival + self.delay();
        let Some(accepting) = self.listeners.get(&to).cloned() else { return Opened::Refused(answered) };
        let known = self.machines.entry(from).or_default();
        let port = FIRST_PORT + known.next_port % FIRST_PORT;
        known.next_port = known.next_port.wrapping_add(1);
        let (forth, back) = (self.next_pipe, self.next_pipe + 1);
        self.next_pipe += 2;
        let (from_life, to_life) = (self.life(from), self.life(to.ip()));
        self.pipes.insert(forth, Pipe::new(from, to.ip(), to_life, back, arrival));
        self.pipes.insert(back, Pipe::new(to.ip(), from, from_life, forth, answered));
        let accepted = Connection { peer: SocketAddr::new(from, port), incoming: forth, outgoing: back };
        let mut queue = lock(&accepting.queue);
        let place = queue.partition_point(|(at, _)| *at <= arrival);
        queue.insert(place, (arrival, accepted));
        drop(queue);
        accepting.news.notify_one();
        Opened::Up(answered, Connection { peer: to, incoming: back, outgoing: forth })
    }

    fn send(&mut self, now: Time, id: PipeId, bytes: &[u8], waker: &Waker) -> io::Result<Option<usize>> {
        let Some(pipe) = self.pipes.get_mut(&id) else { return Err(io::ErrorKind::BrokenPipe.into()) };
        if pipe.ended || pipe.broken_at.is_some_and(|at| at <= now) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if pipe.is_timed_out(now) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let room = WINDOW_BYTES.saturating_sub(pipe.bytes);
        if room == 0 {
            pipe.writer = Some(waker.clone());
            return Ok(None);
        }
        let taken = bytes.len().min(room);
        pipe.bytes += taken;
        self.dispatch(now, id, Segment::Bytes(bytes[..taken].iter().copied().collect()));
        Ok(Some(taken))
    }

    fn end(&mut self, now: Time, id: PipeId) {
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        if !pipe.ended {
            pipe.ended = true;
            self.dispatch(now, id, Segment::End);
        }
    }

    /// Sends a segment on its way, or keeps it until the cut in its way has ended.
    fn dispatch(&mut self, now: Time, id: PipeId, segment: Segment) {
        // Tokio wakes those that wait for one thing in an order that no seed decides. Connections that end at the
        // same moment, as they do when a process stops, must not draw from the common sequence in that order.
        let delay = if matches!(segment, Segment::Bytes(_)) { self.delay() } else { LEAST_DELAY };
        let Some(pipe) = self.pipes.get(&id) else { return };
        let (from, to, back) = (pipe.from, pipe.to, pipe.back);
        let (receiver_life, reader_gone) = (pipe.receiver_life, pipe.reader_gone);
        if !self.has_power(from) {
            return;
        }
        let cut = self.is_cut(from, to) || !self.has_power(to);
        let unheard = cut || self.is_cut(to, from);
        let rebooted = self.life(to) != receiver_life;
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        if unheard && pipe.unacknowledged_since.is_none() && matches!(segment, Segment::Bytes(_)) {
            pipe.unacknowledged_since = Some(now);
            // Its own reader waits for the time-out as well.
            let reader = self.pipes.get_mut(&back).and_then(|pipe| pipe.reader.take());
            self.wake.extend(reader);
        }
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        if cut {
            // A reset is sent once.
            if !matches!(segment, Segment::Reset) {
                pipe.held.push_back(segment);
            }
            return;
        }
        if (rebooted || reader_gone) && matches!(segment, Segment::Bytes(_)) {
            return self.refuse(now + delay, id);
        }
        let arrival = pipe.last_arrival.max(now + delay);
        pipe.last_arrival = arrival;
        pipe.travelling.push_back((arrival, segment));
        let reader = pipe.reader.take();
        self.wake.extend(reader);
    }

    /// The receiving machine resets the connection.
    fn refuse(&mut self, now: Time, id: PipeId) {
        let learned = now + LEAST_DELAY;
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        let (back, from, to) = (pipe.back, pipe.from, pipe.to);
        if self.is_cut(to, from) || !self.has_power(to) {
            return;
        }
        if let Some(pipe) = self.pipes.get_mut(&id) {
            pipe.broken_at.get_or_insert(learned);
            let writer = pipe.writer.take();
            self.wake.extend(writer);
        }
        self.dispatch_reset(learned, back);
    }

    /// As a segment that the machine sends without any process.
    fn dispatch_reset(&mut self, arrival: Time, id: PipeId) {
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        let arrival = pipe.last_arrival.max(arrival);
        pipe.travelling.push_back((arrival, Segment::Reset));
        let reader = pipe.reader.take();
        self.wake.extend(reader);
    }

    fn receive(&mut self, now: Time, id: PipeId, buffer: &mut [u8], waker: &Waker) -> Received {
        let Some(pipe) = self.pipes.get(&id) else { return Received::Broken(io::ErrorKind::NotConnected) };
        let back = pipe.back;
        let gives_up = self.pipes.get(&back).and_then(Pipe::gives_up_at).unwrap_or(Time::NEVER);
        if gives_up <= now {
            return Received::Broken(io::ErrorKind::TimedOut);
        }
        let Some(pipe) = self.pipes.get_mut(&id) else { return Received::End };
        let Some((arrival, segment)) = pipe.travelling.front_mut() else {
            pipe.reader = Some(waker.clone());
            return Received::Wait(gives_up);
        };
        if *arrival > now {
            let wait = gives_up.min(*arrival);
            pipe.reader = Some(waker.clone());
            return Received::Wait(wait);
        }
        match segment {
            Segment::Reset => Received::Broken(io::ErrorKind::ConnectionReset),
            Segment::End => Received::End,
            Segment::Bytes(bytes) => {
                let taken = bytes.len().min(buffer.len());
                for (place, byte) in buffer.iter_mut().zip(bytes.drain(..taken)) {
                    *place = byte;
                }
                if bytes.is_empty() {
                    pipe.travelling.pop_front();
                }
                pipe.bytes -= taken;
                let writer = pipe.writer.take();
                self.wake.extend(writer);
                Received::Bytes(taken)
            }
        }
    }

    /// Drops a connection that neither end uses.
    fn forget(&mut self, id: PipeId) {
        let Some(pipe) = self.pipes.get(&id) else { return };
        let back = pipe.back;
        let unused = |pipe: &Pipe| pipe.reader_gone && pipe.writer_gone;
        if unused(pipe) && self.pipes.get(&back).is_none_or(unused) {
            self.pipes.remove(&id);
            self.pipes.remove(&back);
        }
    }
}

impl Pipe {
    fn new(from: IpAddr, to: IpAddr, receiver_life: u64, back: PipeId, up: Time) -> Pipe {
        Pipe {
            from,
            to,
            receiver_life,
            back,
            travelling: VecDeque::new(),
            held: VecDeque::new(),
            bytes: 0,
            last_arrival: up,
            reader: None,
            writer: None,
            reader_gone: false,
            writer_gone: false,
            ended: false,
            broken_at: None,
            unacknowledged_since: None,
            user_timeout: None,
        }
    }

    fn gives_up_at(&self) -> Option<Time> {
        let since = self.unacknowledged_since?;
        Some(since + Span::from_nanos(self.user_timeout?.as_nanos() as u64))
    }

    fn is_timed_out(&self, now: Time) -> bool {
        self.gives_up_at().is_some_and(|at| at <= now)
    }
}

/// The directions between two groups of machines.
pub fn directions<'ends>(
    from: &'ends BTreeSet<IpAddr>, to: &'ends BTreeSet<IpAddr>,
) -> impl Iterator<Item = (IpAddr, IpAddr)> + 'ends {
    from.iter().flat_map(move |from| to.iter().map(move |to| (*from, *to)))
}
