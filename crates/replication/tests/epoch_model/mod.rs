//! A model of the epoch and replication rules, small enough to be explored completely.
//!
//! The state space of a real `Replica` is infinite: absolute times, jitter, heartbeat rounds and attempts
//! change with every step. The model retains the state that safety depends on and lets each timeout expire at
//! any time, so it allows every order of events that the code allows, and more. A message that was sent can
//! be delivered at any later time: it may be lost, delayed, reordered or duplicated, which includes every
//! network partition, in one direction or in both. Disk writes are synchronous in the model; `guards.rs`
//! tests that replies wait for the disk.
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
//! Not modelled: the pre-vote, which is not binding (every eligible keeper may start an
//! election at any time), the choice of the bootstrap epoch (it is chosen in the initial state), and
//! rejections (they only make a candidate abandon its election sooner).

mod acceptor_rules;
mod actions;
mod election_rules;
mod in_sync;
mod member_set;
mod primary_rules;
pub mod properties;
pub mod rules;
pub mod state;
