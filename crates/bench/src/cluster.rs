//! All processes of one run.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use conf::{
    Name, RankPolicy, ServiceConfig,
    admin::{ApplyRequest, FileText, StatusReply},
    service::{ClientAccount, Idempotency, Model, Route, Service, ServiceKind, Upstream},
    settings::{Instance, Log, Timing, Voter},
};
use http::Method;
use serde::Serialize;
use sha2::{Digest, Sha256};
use standin::{client::Client, engine, service};

use crate::{Case, Error, Policy, Preset, Result, process::Process, usage::Usage};

const ADMIN_TOKEN: &str = "experiment-admin-token";
const PEER_SECRET: &str = "experiment-peer-secret";

/// Time within which all instances must have the configuration in force and reach all upstreams.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Lowest port that is used. All ports are below the default range for outgoing connections on Linux.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 22_000;
/// Distance between the first ports that are tried by processes with consecutive ids.
const PORT_STRIDE: u32 = 211;
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An instance and its process, which is killed on drop.
#[derive(Debug)]
struct InstanceProcess {
    instance: Instance,
    process: Process,
}

/// A stand-in and its process, which is killed on drop.
#[derive(Debug)]
struct StandinProcess {
    upstream: Upstream,
    _process: Process,
}

/// The instances, engines and workers of one run.
pub struct Cluster {
    client: Client,
    instances: Vec<InstanceProcess>,
    engines: Vec<StandinProcess>,
    workers: Vec<StandinProcess>,
}

impl Cluster {
    /// Starts all processes and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not become ready in time.
    pub async fn start(preset: &Preset, case: Case, policy: Policy, folder: &Path) -> Result<Self> {
        fs::write(folder.join("admin-token"), ADMIN_TOKEN)?;
        fs::write(folder.join("peer-secret"), PEER_SECRET)?;
        let cluster = Self {
            client: Client::new(REQUEST_TIMEOUT, false)?,
            engines: start_engines(preset, case, folder)?,
            workers: start_workers(preset, folder)?,
            instances: start_instances(preset, policy, folder)?,
        };
        cluster.configure(service_config(preset, &cluster)).await?;
        Ok(cluster)
    }

    /// Returns the caller addresses of all instances.
    pub fn entries(&self) -> Vec<Name> {
        let instances = self.instances.iter();
        instances
            .map(|running| running.instance.caller_address.clone())
            .collect()
    }

    /// Returns the resource usage of each instance since its start.
    ///
    /// # Errors
    ///
    /// Returns an error if a process has ended.
    pub async fn usage(&self) -> Result<Vec<Usage>> {
        let mut usage = Vec::new();
        for running in &self.instances {
            let stat = fs::read_to_string(format!("/proc/{}/stat", running.process.id()))?;
            let metrics = self.send_admin(Method::GET, running, "/metrics", "").await;
            usage.push(Usage::read(&stat, &metrics.unwrap_or_default()));
        }
        Ok(usage)
    }

    /// Returns the share of prompt tokens that were in the engines' caches. Crashed engines do not count.
    pub async fn prefix_hit_share(&self) -> f64 {
        let (mut prompt_tokens, mut cached_tokens) = (0.0, 0.0);
        for engine in &self.engines {
            let url = format!("http://{}/debug/requests", engine.upstream.address);
            let records = self.client.get_json(&url, &[]).await;
            let sum = |field: &str| -> f64 {
                let records = records.as_array().into_iter().flatten();
                records.filter_map(|record| record[field].as_f64()).sum()
            };
            prompt_tokens += sum("prompt_tokens");
            cached_tokens += sum("cached_tokens");
        }
        cached_tokens / f64::max(prompt_tokens, 1.0)
    }

