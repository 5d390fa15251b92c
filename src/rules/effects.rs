//! Rule: no effect twice.

use std::sync::Arc;

use super::tuning::ARRIVAL;
use crate::interface::{Effect, Group};
use crate::state::Held;
use crate::time::Time;

impl Held {
    /// Rule: no effect twice. Every send passes here.
    pub(super) fn may_run(&self, now: Time, zone: Option<&Arc<str>>, most: u32) -> bool {
        let effect = match (&self.past.ran, self.ntf.topic.effect) {
            (None, _) | (Some(_), Effect::Repeatable) => true,
            (Some(_), Effect::OnceOnly) => false,
            (Some((_, first)), Effect::Collapsible { group, .. }) => {
                let open = self.closes().is_some_and(|end| now + ARRIVAL < end);
                open && (group == Group::All || zone.is_none_or(|zone| zone == first))
            }
        };
        effect && self.past.pushes < most && !self.over && self.out.is_none()
    }
}
