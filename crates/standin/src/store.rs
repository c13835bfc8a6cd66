//! Fetches weights from the platform's weight store.

use std::time::Duration;

use conf::Name;
use http::StatusCode;
use http_body_util::BodyExt;
use volo_http::{
    client::{Client, ClientBuilder},
    response::Response,
};

/// Tries before a load is given up. The store answers 429 to most of a crowd of engines.
const TRY_LIMIT: u32 = 1_000;

/// Pause after a failure that names no time.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Fetches the weights of `name` (`MODEL@VERSION` or `MODEL:ADAPTER`). Returns whether they came
/// whole.
pub async fn fetch(store_url: &str, name: &Name) -> bool {
    let Ok(client) = ClientBuilder::new().build() else {
        return false;
    };
    let (model, version) = name
        .split_once('@')
        .or_else(|| name.split_once(':'))
        .unwrap_or((name, "1"));
    let url = format!(
        "{}/weights/{model}/{version}",
        store_url.trim_end_matches('/')
    );
    for _ in 0..TRY_LIMIT {
        match try_fetch(&client, &url).await {
            Fetched::Whole => return true,
            Fetched::Missing => return false,
            Fetched::Later(pause) => tokio::time::sleep(pause).await,
        }
    }
    false
}

enum Fetched {
    Whole,
    Missing,
    Later(Duration),
}

async fn try_fetch(client: &Client, url: &str) -> Fetched {
    let response: Response = match client.get(url.to_owned()).send().await {
        Ok(response) => response,
        Err(_) => return Fetched::Later(RETRY_PAUSE),
    };
    match response.status() {
        StatusCode::OK => match response.into_body().collect().await {
            Ok(_) => Fetched::Whole,
            Err(_) => Fetched::Later(RETRY_PAUSE),
        },
        StatusCode::NOT_FOUND => Fetched::Missing,
        _ => Fetched::Later(retry_after(&response)),
    }
}

fn retry_after(response: &Response) -> Duration {
    response
        .headers()
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(RETRY_PAUSE, Duration::from_secs)
}
