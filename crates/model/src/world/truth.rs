//! The true state of endpoints, for a policy that may see it.

use std::collections::HashMap;
use std::sync::Arc;

use juniperwing::interface::EndpointId;
use juniperwing::time::Time;

use crate::endpoint::{Endpoint, Lane};
use crate::judge;
use crate::policy::{TrueState, Truth};
use crate::scenario::Woe;
use crate::woes::Spell;

/// What an oracle may see.
pub(super) struct View<'a> {
    pub(super) now: Time,
    pub(super) endpoints: &'a [Endpoint],
    pub(super) lanes: &'a [Lane],
    pub(super) spells: &'a [Spell],
    pub(super) ids: &'a HashMap<Arc<str>, usize>,
    pub(super) figures: judge::Figures,
}

impl Truth for View<'_> {
    fn endpoint(&self, endpoint: &EndpointId) -> Option<TrueState> {
        let endpoint = &self.endpoints[*self.ids.get(&endpoint.0)?];
        let (lane, struck, now) = (&self.lanes[endpoint.plan.lane], &endpoint.struck, self.now);
        let cut = [Woe::CutThere, Woe::CutBack].into_iter().any(|what| struck.any(self.spells, what, now));
        let out = cut || struck.out(self.spells, now) || struck.goes_on(self.spells, now).is_some();
        let factor = struck.factor(self.spells, Woe::Limit, now) * lane.level(now);
        Some(TrueState {
            answers: !endpoint.gone && !lane.fallen && !out,
            room: endpoint.plan.servers.saturating_sub(endpoint.running),
            waiting: endpoint.queue.len(),
            left: lane.limit.told(1.0).map_or(1.0, |_| lane.limit.clone().left(now, factor)),
            spare: lane.spare(now, self.figures.tip_after, self.figures.fall_multiple),
        })
    }
}
