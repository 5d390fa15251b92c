//! A model of the epoch and replication rules, small enough to be explored completely.
//!
//! The state of a real `Replica` has no finite set of values: absolute times, jitter, heartbeat rounds and
//! attempts grow with every step. The model keeps what safety rests on and lets each time-out fire at any
//! moment, so it allows every order of events that the code allows, and more. A message that was sent stays
//! deliverable for ever: it may be lost, late, reordered or duplicated, which includes every cut, in one
//! direction or in both. The disk is synchronous here; that answers wait for the disk is shown by `guards.rs`.
//!
//! | model | code |
//! |---|---|
//! | [`rules::Rules::prepare`] | `follower.rs`: `prepare` |
//! | [`rules::Rules::accept`] | `follower.rs`: `accept`; `candidacy.rs`: `adopt` |
//! | [`rules::Rules::heartbeat`] | `follower.rs`: `follow`; `candidacy.rs`: `settle` |
//! | [`rules::Rules::snapshot`] | `follower.rs`: `obeys`, `take_write`, `take_snapshot`, `confirm` |
//! | [`rules::Rules::start_election`] | `candidacy.rs`: `start_election`; `replica.rs`: `is_eligible`, `next_number` |
//! | [`rules::Rules::proposals`] | `candidacy.rs`: `promised`, `rebase`, `has_promises`, `new_epoch`; `membership.rs`: `fill_up` |
//! | [`rules::Rules::take_office`] | `candidacy.rs`: `is_chosen`, `take_office`; `office.rs`: `enter`; `primary.rs`: `catch_up` |
//! | [`rules::Rules::commit`] | `primary.rs`: `is_held_by_all`, `commit` |
//! | [`rules::Rules::write`] | `primary.rs`: `start_writes`, `write`, `catch_up` |
//! | [`rules::Rules::finish_read`] | `primary.rs`: `read`, `finish_reads` |
//! | [`rules::Rules::plans`] | `membership.rs`: `plan`, `admit`, `replaced_by`, `in_sync`, `is_up_to_date` |
//! | [`state::Epoch::is_quorum`], [`state::Epoch::deciders`], [`state::Epoch::is_news`] | `ballot.rs`: the same names |
//!
//! Not modelled: the canvass, which binds nobody (here every eligible keeper may seek an epoch at any moment),
//! the founding epoch (here chosen from the start), refusals (they only make a proposer give up sooner).

pub mod properties;
pub mod rules;
pub mod state;
