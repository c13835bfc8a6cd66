//! The number of upstreams of a service in each availability zone, planned by the leader.
//!
//! The plan follows from the list of upstreams, the demand and the orders of this leader. A new leader begins with the
//! counts on the list.

use std::collections::VecDeque;

use conf::{Map, Name};
use fleet::{ServiceRate, UpstreamRecord};

use crate::config::{Scaling, Service};
use crate::duty::{DutyCall, DutyOutcome};
use crate::place::PREFILL_TOKENS_PER_MS;

/// Interval between plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 500;
/// Share of a zone's engines that compute prompts; the others generate.
const PREFILL_SHARE: f64 = 0.75;
/// Tokens that an engine generates in a second: 64 streams and a step of 10 ms.
const DECODE_TOKENS_PER_S: f64 = 6_400.0;
/// Share of the time in which engines are to be busy at the peak of the demand. Urgent prompts wait behind long ones, so
/// that much higher shares make them late.
const TARGET_UTILIZATION: f64 = 0.5;
/// Share of the time in which engines may be busy on average after the loss of an availability zone.
const LOSS_UTILIZATION: f64 = 0.85;
/// Price from which reclaimable upstreams are not worth their risk, as a share of the price of the others.
const RECLAIMABLE_MAX_PRICE: f64 = 0.8;
/// Smallest number of engines for a zone with demand: two of each role.
const MIN_ENGINES: u32 = 4;
/// Increase of the need that is not followed, as a share of the planned total.
const TOLERATED_SHORTAGE: f64 = 0.1;
/// Window whose highest demand counts, in milliseconds: one period of the usual waves.
const PEAK_WINDOW_MS: u64 = 12_000;
/// Time from the first demand until it counts, in milliseconds: at first, nothing is cached.
const WARM_UP_MS: u64 = 3_000;
/// Time from the first demand in which caches fill, in milliseconds. Engines that are ordered for the cold start would begin
/// after it.
const CACHE_FILL_MS: u64 = 24_000;
/// Time for which demand must have counted before it leads to orders, in milliseconds.
const FIRST_PLAN_MS: u64 = 3_000;
/// Factor on the demand until it has been observed for a whole window: waves swing by up to 30% to either side, and half of a window shows most of it.
const UNSEEN_FACTOR: f64 = 1.3;
/// Largest part of the present demand that its rise may add over the start of an upstream.
const MAX_RISE: f64 = 0.25;
/// Share of late requests from which engines are taken to be slower than assumed.
const LATE_SHARE: f64 = 0.08;
/// Growth of the assumed work per plan while too many requests are late.
const WORK_GROWTH: f64 = 1.02;
/// Decrease of the assumed work per plan otherwise.
const WORK_DECAY: f64 = 0.995;
/// Largest factor on the assumed work.
const MAX_WORK_FACTOR: f64 = 1.25;
/// Weight of the latest demand in the moving average, per plan: about 3 s. A new engine starts and changes its role for
/// longer than a burst of one class lasts.
const DEMAND_WEIGHT: f64 = 0.15;
/// Interval between decreases in a zone, in milliseconds: entries and roles settle in between.
const DECREASE_INTERVAL_MS: u64 = 3_000;
/// Time after an increase in which a zone is not decreased, in milliseconds.
const HOLD_AFTER_INCREASE_MS: u64 = 6_000;
/// Share of the surplus that one decrease removes.
const DECREASE_SHARE: f64 = 0.7;
/// Surplus that is not removed, as a share of the need.
const TOLERATED_SURPLUS: f64 = 0.2;
/// Interval between orders of one kind in a zone, in milliseconds.
const ORDER_INTERVAL_MS: u64 = 1_000;
/// Time beyond the start of upstreams after which an order that the list does not show is repeated, in milliseconds.
const REPEAT_MARGIN_MS: u64 = 4_000;
/// Pause before upstreams are ordered again where none were available or where they were reclaimed, in milliseconds.
const UNAVAILABLE_PAUSE_MIN_MS: u64 = 6_000;
/// Longest such pause, in milliseconds.
const UNAVAILABLE_PAUSE_MAX_MS: u64 = 48_000;

/// Kind of upstreams, which are counted and ordered separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Permanent,
    Reclaimable,
}

impl Kind {
    fn of(is_reclaimable: bool) -> Self {
        match is_reclaimable {
            true => Self::Reclaimable,
            false => Self::Permanent,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Permanent => "permanent",
            Self::Reclaimable => "reclaimable",
        }
    }
}

