//! The rank queues of all services on one instance.

use std::collections::BTreeMap;

use conf::service::RANK_COUNT;
use conf::{Map, Name, RankPolicy, ServiceConfig};

use crate::dispatch_rate::DispatchRate;
use crate::limit::ClientAccountLimits;
use crate::preempt::{DeadlineRisk, Preemption, RunningRequest, choose_victim};
use crate::rank_queue::{Blocked, QueueKey, RankQueue};
use crate::token_window::TokenWindow;
use crate::waiting::{Discipline, Refusal, RefusedRequest, WaitingRequest};

/// Shortest time after which a refused caller may retry, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Smallest share of the capacity that a wait estimate assumes, so that the estimate stays finite.
const SHARE_MIN: f64 = 0.01;
/// Requests of one rank and model that one search checks for a fit before the model counts as full. Some requests do
/// not fit because of their own exclusions, deadlines or prefixes while others do.
const FIT_CHECKS_MAX: usize = 8;

/// The queues of one service.
#[derive(Clone, Debug, Default)]
struct ServiceQueues {
    rank_queues: [RankQueue; RANK_COUNT],
    window: TokenWindow,
    dispatch_rate: DispatchRate,
}

impl ServiceQueues {
    fn len(&self) -> usize {
        self.rank_queues.iter().map(|queue| queue.len).sum()
    }
}

/// The queue in which a request waits, and the request's key in that queue.
#[derive(Clone, Debug)]
struct Location {
    service: Name,
    queue_index: usize,
    queue_key: QueueKey,
}

/// Tokens charged to a rank for a dispatched request.
#[derive(Clone, Debug)]
struct Charge {
    service: Name,
    rank: usize,
    tokens: u32,
}

/// The queues of one instance.
#[derive(Clone, Debug)]
pub struct Queues {
    discipline: Discipline,
    ranks: Vec<RankPolicy>,
    limits: ClientAccountLimits,
    services: Map<Name, ServiceQueues>,
    /// Names of the services in round-robin order.
    service_order: Vec<Name>,
    /// Waiting requests by the last time at which a dispatch can still meet the deadline, and by sequence number of the
    /// arrival.
    latest_starts: BTreeMap<(u64, u64), Location>,
    /// Keys of `latest_starts` by the identifier of the request.
    by_id: Map<u64, (u64, u64)>,
    /// Charges of the dispatched requests by the identifier of the request.
    charges: Map<u64, Charge>,
    /// Expired and displaced requests that `expire` has not returned yet.
    refused: Vec<RefusedRequest>,
    sequence: u64,
}

