//! Records, the commands that change them and the replies.

use bytes::Bytes;
use conf::Name;

/// Names a non-idempotent request: a key is scoped to its tenant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Tenant of the caller.
    pub tenant: Name,
    /// The `Idempotency-Key`, or an id made by the entry.
    pub key: Name,
}

/// Names one attempt of one entry process to run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// Entry instance.
    pub instance: Name,
    /// Incarnation of the entry process.
    pub incarnation: u64,
    /// Number of the attempt within the process.
    pub sequence: u64,
}

/// A recorded answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are replayed.
    pub headers: Vec<(Name, Name)>,
    /// Body; empty if `truncated`.
    pub body: Bytes,
    /// Whether the body was too large to be recorded.
    pub truncated: bool,
}

/// Asks for the right to run a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Begin {
    /// The request's name.
    pub key: Key,
    /// SHA-256 of method, path and body.
    pub body_sha256: [u8; 32],
    /// The attempt that would run it.
    pub attempt: AttemptId,
    /// Time after which a record without an outcome closes as unknown, from the commit on, in milliseconds.
    pub answer_timeout_ms: u64,
    /// Time for which the record is kept, from the commit on, in milliseconds.
    pub retention_ms: u64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream has answered.
    Answered(Answer),
    /// Provably no byte was sent.
    NotRun,
    /// Bytes were sent and no whole answer came.
    Unknown,
}

/// Records how an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finish {
    /// The request's name.
    pub key: Key,
    /// The attempt that has ended.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
}

/// State of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// An attempt may be running.
    Begun,
    /// The answer is known.
    Answered(Answer),
    /// The last attempt did not run; another may begin.
    NotRun,
    /// The request may have run and is never run again.
    Unknown,
}

/// What is recorded of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// SHA-256 of method, path and body.
    pub body_sha256: [u8; 32],
    /// The latest attempt.
    pub attempt: AttemptId,
    /// Cluster time at which a begun record closes as unknown, in milliseconds.
    pub answer_deadline_ms: u64,
    /// Cluster time at which the record is removed, in milliseconds.
    pub expiry_deadline_ms: u64,
    /// Earlier attempts that have ended without running; they are never granted again.
    pub ended_attempts: Vec<AttemptId>,
    /// State.
    pub state: RecordState,
}

/// Reply to [`Begin`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginReply {
    /// This attempt may run the request.
    Granted,
    /// The request has run; this is its answer.
    Answered(Answer),
    /// Another attempt is running.
    Running,
    /// The request may have run.
    Unknown,
    /// The key names a request with another body.
    BodyMismatch,
}
