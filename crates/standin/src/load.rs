//! Load generator: open-loop arrivals against entry addresses.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use conf::Name;
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

use crate::{
    Result,
    arrivals::{self, Arrival, Mix, Workload},
    client::{Client, Exchange},
    engine,
    prompt::{ChatMessage, ChatRequest, LENGTH_MARKER, TOKEN_BYTES},
    report::{self, Outcome},
};

pub use crate::report::LoadReport;

/// One rank of the load, with the targets that its answers are measured against.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankLoad {
    /// Name of the rank.
    pub name: Name,
    /// Share of the requests outside a flood, relative to the other ranks.
    pub share: f64,
    /// Target for the first token.
    pub target_first_token_ms: f64,
    /// Target for the mean time between the tokens of an answer.
    pub target_between_tokens_ms: f64,
    /// Target for the whole answer.
    pub target_total_ms: f64,
    /// Worth of one answer within target, relative to the other ranks.
    pub worth: f64,
}

/// One tenant of the load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLoad {
    /// API key.
    pub key: Name,
    /// Share of the requests, relative to the other tenants.
    pub share: f64,
}

/// Settings of a load run. All times and rates are simulated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadSettings {
    /// IP addresses and ports of the entries.
    pub entries: Vec<Name>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Simulated milliseconds in a real one. It must be that of the engines.
    pub time_scale: f64,
    /// Shape of the load.
    pub workload: Workload,
    /// Time over which requests arrive.
    pub duration_ms: f64,
    /// Requests a second that the engines can serve.
    pub capacity_requests_per_s: f64,
    /// Offered load outside a flood, as a share of the capacity.
    pub load: f64,
    /// Offered load of a flood, as a multiple of the capacity.
    pub flood_factor: f64,
    /// Lengths of requests, except in a swing.
    pub mix: Mix,
    /// Lengths of requests in the first half of a swing's period.
    pub prompt_heavy: Mix,
    /// Lengths of requests in the second half of a swing's period.
    pub output_heavy: Mix,
    /// Period of a swing.
    pub swing_period_ms: f64,
    /// Number of documents that prompts begin with.
    pub documents: u32,
    /// Tokens of a document. Prompts no longer than that have no document.
    pub document_tokens: u32,
    /// Model that is asked.
    pub model: Name,
    /// The ranks, most urgent first.
    pub ranks: Vec<RankLoad>,
    /// The tenants. The last one floods in `flood_tenant`.
    pub tenants: Vec<TenantLoad>,
    /// Time after which a caller gives up.
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
            mix: Mix {
                prompt_tokens: 2_000,
                output_tokens: 100,
            },
            prompt_heavy: Mix {
                prompt_tokens: 6_000,
                output_tokens: 20,
            },
            output_heavy: Mix {
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
            tenants: vec![TenantLoad {
                key: Name::from_static_str("cooperative-key"),
                share: 1.0,
            }],
            timeout_ms: 120_000.0,
        }
    }
}

/// Requests a second that `engines` mixed engines serve without prefix hits, if neither their
/// prompt nor their output speed is exceeded while they do both.
pub fn engine_capacity(settings: &engine::Settings, mix: Mix, engines: usize) -> f64 {
    let prefill = settings.prefill_tokens_per_s / f64::from(mix.prompt_tokens.max(1));
    let decode = settings.decode_tokens_per_s / f64::from(mix.output_tokens.max(1));
    prefill.min(decode) * settings.mixed_speed * engines as f64
}

/// Offers a workload to the entries and measures what comes back.
///
/// # Errors
///
/// Returns an error if the HTTP client cannot be built.
pub async fn run(settings: LoadSettings) -> Result<LoadReport> {
    let settings = Arc::new(settings);
    let timeout_ms = settings.timeout_ms / settings.time_scale;
    let client = Client::new(Duration::from_secs_f64(timeout_ms / 1_000.0), true)?;
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for (number, arrival) in arrivals::arrivals(&settings).into_iter().enumerate() {
        let due = started + real(&settings, arrival.at_ms);
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
    Ok(LoadReport::new(&settings, &outcomes))
}

fn real(settings: &LoadSettings, simulated_ms: f64) -> Duration {
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
    async fn run(self) -> Outcome {
        let settings = &self.settings;
        let request = self.request();
        let key = &settings.tenants[self.arrival.tenant].key;
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

    /// A document that other prompts share, text of this request alone, and the answer's length.
    fn prompt(&self) -> String {
        let arrival = &self.arrival;
        let document_tokens = match arrival.prompt_tokens > self.settings.document_tokens {
            true => self.settings.document_tokens,
            false => 0,
        };
        let mut text = String::new();
        let document = format!("sheet {} ", arrival.document);
        fill(&mut text, &document, document_tokens);
        let question = format!("request {} ", self.number);
        fill(&mut text, &question, arrival.prompt_tokens);
        text + LENGTH_MARKER + &arrival.output_tokens.to_string()
    }

    fn outcome(&self, exchange: &Exchange, request: &ChatRequest) -> Outcome {
        let is_whole = exchange.is_whole_ok() && exchange.text == request.answer();
        let since_arrival = |time: Instant| self.simulated_ms(self.due, time);
        Outcome {
            rank: self.arrival.rank,
            is_whole,
            failure: (!is_whole).then(|| report::failure(exchange)),
            first_token_ms: exchange.token_times.first().copied().map(since_arrival),
            total_ms: since_arrival(exchange.ended_at),
            token_times_ms: exchange
                .token_times
                .iter()
                .map(|time| self.simulated_ms(self.started, *time))
                .collect(),
            late_ms: since_arrival(exchange.sent_at),
        }
    }

    fn simulated_ms(&self, from: Instant, to: Instant) -> f64 {
        let elapsed = to.saturating_duration_since(from);
        elapsed.as_secs_f64() * 1_000.0 * self.settings.time_scale
    }
}

/// Repeats `words`, which are ASCII, until `text` has `tokens` tokens.
fn fill(text: &mut String, words: &str, tokens: u32) {
    let length = tokens as usize * TOKEN_BYTES;
    while text.len() < length {
        text.push_str(words);
    }
    text.truncate(length);
}
