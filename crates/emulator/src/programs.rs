//! Clients of agent programs: they send turns to relays, which begin, run and finish them at the stores.
//!
//! A program's turns go to any relay, several at once, continue earlier turns of the same or of another program, and
//! are sent again after an answer that says that they have not run. What is recorded is what a client sees.

mod pool;
mod turn;
mod worker;

pub use self::pool::ProgramPool;
pub use self::turn::{TurnContent, TurnId, TurnRequest};
pub use self::worker::run_workers;
