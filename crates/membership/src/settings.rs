//! Settings of a member, and their validation.

use std::net::SocketAddr;

use juniperwing_clock::Span;
use snafu::{Snafu, ensure};

use crate::member::Member;
use crate::wire::MAX_TEXT_BYTES;

/// Maximum number of seeds.
pub const MAX_SEEDS: usize = 16;

/// Maximum number of members that are asked for an indirect probe.
const MAX_INDIRECT_PROBES: usize = 16;

/// Maximum number of extra datagrams per probe interval.
const MAX_GOSSIP_FANOUT: usize = 16;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The local member.
    pub local_member: Member,
    /// Gossip addresses of the members to contact first. The local one may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub timings: Timings,
}

/// Intervals and timeouts of the protocol. The defaults suit a network with a latency of a few milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// Interval between probes.
    pub probe_interval: Span,
    /// Timeout of a direct probe, after which indirect probes are requested; less than `probe_interval`.
    pub probe_timeout: Span,
    /// Number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Duration of a suspicion in probe intervals among ten members; twice as long among a hundred.
    pub suspicion_multiplier: f64,
    /// Number of datagrams per probe interval that carry only updates, while there are any.
    pub gossip_fanout: usize,
    /// Maximum interval between comparisons of digests with a random member.
    pub sync_interval: Span,
    /// Delay before seeds are contacted a second time; it doubles up to `reconnect_interval`.
    pub join_interval: Span,
    /// Maximum interval between attempts to contact seeds and dead members.
    pub reconnect_interval: Span,
    /// How long a dead or departed member is retained in the table.
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
    /// Duration of a suspicion among `members` members.
    pub fn suspicion_timeout(&self, members: usize) -> Span {
        let scale = ((members + 1) as f64).log10().max(1.0);
        self.probe_interval.mul_f64(self.suspicion_multiplier * scale)
    }
}

/// Why settings are invalid.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A name is empty or too long for a datagram.
    #[snafu(display("{field} has {bytes} bytes; 1 to {MAX_TEXT_BYTES} are allowed"))]
    InvalidNameLength {
        /// The name of the setting.
        field: &'static str,
        /// The length of the name, in bytes.
        bytes: usize,
    },
    /// A value is out of range.
    #[snafu(display("{field} must be {allowed}"))]
    OutOfRange {
        /// The name of the setting.
        field: &'static str,
        /// The allowed range.
        allowed: &'static str,
    },
    /// There are more than [`MAX_SEEDS`] seeds.
    #[snafu(display("{count} seeds exceed the limit of {MAX_SEEDS}"))]
    TooManySeeds {
        /// The number of seeds.
        count: usize,
    },
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
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
            ("probe_timeout", self.probe_timeout),
            ("sync_interval", self.sync_interval),
            ("join_interval", self.join_interval),
            ("reconnect_interval", self.reconnect_interval),
            ("dead_member_retention", self.dead_member_retention),
        ];
        for (field, span) in spans {
            ensure!(span > Span::ZERO, OutOfRangeSnafu { field, allowed: "more than 0" });
        }
        let is_below_interval = self.probe_timeout < self.probe_interval;
        ensure!(
            is_below_interval,
            OutOfRangeSnafu { field: "probe_timeout", allowed: "below probe_interval" }
        );
        let multiplier = self.suspicion_multiplier;
        let is_in_range = (1.0..=1000.0).contains(&multiplier);
        ensure!(is_in_range, OutOfRangeSnafu { field: "suspicion_multiplier", allowed: "1 to 1000" });
        let indirect_probes = self.indirect_probes;
        ensure!(
            indirect_probes <= MAX_INDIRECT_PROBES,
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
