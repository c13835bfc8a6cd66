//! Whole instances with the real reducer, against stand-ins.

mod support;

use std::time::Duration;

use conf::admin::{ApplyReply, ApplyRequest, StatusReply};
use conf::settings::Voter;
use conf::{Name, ServiceConfig};
use node::{Instance, ShutdownTrigger};
use serde_json::Value;
use support::{LONG, TOKEN, chat, read_stream, request, text};
use tokio::task::JoinHandle;

struct Member {
    folder: tempfile::TempDir,
    settings: conf::Settings,
    trigger: ShutdownTrigger,
    running: JoinHandle<Result<(), node::Error>>,
}

async fn start_cluster(count: usize) -> Vec<Member> {
    let mut stopped = Vec::new();
    for index in 0..count {
        let folder = tempfile::tempdir().unwrap();
        let mut settings = support::settings(&folder, &format!("instance-{index}"));
        settings.instance.availability_zone = "north".into();
        let data = folder.path().join("data");
        std::fs::create_dir(&data).unwrap();
        settings.instance.data_folder = Name::from(data.to_str().unwrap().to_owned());
        stopped.push((folder, settings));
    }
    start_members(stopped).await
}

async fn start_members(stopped: Vec<(tempfile::TempDir, conf::Settings)>) -> Vec<Member> {
    let mut bound = Vec::new();
    for (folder, settings) in stopped {
        bound.push((folder, Instance::bind(settings).await.unwrap()));
    }
    let voters: Vec<Voter> = bound
        .iter()
        .map(|(_, instance)| &instance.settings().instance)
        .map(|instance| Voter {
            id: instance.id.clone(),
            availability_zone: instance.availability_zone.clone(),
            peer_address: instance.peer_address.clone(),
        })
        .collect();
    let start = |(folder, mut instance): (_, Instance)| {
        instance.initial_state_mut().settings.voters = voters.clone();
        let (trigger, stop) = node::shutdown();
        Member {
            folder,
            settings: instance.settings().clone(),
            trigger,
            running: tokio::spawn(instance.run(stop)),
        }
    };
    bound.into_iter().map(start).collect()
}

impl Member {
    async fn admin(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut sent = request(method, path, body);
        let token = format!("Bearer {TOKEN}").parse().unwrap();
        sent.headers_mut().insert("authorization", token);
        let response = support::send(&self.settings.instance.admin_address, sent).await;
        let status = response.status().as_u16();
        (status, text(&mut response.into_body()).await.unwrap())
    }

    async fn send(&self, sent: http::Request<String>) -> (u16, String) {
        let response = support::send(&self.settings.instance.caller_address, sent).await;
        let status = response.status().as_u16();
        (status, text(&mut response.into_body()).await.unwrap())
    }

