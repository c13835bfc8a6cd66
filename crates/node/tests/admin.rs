//! Tests of the administration listener.

mod support;

use conf::Name;
use conf::admin::{ApplyReply, ChangeReply, DrainTarget, RevisionInfo};
use reducer::{AdminReply, AdminRequest, Effect, Event};
use serde_json::Value;
use support::{TOKEN, TestInstance, get_request, read_text, request};

/// Returns a script that answers each administration request with the next of `replies`.
fn reply_script(replies: Vec<AdminReply>) -> support::Script {
    let mut replies = replies.into_iter();
    Box::new(move |_, event, effects| {
        if let Event::Admin { token, .. } = event {
            effects.push(Effect::AdminReply {
                token: *token,
                reply: replies.next().unwrap(),
            });
        }
    })
}

async fn admin_request(
    instance: &TestInstance,
    method: &str,
    path: &str,
    body: &str,
) -> (u16, String) {
    let mut sent = request(method, path, body);
    let token = format!("Bearer {TOKEN}").parse().unwrap();
    sent.headers_mut().insert("authorization", token);
    let response = support::send(&instance.settings.instance.admin_address, sent).await;
    let status = response.status().as_u16();
    (status, read_text(&mut response.into_body()).await.unwrap())
}

async fn received_request(instance: &mut TestInstance) -> AdminRequest {
    instance
        .wait_event(|event| match event {
            Event::Admin { request, .. } => Some(request),
            _ => None,
        })
        .await
}

/// Guards against administration requests that are accepted without the token, or with an API key instead.
#[tokio::test(flavor = "multi_thread")]
async fn the_token_is_required() {
    let instance = TestInstance::start(reply_script(Vec::new())).await;
    let address = &instance.settings.instance.admin_address;
    for path in ["/admin/status", "/metrics", "/admin/unknown"] {
        let response = support::send(address, get_request(path)).await;
        assert_eq!(response.status(), 401, "{path}");
    }
    // The callers' listener serves none of these paths.
    assert_eq!(instance.send(get_request("/metrics")).await.status(), 404);
    assert_eq!(
        instance.send(get_request("/admin/status")).await.status(),
        404
    );
}

/// Guards against an HTTP status that does not match the outcome in the body.
#[tokio::test(flavor = "multi_thread")]
async fn each_outcome_has_its_http_status() {
    let message = Name::from("no majority");
    let apply = |reply| AdminReply::Apply(reply);
    let change = |reply| AdminReply::Change(reply);
    let errors = vec![Name::from("no ranks")];
    let conflict = ApplyReply::Conflict {
        current_revision: 4,
        current_content_id: "ab".into(),
        author: "operator".into(),
    };
    let table = [
        (apply(ApplyReply::Accepted { revision: 3 }), 200, "accepted"),
        (apply(conflict), 409, "conflict"),
        (apply(ApplyReply::Invalid { errors }), 422, "invalid"),
        (
            apply(ApplyReply::Unavailable {
                message: message.clone(),
            }),
            503,
            "unavailable",
        ),
        (change(ChangeReply::Accepted), 200, "accepted"),
        (
            change(ChangeReply::Refused {
                message: message.clone(),
            }),
            409,
            "refused",
        ),
        (
            change(ChangeReply::Unavailable { message }),
            503,
            "unavailable",
        ),
    ];
    let replies = table.iter().map(|(reply, _, _)| reply.clone()).collect();
    let instance = TestInstance::start(reply_script(replies)).await;
    for (_, status, outcome) in &table {
        let body = r#"{"instance":"north"}"#;
        let (received_status, body) = admin_request(&instance, "POST", "/admin/drain", body).await;
        let body: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(
            (received_status, body["outcome"].as_str()),
            (*status, Some(*outcome))
        );
    }
}

