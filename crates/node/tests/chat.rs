//! Tests of chat completions between callers and engines.

mod support;

use reducer::{Effect, End, Event, Refusal, RequestKind};
use support::{
    TestInstance, Upstream, chat_request, dispatch, dispatcher, get_request, read_frame,
    read_stream, read_text,
};

/// Guards against a streamed answer that is buffered before it is forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_is_forwarded_event_by_event() {
    let engine = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![engine.address.clone()])).await;
    let answer = tokio::spawn({
        let address = instance.settings.instance.caller_address.clone();
        async move {
            support::send(&address, chat_request(true))
                .await
                .into_body()
        }
    });
    let mut connection = engine.accept_request().await;
    assert!(connection.head.starts_with("post /v1/chat/completions "));
    assert!(connection.head.contains("x-priority: 1"));
    assert!(connection.head.contains("x-request-id: north-"));
    assert!(!connection.head.contains("authorization"));
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    let mut body = answer.await.unwrap();
    let first = read_frame(&mut body).await.unwrap().unwrap();
    assert!(first.contains("Hello"));
    connection.send_token("a", " there").await;
    let second = read_frame(&mut body).await.unwrap().unwrap();
    assert!(second.contains(" there"));
    connection.end_events("a", "stop").await;
    let rest = read_text(&mut body).await.unwrap();
    let (_, _, reasons) = read_stream(&rest);
    assert_eq!(reasons, ["stop", "[DONE]"]);
    let mut output = 0;
    let end = instance
        .wait_event(|event| match event {
            Event::Progress { output_tokens, .. } => {
                output = output_tokens;
                None
            }
            Event::Ended { end, .. } => Some(end),
            _ => None,
        })
        .await;
    assert_eq!(end, End::Complete { answer: None });
    assert_eq!(output, 2);
}

/// Guards against a stream in which the caller can detect that the answer moved to another engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_continues_as_one_answer() {
    let (first, second) = (Upstream::start().await, Upstream::start().await);
    let addresses = vec![first.address.clone(), second.address.clone()];
    let mut instance = TestInstance::start(dispatcher(addresses)).await;
    let answer = tokio::spawn({
        let address = instance.settings.instance.caller_address.clone();
        async move {
            read_text(
                &mut support::send(&address, chat_request(true))
                    .await
                    .into_body(),
            )
            .await
        }
    });
    let mut connection = first.accept_request().await;
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    connection.send_token("a", " and").await;
    // The connection ends after a part of an event, which must not be forwarded to the caller.
    connection.send_chunk("data: {\"id\":\"a\",\"choi").await;
    drop(connection);
    assert_eq!(instance.wait_attempt_end(1).await, End::Broken);
    let mut connection = second.accept_request().await;
    let body: serde_json::Value = serde_json::from_str(&connection.body).unwrap();
    assert_eq!(body["resume_text"], "Hello and");
    assert_eq!(body["stream"], true);
    connection.begin_events().await;
    connection.send_token("b", " welcome").await;
    connection.end_events("b", "stop").await;
    let body = answer.await.unwrap().unwrap();
    let (text, ids, reasons) = read_stream(&body);
    assert_eq!(text, "Hello and welcome");
    assert_eq!(ids, ["a"]);
    assert_eq!(reasons, ["stop", "[DONE]"]);
    assert_eq!(body.matches("\"role\"").count(), 2);
}

