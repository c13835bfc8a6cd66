//! `demo`: runs a small system with embedded settings in one process.

use std::path::Path;
use std::time::Duration;

use conf::admin::{ApplyReply, ApplyRequest, FileText, RevisionInfo, StatusReply};
use conf::settings::{Instance, Settings, Voter};
use conf::{Fencing, Name};
use spdlog::{Level, LevelFilter};
use standin::{engine, service};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};

use crate::client::Client;
use crate::error::Error;
use crate::terminal;

/// Service configuration with placeholders for the addresses of the stand-ins.
const SERVICE_CONFIG: &str = include_str!("../demo/service.toml");

/// Address of the callers' listener. A free port is used if another process has this one.
const CALLER_ADDRESS: &str = "127.0.0.1:8080";

/// API key of the demo's tenant.
const API_KEY: &str = "demo-key";

/// Time within which the instance has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two attempts to reach the instance.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Serves until the process is told to stop.
pub fn run() -> Result<(), Error> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve())
}

async fn serve() -> Result<(), Error> {
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(Level::Warn));
    let folder = Folder::create()?;
    let engines = [
        start_engine(Fencing::Enforced)?,
        start_engine(Fencing::Ignored)?,
    ];
    let service = service::start(service::Settings::default())?;
    let config = SERVICE_CONFIG
        .replace("ENGINE_1", &engines[0].address().to_string())
        .replace("ENGINE_2", &engines[1].address().to_string())
        .replace("SERVICE_1", &service.address().to_string());

    let mut instance = bind(&folder).await?;
    instance.serve_metrics_to_callers();
    let addresses = instance.settings().instance.clone();
    let (trigger, stop) = node::shutdown();
    let running = tokio::spawn(instance.run(stop));
    configure(&addresses, &folder, config).await?;
    explain(&addresses);

    wait_for_signal().await?;
    terminal::print("stopping; open requests finish first");
    trigger.stop();
    running
        .await
        .map_err(|error| Error::Refused(error.to_string()))??;
    Ok(())
}

/// A temporary folder that is removed at the end.
struct Folder(std::path::PathBuf);

impl Folder {
    fn create() -> Result<Self, Error> {
        let name = format!("mustardstack-demo-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(path.join("data"))?;
        std::fs::write(path.join("admin-token"), "demo-admin-token")?;
        std::fs::write(path.join("peer-secret"), "demo-peer-secret")?;
        Ok(Self(path))
    }

    fn path(&self, name: &str) -> Name {
        self.0.join(name).display().to_string().into()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // The folder lies under the temporary folder; one that stays does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn start_engine(fencing: Fencing) -> Result<standin::Running, Error> {
    let settings = engine::Settings {
        fencing,
        ..engine::Settings::default()
    };
    Ok(engine::start(settings)?)
}

async fn bind(folder: &Folder) -> Result<node::Instance, Error> {
    match node::Instance::bind(settings(folder, CALLER_ADDRESS)).await {
        Ok(instance) => Ok(instance),
        Err(_) => Ok(node::Instance::bind(settings(folder, "127.0.0.1:0")).await?),
    }
}

fn settings(folder: &Folder, caller_address: &'static str) -> Settings {
    let any_port = Name::from_static_str("127.0.0.1:0");
    let id = Name::from_static_str("demo-1");
    let availability_zone = Name::from_static_str("demo-a");
    Settings {
        instance: Instance {
            id: id.clone(),
            availability_zone: availability_zone.clone(),
            caller_address: Name::from_static_str(caller_address),
            admin_address: any_port.clone(),
            peer_address: any_port.clone(),
            admin_token_file: folder.path("admin-token"),
            peer_secret_file: folder.path("peer-secret"),
            data_folder: folder.path("data"),
        },
        voters: vec![Voter {
            id,
            availability_zone,
            peer_address: any_port,
        }],
        ..Settings::default()
    }
}

async fn configure(addresses: &Instance, folder: &Folder, config: String) -> Result<(), Error> {
    let files = vec![FileText {
        name: "demo.toml".into(),
        text: config.into(),
    }];
    let loaded = conf::load::service_from_files(files).map_err(conf::load::Error::Invalid)?;
    let canonical = loaded.value.canonical_text();
    let request = ApplyRequest {
        base_revision: 0,
        content_id: conf::content_id(&canonical),
        canonical: canonical.into(),
        files: loaded.files,
        author: "demo".into(),
    };
    let admin_address = addresses.admin_address.parse().map_err(|error| {
        Error::Usage(format!(
            "{} is not an address: {error}",
            addresses.admin_address
        ))
    })?;
    let client = Client::new(
        admin_address,
        Path::new(folder.path("admin-token").as_str()),
    )?;
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        let reply = client.post::<_, ApplyReply>("/admin/apply", &request).await;
        if matches!(reply, Ok(ApplyReply::Accepted { .. })) && is_ready(&client).await {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let text = format!("the instance did not become ready: {reply:?}");
            return Err(Error::Unavailable(text));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn is_ready(client: &Client) -> bool {
    let current = client.get::<RevisionInfo>("/admin/config").await;
    let status = client.get::<StatusReply>("/admin/status").await;
    current.is_ok_and(|current| current.revision > 0)
        && status.is_ok_and(|status| {
            status.ready && status.upstreams.iter().all(|upstream| upstream.reachable)
        })
}

fn explain(addresses: &Instance) {
    let address = &addresses.caller_address;
    terminal::print(format!(
        "mustardstack serves on http://{address} with two stand-in engines and a plain service.\n\
         \n\
         A streamed answer:\n\
         \n  curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {API_KEY}' \
         -H 'Content-Type: application/json' -d '{{\"model\":\"assistant\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Who brings the flowers on Sunday?\"}}]}}'\n\
         \n\
         A payment that runs once, however often it is sent:\n\
         \n  curl http://{address}/orders/payments -H 'Authorization: Bearer {API_KEY}' \
         -H 'Idempotency-Key: payment-1' -d 'amount=10'\n\
         \n\
         Metrics: curl http://{address}/metrics\n\
         Ctrl-C stops it."
    ));
}

async fn wait_for_signal() -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
