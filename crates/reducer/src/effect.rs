//! What an instance is to do.

use std::sync::Arc;

use conf::{Name, ServiceConfig};
use fleet::{Order, PeerMessage};
use ledger::Answer;

use crate::event::{AdminReply, ExchangeId};

/// An effect. Effects are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the exchange's request to an upstream as `attempt`. For a chat completion whose caller
    /// has received output already, the delivered text is passed on as `resume_text`.
    /// If `send_deadline_ms` has passed on the instance's clock immediately before the first byte
    /// is written, nothing is sent and the attempt ends as `End::NotSent`. With `prefill`, that engine
    /// computes the prompt first and its KV cache is handed to `upstream`, without passing through
    /// the instance's reducer.
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
    /// Cancel an attempt at its upstream; the caller's connection stays open.
    Cancel { exchange: ExchangeId, attempt: u32 },
    /// Refuse the caller's request, or end its stream with an error event if output was delivered.
    Refuse {
        exchange: ExchangeId,
        refusal: Refusal,
    },
    /// Deliver the answer of a non-idempotent request, which was held back until the ledger had it.
    Deliver { exchange: ExchangeId },
    /// Answer the caller from the ledger.
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
    /// Make a write durable and report `Event::Persisted` with the highest ticket synced.
    Persist { ticket: u64, write: quorum::Write },
    /// Write an order to an engine.
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
    /// Read an engine's cache events after number `after`.
    ReadCacheEvents {
        upstream: Name,
        address: Name,
        after: u64,
    },
    /// Read the platform's list.
    ReadPlatformList,
    /// Answer a request of the administration interface.
    AdminReply { token: u64, reply: AdminReply },
    /// A configuration has come into force.
    InForce {
        revision: u64,
        config: Arc<ServiceConfig>,
    },
    /// Readiness for callers has changed.
    Readiness { ready: bool, draining: bool },
    /// Nothing is open any more after `Event::Stop`: the process may exit.
    Exit,
    /// Write a log line.
    Log {
        level: Level,
        part: Part,
        text: String,
    },
    /// Record a sample for metrics.
    Record(Sample),
}

/// The engine that computes a prompt for another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefill {
    /// The engine.
    pub upstream: Name,
    /// Its address.
    pub address: Name,
}

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The model is not configured: 404, not run.
    UnknownModel,
    /// The tenant may not use the rank: 403, not run.
    RankNotAllowed,
    /// The tenant is over its rate: 429, not run.
    OverLimit { retry_after_ms: u64 },
    /// The rank's queue is full or no upstream is available: 503, not run.
    NoCapacity { retry_after_ms: u64 },
    /// The request could not meet its deadline: 503, not run.
    TooLate { retry_after_ms: u64 },
    /// The instance is stopping: 503, not run.
    Stopping,
    /// No configuration is in force yet: 503, not run.
    NotReady,
    /// The ledger is out of reach: 503, not run.
    LedgerUnavailable { retry_after_ms: u64 },
    /// Another attempt for the same key is running: 409, unknown.
    Running,
    /// The request may have run: 409, unknown.
    MayHaveRun,
    /// The key names a request with another body: 422, not run.
    KeyReused,
    /// The upstream failed after bytes were sent: 502, unknown.
    UpstreamFailed,
    /// The deadline passed before the request was sent: 504, not run.
    TimedOutWaiting,
    /// The deadline passed after the request was sent: 504, unknown.
    TimedOutRunning,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Something failed.
    Error,
    /// Something is degraded.
    Warn,
    /// A change of state.
    Info,
    /// Detail.
    Debug,
}

/// Part of the system that a log line comes from; its name is the line's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Replicated log.
    Quorum,
    /// Membership, gates and configuration.
    Fleet,
    /// Choice of upstream.
    Route,
    /// Queues and limits.
    Admit,
    /// Role planner.
    Plan,
    /// Callers' requests.
    Http,
    /// Administration.
    Admin,
    /// At-most-once records.
    Ledger,
}

/// A sample for metrics, by tenant and rank.
#[derive(Clone, Debug, PartialEq)]
pub enum Sample {
    /// Time from arrival to the first token or byte.
    FirstToken {
        tenant: Name,
        rank: Name,
        elapsed_ms: u64,
    },
    /// Mean time between tokens of a finished answer.
    BetweenTokens {
        tenant: Name,
        rank: Name,
        elapsed_ms: f64,
    },
    /// Time from arrival to the end of a whole answer.
    Total {
        tenant: Name,
        rank: Name,
        elapsed_ms: u64,
        in_target: bool,
    },
    /// Time in the queue.
    Queued {
        tenant: Name,
        rank: Name,
        elapsed_ms: u64,
    },
    /// Tokens of a finished answer.
    Tokens {
        tenant: Name,
        rank: Name,
        prompt_tokens: u32,
        output_tokens: u32,
    },
    /// A refusal.
    Refused {
        tenant: Name,
        rank: Name,
        reason: &'static str,
    },
    /// An attempt after the first.
    Retried { upstream: Name },
    /// A commit of the replicated log as seen by the proposer.
    Committed { elapsed_ms: u64 },
    /// A role change was ordered.
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