/// Upstreams of one kind in a zone.
#[derive(Clone, Debug, Default)]
struct KindState {
    /// Number on the list that are not draining.
    present: u32,
    /// Number that are draining.
    draining: u32,
    /// Number that the platform holds by the last order, or the highest number on the list before the first one.
    ordered: u32,
    has_ordered: bool,
    /// Number in the order that has not been answered.
    unanswered: Option<u32>,
    /// When the last order was decided on, in milliseconds.
    ordered_ms: u64,
    /// Until when none are available, in milliseconds.
    unavailable_until_ms: u64,
    unavailable_pause_ms: u64,
}

impl KindState {
    fn observe(&mut self, present: u32, draining: u32) {
        self.present = present;
        self.draining = draining;
        if !self.has_ordered {
            self.ordered = self.ordered.max(present);
        }
    }

    fn make_unavailable(&mut self, now_ms: u64) {
        self.unavailable_pause_ms = (self.unavailable_pause_ms * 2)
            .clamp(UNAVAILABLE_PAUSE_MIN_MS, UNAVAILABLE_PAUSE_MAX_MS);
        self.unavailable_until_ms = now_ms + self.unavailable_pause_ms;
    }
}

#[derive(Clone, Debug, Default)]
struct ZoneState {
    permanent: KindState,
    reclaimable: KindState,
    /// Moving average of the busy engines that the demand asks for, by time.
    busy: VecDeque<(u64, f64)>,
    /// Since when there is demand, in milliseconds.
    demand_since_ms: Option<u64>,
    /// Factor on the assumed work of a request.
    work_factor: f64,
    /// Latest demand.
    rate: ServiceRate,
    /// Highest number on the list before the first order, which stays in force while the demand is unknown.
    initial: u32,
    /// Planned number of both kinds together.
    total: Option<u32>,
    /// Until when the total is not decreased, in milliseconds.
    hold_until_ms: u64,
}

impl ZoneState {
    fn kind(&mut self, kind: Kind) -> &mut KindState {
        match kind {
            Kind::Permanent => &mut self.permanent,
            Kind::Reclaimable => &mut self.reclaimable,
        }
    }

    fn observe_demand(&mut self, now_ms: u64, rate: Option<&ServiceRate>) {
        let Some(rate) = rate.filter(|rate| rate.requests_per_s > 0.0) else {
            return;
        };
        self.rate.clone_from(rate);
        let since_ms = *self.demand_since_ms.get_or_insert(now_ms);
        let is_late = rate.late_requests_per_s > rate.requests_per_s * LATE_SHARE;
        let change = if is_late { WORK_GROWTH } else { WORK_DECAY };
        self.work_factor = (self.work_factor * change).clamp(1.0, MAX_WORK_FACTOR);
        if now_ms.saturating_sub(since_ms) < WARM_UP_MS {
            return;
        }
        let prompts = rate.prompt_tokens_per_s / (PREFILL_TOKENS_PER_MS * 1_000.0) / PREFILL_SHARE;
        let outputs = rate.output_tokens_per_s / DECODE_TOKENS_PER_S / (1.0 - PREFILL_SHARE);
        let busy = prompts.max(outputs) * self.work_factor;
        let previous = self.busy.back().map_or(busy, |(_, previous)| *previous);
        let smoothed = previous + (busy - previous) * DEMAND_WEIGHT;
        self.busy.push_back((now_ms, smoothed));
    }

    /// Returns the demand at the time at which an engine that is ordered now has started, in busy engines: the latest
    /// demand and its rise over that time before.
    fn forecast_busy(&self, now_ms: u64, boot_ms: u64) -> f64 {
        let latest = self.busy.back().map_or(0.0, |(_, busy)| *busy);
        let earlier = self
            .busy
            .iter()
            .find(|(at_ms, _)| now_ms.saturating_sub(*at_ms) <= boot_ms);
        let rise = earlier.map_or(0.0, |(_, earlier)| latest - earlier);
        latest + rise.clamp(0.0, latest * MAX_RISE)
    }

    /// Returns the highest and the mean number of busy engines in the window; none while the demand is unknown.
    fn peak_and_mean_busy(&mut self, now_ms: u64) -> Option<(f64, f64)> {
        while self.busy.len() > 1
            && self
                .busy
                .front()
                .is_some_and(|(at_ms, _)| now_ms.saturating_sub(*at_ms) > PEAK_WINDOW_MS)
        {
            self.busy.pop_front();
        }
        let observed_ms = now_ms.saturating_sub(self.demand_since_ms?);
        if self.busy.is_empty() || observed_ms < WARM_UP_MS + FIRST_PLAN_MS {
            return None;
        }
        let peak = self.busy.iter().map(|(_, busy)| *busy).fold(0.0, f64::max);
        let mean = self.busy.iter().map(|(_, busy)| *busy).sum::<f64>() / self.busy.len() as f64;
        // While caches fill, the peak shows the cold start, and the latest demand what is left of it.
        let latest = self.busy.back().map_or(0.0, |(_, busy)| *busy);
        Some(match observed_ms < CACHE_FILL_MS {
            true => (latest.min(mean) * UNSEEN_FACTOR, latest.min(mean)),
            false => (peak, mean),
        })
    }

