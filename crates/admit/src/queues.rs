//! The rank queues of all services on one entry.

use std::collections::BTreeMap;

use conf::service::RANK_COUNT;
use conf::{Map, Name, RankPolicy, ServiceConfig};

use crate::lane::{Blocked, Lane, Place};
use crate::limit::TenantLimits;
use crate::preempt::{InDanger, Preemption, Running, victim};
use crate::share::Window;
use crate::speed::Speed;
use crate::waiting::{Discipline, Refusal, Refused, Waiting};

/// Shortest time after which a refused caller is told to retry, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Smallest share of the capacity that an estimate assumes, so that it stays finite.
const SHARE_MIN: f64 = 0.01;
/// Requests of one rank and model that are asked about in one search before the model counts as full. Some do not fit
/// because of their own exclusions, deadlines or prefixes while others do.
const ASKED_MAX: usize = 8;

/// The queues of one service.
#[derive(Clone, Debug, Default)]
struct ServiceQueues {
    lanes: [Lane; RANK_COUNT],
    window: Window,
    speed: Speed,
}

impl ServiceQueues {
    fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.len).sum()
    }
}

/// Where a waiting request is.
#[derive(Clone, Debug)]
struct Entry {
    service: Name,
    lane: usize,
    place: Place,
}

/// What a dispatched request was charged.
#[derive(Clone, Debug)]
struct Charge {
    service: Name,
    rank: usize,
    tokens: u32,
}

/// The queues of one entry.
#[derive(Clone, Debug)]
pub struct Queues {
    discipline: Discipline,
    ranks: Vec<RankPolicy>,
    limits: TenantLimits,
    services: Map<Name, ServiceQueues>,
    /// Names of the services, in the order in which they take turns.
    turns: Vec<Name>,
    /// Waiting requests by the last time at which a dispatch can still meet the deadline, and by arrival.
    latest_starts: BTreeMap<(u64, u64), Entry>,
    by_id: Map<u64, (u64, u64)>,
    charges: Map<u64, Charge>,
    refused: Vec<Refused>,
    sequence: u64,
}

