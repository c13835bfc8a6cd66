//! Tests of requests to plain services.

mod support;

use http::StatusCode;
use ledger::Answer;
use reducer::{Effect, End, Event, RequestKind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use support::{TestInstance, Upstream, dispatcher, read_frame, read_text, request};

fn swap_request() -> http::Request<String> {
    let mut swap = request("POST", "/rota/swap?slot=3", "altar");
    let headers = swap.headers_mut();
    headers.insert("idempotency-key", "swap-1".parse().unwrap());
    headers.insert("x-mustardstack-rank", "urgent".parse().unwrap());
    headers.insert("x-kept", "yes".parse().unwrap());
    headers.insert("x-dropped", "yes".parse().unwrap());
    headers.insert("connection", "x-dropped".parse().unwrap());
    swap
}

/// Guards against a request that is changed when it is forwarded, an API key that is sent to a service, and an answer
/// that is not reported completely to the ledger.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_is_forwarded_and_its_answer_reported() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move { support::send(&address, swap_request()).await });
    let mut connection = service.accept_request().await;
    assert!(
        connection
            .head
            .starts_with("post /rota/swap?slot=3 http/1.1")
    );
    assert_eq!(connection.body, "altar");
    for kept in [
        "x-kept: yes",
        "x-mustardstack-tenant: parish",
        "idempotency-key: swap-1",
    ] {
        assert!(
            connection.head.contains(kept),
            "{kept} is missing in {}",
            connection.head
        );
    }
    for dropped in ["authorization", "x-dropped", "x-mustardstack-rank"] {
        assert!(
            !connection.head.contains(dropped),
            "{dropped} is in {}",
            connection.head
        );
    }
    let arrival = instance
        .wait_event(|event| match event {
            Event::Arrived(arrival) => Some(arrival),
            _ => None,
        })
        .await;
    assert_eq!(arrival.client_account, "parish");
    assert_eq!(arrival.rank.as_deref(), Some("urgent"));
    let RequestKind::Plain {
        route,
        idempotency_key,
        ..
    } = arrival.kind
    else {
        panic!("the request is not a plain request");
    };
    assert_eq!(route, "swap");
    assert_eq!(idempotency_key.as_deref(), Some("swap-1"));
    connection
        .send_answer("201 Created", "x-slot: 3\r\n", "swapped")
        .await;
    let response = answer.await.unwrap();
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(response.headers()["x-slot"], "3");
    assert_eq!(
        read_text(&mut response.into_body()).await.unwrap(),
        "swapped"
    );
    let End::Complete {
        answer: Some(answer),
    } = instance.wait_attempt_end(1).await
    else {
        panic!("the answer was not reported");
    };
    assert_eq!((answer.status, &answer.body[..]), (201, &b"swapped"[..]));
    assert!(answer.headers.contains(&("x-slot".into(), "3".into())));
    assert!(!answer.truncated);
}

/// Guards against a non-idempotent request whose outcome stays unknown because its caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_continues_without_its_caller() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move { support::send(&address, swap_request()).await });
    let mut connection = service.accept_request().await;
    answer.abort();
    instance
        .wait_event(|event| matches!(event, Event::CallerGone { .. }).then_some(()))
        .await;
    connection.send_answer("200 OK", "", "swapped").await;
    assert!(matches!(
        instance.wait_attempt_end(1).await,
        End::Complete { answer: Some(_) }
    ));
}

/// Guards against a large answer that is recorded with its body, or that is truncated for the caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_is_delivered_and_recorded_without_its_body() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move {
        read_text(&mut support::send(&address, swap_request()).await.into_body()).await
    });
    let large = "altar".repeat(100_000);
    service
        .accept_request()
        .await
        .send_answer("200 OK", "", &large)
        .await;
    assert!(answer.await.unwrap().unwrap() == large);
    let End::Complete {
        answer: Some(answer),
    } = instance.wait_attempt_end(1).await
    else {
        panic!("the answer was not reported");
    };
    assert!(answer.truncated && answer.body.is_empty());
}

/// Guards against an idempotent answer that is buffered before it is forwarded, and against a truncated answer that
/// looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_answer_is_streamed_and_a_truncated_one_is_detected() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let plan = request("GET", "/rota/plan/week", "");
    let answer = tokio::spawn(async move { support::send(&address, plan).await });
    let mut connection = service.accept_request().await;
    connection
        .write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        .await;
    connection.send_chunk("Monday").await;
    let mut body = answer.await.unwrap().into_body();
    assert_eq!(read_frame(&mut body).await.unwrap().unwrap(), "Monday");
    drop(connection);
    assert!(read_text(&mut body).await.is_err());
    assert_eq!(instance.wait_attempt_end(1).await, End::Broken);
    instance
        .wait_event(|event| matches!(event, Event::CallerGone { .. }).then_some(()))
        .await;
}

/// Guards against a replay that differs from the recorded answer, or that is not marked as a replay.
#[tokio::test(flavor = "multi_thread")]
async fn a_recorded_answer_is_replayed() {
    let script = Box::new(|_: u64, event: &Event, effects: &mut Vec<Effect>| {
        if let Event::Arrived(arrival) = event {
            effects.push(Effect::Replay {
                exchange: arrival.exchange,
                answer: Answer {
                    status: 201,
                    headers: vec![("x-slot".into(), "3".into())],
                    body: "swapped".into(),
                    truncated: false,
                },
            });
        }
    });
    let instance = TestInstance::start(script).await;
    let response = instance.send(swap_request()).await;
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(response.headers()["x-slot"], "3");
    assert_eq!(response.headers()["x-mustardstack-replayed"], "true");
    assert_eq!(
        read_text(&mut response.into_body()).await.unwrap(),
        "swapped"
    );
}

/// Guards against an answer with a status that is none, which reaches the caller or the ledger.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_an_invalid_status_is_broken() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    for request in [swap_request(), request("GET", "/rota/plan/week", "")] {
        for status in ["000", "101", "600", "999"] {
            let (address, request) = (address.clone(), request.clone());
            let answer = tokio::spawn(async move { support::send(&address, request).await });
            let mut connection = service.accept_request().await;
            let head = format!("{status} No Status");
            connection.send_answer(&head, "", "text").await;
            drop(connection);
            assert_eq!(instance.wait_attempt_end(1).await, End::Broken, "{status}");
            answer.abort();
        }
    }
}

/// Guards against a part of an answer that is recorded as the whole one: a service answers a long request before its end,
/// without a length, and resets the connection while the request is still being written.
#[tokio::test(flavor = "multi_thread")]
async fn an_early_answer_that_is_reset_is_broken() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let body = "x".repeat(instance.settings.limits.max_body_bytes);
    for _ in 0..30 {
        let (address, long) = (address.clone(), request("POST", "/rota/swap", &body));
        let answer = tokio::spawn(async move { support::send(&address, long).await });
        let mut stream = service.accept().await;
        let mut received = [0; 1_024];
        stream.read_exact(&mut received).await.unwrap();
        let part = b"HTTP/1.1 200 OK\r\n\r\npart of the answer";
        stream.write_all(part).await.unwrap();
        // A socket that is closed with unread bytes resets its connection.
        drop(stream);
        assert_eq!(instance.wait_attempt_end(1).await, End::Broken);
        answer.abort();
    }
}