/// Guards against a JSON answer that lacks the output of an attempt, and against engines that do not get `stream: true`
/// if the caller did not request a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_json_answer_is_assembled_from_all_attempts() {
    let (first, second) = (Upstream::start().await, Upstream::start().await);
    let addresses = vec![first.address.clone(), second.address.clone()];
    let instance = TestInstance::start(dispatcher(addresses)).await;
    let answer = tokio::spawn({
        let address = instance.settings.instance.caller_address.clone();
        async move {
            read_text(
                &mut support::send(&address, chat_request(false))
                    .await
                    .into_body(),
            )
            .await
        }
    });
    let mut connection = first.accept_request().await;
    let body: serde_json::Value = serde_json::from_str(&connection.body).unwrap();
    assert_eq!(body["stream"], true);
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    drop(connection);
    let mut connection = second.accept_request().await;
    connection.begin_events().await;
    connection.send_token("b", " there").await;
    connection.end_events("b", "length").await;
    let answer: serde_json::Value = serde_json::from_str(&answer.await.unwrap().unwrap()).unwrap();
    let choice = &answer["choices"][0];
    assert_eq!(choice["message"]["content"], "Hello there");
    assert_eq!(choice["finish_reason"], "length");
    assert_eq!(answer["usage"]["completion_tokens"], 2);
    assert_eq!(answer["object"], "chat.completion");
}

/// Guards against a stream without an end marker, or with the finish reason `cancelled`, that is treated as complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_complete_end_is_broken() {
    let engine = Upstream::start().await;
    let addresses = vec![engine.address.clone(); 3];
    let mut instance = TestInstance::start(dispatcher(addresses)).await;
    let answer = tokio::spawn({
        let address = instance.settings.instance.caller_address.clone();
        async move {
            read_text(
                &mut support::send(&address, chat_request(true))
                    .await
                    .into_body(),
            )
            .await
        }
    });
    let mut connection = engine.accept_request().await;
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    connection.write("0\r\n\r\n").await;
    assert_eq!(instance.wait_attempt_end(1).await, End::Broken);
    let mut connection = engine.accept_request().await;
    connection.begin_events().await;
    connection.end_events("b", "cancelled").await;
    assert_eq!(instance.wait_attempt_end(2).await, End::Broken);
    let mut connection = engine.accept_request().await;
    connection.begin_events().await;
    connection.send_token("c", " there").await;
    connection.end_events("c", "stop").await;
    let (text, _, reasons) = read_stream(&answer.await.unwrap().unwrap());
    assert_eq!(text, "Hello there");
    assert_eq!(reasons, ["stop", "[DONE]"]);
}

/// Guards against a usage event that is forwarded before the event with the finish reason, and against a finish reason
/// that is forwarded twice because the first attempt failed after it.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_an_answer_is_forwarded_once_and_in_order() {
    let engine = Upstream::start().await;
    let addresses = vec![engine.address.clone(); 2];
    let mut instance = TestInstance::start(dispatcher(addresses)).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move {
        read_text(
            &mut support::send(&address, chat_request(true))
                .await
                .into_body(),
        )
        .await
    });
    let finish = r#"{"id":"a","choices":[{"delta":{},"finish_reason":"stop"}]}"#;
    let mut connection = engine.accept_request().await;
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    connection.send_event(finish).await;
    drop(connection);
    assert_eq!(instance.wait_attempt_end(1).await, End::Broken);
    let mut connection = engine.accept_request().await;
    connection.begin_events().await;
    connection.send_event(finish).await;
    let usage = r#"{"id":"b","choices":[],"usage":{"completion_tokens":0}}"#;
    connection.send_event(usage).await;
    connection.send_event("[DONE]").await;
    let body = answer.await.unwrap().unwrap();
    let events: Vec<&str> = body.trim_end().split("\n\n").collect();
    assert_eq!(events.len(), 4, "{body}");
    assert!(events[1].contains("\"finish_reason\":\"stop\""));
    assert!(events[2].contains("\"completion_tokens\":1"));
    assert_eq!(events[3], "data: [DONE]");
}

