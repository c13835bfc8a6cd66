//! Stand-in for a language-model engine.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use conf::{Fencing, Map, Name, Role};
use http::{HeaderMap, StatusCode};
use http_body::Frame;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{
        IntoResponse, Router,
        extract::Query,
        param::PathParams,
        route::{delete, get, post},
    },
};

use crate::{
    ExitReason, Result, RunningStandin,
    batch::{Batch, BatchRequest, BatchSettings, Progress},
    cache::{CacheEvent, CacheEventLog},
    order::{Order, OrderDecision, OrderHandler},
    prompt::{self, ChatRequest, KvTransfer},
    server::{self, Refusal, StopHandle},
    store,
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of load reports that are kept until they are old enough to be shown.
const MAX_LOAD_REPORTS: usize = 4_096;

/// Settings of a stand-in engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// IP address and port to listen on. Port 0 selects a free port.
    pub listen: Name,
    /// Seed of the random choice of lost cache events.
    pub seed: u64,
    /// Number of simulated milliseconds per real millisecond. It applies to all speeds and times except `step_ms`.
    pub time_scale: f64,
    /// Whether the engine refuses orders with an old fencing number.
    pub fencing: Fencing,
    /// Role at the start.
    pub role: Role,
    /// Models as `MODEL@VERSION` and adapters as `MODEL:ADAPTER` that are loaded at the start.
    pub models: Vec<Name>,
    /// Prefill speed, in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Decode speed over all running requests, in output tokens per second.
    pub decode_tokens_per_s: f64,
    /// Maximum decode speed of one request, in output tokens per second.
    pub request_tokens_per_s: f64,
    /// Relative speed of decode on a prefill engine and of prefill on a decode engine, from 0 to 1.
    pub off_role_speed: f64,
    /// Relative speed of prefill and decode while a mixed engine does both, from 0 to 1.
    pub mixed_speed: f64,
    /// Maximum number of running requests.
    pub max_running: usize,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Number of tokens in one cache chunk.
    pub chunk_tokens: u32,
    /// Capacity of the prefix cache, in chunks.
    pub cache_chunks: usize,
    /// Speed of KV cache export and import, in tokens per second.
    pub kv_tokens_per_s: f64,
    /// Time until a cache event becomes visible, in milliseconds.
    pub event_delay_ms: f64,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Minimum age of the load report that is shown, in milliseconds.
    pub load_lag_ms: f64,
    /// Minimum duration of a role change, in milliseconds.
    pub role_change_ms: f64,
    /// Time to load a model if there is no weight store, in milliseconds.
    pub load_ms: f64,
    /// URL of the platform's weight store. Empty if there is none.
    pub weight_store_url: Name,
    /// Interval between two steps of the batch, in real milliseconds.
    pub step_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: Name::from_static_str("127.0.0.1:0"),
            seed: 1,
            time_scale: 1.0,
            fencing: Fencing::Enforced,
            role: Role::Mixed,
            models: vec![Name::from_static_str("assistant@1")],
            prefill_tokens_per_s: 20_000.0,
            decode_tokens_per_s: 1_000.0,
            request_tokens_per_s: 60.0,
            off_role_speed: 0.25,
            mixed_speed: 0.75,
            max_running: 32,
            max_waiting: 256,
            chunk_tokens: 4_000,
            cache_chunks: 64,
            kv_tokens_per_s: 400_000.0,
            event_delay_ms: 200.0,
            event_loss: 0.02,
            load_lag_ms: 200.0,
            role_change_ms: 3_000.0,
            load_ms: 1_000.0,
            weight_store_url: Name::default(),
            step_ms: 5,
        }
    }
}

impl Settings {
    fn batch_settings(&self) -> BatchSettings {
        BatchSettings {
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            decode_tokens_per_s: self.decode_tokens_per_s,
            request_tokens_per_s: self.request_tokens_per_s,
            off_role_speed: self.off_role_speed,
            mixed_speed: self.mixed_speed,
            max_running: self.max_running,
            max_waiting: self.max_waiting,
            chunk_tokens: self.chunk_tokens,
        }
    }
}

