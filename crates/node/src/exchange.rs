//! One caller's request, from its arrival to the end of its answer.
//!
//! An exchange is a task. The reducer controls it with [`Control`]; it reports events. Bytes go
//! from the attempt's connection to the caller without passing through the reducer.

use std::collections::hash_map::Entry;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::{Bytes, BytesMut};
use conf::{Map, Name};
use http::request::Parts as RequestParts;
use http::response::Parts as ResponseParts;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, header};
use ledger::Answer;
use reducer::{End, Event, ExchangeId, Refusal};
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::chat::{ChatAnswer, ChatStep, HeadVerdict, event_stream_headers};
use crate::clock::Clock;
use crate::engine::EngineClient;
use crate::headers::{self, PRIORITY, REPLAYED, REQUEST_ID};
use crate::prefill::PrefillStage;
use crate::queue::EventQueue;
use crate::refusal::Refused;
use crate::reply::{self, Flow, Reply};
use crate::upstream::{Attempt, Piece, Target};

/// Largest answer body that the ledger records, in bytes.
pub const MAX_RECORDED_BYTES: usize = 256 * 1024;

/// Output tokens between two progress events. One event for each token would cost the reducer more than routing does.
const PROGRESS_TOKENS: u32 = 16;

/// What the reducer asks of an exchange.
#[derive(Debug)]
pub enum Control {
    /// Send the request to an upstream.
    Dispatch(Dispatch),
    /// Cancel an attempt at its upstream.
    Cancel { attempt: u32 },
    /// Refuse the request, or end its stream with an error.
    Refuse(Refusal),
    /// Deliver the answer that is held back.
    Deliver,
    /// Answer from the ledger.
    Replay(Answer),
}

/// Where an attempt goes.
#[derive(Debug)]
pub struct Dispatch {
    /// Number of the attempt.
    pub attempt: u32,
    /// Priority, 0 most urgent.
    pub priority: u8,
    /// Address of an engine that computes the prompt first.
    pub prefill_address: Option<Name>,
    /// Address and deadlines.
    pub target: Target,
}

/// What an exchange carries.
#[derive(Debug)]
pub enum Work {
    /// A chat completion.
    Chat(Box<ChatAnswer>),
    /// A request to a plain service.
    Plain(Box<PlainRequest>),
}

/// A request to a plain service.
#[derive(Debug)]
pub struct PlainRequest {
    /// Method, path with query, and headers for the upstream.
    pub head: RequestParts,
    /// The whole body.
    pub body: Bytes,
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// Answer of a non-idempotent request, as far as it was read.
    pub answer: Option<PlainAnswer>,
}

/// The answer of a non-idempotent request.
#[derive(Debug)]
pub struct PlainAnswer {
    head: Box<ResponseParts>,
    body: BytesMut,
    /// Whether the body is larger than the ledger records, so that it is streamed instead.
    truncated: bool,
}

/// What all exchanges of an instance share.
#[derive(Clone, Debug)]
pub struct Exchanges {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    events: EventQueue,
    engines: EngineClient,
    /// Prefix of request ids: unique among processes, so that a cancel never hits another's request.
    id_prefix: String,
    open: Mutex<Map<ExchangeId, mpsc::UnboundedSender<Control>>>,
}

