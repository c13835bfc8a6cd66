//! Runs scenario commands.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

use conf::{
    Name,
    admin::{ApplyReply, ApplyRequest},
    settings::Platform,
};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use standin::{
    client::{Client, Ending, Exchange},
    prompt::{ChatMessage, ChatRequest},
};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use super::{
    Result,
    command::Command,
    instance::{ADMIN_TOKEN, Cluster},
    process::{Process, Signal},
    standin::{Kind, StandinSpec},
    template, wait,
    workload::{Workload, WorkloadSettings},
};

/// Time limit of one request. It only limits how long a failing scenario takes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Folder of the configuration templates.
const TEMPLATE_FOLDER: &str = "tests/scenarios/templates";

/// Tenant of callers that name none. A tenant's API key is its name and `-key`.
const DEFAULT_TENANT: &str = "cooperative";

/// State of one scenario. Dropping it ends all its processes.
pub struct ScenarioRunner {
    // Fields are dropped in this order: callers first, the folder last.
    workload: Option<Workload>,
    processes: BTreeMap<String, Process>,
    cluster: Cluster,
    standins: BTreeMap<String, StandinSpec>,
    /// Replicas whose disk was wiped, as `INSTANCE/STORAGE_ID`.
    lost_replicas: BTreeSet<String>,
    /// Requests that engines had ended at the last look.
    seen_requests: BTreeMap<String, usize>,
    client: Client,
    runtime: Runtime,
    folder: TempDir,
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
        self.workload = None;
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
    /// Creates a scenario with a folder of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder, the runtime or the HTTP client cannot be made.
    pub fn new() -> Result<Self> {
        let folder = TempDir::new()?;
        let runtime = Runtime::new()?;
        let client = {
            let _guard = runtime.enter();
            Client::new(REQUEST_TIMEOUT, false)?
        };
        Ok(Self {
            workload: None,
            processes: BTreeMap::new(),
            cluster: Cluster::new(folder.path()),
            standins: BTreeMap::new(),
            lost_replicas: BTreeSet::new(),
            seen_requests: BTreeMap::new(),
            client,
            runtime,
            folder,
        })
    }

    /// Prints the end of every process's output.
    pub fn print_logs(&self) {
        for (name, process) in &self.processes {
            eprintln!("--- {name}\n{}", process.log_tail());
        }
    }

