//! The retry budget that all entries share without exchanging messages.

use gateway::budget::{RetryBudget, RetryBudgetSettings};

const ENTRIES: u32 = 8;
const REQUESTS: usize = 100;

/// Guards against entries that together exceed the budget although each stays within its own share in one window.
#[test]
fn the_sum_over_all_entries_stays_within_the_budget() {
    let settings = RetryBudgetSettings::default();
    let mut spent = 0;
    for _ in 0..ENTRIES {
        let mut budget = RetryBudget::default();
        for at_ms in 0..REQUESTS as u64 {
            budget.count_request(at_ms);
        }
        while budget.take_retries(1, &settings, 200, ENTRIES) {
            spent += 1;
        }
    }
    let requests = f64::from(ENTRIES) * REQUESTS as f64;
    assert!(
        f64::from(spent) <= settings.ratio * requests + settings.slack,
        "{spent}"
    );
}

/// Guards against a request that takes one retry out of the budget and makes two calls.
#[test]
fn two_calls_take_two_retries() {
    let settings = RetryBudgetSettings::default();
    let (mut single, mut double) = (RetryBudget::default(), RetryBudget::default());
    let mut singles = 0;
    while single.take_retries(1, &settings, 0, ENTRIES) {
        singles += 1;
    }
    let mut doubles = 0;
    while double.take_retries(2, &settings, 0, ENTRIES) {
        doubles += 1;
    }
    assert_eq!(doubles, singles / 2);
}

/// Guards against an entry that has just started, knows no other entry and spends the whole slack.
#[test]
fn an_entry_that_knows_no_others_spends_only_a_share_of_the_slack() {
    let settings = RetryBudgetSettings::default();
    let mut budget = RetryBudget::default();
    let mut spent = 0;
    while budget.take_retries(1, &settings, 0, 0) {
        spent += 1;
    }
    assert!(f64::from(spent) * 6.0 <= settings.slack, "{spent}");
}
