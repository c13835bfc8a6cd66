//! Stand-in language-model engine.

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
    End, Result, Running,
    batch::{Batch, Job, Progress, Speeds},
    cache::{CacheEvent, EventLog},
    order::{Order, Orders, Outcome},
    prompt::{self, ChatRequest, KvBlock},
    server::{self, Refusal, Stop},
    store,
};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Load reports that are kept to be shown late.
const LOAD_HISTORY: usize = 4_096;

/// Settings of a stand-in engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// IP address and port. Port 0 takes a free one.
    pub listen: Name,
    /// Seed of lost cache events.
    pub seed: u64,
    /// Simulated milliseconds in a real one. It applies to every speed and time below.
    pub time_scale: f64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// Role at the start.
    pub role: Role,
    /// Models as `MODEL@VERSION` and adapters as `MODEL:ADAPTER` loaded at the start.
    pub models: Vec<Name>,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated a second, over all running requests.
    pub decode_tokens_per_s: f64,
    /// Output tokens generated a second for one request.
    pub request_tokens_per_s: f64,
    /// Speed of the work that the engine's role is not meant for, from 0 to 1.
    pub off_role_speed: f64,
    /// Speed of either work while a mixed engine does both, from 0 to 1.
    pub mixed_speed: f64,
    /// Requests that run at once.
    pub max_running: usize,
    /// Requests that wait at most.
    pub max_waiting: usize,
    /// Tokens in one cache chunk.
    pub chunk_tokens: u32,
    /// Chunks that the prefix cache holds.
    pub cache_chunks: usize,
    /// Tokens of KV cache moved a second by export and import.
    pub kv_tokens_per_s: f64,
    /// Time until a cache event can be read.
    pub event_delay_ms: f64,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Age of the load report that is shown.
    pub load_lag_ms: f64,
    /// Time that a role change takes at least.
    pub role_change_ms: f64,
    /// Time that a load takes without a weight store.
    pub load_ms: f64,
    /// URL of the platform's weight store. Empty if there is none.
    pub weight_store_url: Name,
    /// Real interval between two steps of the batch.
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
    fn speeds(&self) -> Speeds {
        Speeds {
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

/// Reply of `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time of the report on the engine's clock.
    pub at_ms: u64,
    /// Age of the report when it was read.
    pub age_ms: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens not yet computed.
    pub prompt_tokens_waiting: u32,
    /// Tokens generated so far for the running requests.
    pub output_tokens_running: u32,
    /// Chunks in the prefix cache.
    pub kv_chunks_used: u32,
    /// Chunks that the prefix cache holds.
    pub kv_chunks_total: u32,
    /// Role in effect.
    pub role: Role,
    /// Loaded models and adapters.
    pub models: Vec<Name>,
    /// Epoch of the last accepted order.
    pub epoch: u64,
    /// Sequence of the last accepted order.
    pub sequence: u64,
}

/// Reply of `GET /cache/events`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Events by rising number. A missing number is a lost event.
    pub events: Vec<CacheEvent>,
}

/// One finished request, for `GET /debug/requests`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Request id.
    pub id: Name,
    /// Priority, 0 most urgent.
    pub priority: u32,
    /// Tokens of the prompt and the resumed text.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the cache or imported.
    pub cached_tokens: u32,
    /// Tokens that were already delivered when it came.
    pub resumed_tokens: u32,
    /// `stop`, `cancelled` or `abandoned`.
    pub end: Name,
}

/// Query of `GET /cache/events`.
#[derive(Debug, Default, Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

/// Body of `POST /kv/export`: a request by id, or chunks.
#[derive(Debug, Default, Deserialize)]
struct ExportRequest {
    #[serde(default)]
    request_id: Option<Name>,
    #[serde(default)]
    chunks: Vec<Name>,
}

