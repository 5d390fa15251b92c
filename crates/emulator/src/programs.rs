//! Clients of agent programs: they send turns to relays, which begin, run and finish them at the stores.
//!
//! The turns of a program are sent to any relay, several of them concurrently. They continue earlier turns of the same
//! or of another program, and are sent again after a response that says that they were not run. The history records
//! what a client observes.

mod pool;
mod turn;
mod worker;

pub use self::pool::ProgramPool;
pub use self::turn::{TurnContent, TurnId, TurnRequest};
pub use self::worker::run_workers;