impl Exchanges {
    /// Creates the table of a process.
    pub fn new(clock: Clock, events: EventQueue, engines: EngineClient, id_prefix: String) -> Self {
        let shared = Shared {
            clock,
            events,
            engines,
            id_prefix,
            open: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Opens an exchange. Its response comes through the returned receiver.
    pub fn open(&self, id: ExchangeId, work: Work) -> tokio::sync::oneshot::Receiver<Response> {
        let (sender, controls) = mpsc::unbounded_channel();
        let (reply, response) = Reply::new();
        self.lock().insert(id, sender);
        metrics::gauge!("mustardstack_open_exchanges").increment(1.0);
        let exchange = Exchange {
            shared: self.shared.clone(),
            id,
            work,
            controls,
            reply,
            running: None,
            held: None,
            caller_gone: false,
        };
        tokio::spawn(exchange.run());
        response
    }

    /// Passes a control on. Returns it if the exchange has ended.
    pub fn control(&self, id: ExchangeId, control: Control) -> Option<Control> {
        match self.lock().entry(id) {
            Entry::Occupied(entry) => entry.get().send(control).err().map(|error| error.0),
            Entry::Vacant(_) => Some(control),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<ExchangeId, mpsc::UnboundedSender<Control>>> {
        self.shared.lock()
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Map<ExchangeId, mpsc::UnboundedSender<Control>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Exchange {
    shared: Arc<Shared>,
    id: ExchangeId,
    work: Work,
    controls: mpsc::UnboundedReceiver<Control>,
    reply: Reply,
    running: Option<Running>,
    /// Answer that is delivered once the ledger has it.
    held: Option<PlainAnswer>,
    caller_gone: bool,
}

/// The attempt in progress.
struct Running {
    number: u32,
    attempt: Attempt,
    address: Name,
    started: bool,
    /// Tokens that the reducer knows of, over all attempts.
    reported_tokens: u32,
}

enum Next {
    Control(Control),
    Piece(Piece),
    Flow(Flow),
    Closed,
}

/// Whether the exchange goes on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Open,
    Done,
}

impl Exchange {
    async fn run(mut self) {
        loop {
            let stage = match self.next().await {
                Next::Control(control) => self.control(control).await,
                Next::Piece(piece) => self.piece(piece).await,
                Next::Flow(Flow::Drained) => Stage::Open,
                Next::Flow(Flow::CallerGone) => self.lose_caller().await,
                Next::Closed => Stage::Done,
            };
            if stage == Stage::Done {
                break;
            }
        }
        self.close().await;
    }

    async fn next(&mut self) -> Next {
        let blocked = self.reply.is_blocked();
        tokio::select! {
            biased;
            control = self.controls.recv() => control.map_or(Next::Closed, Next::Control),
            flow = self.reply.drive() => Next::Flow(flow),
            piece = next_piece(&mut self.running), if !blocked => Next::Piece(piece),
        }
    }

    /// Ends the exchange: what was delivered is flushed, and controls that came too late are answered.
    async fn close(mut self) {
        self.stop_attempt();
        self.shared.lock().remove(&self.id);
        metrics::gauge!("mustardstack_open_exchanges").decrement(1.0);
        self.controls.close();
        while let Ok(control) = self.controls.try_recv() {
            for event in late_control(self.id, &control) {
                self.send(event).await;
            }
        }
        self.reply.finish().await;
    }

    async fn control(&mut self, control: Control) -> Stage {
        match control {
            Control::Dispatch(dispatch) => self.dispatch(dispatch),
            Control::Cancel { attempt } => self.cancel(attempt).await,
            Control::Refuse(refusal) => return self.refuse(&refusal).await,
            Control::Deliver => return self.deliver(),
            Control::Replay(answer) => {
                self.reply.send(replayed(answer));
                return Stage::Done;
            }
        }
        Stage::Open
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        self.stop_attempt();
        let (mut head, body, reported_tokens) = match &mut self.work {
            Work::Chat(chat) => (chat_head(), chat.begin_attempt(), chat.output_tokens()),
            Work::Plain(plain) => {
                plain.answer = None;
                (plain.head.clone(), plain.body.clone(), 0)
            }
        };
        let address = dispatch.target.address.clone();
        let request_id = self.request_id(dispatch.attempt);
        set(&mut head.headers, header::HOST, &address);
        set(&mut head.headers, REQUEST_ID, &request_id);
        set(&mut head.headers, PRIORITY, &dispatch.priority.to_string());
        let prefill = dispatch
            .prefill_address
            .and_then(|address| self.prefill_stage(address, &head, &request_id));
        self.running = Some(Running {
            number: dispatch.attempt,
            attempt: Attempt::start(self.shared.clock, dispatch.target, prefill, head, body),
            address,
            started: false,
            reported_tokens,
        });
    }

    fn prefill_stage(
        &self,
        address: Name,
        head: &RequestParts,
        request_id: &str,
    ) -> Option<PrefillStage> {
        let Work::Chat(chat) = &self.work else {
            return None;
        };
        let mut head = head.clone();
        set(&mut head.headers, header::HOST, &address);
        set(
            &mut head.headers,
            REQUEST_ID,
            &format!("{request_id}-prefill"),
        );
        Some(PrefillStage {
            address,
            head,
            body: chat.prefill_body(),
            chunks: chat.chunk_names(),
        })
    }

    fn request_id(&self, attempt: u32) -> String {
        format!("{}-{}-{attempt}", self.shared.id_prefix, self.id)
    }

    async fn cancel(&mut self, attempt: u32) {
        if self
            .running
            .as_ref()
            .is_some_and(|running| running.number == attempt)
        {
            self.report_progress(0).await;
            self.stop_attempt();
            self.end(attempt, End::Cancelled).await;
        }
    }

    /// Closes the attempt's connection. An engine is also told, because it may notice a closed connection late.
    fn stop_attempt(&mut self) {
        let Some(running) = self.running.take() else {
            return;
        };
        if matches!(self.work, Work::Chat(_)) {
            let id = self.request_id(running.number);
            self.shared.engines.cancel(running.address, id);
        }
    }

    async fn refuse(&mut self, refusal: &Refusal) -> Stage {
        if let Some(number) = self.running.as_ref().map(|running| running.number) {
            self.stop_attempt();
            self.end(number, End::Cancelled).await;
        }
        let refused = Refused::from(refusal);
        if self.reply.is_waiting() {
            self.reply.send(refused.response());
        } else if matches!(self.work, Work::Chat(_)) {
            let body = refused.body();
            let mut event = BytesMut::from("data: ");
            event.extend_from_slice(&body);
            event.extend_from_slice(b"\n\n");
            self.reply.push(event.freeze());
        } else {
            self.reply.abort();
        }
        Stage::Done
    }

    /// A non-idempotent attempt goes on without its caller, because the ledger needs its outcome.
    async fn lose_caller(&mut self) -> Stage {
        self.caller_gone = true;
        self.reply.abort();
        self.send(Event::CallerGone { exchange: self.id }).await;
        let Some(number) = self.running.as_ref().map(|running| running.number) else {
            return Stage::Done;
        };
        if matches!(&self.work, Work::Plain(plain) if !plain.idempotent) {
            return Stage::Open;
        }
        self.stop_attempt();
        self.end(number, End::Cancelled).await;
        Stage::Done
    }

    async fn piece(&mut self, piece: Piece) -> Stage {
        match piece {
            Piece::NotSent => self.end_attempt(End::NotSent).await,
            Piece::Broken => self.end_attempt(End::Broken).await,
            Piece::Head(head) => self.read_head(head).await,
            Piece::Data(data) => self.read_data(data).await,
            Piece::Finished => self.read_end().await,
        }
    }

    async fn read_head(&mut self, head: Box<ResponseParts>) -> Stage {
        match &mut self.work {
            Work::Chat(chat) => match chat.read_head(head.status, &head.headers) {
                HeadVerdict::Answer => Stage::Open,
                HeadVerdict::Rejected => self.end_attempt(End::Rejected).await,
                HeadVerdict::Broken => self.end_attempt(End::Broken).await,
            },
            Work::Plain(plain) => {
                if plain.idempotent {
                    self.reply
                        .start(head.status, headers::to_caller(&head.headers));
                } else {
                    plain.answer = Some(PlainAnswer {
                        head,
                        body: BytesMut::new(),
                        truncated: false,
                    });
                }
                self.report_start().await;
                Stage::Open
            }
        }
    }

    async fn read_data(&mut self, data: Bytes) -> Stage {
        match &mut self.work {
            Work::Chat(chat) => {
                let step = chat.read_data(&data);
                self.chat_step(step).await
            }
            Work::Plain(plain) => {
                match &mut plain.answer {
                    Some(answer) => answer.push(data, &mut self.reply),
                    None => self.reply.push(data),
                }
                Stage::Open
            }
        }
    }

    async fn read_end(&mut self) -> Stage {
        match &mut self.work {
            Work::Chat(chat) => {
                if let Some((status, body)) = chat.take_refusal() {
                    return self.relay(status, body).await;
                }
                let step = chat.read_end();
                self.chat_step(step).await
            }
            Work::Plain(plain) => {
                let answer = plain.answer.take();
                self.complete_plain(answer).await
            }
        }
    }

    async fn chat_step(&mut self, step: ChatStep) -> Stage {
        match step {
            ChatStep::Nothing => {
                self.report_progress(PROGRESS_TOKENS).await;
                Stage::Open
            }
            ChatStep::Forward(bytes) => {
                self.forward(bytes);
                self.report_progress(PROGRESS_TOKENS).await;
                Stage::Open
            }
            ChatStep::Done(bytes) => {
                self.report_start().await;
                self.report_progress(0).await;
                self.complete_chat(bytes).await
            }
            ChatStep::Broken => self.end_attempt(End::Broken).await,
        }
    }

    fn forward(&mut self, bytes: Bytes) {
        let Work::Chat(chat) = &self.work else {
            return;
        };
        if !chat.is_stream() {
            return;
        }
        if self.reply.is_waiting() {
            self.reply.start(StatusCode::OK, event_stream_headers());
        }
        self.reply.push(bytes);
    }

    async fn complete_chat(&mut self, last: Bytes) -> Stage {
        self.forward(last);
        if let Work::Chat(chat) = &self.work
            && !chat.is_stream()
        {
            self.reply
                .send(json_response(StatusCode::OK, chat.whole_body()));
        }
        self.complete(None).await
    }

    /// Passes an engine's objection to the request itself on to the caller.
    async fn relay(&mut self, status: StatusCode, body: Bytes) -> Stage {
        self.reply.send(json_response(status, body));
        self.complete(None).await
    }

    async fn complete_plain(&mut self, answer: Option<PlainAnswer>) -> Stage {
        let Some(answer) = answer else {
            return self.complete(None).await;
        };
        let record = answer.record();
        self.held = Some(answer);
        self.complete(Some(record)).await;
        Stage::Open
    }

    /// Passes on the answer of a non-idempotent request after it was recorded.
    fn deliver(&mut self) -> Stage {
        if let Some(answer) = self.held.take()
            && !answer.truncated
        {
            self.reply.send(answer.response());
        }
        Stage::Done
    }

    async fn complete(&mut self, answer: Option<Answer>) -> Stage {
        // The attempt has ended by itself: its connection is dropped without a cancel.
        if let Some(running) = self.running.take() {
            self.end(running.number, End::Complete { answer }).await;
        }
        Stage::Done
    }

    /// Reports an attempt that has not completed the answer.
    async fn end_attempt(&mut self, end: End) -> Stage {
        self.report_progress(0).await;
        let Some(running) = self.running.take() else {
            return Stage::Open;
        };
        self.end(running.number, end).await;
        if self.caller_gone {
            return Stage::Done;
        }
        // Part of a plain answer was delivered and cannot be taken back or continued.
        if matches!(self.work, Work::Plain(_)) && !self.reply.is_waiting() {
            self.reply.abort();
            self.send(Event::CallerGone { exchange: self.id }).await;
            return Stage::Done;
        }
        Stage::Open
    }

    async fn report_start(&mut self) {
        let Some(running) = &mut self.running else {
            return;
        };
        if !std::mem::replace(&mut running.started, true) {
            let event = Event::Started {
                exchange: self.id,
                attempt: running.number,
            };
            self.send(event).await;
        }
    }

    /// Reports the delivered tokens if at least `step` were added since the last report.
    async fn report_progress(&mut self, step: u32) {
        let (Work::Chat(chat), Some(running)) = (&self.work, &mut self.running) else {
            return;
        };
        let output_tokens = chat.output_tokens();
        let new_tokens = output_tokens - running.reported_tokens;
        if new_tokens == 0 || (running.started && new_tokens < step) {
            return;
        }
        running.reported_tokens = output_tokens;
        let attempt = running.number;
        self.report_start().await;
        let event = Event::Progress {
            exchange: self.id,
            attempt,
            output_tokens,
        };
        self.send(event).await;
    }

    async fn end(&self, attempt: u32, end: End) {
        let event = Event::Ended {
            exchange: self.id,
            attempt,
            end,
        };
        self.send(event).await;
    }

    async fn send(&self, event: Event) {
        self.shared.events.send(event).await;
    }
}

/// Returns what the reducer is told of a control for an exchange that has ended: its caller has
/// gone, and an attempt that it asked for was not sent.
pub fn late_control(exchange: ExchangeId, control: &Control) -> Vec<Event> {
    let Control::Dispatch(dispatch) = control else {
        return Vec::new();
    };
    vec![
        Event::CallerGone { exchange },
        Event::Ended {
            exchange,
            attempt: dispatch.attempt,
            end: End::NotSent,
        },
    ]
}

impl PlainAnswer {
    /// Takes bytes of the body. A body that the ledger does not record is passed on instead of kept.
    fn push(&mut self, data: Bytes, reply: &mut Reply) {
        if self.truncated {
            return reply.push(data);
        }
        self.body.extend_from_slice(&data);
        if self.body.len() > MAX_RECORDED_BYTES {
            self.truncated = true;
            reply.start(self.head.status, headers::to_caller(&self.head.headers));
            reply.push(self.body.split().freeze());
        }
    }

    fn record(&self) -> Answer {
        Answer {
            status: self.head.status.as_u16(),
            headers: headers::to_record(&headers::to_caller(&self.head.headers)),
            body: Bytes::copy_from_slice(&self.body),
            truncated: self.truncated,
        }
    }

    fn response(self) -> Response {
        let headers = headers::to_caller(&self.head.headers);
        reply::response(self.head.status, headers, Body::from(self.body.freeze()))
    }
}

async fn next_piece(running: &mut Option<Running>) -> Piece {
    match running {
        Some(running) => running.attempt.next().await,
        None => std::future::pending().await,
    }
}

fn chat_head() -> RequestParts {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static("/v1/chat/completions");
    let headers = request.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    request.into_parts().0
}

fn set(headers: &mut HeaderMap, name: http::HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => headers.insert(name, value),
        Err(_) => headers.remove(name),
    };
}

fn json_response(status: StatusCode, body: Bytes) -> Response {
    let json = HeaderValue::from_static("application/json");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, json)]);
    reply::response(status, headers, Body::from(body))
}

fn replayed(answer: Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut headers = headers::from_record(&answer.headers);
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    reply::response(status, headers, Body::from(answer.body))
}