/// Piece of an answer on its way to the caller.
#[derive(Debug)]
enum Piece {
    Token { index: u32, text: Name },
    Finish { reason: &'static str },
    Done,
}

#[derive(Debug)]
struct Answer {
    sender: mpsc::UnboundedSender<Piece>,
    seed: u64,
    priority: u32,
    resumed_tokens: u32,
    prompt_tokens: u32,
    cached_tokens: u32,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    orders: Orders,
    events: EventLog,
    answers: Map<Name, Answer>,
    loads: VecDeque<(f64, LoadReport)>,
    requests: Vec<RequestRecord>,
    random: u64,
    next_id: u64,
    stepped_ms: f64,
}

/// The engine behind all its routes.
#[derive(Debug)]
struct Engine {
    settings: Settings,
    started: Instant,
    state: Mutex<State>,
    stop: Stop,
}

/// Starts an engine inside this process.
///
/// # Errors
///
/// Returns an error if the address is invalid or cannot be bound.
pub fn start(settings: Settings) -> Result<Running> {
    let listen = settings.listen.clone();
    server::start(&listen, move |stop| {
        let engine = Arc::new(Engine::new(settings, stop));
        tokio::spawn(step_forever(engine.clone()));
        router(engine)
    })
}

/// Runs an engine until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, or after a crash on command.
pub async fn serve(settings: Settings) -> Result<()> {
    server::run(start(settings)?).await
}

fn router(engine: Arc<Engine>) -> Router {
    let [
        chat,
        cancel,
        load,
        events,
        order,
        read_order,
        export,
        import,
        crash,
        log,
        requests,
    ] = std::array::from_fn(|_| engine.clone());
    Router::new()
        .route(
            "/v1/chat/completions",
            post(move |request: Request| complete(chat, request)),
        )
        .route(
            "/requests/{id}",
            delete(move |id: PathParams<String>| async move { cancel.cancel(&Name::from(id.0)) }),
        )
        .route("/load", get(move || async move { json_ok(&load.load()) }))
        .route(
            "/cache/events",
            get(move |query: Query<AfterQuery>| async move {
                json_ok(&events.cache_events(query.0.after))
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
                crash.stop.end(End::Crashed);
                StatusCode::OK
            }),
        )
        .route(
            "/debug/orders",
            get(move || async move { json_ok(log.lock().orders.records()) }),
        )
        .route(
            "/debug/requests",
            get(move || async move { json_ok(&requests.lock().requests) }),
        )
}

async fn step_forever(engine: Arc<Engine>) {
    let mut interval = tokio::time::interval(Duration::from_millis(engine.settings.step_ms.max(1)));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        engine.step();
    }
}

async fn complete(engine: Arc<Engine>, request: Request) -> Response {
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
        Ok(accepted) if chat.stream => stream_answer(&chat, accepted),
        Ok(accepted) => whole_answer(&chat, accepted).await,
        Err(refusal) => refusal.into_response(),
    }
}

/// A request that is in the batch.
struct Accepted {
    id: Name,
    pieces: mpsc::UnboundedReceiver<Piece>,
    prompt_tokens: u32,
}

