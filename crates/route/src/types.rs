//! The inputs and outputs of routing decisions.

use conf::{Name, Role};

/// Number of tokens in one chunk of a prompt or of an engine's cache.
pub const CHUNK_TOKENS: u32 = 4_000;

/// One attempt to run a request at an upstream.
///
/// Events of an earlier attempt do not match a later attempt, so that a late answer does not change the accounting of
/// the later attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExchangeId {
    /// Identifier of the request.
    pub request: u64,
    /// Number of the attempt, from 0. Attempts after the first are retries, resumptions or a second stage.
    pub attempt: u32,
}

/// A request that needs an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingRequest {
    /// Service that the upstream must belong to.
    pub service: Name,
    /// Model or `MODEL:ADAPTER` that the upstream must serve. Empty for a plain service.
    pub model: Name,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's whole chunks. Each hash covers the chunk and everything before it.
    pub chunk_hashes: Vec<u64>,
    /// Expected length of the answer, in tokens.
    pub output_tokens: u32,
    /// Rank, 0 for the most urgent.
    pub rank: u8,
    /// Time at which the whole answer is due, in milliseconds. The cost-based policy does not choose an upstream that
    /// would miss the deadline. 0 if there is no deadline.
    pub deadline_ms: u64,
    /// Time at which the first token is due, in milliseconds. The cost-based policy treats it like `deadline_ms`.
    pub first_token_deadline_ms: u64,
    /// Upstreams that must not be chosen, for example because they have just failed.
    pub exclude: Vec<Name>,
    /// Availability zone of the instance.
    pub availability_zone: Name,
}

/// The outcome of a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Upstream that generates the answer.
    pub upstream: Name,
    /// Upstream that computes the prompt first and exports its KV cache. `None` if `upstream` does both.
    pub prefill_upstream: Option<Name>,
    /// Expected time to the first token, in milliseconds from now.
    pub first_token_ms: u64,
    /// Expected time to the end of the answer, in milliseconds from now.
    pub total_ms: u64,
    /// Number of prompt tokens expected to be in the cache of the upstream that computes the prompt.
    pub cached_tokens: u32,
}

/// The method by which an upstream is chosen. All policies skip upstreams that must not get new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Lowest expected cost among a random sample and the holders of the prompt's prefix.
    #[default]
    CostBased,
    /// Each upstream in turn.
    RoundRobin,
    /// Fewest of the instance's own open exchanges.
    LeastOutstanding,
    /// Rendezvous hash of the first chunk.
    PrefixHash,
}

/// The expected resource use of an exchange.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExchangeEstimate {
    /// Client account of the caller.
    pub client_account: Name,
    /// Model or `MODEL:ADAPTER`. Empty for a plain service.
    pub model: Name,
    /// Number of prompt tokens to compute, without those expected in the cache.
    pub prompt_tokens: u32,
    /// Expected length of the answer, in tokens. 0 if another upstream generates it.
    pub output_tokens: u32,
    /// Hashes of the prompt's whole chunks, which the upstream holds afterwards.
    pub chunk_hashes: Vec<u64>,
    /// Expected time to the end of the exchange, in milliseconds. 0 if unknown.
    pub total_ms: u64,
}

/// The end of an exchange without a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The answer is complete and has this many tokens.
    Complete { output_tokens: u32 },
    /// The instance cancelled the exchange, or the caller disconnected.
    Cancelled,
}

/// The failure of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExchangeFailure {
    /// The connection could not be opened. The request has not run.
    Connect,
    /// The connection broke before the answer was complete.
    Broken,
}

/// The presence of an upstream, by the platform's list or by the upstream's own reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Presence {
    /// The upstream is not known to leave or to have stopped.
    #[default]
    Live,
    /// The upstream finishes its open requests and takes no new ones.
    Leaving,
    /// The upstream has stopped.
    Gone,
}

/// An upstream's report of its load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Age of the report on arrival, in milliseconds.
    pub age_ms: u64,
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Number of prompt tokens that wait to be computed.
    pub prompt_tokens_waiting: u32,
    /// Number of output tokens of the running requests.
    pub output_tokens_running: u32,
    /// Number of KV chunks in use.
    pub kv_chunks_used: u32,
    /// Total number of KV chunks.
    pub kv_chunks_total: u32,
    /// Role in effect.
    pub role: Role,
    /// Models and adapters that are loaded, as `MODEL`, `MODEL@VERSION` or `MODEL:ADAPTER`.
    pub models: Vec<Name>,
}

/// Digest of the load of an upstream, from a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadDigest {
    /// Age of the digest on arrival, in milliseconds.
    pub age_ms: u64,
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Number of prompt tokens that wait to be computed.
    pub prompt_tokens_waiting: u32,
    /// Number of KV chunks in use.
    pub kv_chunks_used: u32,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The chunk with this hash is now cached.
    Stored(u64),
    /// The chunk with this hash is no longer cached.
    Evicted(u64),
}