    /// Writes the metrics of each instance to a file next to its log.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub async fn write_metrics(&self, folder: &Path) -> Result<()> {
        for running in &self.instances {
            let metrics = self.send_admin(Method::GET, running, "/metrics", "").await;
            let file = folder.join(format!("{}.metrics", running.instance.id));
            fs::write(file, metrics.unwrap_or_default())?;
        }
        Ok(())
    }

    /// Drains the first engine.
    pub async fn drain_engine(&self) {
        let name = &self.engines[0].upstream.name;
        let body = format!("{{\"upstream\":\"{name}\"}}");
        self.send_admin(Method::POST, &self.instances[0], "/admin/drain", &body)
            .await;
    }

    /// Crashes the last engine.
    pub async fn crash_engine(&self) {
        if let Some(engine) = self.engines.last() {
            let url = format!("http://{}/debug/crash", engine.upstream.address);
            self.client.send(Method::POST, &url, &[], "").await;
        }
    }

    async fn configure(&self, config: ServiceConfig) -> Result<()> {
        let files = vec![FileText {
            name: Name::from_static_str("experiment.toml"),
            text: Name::from(toml::to_string(&config)?),
        }];
        let loaded = conf::load::service_from_files(files).map_err(conf::load::Error::Invalid)?;
        let canonical = loaded.value.canonical_text();
        let request = ApplyRequest {
            base_revision: 0,
            content_id: conf::content_id(&canonical),
            canonical: Name::from(canonical),
            files: loaded.files,
            author: Name::from_static_str("experiment"),
        };
        let body = serde_json::to_string(&request).unwrap_or_default();
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            // The request is repeated until all instances are ready; the same content is accepted only once.
            let reply = self
                .send_admin(Method::POST, &self.instances[0], "/admin/apply", &body)
                .await;
            let unready = self.first_unready_instance().await;
            let Some(unready) = unready else {
                return Ok(());
            };
            if Instant::now() >= deadline {
                let message = format!("{unready}; last reply to POST /admin/apply: {reply:?}");
                return Err(Error::NotReady(message));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the id of the first instance that is not ready, if any.
    async fn first_unready_instance(&self) -> Option<Name> {
        for running in &self.instances {
            let status = self
                .send_admin(Method::GET, running, "/admin/status", "")
                .await;
            let status: Option<StatusReply> =
                status.and_then(|text| serde_json::from_str(&text).ok());
            let is_ready = status.is_some_and(|status| {
                let upstreams = &status.upstreams;
                status.ready
                    && upstreams.len() == self.engines.len() + self.workers.len()
                    && upstreams.iter().all(|upstream| upstream.reachable)
            });
            if !is_ready {
                return Some(running.instance.id.clone());
            }
        }
        None
    }

    async fn send_admin(
        &self,
        method: Method,
        running: &InstanceProcess,
        path: &str,
        body: &str,
    ) -> Option<String> {
        let url = format!("http://{}{path}", running.instance.admin_address);
        let bearer = format!("Bearer {ADMIN_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        let exchange = self
            .client
            .send(method, &url, &headers, body.to_owned())
            .await;
        exchange.status.map(|_| exchange.text)
    }
}

fn start_engines(preset: &Preset, case: Case, folder: &Path) -> Result<Vec<StandinProcess>> {
    let start = |index| {
        let name = format!("engine-{}", index + 1);
        let settings = engine::Settings {
            listen: free_address()?,
            seed: index as u64 + 1,
            ..preset.engine_settings(case)
        };
        let process = start_standin("engine", &name, &settings, folder)?;
        let scale = settings.time_scale;
        let upstream = Upstream {
            name: Name::from(name),
            service: Name::from_static_str("assistant"),
            address: settings.listen.clone(),
            availability_zone: availability_zone(preset, index),
            fencing: settings.fencing,
            role: settings.role,
            cache_chunks: settings.cache_chunks as u32,
            prefill_tokens_per_s: settings.prefill_tokens_per_s * scale,
            decode_tokens_per_s: settings.decode_tokens_per_s * scale,
            max_running: settings.max_running as u32,
            ..Upstream::default()
        };
        Ok(StandinProcess {
            upstream,
            _process: process,
        })
    };
    (0..preset.engines).map(start).collect()
}

fn start_workers(preset: &Preset, folder: &Path) -> Result<Vec<StandinProcess>> {
    let start = |index| {
        let name = format!("worker-{}", index + 1);
        let settings = service::Settings {
            listen: free_address()?,
            name: Name::from(name.clone()),
            time_scale: preset.load.time_scale,
            ..service::Settings::default()
        };
        let process = start_standin("service", &name, &settings, folder)?;
        let upstream = Upstream {
            name: Name::from(name),
            service: Name::from_static_str("app"),
            address: settings.listen.clone(),
            availability_zone: availability_zone(preset, index),
            ..Upstream::default()
        };
        Ok(StandinProcess {
            upstream,
            _process: process,
        })
    };
    (0..preset.workers).map(start).collect()
}

fn start_standin(
    kind: &str,
    name: &str,
    settings: &impl Serialize,
    folder: &Path,
) -> Result<Process> {
    let file = folder.join(format!("{name}.toml"));
    fs::write(&file, toml::to_string(settings)?)?;
    let file = file.display().to_string();
    let log_file = folder.join(format!("{name}.log"));
    Process::start(&["standin", kind, "--settings", &file], &log_file)
}

fn start_instances(preset: &Preset, policy: Policy, folder: &Path) -> Result<Vec<InstanceProcess>> {
    let instances: Vec<Instance> = (0..preset.entries)
        .map(|index| instance(preset, index, folder))
        .collect::<Result<_>>()?;
    let voters: Vec<Voter> = instances.iter().take(preset.voters).map(voter).collect();
    let start = |instance: Instance| {
        let settings = instance_settings(preset, policy, &instance, &voters);
        let process = start_instance(&settings, folder)?;
        Ok(InstanceProcess { instance, process })
    };
    instances.into_iter().map(start).collect()
}

fn instance(preset: &Preset, index: usize, folder: &Path) -> Result<Instance> {
    let id = format!("entry-{}", index + 1);
    let data_folder = match index < preset.voters {
        true => path_to_name(&folder.join(&id).join("data")),
        false => Name::default(),
    };
    Ok(Instance {
        id: Name::from(id),
        availability_zone: availability_zone(preset, index),
        caller_address: free_address()?,
        admin_address: free_address()?,
        peer_address: free_address()?,
        admin_token_file: path_to_name(&folder.join("admin-token")),
        peer_secret_file: path_to_name(&folder.join("peer-secret")),
        data_folder,
    })
}

fn voter(instance: &Instance) -> Voter {
    Voter {
        id: instance.id.clone(),
        availability_zone: instance.availability_zone.clone(),
        peer_address: instance.peer_address.clone(),
    }
}

fn instance_settings(
    preset: &Preset,
    policy: Policy,
    instance: &Instance,
    voters: &[Voter],
) -> conf::Settings {
    let timing = Timing::default();
    conf::Settings {
        instance: instance.clone(),
        voters: voters.to_vec(),
        log: Log::default(),
        // With the scaled interval, load reports have the same age in simulated time as without a time scale.
        timing: Timing {
            load_interval_ms: real_ms(preset, timing.load_interval_ms as f64),
            ..timing
        },
        decisions: policy.decisions(),
        ..conf::Settings::default()
    }
}

fn start_instance(settings: &conf::Settings, folder: &Path) -> Result<Process> {
    let id = settings.instance.id.as_str();
    let settings_folder = folder.join(id).join("settings");
    fs::create_dir_all(&settings_folder)?;
    let text = toml::to_string(settings)?;
    fs::write(settings_folder.join("instance.toml"), text)?;
    let log_file = folder.join(format!("{id}.log"));
    let settings_folder = settings_folder.display().to_string();
    Process::start(&["serve", &settings_folder], &log_file)
}

fn service_config(preset: &Preset, cluster: &Cluster) -> ServiceConfig {
    let standins = cluster.engines.iter().chain(&cluster.workers);
    let load = &preset.load;
    ServiceConfig {
        ranks: ranks(preset),
        client_accounts: client_accounts(preset),
        models: vec![Model {
            name: load.model.clone(),
            version: Name::from_static_str("1"),
            weights_bytes: 1 << 20,
            ..Model::default()
        }],
        services: vec![
            Service {
                name: Name::from_static_str("assistant"),
                kind: ServiceKind::Model,
                models: vec![load.model.clone()],
            },
            Service {
                name: Name::from_static_str("app"),
                kind: ServiceKind::Plain,
                ..Service::default()
            },
        ],
        routes: vec![Route {
            name: Name::from_static_str("app"),
            path_prefix: Name::from_static_str("/app/"),
            service: Name::from_static_str("app"),
            idempotency: Idempotency::NonIdempotent,
            ..Route::default()
        }],
        upstreams: standins.map(|standin| standin.upstream.clone()).collect(),
    }
}

/// Returns the ranks with targets in real time, since instances do not know the time scale.
fn ranks(preset: &Preset) -> Vec<RankPolicy> {
    let limits = preset.floors.iter().zip(&preset.queue_limits);
    let ranks = preset.load.ranks.iter().zip(limits);
    ranks
        .map(|(rank, (floor, queue_limit))| RankPolicy {
            name: rank.name.clone(),
            target_first_token_ms: real_ms(preset, rank.target_first_token_ms),
            target_between_tokens_ms: real_ms(preset, rank.target_between_tokens_ms),
            target_total_ms: real_ms(preset, rank.target_total_ms),
            worth: rank.worth,
            floor: *floor,
            queue_limit: *queue_limit,
        })
        .collect()
}

fn client_accounts(preset: &Preset) -> Vec<ClientAccount> {
    let ranks: Vec<Name> = preset.load.ranks.iter().map(|r| r.name.clone()).collect();
    let client_accounts = preset.load.client_accounts.iter().enumerate();
    client_accounts
        .map(|(index, client_account)| ClientAccount {
            name: Name::from(format!("tenant-{}", index + 1)),
            key_sha256: Name::from(hex(&Sha256::digest(client_account.key.as_bytes()))),
            ranks: ranks.clone(),
            // The limits are so high that the ranks' queues bound floods, and the client accounts' rates do not.
            requests_per_s: 100_000.0,
            burst: 100_000.0,
            ..ClientAccount::default()
        })
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn real_ms(preset: &Preset, simulated_ms: f64) -> u64 {
    ((simulated_ms / preset.load.time_scale) as u64).max(1)
}

fn availability_zone(preset: &Preset, index: usize) -> Name {
    let zones = &preset.availability_zones;
    zones[index % zones.len()].clone()
}

fn path_to_name(path: &Path) -> Name {
    Name::from(PathBuf::from(path).display().to_string())
}

fn free_address() -> Result<Name> {
    let start = std::process::id().wrapping_mul(PORT_STRIDE);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, (FIRST_PORT + offset) as u16));
        if TcpListener::bind(address).is_ok() {
            return Ok(Name::from(address.to_string()));
        }
    }
    Err(Error::Invalid(
        "no free port on the loopback address".to_owned(),
    ))
}
