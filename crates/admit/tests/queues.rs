//! Order, bounds and accounting of the queues.

mod common;

use std::collections::BTreeMap;

use admit::{Discipline, Queues, Refusal, RunningRequest, WaitingRequest, choose_victim};
use common::{SERVICE_MS, client_account, config, waiting};
use quickcheck::{Arbitrary, Gen};

fn queues(floors: [f64; 3]) -> Queues {
    let mut queues = Queues::new(Discipline::Ranked);
    queues.apply_config(&config(floors));
    queues
}

#[derive(Clone, Debug)]
enum Step {
    Offer(WaitingRequest),
    Next(u8),
    Cancel(u64),
    Finish(u64, u16),
    Expire,
    Elapse(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = u64::from(u8::arbitrary(g) % 32);
        match u8::arbitrary(g) % 8 {
            0..=3 => {
                let client_accounts = ["a", "b", "c"];
                let models = ["m", "n"];
                Self::Offer(WaitingRequest {
                    client_account: (*g.choose(&client_accounts).unwrap()).into(),
                    model: (*g.choose(&models).unwrap()).into(),
                    tokens: u16::arbitrary(g).into(),
                    service_ms: u64::from(u8::arbitrary(g)) * 4,
                    deadline_ms: u64::from(u16::arbitrary(g) % 4_096),
                    readmitted: u8::arbitrary(g) % 8 == 0,
                    ..waiting(id, u8::arbitrary(g) % 3)
                })
            }
            4 => Self::Next(u8::arbitrary(g)),
            5 => Self::Cancel(id),
            6 => Self::Finish(id, u16::arbitrary(g)),
            _ => match bool::arbitrary(g) {
                true => Self::Expire,
                false => Self::Elapse(u8::arbitrary(g)),
            },
        }
    }
}

/// Runs the steps on queues with a limit of 5 requests a rank and checks each step against the requests that are
/// expected to wait.
fn check_steps(discipline: Discipline, steps: Vec<Step>) -> bool {
    let mut config = config([0.2, 0.2, 0.2]);
    config
        .ranks
        .iter_mut()
        .for_each(|rank| rank.queue_limit = 5);
    config.client_accounts = vec![
        client_account("a", 1.0),
        client_account("b", 2.0),
        client_account("c", 0.5),
    ];
    let mut queues = Queues::new(discipline);
    queues.apply_config(&config);
    let mut expected: BTreeMap<u64, WaitingRequest> = BTreeMap::new();
    let mut now_ms = 0;
    let mut offered = 0;
    for step in steps {
        match step {
            Step::Offer(waiting) => {
                offered += 1;
                let waiting = WaitingRequest {
                    id: offered,
                    ..waiting
                };
                if queues.offer(now_ms, waiting.clone()).is_ok() {
                    expected.insert(offered, waiting);
                }
            }
            Step::Next(salt) => {
                let next = queues.next(now_ms, |waiting| (waiting.id + u64::from(salt)) % 3 != 0);
                if let Some(next) = next {
                    let in_time = match discipline {
                        Discipline::Ranked => now_ms <= next.latest_start_ms(),
                        Discipline::SingleQueue => now_ms <= next.deadline_ms,
                    };
                    if !in_time || expected.remove(&next.id).is_none() {
                        return false;
                    }
                }
            }
            Step::Cancel(id) => {
                // `cancel` does not find a request that was displaced or has expired. `expire` returns that request.
                if queues.cancel(id) && expected.remove(&id).is_none() {
                    return false;
                }
            }
            Step::Finish(id, tokens) => queues.on_finish(now_ms, id, tokens.into()),
            Step::Expire => {
                for refused in queues.expire(now_ms) {
                    if expected.remove(&refused.request.id).is_none() {
                        return false;
                    }
                }
                let expired = |waiting: &WaitingRequest| match discipline {
                    Discipline::Ranked => waiting.latest_start_ms() < now_ms,
                    Discipline::SingleQueue => waiting.deadline_ms < now_ms,
                };
                if expected.values().any(expired) {
                    return false;
                }
            }
            Step::Elapse(ms) => now_ms += u64::from(ms),
        }
        let readmitted = expected
            .values()
            .filter(|waiting| waiting.readmitted)
            .count();
        let limit = match discipline {
            Discipline::Ranked => 5,
            Discipline::SingleQueue => 15,
        };
        if (0..3).any(|rank| queues.len(rank) > limit + readmitted) {
            return false;
        }
    }
    now_ms += 1_000_000;
    let left: Vec<u64> = queues
        .expire(now_ms)
        .iter()
        .map(|refused| refused.request.id)
        .collect();
    left.len() == expected.len()
        && left.iter().all(|id| expected.contains_key(id))
        && queues.is_empty()
}

