//! An exchange: one caller's request, from its arrival to the end of its answer.
//!
//! Each exchange is a task. The reducer sends it a [`Command`], and the task reports events to the reducer. The
//! answer's bytes go from the attempt's connection to the caller without passing through the reducer.

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

use crate::chat::{ChatAnswer, ChatStep, HeadOutcome, event_stream_headers};
use crate::clock::Clock;
use crate::engine::EngineClient;
use crate::headers::{self, PRIORITY, REPLAYED, REQUEST_ID};
use crate::prefill::PrefillStage;
use crate::queue::EventQueue;
use crate::refusal::RefusalResponse;
use crate::reply::{self, ResponseWriter, WriteOutcome};
use crate::upstream::{Attempt, AttemptEvent, Target};

/// Largest answer body that the idempotency ledger records, in bytes.
pub const MAX_RECORDED_BYTES: usize = 256 * 1024;

/// Output tokens between two progress events. One event per token would cost the reducer more than routing does.
const PROGRESS_INTERVAL_TOKENS: u32 = 16;

/// A command from the reducer to an exchange.
#[derive(Debug)]
pub enum Command {
    /// Send the request to an upstream.
    Dispatch(Dispatch),
    /// Cancel an attempt at its upstream.
    Cancel { attempt: u32 },
    /// Refuse the request, or end its stream with an error.
    Refuse(Refusal),
    /// Deliver the answer that was held until the ledger recorded it.
    Deliver,
    /// Send the answer that the ledger recorded for an earlier request with the same key.
    Replay(Answer),
}

/// Parameters of an attempt.
#[derive(Debug)]
pub struct Dispatch {
    /// Number of the attempt.
    pub attempt: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Address of the engine that computes the prompt, if that is another engine than the target.
    pub prefill_address: Option<Name>,
    /// Address of the upstream, and the attempt's deadlines.
    pub target: Target,
}

/// The request of an exchange, with the part of its answer that was read so far.
#[derive(Debug)]
pub enum Payload {
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
    /// The complete body.
    pub body: Bytes,
    /// Whether the service may run the request more than once.
    pub idempotent: bool,
    /// Part of the answer to a non-idempotent request that was read so far.
    pub answer: Option<PlainAnswer>,
}

/// The answer to a non-idempotent request.
#[derive(Debug)]
pub struct PlainAnswer {
    head: Box<ResponseParts>,
    body: BytesMut,
    /// Whether the body is larger than [`MAX_RECORDED_BYTES`]. Such a body is streamed to the caller, and the
    /// ledger records the answer without its body.
    is_streamed: bool,
}

/// The table of an instance's open exchanges, with the handles that all exchanges share.
#[derive(Clone, Debug)]
pub struct Exchanges {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    events: EventQueue,
    engines: EngineClient,
    /// Prefix of request ids. It is unique among processes, so that no instance cancels another instance's request.
    request_id_prefix: String,
    /// Senders of the commands to the open exchanges, by exchange id.
    command_senders: Mutex<Map<ExchangeId, mpsc::UnboundedSender<Command>>>,
}

