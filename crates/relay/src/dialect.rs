//! The border to a platform's wire format.

use conf::{Name, Role};
use fleet::UpstreamRecord;
use gateway::{Config, ConfigError, Prompt};
use http::{HeaderMap, HeaderName};

/// Names of the headers that an instance reads or sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of a request, echoed by upstreams.
    pub request_id: HeaderName,
    /// Time left for a request, in milliseconds.
    pub time_left_ms: HeaderName,
    /// Last event that the caller has.
    pub last_event_id: HeaderName,
    /// Proof that an answer comes from an upstream.
    pub signature: HeaderName,
    /// Instance id that an upstream must have to run the request.
    pub expected_instance: HeaderName,
    /// Says that an upstream did not run the request.
    pub not_run: HeaderName,
    /// Priority at the engine.
    pub priority: HeaderName,
    /// Asks an engine for a part of the work only.
    pub stage: HeaderName,
    /// Names the engine and handle of a computed prompt.
    pub kv_source: HeaderName,
    /// Names the engine from which cached parts are fetched first.
    pub fetch_from: HeaderName,
    /// Headers that only this system may set: they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}

/// Paths of the calls that an instance answers.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Readiness check of the balancer.
    pub ready: &'static str,
    /// Publishes a configuration.
    pub publish: &'static str,
    /// Reads the newest configuration.
    pub describe: &'static str,
}

/// One page of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct ListingPage {
    /// Entries that can be read.
    pub upstreams: Vec<UpstreamRecord>,
    /// Entries that cannot be read, with the reason.
    pub unreadable: Vec<String>,
    /// Token of the following page.
    pub next: Option<String>,
}

/// State of an engine as it says itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Present role.
    pub role: Role,
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Whether an order is being carried out.
    pub is_changing: bool,
}

/// A platform's wire format, decoded once at the border.
pub trait Dialect {
    /// Returns the names of headers.
    fn headers(&self) -> &Headers;

    /// Returns the paths of calls.
    fn paths(&self) -> &Paths;

    /// Decodes and checks a configuration.
    ///
    /// # Errors
    /// Returns why the configuration is refused.
    fn config(&self, document: &[u8]) -> Result<Config, ConfigError>;

    /// Returns the document that stands for no configuration.
    fn empty_document(&self) -> &'static [u8];

    /// Returns the path of a page of the list.
    fn listing_path(&self, page: Option<&str>) -> String;

    /// Decodes a page of the list.
    ///
    /// # Errors
    /// Returns why the whole page cannot be read.
    fn listing(&self, body: &[u8]) -> Result<ListingPage, String>;

    /// Reads the prompt's description from a request's headers.
    fn prompt(&self, headers: &HeaderMap) -> Option<Prompt>;

    /// Returns the value of the stage header that asks for the prompt only.
    fn prefill_stage(&self) -> &'static str;

    /// Returns the path of an engine's state.
    fn report_path(&self) -> &'static str;

    /// Decodes an engine's state.
    ///
    /// # Errors
    /// Returns why it cannot be read.
    fn report(&self, body: &[u8]) -> Result<EngineReport, String>;

    /// Returns the path of orders to engines.
    fn order_path(&self) -> &'static str;

    /// Encodes an order to change the role, valid only while the engine has accepted `sequence` orders.
    fn order(&self, role: Role, holder: &str, fence: u64, sequence: u64) -> String;

    /// Decodes the handle in the answer to a prefill call.
    fn handle(&self, body: &[u8]) -> Option<Name>;

    /// Returns the value that names a handle at an engine.
    fn kv_source(&self, address: &str, handle: &str) -> String;

    /// Returns the path of the call that frees a handle.
    fn handle_path(&self, handle: &str) -> String;
}
