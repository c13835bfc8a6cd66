//! Tests of the stand-in engine over HTTP.

use std::{future::Future, time::Duration};

use conf::{Fencing, Name, Role};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use standin::{
    RunningStandin,
    client::{Client, Ending},
    engine::{self, Settings},
    platform,
    prompt::{ChatMessage, ChatRequest, KvTransfer},
};

/// Maximum time to wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

fn fast_settings() -> Settings {
    Settings {
        time_scale: 20.0,
        event_loss: 0.0,
        ..Settings::default()
    }
}

fn client() -> Client {
    Client::new(WAIT_LIMIT, false).expect("the HTTP client can be built")
}

fn chat(content: &str, max_tokens: u32, stream: bool) -> ChatRequest {
    let message = ChatMessage {
        role: "user".into(),
        content: content.to_owned().into(),
    };
    ChatRequest {
        model: "assistant".into(),
        messages: vec![message],
        max_tokens: Some(max_tokens),
        stream,
        ..ChatRequest::default()
    }
}

async fn post(engine: &RunningStandin, path: &str, body: Value) -> (Option<StatusCode>, Value) {
    let body = body.to_string();
    let exchange = client()
        .send(Method::POST, &engine.url(path), &[], body)
        .await;
    (exchange.status, exchange.json())
}

async fn get(engine: &RunningStandin, path: &str) -> Value {
    client().get_json(&engine.url(path), &[]).await
}

async fn wait_until<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let check = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, check)
        .await
        .expect("the condition holds in time");
}

/// Guards against answers that differ between streamed and buffered responses, or between engines.
#[tokio::test]
async fn buffered_and_streamed_answers_are_the_same() {
    let (first, second) = (
        engine::start(fast_settings()),
        engine::start(fast_settings()),
    );
    let (first, second) = (
        first.expect("the engine starts"),
        second.expect("the engine starts"),
    );
    let request = chat("Who brings lilies?", 30, false);
    let response = client().chat(&first.url(""), &[], &request).await;
    assert_eq!(response.completion_text(), Some(request.answer()));
    let streamed = chat("Who brings lilies?", 30, true);
    let streamed = client().chat(&second.url(""), &[], &streamed).await;
    assert_eq!(streamed.ending, Ending::Complete);
    assert_eq!(streamed.text, request.answer());
    assert_eq!(streamed.token_times.len(), 30);
}

/// Guards against a crash that looks like a complete answer, and against a resumed answer with missing tokens.
#[tokio::test]
async fn a_crash_interrupts_the_stream_and_another_engine_resumes_it() {
    let mut first = engine::start(Settings::default()).expect("the engine starts");
    let second = engine::start(fast_settings()).expect("the engine starts");
    let request = chat("Plan the week", 200, true);
    let url = first.url("");
    let streamed_request = request.clone();
    let exchange = tokio::spawn(async move { client().chat(&url, &[], &streamed_request).await });
    wait_until(|| async { get(&first, "/load").await["output_tokens_running"].as_u64() > Some(3) })
        .await;
    first.crash();
    let interrupted = exchange.await.expect("the caller's task ends");
    assert_eq!(interrupted.ending, Ending::Interrupted);
    assert!(!interrupted.text.is_empty() && request.answer().starts_with(&interrupted.text));
    let refused = client().chat(&first.url(""), &[], &request).await;
    assert_eq!(refused.ending, Ending::NotConnected);
    let resumed = ChatRequest {
        resume_text: Some(interrupted.text.clone().into()),
        ..request.clone()
    };
    let rest = client().chat(&second.url(""), &[], &resumed).await;
    assert_eq!(rest.ending, Ending::Complete);
    assert_eq!(interrupted.text + &rest.text, request.answer());
}