/// Guards against requests that are lost, dispatched twice, kept past their deadlines or queued without bound.
#[test]
fn each_request_leaves_once_and_in_time() {
    fn property(steps: Vec<Step>) -> bool {
        check_steps(Discipline::Ranked, steps)
    }
    common::check(property as fn(_) -> bool);
}

/// Guards against the same faults in the baseline with a single queue.
#[test]
fn each_request_leaves_the_single_queue_once() {
    fn property(steps: Vec<Step>) -> bool {
        check_steps(Discipline::SingleQueue, steps)
    }
    common::check(property as fn(_) -> bool);
}

/// Guards against requests of one client account and rank that are not dispatched by deadline.
#[test]
fn one_client_account_is_served_by_deadline() {
    fn property(deadlines: Vec<u16>) -> bool {
        let mut queues = queues([0.0; 3]);
        for (id, deadline_ms) in deadlines.iter().take(100).enumerate() {
            let deadline_ms = 1_000 + u64::from(*deadline_ms);
            queues
                .offer(
                    0,
                    WaitingRequest {
                        deadline_ms,
                        ..waiting(id as u64, 1)
                    },
                )
                .unwrap();
        }
        let served: Vec<u64> = std::iter::from_fn(|| queues.next(0, |_| true))
            .map(|waiting| waiting.deadline_ms)
            .collect();
        served.is_sorted() && served.len() == deadlines.len().min(100)
    }
    common::check(property as fn(_) -> bool);
}

/// Guards against an urgent request that waits behind less urgent requests while no rank is below its floor.
#[test]
fn more_urgent_ranks_are_dispatched_first() {
    let mut queues = queues([0.0; 3]);
    for id in 0..9 {
        queues.offer(0, waiting(id, 2 - (id % 3) as u8)).unwrap();
    }
    let ranks: Vec<u8> = std::iter::from_fn(|| queues.next(0, |_| true))
        .map(|waiting| waiting.rank)
        .collect();
    assert_eq!(ranks, [0, 0, 0, 1, 1, 1, 2, 2, 2]);
}

/// Guards against a model without a free upstream that delays requests for other models.
#[test]
fn a_full_model_does_not_block_others() {
    let mut queues = queues([0.0; 3]);
    for id in 0..20 {
        queues.offer(0, waiting(id, 0)).unwrap();
    }
    let other = WaitingRequest {
        model: "n".into(),
        ..waiting(50, 2)
    };
    queues.offer(0, other).unwrap();
    let mut fit_checks = 0;
    let next = queues.next(0, |waiting| {
        fit_checks += 1;
        waiting.model == "n"
    });
    assert_eq!(next.unwrap().id, 50);
    assert!(fit_checks <= 10, "{fit_checks} fit checks");
}

/// Guards against a rank that is starved because a more urgent rank takes each slot as soon as it is free.
#[test]
fn a_rank_below_its_floor_reserves_the_next_slot() {
    let mut queues = queues([0.0, 0.0, 0.2]);
    for id in 0..10 {
        queues.offer(0, waiting(id, 0)).unwrap();
    }
    queues.offer(0, waiting(90, 2)).unwrap();
    // Only the most urgent rank may exceed the batch limit.
    assert!(queues.next(0, |waiting| waiting.rank == 0).is_none());
    assert_eq!(queues.next(0, |_| true).unwrap().id, 90);
    assert_eq!(queues.next(0, |waiting| waiting.rank == 0).unwrap().id, 0);
}

/// Guards against a service that is not served while requests of another service wait.
#[test]
fn services_are_dispatched_round_robin() {
    let mut queues = queues([0.0; 3]);
    for id in 0..10 {
        queues.offer(0, waiting(id, 0)).unwrap();
    }
    let plain = WaitingRequest {
        service: "rota".into(),
        tokens: 0,
        ..waiting(20, 2)
    };
    queues.offer(0, plain).unwrap();
    let served: Vec<u64> = (0..2)
        .map(|_| queues.next(0, |_| true).unwrap().id)
        .collect();
    assert!(served.contains(&20), "{served:?}");
}

