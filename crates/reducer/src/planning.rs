//! Planning of engine roles by the leader, based on the demand that instances report.

use std::collections::BTreeMap;

use conf::settings::Planning;
use conf::{Map, Name, ServiceConfig, ServiceKind};
use fleet::{Command, InstanceReport, OrderChange};
use plan::roles::{Planner, PlannerConfig, PlannerMode};
use plan::{Demand, Engine};

use crate::event::LoadReport;

/// Length of the window over which demand is summed, in milliseconds.
const WINDOW_MS: u64 = 5_000;

/// Time for which an engine is unavailable during a role change, in milliseconds.
const ROLE_CHANGE_MS: u64 = 3_000;

/// The leader's role planner and the demand reported to it.
#[derive(Clone, Debug)]
pub(crate) struct RolePlanning {
    planner: Planner,
    window_start_ms: u64,
    /// Prompt and output tokens in the latest report, by instance, incarnation and service.
    totals: BTreeMap<(Name, u64, Name), (u64, u64)>,
    /// Prompt and output tokens requested in the current window, by service.
    window: Map<Name, (u64, u64)>,
}

impl RolePlanning {
    pub fn new(now_ms: u64, planning: Planning) -> Self {
        let mode = match planning {
            Planning::Hysteresis => PlannerMode::Hysteresis,
            Planning::NoHysteresis => PlannerMode::NoHysteresis,
            Planning::Static => PlannerMode::Static,
        };
        Self {
            planner: Planner::new(PlannerConfig {
                mode,
                ..PlannerConfig::default()
            }),
            window_start_ms: now_ms,
            totals: BTreeMap::new(),
            window: Map::default(),
        }
    }

    /// Adds the tokens requested from an instance since its previous report.
    pub fn on_report(&mut self, report: &InstanceReport) {
        for demand in &report.demand {
            let key = (
                report.info.id.clone(),
                report.info.incarnation,
                demand.service.clone(),
            );
            let total = (demand.prompt_tokens, demand.output_tokens);
            // The first report to this leader only sets the baseline.
            let previous = self.totals.insert(key, total).unwrap_or(total);
            let window = self.window.entry(demand.service.clone()).or_default();
            window.0 += total.0.saturating_sub(previous.0);
            window.1 += total.1.saturating_sub(previous.1);
        }
    }

    /// Returns the role-change orders that the planner decides on at the end of each window, with their services.
    pub fn due_orders(
        &mut self,
        now_ms: u64,
        config: &ServiceConfig,
        loads: &Map<Name, LoadReport>,
        draining: &[Name],
    ) -> Vec<(Name, Command)> {
        let window_ms = now_ms.saturating_sub(self.window_start_ms);
        if window_ms < WINDOW_MS {
            return Vec::new();
        }
        self.window_start_ms = now_ms;
        let window = std::mem::take(&mut self.window);
        self.planner
            .retain(|name| config.services.iter().any(|s| s.name == *name));
        let mut orders = Vec::new();
        for service in &config.services {
            if service.kind != ServiceKind::Model {
                continue;
            }
            let (prompt, output) = window.get(&service.name).copied().unwrap_or_default();
            let demand = Demand {
                prompt_tokens: prompt as f64,
                output_tokens: output as f64,
                window_ms,
            };
            let engines = engines(config, &service.name, loads, draining);
            let change = self.planner.plan(now_ms, &service.name, &demand, &engines);
            if let Some(change) = change {
                let command = Command::Order {
                    upstream: change.upstream,
                    change: OrderChange {
                        role: Some(change.to),
                        ..OrderChange::default()
                    },
                };
                orders.push((service.name.clone(), command));
            }
        }
        orders
    }
}

fn engines(
    config: &ServiceConfig,
    service: &Name,
    loads: &Map<Name, LoadReport>,
    draining: &[Name],
) -> Vec<Engine> {
    config
        .upstreams
        .iter()
        .filter(|upstream| upstream.service == *service)
        .map(|upstream| {
            let load = loads.get(&upstream.name);
            let role = load.and_then(|load| load.role);
            Engine {
                name: upstream.name.clone(),
                availability_zone: upstream.availability_zone.clone(),
                role: role.unwrap_or(upstream.role),
                draining: role.is_none() || draining.contains(&upstream.name),
                prefill_tokens_per_s: upstream.prefill_tokens_per_s,
                decode_tokens_per_s: upstream.decode_tokens_per_s,
                role_change_ms: ROLE_CHANGE_MS,
                ..Engine::default()
            }
        })
        .collect()
}
