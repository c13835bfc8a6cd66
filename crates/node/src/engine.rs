//! Reads reports of engines, services and the platform, and sends orders and cancel requests to engines.

use std::time::Duration;

use bytes::Bytes;
use conf::{Name, Role};
use fleet::{EngineState, ListedState, Order, OrderAnswer};
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use reducer::{CacheEvent, Event, LoadReport, PlatformListEntry};
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::client::Client;

use crate::probe;
use crate::queue::EventQueue;

/// Time limit for reading a report. A report that takes longer is too old to be useful.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit for the answer to an order. Engines answer an order before they execute it.
const ORDER_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Largest response body that is read, in bytes. The platform's list has about 100 bytes for each of 1,600 entries.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// HTTP client for all requests except those of callers. Its connections are pooled, because these requests may be
/// repeated.
#[derive(Clone)]
pub struct EngineClient {
    http: Client,
    events: EventQueue,
}

impl std::fmt::Debug for EngineClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EngineClient")
    }
}

/// Response body of `GET /load`. Plain services report only some of the fields.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LoadBody {
    age_ms: u64,
    running: u32,
    waiting: u32,
    prompt_tokens_waiting: u32,
    output_tokens_running: u32,
    kv_chunks_used: u32,
    kv_chunks_total: u32,
    role: Option<Role>,
    models: Vec<Name>,
    epoch: u64,
    sequence: u64,
    leaving: bool,
}

/// Response body of `GET /cache/events`.
#[derive(Debug, Default, Deserialize)]
struct CacheEventsBody {
    events: Vec<CacheEventEntry>,
}

#[derive(Debug, Deserialize)]
struct CacheEventEntry {
    number: u64,
    kind: CacheEventKind,
    /// Hash of the chunk, in hexadecimal, because not every JSON implementation represents 64-bit numbers exactly.
    chunk: String,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum CacheEventKind {
    Stored,
    Evicted,
}

/// Request body of `POST /order`.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    epoch: u64,
    sequence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<Role>,
    #[serde(skip_serializing_if = "Option::is_none")]
    load: Option<&'a Name>,
    #[serde(skip_serializing_if = "Option::is_none")]
    unload: Option<&'a Name>,
}

/// Response body of `GET /order`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OrderStateBody {
    epoch: u64,
    sequence: u64,
    role: Option<Role>,
    models: Vec<Name>,
    changing_to: Option<Role>,
    loading: Option<Name>,
}

/// Response body of the platform's `GET /instances`.
#[derive(Debug, Default, Deserialize)]
struct ListBody {
    instances: Vec<ListEntry>,
}

#[derive(Debug, Deserialize)]
struct ListEntry {
    id: Name,
    state: ListEntryState,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListEntryState {
    Live,
    Leaving,
    Gone,
}

impl EngineClient {
    /// Creates a client that reports to `events`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(events: EventQueue) -> Result<Self, crate::Error> {
        let mut builder = Client::builder();
        builder.set_connect_timeout(READ_TIMEOUT);
        let http = builder.build().map_err(|error| crate::Error::Setup {
            what: "HTTP client",
            reason: error.to_string(),
        })?;
        Ok(Self { http, events })
    }

    /// Cancels a request at an engine. Has no effect if the engine cannot be reached; the engine then detects the
    /// closed connection instead.
    pub fn cancel(&self, address: Name, request_id: String) {
        let client = self.clone();
        tokio::spawn(async move {
            let url = format!("http://{address}/requests/{request_id}");
            let _ = client
                .send_request(Method::DELETE, url, Bytes::new(), READ_TIMEOUT)
                .await;
        });
    }

    /// Reads an upstream's load report and reports it to the reducer.
    pub async fn read_load(&self, upstream: Name, address: &Name) {
        let report = self.get::<LoadBody>(format!("http://{address}/load")).await;
        let report = report.map(LoadBody::into_report);
        self.events.send(Event::Load { upstream, report }).await;
    }

    /// Reads an engine's cache events with numbers above `after`, and reports each run of consecutive numbers as one
    /// event.
    pub async fn read_cache_events(&self, upstream: Name, address: &Name, after: u64) {
        let url = format!("http://{address}/cache/events?after={after}");
        let Some(body) = self.get::<CacheEventsBody>(url).await else {
            return;
        };
        for run in consecutive_runs(&body.events) {
            let event = Event::CacheEvents {
                upstream: upstream.clone(),
                first: run[0].number,
                events: run.iter().map(CacheEventEntry::to_event).collect(),
            };
            self.events.send(event).await;
        }
    }

    /// Checks whether an upstream has crashed and reports the result to the reducer.
    pub async fn check(&self, upstream: Name, address: &Name) {
        let has_crashed = probe::is_refusing(address).await;
        self.events
            .send(Event::UpstreamChecked {
                upstream,
                has_crashed,
            })
            .await;
    }

