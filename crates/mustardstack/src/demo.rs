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

/// API key of the client account in the demo's service configuration.
const API_KEY: &str = "demo-key";

/// Time limit for the instance to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two attempts to apply the configuration to the instance.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the demo until the process receives SIGTERM or SIGINT.
pub fn run() -> Result<(), Error> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve())
}

async fn serve() -> Result<(), Error> {
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(Level::Warn));
    let folder = DemoFolder::create()?;
    let engines = [
        start_engine(Fencing::Enforced)?,
        start_engine(Fencing::Ignored)?,
    ];
    let service = service::start(service::Settings::default())?;
    let config = SERVICE_CONFIG
        .replace("ENGINE_1", &engines[0].address().to_string())
        .replace("ENGINE_2", &engines[1].address().to_string())
        .replace("SERVICE_1", &service.address().to_string());

    let mut instance = bind_instance(&folder).await?;
    instance.serve_metrics_to_callers();
    let addresses = instance.settings().instance.clone();
    let (trigger, stop) = node::shutdown();
    let instance_task = tokio::spawn(instance.run(stop));
    apply_config(&addresses, &folder, config).await?;
    print_usage(&addresses);

    wait_for_signal().await?;
    terminal::print("the demo stops after its open requests have finished");
    trigger.stop();
    instance_task
        .await
        .map_err(|error| Error::Refused(error.to_string()))??;
    Ok(())
}

/// Temporary folder of the demo. Dropping the value removes the folder.
struct DemoFolder(std::path::PathBuf);

impl DemoFolder {
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

impl Drop for DemoFolder {
    fn drop(&mut self) {
        // The folder is in the system's temporary folder, so a failure to remove it has no consequence.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn start_engine(fencing: Fencing) -> Result<standin::RunningStandin, Error> {
    let settings = engine::Settings {
        fencing,
        ..engine::Settings::default()
    };
    Ok(engine::start(settings)?)
}

async fn bind_instance(folder: &DemoFolder) -> Result<node::Instance, Error> {
    match node::Instance::bind(instance_settings(folder, CALLER_ADDRESS)).await {
        Ok(instance) => Ok(instance),
        Err(_) => Ok(node::Instance::bind(instance_settings(folder, "127.0.0.1:0")).await?),
    }
}

fn instance_settings(folder: &DemoFolder, caller_address: &'static str) -> Settings {
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

async fn apply_config(
    addresses: &Instance,
    folder: &DemoFolder,
    config: String,
) -> Result<(), Error> {
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
            let message = format!("the instance did not become ready: {reply:?}");
            return Err(Error::Unavailable(message));
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

fn print_usage(addresses: &Instance) {
    let address = &addresses.caller_address;
    terminal::print(format!(
        "mustardstack serves on http://{address} with two stand-in engines and a plain service.\n\
         \n\
         A streamed answer:\n\
         \n  curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {API_KEY}' \
         -H 'Content-Type: application/json' -d '{{\"model\":\"assistant\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"Who brings the flowers on Sunday?\"}}]}}'\n\
         \n\
         A payment that runs only once, even if the request is sent again:\n\
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