/// Response to `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of the report since the engine started, in simulated milliseconds.
    pub at_ms: u64,
    /// Age of the report when it was read, in simulated milliseconds.
    pub age_ms: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of prompt tokens that have not been prefilled yet.
    pub prompt_tokens_waiting: u32,
    /// Number of tokens generated so far for the running requests.
    pub output_tokens_running: u32,
    /// Number of chunks in the prefix cache.
    pub kv_chunks_used: u32,
    /// Capacity of the prefix cache, in chunks.
    pub kv_chunks_total: u32,
    /// Role in effect.
    pub role: Role,
    /// Loaded models and adapters.
    pub models: Vec<Name>,
    /// Epoch of the last accepted order.
    pub epoch: u64,
    /// Sequence number of the last accepted order.
    pub sequence: u64,
}

/// Response to `GET /cache/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events in ascending order of their numbers. A gap in the numbers means that an event was lost.
    pub events: Vec<CacheEvent>,
}

/// One ended request in the response to `GET /debug/requests`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Request id.
    pub id: Name,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of tokens of the prompt and of the resumed text.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that were found in the cache or imported.
    pub cached_tokens: u32,
    /// Number of answer tokens that had been delivered before the request arrived.
    pub resumed_tokens: u32,
    /// How the request ended: `stop`, `cancelled` or `abandoned`.
    pub end: Name,
}

/// Query parameters of `GET /cache/events`.
#[derive(Debug, Default, Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

/// Body of `POST /kv/export`, which names a request or chunks.
#[derive(Debug, Default, Deserialize)]
struct ExportRequest {
    #[serde(default)]
    request_id: Option<Name>,
    #[serde(default)]
    chunks: Vec<Name>,
}

/// Event of an answer that is passed from the batch to the HTTP response.
#[derive(Debug)]
enum AnswerEvent {
    Token { index: u32, text: Name },
    Finish { reason: &'static str },
    Done,
}

#[derive(Debug)]
struct PendingAnswer {
    sender: mpsc::UnboundedSender<AnswerEvent>,
    seed: u64,
    priority: u32,
    resumed_tokens: u32,
    prompt_tokens: u32,
    cached_tokens: u32,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    orders: OrderHandler,
    cache_events: CacheEventLog,
    answers: Map<Name, PendingAnswer>,
    load_reports: VecDeque<(f64, LoadReport)>,
    requests: Vec<RequestRecord>,
    random_state: u64,
    next_id: u64,
    last_step_ms: f64,
}

/// State that all routes of the engine share.
#[derive(Debug)]
struct Engine {
    settings: Settings,
    started: Instant,
    state: Mutex<State>,
    stop: StopHandle,
}

/// Starts a stand-in engine inside this process.
///
/// # Errors
///
/// Returns an error if the address is invalid or cannot be bound.
pub fn start(settings: Settings) -> Result<RunningStandin> {
    let listen = settings.listen.clone();
    server::start(&listen, move |stop| {
        let engine = Arc::new(Engine::new(settings, stop));
        tokio::spawn(run_steps(engine.clone()));
        router(engine)
    })
}

/// Runs a stand-in engine until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, or after a requested crash.
pub async fn serve(settings: Settings) -> Result<()> {
    server::run(start(settings)?).await
}

fn router(engine: Arc<Engine>) -> Router {
    let [
        chat,
        cancel,
        load,
        cache_events,
        order,
        read_order,
        export,
        import,
        crash,
        order_log,
        requests,
    ] = std::array::from_fn(|_| engine.clone());
    Router::new()
        .route(
            "/v1/chat/completions",
            post(move |request: Request| chat_completion(chat, request)),
        )
        .route(
            "/requests/{id}",
            delete(move |id: PathParams<String>| async move { cancel.cancel(&Name::from(id.0)) }),
        )
        .route(
            "/load",
            get(move || async move { json_ok(&load.load_report()) }),
        )
        .route(
            "/cache/events",
            get(move |query: Query<AfterQuery>| async move {
                json_ok(&cache_events.cache_events(query.0.after))
            }),
        )
        .route(
            "/order",
            post(move |body: Bytes| async move { receive_order(&order, &body) })
                .get(move || async move { json_ok(read_order.lock().orders.state()) }),
        )
        .route(
            "/kv/export",
            post(move |body: Bytes| async move { export_kv(&export, &body).await }),
        )
        .route(
            "/kv/import",
            post(move |body: Bytes| async move { import_kv(&import, &body).await }),
        )
        .route(
            "/debug/crash",
            post(move || async move {
                crash.stop.end(ExitReason::Crashed);
                StatusCode::OK
            }),
        )
        .route(
            "/debug/orders",
            get(move || async move { json_ok(order_log.lock().orders.records()) }),
        )
        .route(
            "/debug/requests",
            get(move || async move { json_ok(&requests.lock().requests) }),
        )
}

async fn run_steps(engine: Arc<Engine>) {
    let mut interval = tokio::time::interval(Duration::from_millis(engine.settings.step_ms.max(1)));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        engine.step();
    }
}

