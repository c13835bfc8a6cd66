//! Commands that print the requests, orders and executions that stand-ins have recorded.

use std::{collections::BTreeMap, fmt::Write};

use http::Method;
use serde_json::Value;

use super::{Result, runner::ScenarioRunner};

impl ScenarioRunner {
    pub(super) fn executions(&self, services: &[String]) -> Result<String> {
        let mut sums = BTreeMap::<String, u64>::new();
        for name in services {
            let counts = self.read_standin(name, "/debug/executions")?;
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

    pub(super) fn requests(&mut self, engines: &[String]) -> Result<String> {
        let mut output = String::new();
        for engine in engines {
            let requests = self.read_standin(engine, "/debug/requests")?;
            let ended = requests.as_array().map_or(0, Vec::len);
            let previous = self.ended_requests.insert(engine.clone(), ended);
            let change = match ended > previous.unwrap_or_default() {
                true => "some",
                false => "none",
            };
            writeln!(output, "{engine}: {change}")?;
        }
        Ok(output)
    }

    pub(super) fn orders(&self, engine: &str) -> Result<String> {
        let records = self.read_standin(engine, "/debug/orders")?;
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

    pub(super) fn read_standin(&self, standin: &str, path: &str) -> Result<Value> {
        let url = self.standin(standin)?.url(path);
        let exchange = self.send(Method::GET, &url, &[], "");
        match exchange.is_complete_ok() {
            true => Ok(exchange.json()),
            false => Err(format!("stand-in {standin} does not answer").into()),
        }
    }
}
