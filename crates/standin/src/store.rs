//! Downloads model weights from the platform's weight store.

use std::time::Duration;

use conf::Name;
use http::StatusCode;
use http_body_util::BodyExt;
use volo_http::{
    client::{Client, ClientBuilder},
    response::Response,
};

/// Maximum number of attempts of one download. The store answers 429 to most engines when many download at once.
const MAX_ATTEMPTS: u32 = 1_000;

/// Retry delay after a failure without a `Retry-After` header.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Downloads the weights of `name` (`MODEL@VERSION` or `MODEL:ADAPTER`). Returns whether the download completed.
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
    for _ in 0..MAX_ATTEMPTS {
        match fetch_once(&client, &url).await {
            FetchResult::Complete => return true,
            FetchResult::NotFound => return false,
            FetchResult::RetryAfter(delay) => tokio::time::sleep(delay).await,
        }
    }
    false
}

enum FetchResult {
    Complete,
    NotFound,
    RetryAfter(Duration),
}

async fn fetch_once(client: &Client, url: &str) -> FetchResult {
    let response: Response = match client.get(url.to_owned()).send().await {
        Ok(response) => response,
        Err(_) => return FetchResult::RetryAfter(DEFAULT_RETRY_DELAY),
    };
    match response.status() {
        StatusCode::OK => match response.into_body().collect().await {
            Ok(_) => FetchResult::Complete,
            Err(_) => FetchResult::RetryAfter(DEFAULT_RETRY_DELAY),
        },
        StatusCode::NOT_FOUND => FetchResult::NotFound,
        _ => FetchResult::RetryAfter(retry_after(&response)),
    }
}

fn retry_after(response: &Response) -> Duration {
    response
        .headers()
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(DEFAULT_RETRY_DELAY, Duration::from_secs)
}