    async fn wait_status(&self, wanted: impl Fn(&StatusReply) -> bool) {
        let waiting = async {
            loop {
                let (_, body) = self.admin("GET", "/admin/status", "").await;
                let status: StatusReply = serde_json::from_str(&body).unwrap();
                if wanted(&status) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        if tokio::time::timeout(LONG, waiting).await.is_err() {
            let (_, body) = self.admin("GET", "/admin/status", "").await;
            panic!("the status does not come: {body}");
        }
    }

    async fn stop(self) -> (tempfile::TempDir, conf::Settings) {
        self.trigger.stop();
        let ended = tokio::time::timeout(LONG, self.running).await;
        ended.expect("does not stop").unwrap().unwrap();
        (self.folder, self.settings)
    }
}

fn config(engine: &str, service: &str) -> ServiceConfig {
    let text = format!(
        r#"
        [[ranks]]
        name = "urgent"
        [[ranks]]
        name = "soon"
        [[ranks]]
        name = "late"
        [[tenants]]
        name = "parish"
        key_sha256 = "{}"
        ranks = ["urgent"]
        [[models]]
        name = "assistant"
        version = "1"
        [[services]]
        name = "language"
        models = ["assistant"]
        [[services]]
        name = "rota"
        kind = "plain"
        [[routes]]
        name = "swap"
        path_prefix = "/rota/"
        service = "rota"
        [[upstreams]]
        name = "engine-1"
        service = "language"
        address = "{engine}"
        availability_zone = "north"
        fencing = "enforced"
        [[upstreams]]
        name = "rota-1"
        service = "rota"
        address = "{service}"
        availability_zone = "north"
        "#,
        support::key_sha256()
    );
    toml::from_str(&text).unwrap()
}

fn apply_request(config: &ServiceConfig) -> String {
    let request = ApplyRequest {
        base_revision: 0,
        content_id: config.content_id(),
        canonical: config.canonical_text().into(),
        files: Vec::new(),
        author: "sacristan".into(),
    };
    serde_json::to_string(&request).unwrap()
}

fn chat_for_assistant(stream: bool) -> http::Request<String> {
    chat(stream).map(|body| body.replace("lily", "assistant"))
}

/// Guards against parts that work alone and not together: election, apply, load reports, a chat, a
/// non-idempotent call with its replay, and a planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_cluster_serves_chats_and_runs_calls_once() {
    let engine = standin::engine::start(standin::engine::Settings {
        time_scale: 50.0,
        ..Default::default()
    })
    .unwrap();
    let service = standin::service::start(standin::service::Settings::default()).unwrap();
    let members = start_cluster(3).await;
    for member in &members {
        member.wait_status(|status| status.leader.is_some()).await;
    }
    let config = config(
        &engine.address().to_string(),
        &service.address().to_string(),
    );
    let (status, reply) = members[0]
        .admin("POST", "/admin/apply", &apply_request(&config))
        .await;
    assert_eq!(status, 200, "{reply}");
    let reply: ApplyReply = serde_json::from_str(&reply).unwrap();
    assert_eq!(reply, ApplyReply::Accepted { revision: 1 });
    for member in &members {
        member
            .wait_status(|status| {
                status.ready && status.upstreams.iter().filter(|u| u.reachable).count() == 2
            })
            .await;
        let (status, body) = member.send(chat_for_assistant(true)).await;
        assert_eq!(status, 200, "{body}");
        let (streamed, _, reasons) = read_stream(&body);
        assert_eq!(reasons, ["stop", "[DONE]"]);
        let (status, body) = member.send(chat_for_assistant(false)).await;
        assert_eq!(status, 200, "{body}");
        let body: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(body["choices"][0]["message"]["content"], streamed);
        let mut swap = request("POST", "/rota/swap", "altar 3");
        let key = "swap-1".parse().unwrap();
        swap.headers_mut().insert("idempotency-key", key);
        let (status, body) = member.send(swap).await;
        assert_eq!(status, 200, "{body}");
        let body: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(body["executions"], 1);
    }
    for member in members {
        member.stop().await;
    }
}

/// Guards against a caller that notices the crash of the engine that answers it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_survives_the_crash_of_its_engine() {
    let engine = || {
        let settings = standin::engine::Settings {
            request_tokens_per_s: 200.0,
            load_lag_ms: 0.0,
            ..Default::default()
        };
        standin::engine::start(settings).unwrap()
    };
    let mut engines = [engine(), engine()];
    let members = start_cluster(1).await;
    members[0]
        .wait_status(|status| status.leader.is_some())
        .await;
    let mut config = config(&engines[0].address().to_string(), "127.0.0.1:1");
    let mut second = config.upstreams[0].clone();
    second.name = "engine-2".into();
    second.address = engines[1].address().to_string().into();
    config.upstreams.push(second);
    let (status, reply) = members[0]
        .admin("POST", "/admin/apply", &apply_request(&config))
        .await;
    assert_eq!(status, 200, "{reply}");
    members[0]
        .wait_status(|status| {
            status.ready && status.upstreams.iter().filter(|u| u.reachable).count() == 2
        })
        .await;
    let chat = standin::prompt::ChatRequest {
        model: "assistant".into(),
        messages: vec![standin::prompt::ChatMessage {
            role: "user".into(),
            content: "How many lilies? answer-tokens=400".into(),
        }],
        stream: true,
        ..Default::default()
    };
    let body = serde_json::to_string(&chat).unwrap();
    let sent = request("POST", "/v1/chat/completions", &body);
    let response = support::send(&members[0].settings.instance.caller_address, sent).await;
    let mut body = response.into_body();
    let mut streamed = String::new();
    while streamed.matches("data: ").count() < 20 {
        streamed.push_str(&support::frame(&mut body).await.unwrap().unwrap());
    }
    for engine in &mut engines {
        let address = engine.address().to_string();
        let load = support::send(&address, support::get("/load")).await;
        let load = text(&mut load.into_body()).await.unwrap();
        let load: Value = serde_json::from_str(&load).unwrap();
        if load["running"] == 1 {
            engine.crash();
        }
    }
    streamed.push_str(&text(&mut body).await.unwrap());
    let (streamed, ids, reasons) = read_stream(&streamed);
    assert_eq!(streamed, chat.answer());
    assert_eq!(ids.len(), 1);
    assert_eq!(reasons, ["stop", "[DONE]"]);
    let crashed = engines
        .iter_mut()
        .filter_map(|engine| std::net::TcpStream::connect(engine.address()).err());
    assert_eq!(crashed.count(), 1);
    stop_all(members).await;
}

