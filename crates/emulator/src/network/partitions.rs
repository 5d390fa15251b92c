//! Network partitions: directions between machines that are blocked, and what happens when they heal.

use std::collections::BTreeSet;
use std::net::IpAddr;

use juniperwing_clock::{Span, Time};

use super::{Network, PipeId, State};

/// The maximum delay from the unblocking of a direction to the resend of its queued segments, in nanoseconds.
const MAX_RESEND_DELAY_NANOS: u64 = 200_000_000;

impl Network {
    /// Blocks one direction between two machines; a direction blocked twice must be unblocked twice.
    /// Segments in flight are queued.
    pub fn block(&self, now: Time, from: IpAddr, to: IpAddr) {
        let mut state = self.lock();
        *state.blocked_directions.entry((from, to)).or_default() += 1;
        for pipe in state.pipes.values_mut().filter(|pipe| (pipe.from, pipe.to) == (from, to)) {
            let arrived = pipe.in_flight.partition_point(|(arrival, _)| *arrival <= now);
            let undelivered = pipe.in_flight.split_off(arrived);
            pipe.blocked.extend(undelivered.into_iter().map(|(_, segment)| segment));
            if !pipe.blocked.is_empty() {
                pipe.unacknowledged_since.get_or_insert(now);
            }
        }
    }

    /// Reverts one call of [`block`](Network::block). Queued segments are resent soon.
    pub fn unblock(&self, now: Time, from: IpAddr, to: IpAddr) {
        self.change(|state| state.unblock(now, from, to));
    }
}

impl State {
    pub(super) fn is_blocked(&self, from: IpAddr, to: IpAddr) -> bool {
        self.blocked_directions.contains_key(&(from, to))
    }

    fn unblock(&mut self, now: Time, from: IpAddr, to: IpAddr) {
        let Some(count) = self.blocked_directions.get_mut(&(from, to)) else { return };
        *count -= 1;
        if *count > 0 {
            return;
        }
        self.blocked_directions.remove(&(from, to));
        let is_reverse_open = !self.is_blocked(to, from);
        let pipes: Vec<PipeId> = self
            .pipes
            .iter()
            .filter(|(_, pipe)| (pipe.from, pipe.to) == (from, to) || (pipe.to, pipe.from) == (from, to))
            .map(|(id, _)| *id)
            .collect();
        for id in pipes {
            let resend_at = now + Span::from_nanos(self.rng.below(MAX_RESEND_DELAY_NANOS));
            let Some(pipe) = self.pipes.get_mut(&id) else { continue };
            if is_reverse_open {
                pipe.unacknowledged_since = None;
            }
            if (pipe.from, pipe.to) == (from, to) {
                let blocked = std::mem::take(&mut pipe.blocked);
                blocked.into_iter().for_each(|segment| self.dispatch(resend_at, id, segment));
            }
        }
    }
}

/// All directions from the machines of one group to those of another.
pub fn directions<'ends>(
    from: &'ends BTreeSet<IpAddr>, to: &'ends BTreeSet<IpAddr>,
) -> impl Iterator<Item = (IpAddr, IpAddr)> + 'ends {
    from.iter().flat_map(move |from| to.iter().map(move |to| (*from, *to)))
}
