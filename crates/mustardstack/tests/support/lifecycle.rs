//! Commands that start, stop, crash, partition and wipe processes.

use std::{fmt::Write, fs, path::Path};

use conf::{Name, settings::Platform};
use http::Method;
use serde_json::Value;

use super::{
    Result,
    process::{Process, Signal},
    runner::ScenarioRunner,
    standin::{StandinKind, StandinSpec},
    wait,
};

impl ScenarioRunner {
    pub(super) fn add_standin(
        &mut self,
        kind: StandinKind,
        name: &str,
        settings: &[(String, String)],
    ) -> Result<String> {
        let standin = StandinSpec::create(self.folder.path(), name, kind, settings)?;
        self.standins.insert(name.to_owned(), standin);
        self.start(name)?;
        Ok(String::new())
    }

    pub(super) fn add_instances(
        &mut self,
        instances: &[(String, String)],
        is_voter: bool,
    ) -> Result<String> {
        for (id, availability_zone) in instances {
            self.cluster.add(id, availability_zone, is_voter)?;
        }
        Ok(String::new())
    }

    pub(super) fn start(&mut self, name: &str) -> Result<()> {
        if let Some(process) = self.processes.get_mut(name)
            && process.is_running()?
        {
            return Err("the process is already running".into());
        }
        let log_file = self.folder.path().join(format!("{name}.log"));
        let process = match self.standins.get(name) {
            Some(standin) => start_standin(standin, &log_file)?,
            None => self.start_instance(name, &log_file)?,
        };
        self.processes.insert(name.to_owned(), process);
        self.wait_listening(name)
    }

    pub(super) fn start_instance(&mut self, id: &str, log_file: &Path) -> Result<Process> {
        let platform = self.platform_settings();
        self.cluster
            .write_settings(self.runtime.handle(), id, &platform)?;
        let folder = self.cluster.settings_folder(id);
        Process::start(&["serve", path_text(&folder)?], log_file)
    }

    /// Waits until the process answers. Returns an error if the process has ended.
    pub(super) fn wait_listening(&mut self, name: &str) -> Result<()> {
        let url = match self.standins.get(name) {
            Some(standin) => standin.url(standin.kind.probe_path()),
            None => self.caller_url(name, "/healthz")?,
        };
        wait::until("the first answer", || {
            let probe = self.send(Method::GET, &url, &[], "");
            if probe.status.is_some() {
                return Ok(Some(()));
            }
            match self.process(name)?.is_running()? {
                true => Ok(None),
                false => Err("the process has ended".into()),
            }
        })
    }

    pub(super) fn stop(&mut self, names: &[String]) -> Result<String> {
        self.signal(names, Signal::Terminate)?;
        let mut output = String::new();
        for name in names {
            let status = self.process(name)?.wait_exit()?;
            writeln!(output, "{name}: {status}")?;
        }
        Ok(output)
    }

    pub(super) fn signal(&mut self, names: &[String], signal: Signal) -> Result<String> {
        self.for_each(names, |runner, name| runner.process(name)?.signal(signal))
    }

    pub(super) fn wipe(&mut self, name: &str) -> Result<()> {
        if self.process(name)?.is_running()? {
            return Err("the process is still running".into());
        }
        let replica = wait::until("a voter that knows the replica", || self.replica_of(name))?;
        self.lost_replicas.insert(replica);
        Ok(fs::remove_dir_all(self.cluster.data_folder(name))?)
    }

    /// Returns the replica of an instance, as a running instance lists it among the voters.
    pub(super) fn replica_of(&mut self, id: &str) -> Result<Option<String>> {
        for instance in self.running_instances()? {
            let status = self.status(&instance)?;
            let voters = status["voters"].as_array().cloned().unwrap_or_default();
            let prefix = format!("{id}/");
            let mut names = voters.iter().filter_map(Value::as_str);
            if let Some(replica) = names.find(|name| name.starts_with(&prefix)) {
                return Ok(Some(replica.to_owned()));
            }
        }
        Ok(None)
    }

    pub(super) fn crash(&mut self, name: &str) -> Result<()> {
        let url = self.standin(name)?.url("/debug/crash");
        self.send(Method::POST, &url, &[], "");
        self.process(name)?.wait_exit()?;
        Ok(())
    }

    pub(super) fn set_partitioned(
        &mut self,
        names: &[String],
        is_partitioned: bool,
    ) -> Result<String> {
        let Some((first, others)) = names.split_first() else {
            return Err("the command names no instance".into());
        };
        for other in others {
            self.cluster.set_partitioned(first, other, is_partitioned)?;
        }
        Ok(String::new())
    }

    pub(super) fn platform_settings(&self) -> Platform {
        let platform = self
            .standins
            .values()
            .find(|standin| standin.kind == StandinKind::Platform);
        let url = |path| platform.map_or_else(String::new, |platform| platform.url(path));
        Platform {
            list_url: Name::from(url("/instances")),
            weight_store_url: Name::from(url("")),
        }
    }
}

fn start_standin(standin: &StandinSpec, log_file: &Path) -> Result<Process> {
    let settings_file = path_text(&standin.settings_file)?;
    let subcommand = standin.kind.subcommand();
    Process::start(
        &["standin", subcommand, "--settings", settings_file],
        log_file,
    )
}

/// Returns the path as text.
///
/// # Errors
///
/// Returns an error if the path is not UTF-8.
pub fn path_text(path: &Path) -> Result<&str> {
    Ok(path.to_str().ok_or("the path is not UTF-8")?)
}
