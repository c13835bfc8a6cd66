//! An instance with a scripted reducer, and upstreams whose connections a test controls byte by byte.
#![allow(dead_code)]

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use conf::{Name, ServiceConfig, Settings};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use node::{Instance, ShutdownTrigger, Step};
use reducer::{Effect, End, Event};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

pub const KEY: &str = "key-of-the-parish";
pub const TOKEN: &str = "operator-token";

/// Time limit for waiting on something that must happen. It does not test speed; a correct run takes far less time.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Handles an event at a time in milliseconds, and appends effects, in place of the reducer.
pub type Script = Box<dyn FnMut(u64, &Event, &mut Vec<Effect>) + Send>;

pub struct TestInstance {
    pub settings: Settings,
    pub events: mpsc::UnboundedReceiver<Event>,
    /// Effects that the test adds. They are executed together with the effects of the next event.
    pub injected_effects: Arc<Mutex<Vec<Effect>>>,
    pub trigger: ShutdownTrigger,
    pub running: JoinHandle<Result<(), node::Error>>,
    _temp_dir: tempfile::TempDir,
}

pub fn key_sha256() -> String {
    use sha2::{Digest, Sha256};
    let digest = Sha256::digest(KEY.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn service_config() -> ServiceConfig {
    let text = format!(
        r#"
        [[tenants]]
        name = "parish"
        key_sha256 = "{}"
        [[models]]
        name = "lily"
        adapters = ["rota"]
        [[routes]]
        name = "swap"
        path_prefix = "/rota/"
        service = "rota"
        methods = ["POST", "GET"]
        [[routes]]
        name = "plan"
        path_prefix = "/rota/plan"
        service = "rota"
        methods = ["GET"]
        idempotency = "idempotent"
        "#,
        key_sha256()
    );
    toml::from_str(&text).unwrap()
}

pub fn settings(temp_dir: &tempfile::TempDir, id: &str) -> Settings {
    let token_file = temp_dir.path().join("token");
    let secret_file = temp_dir.path().join("secret");
    std::fs::write(&token_file, TOKEN).unwrap();
    std::fs::write(&secret_file, "shared secret\n").unwrap();
    let path = |path: std::path::PathBuf| Name::from(path.to_str().unwrap().to_owned());
    let mut settings = Settings::default();
    settings.instance.id = Name::new(id);
    settings.instance.caller_address = "127.0.0.1:0".into();
    settings.instance.admin_address = "127.0.0.1:0".into();
    settings.instance.peer_address = "127.0.0.1:0".into();
    settings.instance.admin_token_file = path(token_file);
    settings.instance.peer_secret_file = path(secret_file);
    settings
}

impl TestInstance {
    /// Starts an instance that is ready with [`service_config`] in force.
    pub async fn start(script: Script) -> Self {
        let config = Arc::new(service_config());
        let in_force = Effect::InForce {
            revision: 1,
            config,
        };
        let readiness = Effect::Readiness {
            ready: true,
            draining: false,
        };
        let instance = Self::start_with(vec![in_force, readiness], script, |_| {}).await;
        instance.wait_ready().await;
        instance
    }

    /// Starts an instance whose first event has the effects `first_effects`.
    pub async fn start_with(
        first_effects: Vec<Effect>,
        script: Script,
        change: impl FnOnce(&mut Settings),
    ) -> Self {
        let temp_dir = tempfile::tempdir().unwrap();
        let mut settings = settings(&temp_dir, "north");
        change(&mut settings);
        let instance = Instance::bind(settings).await.unwrap();
        let settings = instance.settings().clone();
        let (trigger, stop) = node::shutdown();
        let (event_copies, events) = mpsc::unbounded_channel();
        let injected_effects = Arc::new(Mutex::new(first_effects));
        let step_effects = injected_effects.clone();
        let make_step = Box::new(move |_| scripted_step(script, event_copies, step_effects));
        let running = tokio::spawn(instance.run_step(make_step, stop));
        Self {
            settings,
            events,
            injected_effects,
            trigger,
            running,
            _temp_dir: temp_dir,
        }
    }

    async fn wait_ready(&self) {
        let request = get_request("/readyz");
        for _ in 0..1_000 {
            if self.send(request.clone()).await.status() == StatusCode::OK {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the instance did not become ready");
    }

    /// Executes an effect with the next event, which is a tick at the latest.
    pub fn inject(&self, effect: Effect) {
        self.injected_effects.lock().unwrap().push(effect);
    }

    /// Waits for the next event for which `wanted` returns a value, and returns that value.
    pub async fn wait_event<T>(&mut self, mut wanted: impl FnMut(Event) -> Option<T>) -> T {
        let waiting = async {
            loop {
                let event = self.events.recv().await.expect("the instance ended");
                if let Some(found) = wanted(event) {
                    return found;
                }
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("the event did not occur")
    }

    /// Waits for the end of an attempt.
    pub async fn wait_attempt_end(&mut self, wanted: u32) -> End {
        self.wait_event(|event| match event {
            Event::Ended { attempt, end, .. } if attempt == wanted => Some(end),
            _ => None,
        })
        .await
    }

    pub async fn send(&self, request: Request<String>) -> Response<Incoming> {
        send(&self.settings.instance.caller_address, request).await
    }

    pub async fn send_and_read(&self, request: Request<String>) -> (StatusCode, String) {
        let response = self.send(request).await;
        let status = response.status();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        (status, String::from_utf8(body.to_vec()).unwrap())
    }

    /// Requests a planned stop and waits until the instance has ended.
    pub async fn stop(self) {
        self.trigger.stop();
        let ended = tokio::time::timeout(WAIT_TIMEOUT, self.running).await;
        ended.expect("the instance did not stop").unwrap().unwrap();
    }
}

fn scripted_step(
    mut script: Script,
    event_copies: mpsc::UnboundedSender<Event>,
    step_effects: Arc<Mutex<Vec<Effect>>>,
) -> Step {
    Box::new(move |now_ms, event, effects| {
        effects.append(&mut step_effects.lock().unwrap());
        script(now_ms, &event, effects);
        let _ = event_copies.send(event);
    })
}

/// Returns a script that dispatches attempt 1 to the first address, and after each attempt that does not complete the
/// answer the next attempt to the next address. After a stop, the script exits once no exchange is open.
pub fn dispatcher(addresses: Vec<Name>) -> Script {
    let mut open = 0_u64;
    let mut is_stopping = false;
    Box::new(move |now_ms, event, effects| {
        let next = match event {
            Event::Arrived(arrival) => {
                open += 1;
                Some((arrival.exchange, 1))
            }
            Event::Ended {
                exchange,
                attempt,
                end,
            } => match end {
                End::Complete { answer } => {
                    open -= 1;
                    if answer.is_some() {
                        let exchange = *exchange;
                        effects.push(Effect::Deliver { exchange });
                    }
                    None
                }
                End::Cancelled => None,
                _ => Some((*exchange, attempt + 1)),
            },
            Event::Stop => {
                is_stopping = true;
                effects.push(Effect::Readiness {
                    ready: true,
                    draining: true,
                });
                None
            }
            _ => None,
        };
        if let Some((exchange, attempt)) = next
            && let Some(address) = addresses.get(attempt as usize - 1)
        {
            effects.push(dispatch(now_ms, exchange, attempt, address));
        }
        if is_stopping && open == 0 {
            effects.push(Effect::Exit);
        }
    })
}

pub fn dispatch(now_ms: u64, exchange: u64, attempt: u32, address: &Name) -> Effect {
    Effect::Dispatch {
        exchange,
        attempt,
        upstream: "engine".into(),
        address: address.clone(),
        prefill: None,
        priority: 1,
        send_deadline_ms: now_ms + 10_000,
        answer_deadline_ms: now_ms + 60_000,
    }
}

pub async fn send(address: &str, request: Request<String>) -> Response<Incoming> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    let request = request.map(|body| Full::new(Bytes::from(body)));
    tokio::time::timeout(WAIT_TIMEOUT, sender.send_request(request))
        .await
        .expect("the response did not arrive")
        .unwrap()
}

pub fn get_request(path: &str) -> Request<String> {
    request("GET", path, "")
}

pub fn request(method: &str, path: &str, body: &str) -> Request<String> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "test")
        .header("authorization", format!("Bearer {KEY}"))
        .body(body.to_owned())
        .unwrap()
}

pub fn chat_request(stream: bool) -> Request<String> {
    let body = serde_json::json!({
        "model": "lily",
        "stream": stream,
        "messages": [{ "role": "user", "content": "Which engine answers this request?" }],
    });
    request("POST", "/v1/chat/completions", &body.to_string())
}

/// Reads the next frame of a body. Returns `None` at a complete end, and an error at a truncated one.
pub async fn read_frame(body: &mut Incoming) -> Option<Result<String, hyper::Error>> {
    let frame = tokio::time::timeout(WAIT_TIMEOUT, body.frame())
        .await
        .expect("the frame did not arrive");
    frame.map(|frame| {
        frame.map(|frame| String::from_utf8(frame.into_data().unwrap().to_vec()).unwrap())
    })
}

/// Reads a body to its end. Returns an error if the body is truncated.
pub async fn read_text(body: &mut Incoming) -> Result<String, hyper::Error> {
    let mut text = String::new();
    while let Some(part) = read_frame(body).await {
        text.push_str(&part?);
    }
    Ok(text)
}

/// An upstream whose connections the test answers itself.
pub struct Upstream {
    pub address: Name,
    socket: TcpListener,
}

/// A connection to an upstream, with the request that was received on it.
pub struct UpstreamConnection {
    pub head: String,
    pub body: String,
    stream: TcpStream,
}

impl Upstream {
    pub async fn start() -> Self {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = Name::from(socket.local_addr().unwrap().to_string());
        Self { address, socket }
    }

    pub async fn accept(&self) -> TcpStream {
        tokio::time::timeout(WAIT_TIMEOUT, self.socket.accept())
            .await
            .expect("no connection was opened")
            .unwrap()
            .0
    }

    /// Accepts the next connection and reads its request.
    pub async fn accept_request(&self) -> UpstreamConnection {
        let mut stream = self.accept().await;
        let mut data = Vec::new();
        loop {
            let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read_buf(&mut data));
            assert_ne!(read.await.unwrap().unwrap(), 0, "the request is truncated");
            let text = String::from_utf8_lossy(&data).into_owned();
            let Some((head, body)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            let length = head
                .lines()
                .find_map(|line| {
                    line.to_ascii_lowercase()
                        .strip_prefix("content-length: ")?
                        .parse()
                        .ok()
                })
                .unwrap_or(0);
            if body.len() >= length {
                return UpstreamConnection {
                    head: head.to_ascii_lowercase(),
                    body: body.to_owned(),
                    stream,
                };
            }
        }
    }
}

impl UpstreamConnection {
    pub async fn write(&mut self, data: &str) {
        self.stream.write_all(data.as_bytes()).await.unwrap();
    }

    /// Sends bytes on a connection that the other side may have closed.
    pub async fn try_write(&mut self, data: &str) -> std::io::Result<()> {
        self.stream.write_all(data.as_bytes()).await
    }

    /// Begins a streamed answer.
    pub async fn begin_events(&mut self) {
        self.write("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
            .await;
    }

    /// Sends one event as one chunk.
    pub async fn send_event(&mut self, data: &str) {
        let event = format!("data: {data}\n\n");
        self.send_chunk(&event).await;
    }

    pub async fn send_chunk(&mut self, data: &str) {
        self.write(&format!("{:x}\r\n{data}\r\n", data.len())).await;
    }

    /// Sends one token of an answer.
    pub async fn send_token(&mut self, id: &str, token: &str) {
        let delta = serde_json::json!({ "role": "assistant", "content": token });
        self.send_event(&completion_chunk(id, delta, None)).await;
    }

    /// Ends an answer with a finish reason and the end marker, in one write.
    pub async fn end_events(&mut self, id: &str, reason: &str) {
        let finish = completion_chunk(id, serde_json::json!({}), Some(reason));
        let events = format!("data: {finish}\n\ndata: [DONE]\n\n");
        self.write(&format!("{:x}\r\n{events}\r\n0\r\n\r\n", events.len()))
            .await;
    }

    /// Sends a complete answer.
    pub async fn send_answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}"
        ))
        .await;
    }

    /// Waits until the other side has closed or reset the connection.
    pub async fn wait_closed(&mut self) {
        let mut rest = Vec::new();
        // A reset also counts as a close.
        let read = tokio::time::timeout(WAIT_TIMEOUT, self.stream.read_to_end(&mut rest));
        let _ = read.await.expect("the connection was not closed");
    }
}

fn completion_chunk(id: &str, delta: serde_json::Value, reason: Option<&str>) -> String {
    let chunk = serde_json::json!({
        "id": id,
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
    });
    chunk.to_string()
}

/// Returns the joined text of a stream's events, the distinct consecutive ids, and the finish reasons with the end
/// marker.
pub fn read_stream(body: &str) -> (String, Vec<String>, Vec<String>) {
    let mut text = String::new();
    let mut ids = Vec::new();
    let mut reasons = Vec::new();
    for event in body.split("\n\n").filter(|event| !event.is_empty()) {
        let data = event.strip_prefix("data: ").unwrap();
        if data == "[DONE]" {
            reasons.push(data.to_owned());
            continue;
        }
        let chunk: serde_json::Value = serde_json::from_str(data).unwrap();
        let choice = &chunk["choices"][0];
        text.push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        ids.push(chunk["id"].as_str().unwrap_or_default().to_owned());
        if let Some(reason) = choice["finish_reason"].as_str() {
            reasons.push(reason.to_owned());
        }
    }
    ids.dedup();
    (text, ids, reasons)
}
