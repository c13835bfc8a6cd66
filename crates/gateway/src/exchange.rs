//! Requests as the decisions see them, and what is decided for them.

use conf::Name;

use crate::config::Kind;

/// The prompt of a request to a model, as far as it matters for placing it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order, by hashed id with their tokens. The last one belongs to the request or its session alone.
    pub parts: Vec<(u64, u32)>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Most tokens that may be generated.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Returns the key of the last shared part, by which equal prompts are placed alike, and the tokens up to it.
    pub fn shared(&self) -> Option<(u64, u32)> {
        let (_, shared) = self.parts.split_last()?;
        let (key, _) = shared.last()?;
        let tokens: u32 = shared.iter().map(|(_, tokens)| tokens).sum();
        Some((*key, tokens.min(self.tokens)))
    }
}

/// A request that has been read in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id that the caller gave it.
    pub id: Name,
    /// Route that it came by.
    pub route: Name,
    /// Service that is to answer it.
    pub service: Name,
    /// What may be repeated.
    pub kind: Kind,
    /// Rank, 0 for the most urgent.
    pub rank: u8,
    /// When an answer is worth nothing any more.
    pub deadline_ms: u64,
    /// When the caller gives up if the answer has not begun.
    pub begin_deadline_ms: u64,
    /// When an answer, or the first event of a stream, no longer counts in full.
    pub objective_ms: u64,
    /// Upstreams on which it may run.
    pub max_attempts: u32,
    /// Prompt of a request to a model.
    pub prompt: Option<Prompt>,
}

/// One call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Instance id of the upstream.
    pub upstream: Name,
    /// IP address and port.
    pub address: Name,
    /// What the upstream is to do.
    pub task: Task,
    /// Address of an engine from which the KV cache of the shared parts is to be fetched first.
    pub fetch_from: Option<Name>,
    /// When the upstream is to stop.
    pub deadline_ms: u64,
    /// When an upstream that has not begun to answer is given up; none if only the deadline ends the wait.
    pub head_deadline_ms: Option<u64>,
    /// Priority at the engine, 0 for the most urgent; none for plain services.
    pub priority: Option<u8>,
}

/// What an upstream is asked to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Run it.
    Run,
    /// Compute the KV cache of its prompt and keep that under a handle.
    Prefill,
    /// Run it with the KV cache that the engine at `address` keeps under `handle`.
    Generate { address: Name, handle: Name },
}

/// What an exchange is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Call an upstream.
    Send(Attempt),
    /// Pass on the failure that an upstream answered.
    PassOn,
    /// End the request.
    Refuse(Refusal),
}

/// Why a request ends without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No upstream of the service can take it.
    NoUpstream,
    /// It cannot be answered before its deadline.
    TooLate,
    /// The upstreams did not run it.
    NotRun,
    /// An upstream failed and may have run it.
    Failed,
    /// The upstream did not answer before the deadline.
    TimedOut,
}

impl RefusalReason {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoUpstream => "no_upstream",
            Self::TooLate => "too_late",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns whether the request has not run and never will.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::NoConfiguration | Self::NoUpstream | Self::TooLate | Self::NotRun => true,
            Self::Failed | Self::TimedOut => false,
        }
    }
}

/// The end of a request without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why it ends.
    pub reason: RefusalReason,
    /// Wait after which another try may succeed, in milliseconds, if it has not run.
    pub retry_after_ms: u64,
}

/// How a call to an upstream ended, other than by an answer that was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No connection could be opened, or nothing was written.
    Unreachable,
    /// The upstream said that it did not run the request, since it has no room.
    Rejected,
    /// Another upstream has the address.
    Misdirected,
    /// The upstream answered that it failed. The answer may be passed on if there is no other try.
    FailedAnswer,
    /// The connection or the answer broke, or the answer was not the upstream's.
    Broken,
    /// No answer came in time.
    TimedOut,
}

impl Outcome {
    /// Returns whether the request has certainly not run there.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Unreachable | Self::Rejected | Self::Misdirected => true,
            Self::FailedAnswer | Self::Broken | Self::TimedOut => false,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Rejected => "rejected",
            Self::Misdirected => "misdirected",
            Self::FailedAnswer => "failed_answer",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }
}
