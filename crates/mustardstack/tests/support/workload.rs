//! Background callers and the summary of the outcomes of their requests.

use std::{
    collections::BTreeMap,
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use standin::{
    client::{Client, Ending, Exchange},
    prompt::{ChatMessage, ChatRequest},
};
use tokio::{runtime::Handle, sync::watch, task::JoinHandle};

use super::{Result, wait};

/// Interval at which the load balancer probes the readiness of the instances.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of a caller after a request without a complete answer, or while no instance is ready.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Settings of the callers.
#[derive(Clone)]
pub struct CallerPoolSettings {
    /// Addresses of the callers' listeners, by instance id.
    pub instances: BTreeMap<String, SocketAddr>,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Length of each answer in tokens.
    pub tokens: u32,
    /// API key.
    pub key: String,
}

/// Number of requests of all callers, by outcome.
#[derive(Debug, Default)]
struct Counts {
    complete: AtomicU64,
    wrong: AtomicU64,
    incomplete: AtomicU64,
    refused: AtomicU64,
    not_connected: AtomicU64,
}

/// Outcomes of the requests of all callers. Refusals as not run and refused connections are not included, because their
/// numbers depend on timing.
pub struct Summary {
    complete: u64,
    wrong: u64,
    incomplete: u64,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let complete = match self.complete {
            0 => "none",
            _ => "some",
        };
        write!(
            f,
            "complete: {complete}, wrong: {}, incomplete: {}",
            self.wrong, self.incomplete
        )
    }
}

/// Running callers. Dropping the value aborts them.
pub struct CallerPool {
    counts: Arc<Counts>,
    /// Number of requests of each caller that have ended.
    ended: Vec<Arc<AtomicU64>>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    load_balancer: JoinHandle<()>,
    runtime: Handle,
}

impl CallerPool {
    /// Starts the callers.
    pub fn start(runtime: &Handle, client: Client, settings: CallerPoolSettings) -> Self {
        let counts = Arc::new(Counts::default());
        let stop = Arc::new(AtomicBool::new(false));
        let (ready_sender, ready) = watch::channel(Vec::new());
        let instances = settings.instances.values().copied().collect();
        let load_balancer = runtime.spawn(publish_ready(client.clone(), instances, ready_sender));
        let next_index = Arc::new(AtomicUsize::new(0));
        let ended: Vec<Arc<AtomicU64>> = (0..settings.callers).map(|_| Arc::default()).collect();
        let callers = ended
            .iter()
            .enumerate()
            .map(|(number, ended)| {
                let caller = Caller {
                    number,
                    ended: ended.clone(),
                    client: client.clone(),
                    settings: settings.clone(),
                    counts: counts.clone(),
                    stop: stop.clone(),
                    ready: ready.clone(),
                    next_index: next_index.clone(),
                };
                runtime.spawn(caller.run())
            })
            .collect();
        Self {
            counts,
            ended,
            stop,
            callers,
            load_balancer,
            runtime: runtime.clone(),
        }
    }

    /// Returns the number of complete answers so far.
    pub fn answers(&self) -> u64 {
        self.counts.complete.load(Ordering::Relaxed)
    }

    /// Waits until every request that a caller has sent so far has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if a request does not end in time.
    pub fn wait_for_open_requests(&self) -> Result<()> {
        let ended = || self.ended.iter().map(|ended| ended.load(Ordering::Relaxed));
        let before: Vec<u64> = ended().collect();
        wait::until("the open requests to end", || {
            let have_ended = ended().zip(&before).all(|(now, before)| now > *before);
            Ok(have_ended.then_some(()))
        })
    }

    /// Waits until the callers have finished their current requests and returns the summary.
    pub fn finish(mut self) -> Summary {
        self.stop.store(true, Ordering::Relaxed);
        for caller in std::mem::take(&mut self.callers) {
            // The panic hook has already printed the panic of a caller.
            let _ = self.runtime.block_on(caller);
        }
        Summary {
            complete: self.counts.complete.load(Ordering::Relaxed),
            wrong: self.counts.wrong.load(Ordering::Relaxed),
            incomplete: self.counts.incomplete.load(Ordering::Relaxed),
        }
    }
}

impl Drop for CallerPool {
    fn drop(&mut self) {
        self.load_balancer.abort();
        for caller in &self.callers {
            caller.abort();
        }
    }
}

/// Publishes the addresses of the ready instances to the callers, as the platform's load balancer routes callers only
/// to ready instances.
async fn publish_ready(
    client: Client,
    instances: Vec<SocketAddr>,
    ready: watch::Sender<Vec<SocketAddr>>,
) {
    loop {
        let mut addresses = Vec::new();
        for instance in &instances {
            let url = format!("http://{instance}/readyz");
            let probe = client.send(http::Method::GET, &url, &[], "").await;
            if probe.is_complete_ok() {
                addresses.push(*instance);
            }
        }
        ready.send_replace(addresses);
        tokio::time::sleep(READY_INTERVAL).await;
    }
}

struct Caller {
    number: usize,
    ended: Arc<AtomicU64>,
    client: Client,
    settings: CallerPoolSettings,
    counts: Arc<Counts>,
    stop: Arc<AtomicBool>,
    ready: watch::Receiver<Vec<SocketAddr>>,
    next_index: Arc<AtomicUsize>,
}

impl Caller {
    async fn run(self) {
        for number in 0_u64.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let Some(instance) = self.next_instance() else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let request = self.request(number);
            let bearer = format!("Bearer {}", self.settings.key);
            let headers = [("authorization", bearer.as_str())];
            let base_url = format!("http://{instance}");
            let exchange = self.client.chat(&base_url, &headers, &request).await;
            self.ended.fetch_add(1, Ordering::Relaxed);
            if !self.count(&exchange, &request) {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    fn next_instance(&self) -> Option<SocketAddr> {
        let ready = self.ready.borrow();
        let index = self.next_index.fetch_add(1, Ordering::Relaxed);
        ready.get(index % ready.len().max(1)).copied()
    }

    fn request(&self, number: u64) -> ChatRequest {
        let content = format!("Caller {} asks question {number}", self.number);
        let message = ChatMessage {
            role: "user".into(),
            content: content.into(),
        };
        ChatRequest {
            model: "assistant".into(),
            messages: vec![message],
            max_tokens: Some(self.settings.tokens),
            stream: true,
            ..ChatRequest::default()
        }
    }

    /// Counts an exchange by its outcome and returns whether the answer is complete with status 200.
    fn count(&self, exchange: &Exchange, request: &ChatRequest) -> bool {
        let counts = &self.counts;
        let counter = match exchange.ending {
            Ending::NotConnected => &counts.not_connected,
            Ending::Interrupted | Ending::NoResponse | Ending::TimedOut => &counts.incomplete,
            Ending::Complete if exchange.run_field().as_deref() == Some("not_run") => {
                &counts.refused
            }
            Ending::Complete if exchange.is_complete_ok() && exchange.text == request.answer() => {
                &counts.complete
            }
            Ending::Complete => &counts.wrong,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        exchange.is_complete_ok()
    }
}