/// Guards against an address that stays in use after a crash.
#[tokio::test]
async fn an_engine_restarts_on_the_address_of_a_crashed_one() {
    let mut first = engine::start(fast_settings()).expect("the engine starts");
    let listen = Name::from(first.address().to_string());
    let (status, _) = post(&first, "/debug/crash", json!({})).await;
    assert!(status.is_none_or(|status| status == StatusCode::OK));
    assert_eq!(first.ended().await, standin::ExitReason::Crashed);
    let settings = Settings {
        listen,
        ..fast_settings()
    };
    let second = engine::start(settings).expect("the address is free");
    let request = chat("Again", 5, false);
    let response = client().chat(&second.url(""), &[], &request).await;
    assert_eq!(response.completion_text(), Some(request.answer()));
}

/// Guards against a cancelled request that continues or looks complete to its caller.
#[tokio::test]
async fn a_cancelled_stream_is_not_complete() {
    let engine = engine::start(Settings::default()).expect("the engine starts");
    let url = engine.url("");
    let exchange = tokio::spawn(async move {
        let request = chat("A long summary", 100_000, true);
        let headers = [("x-request-id", "long"), ("x-priority", "2")];
        client().chat(&url, &headers, &request).await
    });
    let path = engine.url("/requests/long");
    wait_until(|| async {
        let reply = client().send(Method::DELETE, &path, &[], "").await;
        reply.status == Some(StatusCode::OK)
    })
    .await;
    assert_eq!(
        exchange.await.expect("the caller's task ends").ending,
        Ending::Interrupted
    );
    let requests = get(&engine, "/debug/requests").await;
    assert_eq!(requests[0]["id"], "long");
    assert_eq!(requests[0]["priority"], 2);
    assert_eq!(requests[0]["end"], "cancelled");
}

/// Guards against work for a caller that has disconnected.
#[tokio::test]
async fn an_abandoned_request_leaves_the_batch() {
    let engine = engine::start(Settings::default()).expect("the engine starts");
    let url = engine.url("");
    let exchange = tokio::spawn(async move {
        let request = chat("A long summary", 100_000, true);
        client().chat(&url, &[], &request).await
    });
    wait_until(|| async { get(&engine, "/load").await["running"] == 1 }).await;
    exchange.abort();
    wait_until(|| async { get(&engine, "/load").await["running"] == 0 }).await;
    assert_eq!(get(&engine, "/debug/requests").await[0]["end"], "abandoned");
}

