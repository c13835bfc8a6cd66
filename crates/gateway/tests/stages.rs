//! The orders by which the leader changes the roles of engines.

use conf::{Name, Role};
use fleet::UpstreamRecord;
use gateway::stages::RolePlanner;

fn engine(index: usize, role: Role) -> UpstreamRecord {
    UpstreamRecord {
        id: Name::from(format!("engine-{index}")),
        service: "assistant".into(),
        address: Name::from(format!("10.0.0.{index}:80")),
        availability_zone: "a".into(),
        slots: 64,
        role: Some(role),
        ..UpstreamRecord::default()
    }
}

fn engines(count: usize) -> Vec<UpstreamRecord> {
    (0..count)
        .map(|index| {
            engine(
                index,
                if index % 3 == 0 {
                    Role::Prefill
                } else {
                    Role::Decode
                },
            )
        })
        .collect()
}

/// Runs the planner over a time span in which each order takes effect at once, and returns the number of orders.
fn run_planner(
    planner: &mut RolePlanner,
    upstreams: &mut [UpstreamRecord],
    from_ms: u64,
    until_ms: u64,
) -> usize {
    let mut count = 0;
    for now_ms in (from_ms..until_ms).step_by(500) {
        for order in planner.next_orders(now_ms, upstreams) {
            count += 1;
            let engine = upstreams
                .iter_mut()
                .find(|engine| engine.id == order.upstream);
            engine.expect("the order names a listed engine").role = Some(order.role);
        }
    }
    count
}

fn decoders(upstreams: &[UpstreamRecord]) -> usize {
    let generates = |engine: &&UpstreamRecord| engine.role == Some(Role::Decode);
    upstreams.iter().filter(generates).count()
}

/// Guards against orders that follow a list which is still filling. Such orders would have to be reverted one by one,
/// and each makes an engine unavailable for seconds under traffic.
#[test]
fn a_filling_list_causes_orders_only_once() {
    let mut planner = RolePlanner::default();
    assert_eq!(run_planner(&mut planner, &mut engines(4), 0, 2_000), 0);
    let mut all = engines(22);
    run_planner(&mut planner, &mut all, 2_000, 8_000);
    assert_eq!(decoders(&all), 6);
    assert_eq!(run_planner(&mut planner, &mut all, 8_000, 60_000), 0);
}

/// Guards against an order for each engine that crashes or restarts in a large zone.
#[test]
fn a_small_deviation_in_a_large_zone_causes_no_order() {
    let mut planner = RolePlanner::default();
    let mut all = engines(22);
    run_planner(&mut planner, &mut all, 0, 6_000);
    let crashed = all
        .iter()
        .position(|engine| engine.role == Some(Role::Decode));
    all.remove(crashed.expect("some engines generate"));
    assert_eq!(run_planner(&mut planner, &mut all, 6_000, 40_000), 0);
}

/// Guards against a zone that is left without an engine that generates.
#[test]
fn a_zone_without_a_generating_engine_gets_one() {
    let mut planner = RolePlanner::default();
    let mut all = engines(3);
    run_planner(&mut planner, &mut all, 0, 6_000);
    all.retain(|engine| engine.role != Some(Role::Decode));
    run_planner(&mut planner, &mut all, 6_000, 30_000);
    assert_eq!(decoders(&all), 1);
}

/// Guards against orders to draining engines, and against the only engine of a zone becoming a prefill engine.
#[test]
fn draining_and_only_engines_get_no_orders() {
    let mut planner = RolePlanner::default();
    let mut lone = vec![engine(1, Role::Decode), engine(2, Role::Decode)];
    lone[1].draining = true;
    assert_eq!(run_planner(&mut planner, &mut lone, 0, 30_000), 0);
}

/// Guards against requests to an engine that rejects them because it is changing its role, and against an engine that is
/// left unused because its order was not answered.
#[test]
fn an_engine_with_an_accepted_order_is_changing_until_the_list_shows_its_role() {
    let mut upstreams = engines(9);
    let mut planner = RolePlanner::default();
    planner.next_orders(0, &upstreams);
    let orders = planner.next_orders(3_000, &upstreams);
    let (accepted, unanswered) = (&orders[0], &orders[1]);
    planner.on_accepted(&accepted.upstream);
    let is_changing = |planner: &RolePlanner, upstreams: &[UpstreamRecord], id: &Name| {
        let engine = upstreams.iter().find(|engine| engine.id == *id);
        planner.is_changing(engine.expect("the order names a listed engine"))
    };
    assert!(is_changing(&planner, &upstreams, &accepted.upstream));
    assert!(!is_changing(&planner, &upstreams, &unanswered.upstream));
    for engine in &mut upstreams {
        if engine.id == accepted.upstream {
            engine.role = Some(accepted.role);
        }
    }
    assert!(!is_changing(&planner, &upstreams, &accepted.upstream));
}

/// Guards against new engines that generate for seconds before they compute prompts, where orders by demand start many
/// engines at once and the platform starts all of them in one role.
#[test]
fn new_engines_get_their_roles_at_once_where_numbers_follow_demand() {
    let mut planner = RolePlanner::default();
    planner.set_scaled(true);
    let mut upstreams = engines(12);
    run_planner(&mut planner, &mut upstreams, 0, 20_000);
    assert_eq!(decoders(&upstreams), 3);
    upstreams.extend((12..24).map(|index| engine(index, Role::Decode)));
    let orders = run_planner(&mut planner, &mut upstreams, 20_000, 21_000);
    assert_eq!((orders, decoders(&upstreams)), (9, 6));
}

/// Guards against a zone whose last generating engines have left by an order of fewer engines.
#[test]
fn a_role_that_has_left_is_replaced_at_once_where_numbers_follow_demand() {
    let mut planner = RolePlanner::default();
    planner.set_scaled(true);
    let mut upstreams = engines(12);
    run_planner(&mut planner, &mut upstreams, 0, 20_000);
    upstreams.retain(|engine| engine.role == Some(Role::Prefill));
    run_planner(&mut planner, &mut upstreams, 20_000, 20_500);
    assert!(decoders(&upstreams) > 0);
}
