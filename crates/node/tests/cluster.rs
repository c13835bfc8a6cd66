//! Complete instances with the real reducer, against stand-ins of engines and services.

mod support;

use std::time::Duration;

use conf::admin::{ApplyReply, ApplyRequest, StatusReply};
use conf::settings::Voter;
use conf::{Name, ServiceConfig};
use node::{Instance, ShutdownTrigger};
use serde_json::Value;
use support::{TOKEN, WAIT_TIMEOUT, chat_request, read_stream, read_text, request};
use tokio::task::JoinHandle;

struct ClusterInstance {
    folder: tempfile::TempDir,
    settings: conf::Settings,
    trigger: ShutdownTrigger,
    running: JoinHandle<Result<(), node::Error>>,
}

async fn start_cluster(count: usize) -> Vec<ClusterInstance> {
    let mut configured = Vec::new();
    for index in 0..count {
        let folder = tempfile::tempdir().unwrap();
        let mut settings = support::settings(&folder, &format!("instance-{index}"));
        settings.instance.availability_zone = "north".into();
        let data = folder.path().join("data");
        std::fs::create_dir(&data).unwrap();
        settings.instance.data_folder = Name::from(data.to_str().unwrap().to_owned());
        configured.push((folder, settings));
    }
    start_instances(configured).await
}

async fn start_instances(
    configured: Vec<(tempfile::TempDir, conf::Settings)>,
) -> Vec<ClusterInstance> {
    let mut bound = Vec::new();
    for (folder, settings) in configured {
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
        ClusterInstance {
            folder,
            settings: instance.settings().clone(),
            trigger,
            running: tokio::spawn(instance.run(stop)),
        }
    };
    bound.into_iter().map(start).collect()
}

impl ClusterInstance {
    async fn admin(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let mut sent = request(method, path, body);
        let token = format!("Bearer {TOKEN}").parse().unwrap();
        sent.headers_mut().insert("authorization", token);
        let response = support::send(&self.settings.instance.admin_address, sent).await;
        let status = response.status().as_u16();
        (status, read_text(&mut response.into_body()).await.unwrap())
    }

    async fn send(&self, sent: http::Request<String>) -> (u16, String) {
        let response = support::send(&self.settings.instance.caller_address, sent).await;
        let status = response.status().as_u16();
        (status, read_text(&mut response.into_body()).await.unwrap())
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
        if tokio::time::timeout(WAIT_TIMEOUT, waiting).await.is_err() {
            let (_, body) = self.admin("GET", "/admin/status", "").await;
            panic!("the instance did not reach the expected status: {body}");
        }
    }

    async fn stop(self) -> (tempfile::TempDir, conf::Settings) {
        self.trigger.stop();
        let ended = tokio::time::timeout(WAIT_TIMEOUT, self.running).await;
        ended.expect("the instance did not stop").unwrap().unwrap();
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
        author: "operator".into(),
    };
    serde_json::to_string(&request).unwrap()
}

fn assistant_chat_request(stream: bool) -> http::Request<String> {
    chat_request(stream).map(|body| body.replace("lily", "assistant"))
}

/// Guards against components that fail in combination: election, apply, load reports, a chat, a non-idempotent request
/// with its replay, and a planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_cluster_serves_chats_and_runs_requests_once() {
    let engine = standin::engine::start(standin::engine::Settings {
        time_scale: 50.0,
        ..Default::default()
    })
    .unwrap();
    let service = standin::service::start(standin::service::Settings::default()).unwrap();
    let instances = start_cluster(3).await;
    for instance in &instances {
        instance.wait_status(|status| status.leader.is_some()).await;
    }
    let config = config(
        &engine.address().to_string(),
        &service.address().to_string(),
    );
    let (status, reply) = instances[0]
        .admin("POST", "/admin/apply", &apply_request(&config))
        .await;
    assert_eq!(status, 200, "{reply}");
    let reply: ApplyReply = serde_json::from_str(&reply).unwrap();
    assert_eq!(reply, ApplyReply::Accepted { revision: 1 });
    for instance in &instances {
        instance
            .wait_status(|status| {
                status.ready && status.upstreams.iter().filter(|u| u.reachable).count() == 2
            })
            .await;
        let (status, body) = instance.send(assistant_chat_request(true)).await;
        assert_eq!(status, 200, "{body}");
        let (streamed, _, reasons) = read_stream(&body);
        assert_eq!(reasons, ["stop", "[DONE]"]);
        let (status, body) = instance.send(assistant_chat_request(false)).await;
        assert_eq!(status, 200, "{body}");
        let body: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(body["choices"][0]["message"]["content"], streamed);
        let mut swap = request("POST", "/rota/swap", "altar 3");
        let key = "swap-1".parse().unwrap();
        swap.headers_mut().insert("idempotency-key", key);
        let (status, body) = instance.send(swap).await;
        assert_eq!(status, 200, "{body}");
        let body: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(body["executions"], 1);
    }
    for instance in instances {
        instance.stop().await;
    }
}