impl Engine {
    fn new(settings: Settings, stop: Stop) -> Self {
        let batch = Batch::new(settings.speeds(), settings.cache_chunks);
        let orders = Orders::new(settings.fencing, settings.role, settings.models.clone());
        let state = State {
            batch,
            orders,
            events: EventLog::default(),
            answers: Map::default(),
            loads: VecDeque::new(),
            requests: Vec::new(),
            random: settings.seed,
            next_id: 0,
            stepped_ms: 0.0,
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

    /// Simulated time since the start.
    fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1_000.0 * self.settings.time_scale
    }

    fn real(&self, simulated_ms: f64) -> Duration {
        Duration::from_secs_f64(simulated_ms.max(0.0) / 1_000.0 / self.settings.time_scale)
    }

    fn step(&self) {
        let now_ms = self.now_ms();
        let mut state = self.lock();
        state.drop_abandoned();
        let elapsed_ms = now_ms - state.stepped_ms;
        state.stepped_ms = now_ms;
        let role = state.orders.state().role;
        for progress in state.batch.step(elapsed_ms, role) {
            state.deliver(&progress);
        }
        let idle = state.batch.is_idle();
        state.orders.finish_role_change(now_ms, idle);
        state.publish_events(&self.settings, now_ms);
        state.record_load(&self.settings, now_ms);
    }

    fn admit(
        &self,
        headers: &HeaderMap,
        chat: &ChatRequest,
    ) -> std::result::Result<Accepted, Refusal> {
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
        let job = self.job(id.clone(), headers, chat, delivered_tokens);
        let prompt_tokens = job.prompt_tokens;
        let (sender, pieces) = mpsc::unbounded_channel();
        let answer = Answer {
            sender,
            seed: prompt::answer_seed(&chat.prompt_text()),
            priority: job.priority,
            resumed_tokens: delivered_tokens,
            prompt_tokens,
            cached_tokens: 0,
        };
        state.answers.insert(id.clone(), answer);
        state.batch.push(job);
        Ok(Accepted {
            id,
            pieces,
            prompt_tokens,
        })
    }

    fn job(&self, id: Name, headers: &HeaderMap, chat: &ChatRequest, delivered_tokens: u32) -> Job {
        let text = chat.prompt_text();
        let chunks = prompt::chunk_hashes(&chat.model, &text, self.settings.chunk_tokens);
        let imported = chat.kv_import.as_ref().map_or(&[][..], |kv| &kv.chunks);
        let imported_chunks = imported
            .iter()
            .zip(&chunks)
            .take_while(|(name, chunk)| prompt::parse_chunk_name(name) == Some(**chunk))
            .count();
        Job {
            id,
            priority: header(headers, "x-priority")
                .and_then(|value| value.parse().ok())
                .unwrap_or_default(),
            prompt_tokens: prompt::token_count(&text).saturating_add(delivered_tokens),
            chunks,
            imported_chunks,
            delivered_tokens,
            answer_tokens: chat.answer_tokens(),
        }
    }

    fn cancel(&self, id: &Name) -> Response {
        let mut state = self.lock();
        match state.batch.cancel(id) {
            Some(tokens) => {
                state.end(id, "cancelled");
                json_ok(&json!({ "cancelled": id, "delivered_tokens": tokens }))
            }
            None => Refusal::new(StatusCode::NOT_FOUND, "no such request").into_response(),
        }
    }

    /// The newest report that is old enough to be shown.
    fn load(&self) -> LoadReport {
        let now_ms = self.now_ms();
        let state = self.lock();
        let shown = state
            .loads
            .iter()
            .rev()
            .find(|(at_ms, _)| now_ms - at_ms >= self.settings.load_lag_ms)
            .or_else(|| state.loads.front());
        let Some((at_ms, report)) = shown else {
            return state.report(&self.settings, now_ms);
        };
        LoadReport {
            age_ms: (now_ms - at_ms).max(0.0) as u64,
            ..report.clone()
        }
    }

    fn cache_events(&self, after: u64) -> CacheEvents {
        let now_ms = self.now_ms();
        CacheEvents {
            events: self.lock().events.after(after, now_ms),
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

    /// Cancels requests whose caller has gone.
    fn drop_abandoned(&mut self) {
        let abandoned: Vec<Name> = self
            .answers
            .iter()
            .filter(|(_, answer)| answer.sender.is_closed())
            .map(|(id, _)| id.clone())
            .collect();
        for id in abandoned {
            self.batch.cancel(&id);
            self.end(&id, "abandoned");
        }
    }

    fn deliver(&mut self, progress: &Progress) {
        let Some(answer) = self.answers.get_mut(&progress.id) else {
            return;
        };
        answer.cached_tokens = progress.cached_tokens;
        for index in progress.from..progress.to {
            let text = prompt::token_of(answer.seed, index);
            // A closed channel is found by `drop_abandoned`.
            let _ = answer.sender.send(Piece::Token { index, text });
        }
        if progress.finished {
            self.end(&progress.id, "stop");
        }
    }

    fn end(&mut self, id: &Name, reason: &'static str) {
        let Some(answer) = self.answers.remove(id) else {
            return;
        };
        let _ = answer.sender.send(Piece::Finish { reason });
        let _ = answer.sender.send(Piece::Done);
        self.requests.push(RequestRecord {
            id: id.clone(),
            priority: answer.priority,
            prompt_tokens: answer.prompt_tokens,
            cached_tokens: answer.cached_tokens,
            resumed_tokens: answer.resumed_tokens,
            end: Name::from_static_str(reason),
        });
    }

    fn publish_events(&mut self, settings: &Settings, now_ms: f64) {
        for (change, chunk) in self.batch.cache_mut().take_changes() {
            let lost = server::next_random(&mut self.random) < settings.event_loss;
            let visible_at_ms = now_ms + settings.event_delay_ms;
            self.events.publish(change, chunk, visible_at_ms, lost);
        }
    }

    fn record_load(&mut self, settings: &Settings, now_ms: f64) {
        let report = self.report(settings, now_ms);
        self.loads.push_back((now_ms, report));
        // One report older than the lag stays, because it is the one that is shown.
        while self.loads.len() > LOAD_HISTORY
            || (self.loads.len() > 1 && now_ms - self.loads[1].0 > settings.load_lag_ms)
        {
            self.loads.pop_front();
        }
    }

    fn report(&self, settings: &Settings, now_ms: f64) -> LoadReport {
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
    let reply = state.orders.state().clone();
    let loading = reply.loading.clone().filter(|_| !was_loading);
    drop(state);
    if let Some(name) = loading {
        tokio::spawn(load_weights(engine.clone(), name));
    }
    match outcome {
        Outcome::Accepted | Outcome::Repeated => json_ok(&reply),
        Outcome::Stale | Outcome::Busy => {
            let body = json!({ "refused": outcome, "state": reply });
            server::json_reply(StatusCode::CONFLICT, &body)
        }
    }
}

async fn load_weights(engine: Arc<Engine>, name: Name) {
    let settings = &engine.settings;
    let whole = if settings.weight_store_url.is_empty() {
        tokio::time::sleep(engine.real(settings.load_ms)).await;
        true
    } else {
        store::fetch(&settings.weight_store_url, &name).await
    };
    let mut state = engine.lock();
    match whole {
        true => state.orders.finish_load(&name),
        false => state.orders.fail_load(&name),
    }
}

async fn export_kv(engine: &Engine, body: &Bytes) -> Response {
    let request: ExportRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return Refusal::bad_request(&error).into_response(),
    };
    let chunks = {
        let state = engine.lock();
        let asked = match &request.request_id {
            Some(id) => state.batch.chunks_of(id).unwrap_or_default(),
            None => parse_chunks(&request.chunks),
        };
        let cache = state.batch.cache();
        let stored = asked.iter().take_while(|chunk| cache.contains(**chunk));
        stored.copied().collect::<Vec<u64>>()
    };
    tokio::time::sleep(transfer_time(engine, chunks.len())).await;
    let chunks = chunks.into_iter().map(prompt::chunk_name).collect();
    json_ok(&KvBlock { chunks })
}

async fn import_kv(engine: &Engine, body: &Bytes) -> Response {
    let block: KvBlock = match serde_json::from_slice(body) {
        Ok(block) => block,
        Err(error) => return Refusal::bad_request(&error).into_response(),
    };
    let chunks = parse_chunks(&block.chunks);
    tokio::time::sleep(transfer_time(engine, chunks.len())).await;
    engine.lock().batch.cache_mut().store(&chunks);
    json_ok(&json!({ "imported": chunks.len() }))
}

fn parse_chunks(names: &[Name]) -> Vec<u64> {
    names
        .iter()
        .filter_map(|name| prompt::parse_chunk_name(name))
        .collect()
}

fn transfer_time(engine: &Engine, chunks: usize) -> Duration {
    let tokens = chunks as f64 * f64::from(engine.settings.chunk_tokens);
    engine.real(tokens / engine.settings.kv_tokens_per_s * 1_000.0)
}

async fn whole_answer(chat: &ChatRequest, mut accepted: Accepted) -> Response {
    let mut text = String::new();
    let mut tokens = 0;
    let mut end = "stop";
    while let Some(piece) = accepted.pieces.recv().await {
        match piece {
            Piece::Token { text: token, .. } => {
                text.push_str(&token);
                tokens += 1;
            }
            Piece::Finish { reason } => end = reason,
            Piece::Done => break,
        }
    }
    json_ok(&json!({
        "id": accepted.id,
        "object": "chat.completion",
        "model": chat.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": end,
        }],
        "usage": usage(accepted.prompt_tokens, tokens),
    }))
}

fn stream_answer(chat: &ChatRequest, accepted: Accepted) -> Response {
    let Accepted {
        id,
        mut pieces,
        prompt_tokens,
    } = accepted;
    let model = chat.model.clone();
    let mut tokens = 0;
    let frames = futures::stream::poll_fn(move |context| {
        pieces.poll_recv(context).map(|piece| {
            piece.map(|piece| {
                tokens += u32::from(matches!(piece, Piece::Token { .. }));
                let data = event_data(&id, &model, &piece, prompt_tokens, tokens);
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

fn event_data(id: &Name, model: &Name, piece: &Piece, prompt_tokens: u32, tokens: u32) -> String {
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
    match piece {
        Piece::Token { index: 0, text } => {
            let delta = json!({ "role": "assistant", "content": text });
            chunk(delta, None, None)
        }
        Piece::Token { text, .. } => chunk(json!({ "content": text }), None, None),
        Piece::Finish { reason } => {
            let usage = usage(prompt_tokens, tokens);
            chunk(json!({}), Some(reason), Some(usage))
        }
        Piece::Done => "[DONE]".to_owned(),
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
    server::json_reply(StatusCode::OK, value)
}
