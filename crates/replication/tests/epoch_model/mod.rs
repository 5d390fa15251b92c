//! A model of the epoch and replication rules, small enough to be explored completely.
//!
//! The state of a real `Replica` has no finite set of values: absolute times, jitter, heartbeat rounds and
//! attempts grow with every step. The model keeps what safety depends on and lets each timeout fire at any
//! moment, so it allows every order of events that the code allows, and more. A message that was sent can be
//! delivered at any later time: it may be lost, late, reordered or duplicated, which includes every network
//! partition, in one direction or in both. The disk is synchronous here; that replies wait for the disk is
//! shown by `guards.rs`.
//!
//! | model | code |
//! |---|---|
//! | [`rules::Rules::handle_prepare`] | `replica/voting.rs`: `handle_prepare` |
//! | [`rules::Rules::handle_accept`] | `replica/voting.rs`: `handle_accept`, `accept_epoch` |
//! | [`rules::Rules::handle_heartbeat`] | `replica/backup.rs`: `handle_heartbeat`; `replica/voting.rs`: `commit_epoch` |
//! | [`rules::Rules::handle_snapshot`] | `replica/backup.rs`: `accepts_write_from`, `handle_write`, `handle_snapshot`, `acknowledge_when_durable` |
//! | [`rules::Rules::start_election`] | `replica/candidate.rs`: `start_election`; `replica.rs`: `is_eligible`, `next_number` |
//! | [`rules::Rules::possible_epochs`] | `replica/candidate.rs`: `handle_promise`, `rebase`; `election.rs`: `has_promise_quorum`, `new_epoch`; `epoch_plan.rs`: `fill_in_sync` |
//! | [`rules::Rules::become_primary`] | `election.rs`: `is_chosen`; `replica/primary.rs`: `become_primary`; `leadership.rs`: `enter_epoch`; `replica/catch_up.rs` |
//! | [`rules::Rules::commit`] | `replica/proposals.rs`: `is_replicated_to_all`, `commit_latest` |
//! | [`rules::Rules::start_write`] | `replica/proposals.rs`: `start_writes`, `start_write`; `replica/catch_up.rs` |
//! | [`rules::Rules::complete_read`] | `replica/reads.rs`: `handle_read`, `complete_reads` |
//! | [`rules::Rules::possible_plans`] | `epoch_plan.rs`: `plan`, `admit_voters`, `find_replaced_voter`, `in_sync`, `is_up_to_date` |
//! | [`state::Epoch::is_quorum`] | `juniperwing_protocol::replication::Epoch::is_quorum` |
//! | [`state::Epoch::electorate`], [`state::Epoch::is_newer`] | `epoch.rs`: the same names |
//!
//! Not modelled: the pre-vote, which binds nobody (here every eligible keeper may start an election at any
//! moment), the bootstrap epoch (here chosen from the start), rejections (they only make a candidate give up
//! sooner).

mod acceptor_rules;
mod actions;
mod election_rules;
mod in_sync;
mod member_set;
mod primary_rules;
pub mod properties;
pub mod rules;
pub mod state;
