//! Stand-in for a plain service, which counts how often each call was executed.

use std::{
    collections::BTreeMap,
    io::Write,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use conf::Name;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;
use volo_http::{
    request::Request,
    response::Response,
    server::{
        IntoResponse, Router,
        route::{get, post},
    },
};

use crate::{
    Error, ExitReason, Result, RunningStandin,
    server::{self, Refusal, StopHandle},
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Settings of a stand-in plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// IP address and port to listen on. Port 0 selects a free port.
    pub listen: Name,
    /// Service name that responses contain.
    pub name: Name,
    /// Seed of the random delays.
    pub seed: u64,
    /// Number of simulated milliseconds per real millisecond.
    pub time_scale: f64,
    /// Minimum duration of a call, in simulated milliseconds.
    pub delay_ms: f64,
    /// Maximum additional duration, in simulated milliseconds. The actual additional duration is
    /// uniformly distributed from 0 to this value.
    pub delay_spread_ms: f64,
    /// File to which executions are appended, so that the counts survive a crash. If empty, no file is written.
    pub journal_file: Name,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: Name::from_static_str("127.0.0.1:0"),
            name: Name::from_static_str("service"),
            seed: 1,
            time_scale: 1.0,
            delay_ms: 5.0,
            delay_spread_ms: 0.0,
            journal_file: Name::default(),
        }
    }
}

/// Response to `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of the report since the service started, in simulated milliseconds.
    pub at_ms: u64,
    /// Age of the report when it was read, in simulated milliseconds.
    pub age_ms: u64,
    /// Number of running calls.
    pub running: u32,
    /// Number of waiting calls. It is 0, because a plain service has no queue.
    pub waiting: u32,
}

/// Number of executions by `Idempotency-Key`, or by `METHOD PATH BODY` for calls without a key.
pub type Executions = BTreeMap<String, u32>;

/// Response to a call on any path without a route of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallResponse {
    /// Name of the service.
    pub service: Name,
    /// HTTP method of the call.
    pub method: Name,
    /// Path of the call.
    pub path: Name,
    /// Body of the call.
    pub body: Name,
    /// Number of executions of the call, including this one.
    pub executions: u32,
}

#[derive(Debug)]
struct ExecutionCounts {
    executions: Executions,
    journal: Option<std::fs::File>,
    random_state: u64,
}

#[derive(Debug)]
struct Service {
    settings: Settings,
    started: Instant,
    counts: Mutex<ExecutionCounts>,
    running: AtomicU32,
    stop: StopHandle,
}

/// Counts a call as running until this guard is dropped.
struct RunningCallGuard<'a>(&'a AtomicU32);

impl<'a> RunningCallGuard<'a> {
    fn new(running: &'a AtomicU32) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for RunningCallGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts a stand-in plain service inside this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the journal file cannot be read.
pub fn start(settings: Settings) -> Result<RunningStandin> {
    let counts = ExecutionCounts::open(&settings)?;
    let listen = settings.listen.clone();
    server::start(&listen, move |stop| {
        router(Arc::new(Service {
            settings,
            started: Instant::now(),
            counts: Mutex::new(counts),
            running: AtomicU32::new(0),
            stop,
        }))
    })
}

/// Runs a stand-in plain service until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, or after a requested crash.
pub async fn serve(settings: Settings) -> Result<()> {
    server::run(start(settings)?).await
}

fn router(service: Arc<Service>) -> Router {
    let [call, load, executions, crash] = std::array::from_fn(|_| service.clone());
    Router::new()
        .route("/load", get(move || async move { load.load_report() }))
        .route(
            "/debug/executions",
            get(move || async move { executions.executions() }),
        )
        .route(
            "/debug/crash",
            post(move || async move {
                crash.stop.end(ExitReason::Crashed);
                StatusCode::OK
            }),
        )
        .fallback(move |request: Request| handle_call(call, request))
}

async fn handle_call(service: Arc<Service>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let body = match server::read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return refusal.into_response(),
    };
    let _running = RunningCallGuard::new(&service.running);
    let path = parts.uri.path();
    let key = match parts.headers.get("idempotency-key") {
        Some(key) => String::from_utf8_lossy(key.as_bytes()).into_owned(),
        None => body_key(parts.method.as_str(), path, &body),
    };
    let (executions, delay) = match service.record_execution(&key) {
        Ok(recorded) => recorded,
        Err(error) => return journal_error(&error).into_response(),
    };
    tokio::time::sleep(delay).await;
    let response = CallResponse {
        service: service.settings.name.clone(),
        method: Name::from(parts.method.as_str().to_owned()),
        path: Name::from(path.to_owned()),
        body: Name::from(String::from_utf8_lossy(&body).into_owned()),
        executions,
    };
    server::json_response(StatusCode::OK, &response)
}

fn journal_error(error: &Error) -> Refusal {
    Refusal {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        message: Name::from(error.to_string()),
    }
}

fn body_key(method: &str, path: &str, body: &Bytes) -> String {
    format!("{method} {path} {}", String::from_utf8_lossy(body))
}

impl ExecutionCounts {
    fn open(settings: &Settings) -> Result<Self> {
        let mut counts = Self {
            executions: Executions::new(),
            journal: None,
            random_state: settings.seed,
        };
        if settings.journal_file.is_empty() {
            return Ok(counts);
        }
        let path = settings.journal_file.as_str();
        let mut options = std::fs::OpenOptions::new();
        counts.journal = Some(options.create(true).append(true).open(path)?);
        for line in std::fs::read_to_string(path)?.lines() {
            *counts.executions.entry(line.to_owned()).or_default() += 1;
        }
        Ok(counts)
    }
}

impl Service {
    /// Records an execution and returns the call's number of executions and its delay.
    fn record_execution(&self, key: &str) -> Result<(u32, Duration)> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let key = key.replace('\n', " ");
        if let Some(journal) = &mut counts.journal {
            journal.write_all(format!("{key}\n").as_bytes())?;
        }
        let executions = counts.executions.entry(key).or_default();
        *executions += 1;
        let executions = *executions;
        let spread_ms =
            server::next_random(&mut counts.random_state) * self.settings.delay_spread_ms;
        let delay_ms = (self.settings.delay_ms + spread_ms) / self.settings.time_scale;
        Ok((executions, Duration::from_secs_f64(delay_ms / 1_000.0)))
    }

    fn load_report(&self) -> Response {
        let elapsed_ms = self.started.elapsed().as_secs_f64() * 1_000.0;
        let report = LoadReport {
            at_ms: (elapsed_ms * self.settings.time_scale) as u64,
            running: self.running.load(Ordering::Relaxed),
            ..LoadReport::default()
        };
        server::json_response(StatusCode::OK, &report)
    }

    fn executions(&self) -> Response {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        server::json_response(StatusCode::OK, &json!(counts.executions))
    }
}
