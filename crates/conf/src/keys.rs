//! The table of all configuration keys with their kinds, units, ranges and descriptions.
//!
//! The loader, the range checks, the `check` command and the generator of `docs/settings.md` use this table.

use serde_json::Value;

const DAY_MS: u64 = 86_400_000;
const YEAR_MS: u64 = 365 * DAY_MS;
const GIB: u64 = 1 << 30;
/// Largest integer up to which a JSON reader that uses 64-bit floating point represents all integers exactly.
const MAX_EXACT_INTEGER: u64 = 1 << 53;

/// Whether a section is a single table or a list of tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A single table, written `[section]`.
    Table,
    /// A list of tables, written `[[section]]`. Its items are merged by the value of `id`.
    List {
        /// The key that identifies an item.
        id: &'static str,
    },
}

/// The type of a value and its valid range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueKind {
    /// A string.
    Text,
    /// An array of strings.
    TextList,
    /// `true` or `false`.
    Boolean,
    /// One of a closed set of strings.
    Choice(&'static [&'static str]),
    /// An integer from `min` to `max`, both included.
    Integer {
        /// Smallest valid value.
        min: u64,
        /// Largest valid value.
        max: u64,
    },
    /// A number from `min` to `max`, both included.
    Number {
        /// Smallest valid value.
        min: f64,
        /// Largest valid value.
        max: f64,
    },
}

impl ValueKind {
    /// Checks that a value is of this kind and in range.
    ///
    /// # Errors
    /// Returns a text that says what the value must be.
    pub fn validate(&self, value: &Value) -> Result<(), String> {
        let accepted = match self {
            Self::Text => value.is_string(),
            Self::TextList => value
                .as_array()
                .is_some_and(|items| items.iter().all(Value::is_string)),
            Self::Boolean => value.is_boolean(),
            Self::Choice(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
            Self::Integer { min, max } => value
                .as_u64()
                .is_some_and(|number| (*min..=*max).contains(&number)),
            Self::Number { min, max } => value
                .as_f64()
                .is_some_and(|number| (*min..=*max).contains(&number)),
        };
        match accepted {
            true => Ok(()),
            false => Err(format!("must be {}", self.expected())),
        }
    }

    /// Returns a description of the valid values, for error messages.
    pub fn expected(&self) -> String {
        match self {
            Self::Text => "a string".to_owned(),
            Self::TextList => "an array of strings".to_owned(),
            Self::Boolean => "true or false".to_owned(),
            Self::Choice(choices) => format!("one of `{}`", choices.join("`, `")),
            Self::Integer { min, max } => format!("an integer from {min} to {max}"),
            Self::Number { min, max } => format!("a number from {min} to {max}"),
        }
    }
}

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of the key.
    pub name: &'static str,
    /// Type and valid range of the value.
    pub kind: ValueKind,
    /// Unit of the value. Empty if it has none.
    pub unit: &'static str,
    /// Meaning of the value, in one to three sentences. `docs/settings.md` contains this text.
    pub description: &'static str,
    /// Whether a configuration without this key is invalid.
    pub required: bool,
}

/// A table or list of tables of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Name of the section.
    pub name: &'static str,
    /// Whether the section is a single table or a list of tables.
    pub shape: Shape,
    /// Content of the section, in one or two sentences. `docs/settings.md` contains this text.
    pub description: &'static str,
    /// The keys of the section.
    pub keys: &'static [Key],
}

impl Section {
    /// Returns the key with this name.
    pub fn key(&self, name: &str) -> Option<&'static Key> {
        self.keys.iter().find(|key| key.name == name)
    }
}

const fn text(name: &'static str, description: &'static str) -> Key {
    Key {
        name,
        kind: ValueKind::Text,
        unit: "",
        description,
        required: false,
    }
}

const fn required(key: Key) -> Key {
    Key {
        required: true,
        ..key
    }
}

const fn text_list(name: &'static str, description: &'static str) -> Key {
    Key {
        name,
        kind: ValueKind::TextList,
        unit: "",
        description,
        required: false,
    }
}