async fn chat_completion(engine: Arc<Engine>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let body = match server::read_body(body, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(refusal) => return refusal.into_response(),
    };
    let chat: ChatRequest = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(error) => return Refusal::bad_request(&error).into_response(),
    };
    match engine.admit(&parts.headers, &chat) {
        Ok(admitted) if chat.stream => stream_answer(&chat, admitted),
        Ok(admitted) => buffer_answer(&chat, admitted).await,
        Err(refusal) => refusal.into_response(),
    }
}

/// A request that was admitted to the batch.
struct AdmittedRequest {
    id: Name,
    events: mpsc::UnboundedReceiver<AnswerEvent>,
    prompt_tokens: u32,
}

impl Engine {
    fn new(settings: Settings, stop: StopHandle) -> Self {
        let batch = Batch::new(settings.batch_settings(), settings.cache_chunks);
        let orders = OrderHandler::new(settings.fencing, settings.role, settings.models.clone());
        let state = State {
            batch,
            orders,
            cache_events: CacheEventLog::default(),
            answers: Map::default(),
            load_reports: VecDeque::new(),
            requests: Vec::new(),
            random_state: settings.seed,
            next_id: 0,
            last_step_ms: 0.0,
        };
        Self {
            settings,
            started: Instant::now(),
            state: Mutex::new(state),
            stop,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start, in simulated milliseconds.
    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1_000.0 * self.settings.time_scale
    }

    fn real_duration(&self, simulated_ms: f64) -> Duration {
        Duration::from_secs_f64(simulated_ms.max(0.0) / 1_000.0 / self.settings.time_scale)
    }

    fn step(&self) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.cancel_abandoned();
        let elapsed_ms = now_ms - state.last_step_ms;
        state.last_step_ms = now_ms;
        let role = state.orders.state().role;
        for progress in state.batch.step(elapsed_ms, role) {
            state.deliver(&progress);
        }
        let idle = state.batch.is_idle();
        state.orders.finish_role_change(now_ms, idle);
        state.publish_cache_events(&self.settings, now_ms);
        state.record_load(&self.settings, now_ms);
    }

