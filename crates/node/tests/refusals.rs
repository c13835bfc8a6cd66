//! Tests of the error responses to callers whose requests are refused.

mod support;

use http::Request;
use reducer::{Effect, Event, Refusal};
use serde_json::Value;
use support::{TestInstance, chat_request, get_request, request};

fn refusal_script(refusals: Vec<Refusal>) -> support::Script {
    let mut refusals = refusals.into_iter();
    Box::new(move |_, event, effects| {
        if let Event::Arrived(arrival) = event {
            effects.push(Effect::Refuse {
                exchange: arrival.exchange,
                refusal: refusals.next().unwrap(),
            });
        }
    })
}

async fn assert_refused(
    instance: &TestInstance,
    sent: Request<String>,
    status: u16,
    code: &str,
    run: &str,
) {
    let (received_status, body) = instance.send_and_read(sent).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(received_status, status, "{body}");
    assert_eq!(body["error"]["code"], code);
    assert_eq!(body["run"], run, "{body}");
    assert!(body["error"]["message"].is_string() && body["error"]["type"].is_string());
}

/// Guards against a refusal with a wrong HTTP status, or one that reports `not_run` for a request that may have run.
#[tokio::test(flavor = "multi_thread")]
async fn every_refusal_has_its_http_status_and_run_status() {
    let retry_after_ms = 2_500;
    let table = [
        (Refusal::UnknownModel, 404, "not_run"),
        (Refusal::RankNotAllowed, 403, "not_run"),
        (Refusal::OverLimit { retry_after_ms }, 429, "not_run"),
        (Refusal::NoCapacity { retry_after_ms }, 503, "not_run"),
        (Refusal::TooLate { retry_after_ms }, 503, "not_run"),
        (Refusal::Stopping, 503, "not_run"),
        (Refusal::NotReady, 503, "not_run"),
        (
            Refusal::LedgerUnavailable { retry_after_ms },
            503,
            "not_run",
        ),
        (Refusal::Running, 409, "unknown"),
        (Refusal::MayHaveRun, 409, "unknown"),
        (Refusal::KeyReused, 422, "not_run"),
        (Refusal::UpstreamFailed, 502, "unknown"),
        (Refusal::TimedOutWaiting, 504, "not_run"),
        (Refusal::TimedOutRunning, 504, "unknown"),
    ];
    let refusals = table.iter().map(|(refusal, _, _)| refusal.clone());
    let instance = TestInstance::start(refusal_script(refusals.collect())).await;
    for (refusal, status, run) in &table {
        assert_refused(
            &instance,
            chat_request(true),
            *status,
            refusal.reason(),
            run,
        )
        .await;
    }
}

/// Guards against a refusal without the time after which the caller may send the request again.
#[tokio::test(flavor = "multi_thread")]
async fn retry_after_is_in_whole_seconds() {
    let retry_after_ms = 2_500;
    let refusals = vec![Refusal::NoCapacity { retry_after_ms }];
    let instance = TestInstance::start(refusal_script(refusals)).await;
    let response = instance.send(chat_request(true)).await;
    assert_eq!(response.headers()["retry-after"], "3");
}

/// Guards against invalid requests that reach the reducer.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_by_the_listener() {
    let instance = TestInstance::start(refusal_script(Vec::new())).await;
    let mut wrong_key = chat_request(true);
    let key = "Bearer another-key".parse().unwrap();
    wrong_key.headers_mut().insert("authorization", key);
    assert_refused(&instance, wrong_key, 401, "unknown_key", "not_run").await;
    let mut no_key = get_request("/v1/models");
    no_key.headers_mut().remove("authorization");
    assert_refused(&instance, no_key, 401, "unknown_key", "not_run").await;
    let chat_path = "/v1/chat/completions";
    let table = [
        (request("POST", chat_path, "{"), 400, "malformed"),
        (request("POST", chat_path, "[]"), 400, "malformed"),
        (
            request("POST", chat_path, r#"{"model":"lily"}"#),
            400,
            "malformed",
        ),
        (request("GET", chat_path, ""), 405, "wrong_method"),
        (request("POST", "/elsewhere", ""), 404, "unknown_path"),
        (request("POST", "/rotation", ""), 404, "unknown_path"),
        (request("DELETE", "/rota/swap", ""), 405, "wrong_method"),
        (request("POST", "/rota/%2e%2E/admin", ""), 400, "malformed"),
    ];
    for (sent, status, code) in table {
        assert_refused(&instance, sent, status, code, "not_run").await;
    }
}

/// Guards against requests that exhaust memory or occupy a connection for ever.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_limited_in_size_and_time() {
    let config = std::sync::Arc::new(support::service_config());
    let in_force = Effect::InForce {
        revision: 1,
        config,
    };
    let instance =
        TestInstance::start_with(vec![in_force], refusal_script(Vec::new()), |settings| {
            settings.limits.max_body_bytes = 1_000;
            settings.limits.body_timeout_ms = 50;
            settings.limits.header_timeout_ms = 50;
        })
        .await;
    let ready = async {
        while instance.send(get_request("/v1/models")).await.status() != 200 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(support::WAIT_TIMEOUT, ready)
        .await
        .unwrap();
    let large = request("POST", "/rota/swap", &"x".repeat(1_001));
    assert_refused(&instance, large, 413, "body_too_large", "not_run").await;
    // This body has no `Content-Length`.
    let key = support::KEY;
    let head = format!("POST /rota/swap HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n");
    let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n{chunk}0\r\n\r\n");
    assert!(
        send_raw(&instance, &chunked)
            .await
            .starts_with("HTTP/1.1 413")
    );
    let slow = format!("{head}content-length: 10\r\n\r\nhalf");
    assert!(send_raw(&instance, &slow).await.starts_with("HTTP/1.1 408"));
    // This head never ends. The connection is closed without an answer or with status 408.
    let answer = send_raw(&instance, "POST /rota/swap HTTP/1.1\r\n").await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"));
}

/// Sends bytes and returns the first bytes of the answer, or an empty string if the connection is closed without one.
async fn send_raw(instance: &TestInstance, data: &str) -> String {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let address = instance.settings.instance.caller_address.as_str();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(data.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4_096];
    let read = tokio::time::timeout(support::WAIT_TIMEOUT, stream.read(&mut answer));
    let length = read.await.expect("the answer did not arrive").unwrap();
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// Guards against an instance that serves callers, or reports that it is ready, before a configuration is in force.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_configuration_is_not_ready() {
    let instance = TestInstance::start_with(Vec::new(), refusal_script(Vec::new()), |_| {}).await;
    assert_refused(&instance, chat_request(true), 503, "not_ready", "not_run").await;
    assert_refused(
        &instance,
        get_request("/readyz"),
        503,
        "not_ready",
        "not_run",
    )
    .await;
    assert_eq!(instance.send(get_request("/healthz")).await.status(), 200);
}

/// Guards against a list of models that omits adapters.
#[tokio::test(flavor = "multi_thread")]
async fn models_are_listed_with_their_adapters() {
    let instance = TestInstance::start(refusal_script(Vec::new())).await;
    let (_, body) = instance.send_and_read(get_request("/v1/models")).await;
    let body: Value = serde_json::from_str(&body).unwrap();
    let ids: Vec<_> = body["data"]
        .as_array()
        .unwrap()
        .iter()
        .map(|model| &model["id"])
        .collect();
    assert_eq!(ids, ["lily", "lily:rota"]);
}
