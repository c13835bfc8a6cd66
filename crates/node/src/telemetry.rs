//! Records and renders the metrics of the process.

use std::sync::OnceLock;

use conf::Name;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use reducer::Sample;

use crate::error::Error;

/// Upper bounds of histogram buckets, in milliseconds. They range from the time of one token to the time of a long
/// answer.
const BUCKETS_MS: [f64; 18] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 33.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 1_200.0, 2_000.0, 5_000.0,
    10_000.0, 20_000.0, 60_000.0, 120_000.0,
];

/// Handle of the recorder, which is global to the process and shared by all instances in it.
static RECORDER_HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Access to the recorded metrics.
#[derive(Clone, Debug)]
pub struct Telemetry {
    handle: PrometheusHandle,
}

impl Telemetry {
    /// Installs the process's recorder, or uses the recorder that is already installed.
    ///
    /// # Errors
    /// Fails if the recorder cannot be built.
    pub fn install() -> Result<Self, Error> {
        if let Some(handle) = RECORDER_HANDLE.get() {
            return Ok(Self {
                handle: handle.clone(),
            });
        }
        let setup_error = |reason: String| Error::Setup {
            what: "metrics",
            reason,
        };
        let recorder = PrometheusBuilder::new()
            .set_buckets(&BUCKETS_MS)
            .map_err(|error| setup_error(error.to_string()))?
            .build_recorder();
        let handle = RECORDER_HANDLE.get_or_init(|| {
            let handle = recorder.handle();
            // This runs once, so that concurrent installers share one recorder. Installing fails only if other code in
            // the process has installed a recorder before.
            let _ = metrics::set_global_recorder(recorder);
            handle
        });
        Ok(Self {
            handle: handle.clone(),
        })
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}

/// Records a sample that the reducer produced.
pub fn record(sample: Sample) {
    match sample {
        Sample::FirstToken {
            client_account,
            rank,
            elapsed_ms,
        } => histogram(
            "mustardstack_first_token_ms",
            client_account,
            rank,
            elapsed_ms as f64,
        ),
        Sample::BetweenTokens {
            client_account,
            rank,
            elapsed_ms,
        } => histogram(
            "mustardstack_between_tokens_ms",
            client_account,
            rank,
            elapsed_ms,
        ),
        Sample::Total {
            client_account,
            rank,
            elapsed_ms,
            in_target,
        } => {
            let (account, rank_name) = (client_account.to_string(), rank.to_string());
            let in_target = in_target.to_string();
            metrics::counter!(
                "mustardstack_answers_total",
                "tenant" => account, "rank" => rank_name, "in_target" => in_target
            )
            .increment(1);
            histogram(
                "mustardstack_total_ms",
                client_account,
                rank,
                elapsed_ms as f64,
            );
        }
        Sample::Queued {
            client_account,
            rank,
            elapsed_ms,
        } => histogram(
            "mustardstack_queued_ms",
            client_account,
            rank,
            elapsed_ms as f64,
        ),
        Sample::Tokens {
            client_account,
            rank,
            prompt_tokens,
            output_tokens,
        } => {
            count_tokens("prompt", &client_account, &rank, prompt_tokens);
            count_tokens("output", &client_account, &rank, output_tokens);
        }
        Sample::Refused {
            client_account,
            rank,
            reason,
        } => {
            let (account, rank) = (client_account.to_string(), rank.to_string());
            metrics::counter!("mustardstack_refused_total", "tenant" => account, "rank" => rank, "reason" => reason)
                .increment(1);
        }
        Sample::Retried { upstream } => {
            metrics::counter!("mustardstack_retries_total", "upstream" => upstream.to_string())
                .increment(1);
        }
        Sample::Committed { elapsed_ms } => {
            metrics::histogram!("mustardstack_commit_ms").record(elapsed_ms as f64);
        }
        Sample::RoleChanged { service } => {
            metrics::counter!("mustardstack_role_changes_total", "service" => service.to_string())
                .increment(1);
        }
    }
}

fn histogram(name: &'static str, client_account: Name, rank: Name, value: f64) {
    let (account, rank) = (client_account.to_string(), rank.to_string());
    metrics::histogram!(name, "tenant" => account, "rank" => rank).record(value);
}

fn count_tokens(kind: &'static str, client_account: &Name, rank: &Name, tokens: u32) {
    let (account, rank) = (client_account.to_string(), rank.to_string());
    metrics::counter!("mustardstack_tokens_total", "kind" => kind, "tenant" => account, "rank" => rank)
        .increment(u64::from(tokens));
}
