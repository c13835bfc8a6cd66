//! Commands for the administration interface and the platform's list.

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

    pub(super) fn cli_apply(&mut self, template: &str, through: &str) -> Result<String> {
        let folder = self.fill_template(template)?;
        let admin = self.cluster.get(through)?.admin.to_string();
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

    pub(super) fn status(&self, id: &str) -> Result<Value> {
        let url = self.admin_url(id, "/admin/status")?;
        let exchange = self.admin(Method::GET, &url, "");
        match exchange.is_whole_ok() {
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

    pub(super) fn admin(&self, method: Method, url: &str, body: &str) -> Exchange {
        let bearer = format!("Bearer {ADMIN_TOKEN}");
        self.send(method, url, &[("authorization", &bearer)], body)
    }

    pub(super) fn order(
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

    pub(super) fn drain(&mut self, through: &str, action: &str, upstream: &str) -> Result<String> {
        let body = json!({ "upstream": upstream });
        self.change(through, &format!("/admin/{action}"), &body)
    }

    /// Sends a change until a majority has answered, which is safe to resend.
    pub(super) fn change(&self, through: &str, path: &str, body: &Value) -> Result<String> {
        let url = self.admin_url(through, path)?;
        let body = body.to_string();
        wait::until("an answer to a change", || {
            let reply = self.admin(Method::POST, &url, &body).json();
            let outcome = reply["outcome"].as_str().unwrap_or("unavailable");
            Ok((outcome != "unavailable").then(|| outcome.to_owned()))
        })
    }

    pub(super) fn list(&self, platform: &str, instances: &[(String, String)]) -> Result<String> {
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
}
