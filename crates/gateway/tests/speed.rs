//! The choice of upstreams whose speeds differ and change.

mod entry_support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use conf::{Name, Role};
use entry_support::{Driver, ZONE, engine, expect_call};
use fleet::{SpeedReport, UpstreamLoad};
use gateway::Prompt;
use gateway::entry::EntryEvent;
use gateway::place::{self, Choice, PlacementContext};
use gateway::speed::{Speed, Work};
use gateway::speed_reports::RecentSpeeds;
use gateway::upstream::Upstream;

const NOW_MS: u64 = 10_000;
/// Time from one request to the next in the simulation, in milliseconds.
const ARRIVAL_MS: u64 = 20;
/// Prompt tokens of each request in the simulation; 20 ms of work at the usual speed.
const TOKENS: u32 = 1_000;
/// Time from the end of the prompt to the first event at the usual speed, in milliseconds.
const FIRST_EVENT_MS: u64 = 40;
const ENGINES: [&str; 4] = ["slow", "b", "c", "d"];

fn choose(engines: &[Upstream], request_hash: u64, tokens: u32) -> Option<Choice> {
    let context = PlacementContext {
        now_ms: NOW_MS,
        zone: ZONE,
        failed_upstreams: &[],
        request_hash,
        gap_ms: 200,
        entries: 2,
        queued_ahead: 0,
        prefix_costs: None,
    };
    let prompt = Prompt {
        parts: vec![(1, tokens)],
        tokens,
        max_output_tokens: 50,
    };
    place::choose_engine(&context, &prompt, 0, engines.iter(), std::iter::empty())
}

fn engines(loads: &[u16], tokens_per_load: u32) -> Vec<Upstream> {
    let engines = loads.iter().enumerate().map(|(index, load)| {
        let mut upstream = Upstream::new(fleet::UpstreamRecord {
            id: Name::from(format!("engine-{index}")),
            ..engine("engine", ZONE, Role::Mixed)
        });
        upstream.set_others_load(&UpstreamLoad {
            running: 1,
            prompt_tokens: u32::from(*load % 2_000) * tokens_per_load,
            ..UpstreamLoad::default()
        });
        upstream
    });
    engines.collect()
}

seeded::quickcheck! {
    /// Guards against decisions that count tokens instead of the time that they take: at half or twice the speed, half or
    /// twice the tokens are placed alike.
    fn decisions_depend_on_time_and_not_on_tokens(loads: Vec<u16>, request_hash: u64) -> bool {
        let usual = choose(&engines(&loads, 2), request_hash, 800);
        [(200, 1, 400), (50, 4, 1_600)].into_iter().all(|(percent, tokens_per_load, tokens)| {
            let mut engines = engines(&loads, tokens_per_load);
            for engine in &mut engines {
                engine.speed.on_stated(NOW_MS, percent);
            }
            let choice = choose(&engines, request_hash, tokens);
            choice.map(|choice| choice.upstream) == usual.as_ref().map(|choice| choice.upstream.clone())
        })
    }

    /// Guards against other decisions in deployments whose upstreams state no slowness, whatever is measured there.
    fn upstreams_that_state_nothing_are_placed_as_before(loads: Vec<u16>, request_hash: u64) -> bool {
        let before = engines(&loads, 2);
        let mut measured = before.clone();
        for engine in &mut measured {
            engine.speed.on_measured(NOW_MS, Work::Prompt, 500.0, 20.0);
            engine.speed.on_measured(NOW_MS, Work::Output, 500.0, 20.0);
        }
        choose(&before, request_hash, 800) == choose(&measured, request_hash, 800)
            && measured.iter_mut().all(|engine| engine.speed.take_report(NOW_MS, 1).is_none())
    }
}

/// Guards against a reading that counts for longer than the state of a shared machine lasts.
#[test]
fn an_old_reading_no_longer_counts() {
    let mut speed = Speed::default();
    speed.on_stated(NOW_MS, 250);
    assert!(speed.prompt_factor(NOW_MS) > 2.4);
    assert!(speed.prompt_factor(NOW_MS + 1_000) < 1.25);
    let mut other = Speed::default();
    other.on_report(
        NOW_MS + 1_000,
        &SpeedReport {
            stated_percent: 250,
            age_ms: 1_000,
            ..SpeedReport::default()
        },
    );
    let factor = other.prompt_factor(NOW_MS + 1_000);
    assert!((1.0..1.25).contains(&factor), "{factor}");
}

/// Guards against a single late answer after which an upstream counts as slow.
#[test]
fn a_few_outliers_change_the_speed_little() {
    let mut speed = Speed::default();
    speed.on_stated(NOW_MS, 100);
    for step in 0..40 {
        let duration_ms = if step % 20 == 19 { 2_000.0 } else { 20.0 };
        speed.on_measured(NOW_MS + step * 100, Work::Prompt, duration_ms, 20.0);
    }
    let factor = speed.prompt_factor(NOW_MS + 4_000);
    assert!(factor < 1.3, "{factor}");
    let output_factor = speed.output_factor(NOW_MS + 4_000);
    assert!((output_factor - 1.0).abs() < 0.01, "{output_factor}");
}

