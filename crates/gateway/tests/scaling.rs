//! The number of upstreams that the leader orders, against a platform that starts and stops them.

use conf::{Name, Role};
use fleet::{ServiceRate, UpstreamRecord};
use gateway::scaling::ScalingPlanner;
use gateway::{DutyCall, DutyOutcome, EngineTraits, Scaling, Service};

const STEP_MS: u64 = 100;
const BOOT_MS: u64 = 4_000;
const DRAIN_MS: u64 = 4_000;
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Prompt tokens per second that keep seven engines of a zone busy.
const USUAL: f64 = 260_000.0;

fn service(scaling: Scaling) -> Service {
    Service {
        name: "model".into(),
        max_connections: 100,
        engine: Some(EngineTraits::default()),
        scaling: Some(scaling),
    }
}

fn usual_scaling() -> Scaling {
    Scaling {
        min: 1,
        max: 60,
        boot_ms: BOOT_MS,
        reclaimable_price: 0.22,
        zone_prices: ZONES
            .into_iter()
            .zip([1.0, 0.8, 1.25])
            .map(|(zone, price)| (zone.into(), price))
            .collect(),
    }
}

#[derive(Clone)]
struct Running {
    record: UpstreamRecord,
    listed_ms: u64,
    ends_ms: Option<u64>,
}

/// A platform whose orders are carried out at once, except for the start of upstreams.
struct World {
    now_ms: u64,
    planner: ScalingPlanner,
    running: Vec<Running>,
    next_id: u32,
    /// Orders in the order in which they were given.
    orders: Vec<(u64, Name, bool, u32)>,
    has_reclaimable: bool,
    is_silent: bool,
}

impl World {
    fn new(scaling: Scaling, per_zone: u32) -> Self {
        let mut world = Self {
            now_ms: 10_000,
            planner: ScalingPlanner::default(),
            running: Vec::new(),
            next_id: 0,
            orders: Vec::new(),
            has_reclaimable: true,
            is_silent: false,
        };
        world.planner.set_services([service(scaling)]);
        for zone in ZONES {
            world.resize(zone, false, per_zone, 0);
        }
        world
    }

    fn count(&self, zone: &str, is_reclaimable: bool) -> u32 {
        let is_counted = |running: &&Running| {
            let record = &running.record;
            record.availability_zone.as_str() == zone
                && record.is_reclaimable == is_reclaimable
                && !record.draining
        };
        self.running.iter().filter(is_counted).count() as u32
    }

    fn total(&self) -> u32 {
        ZONES
            .iter()
            .map(|zone| self.count(zone, false) + self.count(zone, true))
            .sum()
    }

    fn resize(&mut self, zone: &str, is_reclaimable: bool, count: u32, boot_ms: u64) {
        let present = self.count(zone, is_reclaimable);
        for _ in present..count {
            self.next_id += 1;
            let record = UpstreamRecord {
                id: Name::from(format!("engine-{}", self.next_id)),
                service: "model".into(),
                availability_zone: Name::from(zone.to_owned()),
                role: Some(Role::Decode),
                is_reclaimable,
                ..UpstreamRecord::default()
            };
            self.running.push(Running {
                record,
                listed_ms: self.now_ms + boot_ms,
                ends_ms: None,
            });
        }
        let ends_ms = self.now_ms + DRAIN_MS;
        let leaving = self.running.iter_mut().filter(|running| {
            let record = &running.record;
            record.availability_zone.as_str() == zone
                && record.is_reclaimable == is_reclaimable
                && !record.draining
        });
        for running in leaving.take(present.saturating_sub(count) as usize) {
            running.record.draining = true;
            running.ends_ms = Some(ends_ms);
        }
    }

    fn listed(&self) -> Vec<UpstreamRecord> {
        let listed = self
            .running
            .iter()
            .filter(|running| running.listed_ms <= self.now_ms);
        listed.map(|running| running.record.clone()).collect()
    }

