//! Role planning: which engines compute prompts and which generate, decided by the leader for each availability zone.

use conf::{Map, Name, Role};
use fleet::UpstreamRecord;

/// Share of a zone's engines that generate. A batch of 64 streams takes an engine little more time than a single
/// stream, while prefill takes most of the time, so that a quarter of the engines can generate for the prompts of the
/// others.
const DECODE_SHARE: f64 = 0.25;
/// Time for which an order counts as in effect although the list does not show its role, in milliseconds. The time
/// covers the lag of the list, the requests that the engine finishes first and the change itself.
const ORDER_IN_EFFECT_MS: u64 = 10_000;
/// Minimum interval between orders to the engines of one zone after the first orders, in milliseconds.
const ORDER_INTERVAL_MS: u64 = 6_000;
/// Time for which the list must have shown a zone off its target, in milliseconds: a crashed engine may restart soon.
const OFF_TARGET_MS: u64 = 5_000;
/// Time for which the number of engines in a zone must be constant before orders, in milliseconds: after a start of the
/// whole system the list fills over some seconds.
const STABLE_COUNT_MS: u64 = 2_500;
/// Number of engines in a zone per engine of tolerated deviation from the target: an order costs more than a small
/// deviation.
const ENGINES_PER_DEVIATION: usize = 16;

/// Time for which the list must have shown a zone off its target where the number of engines follows the demand, in
/// milliseconds: two readings of the list.
const SCALED_OFF_TARGET_MS: u64 = 2_000;
/// Minimum interval between orders in such a zone, in milliseconds.
const SCALED_ORDER_INTERVAL_MS: u64 = 3_000;
/// Time since its first listing in which an engine counts as new, in milliseconds. A new engine has little cached and
/// few requests, so that a change of its role costs little.
const NEW_ENGINE_MS: u64 = 2_000;

/// An order to an engine to change its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// Instance id of the engine.
    pub upstream: Name,
    /// Address of the engine.
    pub address: Name,
    /// Role that the engine is to take.
    pub role: Role,
}

#[derive(Clone, Copy, Debug)]
struct OrderedRole {
    role: Role,
    at_ms: u64,
    /// Whether the engine has accepted the order. An engine that does not answer works on in its present role.
    is_accepted: bool,
}

/// Plans the roles of engines and keeps the state between two decisions.
#[derive(Clone, Debug, Default)]
pub struct RolePlanner {
    /// Latest order to each engine.
    ordered_roles: Map<Name, OrderedRole>,
    /// When the engines of each service and zone last got an order.
    last_order_ms: Map<(Name, Name), u64>,
    /// Number of engines of each service and zone, and since when the number is constant.
    engine_counts: Map<(Name, Name), (usize, u64)>,
    /// Since when each service and zone is off its target.
    off_target_since_ms: Map<(Name, Name), u64>,
    /// Whether the leader orders engines by demand, so that their numbers change often.
    is_scaled: bool,
    /// When each engine was first on the list, in milliseconds.
    first_listed_ms: Map<Name, u64>,
}

impl RolePlanner {
    /// Sets whether the leader orders engines by demand.
    pub fn set_scaled(&mut self, is_scaled: bool) {
        self.is_scaled = is_scaled;
    }

    /// Returns the orders that are due.
    pub fn next_orders(&mut self, now_ms: u64, upstreams: &[UpstreamRecord]) -> Vec<RoleOrder> {
        self.ordered_roles
            .retain(|_, ordered| now_ms - ordered.at_ms < ORDER_IN_EFFECT_MS);
        let mut zones: Map<(Name, Name), Vec<&UpstreamRecord>> = Map::default();
        for upstream in upstreams {
            if upstream.role.is_some() && !upstream.draining {
                let zone = upstream.availability_zone.clone();
                let key = (upstream.service.clone(), zone);
                zones.entry(key).or_default().push(upstream);
            }
        }
        self.off_target_since_ms
            .retain(|key, _| zones.contains_key(key));
        if self.is_scaled {
            self.observe_engines(now_ms, upstreams);
        }
        let mut orders = Vec::new();
        for (key, engines) in zones {
            orders.extend(self.zone_orders(now_ms, &key, &engines));
        }
        orders
    }

    fn observe_engines(&mut self, now_ms: u64, upstreams: &[UpstreamRecord]) {
        let previous = std::mem::take(&mut self.first_listed_ms);
        for upstream in upstreams.iter().filter(|upstream| upstream.role.is_some()) {
            let first_ms = previous.get(&upstream.id).copied().unwrap_or(now_ms);
            self.first_listed_ms.insert(upstream.id.clone(), first_ms);
        }
    }

    /// Returns whether an engine has been listed for the first time only recently.
    fn is_new(&self, now_ms: u64, engine: &UpstreamRecord) -> bool {
        let first_ms = self.first_listed_ms.get(&engine.id);
        first_ms.is_some_and(|first_ms| now_ms - first_ms <= NEW_ENGINE_MS)
    }

