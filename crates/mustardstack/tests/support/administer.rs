//! Commands that use the administration interface, and the command that sets the platform's list.

use std::path::{Path, PathBuf};

use conf::{
    Name,
    admin::{ApplyReply, ApplyRequest},
};
use http::Method;
use serde_json::{Value, json};
use standin::client::Exchange;

use super::{
    Result, instance::ADMIN_TOKEN, lifecycle::path_text, process::Process, runner::ScenarioRunner,
    template, wait,
};

/// Folder of the configuration templates.
const TEMPLATE_FOLDER: &str = "tests/scenarios/templates";

impl ScenarioRunner {
    pub(super) fn apply(
        &mut self,
        template: &str,
        through: &str,
        base: Option<u64>,
    ) -> Result<String> {
        let base_revision = match base {
            Some(base) => base,
            None => self.revision(through)?,
        };
        let body = self.apply_body(template, base_revision)?;
        self.submit(through, &body)
    }

    /// Applies two templates with the same base at the same time, through two instances.
    pub(super) fn race(&mut self, templates: [&str; 2], through: [&str; 2]) -> Result<String> {
        let base_revision = self.revision(through[0])?;
        let mut outcomes = Vec::new();
        std::thread::scope(|scope| -> Result<()> {
            let runner = &*self;
            let mut operators = Vec::new();
            for (template, through) in templates.into_iter().zip(through) {
                let body = runner.apply_body(template, base_revision)?;
                let submit = move || runner.submit(through, &body).map_err(|e| e.to_string());
                operators.push(scope.spawn(submit));
            }
            for operator in operators {
                let outcome = operator.join().map_err(|_| "an operator panicked")?;
                outcomes.push(outcome?);
            }
            Ok(())
        })?;
        outcomes.sort();
        Ok(outcomes.join("\n"))
    }

    /// Applies a template, kills the leader while the request is in flight and starts the leader again.
    pub(super) fn apply_and_kill_leader(
        &mut self,
        template: &str,
        through: &str,
    ) -> Result<String> {
        let leader = wait::until("a leader", || {
            let status = self.status(through)?;
            Ok(status["leader"].as_str().map(str::to_owned))
        })?;
        let base_revision = self.revision(through)?;
        let body = self.apply_body(template, base_revision)?;
        let url = self.admin_url(through, "/admin/apply")?;
        let bearer = format!("Bearer {ADMIN_TOKEN}");
        self.send_in_background(Method::POST, url, &[("authorization", &bearer)], &body);
        self.process(&leader)?.kill()?;
        // The answer to the first request may be lost with the killed leader. The resend has the same content id.
        let outcome = self.submit(through, &body)?;
        self.start(&leader)?;
        Ok(outcome)
    }

    /// Applies two templates alternately, `count` times in total.
    pub(super) fn apply_many(
        &mut self,
        templates: [&str; 2],
        through: &str,
        count: u64,
    ) -> Result<String> {
        let first = self.revision(through)?;
        let mut outcome = String::new();
        for change in 0..count {
            let template = templates[(change % 2) as usize];
            let body = self.apply_body(template, first + change)?;
            outcome = self.submit(through, &body)?;
        }
        Ok(outcome)
    }

    fn apply_body(&self, template: &str, base_revision: u64) -> Result<String> {
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
        Ok(serde_json::to_string(&request)?)
    }

    fn submit(&self, through: &str, body: &str) -> Result<String> {
        let url = self.admin_url(through, "/admin/apply")?;
        // There may be no majority yet. A resend is safe, because the content id identifies the change.
        let reply = wait::until("an answer to apply", || {
            let exchange = self.send_admin(Method::POST, &url, body);
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

    /// Applies a template with the `apply` subcommand and returns its exit status.
    pub(super) fn cli_apply(&mut self, template: &str, through: &str) -> Result<String> {
        let folder = self.fill_template(template)?;
        let admin = self.cluster.get(through)?.admin_address.to_string();
        let token_file = self.cluster.token_file();
        let arguments = [
            "apply",
            path_text(&folder)?,
            "--admin",
            &admin,
            "--token-file",
            path_text(&token_file)?,
            "--author",
            "scenario",
            "--yes",
        ];
        let name = format!("apply {template}");
        let log_file = self.folder.path().join(format!("{name}.log"));
        let mut process = Process::start(&arguments, &log_file)?;
        let status = process.wait_exit()?;
        self.processes.insert(name, process);
        Ok(status.to_string())
    }

    /// Fills a configuration template with the addresses of the stand-ins and returns its folder.
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

    /// Returns the status of an instance, or null if the instance does not answer.
    pub(super) fn status(&self, id: &str) -> Result<Value> {
        let url = self.admin_url(id, "/admin/status")?;
        let exchange = self.send_admin(Method::GET, &url, "");
        match exchange.is_complete_ok() {
            true => Ok(exchange.json()),
            false => Ok(Value::Null),
        }
    }

    pub(super) fn status_value(&self, id: &str, pointer: &str) -> Result<String> {
        let status = self.status(id)?;
        let missing = || format!("the status has no {pointer}");
        Ok(status.pointer(pointer).ok_or_else(missing)?.to_string())
    }

    pub(super) fn revision(&self, id: &str) -> Result<u64> {
        wait::until("a status", || Ok(self.status(id)?["revision"].as_u64()))
    }

    pub(super) fn send_admin(&self, method: Method, url: &str, body: &str) -> Exchange {
        let bearer = format!("Bearer {ADMIN_TOKEN}");
        self.send(method, url, &[("authorization", &bearer)], body)
    }

    pub(super) fn send_order(
        &mut self,
        through: &str,
        upstream: &str,
        change: &[(String, String)],
    ) -> Result<String> {
        let mut body = json!({ "upstream": upstream });
        for (field, value) in change {
            body[field] = json!(value);
        }
        self.send_change(through, "/admin/order", &body)
    }

    pub(super) fn send_drain(
        &mut self,
        through: &str,
        action: &str,
        upstream: &str,
    ) -> Result<String> {
        let body = json!({ "upstream": upstream });
        self.send_change(through, &format!("/admin/{action}"), &body)
    }

    pub(super) fn send_instance_drain(
        &mut self,
        through: &str,
        action: &str,
        instance: &str,
    ) -> Result<String> {
        let body = json!({ "instance": instance });
        self.send_change(through, &format!("/admin/{action}"), &body)
    }

    /// Sends a change until the answer is not `unavailable`. A change is safe to resend.
    pub(super) fn send_change(&self, through: &str, path: &str, body: &Value) -> Result<String> {
        let url = self.admin_url(through, path)?;
        let body = body.to_string();
        wait::until("an answer to a change", || {
            let reply = self.send_admin(Method::POST, &url, &body).json();
            let outcome = reply["outcome"].as_str().unwrap_or("unavailable");
            Ok((outcome != "unavailable").then(|| outcome.to_owned()))
        })
    }

    pub(super) fn set_platform_list(
        &self,
        platform: &str,
        instances: &[(String, String)],
    ) -> Result<String> {
        let entries: Vec<Value> = instances
            .iter()
            .map(|(id, state)| json!({ "id": id, "state": state }))
            .collect();
        let url = self.standin(platform)?.url("/debug/instances");
        let body = json!({ "instances": entries }).to_string();
        let exchange = self.send(Method::PUT, &url, &[], &body);
        match exchange.is_complete_ok() {
            true => Ok(String::new()),
            false => Err(format!("the platform answered {:?}", exchange.status).into()),
        }
    }
}
