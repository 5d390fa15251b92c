//! The directions of connections: segments in flight, flow control, resets and timeouts.

use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
use std::task::Waker;
use std::time::Duration;

use juniperwing_clock::{Span, Time};

use super::{MIN_DELAY, Network, State};

/// The maximum number of bytes in flight or unread in one direction of a connection.
const WINDOW_BYTES: usize = 256 << 10;

/// Identifies one direction of a connection.
pub type PipeId = u64;

/// A unit of transmission in one direction of a connection.
#[derive(Debug)]
pub(super) enum Segment {
    Bytes(VecDeque<u8>),
    End,
    Reset,
}

/// One direction of a connection.
#[derive(Debug)]
pub(super) struct Pipe {
    pub(super) from: IpAddr,
    pub(super) to: IpAddr,
    /// The boot count of the receiving machine when the connection was established.
    receiver_boot_count: u64,
    /// The other direction of the connection.
    reverse: PipeId,
    /// Segments with the times of their arrival, in order.
    pub(super) in_flight: VecDeque<(Time, Segment)>,
    /// Segments queued because of a partition or the receiver's loss of power.
    pub(super) blocked: VecDeque<Segment>,
    /// Bytes sent and not yet read; at most [`WINDOW_BYTES`].
    buffered_bytes: usize,
    last_arrival: Time,
    reader: Option<Waker>,
    writer: Option<Waker>,
    is_reader_dropped: bool,
    is_writer_dropped: bool,
    is_write_closed: bool,
    /// When the writer is notified of a reset.
    broken_at: Option<Time>,
    pub(super) unacknowledged_since: Option<Time>,
    user_timeout: Option<Duration>,
}

/// The outcome of a read.
#[derive(Debug)]
pub enum ReadOutcome {
    /// This many bytes were read.
    Bytes(usize),
    /// The writer closed the connection.
    End,
    /// The connection is broken.
    Broken(io::ErrorKind),
    /// There is nothing to read before this time; the waker is stored.
    Wait(Time),
}

impl Network {
    /// Sends bytes and returns how many were accepted; `None` if the window is full, and then the waker is stored.
    ///
    /// # Errors
    ///
    /// If the connection is broken or timed out.
    pub fn send(&self, now: Time, pipe: PipeId, bytes: &[u8], waker: &Waker) -> io::Result<Option<usize>> {
        self.change(|state| state.send(now, pipe, bytes, waker))
    }

    /// Closes the sending side of a pipe.
    pub fn close_write(&self, now: Time, pipe: PipeId) {
        self.change(|state| state.close_write(now, pipe));
    }

    /// Closes and drops the sending side.
    pub fn drop_writer(&self, now: Time, pipe: PipeId) {
        self.change(|state| state.drop_writer(now, pipe));
    }

    /// Drops the receiving side; unread bytes reset the connection.
    pub fn drop_reader(&self, now: Time, pipe: PipeId) {
        self.change(|state| state.drop_reader(now, pipe));
    }

    /// Reads what has arrived.
    pub fn receive(&self, now: Time, pipe: PipeId, buffer: &mut [u8], waker: &Waker) -> ReadOutcome {
        self.change(|state| state.receive(now, pipe, buffer, waker))
    }

    /// See [`juniperwing_node::host::SimulatedWriter::set_user_timeout`].
    pub fn set_user_timeout(&self, pipe: PipeId, timeout: Duration) {
        if let Some(pipe) = self.lock().pipes.get_mut(&pipe) {
            pipe.user_timeout = Some(timeout);
        }
    }
}

impl State {
    fn send(&mut self, now: Time, id: PipeId, bytes: &[u8], waker: &Waker) -> io::Result<Option<usize>> {
        let Some(pipe) = self.pipes.get_mut(&id) else { return Err(io::ErrorKind::BrokenPipe.into()) };
        if pipe.is_write_closed || pipe.broken_at.is_some_and(|at| at <= now) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if pipe.is_timed_out(now) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let capacity = WINDOW_BYTES.saturating_sub(pipe.buffered_bytes);
        if capacity == 0 {
            pipe.writer = Some(waker.clone());
            return Ok(None);
        }
        let count = bytes.len().min(capacity);
        pipe.buffered_bytes += count;
        self.dispatch(now, id, Segment::Bytes(bytes[..count].iter().copied().collect()));
        Ok(Some(count))
    }

    fn close_write(&mut self, now: Time, id: PipeId) {
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        if !pipe.is_write_closed {
            pipe.is_write_closed = true;
            self.dispatch(now, id, Segment::End);
        }
    }

    pub(super) fn drop_writer(&mut self, now: Time, id: PipeId) {
        self.close_write(now, id);
        if let Some(pipe) = self.pipes.get_mut(&id) {
            pipe.is_writer_dropped = true;
        }
        self.remove_if_unused(id);
    }

    pub(super) fn drop_reader(&mut self, now: Time, id: PipeId) {
        let Some(pipe) = self.pipes.get_mut(&id).filter(|pipe| !pipe.is_reader_dropped) else { return };
        pipe.is_reader_dropped = true;
        if pipe.buffered_bytes > 0 {
            self.reset(now, id);
        }
        self.remove_if_unused(id);
    }

