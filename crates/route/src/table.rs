//! The state of the upstreams as one instance knows it, and the events that change it.

use conf::{Map, Name, Role, ServiceConfig, ServiceKind, Set};

use crate::cache::{CacheIndex, CacheView};
use crate::output::OutputLengths;
use crate::pool::ServiceState;
use crate::retry::RetryBudgets;
use crate::types::{
    CacheEvent, ExchangeEnd, ExchangeEstimate, ExchangeFailure, ExchangeId, LoadDigest, LoadReport,
    Presence,
};
use crate::view::UpstreamView;

/// Assumed time of a plain request before the first measurement, in milliseconds.
const DEFAULT_PLAIN_REQUEST_MS: f64 = 50.0;
/// Smoothing factor of the measured time of plain requests, per request.
const PLAIN_REQUEST_SMOOTHING: f64 = 0.05;
/// Assumed additional round trip to another availability zone before the first measurement, in milliseconds.
pub(crate) const DEFAULT_EXTRA_RTT_MS: f64 = 2.0;

/// An open exchange of the instance.
#[derive(Clone, Debug)]
struct Exchange {
    slot: u32,
    generation: u32,
    started_ms: u64,
    probe: bool,
    output_tokens_left: u32,
    client_account: Name,
    model: Name,
    expected_ms: u64,
}

/// A slot of the table. The generation distinguishes the exchanges of a removed upstream from those of the upstream
/// that reuses the slot.
#[derive(Clone, Debug)]
pub(crate) struct TableSlot {
    generation: u32,
    pub(crate) view: Option<UpstreamView>,
}

/// Size of the table's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateSize {
    /// Number of upstreams.
    pub upstreams: usize,
    /// Memory for the upstreams without their cache views, in bytes.
    pub upstream_bytes: usize,
    /// Number of pairs of an upstream and a chunk that its cache is expected to hold.
    pub cached_chunks: usize,
    /// Memory for the pairs of an upstream and a chunk, in bytes.
    pub cached_chunk_bytes: usize,
    /// Number of distinct chunks.
    pub distinct_chunks: usize,
}

/// The table of upstream views. All methods ignore unknown names and exchanges.
#[derive(Clone, Debug)]
pub struct UpstreamTable {
    pub(crate) rng: fastrand::Rng,
    pub(crate) slots: Vec<TableSlot>,
    pub(crate) services: Map<Name, ServiceState>,
    pub(crate) models: Map<Name, u32>,
    pub(crate) cache_index: CacheIndex,
    pub(crate) extra_rtts_ms: Map<Name, f64>,
    by_name: Map<Name, u32>,
    exchanges: Map<ExchangeId, Exchange>,
    draining: Set<Name>,
    output_lengths: OutputLengths,
    retry_budgets: RetryBudgets,
}