/// Sends requests to one entry for some time and returns how many the first engine got in each second. `slowness`
/// returns how many times longer that engine takes at a time, and what it states of that in percent.
fn requests_of_first(seconds: u64, slowness: impl Fn(u64) -> (u64, u16)) -> Vec<u32> {
    let listed = ENGINES.iter().map(|id| engine(id, ZONE, Role::Mixed));
    let mut driver = Driver::new(listed.collect());
    let start_ms = driver.now_ms;
    let mut free_ms = [start_ms; ENGINES.len()];
    let mut counts = vec![0; seconds as usize];
    let mut ends: BinaryHeap<Reverse<(u64, u64, usize)>> = BinaryHeap::new();
    for at_ms in 0..seconds * 1_000 {
        driver.now_ms = start_ms + at_ms;
        let (times, percent) = slowness(at_ms);
        while ends
            .peek()
            .is_some_and(|Reverse((end_ms, ..))| *end_ms <= driver.now_ms)
            && let Some(Reverse((_, exchange, index))) = ends.pop()
        {
            driver.step(EntryEvent::SlownessStated {
                upstream: ENGINES[index].into(),
                percent: if index == 0 { percent } else { 100 },
            });
            driver.step(EntryEvent::Started { exchange });
            driver.step(EntryEvent::Closed {
                exchange,
                is_complete: true,
            });
        }
        if at_ms % ARRIVAL_MS == 0 {
            let request = driver.prompt(0, (1, 0), TOKENS);
            let (exchange, directive) = driver.arrive(request);
            let call = expect_call(directive);
            let index = ENGINES.iter().position(|id| *id == call.upstream.as_str());
            let index = index.expect("the engine is listed");
            let times = if index == 0 { times } else { 1 };
            free_ms[index] = free_ms[index].max(driver.now_ms) + u64::from(TOKENS) / 50 * times;
            let first_event_ms = free_ms[index] + FIRST_EVENT_MS * times;
            ends.push(Reverse((first_event_ms, exchange, index)));
            counts[(at_ms / 1_000) as usize] += u32::from(index == 0);
        }
    }
    counts
}

/// Guards against an engine that turns slow and goes on to get its usual share, and against one that gets none after
/// it has recovered.
#[test]
fn a_slow_engine_gets_less_within_a_second_and_more_after_its_recovery() {
    let is_slow = |at_ms: u64| (2_000..8_000).contains(&at_ms);
    let stated = requests_of_first(14, |at_ms| if is_slow(at_ms) { (4, 400) } else { (1, 100) });
    let unstated = requests_of_first(14, |at_ms| if is_slow(at_ms) { (4, 100) } else { (1, 100) });
    for counts in [stated, unstated] {
        let usual = counts[1];
        let slow: u32 = counts[3..8].iter().sum();
        assert!(slow < usual * 5 / 2, "{counts:?}");
        assert!(slow > 0, "{counts:?}");
        let recovered: u32 = counts[11..14].iter().sum();
        assert!(recovered > usual * 3 / 2, "{counts:?}");
    }
}

/// Guards against measurements that are not passed on since the upstream itself states nothing.
#[test]
fn measurements_of_an_upstream_that_states_nothing_reach_other_entries() {
    let mut speed = Speed::default();
    speed.put_in_use();
    for _ in 0..20 {
        speed.on_measured(NOW_MS, Work::Prompt, 80.0, 20.0);
    }
    let mut recent = RecentSpeeds::default();
    let reports: Vec<SpeedReport> = speed.take_report(NOW_MS + 100, 7).into_iter().collect();
    recent.push(NOW_MS + 100, &"entry".into(), reports);
    let mut other = Speed::default();
    other.put_in_use();
    for report in recent.unknown_to(NOW_MS + 200, &"other".into(), 0) {
        other.on_report(NOW_MS + 200, &report);
    }
    assert!(other.prompt_factor(NOW_MS + 200) > 1.05);
}

/// Guards against entries that learn only from their own few calls, and against a report that comes back to its sender.
#[test]
fn a_replica_passes_reports_on_to_the_other_entries() {
    let mut recent = RecentSpeeds::default();
    let report = SpeedReport {
        upstream_key: 7,
        stated_percent: 250,
        age_ms: 30,
        ..SpeedReport::default()
    };
    recent.push(NOW_MS, &"entry".into(), vec![report]);
    assert!(
        recent
            .unknown_to(NOW_MS + 100, &"entry".into(), 0)
            .is_empty()
    );
    let passed_on = recent.unknown_to(NOW_MS + 100, &"other".into(), 0);
    let aged = SpeedReport {
        age_ms: 130,
        ..report
    };
    assert_eq!(passed_on, [aged]);
    assert!(
        recent
            .unknown_to(NOW_MS + 100, &"other".into(), recent.next())
            .is_empty()
    );
    assert!(
        recent
            .unknown_to(NOW_MS + 5_000, &"other".into(), 0)
            .is_empty()
    );
}