/// Guards against an attempt that may have run but is reported as not run, and against one that has not run but is
/// reported as possibly run.
#[tokio::test(flavor = "multi_thread")]
async fn the_end_of_an_attempt_shows_whether_it_may_have_run() {
    let unreachable = Upstream::start().await.address;
    let engine = Upstream::start().await;
    let addresses = vec![unreachable, engine.address.clone(), engine.address.clone()];
    let mut instance = TestInstance::start(dispatcher(addresses)).await;
    let answer = tokio::spawn({
        let address = instance.settings.instance.caller_address.clone();
        async move { support::send(&address, chat_request(false)).await.status() }
    });
    assert_eq!(instance.wait_attempt_end(1).await, End::NotSent);
    let mut connection = engine.accept_request().await;
    connection
        .send_answer("503 Service Unavailable", "", "{}")
        .await;
    assert_eq!(instance.wait_attempt_end(2).await, End::Rejected);
    let connection = engine.accept_request().await;
    drop(connection);
    assert_eq!(instance.wait_attempt_end(3).await, End::Broken);
    answer.abort();
}

/// Guards against a request that is sent after its send deadline because the process was delayed.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_written_after_the_send_deadline() {
    let engine = Upstream::start().await;
    let address = engine.address.clone();
    let script = Box::new(
        move |now_ms: u64, event: &Event, effects: &mut Vec<Effect>| {
            if let Event::Arrived(arrival) = event {
                let mut effect = dispatch(now_ms, arrival.exchange, 1, &address);
                if let Effect::Dispatch {
                    send_deadline_ms, ..
                } = &mut effect
                {
                    *send_deadline_ms = now_ms;
                }
                effects.push(effect);
            }
        },
    );
    let mut instance = TestInstance::start(script).await;
    let answer = tokio::spawn({
        let address = instance.settings.instance.caller_address.clone();
        async move { support::send(&address, chat_request(false)).await.status() }
    });
    assert_eq!(instance.wait_attempt_end(1).await, End::NotSent);
    answer.abort();
}

/// Guards against an engine that continues to generate an answer for a caller that has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_is_reported_and_its_request_cancelled() {
    let engine = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![engine.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move { support::send(&address, chat_request(true)).await });
    let mut connection = engine.accept_request().await;
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    drop(answer.await.unwrap());
    instance
        .wait_event(|event| matches!(event, Event::CallerGone { .. }).then_some(()))
        .await;
    assert_eq!(instance.wait_attempt_end(1).await, End::Cancelled);
    connection.wait_closed().await;
    let cancel = engine.accept_request().await;
    let id = connection
        .head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "))
        .unwrap();
    assert!(cancel.head.starts_with(&format!("delete /requests/{id} ")));
}

/// Guards against an engine that continues after a cancel, and against its late bytes in the answer of the next
/// attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_attempt_is_stopped_and_its_bytes_dropped() {
    let (first, second) = (Upstream::start().await, Upstream::start().await);
    let mut instance = TestInstance::start(dispatcher(vec![first.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move {
        read_text(
            &mut support::send(&address, chat_request(true))
                .await
                .into_body(),
        )
        .await
    });
    let mut cancelled_connection = first.accept_request().await;
    cancelled_connection.begin_events().await;
    cancelled_connection.send_token("a", "Hello").await;
    instance
        .wait_event(|event| matches!(event, Event::Progress { .. }).then_some(()))
        .await;
    instance.inject(Effect::Cancel {
        exchange: 1,
        attempt: 1,
    });
    assert_eq!(instance.wait_attempt_end(1).await, End::Cancelled);
    let cancel = first.accept_request().await;
    assert!(cancel.head.starts_with("delete /requests/north-"));
    let late = "2b\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"LATE\"}}]}\n\n\r\n";
    let _ = cancelled_connection.try_write(late).await;
    cancelled_connection.wait_closed().await;
    instance.inject(dispatch(0, 1, 2, &second.address));
    let mut connection = second.accept_request().await;
    connection.begin_events().await;
    connection.send_token("b", " there").await;
    connection.end_events("b", "stop").await;
    let (text, _, _) = read_stream(&answer.await.unwrap().unwrap());
    assert_eq!(text, "Hello there");
}

/// Guards against a process that ends before the last answer was delivered to a slow caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_slow_callers() {
    let engine = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![engine.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move { support::send(&address, chat_request(true)).await });
    let mut connection = engine.accept_request().await;
    connection.begin_events().await;
    // The answer is larger than the socket buffers, so that the rest of it is buffered in the process.
    let token = "x".repeat(900_000);
    for _ in 0..16 {
        connection.send_token("a", &token).await;
    }
    connection.end_events("a", "stop").await;
    instance.trigger.stop();
    assert_eq!(
        instance.wait_attempt_end(1).await,
        End::Complete { answer: None }
    );
    let waiting = std::time::Duration::from_millis(200);
    let ended = tokio::time::timeout(waiting, &mut instance.running).await;
    assert!(
        ended.is_err(),
        "the instance ended before its last answer was delivered"
    );
    let body = read_text(&mut answer.await.unwrap().into_body())
        .await
        .unwrap();
    let (text, _, reasons) = read_stream(&body);
    assert_eq!(text.len(), 16 * token.len());
    assert_eq!(reasons, ["stop", "[DONE]"]);
    instance.stop().await;
}