    /// Sends a segment, or queues it while its direction is blocked.
    pub(super) fn dispatch(&mut self, now: Time, id: PipeId, segment: Segment) {
        let delay = if matches!(segment, Segment::Bytes(_)) { self.random_delay() } else { MIN_DELAY };
        let Some(pipe) = self.pipes.get(&id) else { return };
        let (from, to, reverse) = (pipe.from, pipe.to, pipe.reverse);
        let (receiver_boot_count, is_reader_dropped) = (pipe.receiver_boot_count, pipe.is_reader_dropped);
        if !self.has_power(from) {
            return;
        }
        let is_send_blocked = self.is_blocked(from, to) || !self.has_power(to);
        let is_unacknowledged = is_send_blocked || self.is_blocked(to, from);
        let has_rebooted = self.boot_count(to) != receiver_boot_count;
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        if is_unacknowledged && pipe.unacknowledged_since.is_none() && matches!(segment, Segment::Bytes(_)) {
            pipe.unacknowledged_since = Some(now);
            // The reader at the sending end waits for the user timeout as well.
            let reader = self.pipes.get_mut(&reverse).and_then(|pipe| pipe.reader.take());
            self.wakers.extend(reader);
        }
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        if is_send_blocked {
            // A reset is sent once.
            if !matches!(segment, Segment::Reset) {
                pipe.blocked.push_back(segment);
            }
            return;
        }
        if (has_rebooted || is_reader_dropped) && matches!(segment, Segment::Bytes(_)) {
            return self.reset(now + delay, id);
        }
        let arrival = pipe.last_arrival.max(now + delay);
        pipe.last_arrival = arrival;
        pipe.in_flight.push_back((arrival, segment));
        let reader = pipe.reader.take();
        self.wakers.extend(reader);
    }

    /// Resets the connection, as its receiving machine.
    pub(super) fn reset(&mut self, now: Time, id: PipeId) {
        let notified_at = now + MIN_DELAY;
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        let (reverse, from, to) = (pipe.reverse, pipe.from, pipe.to);
        if self.is_blocked(to, from) || !self.has_power(to) {
            return;
        }
        if let Some(pipe) = self.pipes.get_mut(&id) {
            pipe.broken_at.get_or_insert(notified_at);
            let writer = pipe.writer.take();
            self.wakers.extend(writer);
        }
        self.send_reset(notified_at, reverse);
    }

    /// Sends a reset, as the operating system does even without a process.
    fn send_reset(&mut self, arrival: Time, id: PipeId) {
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        let arrival = pipe.last_arrival.max(arrival);
        pipe.in_flight.push_back((arrival, Segment::Reset));
        let reader = pipe.reader.take();
        self.wakers.extend(reader);
    }

    fn receive(&mut self, now: Time, id: PipeId, buffer: &mut [u8], waker: &Waker) -> ReadOutcome {
        let Some(pipe) = self.pipes.get(&id) else { return ReadOutcome::Broken(io::ErrorKind::NotConnected) };
        let reverse = pipe.reverse;
        let timeout_at = self.pipes.get(&reverse).and_then(Pipe::user_timeout_at).unwrap_or(Time::NEVER);
        if timeout_at <= now {
            return ReadOutcome::Broken(io::ErrorKind::TimedOut);
        }
        let Some(pipe) = self.pipes.get_mut(&id) else { return ReadOutcome::End };
        let Some((arrival, segment)) = pipe.in_flight.front_mut() else {
            pipe.reader = Some(waker.clone());
            return ReadOutcome::Wait(timeout_at);
        };
        if *arrival > now {
            let wait = timeout_at.min(*arrival);
            pipe.reader = Some(waker.clone());
            return ReadOutcome::Wait(wait);
        }
        match segment {
            Segment::Reset => ReadOutcome::Broken(io::ErrorKind::ConnectionReset),
            Segment::End => ReadOutcome::End,
            Segment::Bytes(bytes) => {
                let count = bytes.len().min(buffer.len());
                for (position, byte) in buffer.iter_mut().zip(bytes.drain(..count)) {
                    *position = byte;
                }
                if bytes.is_empty() {
                    pipe.in_flight.pop_front();
                }
                pipe.buffered_bytes -= count;
                let writer = pipe.writer.take();
                self.wakers.extend(writer);
                ReadOutcome::Bytes(count)
            }
        }
    }

    /// Removes a connection once both ends have dropped it.
    fn remove_if_unused(&mut self, id: PipeId) {
        let Some(pipe) = self.pipes.get(&id) else { return };
        let reverse = pipe.reverse;
        let is_unused = |pipe: &Pipe| pipe.is_reader_dropped && pipe.is_writer_dropped;
        if is_unused(pipe) && self.pipes.get(&reverse).is_none_or(is_unused) {
            self.pipes.remove(&id);
            self.pipes.remove(&reverse);
        }
    }
}

impl Pipe {
    pub(super) fn new(
        from: IpAddr, to: IpAddr, receiver_boot_count: u64, reverse: PipeId, established_at: Time,
    ) -> Pipe {
        Pipe {
            from,
            to,
            receiver_boot_count,
            reverse,
            in_flight: VecDeque::new(),
            blocked: VecDeque::new(),
            buffered_bytes: 0,
            last_arrival: established_at,
            reader: None,
            writer: None,
            is_reader_dropped: false,
            is_writer_dropped: false,
            is_write_closed: false,
            broken_at: None,
            unacknowledged_since: None,
            user_timeout: None,
        }
    }

    fn user_timeout_at(&self) -> Option<Time> {
        let since = self.unacknowledged_since?;
        Some(since + Span::from_nanos(self.user_timeout?.as_nanos() as u64))
    }

    fn is_timed_out(&self, now: Time) -> bool {
        self.user_timeout_at().is_some_and(|at| at <= now)
    }
}
