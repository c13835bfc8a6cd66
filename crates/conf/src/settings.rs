//! The settings of one instance, which it reads once at its start.

use serde::{Deserialize, Serialize};

use crate::Name;

/// All settings of an instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Identity and addresses of the instance.
    pub instance: Instance,
    /// The initial voters, the same list on every instance.
    pub voters: Vec<Voter>,
    /// URLs of the platform's interfaces.
    pub platform: Platform,
    /// Log output.
    pub log: Log,
    /// Intervals and time limits.
    pub timing: Timing,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// Policies for routing, queueing and planning.
    pub decisions: Decisions,
}

/// Policies for routing, queueing and planning. Values other than the defaults are baselines for experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Decisions {
    /// Policy that chooses the upstream of a request.
    pub routing: Routing,
    /// Policy that chooses the next waiting request.
    pub queueing: Queueing,
    /// Policy that plans the roles of engines.
    pub planning: Planning,
}

/// Policy that chooses the upstream of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The upstream with the lowest expected cost.
    #[default]
    CostBased,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the fewest open exchanges of this instance.
    LeastOutstanding,
    /// The upstream that a hash of the prompt's first chunk selects.
    PrefixHash,
}

/// Policy that chooses the next waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Queueing {
    /// By rank, floor, client account and deadline.
    #[default]
    Ranked,
    /// In order of arrival.
    SingleQueue,
}

/// Policy that plans the roles of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Planning {
    /// Changes roles by forecast gain and cost, with hysteresis.
    #[default]
    Hysteresis,
    /// Changes roles by the gain at the demand of the last window alone.
    NoHysteresis,
    /// Never changes roles.
    Static,
}

/// Identity and addresses of an instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Instance {
    /// Unique id of the instance.
    pub id: Name,
    /// Availability zone that the instance runs in.
    pub availability_zone: Name,
    /// IP address and port of the callers' listener.
    pub caller_address: Name,
    /// IP address and port of the administration listener.
    pub admin_address: Name,
    /// IP address and port of the peer listener.
    pub peer_address: Name,
    /// File that holds the administration token.
    pub admin_token_file: Name,
    /// File that holds the secret shared by all instances.
    pub peer_secret_file: Name,
    /// Folder for durable state. Empty on an instance without a disk.
    pub data_folder: Name,
}

/// An initial voter of the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Voter {
    /// Instance id of the voter.
    pub id: Name,
    /// Availability zone of the voter.
    pub availability_zone: Name,
    /// IP address and port of the peer listener of the voter.
    pub peer_address: Name,
}

/// URLs of the platform's interfaces.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    /// URL of the list of live and leaving instances. Empty if there is none.
    pub list_url: Name,
    /// URL of the weight store. Empty if there is none.
    pub weight_store_url: Name,
}

/// Log output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Least severe level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Name,
    /// Whether each line is a JSON object.
    pub json: bool,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: Name::from_static_str("info"),
            json: false,
        }
    }
}

/// Intervals and time limits, all in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval of the reducer's tick.
    pub tick_interval_ms: u64,
    /// Interval of the leader's heartbeats to replicas.
    pub heartbeat_interval_ms: u64,
    /// Shortest election timeout.
    pub election_timeout_min_ms: u64,
    /// Longest election timeout.
    pub election_timeout_max_ms: u64,
    /// Interval at which an instance reports itself to the leader.
    pub report_interval_ms: u64,
    /// Time for which a configuration is known to be current after a confirmation.
    pub config_lease_ms: u64,
    /// Time for which an instance holds an order gate without renewal.
    pub gate_lease_ms: u64,
    /// Time between the platform's report that an instance is gone and the handover of its order gates of upstreams
    /// without fencing.
    pub gate_quarantine_ms: u64,
    /// Time within which a non-idempotent request must be sent after its begin record.
    pub begin_timeout_ms: u64,
    /// Interval at which load reports are read.
    pub load_interval_ms: u64,
    /// Interval at which the platform's list is read.
    pub platform_interval_ms: u64,
    /// Time after which an instance that stops aborts its open exchanges. 0 means no limit.
    pub drain_timeout_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            tick_interval_ms: 20,
            heartbeat_interval_ms: 100,
            election_timeout_min_ms: 600,
            election_timeout_max_ms: 1_200,
            report_interval_ms: 500,
            config_lease_ms: 3_000,
            gate_lease_ms: 3_000,
            gate_quarantine_ms: 60_000,
            begin_timeout_ms: 2_000,
            load_interval_ms: 250,
            platform_interval_ms: 1_000,
            drain_timeout_ms: 0,
        }
    }
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_header_count: usize,
    /// Time allowed for reading a request's headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time allowed for reading a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum number of connections open at once on the callers' listener.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_header_count: 64,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            max_connections: 10_000,
        }
    }
}
