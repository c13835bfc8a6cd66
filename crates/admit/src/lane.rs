//! The queue of one rank and service, with fair sharing between tenants.

use std::collections::BTreeMap;

use conf::{Map, Name};

use crate::limit::TenantLimits;
use crate::waiting::WaitingRequest;

/// Lead in virtual tokens up to which a tenant still competes by deadline. A tenant that leads by more waits.
const FAIRNESS_SLACK_TOKENS: f64 = 16_000.0;
/// Width of a bucket of the waiting tokens by deadline, in milliseconds.
const DEADLINE_BUCKET_MS: u64 = 250;
/// Number of tenants in a queue above which idle tenants are evicted.
const IDLE_TENANTS_MAX: usize = 64;

/// Sort key inside a tenant's queue: the earliest deadline in milliseconds, then the sequence number of the arrival.
pub(crate) type Position = (u64, u64);

/// Identifies a waiting request in a rank queue.
#[derive(Clone, Debug)]
pub(crate) struct QueueKey {
    pub(crate) tenant: Name,
    pub(crate) model: Name,
    pub(crate) position: Position,
}

/// Models and requests that a search skips because no upstream has a free slot for them, and the fit checks of the
/// search so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Blocked {
    pub(crate) models: Vec<Name>,
    pub(crate) sequences: Vec<u64>,
    /// Number of requests checked for a fit, by model.
    pub(crate) fit_checks: Map<Name, usize>,
}

#[derive(Clone, Debug, Default)]
struct TenantQueue {
    /// Tokens served, divided by the tenant's weight.
    virtual_tokens: f64,
    by_model: Map<Name, BTreeMap<Position, WaitingRequest>>,
    len: usize,
    tokens: u64,
}

/// The waiting requests of one rank and service, by tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankQueue {
    tenants: Map<Name, TenantQueue>,
    /// Largest virtual tokens of a tenant at one of its dispatches. A tenant whose queue was empty starts from this
    /// value.
    virtual_time: f64,
    /// Waiting tokens by deadline, in buckets of `DEADLINE_BUCKET_MS`.
    tokens_by_deadline: BTreeMap<u64, u64>,
    pub(crate) len: usize,
    pub(crate) tokens: u64,
}

impl RankQueue {
    pub(crate) fn push(&mut self, key: QueueKey, waiting: WaitingRequest) {
        self.len += 1;
        self.tokens += u64::from(waiting.tokens);
        *self
            .tokens_by_deadline
            .entry(key.position.0 / DEADLINE_BUCKET_MS)
            .or_default() += u64::from(waiting.tokens);
        let tenant = self.tenants.entry(key.tenant).or_default();
        if tenant.len == 0 {
            tenant.virtual_tokens = tenant.virtual_tokens.max(self.virtual_time);
        }
        tenant.len += 1;
        tenant.tokens += u64::from(waiting.tokens);
        let queue = tenant.by_model.entry(key.model).or_default();
        queue.insert(key.position, waiting);
    }

    /// Returns the request with the earliest deadline among the tenants that do not lead by more than the slack.
    pub(crate) fn find(&self, blocked: &Blocked) -> Option<QueueKey> {
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
            .map(|(name, _, position, model)| QueueKey {
                tenant: name.clone(),
                model: model.clone(),
                position,
            })
    }

    /// Removes a request for its dispatch and charges its tokens to its tenant.
    pub(crate) fn dispatch(
        &mut self,
        key: &QueueKey,
        limits: &TenantLimits,
    ) -> Option<WaitingRequest> {
        let waiting = self.remove(key)?;
        let weight = limits.weight(&key.tenant);
        if let Some(tenant) = self.tenants.get_mut(&key.tenant) {
            self.virtual_time = self.virtual_time.max(tenant.virtual_tokens);
            tenant.virtual_tokens += f64::from(waiting.tokens) / weight;
        }
        self.evict_idle_tenants();
        Some(waiting)
    }

