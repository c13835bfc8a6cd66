//! Choice of an upstream for each request, from delayed load reports and from the instance's own dispatches.
//!
//! ```
//! use route::{Policy, RoutingRequest, UpstreamTable};
//!
//! let mut table = UpstreamTable::new(7);
//! let service = conf::Service { name: "chat".into(), ..Default::default() };
//! let upstream = conf::Upstream { name: "e1".into(), service: "chat".into(), ..Default::default() };
//! table.apply_config(&conf::ServiceConfig {
//!     services: vec![service],
//!     upstreams: vec![upstream],
//!     ..Default::default()
//! });
//! let request = RoutingRequest { service: "chat".into(), prompt_tokens: 100, deadline_ms: 9_000, ..Default::default() };
//! assert_eq!(table.choose(0, &request, Policy::CostBased).unwrap().upstream, "e1");
//! table.set_draining(&"e1".into(), true);
//! assert!(table.choose(0, &request, Policy::CostBased).is_none());
//! ```
#![forbid(unsafe_code)]

mod cache;
mod choose;
pub mod circuit;
pub mod output;
mod pool;
pub mod retry;
pub mod table;
pub mod types;
mod view;

pub use circuit::Circuit;
pub use output::OutputLengths;
pub use retry::RetryBudgets;
pub use table::{StateSize, UpstreamTable};
pub use types::{
    CHUNK_TOKENS, CacheEvent, Choice, ExchangeEnd, ExchangeEstimate, ExchangeFailure, ExchangeId,
    LoadDigest, LoadReport, Policy, Presence, RoutingRequest,
};
