//! Tests of the stand-in plain service over HTTP.

use std::time::Duration;

use conf::Name;
use http::Method;
use standin::{
    client::Client,
    service::{self, Settings},
};

fn client() -> Client {
    Client::new(Duration::from_secs(30), false).expect("the HTTP client can be built")
}

/// Guards against calls that are counted under the wrong key.
#[tokio::test]
async fn executions_are_counted_by_key_or_by_body() {
    let service = service::start(Settings::default()).expect("the service starts");
    let url = service.url("/rota/swap");
    let key = [("idempotency-key", "swap-1")];
    for (headers, body) in [(&key[..], "a"), (&key[..], "b"), (&[][..], "a")] {
        let call = client().send(Method::POST, &url, headers, body).await;
        assert!(call.is_complete_ok());
    }
    let counts = client()
        .get_json(&service.url("/debug/executions"), &[])
        .await;
    assert_eq!(counts["swap-1"], 2);
    assert_eq!(counts["POST /rota/swap a"], 1);
    let load = client().get_json(&service.url("/load"), &[]).await;
    assert_eq!(load["running"], 0);
}

/// Guards against execution counts that a crash resets, which would hide a second execution.
#[tokio::test]
async fn counts_survive_a_crash_with_a_journal_file() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let journal = folder.path().join("journal").display().to_string();
    let settings = Settings {
        journal_file: Name::from(journal),
        ..Settings::default()
    };
    let key = [("idempotency-key", "pay-1")];
    for _ in 0..2 {
        let mut service = service::start(settings.clone()).expect("the service starts");
        let url = service.url("/pay");
        let call = client().send(Method::POST, &url, &key, "{}").await;
        assert!(call.is_complete_ok());
        service.crash();
    }
    let service = service::start(settings).expect("the service starts");
    let counts = client()
        .get_json(&service.url("/debug/executions"), &[])
        .await;
    assert_eq!(counts["pay-1"], 2);
}
