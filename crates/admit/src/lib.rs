//! Admission control: rank queues with deadlines, capacity floors for ranks, fair shares for client accounts and early
//! refusal.
//!
//! ```
//! use admit::{Discipline, Queues, WaitingRequest};
//!
//! let mut queues = Queues::new(Discipline::Ranked);
//! queues.apply_config(&conf::ServiceConfig {
//!     ranks: vec![conf::RankPolicy::default(); conf::service::RANK_COUNT],
//!     ..Default::default()
//! });
//! let waiting = |id, rank| WaitingRequest { id, rank, tokens: 100, deadline_ms: 9_000, ..Default::default() };
//! queues.offer(0, waiting(1, 2)).unwrap();
//! queues.offer(0, waiting(2, 0)).unwrap();
//! assert_eq!(queues.next(0, |_| true).unwrap().id, 2);
//! assert_eq!(queues.next(0, |_| true).unwrap().id, 1);
//! ```
#![forbid(unsafe_code)]

mod dispatch_rate;
pub mod limit;
pub mod preempt;
pub mod queues;
mod rank_queue;
mod token_window;
pub mod waiting;

pub use limit::ClientAccountLimits;
pub use preempt::{Preemption, RunningRequest, choose_victim};
pub use queues::Queues;
pub use waiting::{Discipline, Refusal, RefusedRequest, WaitingRequest};
