//! The requests of one rank that wait for one service.

use std::collections::BTreeMap;

use conf::{Map, Name};

use crate::limit::TenantLimits;
use crate::waiting::Waiting;

/// Tokens by which tenants may be apart before fairness counts more than deadlines.
const FAIRNESS_SLACK_TOKENS: f64 = 16_000.0;
/// Width of a step of the sums by deadline, in milliseconds.
const DUE_STEP_MS: u64 = 250;
/// Tenants without waiting requests that are remembered.
const IDLE_TENANTS_MAX: usize = 64;

/// Order inside a tenant's queue: earliest deadline, then arrival.
pub(crate) type Position = (u64, u64);

/// Names a waiting request of a lane.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) tenant: Name,
    pub(crate) model: Name,
    pub(crate) position: Position,
}

/// What a search has to pass over, because no upstream has a place for it now.
#[derive(Clone, Debug, Default)]
pub(crate) struct Blocked {
    pub(crate) models: Vec<Name>,
    pub(crate) sequences: Vec<u64>,
    /// Requests asked about, by model.
    pub(crate) asked: Map<Name, usize>,
}

#[derive(Clone, Debug, Default)]
struct TenantQueue {
    /// Tokens served, divided by the tenant's weight.
    virtual_tokens: f64,
    by_model: Map<Name, BTreeMap<Position, Waiting>>,
    len: usize,
    tokens: u64,
}

/// Queues of one rank and service, by tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    tenants: Map<Name, TenantQueue>,
    /// Virtual tokens of the tenant served last. A tenant that starts anew starts here.
    virtual_now: f64,
    /// Waiting tokens by deadline, in steps.
    due: BTreeMap<u64, u64>,
    pub(crate) len: usize,
    pub(crate) tokens: u64,
}

impl Lane {
    pub(crate) fn push(&mut self, place: Place, waiting: Waiting) {
        self.len += 1;
        self.tokens += u64::from(waiting.tokens);
        *self.due.entry(place.position.0 / DUE_STEP_MS).or_default() += u64::from(waiting.tokens);
        let tenant = self.tenants.entry(place.tenant).or_default();
        if tenant.len == 0 {
            tenant.virtual_tokens = tenant.virtual_tokens.max(self.virtual_now);
        }
        tenant.len += 1;
        tenant.tokens += u64::from(waiting.tokens);
        let queue = tenant.by_model.entry(place.model).or_default();
        queue.insert(place.position, waiting);
    }

    /// The next request: the earliest deadline among the tenants that are not ahead of their shares.
    pub(crate) fn find(&self, blocked: &Blocked) -> Option<Place> {
        let heads = || {
            self.tenants.iter().filter_map(|(name, tenant)| {
                let (position, model) = tenant.head(blocked)?;
                Some((name, tenant.virtual_tokens, position, model))
            })
        };
        let least = heads().map(|head| head.1).fold(f64::INFINITY, f64::min);
        heads()
            .filter(|head| head.1 <= least + FAIRNESS_SLACK_TOKENS)
            .min_by_key(|head| head.2)
            .map(|(name, _, position, model)| Place {
                tenant: name.clone(),
                model: model.clone(),
                position,
            })
    }

    /// Takes a request out to dispatch it and charges its tenant.
    pub(crate) fn serve(&mut self, place: &Place, limits: &TenantLimits) -> Option<Waiting> {
        let waiting = self.remove(place)?;
        let weight = limits.weight(&place.tenant);
        if let Some(tenant) = self.tenants.get_mut(&place.tenant) {
            self.virtual_now = self.virtual_now.max(tenant.virtual_tokens);
            tenant.virtual_tokens += f64::from(waiting.tokens) / weight;
        }
        self.forget_idle();
        Some(waiting)
    }

    /// Takes a request out without serving it.
    pub(crate) fn remove(&mut self, place: &Place) -> Option<Waiting> {
        let tenant = self.tenants.get_mut(&place.tenant)?;
        let queue = tenant.by_model.get_mut(&place.model)?;
        let waiting = queue.remove(&place.position)?;
        if queue.is_empty() {
            tenant.by_model.remove(&place.model);
        }
        let tokens = u64::from(waiting.tokens);
        tenant.len -= 1;
        tenant.tokens -= tokens;
        self.len -= 1;
        self.tokens -= tokens;
        self.remove_due(place.position.0 / DUE_STEP_MS, tokens);
        Some(waiting)
    }

