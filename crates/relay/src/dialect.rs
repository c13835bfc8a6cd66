//! The interface to the wire format of a platform.

use conf::{Name, Role};
use fleet::UpstreamRecord;
use gateway::{Config, ConfigError, DutyCall, Prompt};
use http::{HeaderMap, HeaderName};

/// Names of the headers that an instance reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request. Upstreams copy the id to their answers.
    pub request_id: HeaderName,
    /// Time left for a request, in milliseconds.
    pub time_left_ms: HeaderName,
    /// API key of the caller.
    pub api_key: HeaderName,
    /// Name of the client account that has the key.
    pub account: HeaderName,
    /// Id of the last event that the caller has received.
    pub last_event_id: HeaderName,
    /// Signature that an upstream adds to its answers, which shows that an answer comes from an upstream.
    pub signature: HeaderName,
    /// Instance id that an upstream must have to run the request.
    pub expected_instance: HeaderName,
    /// States that the upstream did not run the request.
    pub not_run: HeaderName,
    /// Priority of the request at the engine.
    pub priority: HeaderName,
    /// Asks an engine to run only one stage of the request.
    pub stage: HeaderName,
    /// Address of the engine and handle under which the engine keeps the KV cache of the prompt.
    pub kv_source: HeaderName,
    /// Address of the engine from which the KV cache of the shared prefix is fetched first.
    pub fetch_from: HeaderName,
    /// Load of the upstream, in its answers.
    pub load: HeaderName,
    /// Requests per second that the upstream takes from all instances together, in its answers.
    pub request_limit: HeaderName,
    /// Instance id of the leader, in calls that only the leader makes.
    pub holder: HeaderName,
    /// Fencing token of the leader, in these calls.
    pub fencing_token: HeaderName,
    /// Announces, in the answers of an upstream, that the upstream is about to end.
    pub leaving: HeaderName,
    /// Headers that only this system may set. An entry removes them from the requests of callers.
    pub reserved: Vec<HeaderName>,
}

/// Paths of the calls that an instance answers.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Readiness check of the load balancer.
    pub ready: &'static str,
    /// Publishes a configuration.
    pub publish: &'static str,
    /// Reads the newest configuration.
    pub describe: &'static str,
}

/// One page of the platform's list of upstreams.
#[derive(Clone, Debug, Default)]
pub struct ListingPage {
    /// Upstreams whose records can be decoded.
    pub upstreams: Vec<UpstreamRecord>,
    /// For each record that cannot be decoded, the reason or the id.
    pub unreadable: Vec<String>,
    /// Token of the next page; none on the last page.
    pub next: Option<String>,
}

/// A call to the platform that only the leader makes, encoded for the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedDuty {
    /// Path of the call.
    pub path: &'static str,
    /// Body of the call.
    pub body: String,
}

/// State that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Current role.
    pub role: Role,
    /// Number of orders accepted since the start of the engine.
    pub sequence: u64,
    /// Whether the engine is carrying out an order.
    pub is_changing: bool,
}

/// The wire format of a platform. Names on the wire are decoded only behind this interface.
pub trait Dialect {
    /// Returns the names of the headers that an instance reads or sets.
    fn header_names(&self) -> &HeaderNames;

    /// Returns the paths of the calls that an instance answers.
    fn paths(&self) -> &Paths;

    /// Decodes and validates a configuration.
    ///
    /// # Errors
    /// Returns the reason why the configuration is rejected.
    fn config(&self, document: &[u8]) -> Result<Config, ConfigError>;

    /// Returns the document that operators receive while no configuration is published.
    fn empty_document(&self) -> &'static [u8];

    /// Returns the path of a page of the list of upstreams, by default of the first page.
    fn listing_path(&self, page_token: Option<&str>) -> String;

    /// Decodes a page of the list of upstreams.
    ///
    /// # Errors
    /// Returns the reason if the page as a whole cannot be decoded.
    fn listing(&self, body: &[u8]) -> Result<ListingPage, String>;

    /// Decodes the properties of the prompt from the headers of a request.
    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Decodes how long work takes at an upstream now, in percent of the usual duration, from the load that its answer
    /// states.
    fn slowness_percent(&self, load: &str) -> Option<u16>;

    /// Returns the value of the stage header that asks an engine to compute only the KV cache of the prompt.
    fn prefill_stage(&self) -> &'static str;

    /// Returns the path at which an engine reports its state.
    fn report_path(&self) -> &'static str;

    /// Decodes an engine's state.
    ///
    /// # Errors
    /// Returns the reason if the state cannot be decoded.
    fn report(&self, body: &[u8]) -> Result<EngineReport, String>;

    /// Returns the path of orders to engines.
    fn order_path(&self) -> &'static str;

    /// Encodes an order to change the role, valid only while the engine has accepted `sequence` orders.
    fn order(&self, role: Role, holder: &str, fencing_token: u64, sequence: u64) -> String;

    /// Encodes a call to the platform that only the leader makes.
    fn duty(&self, call: &DutyCall) -> EncodedDuty;

    /// Decodes the handle in the answer to a prefill call.
    fn handle(&self, body: &[u8]) -> Option<Name>;

    /// Returns the value of the KV source header for a handle at an engine.
    fn kv_source(&self, address: &str, handle: &str) -> String;

    /// Returns the path of the call that frees a handle.
    fn handle_path(&self, handle: &str) -> String;
}
