//! At-most-once records for non-idempotent requests.
#![forbid(unsafe_code)]

pub mod record;

pub use record::{Answer, AttemptId, Begin, BeginReply, Finish, Key, Outcome, Record, RecordState};
