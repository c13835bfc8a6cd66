//! The queue of one rank and service, with fair sharing between client accounts.

use std::collections::BTreeMap;

use conf::{Map, Name};

use crate::limit::ClientAccountLimits;
use crate::waiting::WaitingRequest;

/// Number of virtual tokens by which a client account may be ahead of the waiting account with the fewest virtual
/// tokens. The requests of an account that is further ahead wait, whatever their deadlines.
const FAIRNESS_SLACK_TOKENS: f64 = 16_000.0;
/// Width of a bucket of the waiting tokens by deadline, in milliseconds.
const DEADLINE_BUCKET_MS: u64 = 250;
/// Number of client accounts in a queue above which idle accounts are evicted.
const IDLE_ACCOUNTS_MAX: usize = 64;

/// Sort key inside a client account's queue: the earliest deadline in milliseconds, then the sequence number of the
/// arrival.
pub(crate) type SortKey = (u64, u64);

/// Identifies a waiting request in a rank queue.
#[derive(Clone, Debug)]
pub(crate) struct QueueKey {
    pub(crate) client_account: Name,
    pub(crate) model: Name,
    pub(crate) sort_key: SortKey,
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

/// The waiting requests of one client account in a rank queue.
#[derive(Clone, Debug, Default)]
struct ClientAccountQueue {
    /// Tokens served, divided by the client account's weight.
    virtual_tokens: f64,
    by_model: Map<Name, BTreeMap<SortKey, WaitingRequest>>,
    len: usize,
    tokens: u64,
}

/// The waiting requests of one rank and service, by client account.
#[derive(Clone, Debug, Default)]
pub(crate) struct RankQueue {
    account_queues: Map<Name, ClientAccountQueue>,
    /// Largest virtual tokens of a client account at one of its dispatches. An account whose queue was empty starts
    /// from this value.
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
            .entry(key.sort_key.0 / DEADLINE_BUCKET_MS)
            .or_default() += u64::from(waiting.tokens);
        let account_queue = self.account_queues.entry(key.client_account).or_default();
        if account_queue.len == 0 {
            account_queue.virtual_tokens = account_queue.virtual_tokens.max(self.virtual_time);
        }
        account_queue.len += 1;
        account_queue.tokens += u64::from(waiting.tokens);
        let model_queue = account_queue.by_model.entry(key.model).or_default();
        model_queue.insert(key.sort_key, waiting);
    }

    /// Returns the request with the earliest deadline among the client accounts that are ahead by no more than
    /// `FAIRNESS_SLACK_TOKENS`.
    pub(crate) fn find(&self, blocked: &Blocked) -> Option<QueueKey> {
        let heads = || {
            self.account_queues
                .iter()
                .filter_map(|(name, account_queue)| {
                    let (sort_key, model) = account_queue.head(blocked)?;
                    Some((name, account_queue.virtual_tokens, sort_key, model))
                })
        };
        let least_tokens = heads().map(|head| head.1).fold(f64::INFINITY, f64::min);
        heads()
            .filter(|head| head.1 <= least_tokens + FAIRNESS_SLACK_TOKENS)
            .min_by_key(|head| head.2)
            .map(|(name, _, sort_key, model)| QueueKey {
                client_account: name.clone(),
                model: model.clone(),
                sort_key,
            })
    }

    /// Removes a request for its dispatch and charges its tokens to its client account.
    pub(crate) fn dispatch(
        &mut self,
        key: &QueueKey,
        limits: &ClientAccountLimits,
    ) -> Option<WaitingRequest> {
        let waiting = self.remove(key)?;
        let weight = limits.weight(&key.client_account);
        if let Some(account_queue) = self.account_queues.get_mut(&key.client_account) {
            self.virtual_time = self.virtual_time.max(account_queue.virtual_tokens);
            account_queue.virtual_tokens += f64::from(waiting.tokens) / weight;
        }
        self.evict_idle_accounts();
        Some(waiting)
    }

    /// Removes a request without a charge to its client account.
    pub(crate) fn remove(&mut self, key: &QueueKey) -> Option<WaitingRequest> {
        let account_queue = self.account_queues.get_mut(&key.client_account)?;
        let model_queue = account_queue.by_model.get_mut(&key.model)?;
        let waiting = model_queue.remove(&key.sort_key)?;
        if model_queue.is_empty() {
            account_queue.by_model.remove(&key.model);
        }
        let tokens = u64::from(waiting.tokens);
        account_queue.len -= 1;
        account_queue.tokens -= tokens;
        self.len -= 1;
        self.tokens -= tokens;
        self.remove_due_tokens(key.sort_key.0 / DEADLINE_BUCKET_MS, tokens);
        Some(waiting)
    }