    /// Runs for a time under a demand in prompt tokens per second by zone.
    fn run(&mut self, for_ms: u64, demand: impl Fn(u64, &str) -> f64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            self.running
                .retain(|running| running.ends_ms.is_none_or(|ends_ms| ends_ms > now_ms));
            let rates: Vec<ServiceRate> = ZONES
                .into_iter()
                .filter(|zone| demand(now_ms, zone) > 0.0)
                .map(|zone| ServiceRate {
                    service: "model".into(),
                    availability_zone: zone.into(),
                    requests_per_s: 70.0,
                    prompt_tokens_per_s: demand(now_ms, zone),
                    ..ServiceRate::default()
                })
                .collect();
            self.planner.plan(now_ms, &self.listed(), &rates);
            if let Some(order) = self.planner.next_order(now_ms) {
                let outcome = self.carry_out(&order.call);
                self.planner.on_ended(now_ms, &order.call, outcome);
            }
        }
    }

    fn carry_out(&mut self, call: &DutyCall) -> DutyOutcome {
        let DutyCall::OrderUpstreams {
            availability_zone,
            count,
            is_reclaimable,
            ..
        } = call
        else {
            panic!("the planner only orders upstreams");
        };
        self.orders.push((
            self.now_ms,
            availability_zone.clone(),
            *is_reclaimable,
            *count,
        ));
        if self.is_silent {
            return DutyOutcome::Unknown;
        }
        if *is_reclaimable && !self.has_reclaimable && *count > self.count(availability_zone, true)
        {
            return DutyOutcome::NoneAvailable;
        }
        self.resize(availability_zone, *is_reclaimable, *count, BOOT_MS);
        DutyOutcome::Accepted
    }

    fn reclaim(&mut self, zone: &str) {
        self.resize(zone, true, 0, 0);
    }

    fn orders_since(&self, from_ms: u64) -> usize {
        self.orders
            .iter()
            .filter(|(at_ms, ..)| *at_ms > from_ms)
            .count()
    }
}

fn steady(tokens: f64) -> impl Fn(u64, &str) -> f64 {
    move |_, _| tokens
}

/// Guards against a fleet that stays at its first size, and against one that shrinks at once on a first estimate.
#[test]
fn a_surplus_goes_down_in_steps() {
    let mut world = World::new(usual_scaling(), 30);
    world.run(5_000, steady(USUAL));
    assert!(world.total() >= 72, "{}", world.total());
    world.run(40_000, steady(USUAL));
    for zone in ZONES {
        let (permanent, reclaimable) = (world.count(zone, false), world.count(zone, true));
        assert!((14..=22).contains(&permanent), "{zone} {permanent}");
        assert_eq!(reclaimable, 0, "{zone}");
    }
}

/// Guards against orders before any caller has come, when the load cannot be known.
#[test]
fn nothing_is_ordered_without_demand() {
    let mut world = World::new(usual_scaling(), 30);
    world.run(30_000, steady(0.0));
    assert_eq!(world.orders, []);
}

/// Guards against a fleet that follows a burst late.
#[test]
fn a_lasting_burst_is_followed_within_the_start_of_an_upstream() {
    let mut world = World::new(usual_scaling(), 30);
    world.run(45_000, steady(USUAL));
    let before = world.total();
    world.run(6_000, steady(2.0 * USUAL));
    assert!(
        world.total() * 2 >= before * 3,
        "{before} {}",
        world.total()
    );
}

/// Guards against orders at each swing of the load: each one empties caches and costs seconds of drain.
#[test]
fn a_wave_does_not_flap() {
    let wave = |now_ms: u64, zone: &str| {
        let phase = ZONES.iter().position(|other| *other == zone).unwrap_or(0) as f64;
        USUAL * (1.0 + 0.3 * (now_ms as f64 / 11_000.0 * std::f64::consts::TAU + phase).sin())
    };
    let mut world = World::new(usual_scaling(), 30);
    world.run(45_000, wave);
    let from_ms = world.now_ms;
    world.run(60_000, wave);
    assert!(world.orders_since(from_ms) <= 2, "{:?}", world.orders);
}

/// Guards against a zone that stays without the engines that the platform has taken away.
#[test]
fn reclaimed_upstreams_are_replaced_by_permanent_ones() {
    let mut world = World::new(usual_scaling(), 10);
    world.run(60_000, steady(2.0 * USUAL));
    let before = world.count("a", false);
    assert!(world.count("a", true) >= 10, "{}", world.count("a", true));
    world.reclaim("a");
    world.has_reclaimable = false;
    world.run(6_000, steady(2.0 * USUAL));
    assert!(
        world.count("a", false) >= before + 5,
        "{before} {}",
        world.count("a", false)
    );
    let from_ms = world.now_ms;
    world.run(60_000, steady(2.0 * USUAL));
    let asked = world
        .orders
        .iter()
        .filter(|(at_ms, _, is_reclaimable, _)| *is_reclaimable && *at_ms > from_ms);
    assert!(asked.count() <= 6, "{:?}", world.orders);
}