/// Guards against an endpoint that sends a wrong request to the reducer.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_send_the_matching_request() {
    let upstream = || DrainTarget::Upstream("engine-1".into());
    let apply = r#"{"base_revision":1,"content_id":"ab","canonical":"{}","files":[],"author":"x"}"#;
    let order = r#"{"upstream":"engine-1","role":"decode"}"#;
    type Check = fn(&AdminRequest) -> bool;
    let table: [(&str, &str, &str, Check); 9] = [
        (
            "POST",
            "/admin/apply",
            apply,
            |r| matches!(r, AdminRequest::Apply(a) if a.base_revision == 1),
        ),
        ("GET", "/admin/config", "", |r| {
            matches!(r, AdminRequest::Config)
        }),
        ("GET", "/admin/history", "", |r| {
            matches!(r, AdminRequest::History)
        }),
        ("GET", "/admin/history/7", "", |r| {
            matches!(r, AdminRequest::Revision(7))
        }),
        ("GET", "/admin/status", "", |r| {
            matches!(r, AdminRequest::Status)
        }),
        ("POST", "/admin/drain", r#"{"upstream":"engine-1"}"#, |r| {
            matches!(r, AdminRequest::Drain { draining: true, .. })
        }),
        (
            "POST",
            "/admin/undrain",
            r#"{"upstream":"engine-1"}"#,
            |r| {
                matches!(
                    r,
                    AdminRequest::Drain {
                        draining: false,
                        ..
                    }
                )
            },
        ),
        (
            "POST",
            "/admin/order",
            order,
            |r| matches!(r, AdminRequest::Order(o) if o.upstream == "engine-1"),
        ),
        (
            "POST",
            "/admin/confirm-dead",
            r#"{"instance":"a"}"#,
            |r| matches!(r, AdminRequest::ConfirmDead(c) if c.instance == "a"),
        ),
    ];
    let replies = vec![AdminReply::Change(ChangeReply::Accepted); table.len()];
    let mut instance = TestInstance::start(reply_script(replies)).await;
    for (method, path, body, is_expected) in table {
        let (status, _) = admin_request(&instance, method, path, body).await;
        assert_eq!(status, 200, "{path}");
        let request = received_request(&mut instance).await;
        assert!(is_expected(&request), "{path}: {request:?}");
        if let AdminRequest::Drain { target, .. } = request {
            assert_eq!(target, upstream());
        }
    }
    let (status, _) = admin_request(&instance, "POST", "/admin/apply", "{").await;
    assert_eq!(status, 400);
    let (status, _) = admin_request(&instance, "GET", "/admin/apply", "").await;
    assert_eq!(status, 404);
}

/// Guards against a reply for a missing revision that looks like an empty revision.
#[tokio::test(flavor = "multi_thread")]
async fn an_absent_revision_is_not_found() {
    let revision = Box::new(RevisionInfo {
        revision: 7,
        ..Default::default()
    });
    let replies = vec![
        AdminReply::Revision(None),
        AdminReply::Revision(Some(revision)),
    ];
    let instance = TestInstance::start(reply_script(replies)).await;
    assert_eq!(
        admin_request(&instance, "GET", "/admin/history/9", "")
            .await
            .0,
        404
    );
    let (status, body) = admin_request(&instance, "GET", "/admin/history/7", "").await;
    let body: RevisionInfo = serde_json::from_str(&body).unwrap();
    assert_eq!((status, body.revision), (200, 7));
}

/// Guards against metrics that lack the histograms by client account and rank, or that contain an API key or token.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_served_by_client_account_and_rank() {
    let instance = TestInstance::start(reply_script(Vec::new())).await;
    instance.inject(Effect::Record(reducer::Sample::FirstToken {
        client_account: "parish-of-metrics".into(),
        rank: "urgent".into(),
        elapsed_ms: 40,
    }));
    let waiting = async {
        loop {
            let (status, body) = admin_request(&instance, "GET", "/metrics", "").await;
            assert_eq!(status, 200);
            if body.contains("parish-of-metrics") {
                return;
            }
        }
    };
    tokio::time::timeout(support::WAIT_TIMEOUT, waiting)
        .await
        .unwrap();
    // One response reads the counters before the histograms. The effect is counted before its sample is recorded, so
    // that every response after one with the sample has both.
    let (_, body) = admin_request(&instance, "GET", "/metrics", "").await;
    let bucket =
        r#"mustardstack_first_token_ms_bucket{tenant="parish-of-metrics",rank="urgent",le="50"} 1"#;
    assert!(body.contains(bucket), "{body}");
    assert!(body.contains(r#"mustardstack_events_total{kind="tick"}"#));
    assert!(body.contains(r#"mustardstack_effects_total{kind="record"}"#));
    assert!(!body.contains(TOKEN) && !body.contains(support::KEY));
}
