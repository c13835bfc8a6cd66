//! At-most-once records for non-idempotent requests.
//!
//! [`Ledger`] is part of the control state machine: every replica applies the same commands with
//! the same cluster time and holds the same records.
//!
//! ```
//! use ledger::{AttemptId, Begin, BeginReply, Finish, Key, Ledger, Outcome};
//!
//! let mut ledger = Ledger::default();
//! let begin = Begin {
//!     key: Key { client_account: "parish".into(), key: "swap-1".into() },
//!     answer_timeout_ms: 1_000,
//!     retention_ms: 60_000,
//!     ..Begin::default()
//! };
//! assert_eq!(ledger.begin(0, &begin), BeginReply::Granted);
//!
//! let other = Begin {
//!     attempt: AttemptId { sequence: 1, ..AttemptId::default() },
//!     ..begin.clone()
//! };
//! assert_eq!(ledger.begin(10, &other), BeginReply::Running);
//! assert_eq!(ledger.begin(1_010, &other), BeginReply::Unknown);
//! ```
#![forbid(unsafe_code)]

pub mod record;
pub mod table;

pub use record::{Answer, AttemptId, Begin, BeginReply, Finish, Key, Outcome, Record, RecordState};
pub use table::Ledger;