    /// Reads an engine's state and reports it to the reducer.
    pub async fn read_engine(&self, upstream: Name, address: &Name) {
        let state = self
            .get::<OrderStateBody>(format!("http://{address}/order"))
            .await
            .map(OrderStateBody::into_state);
        self.events
            .send(Event::EngineRead { upstream, state })
            .await;
    }

    /// Sends an order to an engine and reports the engine's answer to the reducer.
    pub async fn send_order(&self, upstream: Name, address: &Name, epoch: u64, order: &Order) {
        let body = OrderBody {
            epoch,
            sequence: order.sequence,
            role: order.change.role,
            load: order.change.load.as_ref(),
            unload: order.change.unload.as_ref(),
        };
        let body = serde_json::to_vec(&body).expect("orders are serializable");
        let url = format!("http://{address}/order");
        let answer = self
            .send_request(Method::POST, url, Bytes::from(body), ORDER_TIMEOUT)
            .await;
        let event = Event::OrderAnswered {
            upstream,
            epoch,
            sequence: order.sequence,
            answer: order_answer(answer),
        };
        self.events.send(event).await;
    }

    /// Reads the platform's list of instances and reports it to the reducer. Reports nothing if the read fails.
    pub async fn read_platform_list(&self, url: &Name) {
        if let Some(list) = self.get::<ListBody>(url.to_string()).await {
            let list = list.instances.into_iter().map(ListEntry::into_list_entry);
            self.events.send(Event::PlatformList(list.collect())).await;
        }
    }

    async fn get<T: for<'de> Deserialize<'de>>(&self, url: String) -> Option<T> {
        let (status, body) = self
            .send_request(Method::GET, url, Bytes::new(), READ_TIMEOUT)
            .await?;
        if status != StatusCode::OK {
            return None;
        }
        serde_json::from_slice(&body).ok()
    }

    /// Sends a request and reads the complete response. Returns `None` if no complete response arrived in time.
    async fn send_request(
        &self,
        method: Method,
        url: String,
        body: Bytes,
        timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let round_trip = async {
            let request = self.http.request(method, url).data(body);
            let request = request.header(http::header::CONTENT_TYPE, "application/json");
            let response: http::Response<Body> = request.send().await.ok()?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES)
                .collect()
                .await
                .ok()?;
            Some((head.status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, round_trip).await.ok()?
    }
}

/// Splits events into runs of consecutive numbers.
fn consecutive_runs(events: &[CacheEventEntry]) -> impl Iterator<Item = &[CacheEventEntry]> {
    events.chunk_by(|a, b| a.number.checked_add(1) == Some(b.number))
}

fn order_answer(answer: Option<(StatusCode, Bytes)>) -> OrderAnswer {
    match answer {
        Some((status, _)) if status.is_success() => OrderAnswer::Accepted,
        Some((status, body)) if status.is_client_error() => {
            let reason = String::from_utf8_lossy(&body);
            OrderAnswer::Refused(Name::from(format!("{status}: {reason}")))
        }
        _ => OrderAnswer::Lost,
    }
}

impl LoadBody {
    fn into_report(self) -> LoadReport {
        LoadReport {
            age_ms: self.age_ms,
            running: self.running,
            waiting: self.waiting,
            prompt_tokens_waiting: self.prompt_tokens_waiting,
            output_tokens_running: self.output_tokens_running,
            kv_chunks_used: self.kv_chunks_used,
            kv_chunks_total: self.kv_chunks_total,
            role: self.role,
            models: self.models,
            epoch: self.epoch,
            sequence: self.sequence,
            leaving: self.leaving,
        }
    }
}

impl CacheEventEntry {
    fn to_event(&self) -> CacheEvent {
        // An event with an invalid hash is reported with hash 0, so that the numbers of events have no gap.
        let chunk_hash = u64::from_str_radix(&self.chunk, 16).unwrap_or_default();
        match self.kind {
            CacheEventKind::Stored => CacheEvent::Stored { chunk_hash },
            CacheEventKind::Evicted => CacheEvent::Evicted { chunk_hash },
        }
    }
}

impl OrderStateBody {
    fn into_state(self) -> EngineState {
        EngineState {
            epoch: self.epoch,
            sequence: self.sequence,
            role: self.role.filter(|_| self.changing_to.is_none()),
            models: self.models,
            changing: self.changing_to.is_some() || self.loading.is_some(),
        }
    }
}

impl ListEntry {
    fn into_list_entry(self) -> PlatformListEntry {
        let state = match self.state {
            ListEntryState::Live => ListedState::Live,
            ListEntryState::Leaving => ListedState::Leaving,
            ListEntryState::Gone => ListedState::Gone,
        };
        PlatformListEntry { id: self.id, state }
    }
}