/// Guards against an engine that admits requests during a role change or interrupts its running streams.
#[tokio::test]
async fn an_engine_in_a_role_change_admits_no_requests_and_finishes_its_streams() {
    let engine = engine::start(Settings::default()).expect("the engine starts");
    let url = engine.url("");
    let request = chat("Before the change", 60, true);
    let streamed_request = request.clone();
    let exchange = tokio::spawn(async move { client().chat(&url, &[], &streamed_request).await });
    wait_until(|| async { get(&engine, "/load").await["running"] == 1 }).await;
    let order = json!({ "epoch": 1, "sequence": 1, "role": "decode" });
    let (status, state) = post(&engine, "/order", order).await;
    assert_eq!(status, Some(StatusCode::OK));
    assert_eq!(state["changing_to"], "decode");
    let during = chat("During the change", 5, false);
    let refused = client().chat(&engine.url(""), &[], &during).await;
    assert_eq!(refused.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(refused.headers.contains_key("retry-after"));
    let response = exchange.await.expect("the caller's task ends");
    assert_eq!(response.ending, Ending::Complete);
    assert_eq!(response.text, request.answer());
    wait_until(|| async { get(&engine, "/order").await["role"] == "decode" }).await;
}

/// Guards against an engine that accepts orders of a sender that has lost the engine's order gate, and against orders
/// that `/debug/orders` does not list.
#[tokio::test]
async fn fencing_is_enforced_or_ignored_and_every_order_is_logged() {
    for (fencing, expected) in [
        (Fencing::Enforced, StatusCode::CONFLICT),
        (Fencing::Ignored, StatusCode::OK),
    ] {
        let engine = engine::start(Settings {
            fencing,
            ..fast_settings()
        })
        .expect("the engine starts");
        let new = json!({ "epoch": 5, "sequence": 1, "unload": "nothing" });
        assert_eq!(post(&engine, "/order", new).await.0, Some(StatusCode::OK));
        let old = json!({ "epoch": 4, "sequence": 2, "unload": "nothing" });
        assert_eq!(post(&engine, "/order", old).await.0, Some(expected));
        let log = get(&engine, "/debug/orders").await;
        assert_eq!(log[0]["outcome"], "accepted");
        assert_eq!(log[1]["order"]["epoch"], 4);
        let refused = expected == StatusCode::CONFLICT;
        assert_eq!(log[1]["outcome"] == "stale", refused);
    }
}

/// Guards against changes of the prefix cache without cache events, and against cache hits that are not counted.
#[tokio::test]
async fn events_describe_the_cache_content_and_a_hit_is_counted() {
    let settings = Settings {
        chunk_tokens: 100,
        cache_chunks: 4,
        ..fast_settings()
    };
    let engine = engine::start(settings).expect("the engine starts");
    let long = chat(&"pattern ".repeat(100), 2, false);
    for _ in 0..2 {
        client().chat(&engine.url(""), &[], &long).await;
    }
    let requests = get(&engine, "/debug/requests").await;
    assert_eq!(requests[0]["cached_tokens"], 0);
    assert_eq!(requests[1]["cached_tokens"], 200);
    wait_until(|| async { get(&engine, "/load").await["kv_chunks_used"] == 2 }).await;
    let events = || async { get(&engine, "/cache/events?after=0").await["events"].clone() };
    wait_until(|| async { events().await.as_array().is_some_and(|e| e.len() == 2) }).await;
    assert_eq!(events().await[0]["kind"], "stored");
    let other = chat(&"sheet ".repeat(250), 2, false);
    client().chat(&engine.url(""), &[], &other).await;
    let evicted = |events: &Value| {
        let events = events.as_array().cloned().unwrap_or_default();
        events.iter().any(|event| event["kind"] == "evicted")
    };
    wait_until(|| async { evicted(&events().await) }).await;
}

/// Guards against lost events that leave no gap in the numbers, so that no test of a reader would see a gap.
#[tokio::test]
async fn lost_events_leave_gaps_in_the_numbers() {
    let settings = Settings {
        chunk_tokens: 10,
        event_loss: 0.5,
        ..fast_settings()
    };
    let engine = engine::start(settings).expect("the engine starts");
    let long = chat(&"pattern ".repeat(100), 2, false);
    client().chat(&engine.url(""), &[], &long).await;
    let events = || async { get(&engine, "/cache/events").await["events"].clone() };
    wait_until(|| async { events().await.as_array().is_some_and(|e| !e.is_empty()) }).await;
    let events = events().await;
    let numbers: Vec<u64> = events
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|event| event["number"].as_u64())
        .collect();
    assert!(numbers.is_sorted() && numbers.len() < 20);
    assert!(numbers.last() > Some(&(numbers.len() as u64)));
}

/// Guards against KV cache that is lost when it is transferred between two engines.
#[tokio::test]
async fn exported_chunks_are_a_prefix_hit_on_the_importing_engine() {
    let settings = Settings {
        chunk_tokens: 100,
        ..fast_settings()
    };
    let first = engine::start(settings.clone()).expect("the engine starts");
    let second = engine::start(settings.clone()).expect("the engine starts");
    let third = engine::start(settings).expect("the engine starts");
    let long = chat(&"pattern ".repeat(100), 2, false);
    client().chat(&first.url(""), &[], &long).await;
    let hashes = standin::prompt::chunk_hashes("assistant", &long.prompt_text(), 100);
    let names: Vec<Name> = hashes
        .into_iter()
        .map(standin::prompt::format_chunk_hash)
        .collect();
    let (_, transfer) = post(&first, "/kv/export", json!({ "chunks": names })).await;
    let exported: KvTransfer =
        serde_json::from_value(transfer.clone()).expect("the response is a KV transfer");
    assert_eq!(exported.chunks, names);
    assert_eq!(post(&second, "/kv/import", transfer).await.1["imported"], 2);
    client().chat(&second.url(""), &[], &long).await;
    let with_import = ChatRequest {
        kv_import: Some(exported),
        ..long
    };
    client().chat(&third.url(""), &[], &with_import).await;
    for engine in [&second, &third] {
        let requests = get(engine, "/debug/requests").await;
        assert_eq!(requests[0]["cached_tokens"], 200);
    }
}

