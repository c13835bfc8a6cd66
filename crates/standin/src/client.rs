//! HTTP client for tests and workloads, which distinguishes complete answers from interrupted ones.

use std::{
    error::Error as _,
    time::{Duration, Instant},
};

use bytes::Bytes;
use conf::Name;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use serde_json::Value;
use volo_http::{
    body::Body,
    client::{Client as HttpClient, ClientBuilder},
    error::{ClientError, client::ErrorKind},
    response::Response,
};

use crate::{Error, Result, prompt::ChatRequest};

/// How an exchange ended for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The complete response arrived.
    Complete,
    /// The response began and was interrupted before its end.
    Interrupted,
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The connection ended before a response began.
    NoResponse,
    /// The timeout of the client passed.
    TimedOut,
}

/// One request and its response.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Status of the response, if one began.
    pub status: Option<StatusCode>,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of a complete response, or the generated text of a streamed one.
    pub text: String,
    /// How the exchange ended.
    pub ending: Ending,
    /// Time when the request was sent.
    pub sent_at: Instant,
    /// Times when the tokens of a streamed answer arrived.
    pub token_times: Vec<Instant>,
    /// Time when the exchange ended.
    pub ended_at: Instant,
}

impl Exchange {
    fn new(sent_at: Instant) -> Self {
        Self {
            status: None,
            headers: HeaderMap::new(),
            text: String::new(),
            ending: Ending::NoResponse,
            sent_at,
            token_times: Vec::new(),
            ended_at: sent_at,
        }
    }

    /// Returns whether a complete response with status 200 arrived.
    pub fn is_complete_ok(&self) -> bool {
        self.ending == Ending::Complete && self.status == Some(StatusCode::OK)
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// Returns the `run` field of a refusal, if it has one.
    pub fn run_field(&self) -> Option<String> {
        Some(self.json().get("run")?.as_str()?.to_owned())
    }

    /// Returns the text of a chat completion that was not streamed.
    pub fn completion_text(&self) -> Option<String> {
        let json = self.json();
        let content = json.pointer("/choices/0/message/content")?;
        Some(content.as_str()?.to_owned())
    }
}

/// HTTP client with a timeout for each exchange.
#[derive(Clone)]
pub struct Client {
    http: HttpClient,
    timeout: Duration,
}

impl Client {
    /// Creates a client that gives up an exchange after `timeout`. Without `keep_connections` it never reuses a
    /// connection, so that no request fails because the server has closed an idle connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(timeout: Duration, keep_connections: bool) -> Result<Self> {
        let mut builder = ClientBuilder::new();
        if !keep_connections {
            builder.set_max_idle_per_host(0);
        }
        let http = builder
            .build()
            .map_err(|error| Error::Client(Name::from(error.to_string())))?;
        Ok(Self { http, timeout })
    }

    /// Sends a request and reads the response to its end.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Exchange {
        self.exchange(method, url, headers, body.into()).await
    }

    /// Sends a GET request and returns the response as JSON, or null if no complete response with status 200 arrives.
    pub async fn get_json(&self, url: &str, headers: &[(&str, &str)]) -> Value {
        let exchange = self.send(Method::GET, url, headers, Bytes::new()).await;
        match exchange.is_complete_ok() {
            true => exchange.json(),
            false => Value::Null,
        }
    }

    /// Sends a chat completion request to the server at `base_url`.
    pub async fn chat(
        &self,
        base_url: &str,
        headers: &[(&str, &str)],
        request: &ChatRequest,
    ) -> Exchange {
        let url = format!("{base_url}/v1/chat/completions");
        let body = serde_json::to_vec(request).unwrap_or_default();
        self.exchange(Method::POST, &url, headers, Bytes::from(body))
            .await
    }

    async fn exchange(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Exchange {
        let mut exchange = Exchange::new(Instant::now());
        let work = self.receive(method, url, headers, body, &mut exchange);
        if tokio::time::timeout(self.timeout, work).await.is_err() {
            exchange.ending = Ending::TimedOut;
        }
        exchange.ended_at = Instant::now();
        exchange
    }

    async fn receive(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        exchange: &mut Exchange,
    ) {
        let mut request = self
            .http
            .request(method, url.to_owned())
            .data(Body::from(body));
        request.headers_mut().extend(header_map(headers));
        let response = match request.send::<Body>().await {
            Ok(response) => response,
            Err(error) => {
                exchange.ending = ending_without_response(&error);
                return;
            }
        };
        exchange.status = Some(response.status());
        exchange.headers = response.headers().clone();
        exchange.ending = match is_event_stream(&response) {
            true => read_events(response.into_body(), exchange).await,
            false => read_body(response.into_body(), exchange).await,
        };
    }
}

/// Returns how an exchange without a response ended. volo-http reports a failed connect as a request error whose
/// direct source is an I/O error. For failures after the connect, an error of hyper is in between.
fn ending_without_response(error: &ClientError) -> Ending {
    let is_io = |source: &(dyn std::error::Error + 'static)| source.is::<std::io::Error>();
    let connect_failed = error.kind() == &ErrorKind::Connect || error.source().is_some_and(is_io);
    match connect_failed {
        true => Ending::NotConnected,
        false => Ending::NoResponse,
    }
}

fn header_map(headers: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    map.insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(*name), HeaderValue::try_from(*value))
        {
            map.insert(name, value);
        }
    }
    map
}

fn is_event_stream(response: &Response) -> bool {
    response
        .headers()
        .get(http::header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

async fn read_body(body: Body, exchange: &mut Exchange) -> Ending {
    match body.collect().await {
        Ok(collected) => {
            exchange.text = String::from_utf8_lossy(&collected.to_bytes()).into_owned();
            Ending::Complete
        }
        Err(_) => Ending::Interrupted,
    }
}

/// Reads server-sent events. The answer is complete if it has a finish reason of `stop` or `length` and a `[DONE]`
/// event.
async fn read_events(mut body: Body, exchange: &mut Exchange) -> Ending {
    let mut buffer = Vec::new();
    let mut finished = false;
    let mut done = false;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Ending::Interrupted;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        buffer.extend_from_slice(data);
        while let Some(event) = take_event(&mut buffer) {
            match event.as_str() {
                "[DONE]" => done = true,
                event => finished |= read_chunk(event, exchange),
            }
        }
    }
    match finished && done {
        true => Ending::Complete,
        false => Ending::Interrupted,
    }
}

fn take_event(buffer: &mut Vec<u8>) -> Option<String> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let event: Vec<u8> = buffer.drain(..end + 2).collect();
    let text = String::from_utf8_lossy(&event[..end]).into_owned();
    Some(text.strip_prefix("data: ").unwrap_or(&text).to_owned())
}

/// Adds the text of a chunk to the exchange and returns whether the chunk finishes the answer.
fn read_chunk(event: &str, exchange: &mut Exchange) -> bool {
    let chunk: Value = serde_json::from_str(event).unwrap_or_default();
    let content = chunk.pointer("/choices/0/delta/content");
    if let Some(content) = content.and_then(Value::as_str).filter(|c| !c.is_empty()) {
        exchange.text.push_str(content);
        exchange.token_times.push(Instant::now());
    }
    let reason = chunk.pointer("/choices/0/finish_reason");
    matches!(
        reason.and_then(Value::as_str),
        Some("stop") | Some("length")
    )
}
