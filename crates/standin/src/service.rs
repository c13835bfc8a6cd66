//! Stand-in plain service that counts how often each call ran.

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
    End, Error, Result, Running,
    server::{self, Refusal, Stop},
};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Settings of a stand-in plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// IP address and port. Port 0 takes a free one.
    pub listen: Name,
    /// Name that the answers carry.
    pub name: Name,
    /// Seed of the delays.
    pub seed: u64,
    /// Simulated milliseconds in a real one.
    pub time_scale: f64,
    /// Time that a call takes at least.
    pub delay_ms: f64,
    /// Additional time, drawn evenly from 0 to this value.
    pub delay_spread_ms: f64,
    /// File to which executions are appended, so that counts outlast a crash. Empty for none.
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

/// Reply of `GET /load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of the report on the service's clock.
    pub at_ms: u64,
    /// Age of the report when it was read.
    pub age_ms: u64,
    /// Calls running.
    pub running: u32,
    /// Calls waiting. A plain service queues nothing.
    pub waiting: u32,
}

/// How often each call ran, by `Idempotency-Key` or by `METHOD PATH BODY`.
pub type Executions = BTreeMap<String, u32>;

/// Answer of an ordinary route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallReply {
    /// Name of the service.
    pub service: Name,
    /// Method of the call.
    pub method: Name,
    /// Path of the call.
    pub path: Name,
    /// Body of the call.
    pub body: Name,
    /// How often the call has run.
    pub executions: u32,
}

#[derive(Debug)]
struct Counts {
    executions: Executions,
    journal: Option<std::fs::File>,
    random: u64,
}

#[derive(Debug)]
struct Service {
    settings: Settings,
    started: Instant,
    counts: Mutex<Counts>,
    running: AtomicU32,
    stop: Stop,
}

/// Counts a call as running until it is dropped.
struct RunningCall<'a>(&'a AtomicU32);

impl<'a> RunningCall<'a> {
    fn new(running: &'a AtomicU32) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self(running)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts a plain service inside this process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound or the journal cannot be read.
pub fn start(settings: Settings) -> Result<Running> {
    let counts = Counts::open(&settings)?;
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

/// Runs a plain service until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, or after a crash on command.
pub async fn serve(settings: Settings) -> Result<()> {
    server::run(start(settings)?).await
}

fn router(service: Arc<Service>) -> Router {
    let [call, load, executions, crash] = std::array::from_fn(|_| service.clone());
    Router::new()
        .route("/load", get(move || async move { load.load() }))
        .route(
            "/debug/executions",
            get(move || async move { executions.executions() }),
        )
        .route(
            "/debug/crash",
            post(move || async move {
                crash.stop.end(End::Crashed);
                StatusCode::OK
            }),
        )
        .fallback(move |request: Request| run_call(call, request))
}

async fn run_call(service: Arc<Service>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let body = match server::read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return refusal.into_response(),
    };
    let _running = RunningCall::new(&service.running);
    let path = parts.uri.path();
    let key = match parts.headers.get("idempotency-key") {
        Some(key) => String::from_utf8_lossy(key.as_bytes()).into_owned(),
        None => body_key(parts.method.as_str(), path, &body),
    };
    let (executions, delay) = match service.execute(&key) {
        Ok(executed) => executed,
        Err(error) => return journal_failure(&error).into_response(),
    };
    tokio::time::sleep(delay).await;
    let reply = CallReply {
        service: service.settings.name.clone(),
        method: Name::from(parts.method.as_str().to_owned()),
        path: Name::from(path.to_owned()),
        body: Name::from(String::from_utf8_lossy(&body).into_owned()),
        executions,
    };
    server::json_reply(StatusCode::OK, &reply)
}

fn journal_failure(error: &Error) -> Refusal {
    Refusal {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        message: Name::from(error.to_string()),
    }
}

fn body_key(method: &str, path: &str, body: &Bytes) -> String {
    format!("{method} {path} {}", String::from_utf8_lossy(body))
}

impl Counts {
    fn open(settings: &Settings) -> Result<Self> {
        let mut counts = Self {
            executions: Executions::new(),
            journal: None,
            random: settings.seed,
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
    /// Counts an execution and returns the call's count and its delay.
    fn execute(&self, key: &str) -> Result<(u32, Duration)> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let key = key.replace('\n', " ");
        if let Some(journal) = &mut counts.journal {
            journal.write_all(format!("{key}\n").as_bytes())?;
        }
        let executions = counts.executions.entry(key).or_default();
        *executions += 1;
        let executions = *executions;
        let spread_ms = server::next_random(&mut counts.random) * self.settings.delay_spread_ms;
        let delay_ms = (self.settings.delay_ms + spread_ms) / self.settings.time_scale;
        Ok((executions, Duration::from_secs_f64(delay_ms / 1_000.0)))
    }

    fn load(&self) -> Response {
        let elapsed_ms = self.started.elapsed().as_secs_f64() * 1_000.0;
        let report = LoadReport {
            at_ms: (elapsed_ms * self.settings.time_scale) as u64,
            running: self.running.load(Ordering::Relaxed),
            ..LoadReport::default()
        };
        server::json_reply(StatusCode::OK, &report)
    }

    fn executions(&self) -> Response {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        server::json_reply(StatusCode::OK, &json!(counts.executions))
    }
}
