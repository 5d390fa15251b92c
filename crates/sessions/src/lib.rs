//! The replicated state machine of a store, without I/O: stored turns and budgets of agent programs.
//!
//! A [`Store`] holds the records of partitions. The merge of records is monotonic, so replicas are synchronized by
//! merging their records in any order. The primary of a partition admits and commits turns. It acknowledges a write
//! only when the write is on the disks of all in-sync replicas, in the epoch that the keepers assigned to the
//! partition. The store is passed a [`ClockReading`] and an [`Event`] and returns [`Command`]s; the process around it
//! owns the sockets, the disk and the clocks.

mod admission;
mod anti_entropy;
mod batch;
mod call;
mod caught_up;
mod chain;
mod commit;
mod comparison;
mod digest;
mod epoch_confirmation;
mod event;
mod group_commit;
mod limits;
mod lookup;
mod map_version;
mod merge;
mod output_log;
mod persistence;
mod primary;
mod program;
mod recovery;
mod renewal;
mod replica_contact;
mod retention;
mod segment_usage;
mod statistics;
mod store;
mod store_map;
mod table;
mod timers;
mod transfer;
mod waiting_requests;
mod write;

pub use batch::{StoredRecord, decode_batch, encode_batch};
pub use chain::Chain;
pub use comparison::Page;
pub use event::{CallerId, ClockReading, Command, Event, TransferCallId};
pub use limits::Limits;
pub use merge::merge;
pub use statistics::StoreStatistics;
pub use store::Store;
pub use table::Table;