/// Guards against an answer that differs, or ends, because the engine that produced it crashed.
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
    let instances = start_cluster(1).await;
    instances[0]
        .wait_status(|status| status.leader.is_some())
        .await;
    let mut config = config(&engines[0].address().to_string(), "127.0.0.1:1");
    let mut second = config.upstreams[0].clone();
    second.name = "engine-2".into();
    second.address = engines[1].address().to_string().into();
    config.upstreams.push(second);
    let (status, reply) = instances[0]
        .admin("POST", "/admin/apply", &apply_request(&config))
        .await;
    assert_eq!(status, 200, "{reply}");
    instances[0]
        .wait_status(|status| {
            status.ready && status.upstreams.iter().filter(|u| u.reachable).count() == 2
        })
        .await;
    let chat = standin::prompt::ChatRequest {
        model: "assistant".into(),
        messages: vec![standin::prompt::ChatMessage {
            role: "user".into(),
            content: "How many tokens follow? answer-tokens=400".into(),
        }],
        stream: true,
        ..Default::default()
    };
    let body = serde_json::to_string(&chat).unwrap();
    let sent = request("POST", "/v1/chat/completions", &body);
    let response = support::send(&instances[0].settings.instance.caller_address, sent).await;
    let mut body = response.into_body();
    let mut streamed = String::new();
    while streamed.matches("data: ").count() < 20 {
        streamed.push_str(&support::read_frame(&mut body).await.unwrap().unwrap());
    }
    for engine in &mut engines {
        let address = engine.address().to_string();
        let load = support::send(&address, support::get_request("/load")).await;
        let load = read_text(&mut load.into_body()).await.unwrap();
        let load: Value = serde_json::from_str(&load).unwrap();
        if load["running"] == 1 {
            engine.crash();
            // The other engine may run the resumed request from now on.
            break;
        }
    }
    streamed.push_str(&read_text(&mut body).await.unwrap());
    let (streamed, ids, reasons) = read_stream(&streamed);
    assert_eq!(streamed, chat.answer());
    assert_eq!(ids.len(), 1);
    assert_eq!(reasons, ["stop", "[DONE]"]);
    let crashed = engines
        .iter_mut()
        .filter_map(|engine| std::net::TcpStream::connect(engine.address()).err());
    assert_eq!(crashed.count(), 1);
    stop_all(instances).await;
}

async fn stop_all(instances: Vec<ClusterInstance>) -> Vec<(tempfile::TempDir, conf::Settings)> {
    futures::future::join_all(instances.into_iter().map(ClusterInstance::stop)).await
}

fn replica_files(folder: &tempfile::TempDir) -> Vec<std::path::PathBuf> {
    let listed = std::fs::read_dir(folder.path().join("data/replica")).unwrap();
    listed.map(|entry| entry.unwrap().path()).collect()
}

/// Guards against state that is lost in a restart of all instances, and against a replica with a damaged store that
/// continues with this store or does not start.
#[tokio::test(flavor = "multi_thread")]
async fn a_cluster_restarts_from_its_disks() {
    let instances = start_cluster(3).await;
    instances[0]
        .wait_status(|status| status.leader.is_some())
        .await;
    let config = config("127.0.0.1:1", "127.0.0.1:2");
    let (status, reply) = instances[0]
        .admin("POST", "/admin/apply", &apply_request(&config))
        .await;
    assert_eq!(status, 200, "{reply}");
    for instance in &instances {
        instance.wait_status(|status| status.revision == 1).await;
    }
    let (_, body) = instances[0].admin("GET", "/admin/status", "").await;
    let status: StatusReply = serde_json::from_str(&body).unwrap();
    let is_last_instance = |voter: &&Name| voter.starts_with("instance-2/");
    let damaged_voter = status.voters.iter().find(is_last_instance).unwrap().clone();
    let stopped = stop_all(instances).await;
    let segment = replica_files(&stopped[2].0)
        .into_iter()
        .find(|path| path.extension().is_some_and(|end| end == "seg"))
        .unwrap();
    let mut data = std::fs::read(&segment).unwrap();
    // This byte belongs to the first record, which later records mark as synced.
    data[32] ^= 0xff;
    std::fs::write(&segment, data).unwrap();
    let instances = start_instances(stopped).await;
    for instance in &instances {
        instance
            .wait_status(|status| status.revision == 1 && status.ready)
            .await;
    }
    let data_folder = instances[2].folder.path().join("data");
    let renamed_stores = std::fs::read_dir(data_folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .filter(|name| name.starts_with("replica.damaged-"));
    assert_eq!(renamed_stores.count(), 1);
    instances[0]
        .wait_status(|status| {
            status.voters.len() == 3 && status.voters.iter().all(|voter| *voter != damaged_voter)
        })
        .await;
    stop_all(instances).await;
}
