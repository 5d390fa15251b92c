//! What a store does, as a state machine without I/O.
//!
//! A [`Store`] holds the records of partitions. Records only merge upward, so replicas can be levelled by
//! union. The primary of a partition admits turns and settles them; every write is on the disks of all
//! in-sync replicas before it is acknowledged, under the epoch that the keepers gave the partition. The store
//! is handed a [`Moment`] and an [`Event`] and returns [`Command`]s; the process around it owns the sockets,
//! the disk and the clocks.

mod anti_entropy;
mod batch;
mod call;
mod event;
mod group_commit;
mod limits;
mod map_version;
mod merge;
mod primary;
mod program;
mod segment_usage;
mod statistics;
mod store;
mod table;
mod transfer;
mod write;

pub use batch::{StoredRecord, decode_batch, encode_batch};
pub use event::{CallerId, Command, Event, Moment, TransferCallId};
pub use limits::Limits;
pub use merge::merge;
pub use statistics::StoreStatistics;
pub use store::Store;
pub use table::{Chain, Page, Table};