const fn choice(
    name: &'static str,
    choices: &'static [&'static str],
    description: &'static str,
) -> Key {
    Key {
        name,
        kind: ValueKind::Choice(choices),
        unit: "",
        description,
        required: false,
    }
}

const fn integer(
    name: &'static str,
    unit: &'static str,
    min: u64,
    max: u64,
    description: &'static str,
) -> Key {
    Key {
        name,
        kind: ValueKind::Integer { min, max },
        unit,
        description,
        required: false,
    }
}

const fn number(
    name: &'static str,
    unit: &'static str,
    min: f64,
    max: f64,
    description: &'static str,
) -> Key {
    Key {
        name,
        kind: ValueKind::Number { min, max },
        unit,
        description,
        required: false,
    }
}

/// The sections of the instance settings.
pub const SETTINGS: &[Section] = &[
    Section {
        name: "instance",
        shape: Shape::Table,
        description: "Identity and addresses of the instance.",
        keys: &[
            required(text("id", "Unique id of the instance.")),
            required(text(
                "availability_zone",
                "Availability zone that the instance runs in.",
            )),
            required(text(
                "caller_address",
                "IP address and port of the callers' listener.",
            )),
            required(text(
                "admin_address",
                "IP address and port of the administration listener.",
            )),
            required(text(
                "peer_address",
                "IP address and port of the peer listener.",
            )),
            required(text(
                "admin_token_file",
                "File that holds the administration token.",
            )),
            required(text(
                "peer_secret_file",
                "File that holds the secret shared by all instances.",
            )),
            text(
                "data_folder",
                "Folder for durable state. Empty on an instance without a disk.",
            ),
        ],
    },
    Section {
        name: "voters",
        shape: Shape::List { id: "id" },
        description: "The initial voters of the replicated log, the same list on every instance.",
        keys: &[
            required(text("id", "Instance id of the voter.")),
            required(text("availability_zone", "Availability zone of the voter.")),
            required(text(
                "peer_address",
                "IP address and port of the voter's peer listener.",
            )),
        ],
    },
    Section {
        name: "platform",
        shape: Shape::Table,
        description: "URLs of the platform's interfaces.",
        keys: &[
            text(
                "list_url",
                "URL of the list of live and leaving instances. Empty if there is none.",
            ),
            text(
                "weight_store_url",
                "URL of the weight store. Empty if there is none.",
            ),
        ],
    },
    Section {
        name: "log",
        shape: Shape::Table,
        description: "Log output.",
        keys: &[
            choice(
                "level",
                &["error", "warn", "info", "debug", "trace"],
                "Least severe level that is written.",
            ),
            Key {
                name: "json",
                kind: ValueKind::Boolean,
                unit: "",
                description: "Whether each line is a JSON object.",
                required: false,
            },
        ],
    },
    Section {
        name: "timing",
        shape: Shape::Table,
        description: "Intervals and time limits.",
        keys: &[
            integer(
                "tick_interval_ms",
                "ms",
                1,
                1_000,
                "Interval of the reducer's tick.",
            ),
            integer(
                "heartbeat_interval_ms",
                "ms",
                1,
                DAY_MS,
                "Interval of the leader's heartbeats to replicas.",
            ),
            integer(
                "election_timeout_min_ms",
                "ms",
                1,
                DAY_MS,
                "Shortest election timeout. Must be longer than `heartbeat_interval_ms`.",
            ),
            integer(
                "election_timeout_max_ms",
                "ms",
                1,
                DAY_MS,
                "Longest election timeout. Must be longer than `election_timeout_min_ms`.",
            ),
            integer(
                "report_interval_ms",
                "ms",
                1,
                DAY_MS,
                "Interval at which an instance reports itself to the leader.",
            ),
            integer(
                "config_lease_ms",
                "ms",
                1,
                DAY_MS,
                "Time for which a configuration is known to be current after a confirmation. Must be longer than `report_interval_ms`.",
            ),
            integer(
                "gate_lease_ms",
                "ms",
                1,
                DAY_MS,
                "Time for which an instance holds an order gate without renewal. Must be longer than `report_interval_ms`.",
            ),
            integer(
                "gate_quarantine_ms",
                "ms",
                1,
                DAY_MS,
                "Time between the platform's report that an instance is gone and the handover of its order gates of upstreams without fencing.",
            ),
            integer(
                "begin_timeout_ms",
                "ms",
                1,
                DAY_MS,
                "Time within which a non-idempotent request must be sent after its begin record.",
            ),
            integer(
                "load_interval_ms",
                "ms",
                1,
                DAY_MS,
                "Interval at which load reports are read.",
            ),
            integer(
                "platform_interval_ms",
                "ms",
                1,
                DAY_MS,
                "Interval at which the platform's list is read.",
            ),
            integer(
                "drain_timeout_ms",
                "ms",
                0,
                DAY_MS,
                "Time after which an instance that stops aborts its open exchanges. 0 means no limit.",
            ),
        ],
    },
    Section {
        name: "limits",
        shape: Shape::Table,
        description: "Limits on the requests and connections of callers.",
        keys: &[
            integer(
                "max_body_bytes",
                "bytes",
                1,
                GIB,
                "Maximum size of a request body.",
            ),
            integer(
                "max_header_count",
                "",
                1,
                10_000,
                "Maximum number of headers of a request.",
            ),
            integer(
                "header_timeout_ms",
                "ms",
                1,
                DAY_MS,
                "Time allowed for reading a request's headers.",
            ),
            integer(
                "body_timeout_ms",
                "ms",
                1,
                DAY_MS,
                "Time allowed for reading a request's body.",
            ),
            integer(
                "max_connections",
                "",
                1,
                1_000_000,
                "Maximum number of connections open at once on the callers' listener.",
            ),
        ],
    },
    Section {
        name: "decisions",
        shape: Shape::Table,
        description: "Policies for routing, queueing and planning. Values other than the defaults are baselines for experiments.",
        keys: &[
            choice(
                "routing",
                &[
                    "cost_based",
                    "round_robin",
                    "least_outstanding",
                    "prefix_hash",
                ],
                "Policy that chooses the upstream of a request.",
            ),
            choice(
                "queueing",
                &["ranked", "single_queue"],
                "Policy that chooses the next waiting request.",
            ),
            choice(
                "planning",
                &["hysteresis", "no_hysteresis", "static"],
                "Policy that plans the roles of engines.",
            ),
        ],
    },
];