/// Guards against a stream that looks complete although the request was refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_output_ends_the_stream_with_an_error() {
    let engine = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![engine.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move {
        read_text(
            &mut support::send(&address, chat_request(true))
                .await
                .into_body(),
        )
        .await
    });
    let mut connection = engine.accept_request().await;
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    drop(connection);
    assert_eq!(instance.wait_attempt_end(1).await, End::Broken);
    instance.inject(Effect::Refuse {
        exchange: 1,
        refusal: Refusal::UpstreamFailed,
    });
    let body = answer.await.unwrap().unwrap();
    let last = body.trim_end().rsplit("\n\n").next().unwrap();
    let error: serde_json::Value =
        serde_json::from_str(last.strip_prefix("data: ").unwrap()).unwrap();
    assert_eq!(error["error"]["code"], "upstream_failed");
    assert_eq!(error["run"], "unknown");
    assert!(!body.contains("[DONE]"));
}

/// Guards against a planned stop that truncates an answer, or during which the instance still reports that it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_lets_open_answers_finish() {
    let engine = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![engine.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move {
        read_text(
            &mut support::send(&address, chat_request(true))
                .await
                .into_body(),
        )
        .await
    });
    let mut connection = engine.accept_request().await;
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    instance.trigger.stop();
    instance
        .wait_event(|event| matches!(event, Event::Stop).then_some(()))
        .await;
    let ready = instance.send(get_request("/readyz")).await;
    assert_eq!(ready.status(), 503);
    assert_eq!(ready.headers()["connection"], "close");
    connection.send_token("a", " there").await;
    connection.end_events("a", "stop").await;
    let (text, _, reasons) = read_stream(&answer.await.unwrap().unwrap());
    assert_eq!(text, "Hello there");
    assert_eq!(reasons, ["stop", "[DONE]"]);
    instance.stop().await;
}

/// Guards against token counts and chunk hashes that differ from those of engines.
#[tokio::test(flavor = "multi_thread")]
async fn chunk_hashes_are_those_of_engines() {
    let content = "altar ".repeat(8_000);
    let request: standin::prompt::ChatRequest = serde_json::from_value(serde_json::json!({
        "model": "lily",
        "messages": [{ "role": "user", "content": content }],
    }))
    .unwrap();
    let body = serde_json::to_value(&request).unwrap();
    let mut instance = TestInstance::start(Box::new(|_, _, _| {})).await;
    let address = instance.settings.instance.caller_address.clone();
    let sent = support::request("POST", "/v1/chat/completions", &body.to_string());
    let answer = tokio::spawn(async move { support::send(&address, sent).await.status() });
    let kind = instance
        .wait_event(|event| match event {
            Event::Arrived(arrival) => Some(arrival.kind),
            _ => None,
        })
        .await;
    let text = request.prompt_text();
    let RequestKind::Chat {
        prompt_tokens,
        chunk_hashes,
        ..
    } = kind
    else {
        panic!("the request is not a chat");
    };
    assert_eq!(prompt_tokens, standin::prompt::token_count(&text));
    assert_eq!(chunk_hashes.len(), 3);
    let expected = standin::prompt::chunk_hashes("lily", &text, 4_000);
    assert_eq!(chunk_hashes, expected);
    answer.abort();
}

