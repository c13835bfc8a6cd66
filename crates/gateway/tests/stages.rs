//! Which engines the leader orders to change their role.

use conf::{Name, Role};
use fleet::UpstreamRecord;
use gateway::stages::Stages;

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

/// Returns the number of orders given over a time, with the roles changing as ordered.
fn play(
    stages: &mut Stages,
    upstreams: &mut [UpstreamRecord],
    from_ms: u64,
    until_ms: u64,
) -> usize {
    let mut count = 0;
    for now_ms in (from_ms..until_ms).step_by(500) {
        for order in stages.next_orders(now_ms, upstreams) {
            count += 1;
            let changed = upstreams.iter_mut().find(|one| one.id == order.upstream);
            changed.expect("orders go to listed engines").role = Some(order.role);
        }
    }
    count
}

fn decoders(upstreams: &[UpstreamRecord]) -> usize {
    let decoding = |one: &&UpstreamRecord| one.role == Some(Role::Decode);
    upstreams.iter().filter(decoding).count()
}

/// Guards against orders that follow a list which is still filling: they would have to be undone one by one, each taking
/// an engine away for seconds in the middle of traffic.
#[test]
fn a_list_that_fills_gets_its_orders_once() {
    let mut stages = Stages::default();
    assert_eq!(play(&mut stages, &mut engines(4), 0, 2_000), 0);
    let mut whole = engines(22);
    play(&mut stages, &mut whole, 2_000, 8_000);
    assert_eq!(decoders(&whole), 6);
    assert_eq!(play(&mut stages, &mut whole, 8_000, 60_000), 0);
}

/// Guards against an order for each engine that crashes or comes back in a large zone.
#[test]
fn a_small_deviation_of_a_large_zone_is_left() {
    let mut stages = Stages::default();
    let mut whole = engines(22);
    play(&mut stages, &mut whole, 0, 6_000);
    let crashed = whole.iter().position(|one| one.role == Some(Role::Decode));
    whole.remove(crashed.expect("some engines generate"));
    assert_eq!(play(&mut stages, &mut whole, 6_000, 40_000), 0);
}

/// Guards against a zone that stays without an engine that generates.
#[test]
fn a_zone_without_a_generating_engine_gets_one() {
    let mut stages = Stages::default();
    let mut whole = engines(3);
    play(&mut stages, &mut whole, 0, 6_000);
    whole.retain(|one| one.role != Some(Role::Decode));
    play(&mut stages, &mut whole, 6_000, 30_000);
    assert_eq!(decoders(&whole), 1);
}

/// Guards against leaving engines being ordered, and against a lone engine being told to compute prompts only.
#[test]
fn leaving_and_lone_engines_get_no_orders() {
    let mut stages = Stages::default();
    let mut lone = vec![engine(1, Role::Decode), engine(2, Role::Decode)];
    lone[1].draining = true;
    assert_eq!(play(&mut stages, &mut lone, 0, 30_000), 0);
}