    /// Moves the planned total: up at once if the demand needs more, and down in steps to the need at its peak.
    fn plan_total(&mut self, now_ms: u64, shortest: u32, need: u32) -> u32 {
        let planned = self.total.unwrap_or(self.initial);
        let is_filling = self
            .demand_since_ms
            .is_none_or(|since_ms| now_ms.saturating_sub(since_ms) < CACHE_FILL_MS);
        let shortest = match is_filling {
            true => shortest.min(self.initial),
            false => shortest,
        };
        let shortage = shortest.saturating_sub(planned);
        let total = match f64::from(shortage) > f64::from(planned) * TOLERATED_SHORTAGE {
            true => {
                self.hold_until_ms = now_ms + HOLD_AFTER_INCREASE_MS;
                shortest
            }
            false => planned,
        };
        let surplus = total.saturating_sub(need);
        let tolerated = (f64::from(need) * TOLERATED_SURPLUS).ceil() as u32;
        let step = match surplus > tolerated && now_ms >= self.hold_until_ms {
            true => (f64::from(surplus) * DECREASE_SHARE).ceil() as u32,
            false => 0,
        };
        if step > 0 {
            self.hold_until_ms = now_ms + DECREASE_INTERVAL_MS;
        }
        self.total = Some(total - step);
        total - step
    }

    fn present(&self) -> u32 {
        self.permanent.present + self.reclaimable.present
    }
}

/// An order, with the reason for it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamOrder {
    /// The call to the platform.
    pub call: DutyCall,
    /// What led to the order, for the log.
    pub reason: String,
}

/// Counts of one kind of upstreams in a zone, for metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCount {
    pub service: Name,
    pub availability_zone: Name,
    pub is_reclaimable: bool,
    pub ordered: u32,
    pub present: u32,
    pub draining: u32,
}

/// Plans the number of upstreams and keeps the state between two plans.
#[derive(Clone, Debug, Default)]
pub struct ScalingPlanner {
    /// Services whose upstreams the platform takes orders for.
    services: Vec<Service>,
    zones: Map<(Name, Name), ZoneState>,
    next_plan_ms: u64,
    /// Orders that are due, in the order in which they are to be sent.
    due: VecDeque<UpstreamOrder>,
}

