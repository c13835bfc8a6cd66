//! The upstreams as one entry sees them, and the events that change them.

use conf::{Map, Name, Role, ServiceConfig, ServiceKind, Set};

use crate::output::OutputLengths;
use crate::pool::Group;
use crate::prefix::{CacheView, Holders};
use crate::retry::RetryBudgets;
use crate::view::View;
use crate::work::{CacheEvent, Cost, End, ExchangeId, Failure, LoadDigest, LoadReport, Presence};

/// Time of a plain request before any was measured, in milliseconds.
const PLAIN_SERVICE_MS: f64 = 50.0;
/// Smoothing of the measured time of plain requests.
const PLAIN_SMOOTHING: f64 = 0.05;
/// Added round trip to another availability zone while none was measured, in milliseconds.
pub(crate) const ZONE_DISTANCE_MS: f64 = 2.0;

#[derive(Clone, Debug)]
struct Exchange {
    slot: u32,
    generation: u32,
    started_ms: u64,
    probe: bool,
    output_tokens_left: u32,
    tenant: Name,
    model: Name,
    expected_ms: u64,
}

/// A place of the table. The generation tells a removed upstream's exchanges from its successor's.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    generation: u32,
    pub(crate) view: Option<View>,
}

/// Size of the table's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Upstreams.
    pub upstreams: usize,
    /// Memory for them without their cache views, in bytes.
    pub upstream_bytes: usize,
    /// Pairs of an upstream and a chunk that it is believed to hold.
    pub cached_chunks: usize,
    /// Memory for them, in bytes.
    pub cached_chunk_bytes: usize,
    /// Distinct chunks.
    pub distinct_chunks: usize,
}

/// The table of upstream views. All methods ignore names and exchanges that they do not know.
#[derive(Clone, Debug)]
pub struct Table {
    pub(crate) rng: fastrand::Rng,
    pub(crate) slots: Vec<Slot>,
    pub(crate) groups: Map<Name, Group>,
    pub(crate) models: Map<Name, u32>,
    pub(crate) holders: Holders,
    pub(crate) distances_ms: Map<Name, f64>,
    by_name: Map<Name, u32>,
    exchanges: Map<ExchangeId, Exchange>,
    draining: Set<Name>,
    lengths: OutputLengths,
    budgets: RetryBudgets,
}