/// Returns a reducer that has each prompt computed by one engine and generated from by another.
fn disaggregated(prefill: conf::Name, decode: conf::Name) -> support::Script {
    Box::new(move |now_ms, event, effects| {
        if let Event::Arrived(arrival) = event {
            let mut effect = dispatch(now_ms, arrival.exchange, 1, &decode);
            if let Effect::Dispatch { prefill: stage, .. } = &mut effect {
                *stage = Some(reducer::Prefill {
                    upstream: "prefill".into(),
                    address: prefill.clone(),
                });
            }
            effects.push(effect);
        }
    })
}

/// Guards against an export without an end that occupies the instance's memory and delays the request for ever.
#[tokio::test(flavor = "multi_thread")]
async fn an_export_without_an_end_is_abandoned() {
    let (prefill, decode) = (Upstream::start().await, Upstream::start().await);
    let script = disaggregated(prefill.address.clone(), decode.address.clone());
    let instance = TestInstance::start(script).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move {
        read_text(
            &mut support::send(&address, chat_request(true))
                .await
                .into_body(),
        )
        .await
    });
    let mut connection = prefill.accept_request().await;
    connection.begin_events().await;
    connection.end_events("p", "length").await;
    let mut export = prefill.accept_request().await;
    let endless = tokio::spawn(async move {
        export.begin_events().await;
        let piece = "x".repeat(16 * 1024);
        let mut written = 0;
        while export
            .try_write(&format!("4000\r\n{piece}\r\n"))
            .await
            .is_ok()
        {
            written += piece.len();
        }
        written
    });
    let mut connection = decode.accept_request().await;
    assert!(!connection.body.contains("kv_import"));
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    connection.end_events("a", "stop").await;
    assert!(answer.await.unwrap().unwrap().contains("Hello"));
    // The kernel buffers some megabytes beyond what the instance has read.
    assert!(endless.await.unwrap() < 32 * 1024 * 1024);
}

/// Guards against a prompt that is computed again on the decode engine after the prefill engine computed it, and
/// against an answer that is lost because the prefill engine fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_is_computed_on_one_engine_and_transferred_to_another() {
    let (prefill, decode) = (Upstream::start().await, Upstream::start().await);
    let script = disaggregated(prefill.address.clone(), decode.address.clone());
    let instance = TestInstance::start(script).await;
    let address = instance.settings.instance.caller_address.clone();
    let send_chat = move |address: conf::Name| {
        tokio::spawn(async move {
            read_text(
                &mut support::send(&address, chat_request(true))
                    .await
                    .into_body(),
            )
            .await
        })
    };

    let answer = send_chat(address.clone());
    let mut connection = prefill.accept_request().await;
    let body: serde_json::Value = serde_json::from_str(&connection.body).unwrap();
    assert_eq!(body["max_tokens"], 1);
    connection.begin_events().await;
    connection.end_events("p", "length").await;
    let mut connection = prefill.accept_request().await;
    assert!(connection.head.starts_with("post /kv/export "));
    connection
        .send_answer("200 OK", "", r#"{"chunks":["0f"]}"#)
        .await;
    let mut connection = decode.accept_request().await;
    let body: serde_json::Value = serde_json::from_str(&connection.body).unwrap();
    assert_eq!(body["kv_import"]["chunks"][0], "0f");
    connection.begin_events().await;
    connection.send_token("a", "Hello").await;
    connection.end_events("a", "stop").await;
    assert!(answer.await.unwrap().unwrap().contains("Hello"));

    let answer = send_chat(address);
    drop(prefill.accept_request().await);
    let mut connection = decode.accept_request().await;
    assert!(!connection.body.contains("kv_import"));
    connection.begin_events().await;
    connection.send_token("a", "welcome").await;
    connection.end_events("a", "stop").await;
    assert!(answer.await.unwrap().unwrap().contains("welcome"));
}