/// Guards against a shrinking fleet while a zone's callers are out of reach for some seconds, and against too few
/// engines in the others.
#[test]
fn a_lost_zone_keeps_its_upstreams_and_the_others_can_carry_its_callers() {
    let mut world = World::new(usual_scaling(), 30);
    world.run(45_000, steady(USUAL));
    let before = world.count("a", false) + world.count("a", true);
    world.run(8_000, |_, zone| if zone == "a" { 0.0 } else { USUAL });
    assert_eq!(world.count("a", false) + world.count("a", true), before);
    let others: u32 = ["b", "c"]
        .map(|zone| world.count(zone, false) + world.count(zone, true))
        .iter()
        .sum();
    // Three zones keep 21 engines busy, at 260,000 tokens per second each.
    assert!(others >= 24, "{others}");
}

/// Guards against a plan that knows only the number of requests: the same number with longer prompts needs more.
#[test]
fn a_shift_to_longer_prompts_raises_the_number() {
    let mut world = World::new(usual_scaling(), 30);
    world.run(45_000, steady(USUAL / 2.0));
    let before = world.total();
    world.run(15_000, steady(USUAL));
    assert!(world.total() > before + 10, "{before} {}", world.total());
}

/// Guards against calls that repeat a refused order, and against a zone that waits for upstreams of the refused kind.
#[test]
fn where_no_reclaimable_upstreams_are_to_be_had_permanent_ones_serve() {
    let mut world = World::new(usual_scaling(), 12);
    world.has_reclaimable = false;
    world.run(45_000, steady(USUAL));
    // Seven engines of each zone are busy, and may be so for half of their time.
    for zone in ZONES {
        assert!(
            world.count(zone, false) >= 13,
            "{zone} {}",
            world.count(zone, false)
        );
    }
    assert!(world.orders.len() <= 24, "{:?}", world.orders);
}

/// Guards against a call at each plan while the platform does not answer.
#[test]
fn a_silent_platform_gets_no_more_than_an_order_a_second_for_each_kind_and_zone() {
    let mut world = World::new(usual_scaling(), 30);
    world.is_silent = true;
    world.run(20_000, steady(USUAL));
    assert!(!world.orders.is_empty());
    assert!(world.orders.len() <= 6 * 20, "{}", world.orders.len());
    world.is_silent = false;
    world.run(45_000, steady(USUAL));
    assert!(world.total() <= 66, "{}", world.total());
}

/// Guards against a new leader that begins with other counts than those that are there.
#[test]
fn a_new_leader_keeps_the_counts() {
    let mut world = World::new(usual_scaling(), 30);
    world.run(45_000, steady(USUAL));
    let before = world.total();
    world.planner.on_leading();
    let from_ms = world.now_ms;
    world.run(30_000, steady(USUAL));
    assert!(world.orders_since(from_ms) <= 6, "{:?}", world.orders);
    assert!(
        world.total().abs_diff(before) <= 9,
        "{before} {}",
        world.total()
    );
}

/// Guards against reclaimable upstreams that are hardly cheaper than the others.
#[test]
fn reclaimable_upstreams_at_nearly_the_full_price_are_not_ordered() {
    let scaling = Scaling {
        reclaimable_price: 0.95,
        ..usual_scaling()
    };
    let mut world = World::new(scaling, 30);
    world.run(45_000, steady(USUAL));
    assert!(
        world
            .orders
            .iter()
            .all(|(_, _, is_reclaimable, _)| !is_reclaimable)
    );
    assert!((33..=60).contains(&world.total()), "{}", world.total());
}

/// Guards against orders outside the bounds.
#[test]
fn equal_bounds_leave_the_number_as_it_is() {
    let scaling = Scaling {
        min: 20,
        max: 20,
        ..usual_scaling()
    };
    let mut world = World::new(scaling, 20);
    world.run(45_000, steady(USUAL));
    assert_eq!(world.total(), 60);
    let highest = world.orders.iter().map(|(.., count)| *count).max();
    assert!(highest.is_none_or(|highest| highest <= 20));
}

/// Guards against orders for services that the operator does not let scale.
#[test]
fn a_service_without_bounds_gets_no_orders() {
    let mut world = World::new(usual_scaling(), 30);
    let fixed = Service {
        scaling: None,
        ..service(usual_scaling())
    };
    world.planner.set_services([fixed]);
    assert!(!world.planner.is_active());
    world.run(20_000, steady(USUAL));
    assert_eq!(world.orders, []);
}