impl Exchanges {
    /// Creates an empty table.
    pub fn new(
        clock: Clock,
        events: EventQueue,
        engines: EngineClient,
        request_id_prefix: String,
    ) -> Self {
        let shared = Shared {
            clock,
            events,
            engines,
            request_id_prefix,
            command_senders: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Starts the task of an exchange, and returns the receiver of its response.
    pub fn open(
        &self,
        id: ExchangeId,
        payload: Payload,
    ) -> tokio::sync::oneshot::Receiver<Response> {
        let (sender, commands) = mpsc::unbounded_channel();
        let (writer, response) = ResponseWriter::new();
        self.lock().insert(id, sender);
        metrics::gauge!("mustardstack_open_exchanges").increment(1.0);
        let exchange = Exchange {
            shared: self.shared.clone(),
            id,
            payload,
            commands,
            writer,
            running: None,
            held_answer: None,
            caller_gone: false,
        };
        tokio::spawn(exchange.run());
        response
    }

    /// Sends a command to an exchange. Returns the command if the exchange has ended.
    pub fn send_command(&self, id: ExchangeId, command: Command) -> Option<Command> {
        match self.lock().entry(id) {
            Entry::Occupied(entry) => entry.get().send(command).err().map(|error| error.0),
            Entry::Vacant(_) => Some(command),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<ExchangeId, mpsc::UnboundedSender<Command>>> {
        self.shared.lock()
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Map<ExchangeId, mpsc::UnboundedSender<Command>>> {
        self.command_senders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

struct Exchange {
    shared: Arc<Shared>,
    id: ExchangeId,
    payload: Payload,
    commands: mpsc::UnboundedReceiver<Command>,
    writer: ResponseWriter,
    running: Option<RunningAttempt>,
    /// Answer that is delivered once the ledger has recorded it.
    held_answer: Option<PlainAnswer>,
    caller_gone: bool,
}

/// The attempt in progress.
struct RunningAttempt {
    number: u32,
    attempt: Attempt,
    address: Name,
    started: bool,
    /// Output tokens that were reported to the reducer, over all attempts.
    reported_tokens: u32,
}

/// What an exchange handles next.
enum Input {
    Command(Command),
    Attempt(AttemptEvent),
    Writer(WriteOutcome),
    /// The command channel is closed.
    Closed,
}

/// Whether the exchange continues after an input.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ExchangeState {
    Open,
    Done,
}

impl Exchange {
    async fn run(mut self) {
        loop {
            let state = match self.next_input().await {
                Input::Command(command) => self.handle_command(command).await,
                Input::Attempt(attempt_event) => self.handle_attempt_event(attempt_event).await,
                Input::Writer(WriteOutcome::Flushed) => ExchangeState::Open,
                Input::Writer(WriteOutcome::CallerGone) => self.handle_caller_gone().await,
                Input::Closed => ExchangeState::Done,
            };
            if state == ExchangeState::Done {
                break;
            }
        }
        self.close().await;
    }

    async fn next_input(&mut self) -> Input {
        let blocked = self.writer.is_blocked();
        tokio::select! {
            biased;
            command = self.commands.recv() => command.map_or(Input::Closed, Input::Command),
            outcome = self.writer.drive() => Input::Writer(outcome),
            attempt_event = next_attempt_event(&mut self.running), if !blocked => Input::Attempt(attempt_event),
        }
    }

    /// Ends the exchange: reports the commands that arrived too late, and flushes the answer to the caller.
    async fn close(mut self) {
        self.stop_attempt();
        self.shared.lock().remove(&self.id);
        metrics::gauge!("mustardstack_open_exchanges").decrement(1.0);
        self.commands.close();
        while let Ok(command) = self.commands.try_recv() {
            for event in late_command_events(self.id, &command) {
                self.send(event).await;
            }
        }
        self.writer.finish().await;
    }

    async fn handle_command(&mut self, command: Command) -> ExchangeState {
        match command {
            Command::Dispatch(dispatch) => self.dispatch(dispatch),
            Command::Cancel { attempt } => self.cancel(attempt).await,
            Command::Refuse(refusal) => return self.refuse(&refusal).await,
            Command::Deliver => return self.deliver(),
            Command::Replay(answer) => {
                self.writer.send(replay_response(answer));
                return ExchangeState::Done;
            }
        }
        ExchangeState::Open
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        self.stop_attempt();
        let (mut head, body, reported_tokens) = match &mut self.payload {
            Payload::Chat(chat) => (
                chat_request_head(),
                chat.begin_attempt(),
                chat.output_tokens(),
            ),
            Payload::Plain(plain) => {
                plain.answer = None;
                (plain.head.clone(), plain.body.clone(), 0)
            }
        };
        let address = dispatch.target.address.clone();
        let request_id = self.request_id(dispatch.attempt);
        set_header(&mut head.headers, header::HOST, &address);
        set_header(&mut head.headers, REQUEST_ID, &request_id);
        set_header(&mut head.headers, PRIORITY, &dispatch.priority.to_string());
        let prefill = dispatch
            .prefill_address
            .and_then(|address| self.prefill_stage(address, &head, &request_id));
        self.running = Some(RunningAttempt {
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
        let Payload::Chat(chat) = &self.payload else {
            return None;
        };
        let mut head = head.clone();
        set_header(&mut head.headers, header::HOST, &address);
        set_header(
            &mut head.headers,
            REQUEST_ID,
            &format!("{request_id}-prefill"),
        );
        Some(PrefillStage {
            address,
            head,
            body: chat.prefill_body(),
            chunks: chat.chunk_hashes_hex(),
        })
    }

    fn request_id(&self, attempt: u32) -> String {
        format!("{}-{}-{attempt}", self.shared.request_id_prefix, self.id)
    }

    async fn cancel(&mut self, attempt: u32) {
        if self
            .running
            .as_ref()
            .is_some_and(|running| running.number == attempt)
        {
            self.report_progress(0).await;
            self.stop_attempt();
            self.report_end(attempt, End::Cancelled).await;
        }
    }

    /// Closes the attempt's connection. An engine also gets a cancel request, because it may notice the closed
    /// connection late.
    fn stop_attempt(&mut self) {
        let Some(running) = self.running.take() else {
            return;
        };
        if matches!(self.payload, Payload::Chat(_)) {
            let id = self.request_id(running.number);
            self.shared.engines.cancel(running.address, id);
        }
    }

    async fn refuse(&mut self, refusal: &Refusal) -> ExchangeState {
        if let Some(number) = self.running.as_ref().map(|running| running.number) {
            self.stop_attempt();
            self.report_end(number, End::Cancelled).await;
        }
        let response = RefusalResponse::from(refusal);
        if self.writer.is_head_pending() {
            self.writer.send(response.response());
        } else if matches!(self.payload, Payload::Chat(_)) {
            let body = response.body();
            let mut event = BytesMut::from("data: ");
            event.extend_from_slice(&body);
            event.extend_from_slice(b"\n\n");
            self.writer.push(event.freeze());
        } else {
            self.writer.abort();
        }
        ExchangeState::Done
    }

    /// Handles a caller's disconnect. A non-idempotent attempt continues without its caller, because the ledger records
    /// its outcome.
    async fn handle_caller_gone(&mut self) -> ExchangeState {
        self.caller_gone = true;
        self.writer.abort();
        self.send(Event::CallerGone { exchange: self.id }).await;
        let Some(number) = self.running.as_ref().map(|running| running.number) else {
            return ExchangeState::Done;
        };
        if matches!(&self.payload, Payload::Plain(plain) if !plain.idempotent) {
            return ExchangeState::Open;
        }
        self.stop_attempt();
        self.report_end(number, End::Cancelled).await;
        ExchangeState::Done
    }

    async fn handle_attempt_event(&mut self, attempt_event: AttemptEvent) -> ExchangeState {
        match attempt_event {
            AttemptEvent::NotSent => self.end_incomplete_attempt(End::NotSent).await,
            AttemptEvent::Broken => self.end_incomplete_attempt(End::Broken).await,
            AttemptEvent::Head(head) => self.read_head(head).await,
            AttemptEvent::Data(data) => self.read_data(data).await,
            AttemptEvent::Finished => self.read_end().await,
        }
    }

    async fn read_head(&mut self, head: Box<ResponseParts>) -> ExchangeState {
        match &mut self.payload {
            Payload::Chat(chat) => match chat.read_head(head.status, &head.headers) {
                HeadOutcome::Answer => ExchangeState::Open,
                HeadOutcome::Rejected => self.end_incomplete_attempt(End::Rejected).await,
                HeadOutcome::Broken => self.end_incomplete_attempt(End::Broken).await,
            },
            Payload::Plain(plain) => {
                if plain.idempotent {
                    self.writer
                        .start(head.status, headers::to_caller(&head.headers));
                } else {
                    plain.answer = Some(PlainAnswer {
                        head,
                        body: BytesMut::new(),
                        is_streamed: false,
                    });
                }
                self.report_start().await;
                ExchangeState::Open
            }
        }
    }

    async fn read_data(&mut self, data: Bytes) -> ExchangeState {
        match &mut self.payload {
            Payload::Chat(chat) => {
                let step = chat.read_data(&data);
                self.handle_chat_step(step).await
            }
            Payload::Plain(plain) => {
                match &mut plain.answer {
                    Some(answer) => answer.push(data, &mut self.writer),
                    None => self.writer.push(data),
                }
                ExchangeState::Open
            }
        }
    }

    async fn read_end(&mut self) -> ExchangeState {
        match &mut self.payload {
            Payload::Chat(chat) => {
                if let Some((status, body)) = chat.take_error() {
                    return self.forward_error(status, body).await;
                }
                let step = chat.read_end();
                self.handle_chat_step(step).await
            }
            Payload::Plain(plain) => {
                let answer = plain.answer.take();
                self.complete_plain(answer).await
            }
        }
    }

    async fn handle_chat_step(&mut self, step: ChatStep) -> ExchangeState {
        match step {
            ChatStep::Nothing => {
                self.report_progress(PROGRESS_INTERVAL_TOKENS).await;
                ExchangeState::Open
            }
            ChatStep::Forward(bytes) => {
                self.forward(bytes);
                self.report_progress(PROGRESS_INTERVAL_TOKENS).await;
                ExchangeState::Open
            }
            ChatStep::Done(bytes) => {
                self.report_start().await;
                self.report_progress(0).await;
                self.complete_chat(bytes).await
            }
            ChatStep::Broken => self.end_incomplete_attempt(End::Broken).await,
        }
    }

    fn forward(&mut self, bytes: Bytes) {
        let Payload::Chat(chat) = &self.payload else {
            return;
        };
        if !chat.is_stream() {
            return;
        }
        if self.writer.is_head_pending() {
            self.writer.start(StatusCode::OK, event_stream_headers());
        }
        self.writer.push(bytes);
    }

    async fn complete_chat(&mut self, last_bytes: Bytes) -> ExchangeState {
        self.forward(last_bytes);
        if let Payload::Chat(chat) = &self.payload
            && !chat.is_stream()
        {
            self.writer
                .send(json_response(StatusCode::OK, chat.answer_json()));
        }
        self.complete(None).await
    }

    /// Forwards an engine's error response about the request itself to the caller.
    async fn forward_error(&mut self, status: StatusCode, body: Bytes) -> ExchangeState {
        self.writer.send(json_response(status, body));
        self.complete(None).await
    }

    async fn complete_plain(&mut self, answer: Option<PlainAnswer>) -> ExchangeState {
        let Some(answer) = answer else {
            return self.complete(None).await;
        };
        let ledger_answer = answer.ledger_answer();
        self.held_answer = Some(answer);
        self.complete(Some(ledger_answer)).await;
        ExchangeState::Open
    }

    /// Delivers the answer to a non-idempotent request after the ledger recorded it.
    fn deliver(&mut self) -> ExchangeState {
        if let Some(answer) = self.held_answer.take()
            && !answer.is_streamed
        {
            self.writer.send(answer.response());
        }
        ExchangeState::Done
    }

    async fn complete(&mut self, answer: Option<Answer>) -> ExchangeState {
        // The upstream has finished the attempt, so the connection is dropped without a cancel request.
        if let Some(running) = self.running.take() {
            self.report_end(running.number, End::Complete { answer })
                .await;
        }
        ExchangeState::Done
    }

    /// Reports an attempt that ended without a complete answer.
    async fn end_incomplete_attempt(&mut self, end: End) -> ExchangeState {
        self.report_progress(0).await;
        let Some(running) = self.running.take() else {
            return ExchangeState::Open;
        };
        self.report_end(running.number, end).await;
        if self.caller_gone {
            return ExchangeState::Done;
        }
        // The caller already has part of the plain service's answer, which cannot be withdrawn or continued.
        if matches!(self.payload, Payload::Plain(_)) && !self.writer.is_head_pending() {
            self.writer.abort();
            self.send(Event::CallerGone { exchange: self.id }).await;
            return ExchangeState::Done;
        }
        ExchangeState::Open
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

    /// Reports the delivered tokens if at least `min_tokens` were added since the last report.
    async fn report_progress(&mut self, min_tokens: u32) {
        let (Payload::Chat(chat), Some(running)) = (&self.payload, &mut self.running) else {
            return;
        };
        let output_tokens = chat.output_tokens();
        let new_tokens = output_tokens - running.reported_tokens;
        if new_tokens == 0 || (running.started && new_tokens < min_tokens) {
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

    async fn report_end(&self, attempt: u32, end: End) {
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

/// Returns the events for the reducer after a command to an exchange that has ended. For a dispatch, they report that
/// the caller has disconnected and that the attempt was not sent. Other commands cause no events.
pub fn late_command_events(exchange: ExchangeId, command: &Command) -> Vec<Event> {
    let Command::Dispatch(dispatch) = command else {
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
    /// Appends bytes of the body. A body that is too large for the ledger is streamed to the caller instead of
    /// buffered.
    fn push(&mut self, data: Bytes, writer: &mut ResponseWriter) {
        if self.is_streamed {
            return writer.push(data);
        }
        self.body.extend_from_slice(&data);
        if self.body.len() > MAX_RECORDED_BYTES {
            self.is_streamed = true;
            writer.start(self.head.status, headers::to_caller(&self.head.headers));
            writer.push(self.body.split().freeze());
        }
    }

    fn ledger_answer(&self) -> Answer {
        Answer {
            status: self.head.status.as_u16(),
            headers: headers::to_ledger(&headers::to_caller(&self.head.headers)),
            body: Bytes::copy_from_slice(&self.body),
            truncated: self.is_streamed,
        }
    }

    fn response(self) -> Response {
        let headers = headers::to_caller(&self.head.headers);
        reply::build_response(self.head.status, headers, Body::from(self.body.freeze()))
    }
}

async fn next_attempt_event(running: &mut Option<RunningAttempt>) -> AttemptEvent {
    match running {
        Some(running) => running.attempt.next_event().await,
        None => std::future::pending().await,
    }
}

fn chat_request_head() -> RequestParts {
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

fn set_header(headers: &mut HeaderMap, name: http::HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => headers.insert(name, value),
        Err(_) => headers.remove(name),
    };
}

fn json_response(status: StatusCode, body: Bytes) -> Response {
    let content_type = HeaderValue::from_static("application/json");
    let headers = HeaderMap::from_iter([(header::CONTENT_TYPE, content_type)]);
    reply::build_response(status, headers, Body::from(body))
}

fn replay_response(answer: Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut headers = headers::from_ledger(&answer.headers);
    headers.insert(REPLAYED, HeaderValue::from_static("true"));
    reply::build_response(status, headers, Body::from(answer.body))
}