impl Queues {
    /// Makes empty queues.
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            ranks: vec![RankPolicy::default(); RANK_COUNT],
            limits: TenantLimits::default(),
            services: Map::default(),
            turns: Vec::new(),
            latest_starts: BTreeMap::new(),
            by_id: Map::default(),
            charges: Map::default(),
            refused: Vec::new(),
            sequence: 0,
        }
    }

    /// Takes in a configuration. Waiting requests stay.
    pub fn apply_config(&mut self, config: &ServiceConfig) {
        for (rank, policy) in config.ranks.iter().take(RANK_COUNT).enumerate() {
            self.ranks[rank] = policy.clone();
        }
        self.limits.apply(&config.tenants);
    }

    /// Puts a request into its queue.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused. It has then not run. A request that another one displaces later is returned by
    /// [`expire`](Self::expire).
    pub fn offer(&mut self, now_ms: u64, mut waiting: Waiting) -> Result<(), Refusal> {
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
            self.make_room(now_ms, &waiting)?;
        }
        self.insert(waiting);
        Ok(())
    }

    /// Takes out the next request to dispatch, or `None` if nothing that waits fits.
    ///
    /// `fits` tells whether an upstream has a place for a request. Within one call it is asked about a few requests of each
    /// rank, service and model, in their order, until one fits. A rank below its floor whose requests do not fit keeps the
    /// next place of that model from the other ranks.
    pub fn next(&mut self, now_ms: u64, mut fits: impl FnMut(&Waiting) -> bool) -> Option<Waiting> {
        self.drop_overdue(now_ms);
        for turn in 0..self.turns.len() {
            let service = self.turns[turn].clone();
            if let Some(waiting) = self.next_of(now_ms, &service, &mut fits) {
                // The service that was served goes to the end of the line.
                self.turns[turn..].rotate_left(1);
                return Some(waiting);
            }
        }
        None
    }

    /// Removes the requests that cannot be answered in time any more, and those that were displaced.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Refused> {
        self.drop_overdue(now_ms);
        std::mem::take(&mut self.refused)
    }

    /// Removes a request whose caller has left. Returns whether it was waiting.
    pub fn cancel(&mut self, id: u64) -> bool {
        let Some(key) = self.by_id.get(&id).copied() else {
            return false;
        };
        self.take_out(key).is_some()
    }

    /// Notes that a dispatched request has ended after it used `tokens`, and corrects what its rank was charged.
    pub fn on_finish(&mut self, now_ms: u64, id: u64, tokens: u32) {
        let Some(charge) = self.charges.remove(&id) else {
            return;
        };
        if let Some(queues) = self.services.get_mut(&charge.service) {
            let correction = f64::from(tokens) - f64::from(charge.tokens);
            queues.window.add(now_ms, charge.rank, correction);
            queues.speed.correct(correction);
        }
    }

    /// Picks a running request whose place saves the deadline of a more urgent waiting request of `service`.
    pub fn preempt(
        &mut self,
        now_ms: u64,
        service: &Name,
        running: &[Running],
    ) -> Option<Preemption> {
        if self.discipline == Discipline::SingleQueue {
            return None;
        }
        let ranks = &self.ranks;
        let queues = self.services.get_mut(service)?;
        queues.window.advance(now_ms);
        let kept: Vec<bool> = (0..RANK_COUNT)
            .map(|rank| queues.window.share(rank) < ranks[rank].floor)
            .collect();
        let place_ms = queues.speed.place_interval_ms(now_ms);
        for lane in &queues.lanes {
            let mut heads: Vec<&Waiting> = lane.heads().collect();
            heads.sort_unstable_by_key(|waiting| (waiting.first_deadline_ms(), waiting.id));
            for (position, waiting) in heads.into_iter().enumerate() {
                let danger = InDanger {
                    rank: waiting.rank,
                    latest_start_ms: waiting.latest_start_ms(),
                    wait_ms: place_ms * (position as u64 + 1),
                };
                if !danger.is_saved(now_ms) {
                    continue;
                }
                if let Some(victim) = victim(danger.rank, running, &kept) {
                    let waiting = waiting.id;
                    return Some(Preemption { victim, waiting });
                }
            }
        }
        None
    }

    /// Time that a new request would wait for its dispatch, in milliseconds. 0 while the speed is not known.
    pub fn expected_wait_ms(&self, now_ms: u64, waiting: &Waiting) -> u64 {
        let Some(queues) = self.services.get(&waiting.service) else {
            return 0;
        };
        let Some(speed) = queues.speed.tokens_per_ms(now_ms) else {
            return 0;
        };
        let rank = usize::from(waiting.rank).min(RANK_COUNT - 1);
        let more_urgent: u64 = queues.lanes[..rank].iter().map(|lane| lane.tokens).sum();
        let own = queues.lanes[rank].tokens_ahead(&waiting.tenant, waiting, &self.limits);
        let in_order_ms = (own + more_urgent as f64) / (speed * self.share_left(queues, rank));
        let floor = self.ranks[rank].floor.max(SHARE_MIN);
        let by_floor_ms = (own + f64::from(waiting.tokens)) / (speed * floor);
        in_order_ms.min(by_floor_ms) as u64
    }

    /// Waiting requests of a rank.
    pub fn len(&self, rank: usize) -> usize {
        let queues = self.services.values();
        queues.map(|queues| queues.lanes[rank].len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Share of a service's tokens that a rank was served in the sliding window, from 0 to 1.
    pub fn share(&self, service: &Name, rank: usize) -> f64 {
        let queues = self.services.get(service);
        queues.map_or(0.0, |queues| queues.window.share(rank))
    }

    fn check_rate(&mut self, now_ms: u64, waiting: &Waiting) -> Result<(), Refusal> {
        self.limits
            .take(now_ms, &waiting.tenant)
            .map_err(|retry_after_ms| Refusal::RateLimited { retry_after_ms })
    }

    fn check_deadline(&self, now_ms: u64, waiting: &Waiting) -> Result<(), Refusal> {
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

    /// Makes sure that the queue has room, if need be by displacing a request of the tenant with the most for its weight.
    fn make_room(&mut self, now_ms: u64, waiting: &Waiting) -> Result<(), Refusal> {
        let index = self.lane_index(waiting);
        let limit = self.queue_limit(index);
        let Some(queues) = self.services.get(&waiting.service) else {
            return Ok(());
        };
        let lane = &queues.lanes[index];
        if lane.len < limit {
            return Ok(());
        }
        let retry_after_ms = self
            .expected_wait_ms(now_ms, waiting)
            .max(RETRY_AFTER_MIN_MS);
        let full = Refusal::QueueFull { retry_after_ms };
        // The refused list is emptied on each tick; it must not grow without bound in between.
        if self.discipline == Discipline::SingleQueue || self.refused.len() >= limit {
            return Err(full);
        }
        let (fullest, ratio) = lane.fullest(&self.limits).ok_or(full)?;
        let own = (lane.len_of(&waiting.tenant) + 1) as f64 / self.limits.weight(&waiting.tenant);
        if own >= ratio {
            return Err(full);
        }
        let place = lane.last_of(fullest).ok_or(full)?;
        let displaced = lane.get(&place).map(|displaced| displaced.id).ok_or(full)?;
        let key = self.by_id[&displaced];
        if let Some(waiting) = self.take_out(key) {
            let refusal = Refusal::Displaced { retry_after_ms };
            self.refused.push(Refused { waiting, refusal });
        }
        Ok(())
    }

    fn insert(&mut self, waiting: Waiting) {
        self.sequence += 1;
        let lane = self.lane_index(&waiting);
        let place = self.place(&waiting);
        let latest_start_ms = match self.discipline {
            Discipline::Ranked => waiting.latest_start_ms(),
            Discipline::SingleQueue => waiting.deadline_ms,
        };
        let key = (latest_start_ms, self.sequence);
        let entry = Entry {
            service: waiting.service.clone(),
            lane,
            place: place.clone(),
        };
        self.latest_starts.insert(key, entry);
        self.by_id.insert(waiting.id, key);
        if !self.services.contains_key(&waiting.service) {
            self.turns.push(waiting.service.clone());
        }
        let queues = self.services.entry(waiting.service.clone()).or_default();
        queues.lanes[lane].push(place, waiting);
    }

    fn place(&self, waiting: &Waiting) -> Place {
        let model = waiting.model.clone();
        match self.discipline {
            Discipline::Ranked => Place {
                tenant: waiting.tenant.clone(),
                model,
                position: (waiting.first_deadline_ms(), self.sequence),
            },
            Discipline::SingleQueue => Place {
                tenant: Name::default(),
                model,
                position: (0, self.sequence),
            },
        }
    }

    fn lane_index(&self, waiting: &Waiting) -> usize {
        match self.discipline {
            Discipline::Ranked => usize::from(waiting.rank),
            Discipline::SingleQueue => 0,
        }
    }

    fn queue_limit(&self, lane: usize) -> usize {
        match self.discipline {
            Discipline::Ranked => self.ranks[lane].queue_limit,
            Discipline::SingleQueue => self.ranks.iter().map(|rank| rank.queue_limit).sum(),
        }
    }

    fn take_out(&mut self, key: (u64, u64)) -> Option<Waiting> {
        let entry = self.latest_starts.remove(&key)?;
        let queues = self.services.get_mut(&entry.service)?;
        let waiting = queues.lanes[entry.lane].remove(&entry.place)?;
        self.by_id.remove(&waiting.id);
        Some(waiting)
    }

    fn drop_overdue(&mut self, now_ms: u64) {
        while let Some((key, _)) = self.latest_starts.first_key_value() {
            let key = *key;
            if key.0 >= now_ms {
                return;
            }
            let Some(waiting) = self.take_out(key) else {
                return;
            };
            let refusal = Refusal::Expired;
            self.refused.push(Refused { waiting, refusal });
        }
    }

    fn next_of(
        &mut self,
        now_ms: u64,
        service: &Name,
        fits: &mut impl FnMut(&Waiting) -> bool,
    ) -> Option<Waiting> {
        let queues = self.services.get_mut(service)?;
        if queues.len() == 0 {
            return None;
        }
        queues.window.advance(now_ms);
        let order = rank_order(queues, &self.ranks);
        let mut reserved: Vec<Name> = Vec::new();
        for (lane, below_floor) in order.into_iter().flatten() {
            let mut blocked = Blocked {
                models: reserved.clone(),
                ..Blocked::default()
            };
            let place = find_fitting(&queues.lanes[lane], &mut blocked, fits);
            if let Some(place) = place {
                return self.serve(now_ms, service, lane, &place);
            }
            if below_floor {
                reserved.extend(blocked.asked.into_keys());
            }
        }
        queues.speed.on_stall(now_ms);
        None
    }

    fn serve(
        &mut self,
        now_ms: u64,
        service: &Name,
        lane: usize,
        place: &Place,
    ) -> Option<Waiting> {
        let queues = self.services.get_mut(service)?;
        let waiting = queues.lanes[lane].serve(place, &self.limits)?;
        let key = self.by_id.remove(&waiting.id)?;
        self.latest_starts.remove(&key);
        let rank = usize::from(waiting.rank);
        queues.window.add(now_ms, rank, f64::from(waiting.tokens));
        queues.speed.on_dispatch(now_ms, f64::from(waiting.tokens));
        if queues.len() == 0 {
            queues.speed.on_empty();
        }
        let charge = Charge {
            service: service.clone(),
            rank,
            tokens: waiting.tokens,
        };
        self.charges.insert(waiting.id, charge);
        Some(waiting)
    }

    /// Share of the capacity that the more urgent ranks and the floors of the less urgent ones leave to a rank.
    fn share_left(&self, queues: &ServiceQueues, rank: usize) -> f64 {
        let more_urgent: f64 = (0..rank).map(|other| queues.window.share(other)).sum();
        let waiting = (rank + 1..RANK_COUNT).filter(|other| queues.lanes[*other].len > 0);
        let floors: f64 = waiting.map(|other| self.ranks[other].floor).sum();
        (1.0 - more_urgent - floors).max(SHARE_MIN)
    }
}

/// Finds the next request of a lane that fits, and notes what does not.
fn find_fitting(
    lane: &Lane,
    blocked: &mut Blocked,
    fits: &mut impl FnMut(&Waiting) -> bool,
) -> Option<Place> {
    loop {
        let place = lane.find(blocked)?;
        let waiting = lane.get(&place)?;
        if fits(waiting) {
            return Some(place);
        }
        let asked = blocked.asked.entry(place.model.clone()).or_default();
        *asked += 1;
        if *asked < ASKED_MAX {
            blocked.sequences.push(place.position.1);
        } else {
            blocked.models.push(place.model);
        }
    }
}

/// Ranks with waiting requests: those below their floors first, the furthest below at the head, then by urgency. The
/// flag tells whether the rank is below its floor.
fn rank_order(queues: &ServiceQueues, ranks: &[RankPolicy]) -> [Option<(usize, bool)>; RANK_COUNT] {
    let mut order = [None; RANK_COUNT];
    for (rank, place) in order.iter_mut().enumerate() {
        if queues.lanes[rank].len > 0 {
            let below = queues.window.share(rank) < ranks[rank].floor;
            *place = Some((rank, below));
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