    fn admit(
        &self,
        headers: &HeaderMap,
        chat: &ChatRequest,
    ) -> std::result::Result<AdmittedRequest, Refusal> {
        let mut state = self.lock();
        if !state.orders.serves(&chat.model) {
            return Err(Refusal::new(StatusCode::NOT_FOUND, "model is not loaded"));
        }
        if state.orders.is_changing() {
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "role change"));
        }
        if state.batch.is_full() {
            return Err(Refusal::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "queue is full",
            ));
        }
        let Some(delivered_tokens) = chat.resume_tokens() else {
            let message = "resume_text is not the start of the answer";
            return Err(Refusal::new(StatusCode::BAD_REQUEST, message));
        };
        let id = state.request_id(headers);
        if state.batch.contains(&id) {
            return Err(Refusal::new(StatusCode::CONFLICT, "request id is in use"));
        }
        let request = self.batch_request(id.clone(), headers, chat, delivered_tokens);
        let prompt_tokens = request.prompt_tokens;
        let (sender, events) = mpsc::unbounded_channel();
        let answer = PendingAnswer {
            sender,
            seed: prompt::answer_seed(&chat.prompt_text()),
            priority: request.priority,
            resumed_tokens: delivered_tokens,
            prompt_tokens,
            cached_tokens: 0,
        };
        state.answers.insert(id.clone(), answer);
        state.batch.push(request);
        Ok(AdmittedRequest {
            id,
            events,
            prompt_tokens,
        })
    }

    fn batch_request(
        &self,
        id: Name,
        headers: &HeaderMap,
        chat: &ChatRequest,
        delivered_tokens: u32,
    ) -> BatchRequest {
        let text = chat.prompt_text();
        let chunk_hashes = prompt::chunk_hashes(&chat.model, &text, self.settings.chunk_tokens);
        let imported = chat.kv_import.as_ref().map_or(&[][..], |kv| &kv.chunks);
        let imported_chunks = imported
            .iter()
            .zip(&chunk_hashes)
            .take_while(|(name, hash)| prompt::parse_chunk_hash(name) == Some(**hash))
            .count();
        BatchRequest {
            id,
            priority: header(headers, "x-priority")
                .and_then(|value| value.parse().ok())
                .unwrap_or_default(),
            prompt_tokens: prompt::token_count(&text).saturating_add(delivered_tokens),
            chunk_hashes,
            imported_chunks,
            delivered_tokens,
            answer_tokens: chat.answer_tokens(),
        }
    }

    fn cancel(&self, id: &Name) -> Response {
        let mut state = self.lock();
        match state.batch.cancel(id) {
            Some(tokens) => {
                state.end_request(id, "cancelled");
                json_ok(&json!({ "cancelled": id, "delivered_tokens": tokens }))
            }
            None => Refusal::new(StatusCode::NOT_FOUND, "no such request").into_response(),
        }
    }

    /// Returns the newest load report that is at least `load_lag_ms` old, or the oldest report if none is.
    fn load_report(&self) -> LoadReport {
        let now_ms = self.now_ms();
        let state = self.lock();
        let shown = state
            .load_reports
            .iter()
            .rev()
            .find(|(at_ms, _)| now_ms - at_ms >= self.settings.load_lag_ms)
            .or_else(|| state.load_reports.front());
        let Some((at_ms, report)) = shown else {
            return state.current_load_report(&self.settings, now_ms);
        };
        LoadReport {
            age_ms: (now_ms - at_ms).max(0.0) as u64,
            ..report.clone()
        }
    }

    fn cache_events(&self, after: u64) -> CacheEvents {
        let now_ms = self.now_ms();
        CacheEvents {
            events: self.lock().cache_events.after(after, now_ms),
        }
    }
}

impl State {
    fn request_id(&mut self, headers: &HeaderMap) -> Name {
        self.next_id += 1;
        match header(headers, "x-request-id") {
            Some(id) => Name::from(id.to_owned()),
            None => Name::from(format!("request-{}", self.next_id)),
        }
    }

    /// Cancels requests whose callers have disconnected.
    fn cancel_abandoned(&mut self) {
        let abandoned: Vec<Name> = self
            .answers
            .iter()
            .filter(|(_, answer)| answer.sender.is_closed())
            .map(|(id, _)| id.clone())
            .collect();
        for id in abandoned {
            self.batch.cancel(&id);
            self.end_request(&id, "abandoned");
        }
    }

    fn deliver(&mut self, progress: &Progress) {
        let Some(answer) = self.answers.get_mut(&progress.id) else {
            return;
        };
        answer.cached_tokens = progress.cached_tokens;
        for index in progress.from..progress.to {
            let text = prompt::token_text(answer.seed, index);
            // `cancel_abandoned` handles a closed channel.
            let _ = answer.sender.send(AnswerEvent::Token { index, text });
        }
        if progress.finished {
            self.end_request(&progress.id, "stop");
        }
    }

