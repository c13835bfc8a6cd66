//! The metrics listener.

use bytes::Bytes;
use conf::Name;
use http::{Response, StatusCode};
use node::telemetry::Telemetry;
use tokio::sync::watch;

use crate::answer::{self, AnswerBody};
use crate::error::Error;
use crate::http::{ConnectionLimits, listen, serve};
use crate::logs::{self, Importance};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves the metrics of the process in the background. If that fails, the process runs without a metrics
/// listener.
pub async fn start(address: &Name) {
    if let Err(error) = serve_metrics(address).await {
        let text = format!("metrics=absent reason={:?}", error.to_string());
        logs::write(Importance::Failure, "process", &text);
    }
}

/// Counts a prefill whose duration shows whether its shared prefix was held: how many were expected to be held, how many
/// were, and the tokens that did not have to be computed.
pub fn count_prefix(expected: f64, is_held: bool, tokens: u32) {
    metrics::counter!("mustardstack_prefixes_observed_total").increment(1);
    let per_thousand = (expected * 1_000.0) as u64;
    metrics::counter!("mustardstack_prefixes_expected_per_mille_total").increment(per_thousand);
    if is_held {
        metrics::counter!("mustardstack_prefixes_held_total").increment(1);
        metrics::counter!("mustardstack_prefix_tokens_saved_total").increment(u64::from(tokens));
    }
}

async fn serve_metrics(address: &Name) -> Result<(), Error> {
    let telemetry = Telemetry::install()?;
    let socket = listen("metrics", address).await?;
    let (shutdown_sender, shutdown) = watch::channel(false);
    let handle = move |request: http::Request<hyper::body::Incoming>| {
        let telemetry = telemetry.clone();
        async move {
            match request.uri().path() {
                METRICS_PATH => Response::new(AnswerBody::from(Bytes::from(telemetry.render()))),
                _ => answer::error(
                    StatusCode::NOT_FOUND,
                    "unknown_path",
                    "only /metrics is served",
                ),
            }
        }
    };
    tokio::task::spawn_local(async move {
        serve(socket, ConnectionLimits::default, handle, shutdown).await;
        drop(shutdown_sender);
    });
    Ok(())
}
