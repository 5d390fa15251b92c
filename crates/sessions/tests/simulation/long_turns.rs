//! Turns that run for long: their clients renew the leases until the turns end.

use juniperwing_clock::{Span, Time};
use juniperwing_protocol::ProgramId;
use juniperwing_protocol::session::{
    BeginTurn, FinishTurn, MAX_TURN_LEASE_MS, RenewTurn, SessionCall, TurnLease,
};

use super::TestRng;
use super::clients::RETENTION;

/// The interval between renewals of a lease.
const RENEWAL_INTERVAL: Span = Span::from_millis(MAX_TURN_LEASE_MS / 2);
/// The percentage of turns that run for long, if any do.
const LONG_TURN_PERCENT: usize = 30;
/// The percentage of renewals before which the relay is killed.
const RELAY_LOSS_PERCENT: usize = 1;

/// A turn under way.
#[derive(Clone, Debug)]
struct LongTurn {
    renew: RenewTurn,
    finish: FinishTurn,
    renew_at: Time,
    ends_at: Time,
}

/// The turns under way.
#[derive(Clone, Debug, Default)]
pub struct LongTurns {
    /// The longest duration of a turn; zero if all turns end at once.
    pub max_duration: Span,
    turns: Vec<LongTurn>,
    /// The turns that ran until their end.
    pub ended: usize,
}

impl LongTurns {
    /// The lease of a turn that begins.
    pub fn lease(&self) -> TurnLease {
        if self.max_duration == Span::ZERO {
            return TurnLease::default();
        }
        TurnLease { duration_ms: self.max_duration.as_millis(), retention_ms: RETENTION.as_millis() }
    }

    /// Whether a turn that has begun runs for long.
    pub fn is_long(&self, rng: &mut TestRng) -> bool {
        self.max_duration > Span::ZERO && rng.random_bool(LONG_TURN_PERCENT)
    }

    /// Lets a turn run for up to the longest duration, and then finish.
    pub fn start(&mut self, now: Time, begin: &BeginTurn, finish: FinishTurn, rng: &mut TestRng) {
        let duration = Span::from_millis(rng.below(self.max_duration.as_millis() as usize) as u64);
        let renew = RenewTurn {
            program: begin.program.clone(),
            request: begin.request.clone(),
            previous: begin.previous.clone(),
            reserved_tokens: begin.budget.map(|_| begin.max_tokens),
            lease: begin.lease,
        };
        self.turns.push(LongTurn {
            renew,
            finish,
            renew_at: now + RENEWAL_INTERVAL,
            ends_at: now + duration,
        });
    }

    /// Returns the calls that are due: renewals, and the ends of turns.
    pub fn take_due(&mut self, now: Time, rng: &mut TestRng) -> Vec<(ProgramId, SessionCall)> {
        let mut due = Vec::new();
        for mut turn in std::mem::take(&mut self.turns) {
            let program = turn.renew.program.clone();
            if turn.ends_at <= now {
                self.ended += 1;
                due.push((program, SessionCall::Finish(turn.finish)));
                continue;
            }
            if turn.renew_at <= now {
                if rng.random_bool(RELAY_LOSS_PERCENT) {
                    continue;
                }
                turn.renew_at = now + RENEWAL_INTERVAL;
                if turn.renew.reserved_tokens.is_some() || turn.renew.previous.is_some() {
                    due.push((program, SessionCall::Renew(turn.renew.clone())));
                }
            }
            self.turns.push(turn);
        }
        due
    }
}