    fn end_request(&mut self, id: &Name, reason: &'static str) {
        let Some(answer) = self.answers.remove(id) else {
            return;
        };
        let _ = answer.sender.send(AnswerEvent::Finish { reason });
        let _ = answer.sender.send(AnswerEvent::Done);
        self.requests.push(RequestRecord {
            id: id.clone(),
            priority: answer.priority,
            prompt_tokens: answer.prompt_tokens,
            cached_tokens: answer.cached_tokens,
            resumed_tokens: answer.resumed_tokens,
            end: Name::from_static_str(reason),
        });
    }

    fn publish_cache_events(&mut self, settings: &Settings, now_ms: f64) {
        for (change, chunk) in self.batch.cache_mut().take_changes() {
            let lost = server::next_random(&mut self.random_state) < settings.event_loss;
            let visible_at_ms = now_ms + settings.event_delay_ms;
            self.cache_events
                .publish(change, chunk, visible_at_ms, lost);
        }
    }

    fn record_load(&mut self, settings: &Settings, now_ms: f64) {
        let report = self.current_load_report(settings, now_ms);
        self.load_reports.push_back((now_ms, report));
        // One report that is older than the lag is kept, because it is the one that is shown.
        while self.load_reports.len() > MAX_LOAD_REPORTS
            || (self.load_reports.len() > 1
                && now_ms - self.load_reports[1].0 > settings.load_lag_ms)
        {
            self.load_reports.pop_front();
        }
    }

    fn current_load_report(&self, settings: &Settings, now_ms: f64) -> LoadReport {
        let counts = self.batch.counts();
        let orders = self.orders.state();
        LoadReport {
            at_ms: now_ms as u64,
            age_ms: 0,
            running: counts.running,
            waiting: counts.waiting,
            prompt_tokens_waiting: counts.prompt_tokens_waiting,
            output_tokens_running: counts.output_tokens_running,
            kv_chunks_used: self.batch.cache().len() as u32,
            kv_chunks_total: settings.cache_chunks as u32,
            role: orders.role,
            models: orders.models.clone(),
            epoch: orders.epoch,
            sequence: orders.sequence,
        }
    }
}

fn receive_order(engine: &Arc<Engine>, body: &Bytes) -> Response {
    let order: Order = match serde_json::from_slice(body) {
        Ok(order) => order,
        Err(error) => return Refusal::bad_request(&error).into_response(),
    };
    let now_ms = engine.now_ms();
    let mut state = engine.lock();
    let was_loading = state.orders.state().loading.is_some();
    let outcome = state
        .orders
        .receive(order, now_ms, engine.settings.role_change_ms);
    let order_state = state.orders.state().clone();
    let loading = order_state.loading.clone().filter(|_| !was_loading);
    drop(state);
    if let Some(name) = loading {
        tokio::spawn(load_weights(engine.clone(), name));
    }
    match outcome {
        OrderDecision::Accepted | OrderDecision::Repeated => json_ok(&order_state),
        OrderDecision::Stale | OrderDecision::Busy => {
            let body = json!({ "refused": outcome, "state": order_state });
            server::json_response(StatusCode::CONFLICT, &body)
        }
    }
}

async fn load_weights(engine: Arc<Engine>, name: Name) {
    let settings = &engine.settings;
    let is_complete = if settings.weight_store_url.is_empty() {
        tokio::time::sleep(engine.real_duration(settings.load_ms)).await;
        true
    } else {
        store::fetch(&settings.weight_store_url, &name).await
    };
    let mut state = engine.lock();
    match is_complete {
        true => state.orders.finish_load(&name),
        false => state.orders.abandon_load(&name),
    }
}

