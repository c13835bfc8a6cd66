//! The service configuration, which operators apply and which is in force on every instance.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Number of ranks, which are the priority classes of work, from 0 (most urgent) to `RANK_COUNT - 1`.
pub const RANK_COUNT: usize = 3;

/// The merged configuration of all services.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceConfig {
    /// The ranks of work, most urgent first.
    pub ranks: Vec<RankPolicy>,
    /// The client accounts whose callers are served.
    #[serde(rename = "tenants")]
    pub client_accounts: Vec<ClientAccount>,
    /// The models and their adapters.
    pub models: Vec<Model>,
    /// The model services and plain services.
    pub services: Vec<Service>,
    /// The forwarded paths of plain services.
    pub routes: Vec<Route>,
    /// The engines and plain-service workers.
    pub upstreams: Vec<Upstream>,
}

/// Latency targets, worth and limits of one rank of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RankPolicy {
    /// The rank's name.
    pub name: Name,
    /// Target for the time to first token, in milliseconds.
    pub target_first_token_ms: u64,
    /// Target for the time between tokens, in milliseconds.
    pub target_between_tokens_ms: u64,
    /// Target for the time until the answer is complete, in milliseconds.
    pub target_total_ms: u64,
    /// Worth of one answer within its targets, relative to the other ranks.
    pub worth: f64,
    /// Share of tokens that is guaranteed to the rank when other ranks are overloaded, from 0 to 1.
    pub floor: f64,
    /// Maximum number of requests that wait in this rank's queue on one instance.
    pub queue_limit: usize,
}

impl Default for RankPolicy {
    fn default() -> Self {
        Self {
            name: Name::default(),
            target_first_token_ms: 5_000,
            target_between_tokens_ms: 200,
            target_total_ms: 60_000,
            worth: 1.0,
            floor: 0.0,
            queue_limit: 1_000,
        }
    }
}

/// A client account and the limits of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientAccount {
    /// The client account's name.
    pub name: Name,
    /// SHA-256 of the client account's API key, in lower-case hexadecimal.
    pub key_sha256: Name,
    /// Names of the ranks that the client account may use. The first is its default.
    pub ranks: Vec<Name>,
    /// Maximum rate of admitted requests on one instance, in requests per second.
    pub requests_per_s: f64,
    /// Number of requests that may arrive at once above the rate.
    pub burst: f64,
    /// Weight of the client account in the fair sharing inside a rank.
    pub weight: f64,
}

impl Default for ClientAccount {
    fn default() -> Self {
        Self {
            name: Name::default(),
            key_sha256: Name::default(),
            ranks: Vec::new(),
            requests_per_s: 100.0,
            burst: 200.0,
            weight: 1.0,
        }
    }
}

/// A model and its adapters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// The model's name.
    pub name: Name,
    /// The version that engines should serve.
    pub version: Name,
    /// Names of the adapters, callable as `MODEL:ADAPTER`.
    pub adapters: Vec<Name>,
    /// Size of the weights, in bytes.
    pub weights_bytes: u64,
}

/// Whether a service is a language-model service or a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Served by language-model engines.
    #[default]
    Model,
    /// Served by plain HTTP workers.
    Plain,
}

/// A service that callers reach through the system.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Whether the upstreams of the service are engines or plain workers.
    pub kind: ServiceKind,
    /// Names of the models that a model service serves.
    pub models: Vec<Name>,
}

/// Whether a route's requests may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// A request runs at most once.
    #[default]
    NonIdempotent,
    /// A request may be retried.
    Idempotent,
}

/// A path prefix that is forwarded to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// The route's name.
    pub name: Name,
    /// Path prefix, for example `/rota/`.
    pub path_prefix: Name,
    /// Name of the plain service.
    pub service: Name,
    /// HTTP methods that the route forwards. Empty means all.
    pub methods: Vec<Name>,
    /// Whether requests may be repeated.
    pub idempotency: Idempotency,
    /// Name of the rank of the requests. Empty means the client account's default rank.
    pub rank: Name,
    /// Time allowed for the whole answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time for which the answer to an idempotency key is kept, in milliseconds.
    pub key_retention_ms: u64,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            name: Name::default(),
            path_prefix: Name::default(),
            service: Name::default(),
            methods: Vec::new(),
            idempotency: Idempotency::default(),
            rank: Name::default(),
            timeout_ms: 10_000,
            key_retention_ms: 86_400_000,
        }
    }
}

/// Whether an upstream refuses orders with an older epoch, the fencing token of orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The upstream refuses an order whose epoch is older than the newest it has seen.
    Enforced,
    /// The upstream ignores the epoch.
    #[default]
    Ignored,
}

/// The phases of a request that an engine computes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes prompts and exports their KV cache.
    Prefill,
    /// Generates output from imported KV cache.
    Decode,
    /// Computes prompts and generates output.
    #[default]
    Mixed,
}

/// An engine or a worker of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Upstream {
    /// The upstream's name.
    pub name: Name,
    /// Name of the service that the upstream belongs to.
    pub service: Name,
    /// IP address and port of the upstream.
    pub address: Name,
    /// Availability zone that the upstream runs in.
    pub availability_zone: Name,
    /// Whether the upstream refuses orders with an older epoch.
    pub fencing: Fencing,
    /// Initial role. Orders may change the role later.
    pub role: Role,
    /// Id of the instance that holds the order gate of the upstream first, and may send orders to it. Empty lets the
    /// leader choose an instance in the same availability zone.
    pub order_gate: Name,
    /// Capacity of the prefix cache, in chunks of about 4,000 tokens.
    pub cache_chunks: u32,
    /// Prompt tokens that the engine computes per second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens that the engine generates per second, over all running requests.
    pub decode_tokens_per_s: f64,
    /// Maximum number of requests that run at once.
    pub max_running: u32,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            name: Name::default(),
            service: Name::default(),
            address: Name::default(),
            availability_zone: Name::default(),
            fencing: Fencing::default(),
            role: Role::default(),
            order_gate: Name::default(),
            cache_chunks: 64,
            prefill_tokens_per_s: 20_000.0,
            decode_tokens_per_s: 1_000.0,
            max_running: 32,
        }
    }
}
