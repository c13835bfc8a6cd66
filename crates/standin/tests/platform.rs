//! Tests of the stand-in platform over HTTP.

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::json;
use standin::{
    client::Client,
    platform::{self, InstanceList, ListedInstance, ListedState, Settings},
};

fn client() -> Client {
    Client::new(Duration::from_secs(30), false).expect("the HTTP client can be built")
}

fn list(state: ListedState) -> Vec<ListedInstance> {
    let id = "a".into();
    vec![ListedInstance { id, state }]
}

/// Guards against a list that shows changes without the lag, and against a change that is never shown.
#[tokio::test]
async fn a_change_is_shown_after_the_lag() {
    for (list_lag_ms, shown) in [(0.0, "leaving"), (3_600_000.0, "live")] {
        let settings = Settings {
            instances: list(ListedState::Live),
            list_lag_ms,
            ..Settings::default()
        };
        let platform = platform::start(settings).expect("the platform starts");
        let change = InstanceList {
            instances: list(ListedState::Leaving),
        };
        let body = json!(change).to_string();
        let url = platform.url("/debug/instances");
        let changed = client().send(Method::PUT, &url, &[], body).await;
        assert!(changed.is_complete_ok());
        let list = client().get_json(&platform.url("/instances"), &[]).await;
        assert_eq!(
            list,
            json!({ "instances": [{ "id": "a", "state": shown }] })
        );
    }
}

/// Guards against a weight store without a rate limit, and against a refusal that does not say when to retry.
#[tokio::test]
async fn the_weight_store_is_rate_limited() {
    let settings = Settings {
        downloads_per_s: 1e-6,
        weights_bytes: 200_000,
        ..Settings::default()
    };
    let platform = platform::start(settings).expect("the platform starts");
    let url = platform.url("/weights/assistant/2");
    let first = client().send(Method::GET, &url, &[], "").await;
    assert!(first.is_complete_ok());
    assert_eq!(first.text.len(), 200_000);
    let second = client().send(Method::GET, &url, &[], "").await;
    assert_eq!(second.status, Some(StatusCode::TOO_MANY_REQUESTS));
    assert!(second.headers.contains_key("retry-after"));
}
