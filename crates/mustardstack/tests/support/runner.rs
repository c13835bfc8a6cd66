//! State of a scenario and dispatch of its commands.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use http::Method;
use standin::client::{Client, Exchange};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use super::{
    Result,
    command::Command,
    instance::Cluster,
    process::{Process, Signal},
    standin::StandinSpec,
    workload::CallerPool,
};

/// Time limit of one request. It only limits how long a failing scenario takes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// State of a scenario. Dropping the state kills all processes of the scenario.
pub struct ScenarioRunner {
    // Fields are dropped in declaration order: the callers must stop first, and the folder must be removed last.
    pub(super) caller_pool: Option<CallerPool>,
    pub(super) processes: BTreeMap<String, Process>,
    pub(super) cluster: Cluster,
    pub(super) standins: BTreeMap<String, StandinSpec>,
    /// Replicas whose data folder was deleted, as `INSTANCE/STORAGE_ID`.
    pub(super) lost_replicas: BTreeSet<String>,
    /// Number of requests that had ended on each engine at the previous `requests` command.
    pub(super) ended_requests: BTreeMap<String, usize>,
    pub(super) client: Client,
    pub(super) runtime: Runtime,
    pub(super) folder: TempDir,
}

impl goldenscript::Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &goldenscript::Context) -> Result<String> {
        let mut output = self.execute(command)?;
        if !output.is_empty() && !output.ends_with('\n') {
            output.push('\n');
        }
        Ok(output)
    }

    fn end_script(&mut self) -> Result<()> {
        self.caller_pool = None;
        for process in self.processes.values_mut() {
            process.kill()?;
        }
        Ok(())
    }
}

impl Drop for ScenarioRunner {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_logs();
        }
    }
}

impl ScenarioRunner {
    /// Creates the state of a scenario with its own temporary folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder, the runtime or the HTTP client cannot be created.
    pub fn new() -> Result<Self> {
        let folder = TempDir::new()?;
        let runtime = Runtime::new()?;
        let client = {
            let _guard = runtime.enter();
            Client::new(REQUEST_TIMEOUT, false)?
        };
        Ok(Self {
            caller_pool: None,
            processes: BTreeMap::new(),
            cluster: Cluster::new(folder.path()),
            standins: BTreeMap::new(),
            lost_replicas: BTreeSet::new(),
            ended_requests: BTreeMap::new(),
            client,
            runtime,
            folder,
        })
    }

    /// Prints the last lines of the output of each process.
    fn print_logs(&self) {
        for (name, process) in &self.processes {
            eprintln!("--- {name}\n{}", process.log_tail());
        }
    }

    pub(super) fn execute(&mut self, command: &Command) -> Result<String> {
        match command {
            Command::Standin {
                kind,
                name,
                settings,
            } => self.add_standin(*kind, name, settings),
            Command::Voters(voters) => self.add_instances(voters, true),
            Command::Entries(entries) => self.add_instances(entries, false),
            Command::Start(names) => self.for_each(names, Self::start),
            Command::Stop(names) => self.stop(names),
            Command::Terminate(names) => self.signal(names, Signal::Terminate),
            Command::Kill(names) => {
                self.for_each(names, |runner, name| runner.process(name)?.kill())
            }
            Command::Pause(names) => self.signal(names, Signal::Pause),
            Command::Resume(names) => self.signal(names, Signal::Resume),
            Command::Restart(names) => {
                let output = self.stop(names)?;
                self.for_each(names, Self::start)?;
                Ok(output)
            }
            Command::Wipe(names) => self.for_each(names, Self::wipe),
            Command::Partition(names) => self.set_partitioned(names, true),
            Command::Heal(names) => self.set_partitioned(names, false),
            Command::Apply {
                template,
                through,
                base,
            } => self.apply(template, through, *base),
            Command::Race {
                first,
                second,
                through,
                other,
            } => self.race([first, second], [through, other]),
            Command::ApplyAndKillLeader { template, through } => {
                self.apply_and_kill_leader(template, through)
            }
            Command::ApplyMany {
                first,
                second,
                through,
                count,
            } => self.apply_many([first, second], through, *count),
            Command::DrainInstance { through, instance } => {
                self.send_instance_drain(through, "drain", instance)
            }
            Command::UndrainInstance { through, instance } => {
                self.send_instance_drain(through, "undrain", instance)
            }
            Command::CliApply { template, through } => self.cli_apply(template, through),
            Command::Wait { condition, names } => self.wait_for(condition, names),
            Command::Chat { .. } => self.chat(command),
            Command::Call { .. } => self.call(command),
            Command::Load {
                through,
                callers,
                tokens,
                tenant,
            } => self.start_callers(through, *callers, *tokens, tenant.as_deref()),
            Command::Answers(count) => self.wait_answers(*count),
            Command::Summary => self.finish_callers(),
            Command::Crash(names) => self.for_each(names, Self::crash),
            Command::Executions(services) => self.executions(services),
            Command::Orders(engine) => self.orders(engine),
            Command::Requests(engines) => self.requests(engines),
            Command::Order {
                through,
                upstream,
                change,
            } => self.send_order(through, upstream, change),
            Command::Drain { through, upstream } => self.send_drain(through, "drain", upstream),
            Command::Undrain { through, upstream } => self.send_drain(through, "undrain", upstream),
            Command::List {
                platform,
                instances,
            } => self.set_platform_list(platform, instances),
            Command::Status { instance, pointer } => self.status_value(instance, pointer),
        }
    }

    pub(super) fn for_each(
        &mut self,
        names: &[String],
        mut run: impl FnMut(&mut Self, &str) -> Result<()>,
    ) -> Result<String> {
        for name in names {
            run(self, name).map_err(|error| format!("{name}: {error}"))?;
        }
        Ok(String::new())
    }

    pub(super) fn process(&mut self, name: &str) -> Result<&mut Process> {
        let missing = || format!("process {name} was never started");
        Ok(self.processes.get_mut(name).ok_or_else(missing)?)
    }

    pub(super) fn standin(&self, name: &str) -> Result<&StandinSpec> {
        let missing = || format!("there is no stand-in {name}");
        Ok(self.standins.get(name).ok_or_else(missing)?)
    }

    pub(super) fn running_instances(&mut self) -> Result<Vec<String>> {
        let mut running = Vec::new();
        for id in self.cluster.instances.keys() {
            if let Some(process) = self.processes.get_mut(id)
                && process.is_running()?
            {
                running.push(id.clone());
            }
        }
        Ok(running)
    }

    pub(super) fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Exchange {
        let send = self.client.send(method, url, headers, body.to_owned());
        self.runtime.block_on(send)
    }

    /// Returns the URL of a path on the callers' listener of an instance, or on a stand-in.
    pub(super) fn caller_url(&self, name: &str, path: &str) -> Result<String> {
        if let Some(standin) = self.standins.get(name) {
            return Ok(standin.url(path));
        }
        let instance = self.cluster.get(name)?;
        Ok(format!("http://{}{path}", instance.caller_address))
    }

    pub(super) fn admin_url(&self, id: &str, path: &str) -> Result<String> {
        let instance = self.cluster.get(id)?;
        Ok(format!("http://{}{path}", instance.admin_address))
    }
}