impl Queues {
    /// Creates empty queues.
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            ranks: vec![RankPolicy::default(); RANK_COUNT],
            limits: ClientAccountLimits::default(),
            services: Map::default(),
            service_order: Vec::new(),
            latest_starts: BTreeMap::new(),
            by_id: Map::default(),
            charges: Map::default(),
            refused: Vec::new(),
            sequence: 0,
        }
    }

    /// Applies a configuration. Waiting requests stay in their queues.
    pub fn apply_config(&mut self, config: &ServiceConfig) {
        for (rank, policy) in config.ranks.iter().take(RANK_COUNT).enumerate() {
            self.ranks[rank] = policy.clone();
        }
        self.limits.apply(&config.client_accounts);
    }

    /// Puts a request into its queue.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused. A refused request has not run since it was offered. [`expire`](Self::expire)
    /// returns the requests that a later request displaces.
    pub fn offer(&mut self, now_ms: u64, mut waiting: WaitingRequest) -> Result<(), Refusal> {
        waiting.rank = waiting.rank.min(RANK_COUNT as u8 - 1);
        waiting.tokens = waiting.tokens.max(1);
        if self.by_id.contains_key(&waiting.id) {
            return Ok(());
        }
        if !waiting.readmitted {
            self.check_rate(now_ms, &waiting)?;
        }
        self.check_deadline(now_ms, &waiting)?;
        if !waiting.readmitted {
            self.displace_if_full(now_ms, &waiting)?;
        }
        self.insert(waiting);
        Ok(())
    }

    /// Removes and returns the next request to dispatch, or `None` if no waiting request fits.
    ///
    /// `fits` returns whether an upstream has a free slot for a request. One call checks up to `FIT_CHECKS_MAX`
    /// requests of each rank, service and model in their order, until one fits. If a rank below its floor has requests
    /// of a model but none fits, the next free slot of that model is reserved for that rank.
    pub fn next(
        &mut self,
        now_ms: u64,
        mut fits: impl FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        self.refuse_expired(now_ms);
        for index in 0..self.service_order.len() {
            let service = self.service_order[index].clone();
            if let Some(waiting) = self.next_of_service(now_ms, &service, &mut fits) {
                // A service whose request was dispatched moves to the end of the round-robin order.
                self.service_order[index..].rotate_left(1);
                return Some(waiting);
            }
        }
        None
    }

    /// Removes the requests that can no longer be answered in time, and returns them with the displaced requests.
    pub fn expire(&mut self, now_ms: u64) -> Vec<RefusedRequest> {
        self.refuse_expired(now_ms);
        std::mem::take(&mut self.refused)
    }

    /// Removes a request whose caller has left. Returns whether it was waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        let Some(key) = self.by_id.get(&id).copied() else {
            return false;
        };
        self.remove(key).is_some()
    }

    /// Records that a dispatched request has ended after it used `tokens`, and corrects the charge to its rank.
    pub fn on_finish(&mut self, now_ms: u64, id: u64, tokens: u32) {
        let Some(charge) = self.charges.remove(&id) else {
            return;
        };
        if let Some(queues) = self.services.get_mut(&charge.service) {
            let correction = f64::from(tokens) - f64::from(charge.tokens);
            queues.window.add(now_ms, charge.rank, correction);
            queues.dispatch_rate.correct(correction);
        }
    }

    /// Returns a running request to preempt, if its slot lets a more urgent waiting request of `service` meet its
    /// deadline.
    pub fn preempt(
        &mut self,
        now_ms: u64,
        service: &Name,
        running: &[RunningRequest],
    ) -> Option<Preemption> {
        if self.discipline == Discipline::SingleQueue {
            return None;
        }
        let ranks = &self.ranks;
        let queues = self.services.get_mut(service)?;
        queues.window.advance(now_ms);
        let protected: Vec<bool> = (0..RANK_COUNT)
            .map(|rank| queues.window.share(rank) < ranks[rank].floor)
            .collect();
        let dispatch_interval_ms = queues.dispatch_rate.dispatch_interval_ms(now_ms);
        for queue in &queues.rank_queues {
            let mut heads: Vec<&WaitingRequest> = queue.heads().collect();
            heads.sort_unstable_by_key(|waiting| (waiting.first_deadline_ms(), waiting.id));
            for (position, waiting) in heads.into_iter().enumerate() {
                let risk = DeadlineRisk {
                    rank: waiting.rank,
                    latest_start_ms: waiting.latest_start_ms(),
                    wait_ms: dispatch_interval_ms * (position as u64 + 1),
                };
                if !risk.is_met_by_preemption(now_ms) {
                    continue;
                }
                if let Some(victim_id) = choose_victim(risk.rank, running, &protected) {
                    let waiting_id = waiting.id;
                    return Some(Preemption {
                        victim_id,
                        waiting_id,
                    });
                }
            }
        }
        None
    }

    /// Returns the expected wait of a new request until its dispatch, in milliseconds. The wait is 0 while the dispatch
    /// rate is unknown.
    pub fn expected_wait_ms(&self, now_ms: u64, waiting: &WaitingRequest) -> u64 {
        let Some(queues) = self.services.get(&waiting.service) else {
            return 0;
        };
        let Some(dispatch_rate) = queues.dispatch_rate.tokens_per_ms(now_ms) else {
            return 0;
        };
        let rank = usize::from(waiting.rank).min(RANK_COUNT - 1);
        let more_urgent_tokens: u64 = queues.rank_queues[..rank]
            .iter()
            .map(|queue| queue.tokens)
            .sum();
        let same_rank_tokens =
            queues.rank_queues[rank].tokens_ahead(&waiting.client_account, waiting, &self.limits);
        let in_order_ms = (same_rank_tokens + more_urgent_tokens as f64)
            / (dispatch_rate * self.share_left(queues, rank));
        let floor = self.ranks[rank].floor.max(SHARE_MIN);
        let by_floor_ms = (same_rank_tokens + f64::from(waiting.tokens)) / (dispatch_rate * floor);
        in_order_ms.min(by_floor_ms) as u64
    }

    /// Returns the number of waiting requests of a rank.
    pub fn len(&self, rank: usize) -> usize {
        let queues = self.services.values();
        queues.map(|queues| queues.rank_queues[rank].len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns a rank's share of the tokens dispatched for a service in the sliding window, from 0 to 1.
    pub fn share(&self, service: &Name, rank: usize) -> f64 {
        let queues = self.services.get(service);
        queues.map_or(0.0, |queues| queues.window.share(rank))
    }

    fn check_rate(&mut self, now_ms: u64, waiting: &WaitingRequest) -> Result<(), Refusal> {
        self.limits
            .take(now_ms, &waiting.client_account)
            .map_err(|retry_after_ms| Refusal::RateLimited { retry_after_ms })
    }

    fn check_deadline(&self, now_ms: u64, waiting: &WaitingRequest) -> Result<(), Refusal> {
        let (wait_ms, in_time) = match self.discipline {
            Discipline::Ranked => {
                let wait_ms = self.expected_wait_ms(now_ms, waiting);
                (wait_ms, waiting.is_in_time(now_ms + wait_ms))
            }
            Discipline::SingleQueue => (0, now_ms < waiting.deadline_ms),
        };
        if in_time {
            return Ok(());
        }
        let allowed_ms = waiting.latest_start_ms().saturating_sub(now_ms);
        Err(Refusal::TooLate {
            wait_ms,
            allowed_ms,
        })
    }

    /// Checks that the queue is below its limit, and otherwise displaces a request of the client account with the most
    /// waiting requests relative to its weight.
    fn displace_if_full(&mut self, now_ms: u64, waiting: &WaitingRequest) -> Result<(), Refusal> {
        let index = self.queue_index(waiting);
        let limit = self.queue_limit(index);
        let Some(queues) = self.services.get(&waiting.service) else {
            return Ok(());
        };
        let queue = &queues.rank_queues[index];
        if queue.len < limit {
            return Ok(());
        }
        let retry_after_ms = self
            .expected_wait_ms(now_ms, waiting)
            .max(RETRY_AFTER_MIN_MS);
        let full = Refusal::QueueFull { retry_after_ms };
        // `expire` empties the list of refused requests on each tick. The list must not grow without bound in between.
        if self.discipline == Discipline::SingleQueue || self.refused.len() >= limit {
            return Err(full);
        }
        let (most_queued_account, ratio) = queue.most_queued_account(&self.limits).ok_or(full)?;
        let own_ratio = (queue.account_len(&waiting.client_account) + 1) as f64
            / self.limits.weight(&waiting.client_account);
        if own_ratio >= ratio {
            return Err(full);
        }
        let queue_key = queue.latest_request_of(most_queued_account).ok_or(full)?;
        let displaced = queue
            .get(&queue_key)
            .map(|displaced| displaced.id)
            .ok_or(full)?;
        let key = self.by_id[&displaced];
        if let Some(request) = self.remove(key) {
            let refusal = Refusal::Displaced { retry_after_ms };
            self.refused.push(RefusedRequest { request, refusal });
        }
        Ok(())
    }

    fn insert(&mut self, waiting: WaitingRequest) {
        self.sequence += 1;
        let queue_index = self.queue_index(&waiting);
        let queue_key = self.queue_key(&waiting);
        let latest_start_ms = match self.discipline {
            Discipline::Ranked => waiting.latest_start_ms(),
            Discipline::SingleQueue => waiting.deadline_ms,
        };
        let key = (latest_start_ms, self.sequence);
        let location = Location {
            service: waiting.service.clone(),
            queue_index,
            queue_key: queue_key.clone(),
        };
        self.latest_starts.insert(key, location);
        self.by_id.insert(waiting.id, key);
        if !self.services.contains_key(&waiting.service) {
            self.service_order.push(waiting.service.clone());
        }
        let queues = self.services.entry(waiting.service.clone()).or_default();
        queues.rank_queues[queue_index].push(queue_key, waiting);
    }

    fn queue_key(&self, waiting: &WaitingRequest) -> QueueKey {
        let model = waiting.model.clone();
        match self.discipline {
            Discipline::Ranked => QueueKey {
                client_account: waiting.client_account.clone(),
                model,
                sort_key: (waiting.first_deadline_ms(), self.sequence),
            },
            Discipline::SingleQueue => QueueKey {
                client_account: Name::default(),
                model,
                sort_key: (0, self.sequence),
            },
        }
    }

    fn queue_index(&self, waiting: &WaitingRequest) -> usize {
        match self.discipline {
            Discipline::Ranked => usize::from(waiting.rank),
            Discipline::SingleQueue => 0,
        }
    }

    fn queue_limit(&self, queue_index: usize) -> usize {
        match self.discipline {
            Discipline::Ranked => self.ranks[queue_index].queue_limit,
            Discipline::SingleQueue => self.ranks.iter().map(|rank| rank.queue_limit).sum(),
        }
    }

    fn remove(&mut self, key: (u64, u64)) -> Option<WaitingRequest> {
        let location = self.latest_starts.remove(&key)?;
        let queues = self.services.get_mut(&location.service)?;
        let waiting = queues.rank_queues[location.queue_index].remove(&location.queue_key)?;
        self.by_id.remove(&waiting.id);
        Some(waiting)
    }

    fn refuse_expired(&mut self, now_ms: u64) {
        while let Some((key, _)) = self.latest_starts.first_key_value() {
            let key = *key;
            if key.0 >= now_ms {
                return;
            }
            let Some(request) = self.remove(key) else {
                return;
            };
            let refusal = Refusal::Expired;
            self.refused.push(RefusedRequest { request, refusal });
        }
    }

    fn next_of_service(
        &mut self,
        now_ms: u64,
        service: &Name,
        fits: &mut impl FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        let queues = self.services.get_mut(service)?;
        if queues.len() == 0 {
            return None;
        }
        queues.window.advance(now_ms);
        let order = rank_order(queues, &self.ranks);
        let mut reserved: Vec<Name> = Vec::new();
        for (queue_index, below_floor) in order.into_iter().flatten() {
            let mut blocked = Blocked {
                models: reserved.clone(),
                ..Blocked::default()
            };
            let queue_key = find_fitting(&queues.rank_queues[queue_index], &mut blocked, fits);
            if let Some(queue_key) = queue_key {
                return self.dispatch(now_ms, service, queue_index, &queue_key);
            }
            if below_floor {
                reserved.extend(blocked.fit_checks.into_keys());
            }
        }
        queues.dispatch_rate.on_stall(now_ms);
        None
    }

    fn dispatch(
        &mut self,
        now_ms: u64,
        service: &Name,
        queue_index: usize,
        queue_key: &QueueKey,
    ) -> Option<WaitingRequest> {
        let queues = self.services.get_mut(service)?;
        let waiting = queues.rank_queues[queue_index].dispatch(queue_key, &self.limits)?;
        let key = self.by_id.remove(&waiting.id)?;
        self.latest_starts.remove(&key);
        let rank = usize::from(waiting.rank);
        queues.window.add(now_ms, rank, f64::from(waiting.tokens));
        queues
            .dispatch_rate
            .on_dispatch(now_ms, f64::from(waiting.tokens));
        if queues.len() == 0 {
            queues.dispatch_rate.on_empty();
        }
        let charge = Charge {
            service: service.clone(),
            rank,
            tokens: waiting.tokens,
        };
        self.charges.insert(waiting.id, charge);
        Some(waiting)
    }

    /// Returns the share of the capacity that the more urgent ranks and the floors of the less urgent ranks leave to a
    /// rank.
    fn share_left(&self, queues: &ServiceQueues, rank: usize) -> f64 {
        let more_urgent_share: f64 = (0..rank).map(|other| queues.window.share(other)).sum();
        let waiting_ranks =
            (rank + 1..RANK_COUNT).filter(|other| queues.rank_queues[*other].len > 0);
        let floor_sum: f64 = waiting_ranks.map(|other| self.ranks[other].floor).sum();
        (1.0 - more_urgent_share - floor_sum).max(SHARE_MIN)
    }
}

/// Returns the next request of a queue that fits, and records the requests and models that do not in `blocked`.
fn find_fitting(
    queue: &RankQueue,
    blocked: &mut Blocked,
    fits: &mut impl FnMut(&WaitingRequest) -> bool,
) -> Option<QueueKey> {
    loop {
        let queue_key = queue.find(blocked)?;
        let waiting = queue.get(&queue_key)?;
        if fits(waiting) {
            return Some(queue_key);
        }
        let fit_checks = blocked
            .fit_checks
            .entry(queue_key.model.clone())
            .or_default();
        *fit_checks += 1;
        if *fit_checks < FIT_CHECKS_MAX {
            blocked.sequences.push(queue_key.sort_key.1);
        } else {
            blocked.models.push(queue_key.model);
        }
    }
}

/// Returns the ranks with waiting requests: ranks below their floors come first, the furthest below at the head, then
/// the others by urgency. The flag tells whether the rank is below its floor.
fn rank_order(queues: &ServiceQueues, ranks: &[RankPolicy]) -> [Option<(usize, bool)>; RANK_COUNT] {
    let mut order = [None; RANK_COUNT];
    for (rank, entry) in order.iter_mut().enumerate() {
        if queues.rank_queues[rank].len > 0 {
            let below_floor = queues.window.share(rank) < ranks[rank].floor;
            *entry = Some((rank, below_floor));
        }
    }
    let ratio = |rank: usize| queues.window.share(rank) / ranks[rank].floor;
    order.sort_by(|a, b| match (a, b) {
        (Some((a, true)), Some((b, true))) => ratio(*a).total_cmp(&ratio(*b)),
        (Some((a, below_a)), Some((b, below_b))) => below_b.cmp(below_a).then(a.cmp(b)),
        (a, b) => b.is_some().cmp(&a.is_some()),
    });
    order
}
