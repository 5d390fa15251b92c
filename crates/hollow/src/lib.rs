//! Hollow participants of the serving tier, and the measurement of what the tier costs by its size.
//!
//! A hollow participant speaks the real protocol with the real code and has no payload: a relay that only
//! subscribes, an endpoint that only sends heartbeats, a program whose turns reach no model. Many share one
//! process, so that one machine plays a size that it has no room for with real processes. [`measure`] runs
//! them against real keepers, stores and a relay, and fits slopes that `docs/CAPACITY.md` quotes.

pub mod call;
pub mod change;
pub mod command;
pub mod data;
pub mod endpoint;
pub mod fit;
pub mod load;
pub mod measure;
pub mod page;
pub mod plan;
pub mod program;
pub mod relay;
pub mod report;
pub mod site;
pub mod usage;
