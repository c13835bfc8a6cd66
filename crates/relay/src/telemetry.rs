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