    pub(crate) fn get(&self, key: &QueueKey) -> Option<&WaitingRequest> {
        let account_queue = self.account_queues.get(&key.client_account)?;
        account_queue.by_model.get(&key.model)?.get(&key.sort_key)
    }

    /// Returns the client account with the most waiting requests relative to its weight, and that ratio.
    pub(crate) fn most_queued_account(&self, limits: &ClientAccountLimits) -> Option<(&Name, f64)> {
        let ratios = self
            .account_queues
            .iter()
            .map(|(name, account_queue)| (name, account_queue.len as f64 / limits.weight(name)));
        ratios.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    pub(crate) fn account_len(&self, client_account: &Name) -> usize {
        self.account_queues
            .get(client_account)
            .map_or(0, |account_queue| account_queue.len)
    }

    /// Returns the client account's request with the latest deadline. Readmitted requests are skipped, because they may
    /// have run in part.
    pub(crate) fn latest_request_of(&self, client_account: &Name) -> Option<QueueKey> {
        let queues = self.account_queues.get(client_account)?.by_model.iter();
        let latest_requests = queues.filter_map(|(model, queue)| {
            let mut displaceable = queue
                .iter()
                .rev()
                .filter(|(_, waiting)| !waiting.readmitted);
            Some((*displaceable.next()?.0, model))
        });
        let (sort_key, model) = latest_requests.max_by_key(|request| request.0)?;
        Some(QueueKey {
            client_account: client_account.clone(),
            model: model.clone(),
            sort_key,
        })
    }

    /// Returns the request with the earliest deadline of each client account and model.
    pub(crate) fn heads(&self) -> impl Iterator<Item = &WaitingRequest> {
        let queues = self.account_queues.values();
        let queues = queues.flat_map(|account_queue| account_queue.by_model.values());
        queues.filter_map(|queue| queue.values().next())
    }

    /// Returns the tokens that would be dispatched before a new request of `client_account`: the tokens due earlier,
    /// but no more than the fair shares of the other client accounts allow until the client account's own requests are
    /// dispatched.
    pub(crate) fn tokens_ahead(
        &self,
        client_account: &Name,
        new: &WaitingRequest,
        limits: &ClientAccountLimits,
    ) -> f64 {
        let last_bucket = new.first_deadline_ms() / DEADLINE_BUCKET_MS;
        let due_tokens: u64 = self
            .tokens_by_deadline
            .range(..=last_bucket)
            .map(|(_, tokens)| tokens)
            .sum();
        let waiting = self
            .account_queues
            .iter()
            .filter(|(_, queue)| queue.len > 0);
        let others = waiting.filter(|(name, _)| *name != client_account);
        let other_weights: f64 = others.map(|(name, _)| limits.weight(name)).sum();
        let own_tokens = self
            .account_queues
            .get(client_account)
            .map_or(0, |queue| queue.tokens) as f64;
        let own_tokens_with_new = own_tokens + f64::from(new.tokens);
        let fair_tokens = own_tokens
            + own_tokens_with_new * other_weights / limits.weight(client_account)
            + FAIRNESS_SLACK_TOKENS;
        (due_tokens as f64).min(fair_tokens)
    }

    fn remove_due_tokens(&mut self, bucket: u64, tokens: u64) {
        if let Some(due_tokens) = self.tokens_by_deadline.get_mut(&bucket) {
            *due_tokens -= tokens;
            if *due_tokens == 0 {
                self.tokens_by_deadline.remove(&bucket);
            }
        }
    }

    /// Evicts client accounts without waiting requests that are not ahead of `virtual_time`. A new queue would start at
    /// the same value.
    fn evict_idle_accounts(&mut self) {
        if self.account_queues.len() <= IDLE_ACCOUNTS_MAX {
            return;
        }
        let virtual_time = self.virtual_time;
        self.account_queues
            .retain(|_, queue| queue.len > 0 || queue.virtual_tokens > virtual_time);
    }
}

impl ClientAccountQueue {
    fn head(&self, blocked: &Blocked) -> Option<(SortKey, &Name)> {
        let is_searched = |(model, _): &(&Name, _)| !blocked.models.contains(model);
        let queues = self.by_model.iter().filter(is_searched);
        let heads = queues.filter_map(|(model, queue)| {
            let mut sort_keys = queue.keys();
            let sort_key = sort_keys.find(|(_, sequence)| !blocked.sequences.contains(sequence));
            Some((*sort_key?, model))
        });
        heads.min_by_key(|head| head.0)
    }
}