/// Guards against a client account that exceeds its request rate, and against a request that is charged to another
/// account.
#[test]
fn client_accounts_are_held_to_their_rates() {
    let mut config = config([0.0; 3]);
    let mut limited = client_account("t", 1.0);
    limited.requests_per_s = 2.0;
    limited.burst = 3.0;
    config.client_accounts = vec![limited, client_account("other", 1.0)];
    let mut queues = Queues::new(Discipline::Ranked);
    queues.apply_config(&config);
    for id in 0..3 {
        assert_eq!(queues.offer(0, waiting(id, 1)), Ok(()));
    }
    let refusal = queues.offer(0, waiting(3, 1)).unwrap_err();
    assert_eq!(
        refusal,
        Refusal::RateLimited {
            retry_after_ms: 500
        }
    );
    let other = WaitingRequest {
        client_account: "other".into(),
        ..waiting(4, 1)
    };
    assert_eq!(queues.offer(0, other), Ok(()));
    let readmitted = WaitingRequest {
        readmitted: true,
        ..waiting(5, 1)
    };
    assert_eq!(queues.offer(0, readmitted), Ok(()));
    // Applying a configuration again must not refill the bucket.
    queues.apply_config(&config);
    assert!(queues.offer(100, waiting(6, 1)).is_err());
    assert_eq!(queues.offer(500, waiting(7, 1)), Ok(()));
}

/// Guards against a request that is admitted although its deadline cannot be met.
#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_at_once() {
    let mut queues = queues([0.0; 3]);
    let late = WaitingRequest {
        deadline_ms: SERVICE_MS - 1,
        ..waiting(1, 1)
    };
    assert!(matches!(
        queues.offer(0, late),
        Err(Refusal::TooLate { .. })
    ));
    let late_first_token = WaitingRequest {
        first_token_ms: 100,
        first_token_deadline_ms: 99,
        ..waiting(2, 1)
    };
    assert!(matches!(
        queues.offer(0, late_first_token),
        Err(Refusal::TooLate { .. })
    ));
}

/// Guards against a service with little traffic that is measured as slow, so that the first requests of a burst are
/// refused.
#[test]
fn a_burst_after_little_traffic_is_admitted() {
    let mut queues = queues([0.0; 3]);
    for second in 0..20 {
        queues.offer(second * 1_000, waiting(second, 1)).unwrap();
        assert!(queues.next(second * 1_000, |_| false).is_none());
        queues.next(second * 1_000 + 10, |_| true).unwrap();
    }
    // At capacity 20 requests are dispatched per second. The burst needs 1.5 s of the 5 s allowed.
    for id in 100..130 {
        let burst = WaitingRequest {
            deadline_ms: 25_000,
            ..waiting(id, 1)
        };
        assert_eq!(queues.offer(20_000, burst), Ok(()));
    }
}

/// Guards against a late or repeated end of a request that changes the charges to the ranks.
#[test]
fn unknown_and_repeated_finishes_change_no_shares() {
    let mut queues = queues([0.0; 3]);
    for id in 0..4 {
        queues.offer(0, waiting(id, (id % 2) as u8)).unwrap();
        queues.next(0, |_| true).unwrap();
    }
    queues.on_finish(10, 1, 3_000);
    let shares: Vec<f64> = (0..3)
        .map(|rank| queues.share(&"chat".into(), rank))
        .collect();
    assert!((shares[1] - 4.0 / 6.0).abs() < 1e-9, "{shares:?}");
    queues.on_finish(10, 1, 90_000);
    queues.on_finish(10, 77, 90_000);
    let after: Vec<f64> = (0..3)
        .map(|rank| queues.share(&"chat".into(), rank))
        .collect();
    assert_eq!(after, shares);
}

fn running(id: u64, rank: u8, lost_tokens: u32) -> RunningRequest {
    RunningRequest {
        id,
        rank,
        preemptible: true,
        lost_tokens,
        preemptions: 0,
    }
}