async fn stop_all(members: Vec<Member>) -> Vec<(tempfile::TempDir, conf::Settings)> {
    futures::future::join_all(members.into_iter().map(Member::stop)).await
}

fn replica_files(folder: &tempfile::TempDir) -> Vec<std::path::PathBuf> {
    let listed = std::fs::read_dir(folder.path().join("data/replica")).unwrap();
    listed.map(|entry| entry.unwrap().path()).collect()
}

/// Guards against state that is lost over a restart of all instances, and against a replica that
/// goes on with a damaged store or does not start at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_cluster_comes_back_from_its_disks() {
    let members = start_cluster(3).await;
    members[0]
        .wait_status(|status| status.leader.is_some())
        .await;
    let config = config("127.0.0.1:1", "127.0.0.1:2");
    let (status, reply) = members[0]
        .admin("POST", "/admin/apply", &apply_request(&config))
        .await;
    assert_eq!(status, 200, "{reply}");
    for member in &members {
        member.wait_status(|status| status.revision == 1).await;
    }
    let (_, body) = members[0].admin("GET", "/admin/status", "").await;
    let status: StatusReply = serde_json::from_str(&body).unwrap();
    let is_of_last = |voter: &&Name| voter.starts_with("instance-2/");
    let damaged = status.voters.iter().find(is_of_last).unwrap().clone();
    let stopped = stop_all(members).await;
    let segment = replica_files(&stopped[2].0)
        .into_iter()
        .find(|path| path.extension().is_some_and(|end| end == "seg"))
        .unwrap();
    let mut data = std::fs::read(&segment).unwrap();
    // A byte of the first record, which later records declare synced.
    data[32] ^= 0xff;
    std::fs::write(&segment, data).unwrap();
    let members = start_members(stopped).await;
    for member in &members {
        member
            .wait_status(|status| status.revision == 1 && status.ready)
            .await;
    }
    let data_folder = members[2].folder.path().join("data");
    let set_aside = std::fs::read_dir(data_folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .filter(|name| name.starts_with("replica.damaged-"));
    assert_eq!(set_aside.count(), 1);
    members[0]
        .wait_status(|status| {
            status.voters.len() == 3 && status.voters.iter().all(|voter| *voter != damaged)
        })
        .await;
    stop_all(members).await;
}
