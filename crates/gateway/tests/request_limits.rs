//! Upstreams that state how many requests they take, replayed against entries and replicas.

mod scale_support;
mod support;

use conf::Name;
use scale_support::{Fleet, HUNDRED_ENTRIES, SMALL, prompt};

/// Time after which a stated limit binds, in milliseconds.
const CONTACT_WINDOW_MS: u64 = 3_000;
/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Share of the stated limit that an upstream may get in a window.
const TOLERANCE: f64 = 1.5;
/// Requests that an upstream may get in a window besides.
const SLACK: f64 = 5.0;

/// Returns the upstreams that got more than they allow, with the requests in the worst window and the allowed ones.
fn exceeded(fleet: &Fleet) -> Vec<(Name, usize, f64)> {
    let mut exceeded = Vec::new();
    for (upstream, sends_ms) in &fleet.limited_sends_ms {
        let allowed = fleet.limits[upstream] * WINDOW_MS as f64 / 1_000.0 * TOLERANCE + SLACK;
        let from_ms = fleet.stated_ms[upstream] + CONTACT_WINDOW_MS;
        let in_window = |start: &u64| {
            let window = *start..*start + WINDOW_MS;
            sends_ms
                .iter()
                .filter(|at_ms| window.contains(at_ms))
                .count()
        };
        let starts = sends_ms.iter().filter(|at_ms| **at_ms >= from_ms);
        let worst = starts.map(in_window).max().unwrap_or(0);
        if worst as f64 > allowed {
            exceeded.push((upstream.clone(), worst, allowed));
        }
    }
    exceeded
}

fn sends_since(fleet: &Fleet, from_ms: u64) -> usize {
    let sends = fleet.limited_sends_ms.values().flatten();
    sends.filter(|at_ms| **at_ms >= from_ms).count()
}

/// Guards against upstreams that get more requests than the limit that they state.
#[test]
fn upstreams_get_no_more_requests_than_they_state() {
    let mut fleet = Fleet::serving(SMALL, prompt);
    fleet.limit_engines(&[2.0, 6.8, 3.5, 0.5]);
    fleet.run(20_000);
    assert_eq!(exceeded(&fleet), []);
}

/// Guards against limits that are left unused, since the entries hold parts that they do not need.
#[test]
fn limited_upstreams_are_used() {
    let mut fleet = Fleet::serving(SMALL, prompt);
    fleet.limit_engines(&[4.0]);
    fleet.run(5_000);
    let from_ms = fleet.now_ms;
    fleet.run(10_000);
    // Every request needs one of the six engines that generate, so that these are the bottleneck.
    let allowed = 4.0 * 6.0 * 10.0;
    let sends = fleet
        .limited_sends_ms
        .iter()
        .filter(|(upstream, _)| fleet.is_decoder(upstream))
        .flat_map(|(_, sends_ms)| sends_ms);
    let sends = sends.filter(|at_ms| **at_ms >= from_ms).count() as f64;
    assert!(sends >= allowed * 0.8, "{sends} of {allowed}");
}

/// Guards against entries without a share that take a limit for ended, since they get no answers that state it.
#[test]
fn a_limit_holds_for_as_long_as_it_is_stated() {
    let mut fleet = Fleet::serving(HUNDRED_ENTRIES, prompt);
    fleet.limit_engines(&[1.0, 0.4]);
    fleet.run(25_000);
    assert_eq!(exceeded(&fleet), []);
}

/// Guards against small parts of a limit that add up to more, and against lost messages.
#[test]
fn a_hundred_entries_keep_to_a_limit() {
    let mut fleet = Fleet::serving(HUNDRED_ENTRIES, prompt);
    fleet.lost_one_in = 20;
    fleet.limit_engines(&[2.0, 0.7, 5.0]);
    fleet.run(12_000);
    assert_eq!(exceeded(&fleet), []);
}

/// Guards against entries and replicas that restart and add up to more than the limit.
#[test]
fn instances_that_restart_keep_to_a_limit() {
    let mut fleet = Fleet::serving(SMALL, prompt);
    fleet.limit_engines(&[2.0, 5.0]);
    fleet.run(6_000);
    let leader = fleet.leader().expect("a leader is elected");
    fleet.kill_replica(leader);
    fleet.run(3_000);
    fleet.restart_entries(2);
    fleet.run(10_000);
    assert_eq!(exceeded(&fleet), []);
}

/// Guards against limits that outlast their cause, and against all load that comes back at once.
#[test]
fn load_comes_back_when_a_limit_ends() {
    let mut fleet = Fleet::serving(SMALL, prompt);
    fleet.limit_engines(&[1.0]);
    fleet.run(8_000);
    let limited_ms = fleet.now_ms;
    fleet.limits.clear();
    fleet.run(25_000);
    let usual_ms = fleet.now_ms;
    fleet.run(5_000);
    let limited = sends_since(&fleet, limited_ms - 5_000) - sends_since(&fleet, limited_ms);
    let later = sends_since(&fleet, usual_ms);
    assert!(later > 3 * limited, "{later} after {limited}");
}