/// Guards against a preemption that cancels an urgent request, loses more tokens than needed or takes a rank below its
/// floor.
#[test]
fn the_victim_is_the_least_urgent_with_the_fewest_lost_tokens() {
    let all = [
        running(1, 1, 10),
        running(2, 2, 900),
        running(3, 2, 500),
        running(4, 0, 1),
    ];
    let protected = [false; 3];
    assert_eq!(choose_victim(0, &all, &protected), Some(3));
    assert_eq!(choose_victim(1, &all, &protected), Some(3));
    assert_eq!(choose_victim(2, &all, &protected), None);
    assert_eq!(choose_victim(0, &all, &[false, false, true]), Some(1));
    let not_preemptible = RunningRequest {
        preemptible: false,
        ..all[2]
    };
    let preempted_twice = RunningRequest {
        preemptions: 2,
        ..all[1]
    };
    assert_eq!(
        choose_victim(0, &[all[0], preempted_twice, not_preemptible], &protected),
        Some(1)
    );
}

/// Guards against preemptions without effect: the deadline is met without one, or is missed in spite of it.
#[test]
fn a_request_is_preempted_only_when_that_meets_a_deadline() {
    let chat = "chat".into();
    let all = [running(1, 2, 10)];
    let mut queues = queues([0.0; 3]);
    // Ten requests are dispatched while others wait, one every 100 ms.
    for id in 100..130 {
        queues.offer(0, waiting(id, 2)).unwrap();
    }
    assert!(queues.next(0, |_| false).is_none());
    for now_ms in (100..=1_000).step_by(100) {
        queues.next(now_ms, |_| true).unwrap();
    }
    let urgent = |id, deadline_ms| WaitingRequest {
        deadline_ms,
        ..waiting(id, 0)
    };
    queues
        .offer(1_000, urgent(1, 1_000 + SERVICE_MS + 500))
        .unwrap();
    assert_eq!(
        queues.preempt(1_000, &chat, &all),
        None,
        "a slot is free in time"
    );
    assert!(queues.cancel(1));
    queues
        .offer(1_000, urgent(2, 1_000 + SERVICE_MS + 50))
        .unwrap();
    let preemption = queues
        .preempt(1_000, &chat, &all)
        .expect("the deadline is at risk");
    assert_eq!((preemption.victim_id, preemption.waiting_id), (1, 2));
    assert_eq!(
        queues.preempt(1_045, &chat, &all),
        None,
        "the deadline cannot be met any more"
    );
}

/// Guards against a resumed request that is displaced and then reported as not run although it has run in part.
#[test]
fn a_readmitted_request_is_not_displaced() {
    let mut config = config([0.0; 3]);
    config.ranks[1].queue_limit = 2;
    config.client_accounts = vec![client_account("t", 1.0), client_account("calm", 1.0)];
    let mut queues = Queues::new(Discipline::Ranked);
    queues.apply_config(&config);
    let resumed = WaitingRequest {
        readmitted: true,
        deadline_ms: 2_000_000,
        ..waiting(1, 1)
    };
    queues.offer(0, resumed).unwrap();
    queues.offer(0, waiting(2, 1)).unwrap();
    let calm = WaitingRequest {
        client_account: "calm".into(),
        ..waiting(3, 1)
    };
    queues.offer(0, calm).unwrap();
    let refused: Vec<u64> = queues
        .expire(0)
        .iter()
        .map(|refused| refused.request.id)
        .collect();
    assert_eq!(refused, [2]);
}

/// Guards against a client account that keeps other accounts out of a full queue.
#[test]
fn a_full_queue_displaces_a_request_for_a_client_account_below_its_share() {
    let mut config = config([0.0; 3]);
    config.ranks[1].queue_limit = 4;
    config.client_accounts = vec![client_account("t", 1.0), client_account("calm", 1.0)];
    let mut queues = Queues::new(Discipline::Ranked);
    queues.apply_config(&config);
    for id in 0..4 {
        queues.offer(0, waiting(id, 1)).unwrap();
    }
    assert!(matches!(
        queues.offer(0, waiting(4, 1)),
        Err(Refusal::QueueFull { .. })
    ));
    let calm = |id| WaitingRequest {
        client_account: "calm".into(),
        ..waiting(id, 1)
    };
    queues.offer(0, calm(10)).unwrap();
    queues.offer(0, calm(11)).unwrap();
    assert!(
        queues.offer(0, calm(12)).is_err(),
        "both client accounts have their share"
    );
    let refused = queues.expire(0);
    assert_eq!(refused.len(), 2);
    for refused in refused {
        assert_eq!(refused.request.client_account, "t");
        assert!(matches!(refused.refusal, Refusal::Displaced { .. }));
    }
}