impl Table {
    /// Makes an empty table. Entries use different seeds, so that they do not make the same choices.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            slots: Vec::new(),
            groups: Map::default(),
            models: Map::default(),
            holders: Holders::default(),
            distances_ms: Map::default(),
            by_name: Map::default(),
            exchanges: Map::default(),
            draining: Set::default(),
            lengths: OutputLengths::default(),
            budgets: RetryBudgets::default(),
        }
    }

    /// Takes in a configuration. What is known of upstreams that stay is kept.
    pub fn apply_config(&mut self, config: &ServiceConfig) {
        let kinds: Map<&Name, ServiceKind> = config
            .services
            .iter()
            .map(|service| (&service.name, service.kind))
            .collect();
        let names: Set<&Name> = config
            .upstreams
            .iter()
            .map(|upstream| &upstream.name)
            .collect();
        let removed: Vec<Name> = self
            .by_name
            .keys()
            .filter(|name| !names.contains(name))
            .cloned()
            .collect();
        removed.iter().for_each(|name| self.remove(name));
        for upstream in &config.upstreams {
            let kind = kinds.get(&upstream.service).copied().unwrap_or_default();
            self.configure(upstream, kind);
        }
        self.rebuild_groups(config);
    }

    /// Sets or clears an upstream's drain mark. The mark holds for upstreams that are configured later, too.
    pub fn set_draining(&mut self, upstream: &Name, draining: bool) {
        if draining {
            self.draining.insert(upstream.clone());
        } else {
            self.draining.remove(upstream);
        }
        if let Some(view) = self.view_mut(upstream) {
            view.draining = draining;
        }
    }

    /// Notes what the platform's list says of an upstream.
    pub fn set_present(&mut self, upstream: &Name, presence: Presence) {
        if let Some(view) = self.view_mut(upstream) {
            view.platform_presence = presence;
        }
    }

    /// Notes what the upstream itself has said. The platform's list lags and does not override it.
    pub fn set_observed(&mut self, upstream: &Name, presence: Presence) {
        if let Some(view) = self.view_mut(upstream) {
            view.own_presence = presence;
        }
    }

    /// Sets the measured round trip to an availability zone, in milliseconds above that within the own one.
    pub fn set_distance(&mut self, zone: &Name, distance_ms: f64) {
        self.distances_ms.insert(zone.clone(), distance_ms.max(0.0));
    }

    /// Takes in an upstream's load report.
    pub fn on_report(&mut self, now_ms: u64, upstream: &Name, report: &LoadReport) {
        let models = self.intern_models(&report.models);
        let Some(slot) = self.by_name.get(upstream).copied() else {
            return;
        };
        let Some(view) = self.slots[slot as usize].view.as_mut() else {
            return;
        };
        if view.kind == ServiceKind::Model && view.describes(now_ms, report) {
            let changed = view.role != report.role || view.models.as_ref() != Some(&models);
            view.models = Some(models);
            view.role = report.role;
            if changed && let Some(group) = self.groups.get_mut(&view.service) {
                group.pools.clear();
            }
        }
        view.on_report(now_ms, report);
        if report.kv_chunks_total > 0 {
            view.cache
                .set_capacity(report.kv_chunks_total as usize, &mut self.holders);
        }
    }

    /// Takes in the load of an upstream as a peer has seen it.
    pub fn on_digest(&mut self, now_ms: u64, upstream: &Name, digest: &LoadDigest) {
        if let Some(view) = self.view_mut(upstream) {
            view.on_digest(now_ms, digest);
        }
    }

    /// Notes that the entry sends an exchange to an upstream.
    pub fn on_dispatch(&mut self, now_ms: u64, id: ExchangeId, upstream: &Name, cost: &Cost) {
        let Some(slot) = self.by_name.get(upstream).copied() else {
            return;
        };
        if self.exchanges.contains_key(&id) {
            return;
        }
        let place = &mut self.slots[slot as usize];
        let Some(view) = place.view.as_mut() else {
            return;
        };
        view.on_dispatch(now_ms, cost.prompt_tokens, cost.output_tokens);
        let probe = view.circuit.on_dispatch();
        for chunk in &cost.chunks {
            view.cache.touch(*chunk, &mut self.holders);
        }
        if id.attempt == 0 {
            self.budgets.on_request(upstream, &cost.tenant);
        }
        let exchange = Exchange {
            slot,
            generation: place.generation,
            started_ms: now_ms,
            probe,
            output_tokens_left: cost.output_tokens,
            tenant: cost.tenant.clone(),
            model: cost.model.clone(),
            expected_ms: cost.total_ms,
        };
        self.exchanges.insert(id, exchange);
    }

    /// Notes the output tokens that an exchange has delivered so far, and corrects its expected length.
    pub fn on_progress(&mut self, id: ExchangeId, output_tokens: u32) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        let expected = self
            .lengths
            .expected(&exchange.tenant, &exchange.model, output_tokens);
        let left = expected.saturating_sub(output_tokens);
        let before = exchange.output_tokens_left;
        exchange.output_tokens_left = left;
        let (slot, generation) = (exchange.slot, exchange.generation);
        if let Some(view) = self.view_at(slot, generation) {
            let total = view.output_tokens_expected + u64::from(left);
            view.output_tokens_expected = total.saturating_sub(u64::from(before));
        }
    }

    /// Notes that an exchange has ended without a failure.
    pub fn on_finish(&mut self, now_ms: u64, id: ExchangeId, end: End) {
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        let actual_ms = now_ms.saturating_sub(exchange.started_ms);
        if let End::Complete { output_tokens } = end
            && !exchange.model.is_empty()
            && output_tokens > 0
        {
            self.lengths
                .observe(&exchange.tenant, &exchange.model, output_tokens);
        }
        let Some(view) = self.view_at(exchange.slot, exchange.generation) else {
            return;
        };
        view.on_end(now_ms, exchange.output_tokens_left);
        match end {
            End::Complete { .. } => {
                view.circuit.on_success();
                view.on_duration(actual_ms, exchange.expected_ms);
                let (service, kind) = (view.service.clone(), view.kind);
                if kind == ServiceKind::Plain {
                    self.on_plain_duration(&service, actual_ms);
                }
            }
            End::Cancelled if exchange.probe => view.circuit.on_probe_cancelled(),
            End::Cancelled => {}
        }
    }

    /// Notes that an exchange has failed at its upstream.
    pub fn on_failure(&mut self, now_ms: u64, id: ExchangeId, failure: Failure) {
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        let jitter = self.rng.f64();
        let Some(view) = self.view_at(exchange.slot, exchange.generation) else {
            return;
        };
        view.on_end(now_ms, exchange.output_tokens_left);
        view.circuit.on_failure(now_ms, failure, jitter);
        if failure == Failure::Connect {
            self.forget_cache(exchange.slot);
        }
    }

    /// Notes that a connection to an upstream failed outside any exchange, for example for a load report.
    pub fn on_unreachable(&mut self, now_ms: u64, upstream: &Name) {
        let jitter = self.rng.f64();
        let Some(slot) = self.by_name.get(upstream).copied() else {
            return;
        };
        if let Some(view) = self.slots[slot as usize].view.as_mut() {
            view.circuit.on_failure(now_ms, Failure::Connect, jitter);
        }
        self.forget_cache(slot);
    }

    /// Takes in cache events numbered from `first`. Duplicates are skipped, and gaps lower the confidence.
    pub fn on_cache_events(&mut self, upstream: &Name, first: u64, events: &[CacheEvent]) {
        let Some(slot) = self.by_name.get(upstream).copied() else {
            return;
        };
        if let Some(view) = self.slots[slot as usize].view.as_mut() {
            view.cache.on_events(first, events, &mut self.holders);
        }
    }

    /// Number of the last cache event taken in, to ask for the events after it.
    pub fn cache_events_seen(&self, upstream: &Name) -> u64 {
        self.view(upstream)
            .map_or(0, |view| view.cache.events_seen())
    }

    /// Share of the chunks believed to be in an upstream's cache that are expected to be there, from 0 to 1.
    pub fn cache_confidence(&self, upstream: &Name) -> f64 {
        self.view(upstream)
            .map_or(0.0, |view| view.cache.confidence())
    }

    /// Expected length of an answer that already has `so_far` tokens, in tokens.
    pub fn expected_output(&self, tenant: &Name, model: &Name, so_far: u32) -> u32 {
        self.lengths.expected(tenant, model, so_far)
    }

    /// Takes one retry from the budgets of the upstream that failed and of the tenant, if both have one.
    pub fn take_retry(&mut self, upstream: &Name, tenant: &Name) -> bool {
        self.budgets.take(upstream, tenant)
    }

    /// Whether an upstream may get new work.
    pub fn accepts(&self, now_ms: u64, upstream: &Name) -> bool {
        self.view(upstream).is_some_and(|view| view.accepts(now_ms))
    }

    /// The entry's own open exchanges at an upstream.
    pub fn outstanding(&self, upstream: &Name) -> u32 {
        self.view(upstream).map_or(0, |view| view.outstanding)
    }

    /// Estimated requests running and waiting at an upstream, from all entries.
    pub fn in_flight(&self, now_ms: u64, upstream: &Name) -> f64 {
        self.view(upstream)
            .map_or(0.0, |view| view.in_flight(now_ms))
    }

    /// Output tokens that the entry's own exchanges at an upstream still expect.
    pub fn output_tokens_expected(&self, upstream: &Name) -> u64 {
        self.view(upstream)
            .map_or(0, |view| view.output_tokens_expected)
    }

    /// Role of an upstream by its last report.
    pub fn role(&self, upstream: &Name) -> Option<Role> {
        self.view(upstream).map(|view| view.role)
    }

    /// Size of the state, for capacity planning.
    pub fn size(&self) -> StateSize {
        let views = || self.slots.iter().filter_map(|slot| slot.view.as_ref());
        let cache_bytes: usize = views().map(|view| view.cache.bytes()).sum();
        let index_bytes = self.slots.len() * (size_of::<Slot>() - size_of::<View>())
            + self.by_name.capacity() * 8 / 7 * (size_of::<(Name, u32)>() + 1);
        StateSize {
            upstreams: views().count(),
            upstream_bytes: index_bytes + views().map(View::bytes).sum::<usize>(),
            cached_chunks: views().map(|view| view.cache.len()).sum(),
            cached_chunk_bytes: cache_bytes + self.holders.bytes(),
            distinct_chunks: self.holders.len(),
        }
    }

    pub(crate) fn slot_view(&self, slot: u32) -> Option<&View> {
        self.slots.get(slot as usize)?.view.as_ref()
    }

    fn view(&self, upstream: &Name) -> Option<&View> {
        self.slot_view(*self.by_name.get(upstream)?)
    }

    fn view_mut(&mut self, upstream: &Name) -> Option<&mut View> {
        let slot = *self.by_name.get(upstream)?;
        self.slots[slot as usize].view.as_mut()
    }

    fn view_at(&mut self, slot: u32, generation: u32) -> Option<&mut View> {
        let place = self.slots.get_mut(slot as usize)?;
        if place.generation != generation {
            return None;
        }
        place.view.as_mut()
    }

    fn configure(&mut self, upstream: &conf::Upstream, kind: ServiceKind) {
        if let Some(view) = self.view_mut(&upstream.name) {
            view.configure(upstream, kind);
            return;
        }
        let free = self.slots.iter().position(|slot| slot.view.is_none());
        let slot = free.unwrap_or(self.slots.len());
        let mut view = View::new(slot as u32, upstream, kind);
        view.draining = self.draining.contains(&upstream.name);
        if slot == self.slots.len() {
            self.slots.push(Slot {
                generation: 0,
                view: None,
            });
        }
        self.slots[slot].view = Some(view);
        self.by_name.insert(upstream.name.clone(), slot as u32);
    }

    fn remove(&mut self, upstream: &Name) {
        let Some(slot) = self.by_name.remove(upstream) else {
            return;
        };
        self.forget_cache(slot);
        let place = &mut self.slots[slot as usize];
        place.view = None;
        place.generation += 1;
    }

    fn rebuild_groups(&mut self, config: &ServiceConfig) {
        let before = std::mem::take(&mut self.groups);
        for service in &config.services {
            let plain_ms = before
                .get(&service.name)
                .map_or(PLAIN_SERVICE_MS, |group| group.plain_ms);
            let group = Group {
                kind: service.kind,
                plain_ms,
                ..Group::default()
            };
            self.groups.insert(service.name.clone(), group);
        }
        for upstream in &config.upstreams {
            if let Some(group) = self.groups.get_mut(&upstream.service) {
                group.members.push(self.by_name[&upstream.name]);
            }
        }
    }

    fn forget_cache(&mut self, slot: u32) {
        let view = self.slots[slot as usize].view.as_mut();
        let cache: Option<&mut CacheView> = view.map(|view| &mut view.cache);
        if let Some(cache) = cache {
            cache.reset(&mut self.holders);
        }
    }

    fn on_plain_duration(&mut self, service: &Name, actual_ms: u64) {
        if let Some(group) = self.groups.get_mut(service) {
            group.plain_ms += (actual_ms as f64 - group.plain_ms) * PLAIN_SMOOTHING;
        }
    }

    /// Interns the names of loaded models. `MODEL@VERSION` counts as `MODEL`.
    fn intern_models(&mut self, names: &[Name]) -> Vec<u32> {
        let mut models = Vec::with_capacity(names.len());
        for name in names {
            let base = name.split('@').next().unwrap_or_default();
            models.push(self.intern(base));
        }
        models.sort_unstable();
        models.dedup();
        models
    }

    fn intern(&mut self, model: &str) -> u32 {
        if let Some(number) = self.models.get(model) {
            return *number;
        }
        let number = self.models.len() as u32;
        self.models.insert(Name::from(model.to_owned()), number);
        number
    }
}
