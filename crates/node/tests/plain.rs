//! Requests to plain services.

mod support;

use http::StatusCode;
use ledger::Answer;
use reducer::{Effect, End, Event, RequestKind};
use support::{TestInstance, Upstream, dispatcher, frame, request, text};

fn swap() -> http::Request<String> {
    let mut swap = request("POST", "/rota/swap?slot=3", "altar");
    let headers = swap.headers_mut();
    headers.insert("idempotency-key", "swap-1".parse().unwrap());
    headers.insert("x-mustardstack-rank", "urgent".parse().unwrap());
    headers.insert("x-kept", "yes".parse().unwrap());
    headers.insert("x-dropped", "yes".parse().unwrap());
    headers.insert("connection", "x-dropped".parse().unwrap());
    swap
}

/// Guards against a request that changes on its way, an API key that reaches a service, and an
/// answer that the ledger could not replay.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_call_is_read_whole_and_reported() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move { support::send(&address, swap()).await });
    let mut call = service.call().await;
    assert!(call.head.starts_with("post /rota/swap?slot=3 http/1.1"));
    assert_eq!(call.body, "altar");
    for kept in [
        "x-kept: yes",
        "x-mustardstack-tenant: parish",
        "idempotency-key: swap-1",
    ] {
        assert!(
            call.head.contains(kept),
            "{kept} is missing in {}",
            call.head
        );
    }
    for dropped in ["authorization", "x-dropped", "x-mustardstack-rank"] {
        assert!(
            !call.head.contains(dropped),
            "{dropped} is in {}",
            call.head
        );
    }
    let arrival = instance
        .event(|event| match event {
            Event::Arrived(arrival) => Some(arrival),
            _ => None,
        })
        .await;
    assert_eq!(arrival.tenant, "parish");
    assert_eq!(arrival.rank.as_deref(), Some("urgent"));
    let RequestKind::Plain {
        route,
        idempotency_key,
        ..
    } = arrival.kind
    else {
        panic!("not a plain request");
    };
    assert_eq!(route, "swap");
    assert_eq!(idempotency_key.as_deref(), Some("swap-1"));
    call.answer("201 Created", "x-slot: 3\r\n", "swapped").await;
    let response = answer.await.unwrap();
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(response.headers()["x-slot"], "3");
    assert_eq!(text(&mut response.into_body()).await.unwrap(), "swapped");
    let End::Complete {
        answer: Some(answer),
    } = instance.ended(1).await
    else {
        panic!("the answer is not reported");
    };
    assert_eq!((answer.status, &answer.body[..]), (201, &b"swapped"[..]));
    assert!(answer.headers.contains(&("x-slot".into(), "3".into())));
    assert!(!answer.truncated);
}

/// Guards against an unknown outcome because the caller of a non-idempotent call has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_call_goes_on_without_its_caller() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer = tokio::spawn(async move { support::send(&address, swap()).await });
    let mut call = service.call().await;
    answer.abort();
    instance
        .event(|event| matches!(event, Event::CallerGone { .. }).then_some(()))
        .await;
    call.answer("200 OK", "", "swapped").await;
    assert!(matches!(
        instance.ended(1).await,
        End::Complete { answer: Some(_) }
    ));
}

/// Guards against a large answer that is recorded whole, or that the caller gets only in part.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_is_delivered_and_recorded_without_its_body() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let answer =
        tokio::spawn(
            async move { text(&mut support::send(&address, swap()).await.into_body()).await },
        );
    let large = "altar".repeat(100_000);
    service.call().await.answer("200 OK", "", &large).await;
    assert!(answer.await.unwrap().unwrap() == large);
    let End::Complete {
        answer: Some(answer),
    } = instance.ended(1).await
    else {
        panic!("the answer is not reported");
    };
    assert!(answer.truncated && answer.body.is_empty());
}

/// Guards against an idempotent answer that is collected first, and against a cut one that looks whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_answer_is_streamed_and_a_cut_one_is_seen() {
    let service = Upstream::start().await;
    let mut instance = TestInstance::start(dispatcher(vec![service.address.clone()])).await;
    let address = instance.settings.instance.caller_address.clone();
    let plan = request("GET", "/rota/plan/week", "");
    let answer = tokio::spawn(async move { support::send(&address, plan).await });
    let mut call = service.call().await;
    call.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        .await;
    call.chunk("Monday").await;
    let mut body = answer.await.unwrap().into_body();
    assert_eq!(frame(&mut body).await.unwrap().unwrap(), "Monday");
    drop(call);
    assert!(text(&mut body).await.is_err());
    assert_eq!(instance.ended(1).await, End::Broken);
    instance
        .event(|event| matches!(event, Event::CallerGone { .. }).then_some(()))
        .await;
}

/// Guards against a replay that differs from the first answer or that cannot be told from it.
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
    let response = instance.send(swap()).await;
    assert_eq!(response.status(), StatusCode::CREATED);
    assert_eq!(response.headers()["x-slot"], "3");
    assert_eq!(response.headers()["x-mustardstack-replayed"], "true");
    assert_eq!(text(&mut response.into_body()).await.unwrap(), "swapped");
}
