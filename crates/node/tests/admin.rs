//! The administration listener.

mod support;

use conf::Name;
use conf::admin::{ApplyReply, ChangeReply, DrainTarget, RevisionInfo};
use reducer::{AdminReply, AdminRequest, Effect, Event};
use serde_json::Value;
use support::{TOKEN, TestInstance, get, request, text};

/// Answers every administration request with the next of `replies`.
fn replying(replies: Vec<AdminReply>) -> support::Script {
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

async fn admin(instance: &TestInstance, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut sent = request(method, path, body);
    let token = format!("Bearer {TOKEN}").parse().unwrap();
    sent.headers_mut().insert("authorization", token);
    let response = support::send(&instance.settings.instance.admin_address, sent).await;
    let status = response.status().as_u16();
    (status, text(&mut response.into_body()).await.unwrap())
}

async fn asked(instance: &mut TestInstance) -> AdminRequest {
    instance
        .event(|event| match event {
            Event::Admin { request, .. } => Some(request),
            _ => None,
        })
        .await
}

/// Guards against administration without the token, and with an API key in its place.
#[tokio::test(flavor = "multi_thread")]
async fn the_token_is_required() {
    let instance = TestInstance::start(replying(Vec::new())).await;
    let address = &instance.settings.instance.admin_address;
    for path in ["/admin/status", "/metrics", "/admin/unknown"] {
        let response = support::send(address, get(path)).await;
        assert_eq!(response.status(), 401, "{path}");
    }
    // The callers' listener offers none of it.
    assert_eq!(instance.send(get("/metrics")).await.status(), 404);
    assert_eq!(instance.send(get("/admin/status")).await.status(), 404);
}

/// Guards against outcomes whose status says otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn outcomes_have_their_status() {
    let message = Name::from("no majority");
    let apply = |reply| AdminReply::Apply(reply);
    let change = |reply| AdminReply::Change(reply);
    let errors = vec![Name::from("no ranks")];
    let conflict = ApplyReply::Conflict {
        current_revision: 4,
        current_content_id: "ab".into(),
        author: "deacon".into(),
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
    let instance = TestInstance::start(replying(replies)).await;
    for (_, status, outcome) in &table {
        let body = r#"{"instance":"north"}"#;
        let (answered, body) = admin(&instance, "POST", "/admin/drain", body).await;
        let body: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(
            (answered, body["outcome"].as_str()),
            (*status, Some(*outcome))
        );
    }
}

/// Guards against an endpoint that asks the reducer for something else.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_ask_for_what_they_name() {
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
    let mut instance = TestInstance::start(replying(replies)).await;
    for (method, path, body, is_expected) in table {
        let (status, _) = admin(&instance, method, path, body).await;
        assert_eq!(status, 200, "{path}");
        let request = asked(&mut instance).await;
        assert!(is_expected(&request), "{path}: {request:?}");
        if let AdminRequest::Drain { target, .. } = request {
            assert_eq!(target, upstream());
        }
    }
    let (status, _) = admin(&instance, "POST", "/admin/apply", "{").await;
    assert_eq!(status, 400);
    let (status, _) = admin(&instance, "GET", "/admin/apply", "").await;
    assert_eq!(status, 404);
}

/// Guards against an absent revision that looks like an empty one.
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
    let instance = TestInstance::start(replying(replies)).await;
    assert_eq!(admin(&instance, "GET", "/admin/history/9", "").await.0, 404);
    let (status, body) = admin(&instance, "GET", "/admin/history/7", "").await;
    let body: RevisionInfo = serde_json::from_str(&body).unwrap();
    assert_eq!((status, body.revision), (200, 7));
}

/// Guards against metrics that lack the histograms by tenant and rank, or that hold a key or token.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_served_by_tenant_and_rank() {
    let instance = TestInstance::start(replying(Vec::new())).await;
    instance.effect(Effect::Record(reducer::Sample::FirstToken {
        tenant: "parish-of-metrics".into(),
        rank: "urgent".into(),
        elapsed_ms: 40,
    }));
    let waiting = async {
        loop {
            let (status, body) = admin(&instance, "GET", "/metrics", "").await;
            assert_eq!(status, 200);
            if body.contains("parish-of-metrics") {
                return body;
            }
        }
    };
    let body = tokio::time::timeout(support::LONG, waiting).await.unwrap();
    let bucket =
        r#"mustardstack_first_token_ms_bucket{tenant="parish-of-metrics",rank="urgent",le="50"} 1"#;
    assert!(body.contains(bucket), "{body}");
    assert!(body.contains(r#"mustardstack_events_total{kind="tick"}"#));
    assert!(body.contains(r#"mustardstack_effects_total{kind="record"}"#));
    assert!(!body.contains(TOKEN) && !body.contains(support::KEY));
}
