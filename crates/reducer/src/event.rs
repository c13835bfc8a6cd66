//! Events: the inputs of the reducer.

use conf::admin::{
    ApplyReply, ApplyRequest, ChangeReply, ConfirmDeadRequest, DrainTarget, OrderRequest,
    ReplaceVoterRequest, RevisionInfo, StatusReply,
};
use conf::{Name, Role};
use fleet::{EngineState, ListedState, OrderAnswer, PeerMessage};
use ledger::Answer;

/// Number of an exchange, unique within one process. An exchange is one caller's request and its answer.
pub type ExchangeId = u64;

/// An input of the reducer. Events are applied in the order in which the instance observed them.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The tick timer fired. `unix_ms` is the wall-clock time, in milliseconds.
    Tick { unix_ms: u64 },
    /// A caller's request was read, and its API key belongs to a client account.
    Arrived(Box<Arrival>),
    /// The upstream began to answer an attempt.
    Started { exchange: ExchangeId, attempt: u32 },
    /// Output was delivered to the caller. `output_tokens` is the total over all attempts so far.
    Progress {
        exchange: ExchangeId,
        attempt: u32,
        output_tokens: u32,
    },
    /// An attempt to run the request ended.
    Ended {
        exchange: ExchangeId,
        attempt: u32,
        end: End,
    },
    /// The caller closed its connection.
    CallerGone { exchange: ExchangeId },
    /// An upstream's load report was read; `report` is `None` if the read failed.
    Load {
        upstream: Name,
        report: Option<LoadReport>,
    },
    /// Cache events of an engine were read. `first` is the number of the first of `events`.
    CacheEvents {
        upstream: Name,
        first: u64,
        events: Vec<CacheEvent>,
    },
    /// It was checked whether an upstream has crashed.
    UpstreamChecked { upstream: Name, has_crashed: bool },
    /// The platform's list of instances and upstreams was read.
    PlatformList(Vec<PlatformListEntry>),
    /// A message was received from another instance, which has proved that it knows the shared secret.
    Peer { from: Name, message: PeerMessage },
    /// All writes up to and including `ticket` were synced to disk.
    Persisted { ticket: u64 },
    /// An engine answered an order.
    OrderAnswered {
        upstream: Name,
        epoch: u64,
        sequence: u64,
        answer: OrderAnswer,
    },
    /// An engine's state was read; `state` is `None` if the read failed.
    EngineRead {
        upstream: Name,
        state: Option<EngineState>,
    },
    /// A request was received on the administration interface.
    Admin { token: u64, request: AdminRequest },
    /// The process was asked to stop.
    Stop,
}

/// A caller's request, which opens an exchange.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Number of the exchange.
    pub exchange: ExchangeId,
    /// Client account of the API key.
    pub client_account: Name,
    /// Value of the `x-mustardstack-rank` header.
    pub rank: Option<Name>,
    /// Kind and parameters of the request.
    pub kind: RequestKind,
}

/// Kind of a caller's request, with its parameters.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestKind {
    /// A chat completion.
    Chat {
        /// Model name, or `MODEL:ADAPTER`.
        model: Name,
        /// Estimated prompt tokens.
        prompt_tokens: u32,
        /// Hashes of the prompt's chunks of about 4,000 tokens. Each hash covers the prompt from its start to the
        /// chunk's end.
        chunk_hashes: Vec<u64>,
        /// Limit on output tokens, if the caller set one.
        max_tokens: Option<u32>,
    },
    /// A request to a plain service.
    Plain {
        /// Name of the route whose configured path prefix matches the request.
        route: Name,
        /// The caller's `Idempotency-Key`.
        idempotency_key: Option<Name>,
        /// SHA-256 of method, path with query, and body.
        body_sha256: [u8; 32],
    },
}

impl Default for RequestKind {
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
    /// The whole answer was read. `answer` is set for non-idempotent requests only.
    Complete { answer: Option<Answer> },
    /// Provably, no byte of the request reached the upstream.
    NotSent,
    /// The upstream refused the request without running it.
    Rejected,
    /// The connection failed or timed out after bytes of the request were sent.
    Broken,
    /// The reducer cancelled the attempt by an effect.
    Cancelled,
}

/// Load of an upstream, as reported by the upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Age of the report when it was read, in milliseconds.
    pub age_ms: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Prompt tokens of which the prefill has not been computed yet.
    pub prompt_tokens_waiting: u32,
    /// Output tokens generated so far by running requests.
    pub output_tokens_running: u32,
    /// KV cache chunks in use.
    pub kv_chunks_used: u32,
    /// KV cache chunks in total.
    pub kv_chunks_total: u32,
    /// Current role of an engine; `None` during a role change and for plain services.
    pub role: Option<Role>,
    /// Loaded models and adapters.
    pub models: Vec<Name>,
    /// Highest epoch of the orders that the engine has accepted.
    pub epoch: u64,
    /// Sequence number of the last order that took effect.
    pub sequence: u64,
    /// Whether the upstream reports that it is about to leave the fleet.
    pub leaving: bool,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine stored a chunk.
    Stored { chunk_hash: u64 },
    /// The engine evicted a chunk.
    Evicted { chunk_hash: u64 },
}

/// An instance or upstream in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformListEntry {
    /// Instance id or upstream name.
    pub id: Name,
    /// State according to the platform.
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
    /// Reply to `Drain`, `Order`, `ReplaceVoter` and `ConfirmDead`.
    Change(ChangeReply),
}