impl ScalingPlanner {
    /// Takes over the services of a configuration. Only engines are ordered, as the work of plain requests is unknown.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = Service>) {
        self.services = services
            .into_iter()
            .filter(|service| service.scaling.is_some() && service.engine.is_some())
            .collect();
        self.due.clear();
    }

    /// Returns whether there is a service whose upstreams are ordered.
    pub fn is_active(&self) -> bool {
        !self.services.is_empty()
    }

    /// Forgets the orders of an earlier term.
    pub fn on_leading(&mut self) {
        self.zones.clear();
        self.due.clear();
        self.next_plan_ms = 0;
    }

    /// Plans with the present list and demand.
    pub fn plan(&mut self, now_ms: u64, upstreams: &[UpstreamRecord], rates: &[ServiceRate]) {
        if now_ms < self.next_plan_ms {
            return;
        }
        self.next_plan_ms = now_ms + PLAN_INTERVAL_MS;
        self.due.clear();
        for service in self.services.clone() {
            if let Some(scaling) = &service.scaling {
                self.observe(now_ms, &service.name, scaling, upstreams, rates);
                self.plan_service(now_ms, &service.name, scaling);
            }
        }
    }

    fn observe(
        &mut self,
        now_ms: u64,
        service: &Name,
        scaling: &Scaling,
        upstreams: &[UpstreamRecord],
        rates: &[ServiceRate],
    ) {
        for zone in scaling.zone_prices.keys() {
            let listed = upstreams.iter().filter(|upstream| {
                upstream.service == *service && upstream.availability_zone == *zone
            });
            let mut counts = [[0_u32; 2]; 2];
            for upstream in listed {
                let kind = usize::from(upstream.is_reclaimable);
                counts[kind][usize::from(upstream.draining)] += 1;
            }
            let key = (service.clone(), zone.clone());
            let state = self.zones.entry(key).or_insert_with(|| ZoneState {
                work_factor: 1.0,
                ..ZoneState::default()
            });
            state.permanent.observe(counts[0][0], counts[0][1]);
            state.reclaimable.observe(counts[1][0], counts[1][1]);
            if !state.permanent.has_ordered && !state.reclaimable.has_ordered {
                state.initial = state.initial.max(state.present());
            }
            let reclaimable = &mut state.reclaimable;
            // The platform takes all of a zone away at once.
            let is_reclaimed = reclaimable.present == 0
                && reclaimable.draining > 0
                && reclaimable.ordered > 0
                && now_ms >= reclaimable.unavailable_until_ms;
            if is_reclaimed {
                reclaimable.make_unavailable(now_ms);
                reclaimable.ordered = 0;
            }
            let rate = rates
                .iter()
                .find(|rate| rate.service == *service && rate.availability_zone == *zone);
            state.observe_demand(now_ms, rate);
        }
    }

    fn plan_service(&mut self, now_ms: u64, service: &Name, scaling: &Scaling) {
        let mut zones: Vec<(Name, f64)> = scaling
            .zone_prices
            .iter()
            .map(|(zone, price)| (zone.clone(), *price))
            .collect();
        zones.sort_by(|a, b| a.1.total_cmp(&b.1).then_with(|| a.0.cmp(&b.0)));
        let mut shortest: Vec<(Name, f64, u32)> = Vec::new();
        let mut needs: Vec<(Name, f64, u32)> = Vec::new();
        for (zone, _) in &zones {
            let Some(state) = self.zones.get_mut(&(service.clone(), zone.clone())) else {
                continue;
            };
            let count = |busy: f64, utilization: f64| {
                let count = (busy / utilization).ceil() as u32;
                count.max(MIN_ENGINES).clamp(scaling.min, scaling.max)
            };
            let forecast = state.forecast_busy(now_ms, scaling.boot_ms);
            let Some((peak, mean)) = state.peak_and_mean_busy(now_ms) else {
                // While the demand is unknown, what is there stays.
                let total = state.total.unwrap_or(state.initial);
                shortest.push((zone.clone(), 0.0, total));
                needs.push((zone.clone(), 0.0, total));
                continue;
            };
            let lowest = count(forecast, TARGET_UTILIZATION);
            shortest.push((zone.clone(), mean, lowest));
            needs.push((
                zone.clone(),
                mean,
                count(peak, TARGET_UTILIZATION).max(lowest),
            ));
        }
        cover_zone_loss(&mut shortest, scaling.max);
        cover_zone_loss(&mut needs, scaling.max);
        for ((zone, busy, shortest), (_, _, need)) in shortest.into_iter().zip(needs) {
            let need = need.max(shortest);
            self.plan_zone(now_ms, service, scaling, &zone, busy, (shortest, need));
        }
    }

    fn plan_zone(
        &mut self,
        now_ms: u64,
        service: &Name,
        scaling: &Scaling,
        zone: &Name,
        busy: f64,
        (shortest, need): (u32, u32),
    ) {
        let Some(state) = self.zones.get_mut(&(service.clone(), zone.clone())) else {
            return;
        };
        if state.busy.is_empty() || state.initial == 0 {
            return;
        }
        let uses_reclaimable = scaling.reclaimable_price <= RECLAIMABLE_MAX_PRICE;
        let total = state.plan_total(now_ms, shortest, need);
        // The first engines hold the caches, so that only what is needed beyond them may be reclaimed.
        let base = match uses_reclaimable {
            true => total.min(state.initial),
            false => total,
        };
        let room = scaling.max.saturating_sub(state.permanent.ordered);
        let reclaimable = match now_ms >= state.reclaimable.unavailable_until_ms {
            true => (total - base).min(room.max(state.reclaimable.ordered)),
            false => state.reclaimable.ordered.min(total - base),
        };
        let present = state.reclaimable.present.min(reclaimable);
        // Permanent engines that stand in for others leave only once those have started.
        let lowest = base.max(total - reclaimable);
        let highest = base.max(total - present);
        let permanent = state
            .permanent
            .ordered
            .clamp(lowest, highest)
            .max(scaling.min.saturating_sub(reclaimable));
        for (kind, wanted) in [
            (Kind::Permanent, permanent),
            (Kind::Reclaimable, reclaimable),
        ] {
            let Some(count) = next_count(now_ms, state.kind(kind), wanted, scaling.boot_ms) else {
                continue;
            };
            let counts = state.kind(kind).clone();
            let reason = format!(
                "service={service} zone={zone} kind={} count={count} wanted={wanted} ordered={} present={} draining={} \
                 total={total} need={need} shortest={shortest} busy={busy:.1} work_factor={:.2} requests_per_s={:.0} prompt_tokens_per_s={:.0} \
                 output_tokens_per_s={:.0} late_per_s={:.1}",
                kind.name(),
                counts.ordered,
                counts.present,
                counts.draining,
                state.work_factor,
                state.rate.requests_per_s,
                state.rate.prompt_tokens_per_s,
                state.rate.output_tokens_per_s,
                state.rate.late_requests_per_s,
            );
            let call = DutyCall::OrderUpstreams {
                service: service.clone(),
                availability_zone: zone.clone(),
                count,
                is_reclaimable: kind == Kind::Reclaimable,
            };
            let order = UpstreamOrder { call, reason };
            // Increases are more urgent than decreases.
            match count > counts.ordered {
                true => self.due.push_front(order),
                false => self.due.push_back(order),
            }
        }
    }

    /// Takes the order that is to be sent next.
    pub fn next_order(&mut self, now_ms: u64) -> Option<UpstreamOrder> {
        let order = self.due.pop_front()?;
        if let DutyCall::OrderUpstreams {
            service,
            availability_zone,
            count,
            is_reclaimable,
        } = &order.call
        {
            let key = (service.clone(), availability_zone.clone());
            let state = self.zones.get_mut(&key)?;
            let kind = state.kind(Kind::of(*is_reclaimable));
            kind.unanswered = Some(*count);
            kind.ordered_ms = now_ms;
        }
        Some(order)
    }

    /// Records the end of an order.
    pub fn on_ended(&mut self, now_ms: u64, call: &DutyCall, outcome: DutyOutcome) {
        let DutyCall::OrderUpstreams {
            service,
            availability_zone,
            count,
            is_reclaimable,
        } = call
        else {
            return;
        };
        let key = (service.clone(), availability_zone.clone());
        let Some(state) = self.zones.get_mut(&key) else {
            return;
        };
        let kind = state.kind(Kind::of(*is_reclaimable));
        kind.unanswered = None;
        match outcome {
            DutyOutcome::Accepted => {
                kind.ordered = *count;
                kind.has_ordered = true;
                kind.unavailable_pause_ms = 0;
            }
            DutyOutcome::NoneAvailable => kind.make_unavailable(now_ms),
            DutyOutcome::Fenced | DutyOutcome::Limited | DutyOutcome::Unknown => {}
        }
    }

    /// Returns the counts of all services, for metrics.
    pub fn counts(&self) -> Vec<UpstreamCount> {
        let zones = self.zones.iter().flat_map(|((service, zone), state)| {
            let kinds = [(false, &state.permanent), (true, &state.reclaimable)];
            kinds.map(|(is_reclaimable, kind)| UpstreamCount {
                service: service.clone(),
                availability_zone: zone.clone(),
                is_reclaimable,
                ordered: kind.ordered,
                present: kind.present,
                draining: kind.draining,
            })
        });
        zones.collect()
    }
}

