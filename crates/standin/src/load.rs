//! Load generator, which sends the requests of a workload to entry addresses. It is open-loop: requests are sent at
//! their arrival times, whether or not earlier ones have been answered.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use conf::Name;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use crate::{
    Result,
    arrivals::{self, Arrival, RequestLengths, Workload},
    client::{Client, Exchange},
    engine,
    prompt::{ChatMessage, ChatRequest, LENGTH_MARKER, TOKEN_BYTES},
    report::{self, RequestOutcome},
};

pub use crate::report::LoadRunReport;

/// One rank of the load, with the latency targets for its answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankLoad {
    /// Name of the rank.
    pub name: Name,
    /// Weight of the rank among the requests outside a flood, relative to the other ranks.
    pub share: f64,
    /// Target for the time to first token, in milliseconds.
    pub target_first_token_ms: f64,
    /// Target for the mean time between the tokens of an answer, in milliseconds.
    pub target_between_tokens_ms: f64,
    /// Target for the time to the end of the answer, in milliseconds.
    pub target_total_ms: f64,
    /// Weight in the weighted goodput of one answer within its targets, relative to the other ranks.
    pub worth: f64,
}

/// One client account of the load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccountLoad {
    /// API key of the client account.
    pub key: Name,
    /// Weight of the client account among the requests, relative to the other client accounts.
    pub share: f64,
}

/// Settings of a load run. All times and rates are simulated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// IP addresses and ports of the entry instances.
    pub entries: Vec<Name>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Number of simulated milliseconds per real millisecond. It must equal the time scale of the engines.
    pub time_scale: f64,
    /// Shape of the offered load.
    pub workload: Workload,
    /// Time during which requests arrive, in milliseconds.
    pub duration_ms: f64,
    /// Request rate that the engines can serve, per second.
    pub capacity_requests_per_s: f64,
    /// Offered load outside a flood, as a fraction of the capacity.
    pub load: f64,
    /// Offered load of a flood, as a multiple of the capacity.
    pub flood_factor: f64,
    /// Lengths of requests in all workloads except `swing`.
    pub mix: RequestLengths,
    /// Lengths of requests in the first half of each period of `swing`.
    pub prompt_heavy: RequestLengths,
    /// Lengths of requests in the second half of each period of `swing`.
    pub output_heavy: RequestLengths,
    /// Period of `swing`, in milliseconds.
    pub swing_period_ms: f64,
    /// Number of documents that prompts begin with.
    pub documents: u32,
    /// Number of tokens of a document. Prompts that are not longer than a document contain none.
    pub document_tokens: u32,
    /// Model that the requests name.
    pub model: Name,
    /// Ranks, most urgent first.
    pub ranks: Vec<RankLoad>,
    /// Client accounts. The last one sends the flood of `flood_tenant`.
    #[serde(rename = "tenants")]
    pub client_accounts: Vec<ClientAccountLoad>,
    /// Time after which a caller gives up, in milliseconds.
    pub timeout_ms: f64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        let rank = |name, share, first_token_ms, total_ms, worth| RankLoad {
            name: Name::from_static_str(name),
            share,
            target_first_token_ms: first_token_ms,
            target_between_tokens_ms: 100.0,
            target_total_ms: total_ms,
            worth,
        };
        Self {
            entries: Vec::new(),
            seed: 1,
            time_scale: 1.0,
            workload: Workload::Steady,
            duration_ms: 60_000.0,
            capacity_requests_per_s: 10.0,
            load: 0.7,
            flood_factor: 5.0,
            mix: RequestLengths {
                prompt_tokens: 2_000,
                output_tokens: 100,
            },
            prompt_heavy: RequestLengths {
                prompt_tokens: 6_000,
                output_tokens: 20,
            },
            output_heavy: RequestLengths {
                prompt_tokens: 200,
                output_tokens: 200,
            },
            swing_period_ms: 30_000.0,
            documents: 20,
            document_tokens: 4_000,
            model: Name::from_static_str("assistant"),
            ranks: vec![
                rank("urgent", 0.2, 2_000.0, 15_000.0, 10.0),
                rank("normal", 0.5, 5_000.0, 30_000.0, 3.0),
                rank("late", 0.3, 30_000.0, 120_000.0, 1.0),
            ],
            client_accounts: vec![ClientAccountLoad {
                key: Name::from_static_str("cooperative-key"),
                share: 1.0,
            }],
            timeout_ms: 120_000.0,
        }
    }
}

