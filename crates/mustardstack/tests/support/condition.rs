//! The conditions of the `wait` command.

use std::fmt::Write;

use http::Method;
use serde_json::Value;

use super::{Result, runner::ScenarioRunner, wait};

impl ScenarioRunner {
    pub(super) fn wait_for(&mut self, condition: &str, names: &[String]) -> Result<String> {
        match condition {
            "ready" => self.for_each(names, |runner, name| runner.wait_ready(name, true)),
            "not_ready" => self.for_each(names, |runner, name| runner.wait_ready(name, false)),
            "in_force" => self.wait_in_force(names),
            "voters" => self.for_each(names, Self::wait_voters),
            "changed" => self.for_each(names, Self::wait_changed),
            "received" => self.for_each(names, Self::wait_received),
            "executed" => self.for_each(names, Self::wait_executed),
            "drained" => self.for_each(names, Self::wait_drained),
            "undrained" => self.for_each(names, |runner, name| runner.wait_draining(name, false)),
            "granted" => self.for_each(names, Self::wait_granted),
            "idle" => self.for_each(names, Self::wait_idle),
            "exit" => self.wait_exit(names),
            other => Err(format!("there is no condition {other}").into()),
        }
    }

    pub(super) fn wait_ready(&mut self, id: &str, ready: bool) -> Result<()> {
        let url = self.caller_url(id, "/readyz")?;
        wait::until("readiness", || {
            let probe = self.send(Method::GET, &url, &[], "");
            Ok((probe.is_complete_ok() == ready).then_some(()))
        })
    }

    /// Waits until the same revision is in force on all named instances, and each of them reports that every live
    /// instance has the revision in force.
    pub(super) fn wait_in_force(&mut self, names: &[String]) -> Result<String> {
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

    /// Waits until the status of the instance shows every voter of the scenario, no learner and no replica whose data
    /// folder was deleted.
    pub(super) fn wait_voters(&mut self, id: &str) -> Result<()> {
        let instances = self.cluster.instances.values();
        let expected = instances.filter(|instance| instance.is_voter).count();
        wait::until("all voters", || {
            let status = self.status(id)?;
            let count = |field: &str| status[field].as_array().map(Vec::len);
            let voters = status["voters"].as_array().cloned().unwrap_or_default();
            let is_lost = |name: &str| self.lost_replicas.contains(name);
            let has_lost_replica = voters.iter().filter_map(Value::as_str).any(is_lost);
            let is_complete = count("voters") == Some(expected) && count("learners") == Some(0);
            Ok((is_complete && !has_lost_replica).then_some(()))
        })
    }

    pub(super) fn wait_changed(&mut self, engine: &str) -> Result<()> {
        wait::until("the order to be carried out", || {
            let state = self.read_standin(engine, "/order")?;
            let is_done = state["sequence"] != 0
                && state["changing_to"].is_null()
                && state["loading"].is_null();
            Ok(is_done.then_some(()))
        })
    }

    fn wait_received(&mut self, engine: &str) -> Result<()> {
        wait::until("the order to be received", || {
            let state = self.read_standin(engine, "/order")?;
            Ok((state["sequence"] != 0).then_some(()))
        })
    }

    fn wait_executed(&mut self, service: &str) -> Result<()> {
        wait::until("the execution of a call", || {
            let counts = self.read_standin(service, "/debug/executions")?;
            let has_run = counts.as_object().is_some_and(|counts| !counts.is_empty());
            Ok(has_run.then_some(()))
        })
    }

    pub(super) fn wait_drained(&mut self, upstream: &str) -> Result<()> {
        self.wait_draining(upstream, true)?;
        // A request that an instance has sent to the upstream before the drain may reach it later.
        if let Some(caller_pool) = &self.caller_pool {
            caller_pool.wait_for_open_requests()?;
        }
        wait::until("the upstream to be drained", || {
            let load = self.read_standin(upstream, "/load")?;
            Ok((load["running"] == 0 && load["waiting"] == 0).then_some(()))
        })
    }

    /// Waits until the status of every running instance shows the upstream as draining or not draining.
    fn wait_draining(&mut self, upstream: &str, draining: bool) -> Result<()> {
        wait::until("the drain state of the upstream on all instances", || {
            for instance in self.running_instances()? {
                let status = self.status(&instance)?;
                let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
                let is_in_state =
                    |entry: &Value| entry["name"] == upstream && entry["draining"] == draining;
                if !upstreams.iter().any(is_in_state) {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
    }

    /// Waits until the status of every running instance shows a holder of the engine's order gate.
    fn wait_granted(&mut self, upstream: &str) -> Result<()> {
        wait::until("the holder of the order gate on all instances", || {
            for instance in self.running_instances()? {
                let status = self.status(&instance)?;
                let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
                let has_holder =
                    |entry: &Value| entry["name"] == upstream && !entry["gate"].is_null();
                if !upstreams.iter().any(has_holder) {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
    }

    pub(super) fn wait_idle(&mut self, id: &str) -> Result<()> {
        wait::until("the end of open exchanges", || {
            Ok((self.status(id)?["open_exchanges"] == 0).then_some(()))
        })
    }

    pub(super) fn wait_exit(&mut self, names: &[String]) -> Result<String> {
        let mut output = String::new();
        for name in names {
            let status = self.process(name)?.wait_exit()?;
            writeln!(output, "{name}: {status}")?;
        }
        Ok(output)
    }
}
