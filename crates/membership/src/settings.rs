//! What a member is told at its start.

use std::net::SocketAddr;

use juniperwing_clock::Span;
use snafu::{Snafu, ensure};

use crate::member::Member;
use crate::wire::MAX_TEXT_BYTES;

/// The most seeds that are asked.
pub const MAX_SEEDS: usize = 16;

/// The most members that are asked to probe another.
const MAX_INDIRECT_PROBES: usize = 16;

/// The most extra datagrams per probe interval.
const MAX_GOSSIP_FANOUT: usize = 16;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Itself.
    pub local_member: Member,
    /// Where datagrams of the first members go (their `gossip` address). Its own may be among them.
    pub seeds: Vec<SocketAddr>,
    /// How often and how long.
    pub timings: Timings,
}

/// How often and how long. The defaults suit a network with a few milliseconds between members.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// From one probe to the next.
    pub probe_interval: Span,
    /// How long a direct probe may take before others are asked to help; below `probe_interval`.
    pub probe_timeout: Span,
    /// How many others are asked to help.
    pub indirect_probes: usize,
    /// A suspicion lasts this many probe intervals for ten members, twice as many for a hundred.
    pub suspicion_multiplier: f64,
    /// How many datagrams are sent per probe interval for nothing but updates, while there are any.
    pub gossip_fanout: usize,
    /// From one comparison of digests with a random member to the next.
    pub sync_interval: Span,
    /// The wait before seeds are asked a second time; it doubles up to `reconnect_interval`.
    pub join_interval: Span,
    /// From one try to reach seeds and dead members to the next.
    pub reconnect_interval: Span,
    /// How long a dead or departed member is remembered.
    pub dead_member_retention: Span,
}

impl Default for Timings {
    fn default() -> Self {
        Timings {
            probe_interval: Span::from_millis(500),
            probe_timeout: Span::from_millis(150),
            indirect_probes: 3,
            suspicion_multiplier: 5.0,
            gossip_fanout: 2,
            sync_interval: Span::from_millis(10_000),
            join_interval: Span::from_millis(60),
            reconnect_interval: Span::from_millis(2_000),
            dead_member_retention: Span::from_millis(600_000),
        }
    }
}

impl Timings {
    /// How long a suspicion lasts among `members` members.
    pub fn suspicion_timeout(&self, members: usize) -> Span {
        let scale = ((members + 1) as f64).log10().max(1.0);
        self.probe_interval.mul_f64(self.suspicion_multiplier * scale)
    }
}

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A name is empty or too long for a datagram.
    #[snafu(display("{field} has {bytes} bytes; 1 to {MAX_TEXT_BYTES} are allowed"))]
    InvalidNameLength {
        /// Which name.
        field: &'static str,
        /// Its length.
        bytes: usize,
    },
    /// A figure is outside of what is allowed.
    #[snafu(display("{field} must be {allowed}"))]
    OutOfRange {
        /// Which figure.
        field: &'static str,
        /// What is allowed.
        allowed: &'static str,
    },
    /// Too many seeds.
    #[snafu(display("{count} seeds; {MAX_SEEDS} at most"))]
    TooManySeeds {
        /// How many there are.
        count: usize,
    },
}

impl Settings {
    /// Checks all of it.
    ///
    /// # Errors
    ///
    /// The first finding.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_text("node", &self.local_member.id.node.0)?;
        check_text("zone", &self.local_member.zone)?;
        ensure!(self.seeds.len() <= MAX_SEEDS, TooManySeedsSnafu { count: self.seeds.len() });
        self.timings.check()
    }
}

impl Timings {
    fn check(&self) -> Result<(), SettingsError> {
        let spans = [
            ("probe_interval", self.probe_interval),
            ("probe_time_out", self.probe_timeout),
            ("sync_interval", self.sync_interval),
            ("join_interval", self.join_interval),
            ("reconnect_interval", self.reconnect_interval),
            ("forget_after", self.dead_member_retention),
        ];
        for (field, span) in spans {
            ensure!(span > Span::ZERO, OutOfRangeSnafu { field, allowed: "more than 0" });
        }
        let in_time = self.probe_timeout < self.probe_interval;
        ensure!(in_time, OutOfRangeSnafu { field: "probe_time_out", allowed: "below probe_interval" });
        let multiplier = self.suspicion_multiplier;
        let in_range = (1.0..=1000.0).contains(&multiplier);
        ensure!(in_range, OutOfRangeSnafu { field: "suspicion_multiplier", allowed: "1 to 1000" });
        let helpers = self.indirect_probes;
        ensure!(
            helpers <= MAX_INDIRECT_PROBES,
            OutOfRangeSnafu { field: "indirect_probes", allowed: "at most 16" }
        );
        let fanout = self.gossip_fanout;
        ensure!(
            fanout <= MAX_GOSSIP_FANOUT,
            OutOfRangeSnafu { field: "gossip_fanout", allowed: "at most 16" }
        );
        Ok(())
    }
}

fn check_text(field: &'static str, text: &str) -> Result<(), SettingsError> {
    let bytes = text.len();
    ensure!((1..=MAX_TEXT_BYTES).contains(&bytes), InvalidNameLengthSnafu { field, bytes });
    Ok(())
}