/// Raises the needs so that the other zones carry the demand of any one that is lost, in the cheapest zones first.
/// `needs` holds the zones by price, each with its busy engines and its need.
fn cover_zone_loss(needs: &mut [(Name, f64, u32)], max: u32) {
    let busy: f64 = needs.iter().map(|(_, busy, _)| busy).sum();
    let required = (busy / LOSS_UTILIZATION).ceil() as u32;
    for lost in 0..needs.len() {
        let others: u32 = (0..needs.len())
            .filter(|other| *other != lost)
            .map(|other| needs[other].2)
            .sum();
        let mut missing = required.saturating_sub(others);
        for (other, (_, _, need)) in needs.iter_mut().enumerate() {
            if other != lost {
                let added = missing.min(max.saturating_sub(*need));
                *need += added;
                missing -= added;
            }
        }
    }
}

/// Returns the count to order now, if an order is due.
fn next_count(now_ms: u64, kind: &KindState, wanted: u32, boot_ms: u64) -> Option<u32> {
    let since_order_ms = now_ms.saturating_sub(kind.ordered_ms);
    let is_recent = kind.ordered_ms > 0 && since_order_ms < ORDER_INTERVAL_MS;
    let is_unavailable = now_ms < kind.unavailable_until_ms;
    if kind.unanswered.is_some() || is_recent || (wanted >= kind.ordered && is_unavailable) {
        return None;
    }
    // The platform may have carried out an earlier order late, or lost this one.
    let is_off = kind.has_ordered
        && kind.present != kind.ordered
        && since_order_ms >= boot_ms + REPEAT_MARGIN_MS;
    (wanted != kind.ordered || is_off).then_some(wanted)
}
