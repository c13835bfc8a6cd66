//! Requests under which engines crash, replayed against entries and replicas.

mod scale_support;
mod support;

use gateway::Prompt;
use scale_support::{Fleet, HUNDRED_ENTRIES, SMALL};

/// Number of crashes after which the part that causes them must be known.
const MAX_CRASHES: usize = 5;
/// Time after that crash within which the knowledge reaches every entry, in milliseconds.
const CONTACT_WINDOW_MS: u64 = 3_000;
/// Requests with a known part that may still be sent, to learn whether engines still crash under them.
const MAX_LATER_SENDS: usize = 3;
/// Part under which engines crash.
const DEADLY_PART: u64 = 77;
/// One of the shared parts with which prompts begin.
const FIRST_PART: u64 = 1;

/// Prompts of three kinds that begin with the same part. One in 17 has the deadly part.
fn prompt(exchange: u64) -> Prompt {
    let second = match exchange.is_multiple_of(17) {
        true => DEADLY_PART,
        false => 100 + exchange % 160,
    };
    Prompt {
        parts: vec![
            (FIRST_PART, 8_000),
            (second, 5_000),
            (exchange + 1_000_000, 3_700),
        ],
        tokens: 16_700,
        max_output_tokens: 50,
    }
}

/// Returns how many requests with a deadly part were sent after the time at which every entry must know the part.
fn later_sends(fleet: &Fleet) -> usize {
    let Some(last_ms) = fleet.crashes_ms.get(MAX_CRASHES - 1) else {
        return 0;
    };
    let known_ms = last_ms + CONTACT_WINDOW_MS;
    let sends = fleet.deadly_sends_ms.iter();
    sends.filter(|at_ms| **at_ms > known_ms).count()
}

/// Guards against requests of one kind that crash one engine after the other.
#[test]
fn a_part_that_crashes_engines_is_sent_to_no_more_of_them() {
    let mut fleet = Fleet::serving(SMALL, prompt);
    fleet.deadly_parts = vec![DEADLY_PART];
    fleet.run(25_000);
    let crashes = fleet.crashes_ms.len();
    assert!(crashes >= 3, "{crashes} engines crashed");
    let sends = later_sends(&fleet);
    assert!(
        sends <= MAX_LATER_SENDS,
        "{sends} requests were sent, {crashes} engines crashed"
    );
}

/// Returns the share of the requests without a deadly part that arrived in a time and began at the first attempt.
fn begun_share(fleet: &Fleet, from_ms: u64, until_ms: u64) -> f64 {
    let requests: Vec<bool> = fleet
        .sound_requests
        .values()
        .filter(|request| (from_ms..until_ms).contains(&request.arrived_ms))
        .map(|request| request.has_begun)
        .collect();
    assert!(requests.len() >= 20, "{} requests", requests.len());
    let begun = requests.iter().filter(|has_begun| **has_begun).count();
    begun as f64 / requests.len() as f64
}

/// Guards against requests that are refused because they share the first part with requests that crash engines.
#[test]
fn requests_that_share_the_first_part_are_served() {
    let mut fleet = Fleet::serving(SMALL, prompt);
    fleet.deadly_parts = vec![DEADLY_PART, 103];
    let began_ms = fleet.now_ms;
    fleet.run(25_000);
    let usual = begun_share(&fleet, 0, began_ms - 1_000);
    let later = begun_share(&fleet, began_ms + 10_000, fleet.now_ms - 1_000);
    assert!(later >= usual / 2.0, "{later:.2} after {usual:.2}");
    assert!(later > 0.9, "{later:.2}");
    assert!(later_sends(&fleet) <= 2 * MAX_LATER_SENDS);
}

/// Guards against evidence that is too thin at each of many entries.
#[test]
fn a_hundred_entries_learn_of_a_deadly_part() {
    let mut fleet = Fleet::serving(HUNDRED_ENTRIES, prompt);
    fleet.lost_one_in = 20;
    fleet.deadly_parts = vec![DEADLY_PART];
    fleet.run(12_000);
    let sends = later_sends(&fleet);
    assert!(fleet.crashes_ms.len() >= 3);
    assert!(sends <= MAX_LATER_SENDS, "{sends} requests were sent");
}

/// Guards against blocks that a change of leader or new processes forget.
#[test]
fn a_deadly_part_stays_known_when_instances_restart() {
    let mut fleet = Fleet::serving(SMALL, prompt);
    fleet.deadly_parts = vec![DEADLY_PART];
    fleet.run(8_000);
    let leader = fleet.leader().expect("a leader is elected");
    fleet.kill_replica(leader);
    fleet.restart_entries(2);
    fleet.run(8_000);
    let sends = later_sends(&fleet);
    assert!(sends <= MAX_LATER_SENDS, "{sends} requests were sent");
}

/// Guards against parts that are blocked because engines crash for another reason.
#[test]
fn crashes_without_a_deadly_part_block_nothing() {
    let mut fleet = Fleet::serving(SMALL, prompt);
    let began_ms = fleet.now_ms;
    for round in 0..8 {
        for engine in 0..4 {
            fleet.crash_engine(round * 5 + engine);
            fleet.run(150);
        }
        fleet.run(2_000);
    }
    let ended_ms = fleet.now_ms;
    fleet.run(8_000);
    let usual = begun_share(&fleet, 0, began_ms - 1_000);
    let later = begun_share(&fleet, ended_ms + 4_000, fleet.now_ms - 1_000);
    assert!(later >= usual * 0.98, "{later:.2} after {usual:.2}");
}
