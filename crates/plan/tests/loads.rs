//! Weight loads under the store's rate limit.

use plan::{WeightLoad, WeightLoadQueue};
use quickcheck::{Gen, QuickCheck};

fn load(index: usize, bytes: u64, worth: f64) -> WeightLoad {
    WeightLoad {
        upstream: format!("e{index}").into(),
        weights: "m@1".into(),
        bytes,
        worth,
    }
}

/// Guards against loads that exceed the budget in total, for any sizes and times.
#[test]
fn loads_stay_within_the_budget() {
    fn property(sizes: Vec<u16>, pauses: Vec<u8>) -> bool {
        let mut queue = WeightLoadQueue::new(1_000.0, 5_000.0);
        for (index, bytes) in sizes.iter().enumerate() {
            queue.offer(load(index, u64::from(*bytes), 1.0));
        }
        let (mut now_ms, mut bytes_before_last) = (0, 0.0);
        for pause in pauses {
            now_ms += u64::from(pause) * 20;
            while let Some(load) = queue.next(now_ms) {
                // The last load may exceed the budget. The loads that started before it may not.
                if bytes_before_last > 5_000.0 + now_ms as f64 {
                    return false;
                }
                bytes_before_last += load.bytes as f64;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 1))
        .quickcheck(property as fn(_, _) -> _);
}

/// Guards against a load that starts before a load of higher worth.
#[test]
fn loads_start_by_worth_and_then_by_age() {
    let mut queue = WeightLoadQueue::new(1e9, 1e9);
    for (index, worth) in [1.0, 5.0, 3.0, 5.0].into_iter().enumerate() {
        queue.offer(load(index, 1, worth));
    }
    let order: Vec<String> = std::iter::from_fn(|| queue.next(0))
        .map(|load| load.upstream.to_string())
        .collect();
    assert_eq!(order, ["e1", "e3", "e2", "e0"]);
}

/// Guards against a load larger than the burst that never starts, and against other loads that start before the budget
/// has recovered from it.
#[test]
fn a_load_above_the_burst_starts_and_delays_the_next_load() {
    let mut queue = WeightLoadQueue::new(1_000.0, 1_000.0);
    queue.offer(load(0, 10_000, 2.0));
    queue.offer(load(1, 10, 1.0));
    assert_eq!(queue.next(0).unwrap().bytes, 10_000);
    assert!(queue.next(8_999).is_none());
    assert!(queue.next(9_100).is_some());
}

/// Guards against repeated requests to a store that has refused a load, and against losing the refused load.
#[test]
fn a_refused_load_waits_and_is_kept() {
    let mut queue = WeightLoadQueue::new(1_000.0, 1_000.0);
    queue.offer(load(0, 500, 1.0));
    let refused = queue.next(0).unwrap();
    queue.on_rate_limited(0, 2_000, refused);
    assert!(queue.next(1_999).is_none());
    assert_eq!(queue.next(2_000).unwrap().upstream, "e0");
    assert!(queue.is_empty());
}

/// Guards against a load that is queued twice, and against loads for engines that have left.
#[test]
fn one_entry_for_each_engine_and_weights() {
    let mut queue = WeightLoadQueue::new(1_000.0, 1_000.0);
    queue.offer(load(0, 500, 1.0));
    queue.offer(load(0, 500, 7.0));
    queue.offer(load(1, 500, 3.0));
    assert_eq!(queue.len(), 2);
    assert_eq!(queue.next(0).unwrap().worth, 7.0);
    queue.remove(&"e1".into());
    assert!(queue.is_empty());
}