/// Returns the number of requests per second that `engines` mixed engines can serve without prefix cache hits. It is
/// limited by the slower of prefill and decode while the engines do both.
pub fn engine_capacity(
    settings: &engine::Settings,
    lengths: RequestLengths,
    engines: usize,
) -> f64 {
    let prefill = settings.prefill_tokens_per_s / f64::from(lengths.prompt_tokens.max(1));
    let decode = settings.decode_tokens_per_s / f64::from(lengths.output_tokens.max(1));
    prefill.min(decode) * settings.mixed_speed * engines as f64
}

/// Sends the requests of a workload to the entries and measures the responses.
///
/// # Errors
///
/// Returns an error if the HTTP client cannot be built.
pub async fn run(settings: LoadSettings) -> Result<LoadRunReport> {
    let settings = Arc::new(settings);
    let timeout_ms = settings.timeout_ms / settings.time_scale;
    let client = Client::new(Duration::from_secs_f64(timeout_ms / 1_000.0), true)?;
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for (number, arrival) in arrivals::arrivals(&settings).into_iter().enumerate() {
        let due = started + real_duration(&settings, arrival.at_ms);
        tokio::time::sleep_until(due.into()).await;
        let caller = Caller {
            settings: settings.clone(),
            client: client.clone(),
            number,
            arrival,
            started,
            due,
        };
        callers.spawn(caller.run());
    }
    let outcomes = callers.join_all().await;
    Ok(LoadRunReport::new(&settings, &outcomes))
}

fn real_duration(settings: &LoadSettings, simulated_ms: f64) -> Duration {
    Duration::from_secs_f64(simulated_ms / 1_000.0 / settings.time_scale)
}

struct Caller {
    settings: Arc<LoadSettings>,
    client: Client,
    number: usize,
    arrival: Arrival,
    started: Instant,
    due: Instant,
}

impl Caller {
    async fn run(self) -> RequestOutcome {
        let settings = &self.settings;
        let request = self.request();
        let key = &settings.client_accounts[self.arrival.client_account].key;
        let bearer = format!("Bearer {key}");
        let rank = &settings.ranks[self.arrival.rank].name;
        let headers = [
            ("authorization", bearer.as_str()),
            ("x-mustardstack-rank", rank.as_str()),
        ];
        let base_url = format!("http://{}", settings.entries[self.arrival.entry]);
        let exchange = self.client.chat(&base_url, &headers, &request).await;
        self.outcome(&exchange, &request)
    }

    fn request(&self) -> ChatRequest {
        let message = ChatMessage {
            role: Name::from_static_str("user"),
            content: Name::from(self.prompt()),
        };
        ChatRequest {
            model: self.settings.model.clone(),
            messages: vec![message],
            stream: true,
            ..ChatRequest::default()
        }
    }

    /// Returns the prompt. It consists of a document that other prompts share, text that only this request has, and the
    /// marker of the answer length.
    fn prompt(&self) -> String {
        let arrival = &self.arrival;
        let document_tokens = match arrival.prompt_tokens > self.settings.document_tokens {
            true => self.settings.document_tokens,
            false => 0,
        };
        let mut text = String::new();
        let document = format!("sheet {} ", arrival.document);
        extend_to_tokens(&mut text, &document, document_tokens);
        let question = format!("request {} ", self.number);
        extend_to_tokens(&mut text, &question, arrival.prompt_tokens);
        text + LENGTH_MARKER + &arrival.output_tokens.to_string()
    }

    fn outcome(&self, exchange: &Exchange, request: &ChatRequest) -> RequestOutcome {
        let is_complete = exchange.is_complete_ok() && exchange.text == request.answer();
        let since_arrival = |time: Instant| self.simulated_ms(self.due, time);
        RequestOutcome {
            rank: self.arrival.rank,
            is_complete,
            failure_reason: (!is_complete).then(|| report::failure_reason(exchange)),
            first_token_ms: exchange.token_times.first().copied().map(since_arrival),
            total_ms: since_arrival(exchange.ended_at),
            token_times_ms: exchange
                .token_times
                .iter()
                .map(|time| self.simulated_ms(self.started, *time))
                .collect(),
            send_delay_ms: since_arrival(exchange.sent_at),
        }
    }

    fn simulated_ms(&self, from: Instant, to: Instant) -> f64 {
        let elapsed = to.saturating_duration_since(from);
        elapsed.as_secs_f64() * 1_000.0 * self.settings.time_scale
    }
}

/// Extends `text` by repetitions of `words`, which are ASCII, to `tokens` tokens.
fn extend_to_tokens(text: &mut String, words: &str, tokens: u32) {
    let length = tokens as usize * TOKEN_BYTES;
    while text.len() < length {
        text.push_str(words);
    }
    text.truncate(length);
}