    fn zone_orders(
        &mut self,
        now_ms: u64,
        key: &(Name, Name),
        engines: &[&UpstreamRecord],
    ) -> Vec<RoleOrder> {
        let counted = self
            .engine_counts
            .entry(key.clone())
            .or_insert((engines.len(), now_ms));
        if counted.0 != engines.len() {
            *counted = (engines.len(), now_ms);
        }
        let is_first = !self.last_order_ms.contains_key(key);
        if now_ms - counted.1 < STABLE_COUNT_MS && (is_first || !self.is_scaled) {
            return Vec::new();
        }
        let target = decode_target(engines.len());
        let mut decoders: Vec<&UpstreamRecord> = engines
            .iter()
            .copied()
            .filter(|engine| self.planned_role(engine) != Some(Role::Prefill))
            .collect();
        let (surplus, shortage) = (
            decoders.len().saturating_sub(target),
            target.saturating_sub(decoders.len()),
        );
        let is_role_missing =
            decoders.is_empty() || (surplus > 0 && decoders.len() == engines.len());
        let new_decoders = decoders.iter().filter(|engine| self.is_new(now_ms, engine));
        let new_decoders = new_decoders.count();
        let is_urgent = self.is_scaled && (is_role_missing || (surplus > 0 && new_decoders > 0));
        let tolerated_deviation = match is_first || decoders.is_empty() || is_urgent {
            true => 0,
            false => engines.len() / ENGINES_PER_DEVIATION,
        };
        if surplus <= tolerated_deviation && shortage <= tolerated_deviation {
            self.off_target_since_ms.remove(key);
            return Vec::new();
        }
        let since_ms = *self
            .off_target_since_ms
            .entry(key.clone())
            .or_insert(now_ms);
        let last_ms = self.last_order_ms.get(key).copied();
        let (interval_ms, off_target_ms) = match self.is_scaled {
            true => (SCALED_ORDER_INTERVAL_MS, SCALED_OFF_TARGET_MS),
            false => (ORDER_INTERVAL_MS, OFF_TARGET_MS),
        };
        let is_due = last_ms.is_none_or(|last_ms| now_ms - last_ms >= interval_ms);
        let is_held = !is_due || (!is_first && now_ms - since_ms < off_target_ms);
        if is_held && !is_urgent {
            return Vec::new();
        }
        let (mut candidates, role) = match surplus > 0 {
            true => (std::mem::take(&mut decoders), Role::Prefill),
            false => {
                let prefill_engines = engines
                    .iter()
                    .copied()
                    .filter(|engine| self.planned_role(engine) == Some(Role::Prefill));
                (prefill_engines.collect(), Role::Decode)
            }
        };
        candidates.sort_by(|a, b| {
            let is_older = self.is_new(now_ms, b).cmp(&self.is_new(now_ms, a));
            is_older.then_with(|| a.id.cmp(&b.id))
        });
        // Later orders are given one at a time, since each engine is unavailable for seconds while it changes.
        let count = match (is_first, is_urgent) {
            (true, _) => surplus + shortage,
            (false, true) => surplus.min(new_decoders).max(1),
            (false, false) => 1,
        };
        self.last_order_ms.insert(key.clone(), now_ms);
        let mut orders = Vec::new();
        for engine in candidates.into_iter().take(count) {
            let ordered = OrderedRole {
                role,
                at_ms: now_ms,
                is_accepted: false,
            };
            self.ordered_roles.insert(engine.id.clone(), ordered);
            orders.push(RoleOrder {
                upstream: engine.id.clone(),
                address: engine.address.clone(),
                role,
            });
        }
        orders
    }

    /// Records that an engine has accepted its order.
    pub fn on_accepted(&mut self, upstream: &Name) {
        if let Some(ordered) = self.ordered_roles.get_mut(upstream) {
            ordered.is_accepted = true;
        }
    }

    /// Returns whether an engine carries out an order that the list does not show yet.
    pub fn is_changing(&self, engine: &UpstreamRecord) -> bool {
        let ordered = self.ordered_roles.get(&engine.id);
        ordered.is_some_and(|ordered| ordered.is_accepted && engine.role != Some(ordered.role))
    }

    fn planned_role(&self, engine: &UpstreamRecord) -> Option<Role> {
        let ordered_role = self
            .ordered_roles
            .get(&engine.id)
            .map(|ordered| ordered.role);
        ordered_role.or(engine.role)
    }
}

/// Returns the number of a zone's engines that are to generate.
fn decode_target(engines: usize) -> usize {
    match engines {
        0 | 1 => engines,
        _ => ((engines as f64 * DECODE_SHARE).ceil() as usize).max(1),
    }
}