impl UpstreamTable {
    /// Creates an empty table. Instances use different seeds, so that they do not make the same choices.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            slots: Vec::new(),
            services: Map::default(),
            models: Map::default(),
            cache_index: CacheIndex::default(),
            extra_rtts_ms: Map::default(),
            by_name: Map::default(),
            exchanges: Map::default(),
            draining: Set::default(),
            output_lengths: OutputLengths::default(),
            retry_budgets: RetryBudgets::default(),
        }
    }

    /// Applies a configuration. The state of upstreams that stay configured is kept.
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
        self.rebuild_services(config);
    }

    /// Sets or clears an upstream's drain mark. The mark also applies if the upstream is configured later.
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

    /// Records the presence of an upstream in the platform's list.
    pub fn set_platform_presence(&mut self, upstream: &Name, presence: Presence) {
        if let Some(view) = self.view_mut(upstream) {
            view.platform_presence = presence;
        }
    }

    /// Records the presence that the upstream itself has reported. The platform's list is delayed and does not override
    /// this presence.
    pub fn set_observed_presence(&mut self, upstream: &Name, presence: Presence) {
        if let Some(view) = self.view_mut(upstream) {
            view.observed_presence = presence;
        }
    }

    /// Sets the measured round trip to an availability zone, in milliseconds above the round trip within the instance's
    /// zone.
    pub fn set_zone_rtt(&mut self, zone: &Name, extra_rtt_ms: f64) {
        self.extra_rtts_ms
            .insert(zone.clone(), extra_rtt_ms.max(0.0));
    }

    /// Applies an upstream's load report.
    pub fn on_report(&mut self, now_ms: u64, upstream: &Name, report: &LoadReport) {
        let models = self.intern_models(&report.models);
        let Some(slot) = self.by_name.get(upstream).copied() else {
            return;
        };
        let Some(view) = self.slots[slot as usize].view.as_mut() else {
            return;
        };
        if view.kind == ServiceKind::Model && view.accept_role_and_models(now_ms, report) {
            let changed = view.role != report.role || view.models.as_ref() != Some(&models);
            view.models = Some(models);
            view.role = report.role;
            if changed && let Some(state) = self.services.get_mut(&view.service) {
                state.pools.clear();
            }
        }
        view.on_report(now_ms, report);
        if report.kv_chunks_total > 0 {
            view.cache
                .set_capacity(report.kv_chunks_total as usize, &mut self.cache_index);
        }
    }

    /// Applies a peer's digest of the load of an upstream.
    pub fn on_digest(&mut self, now_ms: u64, upstream: &Name, digest: &LoadDigest) {
        if let Some(view) = self.view_mut(upstream) {
            view.on_digest(now_ms, digest);
        }
    }

    /// Records that the instance sends an exchange to an upstream.
    pub fn on_dispatch(
        &mut self,
        now_ms: u64,
        id: ExchangeId,
        upstream: &Name,
        estimate: &ExchangeEstimate,
    ) {
        let Some(slot) = self.by_name.get(upstream).copied() else {
            return;
        };
        if self.exchanges.contains_key(&id) {
            return;
        }
        let table_slot = &mut self.slots[slot as usize];
        let Some(view) = table_slot.view.as_mut() else {
            return;
        };
        view.on_dispatch(now_ms, estimate.prompt_tokens, estimate.output_tokens);
        let probe = view.circuit.on_dispatch();
        for chunk in &estimate.chunk_hashes {
            view.cache.touch(*chunk, &mut self.cache_index);
        }
        if id.attempt == 0 {
            self.retry_budgets
                .on_request(upstream, &estimate.client_account);
        }
        let exchange = Exchange {
            slot,
            generation: table_slot.generation,
            started_ms: now_ms,
            probe,
            output_tokens_left: estimate.output_tokens,
            client_account: estimate.client_account.clone(),
            model: estimate.model.clone(),
            expected_ms: estimate.total_ms,
        };
        self.exchanges.insert(id, exchange);
    }

    /// Records the output tokens that an exchange has delivered so far, and corrects its expected length.
    pub fn on_progress(&mut self, id: ExchangeId, output_tokens: u32) {
        let Some(exchange) = self.exchanges.get_mut(&id) else {
            return;
        };
        let expected =
            self.output_lengths
                .expected(&exchange.client_account, &exchange.model, output_tokens);
        let left = expected.saturating_sub(output_tokens);
        let previous = exchange.output_tokens_left;
        exchange.output_tokens_left = left;
        let (slot, generation) = (exchange.slot, exchange.generation);
        if let Some(view) = self.view_at(slot, generation) {
            let total = view.output_tokens_expected + u64::from(left);
            view.output_tokens_expected = total.saturating_sub(u64::from(previous));
        }
    }

    /// Records that an exchange has ended without a failure.
    pub fn on_finish(&mut self, now_ms: u64, id: ExchangeId, end: ExchangeEnd) {
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        let actual_ms = now_ms.saturating_sub(exchange.started_ms);
        if let ExchangeEnd::Complete { output_tokens } = end
            && !exchange.model.is_empty()
            && output_tokens > 0
        {
            self.output_lengths
                .observe(&exchange.client_account, &exchange.model, output_tokens);
        }
        let Some(view) = self.view_at(exchange.slot, exchange.generation) else {
            return;
        };
        view.on_end(now_ms, exchange.output_tokens_left);
        match end {
            ExchangeEnd::Complete { .. } => {
                view.circuit.on_success();
                view.on_duration(actual_ms, exchange.expected_ms);
                let (service, kind) = (view.service.clone(), view.kind);
                if kind == ServiceKind::Plain {
                    self.on_plain_duration(&service, actual_ms);
                }
            }
            ExchangeEnd::Cancelled if exchange.probe => view.circuit.on_probe_cancelled(),
            ExchangeEnd::Cancelled => {}
        }
    }

    /// Records that an exchange has failed at its upstream.
    pub fn on_failure(&mut self, now_ms: u64, id: ExchangeId, failure: ExchangeFailure) {
        let Some(exchange) = self.exchanges.remove(&id) else {
            return;
        };
        let jitter = self.rng.f64();
        let Some(view) = self.view_at(exchange.slot, exchange.generation) else {
            return;
        };
        view.on_end(now_ms, exchange.output_tokens_left);
        view.circuit.on_failure(now_ms, failure, jitter);
        if failure == ExchangeFailure::Connect {
            self.reset_cache(exchange.slot);
        }
    }

    /// Records that a connection to an upstream failed outside any exchange, for example for a load report.
    pub fn on_unreachable(&mut self, now_ms: u64, upstream: &Name) {
        let jitter = self.rng.f64();
        let Some(slot) = self.by_name.get(upstream).copied() else {
            return;
        };
        if let Some(view) = self.slots[slot as usize].view.as_mut() {
            view.circuit
                .on_failure(now_ms, ExchangeFailure::Connect, jitter);
        }
        self.reset_cache(slot);
    }

    /// Applies cache events numbered from `first`. Duplicates are skipped, and gaps lower the confidence.
    pub fn on_cache_events(&mut self, upstream: &Name, first: u64, events: &[CacheEvent]) {
        let Some(slot) = self.by_name.get(upstream).copied() else {
            return;
        };
        if let Some(view) = self.slots[slot as usize].view.as_mut() {
            view.cache.on_events(first, events, &mut self.cache_index);
        }
    }

    /// Returns the number of the last applied cache event, so that the later events can be requested.
    pub fn cache_events_seen(&self, upstream: &Name) -> u64 {
        self.view(upstream)
            .map_or(0, |view| view.cache.events_seen())
    }

    /// Returns the estimated share of the expected chunks that an upstream's cache actually holds, from 0 to 1.
    pub fn cache_confidence(&self, upstream: &Name) -> f64 {
        self.view(upstream)
            .map_or(0.0, |view| view.cache.confidence())
    }

    /// Returns the expected length of an answer of which `delivered` tokens are delivered, in tokens.
    pub fn expected_output(&self, client_account: &Name, model: &Name, delivered: u32) -> u32 {
        self.output_lengths
            .expected(client_account, model, delivered)
    }

    /// Takes one retry from the budgets of the failed upstream and of the client account. Returns whether both budgets
    /// had one.
    pub fn take_retry(&mut self, upstream: &Name, client_account: &Name) -> bool {
        self.retry_budgets.take(upstream, client_account)
    }

    /// Returns whether an upstream may get new requests.
    pub fn accepts(&self, now_ms: u64, upstream: &Name) -> bool {
        self.view(upstream).is_some_and(|view| view.accepts(now_ms))
    }

    /// Returns the number of the instance's own open exchanges at an upstream.
    pub fn outstanding(&self, upstream: &Name) -> u32 {
        self.view(upstream).map_or(0, |view| view.outstanding)
    }

    /// Returns the estimated number of requests from all instances that run or wait at an upstream.
    pub fn in_flight(&self, now_ms: u64, upstream: &Name) -> f64 {
        self.view(upstream)
            .map_or(0.0, |view| view.in_flight(now_ms))
    }

    /// Returns the output tokens that are still expected for the instance's own open exchanges at an upstream.
    pub fn output_tokens_expected(&self, upstream: &Name) -> u64 {
        self.view(upstream)
            .map_or(0, |view| view.output_tokens_expected)
    }

    /// Returns the role of an upstream by its last report.
    pub fn role(&self, upstream: &Name) -> Option<Role> {
        self.view(upstream).map(|view| view.role)
    }

    /// Returns the size of the state, for capacity planning.
    pub fn size(&self) -> StateSize {
        let views = || self.slots.iter().filter_map(|slot| slot.view.as_ref());
        let cache_bytes: usize = views().map(|view| view.cache.bytes()).sum();
        let index_bytes = self.slots.len() * (size_of::<TableSlot>() - size_of::<UpstreamView>())
            + self.by_name.capacity() * 8 / 7 * (size_of::<(Name, u32)>() + 1);
        StateSize {
            upstreams: views().count(),
            upstream_bytes: index_bytes + views().map(UpstreamView::bytes).sum::<usize>(),
            cached_chunks: views().map(|view| view.cache.len()).sum(),
            cached_chunk_bytes: cache_bytes + self.cache_index.bytes(),
            distinct_chunks: self.cache_index.len(),
        }
    }

    pub(crate) fn slot_view(&self, slot: u32) -> Option<&UpstreamView> {
        self.slots.get(slot as usize)?.view.as_ref()
    }

    fn view(&self, upstream: &Name) -> Option<&UpstreamView> {
        self.slot_view(*self.by_name.get(upstream)?)
    }

    fn view_mut(&mut self, upstream: &Name) -> Option<&mut UpstreamView> {
        let slot = *self.by_name.get(upstream)?;
        self.slots[slot as usize].view.as_mut()
    }

    fn view_at(&mut self, slot: u32, generation: u32) -> Option<&mut UpstreamView> {
        let table_slot = self.slots.get_mut(slot as usize)?;
        if table_slot.generation != generation {
            return None;
        }
        table_slot.view.as_mut()
    }

    fn configure(&mut self, upstream: &conf::Upstream, kind: ServiceKind) {
        if let Some(view) = self.view_mut(&upstream.name) {
            view.configure(upstream, kind);
            return;
        }
        let free = self.slots.iter().position(|slot| slot.view.is_none());
        let slot = free.unwrap_or(self.slots.len());
        let mut view = UpstreamView::new(slot as u32, upstream, kind);
        view.draining = self.draining.contains(&upstream.name);
        if slot == self.slots.len() {
            self.slots.push(TableSlot {
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
        self.reset_cache(slot);
        let table_slot = &mut self.slots[slot as usize];
        table_slot.view = None;
        table_slot.generation += 1;
    }

    fn rebuild_services(&mut self, config: &ServiceConfig) {
        let previous = std::mem::take(&mut self.services);
        for service in &config.services {
            let plain_request_ms = previous
                .get(&service.name)
                .map_or(DEFAULT_PLAIN_REQUEST_MS, |state| state.plain_request_ms);
            let state = ServiceState {
                kind: service.kind,
                plain_request_ms,
                ..ServiceState::default()
            };
            self.services.insert(service.name.clone(), state);
        }
        for upstream in &config.upstreams {
            if let Some(state) = self.services.get_mut(&upstream.service) {
                state.members.push(self.by_name[&upstream.name]);
            }
        }
    }

    fn reset_cache(&mut self, slot: u32) {
        let view = self.slots[slot as usize].view.as_mut();
        let cache: Option<&mut CacheView> = view.map(|view| &mut view.cache);
        if let Some(cache) = cache {
            cache.reset(&mut self.cache_index);
        }
    }

    fn on_plain_duration(&mut self, service: &Name, actual_ms: u64) {
        if let Some(state) = self.services.get_mut(service) {
            state.plain_request_ms +=
                (actual_ms as f64 - state.plain_request_ms) * PLAIN_REQUEST_SMOOTHING;
        }
    }

    /// Returns the interned numbers of loaded models. `MODEL@VERSION` counts as `MODEL`.
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