    fn execute(&mut self, command: &Command) -> Result<String> {
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
            Command::Freeze(names) => self.signal(names, Signal::Stop),
            Command::Thaw(names) => self.signal(names, Signal::Continue),
            Command::Restart(names) => {
                let output = self.stop(names)?;
                self.for_each(names, Self::start)?;
                Ok(output)
            }
            Command::Wipe(names) => self.for_each(names, Self::wipe),
            Command::Cut(names) => self.set_cut(names, true),
            Command::Heal(names) => self.set_cut(names, false),
            Command::Apply {
                template,
                through,
                base,
            } => self.apply(template, through, *base),
            Command::Wait { condition, names } => self.wait(condition, names),
            Command::Chat { .. } => self.chat(command),
            Command::Call { .. } => self.call(command),
            Command::Load {
                through,
                callers,
                tokens,
                tenant,
            } => self.load(through, *callers, *tokens, tenant.as_deref()),
            Command::Answers(count) => self.wait_answers(*count),
            Command::Summary => self.summary(),
            Command::Crash(names) => self.for_each(names, Self::crash),
            Command::Executions(services) => self.executions(services),
            Command::Orders(engine) => self.orders(engine),
            Command::Requests(engines) => self.requests(engines),
            Command::Order {
                through,
                upstream,
                change,
            } => self.order(through, upstream, change),
            Command::Drain { through, upstream } => self.drain(through, "drain", upstream),
            Command::Undrain { through, upstream } => self.drain(through, "undrain", upstream),
            Command::List {
                platform,
                instances,
            } => self.list(platform, instances),
            Command::Status { instance, pointer } => self.status_value(instance, pointer),
        }
    }

    fn for_each(
        &mut self,
        names: &[String],
        mut run: impl FnMut(&mut Self, &str) -> Result<()>,
    ) -> Result<String> {
        for name in names {
            run(self, name).map_err(|error| format!("{name}: {error}"))?;
        }
        Ok(String::new())
    }

    // Processes.

    fn add_standin(
        &mut self,
        kind: Kind,
        name: &str,
        settings: &[(String, String)],
    ) -> Result<String> {
        let standin = StandinSpec::create(self.folder.path(), name, kind, settings)?;
        self.standins.insert(name.to_owned(), standin);
        self.start(name)?;
        Ok(String::new())
    }

    fn add_instances(&mut self, instances: &[(String, String)], is_voter: bool) -> Result<String> {
        for (id, zone) in instances {
            self.cluster.add(id, zone, is_voter)?;
        }
        Ok(String::new())
    }

    fn start(&mut self, name: &str) -> Result<()> {
        if let Some(process) = self.processes.get_mut(name)
            && process.is_running()?
        {
            return Err("runs already".into());
        }
        let log_file = self.folder.path().join(format!("{name}.log"));
        let process = match self.standins.get(name) {
            Some(standin) => start_standin(standin, &log_file)?,
            None => self.start_instance(name, &log_file)?,
        };
        self.processes.insert(name.to_owned(), process);
        self.wait_listening(name)
    }

    fn start_instance(&mut self, id: &str, log_file: &Path) -> Result<Process> {
        let platform = self.platform_settings();
        self.cluster
            .write_settings(self.runtime.handle(), id, &platform)?;
        let folder = self.cluster.settings_folder(id);
        Process::start(&["serve", path_text(&folder)?], log_file)
    }

    /// Waits until the process answers, or fails if it has ended.
    fn wait_listening(&mut self, name: &str) -> Result<()> {
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

    fn stop(&mut self, names: &[String]) -> Result<String> {
        self.signal(names, Signal::Terminate)?;
        let mut output = String::new();
        for name in names {
            let status = self.process(name)?.wait_exit()?;
            writeln!(output, "{name}: {status}")?;
        }
        Ok(output)
    }

    fn signal(&mut self, names: &[String], signal: Signal) -> Result<String> {
        self.for_each(names, |runner, name| runner.process(name)?.signal(signal))
    }

    fn wipe(&mut self, name: &str) -> Result<()> {
        if self.process(name)?.is_running()? {
            return Err("still runs".into());
        }
        let replica = wait::until("a voter that knows the replica", || self.replica_of(name))?;
        self.lost_replicas.insert(replica);
        Ok(fs::remove_dir_all(self.cluster.data_folder(name))?)
    }

    /// The replica of an instance, as the running voters know it.
    fn replica_of(&mut self, id: &str) -> Result<Option<String>> {
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

    fn running_instances(&mut self) -> Result<Vec<String>> {
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

    fn crash(&mut self, name: &str) -> Result<()> {
        let url = self.standin(name)?.url("/debug/crash");
        self.send(Method::POST, &url, &[], "");
        self.process(name)?.wait_exit()?;
        Ok(())
    }

    fn set_cut(&mut self, names: &[String], is_cut: bool) -> Result<String> {
        let Some((first, others)) = names.split_first() else {
            return Err("no instance named".into());
        };
        for other in others {
            self.cluster.set_cut(first, other, is_cut)?;
        }
        Ok(String::new())
    }

    fn process(&mut self, name: &str) -> Result<&mut Process> {
        let missing = || format!("{name} was never started");
        Ok(self.processes.get_mut(name).ok_or_else(missing)?)
    }

    fn standin(&self, name: &str) -> Result<&StandinSpec> {
        let missing = || format!("no stand-in {name}");
        Ok(self.standins.get(name).ok_or_else(missing)?)
    }

    fn platform_settings(&self) -> Platform {
        let platform = self
            .standins
            .values()
            .find(|standin| standin.kind == Kind::Platform);
        let url = |path| platform.map_or_else(String::new, |platform| platform.url(path));
        Platform {
            list_url: Name::from(url("/instances")),
            weight_store_url: Name::from(url("")),
        }
    }

    // Administration.

    fn apply(&mut self, template: &str, through: &str, base: Option<u64>) -> Result<String> {
        let base_revision = match base {
            Some(base) => base,
            None => self.revision(through)?,
        };
        let folder = self.fill_template(template)?;
        let loaded = conf::load::service(&folder)?;
        let canonical = loaded.value.canonical_text();
        let request = ApplyRequest {
            base_revision,
            content_id: conf::canonical::content_id(&canonical),
            canonical: Name::from(canonical),
            files: loaded.files,
            author: Name::from_static_str("scenario"),
        };
        let body = serde_json::to_string(&request)?;
        let url = self.admin_url(through, "/admin/apply")?;
        // No majority may be known yet. A resend is safe, because the content id names the change.
        let reply = wait::until("an answer to apply", || {
            let exchange = self.admin(Method::POST, &url, &body);
            let reply = serde_json::from_str::<ApplyReply>(&exchange.text);
            Ok(reply
                .ok()
                .filter(|reply| !matches!(reply, ApplyReply::Unavailable { .. })))
        })?;
        Ok(match reply {
            ApplyReply::Accepted { revision } => format!("accepted as revision {revision}"),
            ApplyReply::Conflict {
                current_revision, ..
            } => format!("conflict with revision {current_revision}"),
            ApplyReply::Invalid { errors } => format!("invalid: {errors:?}"),
            ApplyReply::Unavailable { .. } => "unavailable".to_owned(),
        })
    }

    fn fill_template(&self, template: &str) -> Result<PathBuf> {
        let addresses = self
            .standins
            .iter()
            .map(|(name, standin)| (name.clone(), standin.address.to_string()))
            .collect();
        let folder = self.folder.path().join("configuration").join(template);
        template::fill(
            &Path::new(TEMPLATE_FOLDER).join(template),
            &folder,
            &addresses,
        )?;
        Ok(folder)
    }

    fn status(&self, id: &str) -> Result<Value> {
        let url = self.admin_url(id, "/admin/status")?;
        let exchange = self.admin(Method::GET, &url, "");
        match exchange.is_whole_ok() {
            true => Ok(exchange.json()),
            false => Ok(Value::Null),
        }
    }

    fn status_value(&self, id: &str, pointer: &str) -> Result<String> {
        let status = self.status(id)?;
        let missing = || format!("the status has no {pointer}");
        Ok(status.pointer(pointer).ok_or_else(missing)?.to_string())
    }

    fn revision(&self, id: &str) -> Result<u64> {
        wait::until("a status", || Ok(self.status(id)?["revision"].as_u64()))
    }

    fn admin(&self, method: Method, url: &str, body: &str) -> Exchange {
        let bearer = format!("Bearer {ADMIN_TOKEN}");
        self.send(method, url, &[("authorization", &bearer)], body)
    }

    fn order(
        &mut self,
        through: &str,
        upstream: &str,
        change: &[(String, String)],
    ) -> Result<String> {
        let mut body = json!({ "upstream": upstream });
        for (field, value) in change {
            body[field] = json!(value);
        }
        self.change(through, "/admin/order", &body)
    }

    fn drain(&mut self, through: &str, action: &str, upstream: &str) -> Result<String> {
        let body = json!({ "upstream": upstream });
        self.change(through, &format!("/admin/{action}"), &body)
    }

    /// Sends a change until a majority has answered, which is safe to resend.
    fn change(&self, through: &str, path: &str, body: &Value) -> Result<String> {
        let url = self.admin_url(through, path)?;
        let body = body.to_string();
        wait::until("an answer to a change", || {
            let reply = self.admin(Method::POST, &url, &body).json();
            let outcome = reply["outcome"].as_str().unwrap_or("unavailable");
            Ok((outcome != "unavailable").then(|| outcome.to_owned()))
        })
    }

    fn list(&self, platform: &str, instances: &[(String, String)]) -> Result<String> {
        let entries: Vec<Value> = instances
            .iter()
            .map(|(id, state)| json!({ "id": id, "state": state }))
            .collect();
        let url = self.standin(platform)?.url("/debug/instances");
        let body = json!({ "instances": entries }).to_string();
        let exchange = self.send(Method::PUT, &url, &[], &body);
        match exchange.is_whole_ok() {
            true => Ok(String::new()),
            false => Err(format!("the platform answered {:?}", exchange.status).into()),
        }
    }

    // Waits.

    fn wait(&mut self, condition: &str, names: &[String]) -> Result<String> {
        match condition {
            "ready" => self.for_each(names, |runner, name| runner.wait_ready(name, true)),
            "not_ready" => self.for_each(names, |runner, name| runner.wait_ready(name, false)),
            "in_force" => self.wait_in_force(names),
            "voters" => self.for_each(names, Self::wait_voters),
            "changed" => self.for_each(names, Self::wait_changed),
            "drained" => self.for_each(names, Self::wait_drained),
            "idle" => self.for_each(names, Self::wait_idle),
            "exit" => self.wait_exit(names),
            other => Err(format!("no condition {other}").into()),
        }
    }

    fn wait_ready(&mut self, id: &str, ready: bool) -> Result<()> {
        let url = self.caller_url(id, "/readyz")?;
        wait::until("readiness", || {
            let probe = self.send(Method::GET, &url, &[], "");
            Ok((probe.is_whole_ok() == ready).then_some(()))
        })
    }

    /// Waits until all named instances have the newest revision in force, and say that every live
    /// instance has.
    fn wait_in_force(&mut self, names: &[String]) -> Result<String> {
        let revision = wait::until("the revision in force", || {
            let mut revisions = Vec::new();
            for name in names {
                let status = self.status(name)?;
                let live = status["live_instances"].as_u64();
                if live.is_none() || status["instances_in_force"].as_u64() != live {
                    return Ok(None);
                }
                revisions.push(status["revision"].as_u64());
            }
            revisions.dedup();
            Ok(match revisions[..] {
                [Some(revision)] if revision > 0 => Some(revision),
                _ => None,
            })
        })?;
        Ok(format!("revision {revision}"))
    }

    /// Waits until the instance counts every voter of the scenario, no learner and no replica
    /// whose disk was wiped.
    fn wait_voters(&mut self, id: &str) -> Result<()> {
        let instances = self.cluster.instances.values();
        let expected = instances.filter(|instance| instance.is_voter).count();
        wait::until("all voters", || {
            let status = self.status(id)?;
            let count = |field: &str| status[field].as_array().map(Vec::len);
            let voters = status["voters"].as_array().cloned().unwrap_or_default();
            let is_lost = |name: &str| self.lost_replicas.contains(name);
            let has_lost = voters.iter().filter_map(Value::as_str).any(is_lost);
            let is_complete = count("voters") == Some(expected) && count("learners") == Some(0);
            Ok((is_complete && !has_lost).then_some(()))
        })
    }

    fn wait_changed(&mut self, engine: &str) -> Result<()> {
        wait::until("the order to be carried out", || {
            let state = self.debug(engine, "/order")?;
            let is_done = state["sequence"] != 0
                && state["changing_to"].is_null()
                && state["loading"].is_null();
            Ok(is_done.then_some(()))
        })
    }

    fn wait_drained(&mut self, upstream: &str) -> Result<()> {
        wait::until("the upstream to be drained", || {
            for instance in self.running_instances()? {
                let status = self.status(&instance)?;
                let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
                let is_draining =
                    |entry: &Value| entry["name"] == upstream && entry["draining"] == true;
                if !upstreams.iter().any(is_draining) {
                    return Ok(None);
                }
            }
            let load = self.debug(upstream, "/load")?;
            Ok((load["running"] == 0 && load["waiting"] == 0).then_some(()))
        })
    }

    fn wait_idle(&mut self, id: &str) -> Result<()> {
        wait::until("the end of open exchanges", || {
            Ok((self.status(id)?["open_exchanges"] == 0).then_some(()))
        })
    }

    fn wait_exit(&mut self, names: &[String]) -> Result<String> {
        let mut output = String::new();
        for name in names {
            let status = self.process(name)?.wait_exit()?;
            writeln!(output, "{name}: {status}")?;
        }
        Ok(output)
    }

    // Callers.

    fn chat(&mut self, command: &Command) -> Result<String> {
        let Command::Chat {
            through,
            prompt,
            stream,
            tokens,
            tenant,
            rank,
            model,
        } = command
        else {
            return Err("not a chat command".into());
        };
        let message = ChatMessage {
            role: "user".into(),
            content: Name::from(prompt.clone()),
        };
        let request = ChatRequest {
            model: Name::from(model.clone().unwrap_or_else(|| "assistant".to_owned())),
            messages: vec![message],
            stream: *stream,
            max_tokens: *tokens,
            ..ChatRequest::default()
        };
        let bearer = bearer(tenant.as_deref());
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(rank.as_deref().map(|rank| ("x-mustardstack-rank", rank)));
        let base_url = self.caller_url(through, "")?;
        let chat = self.client.chat(&base_url, &headers, &request);
        let exchange = self.runtime.block_on(chat);
        Ok(describe_chat(&exchange, &request))
    }

    fn call(&mut self, command: &Command) -> Result<String> {
        let Command::Call {
            through,
            method,
            path,
            body,
            key,
            tenant,
            retry,
        } = command
        else {
            return Err("not a call command".into());
        };
        let bearer = bearer(tenant.as_deref());
        let mut headers = vec![("authorization", bearer.as_str())];
        headers.extend(key.as_deref().map(|key| ("idempotency-key", key)));
        let url = self.caller_url(through, path)?;
        let method = Method::try_from(method.as_str())?;
        let body = body.as_deref().unwrap_or_default();
        let exchange = wait::until("an answer that is not a refusal", || {
            let exchange = self.send(method.clone(), &url, &headers, body);
            let is_not_run = exchange.run().as_deref() == Some("not_run");
            Ok((!retry || !is_not_run).then_some(exchange))
        })?;
        Ok(describe_call(&exchange))
    }

    fn load(
        &mut self,
        through: &[String],
        callers: usize,
        tokens: u32,
        tenant: Option<&str>,
    ) -> Result<String> {
        if self.workload.is_some() {
            return Err("callers run already".into());
        }
        let mut instances = BTreeMap::new();
        for id in through {
            instances.insert(id.clone(), self.cluster.get(id)?.caller);
        }
        let settings = WorkloadSettings {
            instances,
            callers,
            tokens,
            key: api_key(tenant),
        };
        let client = self.client.clone();
        self.workload = Some(Workload::start(self.runtime.handle(), client, settings));
        Ok(String::new())
    }

    fn wait_answers(&mut self, count: usize) -> Result<String> {
        let workload = self.workload.as_ref().ok_or("no callers run")?;
        let goal = workload.answers() + u64::try_from(count)?;
        wait::until("answers", || Ok((workload.answers() >= goal).then_some(())))?;
        Ok(String::new())
    }

    fn summary(&mut self) -> Result<String> {
        let workload = self.workload.take().ok_or("no callers run")?;
        Ok(workload.finish().to_string())
    }

    // Stand-ins.

    fn executions(&self, services: &[String]) -> Result<String> {
        let mut sums = BTreeMap::<String, u64>::new();
        for name in services {
            let counts = self.debug(name, "/debug/executions")?;
            for (key, count) in counts.as_object().into_iter().flatten() {
                *sums.entry(key.clone()).or_default() += count.as_u64().unwrap_or_default();
            }
        }
        let mut output = String::new();
        for (key, count) in sums {
            writeln!(output, "{key}: {count}")?;
        }
        Ok(output)
    }

    fn requests(&mut self, engines: &[String]) -> Result<String> {
        let mut output = String::new();
        for engine in engines {
            let requests = self.debug(engine, "/debug/requests")?;
            let ended = requests.as_array().map_or(0, Vec::len);
            let seen = self.seen_requests.insert(engine.clone(), ended);
            let new = match ended > seen.unwrap_or_default() {
                true => "some",
                false => "none",
            };
            writeln!(output, "{engine}: {new}")?;
        }
        Ok(output)
    }

    fn orders(&self, engine: &str) -> Result<String> {
        let records = self.debug(engine, "/debug/orders")?;
        let mut output = String::new();
        for record in records.as_array().into_iter().flatten() {
            let outcome = record["outcome"].as_str().unwrap_or_default();
            write!(output, "{outcome}")?;
            for field in ["role", "load", "unload"] {
                if let Some(value) = record["order"][field].as_str() {
                    write!(output, " {field}={value}")?;
                }
            }
            writeln!(output)?;
        }
        Ok(output)
    }

    fn debug(&self, standin: &str, path: &str) -> Result<Value> {
        let url = self.standin(standin)?.url(path);
        let exchange = self.send(Method::GET, &url, &[], "");
        match exchange.is_whole_ok() {
            true => Ok(exchange.json()),
            false => Err(format!("{standin} does not answer").into()),
        }
    }

    fn send(&self, method: Method, url: &str, headers: &[(&str, &str)], body: &str) -> Exchange {
        let send = self.client.send(method, url, headers, body.to_owned());
        self.runtime.block_on(send)
    }

    /// URL on the callers' listener of an instance, or on a stand-in.
    fn caller_url(&self, name: &str, path: &str) -> Result<String> {
        if let Some(standin) = self.standins.get(name) {
            return Ok(standin.url(path));
        }
        let instance = self.cluster.get(name)?;
        Ok(format!("http://{}{path}", instance.caller))
    }

    fn admin_url(&self, id: &str, path: &str) -> Result<String> {
        let instance = self.cluster.get(id)?;
        Ok(format!("http://{}{path}", instance.admin))
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

fn path_text(path: &Path) -> Result<&str> {
    Ok(path.to_str().ok_or("path is not UTF-8")?)
}

fn api_key(tenant: Option<&str>) -> String {
    format!("{}-key", tenant.unwrap_or(DEFAULT_TENANT))
}

fn bearer(tenant: Option<&str>) -> String {
    format!("Bearer {}", api_key(tenant))
}

fn describe_chat(exchange: &Exchange, request: &ChatRequest) -> String {
    if exchange.ending != Ending::Whole || exchange.status != Some(StatusCode::OK) {
        return describe_failure(exchange);
    }
    let text = match request.stream {
        true => Some(exchange.text.clone()),
        false => exchange.completion_text(),
    };
    match text == Some(request.answer()) {
        true => "200 whole".to_owned(),
        false => "200 wrong".to_owned(),
    }
}

fn describe_call(exchange: &Exchange) -> String {
    if exchange.ending != Ending::Whole || exchange.status != Some(StatusCode::OK) {
        return describe_failure(exchange);
    }
    match exchange.json()["executions"].as_u64() {
        Some(executions) => format!("200 executions={executions}"),
        None => "200 without executions".to_owned(),
    }
}

fn describe_failure(exchange: &Exchange) -> String {
    match (&exchange.ending, exchange.status) {
        (Ending::Whole, Some(status)) => match exchange.run() {
            Some(run) => format!("{} run={run}", status.as_u16()),
            None => status.as_u16().to_string(),
        },
        (Ending::Cut, _) => "cut".to_owned(),
        (Ending::TimedOut, _) => "timed out".to_owned(),
        (Ending::NotConnected, _) => "not connected".to_owned(),
        _ => "no response".to_owned(),
    }
}
