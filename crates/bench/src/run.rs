//! Runs of an experiment.

use std::{fs, path::Path, time::Duration};

use standin::load::{self, LoadRunReport, LoadSettings};

use crate::{Case, Policy, Preset, Result, Settings, cluster::Cluster, usage::Usage};

/// Shares of the duration of a run after which one engine is drained and another one crashes.
const DRAIN_AT_SHARE: f64 = 0.3;
const CRASH_AT_SHARE: f64 = 0.6;

/// Result of one run of a policy in a case with one seed.
#[derive(Clone, Debug)]
pub struct Run {
    /// Case that was run.
    pub case: Case,
    /// Policy that was run.
    pub policy: Policy,
    /// Report of the load generator.
    pub report: LoadRunReport,
    /// Resource usage of each instance while the load was offered.
    pub usage: Vec<Usage>,
    /// Share of prompt tokens that were in the engines' caches.
    pub prefix_hit_share: f64,
}

/// Runs every policy in every case with every seed, one run at a time. `on_run` is called after each run.
///
/// # Errors
///
/// Returns an error if the preset is unknown, or if the processes cannot be started or end early.
pub async fn run(settings: &Settings, mut on_run: impl FnMut(&Run)) -> Result<Vec<Run>> {
    let preset = settings.preset()?;
    let mut runs = Vec::new();
    for case in &settings.cases {
        for seed in &settings.seeds {
            for policy in &settings.policies {
                let run = run_in_folder(settings, &preset, *case, *policy, *seed).await?;
                on_run(&run);
                runs.push(run);
            }
        }
    }
    Ok(runs)
}

async fn run_in_folder(
    settings: &Settings,
    preset: &Preset,
    case: Case,
    policy: Policy,
    seed: u64,
) -> Result<Run> {
    if settings.work_folder.as_os_str().is_empty() {
        let folder = tempfile::tempdir()?;
        return run_once(preset, case, policy, seed, folder.path()).await;
    }
    let name = format!("{}-{}-{seed}", case.name(), policy.name());
    let folder = settings.work_folder.join(name);
    // With the data of an earlier run, instances would resume from it as if they had been restarted.
    if folder.exists() {
        fs::remove_dir_all(&folder)?;
    }
    fs::create_dir_all(&folder)?;
    run_once(preset, case, policy, seed, &folder).await
}

async fn run_once(
    preset: &Preset,
    case: Case,
    policy: Policy,
    seed: u64,
    folder: &Path,
) -> Result<Run> {
    let cluster = Cluster::start(preset, case, policy, folder).await?;
    let load = preset.load_settings(case, seed, cluster.entries());
    let before = cluster.usage().await?;
    let faults = inject_faults(&cluster, case, &load);
    let (report, ()) = tokio::join!(load::run(load.clone()), faults);
    let after = cluster.usage().await?;
    cluster.write_metrics(folder).await?;
    let usage = after.into_iter().zip(before);
    Ok(Run {
        case,
        policy,
        report: report?,
        usage: usage.map(|(after, before)| after.since(before)).collect(),
        prefix_hit_share: cluster.prefix_hit_share().await,
    })
}

async fn inject_faults(cluster: &Cluster, case: Case, load: &LoadSettings) {
    if case != Case::EngineLoss {
        return;
    }
    let after =
        |share: f64| Duration::from_secs_f64(share * load.duration_ms / 1_000.0 / load.time_scale);
    tokio::time::sleep(after(DRAIN_AT_SHARE)).await;
    cluster.drain_engine().await;
    tokio::time::sleep(after(CRASH_AT_SHARE - DRAIN_AT_SHARE)).await;
    cluster.crash_engine().await;
}
