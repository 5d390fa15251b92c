//! The slots of a relay.

use juniperwing_restart::SlotTimes;

use crate::interface::DestinationId;

/// The slots of the relay; each call in flight uses one.
#[derive(Default)]
pub(crate) struct Slots {
    /// Whether a slot was offered to a destination that has not responded yet.
    pub(crate) is_offered: bool,
    pub(crate) slot_times: SlotTimes<DestinationId>,
}
