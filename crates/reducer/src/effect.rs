//! Effects: the outputs of the reducer.

use std::sync::Arc;

use conf::{Name, ServiceConfig};
use fleet::{Order, PeerMessage};
use ledger::Answer;

use crate::event::{AdminReply, ExchangeId};

/// An output of the reducer. Effects are executed in the order in which they were appended.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the exchange's request to an upstream as attempt number `attempt`. If the caller of a chat completion has
    /// already received output, the delivered text is sent along as `resume_text`. If `send_deadline_ms` has passed on
    /// the instance's clock immediately before the first byte is written, nothing is sent and the attempt ends as
    /// `End::NotSent`. If `prefill` is set, that engine computes the prompt first and its KV cache is transferred to
    /// `upstream`; the transfer does not involve the reducer.
    Dispatch {
        exchange: ExchangeId,
        attempt: u32,
        upstream: Name,
        address: Name,
        prefill: Option<Prefill>,
        priority: u8,
        send_deadline_ms: u64,
        answer_deadline_ms: u64,
    },
    /// Cancel an attempt at its upstream. The caller's connection stays open.
    Cancel { exchange: ExchangeId, attempt: u32 },
    /// Refuse the caller's request. If output was already delivered, end the stream with an error event instead.
    Refuse {
        exchange: ExchangeId,
        refusal: Refusal,
    },
    /// Deliver the answer of a non-idempotent request, which was held back until the ledger had recorded the answer.
    Deliver { exchange: ExchangeId },
    /// Answer the caller with the answer recorded in the ledger.
    Replay {
        exchange: ExchangeId,
        answer: Answer,
    },
    /// Send a message to another instance.
    Send {
        to: Name,
        address: Name,
        message: PeerMessage,
    },
    /// Make a write durable, then report `Event::Persisted` with the highest synced ticket.
    Persist { ticket: u64, write: quorum::Write },
    /// Send an order to an engine.
    SendOrder {
        upstream: Name,
        address: Name,
        epoch: u64,
        order: Order,
    },
    /// Read an engine's state.
    ReadEngine { upstream: Name, address: Name },
    /// Read an upstream's load report.
    ReadLoad { upstream: Name, address: Name },
    /// Read an engine's cache events that follow event number `after`.
    ReadCacheEvents {
        upstream: Name,
        address: Name,
        after: u64,
    },
    /// Check whether an upstream has crashed: whether it refuses connections.
    CheckUpstream { upstream: Name, address: Name },
    /// Read the platform's list of instances and upstreams.
    ReadPlatformList,
    /// Reply to a request of the administration interface.
    AdminReply { token: u64, reply: AdminReply },
    /// Use this configuration from here on, because it has come into force.
    InForce {
        revision: u64,
        config: Arc<ServiceConfig>,
    },
    /// Report that the instance's readiness for callers has changed.
    Readiness { ready: bool, draining: bool },
    /// Exit the process: all exchanges that were open at `Event::Stop` have ended or the drain timeout has passed.
    Exit,
    /// Write a log line.
    Log {
        level: Level,
        component: Component,
        text: String,
    },
    /// Record a sample in the metrics.
    Record(Sample),
}

/// The engine that computes the prompt when another engine generates the output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefill {
    /// Name of the engine.
    pub upstream: Name,
    /// Address of the engine.
    pub address: Name,
}

/// Why a request is refused. Each variant lists the HTTP status and whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The model is not configured. 404, not run.
    UnknownModel,
    /// The client account may not use the rank. 403, not run.
    RankNotAllowed,
    /// The client account exceeds its rate limit. 429, not run.
    OverLimit { retry_after_ms: u64 },
    /// The rank's queue is full or no upstream is available. 503, not run.
    NoCapacity { retry_after_ms: u64 },
    /// Engines crash under a part of the prompt. 503, not run.
    Quarantined { retry_after_ms: u64 },
    /// The request could not meet its deadline. 503, not run.
    TooLate { retry_after_ms: u64 },
    /// The instance is stopping. 503, not run.
    Stopping,
    /// No configuration is in force yet. 503, not run.
    NotReady,
    /// The ledger is unreachable. 503, not run.
    LedgerUnavailable { retry_after_ms: u64 },
    /// Another attempt for the same key may be running. 409, unknown.
    Running,
    /// An earlier attempt may have run the request. 409, unknown.
    MayHaveRun,
    /// The key was used before for a request with another body. 422, not run.
    KeyReused,
    /// The upstream failed after bytes of the request were sent. 502, unknown.
    UpstreamFailed,
    /// The deadline passed before the request was sent. 504, not run.
    TimedOutWaiting,
    /// The deadline passed after the request was sent. 504, unknown.
    TimedOutRunning,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// An operation failed.
    Error,
    /// The instance works with reduced function.
    Warn,
    /// The state of the instance changed.
    Info,
    /// A detail that helps to debug the instance.
    Debug,
}

/// Component that writes a log line. The component's name is the prefix of the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// Replicated log.
    Quorum,
    /// Membership, gates and configuration.
    Fleet,
    /// Choice of an upstream for each attempt.
    Route,
    /// Queues and rate limits.
    Admit,
    /// Planning of engine roles.
    Plan,
    /// Callers' requests.
    Http,
    /// Administration interface.
    Admin,
    /// At-most-once records.
    Ledger,
}

/// A sample for the metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Sample {
    /// Time from the arrival to the first token or byte of the answer.
    FirstToken {
        client_account: Name,
        rank: Name,
        elapsed_ms: u64,
    },
    /// Mean time between the output tokens of a finished answer.
    BetweenTokens {
        client_account: Name,
        rank: Name,
        elapsed_ms: f64,
    },
    /// Time from the arrival to the end of the whole answer.
    Total {
        client_account: Name,
        rank: Name,
        elapsed_ms: u64,
        in_target: bool,
    },
    /// Time that a request waited in its queue before its first attempt.
    Queued {
        client_account: Name,
        rank: Name,
        elapsed_ms: u64,
    },
    /// Prompt and output tokens of a finished answer.
    Tokens {
        client_account: Name,
        rank: Name,
        prompt_tokens: u32,
        output_tokens: u32,
    },
    /// A request was refused.
    Refused {
        client_account: Name,
        rank: Name,
        reason: &'static str,
    },
    /// An attempt after a request's first one was assigned to `upstream`.
    Retried { upstream: Name },
    /// A proposal was committed to the replicated log. `elapsed_ms` runs from the proposal to its reply.
    Committed { elapsed_ms: u64 },
    /// The leader ordered a role change of an engine.
    RoleChanged { service: Name },
}

impl Refusal {
    /// Returns the reason as a metric label.
    pub fn reason(&self) -> &'static str {
        match self {
            Refusal::UnknownModel => "unknown_model",
            Refusal::RankNotAllowed => "rank_not_allowed",
            Refusal::OverLimit { .. } => "over_limit",
            Refusal::NoCapacity { .. } => "no_capacity",
            Refusal::Quarantined { .. } => "quarantined",
            Refusal::TooLate { .. } => "too_late",
            Refusal::Stopping => "stopping",
            Refusal::NotReady => "not_ready",
            Refusal::LedgerUnavailable { .. } => "ledger_unavailable",
            Refusal::Running => "running",
            Refusal::MayHaveRun => "may_have_run",
            Refusal::KeyReused => "key_reused",
            Refusal::UpstreamFailed => "upstream_failed",
            Refusal::TimedOutWaiting => "timed_out_waiting",
            Refusal::TimedOutRunning => "timed_out_running",
        }
    }
}
