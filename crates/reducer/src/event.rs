//! What happens to an instance.

use conf::admin::{
    ApplyReply, ApplyRequest, ChangeReply, ConfirmDeadRequest, DrainTarget, OrderRequest,
    ReplaceVoterRequest, RevisionInfo, StatusReply,
};
use conf::{Name, Role};
use fleet::{EngineState, ListedState, OrderAnswer, PeerMessage};
use ledger::Answer;

/// Number of a caller's request within one process.
pub type ExchangeId = u64;

/// An event, in the order in which the instance saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed. `unix_ms` is the wall clock.
    Tick { unix_ms: u64 },
    /// A caller's request was read and its API key belongs to a tenant.
    Arrived(Box<Arrival>),
    /// The upstream has begun to answer.
    Started { exchange: ExchangeId, attempt: u32 },
    /// Output tokens delivered to the caller so far, over all attempts.
    Progress {
        exchange: ExchangeId,
        attempt: u32,
        output_tokens: u32,
    },
    /// An attempt has ended.
    Ended {
        exchange: ExchangeId,
        attempt: u32,
        end: End,
    },
    /// The caller has closed its connection.
    CallerGone { exchange: ExchangeId },
    /// A load report was read, or could not be.
    Load {
        upstream: Name,
        report: Option<LoadReport>,
    },
    /// Cache events were read. `first` is the number of the first one.
    CacheEvents {
        upstream: Name,
        first: u64,
        events: Vec<CacheEvent>,
    },
    /// The platform's list was read.
    PlatformList(Vec<Listed>),
    /// A message from another instance that has proved the shared secret.
    Peer { from: Name, message: PeerMessage },
    /// All writes up to and including `ticket` are synced.
    Persisted { ticket: u64 },
    /// An engine has answered an order.
    OrderAnswered {
        upstream: Name,
        epoch: u64,
        sequence: u64,
        answer: OrderAnswer,
    },
    /// An engine's state was read, or could not be.
    EngineRead {
        upstream: Name,
        state: Option<EngineState>,
    },
    /// A request of the administration interface.
    Admin { token: u64, request: AdminRequest },
    /// The process was asked to stop.
    Stop,
}

/// A caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Number of the request.
    pub exchange: ExchangeId,
    /// Tenant of the API key.
    pub tenant: Name,
    /// Value of the `x-mustardstack-rank` header.
    pub rank: Option<Name>,
    /// What is asked for.
    pub work: Work,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A chat completion.
    Chat {
        /// Model name, or `MODEL:ADAPTER`.
        model: Name,
        /// Estimated prompt tokens.
        prompt_tokens: u32,
        /// Hashes of the prompt's chunks of about 4,000 tokens, each over the prompt up to its end.
        chunk_hashes: Vec<u64>,
        /// Limit on output tokens, if the caller set one.
        max_tokens: Option<u32>,
    },
    /// A request to a plain service.
    Plain {
        /// Route by configured path prefix.
        route: Name,
        /// The caller's `Idempotency-Key`.
        idempotency_key: Option<Name>,
        /// SHA-256 of method, path with query, and body.
        body_sha256: [u8; 32],
    },
}

impl Default for Work {
    fn default() -> Self {
        Self::Plain {
            route: Name::default(),
            idempotency_key: None,
            body_sha256: [0; 32],
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole answer was read. `answer` is set for non-idempotent requests.
    Complete { answer: Option<Answer> },
    /// Provably no byte reached the upstream.
    NotSent,
    /// The upstream refused the request without running it.
    Rejected,
    /// The connection broke or timed out after bytes were sent.
    Broken,
    /// The attempt was cancelled by an effect.
    Cancelled,
}

/// Load of an upstream, as it reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Age of the report when it was read, in milliseconds.
    pub age_ms: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens that wait to be computed.
    pub prompt_tokens_waiting: u32,
    /// Output tokens of running requests so far.
    pub output_tokens_running: u32,
    /// KV chunks in use.
    pub kv_chunks_used: u32,
    /// KV chunks in all.
    pub kv_chunks_total: u32,
    /// Role in effect; `None` while it changes, and for plain services.
    pub role: Option<Role>,
    /// Models and adapters that are loaded.
    pub models: Vec<Name>,
    /// Highest epoch that the engine has accepted an order under.
    pub epoch: u64,
    /// Sequence of the last order that took effect.
    pub sequence: u64,
    /// Whether the upstream says that it is leaving.
    pub leaving: bool,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// A chunk was stored.
    Stored { chunk_hash: u64 },
    /// A chunk was evicted.
    Evicted { chunk_hash: u64 },
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Instance id or upstream name.
    pub id: Name,
    /// State by the platform.
    pub state: ListedState,
}

/// A request of the administration interface.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminRequest {
    /// `POST /admin/apply`.
    Apply(ApplyRequest),
    /// `GET /admin/config`.
    Config,
    /// `GET /admin/history`.
    History,
    /// `GET /admin/history/REVISION`.
    Revision(u64),
    /// `GET /admin/status`.
    Status,
    /// `POST /admin/drain` and `POST /admin/undrain`.
    Drain { target: DrainTarget, draining: bool },
    /// `POST /admin/order`.
    Order(OrderRequest),
    /// `POST /admin/voters`.
    ReplaceVoter(ReplaceVoterRequest),
    /// `POST /admin/confirm-dead`.
    ConfirmDead(ConfirmDeadRequest),
}

/// A reply of the administration interface.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminReply {
    /// Reply to `Apply`.
    Apply(ApplyReply),
    /// Reply to `Config` and `Revision`; `None` if there is no such revision.
    Revision(Option<Box<RevisionInfo>>),
    /// Reply to `History`.
    History(Vec<RevisionInfo>),
    /// Reply to `Status`.
    Status(Box<StatusReply>),
    /// Reply to `Drain`, `Order` and `ConfirmDead`.
    Change(ChangeReply),
}