/// The sections of the service configuration.
pub const SERVICE: &[Section] = &[
    Section {
        name: "ranks",
        shape: Shape::List { id: "name" },
        description: "The three ranks, which are the priority classes of work, most urgent first. Their order is the order of first mention.",
        keys: &[
            required(text("name", "The rank's name.")),
            integer(
                "target_first_token_ms",
                "ms",
                1,
                DAY_MS,
                "Target for the time to first token.",
            ),
            integer(
                "target_between_tokens_ms",
                "ms",
                1,
                DAY_MS,
                "Target for the time between tokens.",
            ),
            integer(
                "target_total_ms",
                "ms",
                1,
                DAY_MS,
                "Target for the time until the answer is complete. Must be at least `target_first_token_ms`.",
            ),
            number(
                "worth",
                "",
                0.0,
                1e9,
                "Worth of one answer within its targets, relative to the other ranks.",
            ),
            number(
                "floor",
                "",
                0.0,
                1.0,
                "Share of tokens that is guaranteed to the rank when other ranks are overloaded. The floors of all ranks must add up to at most 1.",
            ),
            integer(
                "queue_limit",
                "requests",
                1,
                10_000_000,
                "Maximum number of requests that wait in this rank's queue on one instance.",
            ),
        ],
    },
    Section {
        name: "tenants",
        shape: Shape::List { id: "name" },
        description: "The client accounts whose callers are served.",
        keys: &[
            required(text("name", "The client account's name.")),
            required(text(
                "key_sha256",
                "SHA-256 of the client account's API key, as 64 lower-case hexadecimal digits.",
            )),
            required(text_list(
                "ranks",
                "Names of the ranks that the client account may use. The first is its default.",
            )),
            number(
                "requests_per_s",
                "requests/s",
                0.001,
                1e9,
                "Maximum rate of admitted requests on one instance.",
            ),
            number(
                "burst",
                "requests",
                1.0,
                1e9,
                "Number of requests that may arrive at once above the rate.",
            ),
            number(
                "weight",
                "",
                0.001,
                1e9,
                "Weight of the client account in the fair sharing inside a rank.",
            ),
        ],
    },
    Section {
        name: "models",
        shape: Shape::List { id: "name" },
        description: "The models and their adapters.",
        keys: &[
            required(text("name", "The model's name.")),
            required(text("version", "The version that engines should serve.")),
            text_list(
                "adapters",
                "Names of the adapters, callable as `MODEL:ADAPTER`.",
            ),
            integer(
                "weights_bytes",
                "bytes",
                0,
                MAX_EXACT_INTEGER,
                "Size of the weights.",
            ),
        ],
    },
    Section {
        name: "services",
        shape: Shape::List { id: "name" },
        description: "The model services and plain services.",
        keys: &[
            required(text("name", "The service's name.")),
            choice(
                "kind",
                &["model", "plain"],
                "Whether the upstreams of the service are engines or plain-service workers.",
            ),
            text_list("models", "Names of the models that a model service serves."),
        ],
    },
    Section {
        name: "routes",
        shape: Shape::List { id: "name" },
        description: "The forwarded paths of plain services.",
        keys: &[
            required(text("name", "The route's name.")),
            required(text("path_prefix", "Path prefix, for example `/rota/`.")),
            required(text("service", "Name of the plain service.")),
            text_list(
                "methods",
                "HTTP methods that the route forwards. Empty means all.",
            ),
            choice(
                "idempotency",
                &["non_idempotent", "idempotent"],
                "Whether requests may be repeated.",
            ),
            text(
                "rank",
                "Name of the rank of the requests. Empty means the client account's default rank.",
            ),
            integer(
                "timeout_ms",
                "ms",
                1,
                DAY_MS,
                "Time allowed for the whole answer.",
            ),
            integer(
                "key_retention_ms",
                "ms",
                1,
                YEAR_MS,
                "Time for which the answer to an idempotency key is kept. Must be at least `timeout_ms` on a non-idempotent route.",
            ),
        ],
    },
    Section {
        name: "upstreams",
        shape: Shape::List { id: "name" },
        description: "The engines and plain-service workers.",
        keys: &[
            required(text("name", "The upstream's name.")),
            required(text(
                "service",
                "Name of the service that the upstream belongs to.",
            )),
            required(text("address", "IP address and port of the upstream.")),
            required(text(
                "availability_zone",
                "Availability zone that the upstream runs in.",
            )),
            choice(
                "fencing",
                &["enforced", "ignored"],
                "Whether the upstream refuses orders with an older epoch.",
            ),
            choice(
                "role",
                &["prefill", "decode", "mixed"],
                "Initial role. Orders may change the role later.",
            ),
            text(
                "order_gate",
                "Id of the instance that holds the order gate of the upstream first, and may send orders to it. Empty lets the leader choose an instance in the same availability zone.",
            ),
            integer(
                "cache_chunks",
                "chunks of about 4,000 tokens",
                0,
                u32::MAX as u64,
                "Capacity of the prefix cache.",
            ),
            number(
                "prefill_tokens_per_s",
                "tokens/s",
                0.001,
                1e12,
                "Prompt tokens that the engine computes per second.",
            ),
            number(
                "decode_tokens_per_s",
                "tokens/s",
                0.001,
                1e12,
                "Output tokens that the engine generates per second, over all running requests.",
            ),
            integer(
                "max_running",
                "requests",
                1,
                u32::MAX as u64,
                "Maximum number of requests that run at once.",
            ),
        ],
    },
];