    pub(crate) fn get(&self, place: &Place) -> Option<&Waiting> {
        let tenant = self.tenants.get(&place.tenant)?;
        tenant.by_model.get(&place.model)?.get(&place.position)
    }

    /// The tenant that waits with the most requests for its weight, and that ratio.
    pub(crate) fn fullest(&self, limits: &TenantLimits) -> Option<(&Name, f64)> {
        let ratios = self
            .tenants
            .iter()
            .map(|(name, tenant)| (name, tenant.len as f64 / limits.weight(name)));
        ratios.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    pub(crate) fn len_of(&self, tenant: &Name) -> usize {
        self.tenants.get(tenant).map_or(0, |tenant| tenant.len)
    }

    /// The tenant's request with the latest deadline. Readmitted ones are passed over: they may have run in part.
    pub(crate) fn last_of(&self, tenant: &Name) -> Option<Place> {
        let queues = self.tenants.get(tenant)?.by_model.iter();
        let lasts = queues.filter_map(|(model, queue)| {
            let mut new = queue
                .iter()
                .rev()
                .filter(|(_, waiting)| !waiting.readmitted);
            Some((*new.next()?.0, model))
        });
        let (position, model) = lasts.max_by_key(|last| last.0)?;
        Some(Place {
            tenant: tenant.clone(),
            model: model.clone(),
            position,
        })
    }

    /// Requests with the earliest deadlines of their queues.
    pub(crate) fn heads(&self) -> impl Iterator<Item = &Waiting> {
        let queues = self.tenants.values();
        let queues = queues.flat_map(|tenant| tenant.by_model.values());
        queues.filter_map(|queue| queue.values().next())
    }

    /// Tokens that would be served before a new request of `tenant`: those due earlier, but no more than the fair shares
    /// of the other tenants allow while the tenant's own requests are served.
    pub(crate) fn tokens_ahead(&self, tenant: &Name, new: &Waiting, limits: &TenantLimits) -> f64 {
        let last_step = new.first_deadline_ms() / DUE_STEP_MS;
        let due: u64 = self.due.range(..=last_step).map(|(_, tokens)| tokens).sum();
        let waiting = self.tenants.iter().filter(|(_, queue)| queue.len > 0);
        let others = waiting.filter(|(name, _)| *name != tenant);
        let other_weights: f64 = others.map(|(name, _)| limits.weight(name)).sum();
        let own = self.tenants.get(tenant).map_or(0, |queue| queue.tokens) as f64;
        let own_turn = own + f64::from(new.tokens);
        let fair = own + own_turn * other_weights / limits.weight(tenant) + FAIRNESS_SLACK_TOKENS;
        (due as f64).min(fair)
    }

    fn remove_due(&mut self, step: u64, tokens: u64) {
        if let Some(due) = self.due.get_mut(&step) {
            *due -= tokens;
            if *due == 0 {
                self.due.remove(&step);
            }
        }
    }

    /// Drops tenants that wait for nothing and are not ahead: a new queue would start at the same point.
    fn forget_idle(&mut self) {
        if self.tenants.len() <= IDLE_TENANTS_MAX {
            return;
        }
        let virtual_now = self.virtual_now;
        self.tenants
            .retain(|_, tenant| tenant.len > 0 || tenant.virtual_tokens > virtual_now);
    }
}

impl TenantQueue {
    fn head(&self, blocked: &Blocked) -> Option<(Position, &Name)> {
        let open = |(model, _): &(&Name, _)| !blocked.models.contains(model);
        let queues = self.by_model.iter().filter(open);
        let heads = queues.filter_map(|(model, queue)| {
            let mut positions = queue.keys();
            let position = positions.find(|(_, sequence)| !blocked.sequences.contains(sequence));
            Some((*position?, model))
        });
        heads.min_by_key(|head| head.0)
    }
}
