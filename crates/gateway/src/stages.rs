//! Which engines compute prompts and which generate, decided by the leader for each availability zone.

use conf::{Map, Name, Role};
use fleet::UpstreamRecord;

/// Share of a zone's engines that generate. A batch of 64 streams costs an engine little more than a single one, while
/// reading the prompts takes most of the time, so that a quarter of the engines can generate what the others read.
const DECODE_SHARE: f64 = 0.25;
/// Time for which an order counts as in effect although the list does not show it, in milliseconds. It covers the lag of
/// the list, the work that the engine finishes first and the change itself.
const ORDER_IN_EFFECT_MS: u64 = 10_000;
/// Time between two orders to the engines of one zone, in milliseconds, after the first ones.
const ORDER_INTERVAL_MS: u64 = 6_000;
/// Time for which the list must have shown a zone off its target, in milliseconds: a crashed engine may be back soon.
const OFF_TARGET_MS: u64 = 5_000;
/// Time for which the engines of a zone must be the same before the first orders, in milliseconds: at the start of the
/// whole system the list fills over some seconds.
const SETTLED_MS: u64 = 2_500;
/// Engines for each of which a zone may be one off its target: an order costs more than a small deviation.
const ENGINES_PER_DEVIATION: usize = 16;

/// An engine that is to change its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// Instance id of the engine.
    pub upstream: Name,
    /// Its address.
    pub address: Name,
    /// Role that it is to take.
    pub role: Role,
}

/// What the leader remembers between decisions.
#[derive(Clone, Debug, Default)]
pub struct Stages {
    /// Role ordered of an engine, and when.
    ordered: Map<Name, (Role, u64)>,
    /// When each zone's engines of a service were last ordered to change.
    ordered_ms: Map<(Name, Name), u64>,
    /// Number of engines in each zone, and since when.
    engines: Map<(Name, Name), (usize, u64)>,
    /// Since when each zone is off its target.
    off_target_ms: Map<(Name, Name), u64>,
}

impl Stages {
    /// Returns the orders that are due.
    pub fn next_orders(&mut self, now_ms: u64, upstreams: &[UpstreamRecord]) -> Vec<RoleOrder> {
        self.ordered
            .retain(|_, (_, at_ms)| now_ms - *at_ms < ORDER_IN_EFFECT_MS);
        let mut zones: Map<(Name, Name), Vec<&UpstreamRecord>> = Map::default();
        for upstream in upstreams {
            if upstream.role.is_some() && !upstream.draining {
                let zone = upstream.availability_zone.clone();
                let key = (upstream.service.clone(), zone);
                zones.entry(key).or_default().push(upstream);
            }
        }
        self.off_target_ms.retain(|key, _| zones.contains_key(key));
        let mut orders = Vec::new();
        for (key, engines) in zones {
            orders.extend(self.orders_of_zone(now_ms, &key, &engines));
        }
        orders
    }

    fn orders_of_zone(
        &mut self,
        now_ms: u64,
        key: &(Name, Name),
        engines: &[&UpstreamRecord],
    ) -> Vec<RoleOrder> {
        let counted = self
            .engines
            .entry(key.clone())
            .or_insert((engines.len(), now_ms));
        if counted.0 != engines.len() {
            *counted = (engines.len(), now_ms);
        }
        if now_ms - counted.1 < SETTLED_MS {
            return Vec::new();
        }
        let target = decode_target(engines.len());
        let mut decoders: Vec<&UpstreamRecord> = engines
            .iter()
            .copied()
            .filter(|engine| self.role(engine) != Some(Role::Prefill))
            .collect();
        let (surplus, lack) = (
            decoders.len().saturating_sub(target),
            target.saturating_sub(decoders.len()),
        );
        let is_first = !self.ordered_ms.contains_key(key);
        let tolerated = match is_first || decoders.is_empty() {
            true => 0,
            false => engines.len() / ENGINES_PER_DEVIATION,
        };
        if surplus <= tolerated && lack <= tolerated {
            self.off_target_ms.remove(key);
            return Vec::new();
        }
        let since_ms = *self.off_target_ms.entry(key.clone()).or_insert(now_ms);
        let last_ms = self.ordered_ms.get(key).copied();
        let is_due = last_ms.is_none_or(|last_ms| now_ms - last_ms >= ORDER_INTERVAL_MS);
        if !is_due || (!is_first && now_ms - since_ms < OFF_TARGET_MS) {
            return Vec::new();
        }
        let (mut candidates, role) = match surplus > 0 {
            true => (std::mem::take(&mut decoders), Role::Prefill),
            false => {
                let prefill = engines
                    .iter()
                    .copied()
                    .filter(|engine| self.role(engine) == Some(Role::Prefill));
                (prefill.collect(), Role::Decode)
            }
        };
        candidates.sort_by(|a, b| a.id.cmp(&b.id));
        // Later changes come one at a time, since each takes an engine away for seconds.
        let count = if is_first { surplus + lack } else { 1 };
        self.ordered_ms.insert(key.clone(), now_ms);
        let mut orders = Vec::new();
        for engine in candidates.into_iter().take(count) {
            self.ordered.insert(engine.id.clone(), (role, now_ms));
            orders.push(RoleOrder {
                upstream: engine.id.clone(),
                address: engine.address.clone(),
                role,
            });
        }
        orders
    }

    fn role(&self, engine: &UpstreamRecord) -> Option<Role> {
        let ordered = self.ordered.get(&engine.id).map(|(role, _)| *role);
        ordered.or(engine.role)
    }
}

/// Returns how many of a zone's engines are to generate.
fn decode_target(engines: usize) -> usize {
    match engines {
        0 | 1 => engines,
        _ => ((engines as f64 * DECODE_SHARE).ceil() as usize).max(1),
    }
}