async fn export_kv(engine: &Engine, body: &Bytes) -> Response {
    let request: ExportRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return Refusal::bad_request(&error).into_response(),
    };
    let chunks = {
        let state = engine.lock();
        let requested = match &request.request_id {
            Some(id) => state.batch.chunk_hashes_of(id).unwrap_or_default(),
            None => parse_chunk_hashes(&request.chunks),
        };
        let cache = state.batch.cache();
        let stored = requested.iter().take_while(|chunk| cache.contains(**chunk));
        stored.copied().collect::<Vec<u64>>()
    };
    tokio::time::sleep(transfer_time(engine, chunks.len())).await;
    let chunks = chunks.into_iter().map(prompt::format_chunk_hash).collect();
    json_ok(&KvTransfer { chunks })
}

async fn import_kv(engine: &Engine, body: &Bytes) -> Response {
    let transfer: KvTransfer = match serde_json::from_slice(body) {
        Ok(transfer) => transfer,
        Err(error) => return Refusal::bad_request(&error).into_response(),
    };
    let chunks = parse_chunk_hashes(&transfer.chunks);
    tokio::time::sleep(transfer_time(engine, chunks.len())).await;
    engine.lock().batch.cache_mut().store(&chunks);
    json_ok(&json!({ "imported": chunks.len() }))
}

fn parse_chunk_hashes(names: &[Name]) -> Vec<u64> {
    names
        .iter()
        .filter_map(|name| prompt::parse_chunk_hash(name))
        .collect()
}

fn transfer_time(engine: &Engine, chunks: usize) -> Duration {
    let tokens = chunks as f64 * f64::from(engine.settings.chunk_tokens);
    engine.real_duration(tokens / engine.settings.kv_tokens_per_s * 1_000.0)
}

async fn buffer_answer(chat: &ChatRequest, mut admitted: AdmittedRequest) -> Response {
    let mut text = String::new();
    let mut tokens = 0;
    let mut finish_reason = "stop";
    while let Some(event) = admitted.events.recv().await {
        match event {
            AnswerEvent::Token { text: token, .. } => {
                text.push_str(&token);
                tokens += 1;
            }
            AnswerEvent::Finish { reason } => finish_reason = reason,
            AnswerEvent::Done => break,
        }
    }
    json_ok(&json!({
        "id": admitted.id,
        "object": "chat.completion",
        "model": chat.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish_reason,
        }],
        "usage": usage(admitted.prompt_tokens, tokens),
    }))
}

fn stream_answer(chat: &ChatRequest, admitted: AdmittedRequest) -> Response {
    let AdmittedRequest {
        id,
        mut events,
        prompt_tokens,
    } = admitted;
    let model = chat.model.clone();
    let mut tokens = 0;
    let frames = futures::stream::poll_fn(move |context| {
        events.poll_recv(context).map(|event| {
            event.map(|event| {
                tokens += u32::from(matches!(event, AnswerEvent::Token { .. }));
                let data = event_data(&id, &model, &event, prompt_tokens, tokens);
                Ok(Frame::data(Bytes::from(format!("data: {data}\n\n"))))
            })
        })
    });
    let mut response = Response::new(Body::from_stream(frames));
    let content_type = http::HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

fn event_data(
    id: &Name,
    model: &Name,
    event: &AnswerEvent,
    prompt_tokens: u32,
    tokens: u32,
) -> String {
    let chunk = |delta: Value, reason: Option<&str>, usage: Option<Value>| {
        let mut chunk = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
        });
        if let Some(usage) = usage {
            chunk["usage"] = usage;
        }
        chunk.to_string()
    };
    match event {
        AnswerEvent::Token { index: 0, text } => {
            let delta = json!({ "role": "assistant", "content": text });
            chunk(delta, None, None)
        }
        AnswerEvent::Token { text, .. } => chunk(json!({ "content": text }), None, None),
        AnswerEvent::Finish { reason } => {
            let usage = usage(prompt_tokens, tokens);
            chunk(json!({}), Some(reason), Some(usage))
        }
        AnswerEvent::Done => "[DONE]".to_owned(),
    }
}

fn usage(prompt_tokens: u32, completion_tokens: u32) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn json_ok<T: Serialize + ?Sized>(value: &T) -> Response {
    server::json_response(StatusCode::OK, value)
}