/// Guards against an unbounded queue, and against a refusal that does not say when to retry.
#[tokio::test]
async fn a_full_engine_refuses_with_retry_after() {
    let settings = Settings {
        max_running: 1,
        max_waiting: 1,
        ..Settings::default()
    };
    let engine = engine::start(settings).expect("the engine starts");
    let mut callers = Vec::new();
    for number in 0..2 {
        let url = engine.url("");
        let request = chat(&format!("Long {number}"), 100_000, true);
        let call = async move { client().chat(&url, &[], &request).await };
        callers.push(tokio::spawn(call));
        let count = || async {
            let load = get(&engine, "/load").await;
            load["running"].as_u64().unwrap_or(0) + load["waiting"].as_u64().unwrap_or(0)
        };
        wait_until(|| async { count().await == number + 1 }).await;
    }
    let refused = client()
        .chat(&engine.url(""), &[], &chat("No", 1, false))
        .await;
    assert_eq!(refused.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(refused.headers.contains_key("retry-after"));
    callers.iter().for_each(|call| call.abort());
}

/// Guards against a load that bypasses the weight store or that fails when the store limits its rate.
#[tokio::test]
async fn models_are_loaded_from_the_rate_limited_weight_store() {
    let store = platform::start(platform::Settings {
        downloads_per_s: 0.5,
        ..platform::Settings::default()
    })
    .expect("the platform starts");
    let settings = Settings {
        weight_store_url: Name::from(store.url("")),
        ..fast_settings()
    };
    let engine = engine::start(settings).expect("the engine starts");
    for (sequence, model) in [(1, "assistant@2"), (2, "summary@1")] {
        let order = json!({ "epoch": 1, "sequence": sequence, "load": model });
        assert_eq!(post(&engine, "/order", order).await.0, Some(StatusCode::OK));
        wait_until(|| async {
            let models = get(&engine, "/order").await["models"].clone();
            models
                .as_array()
                .is_some_and(|models| models.contains(&json!(model)))
        })
        .await;
    }
    let models = get(&engine, "/order").await["models"].clone();
    assert_eq!(models, json!(["assistant@2", "summary@1"]));
}

/// Guards against invalid requests that are answered as if they were valid.
#[tokio::test]
async fn invalid_requests_are_refused() {
    let engine = engine::start(fast_settings()).expect("the engine starts");
    let (status, _) = post(&engine, "/v1/chat/completions", json!({})).await;
    assert_eq!(status, Some(StatusCode::BAD_REQUEST));
    let unknown = ChatRequest {
        model: "unknown".into(),
        ..chat("Hello", 5, false)
    };
    let unknown = client().chat(&engine.url(""), &[], &unknown).await;
    assert_eq!(unknown.status, Some(StatusCode::NOT_FOUND));
    let wrong = ChatRequest {
        resume_text: Some("not the answer".into()),
        ..chat("Hello", 5, false)
    };
    let wrong = client().chat(&engine.url(""), &[], &wrong).await;
    assert_eq!(wrong.status, Some(StatusCode::BAD_REQUEST));
}

/// Guards against a misspelt key in a settings file that is silently ignored.
#[test]
fn settings_are_read_from_toml() {
    let settings: Settings = toml::from_str("role = \"decode\"\nfencing = \"ignored\"\nseed = 7")
        .expect("valid settings");
    let expected = Settings {
        role: Role::Decode,
        fencing: Fencing::Ignored,
        seed: 7,
        ..Settings::default()
    };
    assert_eq!(settings, expected);
    assert!(toml::from_str::<Settings>("sead = 7").is_err());
}