    /// Removes a request without a charge to its tenant.
    pub(crate) fn remove(&mut self, key: &QueueKey) -> Option<WaitingRequest> {
        let tenant = self.tenants.get_mut(&key.tenant)?;
        let queue = tenant.by_model.get_mut(&key.model)?;
        let waiting = queue.remove(&key.position)?;
        if queue.is_empty() {
            tenant.by_model.remove(&key.model);
        }
        let tokens = u64::from(waiting.tokens);
        tenant.len -= 1;
        tenant.tokens -= tokens;
        self.len -= 1;
        self.tokens -= tokens;
        self.remove_due_tokens(key.position.0 / DEADLINE_BUCKET_MS, tokens);
        Some(waiting)
    }

    pub(crate) fn get(&self, key: &QueueKey) -> Option<&WaitingRequest> {
        let tenant = self.tenants.get(&key.tenant)?;
        tenant.by_model.get(&key.model)?.get(&key.position)
    }

    /// Returns the tenant with the most waiting requests relative to its weight, and that ratio.
    pub(crate) fn heaviest_tenant(&self, limits: &TenantLimits) -> Option<(&Name, f64)> {
        let ratios = self
            .tenants
            .iter()
            .map(|(name, tenant)| (name, tenant.len as f64 / limits.weight(name)));
        ratios.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    pub(crate) fn tenant_len(&self, tenant: &Name) -> usize {
        self.tenants.get(tenant).map_or(0, |tenant| tenant.len)
    }

    /// Returns the tenant's request with the latest deadline. Readmitted requests are skipped, because they may have
    /// run in part.
    pub(crate) fn latest_of(&self, tenant: &Name) -> Option<QueueKey> {
        let queues = self.tenants.get(tenant)?.by_model.iter();
        let lasts = queues.filter_map(|(model, queue)| {
            let mut new = queue
                .iter()
                .rev()
                .filter(|(_, waiting)| !waiting.readmitted);
            Some((*new.next()?.0, model))
        });
        let (position, model) = lasts.max_by_key(|last| last.0)?;
        Some(QueueKey {
            tenant: tenant.clone(),
            model: model.clone(),
            position,
        })
    }

    /// Returns the request with the earliest deadline of each tenant and model.
    pub(crate) fn heads(&self) -> impl Iterator<Item = &WaitingRequest> {
        let queues = self.tenants.values();
        let queues = queues.flat_map(|tenant| tenant.by_model.values());
        queues.filter_map(|queue| queue.values().next())
    }

    /// Returns the tokens that would be dispatched before a new request of `tenant`: the tokens due earlier, but no
    /// more than the fair shares of the other tenants allow until the tenant's own requests are dispatched.
    pub(crate) fn tokens_ahead(
        &self,
        tenant: &Name,
        new: &WaitingRequest,
        limits: &TenantLimits,
    ) -> f64 {
        let last_bucket = new.first_deadline_ms() / DEADLINE_BUCKET_MS;
        let due_tokens: u64 = self
            .tokens_by_deadline
            .range(..=last_bucket)
            .map(|(_, tokens)| tokens)
            .sum();
        let waiting = self.tenants.iter().filter(|(_, queue)| queue.len > 0);
        let others = waiting.filter(|(name, _)| *name != tenant);
        let other_weights: f64 = others.map(|(name, _)| limits.weight(name)).sum();
        let own = self.tenants.get(tenant).map_or(0, |queue| queue.tokens) as f64;
        let own_turn = own + f64::from(new.tokens);
        let fair = own + own_turn * other_weights / limits.weight(tenant) + FAIRNESS_SLACK_TOKENS;
        (due_tokens as f64).min(fair)
    }

    fn remove_due_tokens(&mut self, bucket: u64, tokens: u64) {
        if let Some(due_tokens) = self.tokens_by_deadline.get_mut(&bucket) {
            *due_tokens -= tokens;
            if *due_tokens == 0 {
                self.tokens_by_deadline.remove(&bucket);
            }
        }
    }

    /// Evicts tenants without waiting requests that are not ahead of `virtual_time`. A new queue would start at the
    /// same value.
    fn evict_idle_tenants(&mut self) {
        if self.tenants.len() <= IDLE_TENANTS_MAX {
            return;
        }
        let virtual_time = self.virtual_time;
        self.tenants
            .retain(|_, tenant| tenant.len > 0 || tenant.virtual_tokens > virtual_time);
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
