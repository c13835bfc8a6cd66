//! The requests of callers, the calls to upstreams and the refusals.
//!
//! An exchange is one request of a caller with its answer. For an exchange, an entry makes calls to upstreams; each
//! call gives the upstream one task.

use conf::Name;

use crate::config::RequestKind;

/// The properties of a prompt on which the choice of an engine depends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts of the prompt in order, each with its hashed id and its number of tokens. The last part belongs only to
    /// the request or its session.
    pub parts: Vec<(u64, u32)>,
    /// Number of tokens of the whole prompt.
    pub tokens: u32,
    /// Largest number of tokens that may be generated.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Returns the parts that other prompts may share: all but the last one.
    pub fn shared_parts(&self) -> &[(u64, u32)] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the keys of the parts that other prompts may share.
    pub fn shared_keys(&self) -> impl Iterator<Item = u64> {
        self.shared_parts().iter().map(|(key, _)| *key)
    }

    /// Returns the number of tokens that other prompts may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_prefix().map_or(0, |(_, tokens)| tokens)
    }

    /// Returns the key of the shared prefix and its number of tokens. The key is the hashed id of the last shared part;
    /// prompts with the same key share the prefix and are placed alike.
    pub fn shared_prefix(&self) -> Option<(u64, u32)> {
        let shared_parts = self.shared_parts();
        let (key, _) = shared_parts.last()?;
        let tokens: u32 = shared_parts.iter().map(|(_, tokens)| tokens).sum();
        Some((*key, tokens.min(self.tokens)))
    }
}

/// A request that has been read in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id given by the caller.
    pub id: Name,
    /// Name of the route that matched the request.
    pub route: Name,
    /// Service that is to answer the request.
    pub service: Name,
    /// Client account whose key the request carries; none for a request without a key.
    pub account: Option<Name>,
    /// Whether the request may be retried after it may have run.
    pub kind: RequestKind,
    /// Rank, 0 for the most urgent.
    pub rank: u8,
    /// When an answer is of no more use to the caller.
    pub deadline_ms: u64,
    /// When the caller disconnects if the answer has not begun.
    pub begin_deadline_ms: u64,
    /// When an answer, or the first event of a stream, has missed its latency objective.
    pub objective_ms: u64,
    /// Objective for the gap between two events of the answer, in milliseconds; 0 if there is none.
    pub gap_ms: u64,
    /// Largest number of upstreams on which the request may run.
    pub max_runs: u32,
    /// Prompt of a request to a model; none for a request to a plain service.
    pub prompt: Option<Prompt>,
}

/// One call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCall {
    /// Instance id of the upstream.
    pub upstream: Name,
    /// IP address and port of the upstream.
    pub address: Name,
    /// Task of the upstream.
    pub task: Task,
    /// Address of an engine from which the upstream first fetches the KV cache of the shared prefix.
    pub fetch_from: Option<Name>,
    /// When the upstream is to stop working on the request.
    pub deadline_ms: u64,
    /// When the call times out if the head of the answer has not arrived; none if only the deadline ends the wait.
    pub head_deadline_ms: Option<u64>,
    /// Priority at the engine, 0 for the most urgent; none for plain services.
    pub priority: Option<u8>,
}

/// The task of an upstream in a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// The upstream runs the request.
    Run,
    /// The engine computes the KV cache of the prompt and keeps the KV cache under a handle.
    Prefill,
    /// The engine runs the request with the KV cache that the engine at `address` keeps under `handle`.
    Generate { address: Name, handle: Name },
}

/// The next step of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Calls an upstream.
    Call(UpstreamCall),
    /// Forwards the failed answer of an upstream to the caller.
    ForwardFailure,
    /// Refuses the request.
    Refuse(Refusal),
}

/// Why a request ends without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The entry has no configuration yet.
    NoConfiguration,
    /// The entry cannot tell whether the key of the request still works.
    Unconfirmed,
    /// No upstream of the service can take the request.
    NoUpstream,
    /// The request cannot be answered in time.
    TooLate,
    /// Engines crash under a part of the prompt.
    Quarantined,
    /// The limits of the upstreams do not allow the request.
    Limited,
    /// No upstream has run the request.
    NotRun,
    /// An upstream failed and may have run the request.
    Failed,
    /// The upstream did not answer before the deadline.
    TimedOut,
}

impl RefusalReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::Unconfirmed => "unconfirmed",
            Self::NoUpstream => "no_upstream",
            Self::TooLate => "too_late",
            Self::Quarantined => "quarantined",
            Self::Limited => "limited",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns whether the request has not run and will not run.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::NoConfiguration
            | Self::Unconfirmed
            | Self::NoUpstream
            | Self::TooLate
            | Self::Quarantined
            | Self::Limited
            | Self::NotRun => true,
            Self::Failed | Self::TimedOut => false,
        }
    }
}

/// The end of a request without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request ends.
    pub reason: RefusalReason,
    /// Wait after which a retry by the caller may succeed, in milliseconds, if the request has not run.
    pub retry_after_ms: u64,
}

/// The limit on requests that an answer of an upstream states.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The answer states no limit.
    #[default]
    Absent,
    /// Requests per second from all instances together.
    PerSecond(f64),
    /// The answer states something that is no limit.
    Invalid,
}

/// How a call to an upstream ended without an answer that was forwarded to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No connection could be opened, or no byte of the request was written.
    Unreachable,
    /// The upstream answered that it did not run the request because it has no capacity.
    Rejected,
    /// Another upstream has the address now.
    Misdirected,
    /// The upstream answered with a server error. This failed answer may be forwarded if the request is not
    /// retried.
    FailedAnswer,
    /// The connection or the answer ended early, or the answer did not come from the upstream.
    Broken,
    /// No answer arrived in time.
    TimedOut,
}

impl Outcome {
    /// Returns whether the upstream has certainly not run the request.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Unreachable | Self::Rejected | Self::Misdirected => true,
            Self::FailedAnswer | Self::Broken | Self::TimedOut => false,
        }
    }

    /// Returns the name used in logs and metrics.
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
