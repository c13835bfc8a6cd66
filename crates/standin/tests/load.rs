//! Tests of the load generator.

use std::time::Duration;

use conf::Name;
use standin::{
    RunningStandin,
    arrivals::{self, RequestLengths, Workload},
    engine,
    load::{self, ClientAccountLoad, LoadSettings, RankLoad},
    report::{LoadRunReport, RequestOutcome},
};

fn start_engines(settings: &engine::Settings, count: usize) -> Vec<RunningStandin> {
    let start = |_| engine::start(settings.clone()).expect("the engine starts");
    (0..count).map(start).collect()
}

fn small_settings() -> LoadSettings {
    LoadSettings {
        entries: vec!["127.0.0.1:1".into(), "127.0.0.1:2".into()],
        duration_ms: 100_000.0,
        client_accounts: vec![client_account("first", 3.0), client_account("second", 1.0)],
        ..LoadSettings::default()
    }
}

fn client_account(key: &'static str, share: f64) -> ClientAccountLoad {
    let key = Name::from_static_str(key);
    ClientAccountLoad { key, share }
}

/// Guards against arrivals that differ between two runs with the same seed, which would make two systems incomparable.
#[test]
fn arrivals_depend_on_the_seed_alone() {
    let settings = small_settings();
    assert_eq!(arrivals::arrivals(&settings), arrivals::arrivals(&settings));
    let other = LoadSettings {
        seed: 2,
        ..settings.clone()
    };
    assert_ne!(arrivals::arrivals(&settings), arrivals::arrivals(&other));
}

/// Guards against a load that differs from the settings, which are 7 requests per second for 100 s.
#[test]
fn rates_and_shares_follow_the_settings() {
    let all = arrivals::arrivals(&small_settings());
    assert!((630..=770).contains(&all.len()), "{} requests", all.len());
    let share = |wanted: &dyn Fn(&arrivals::Arrival) -> bool| {
        all.iter().filter(|a| wanted(a)).count() as f64 / all.len() as f64
    };
    assert!((share(&|a| a.rank == 0) - 0.2).abs() < 0.06);
    assert!((share(&|a| a.rank == 2) - 0.3).abs() < 0.06);
    assert!((share(&|a| a.client_account == 0) - 0.75).abs() < 0.06);
    assert!((share(&|a| a.entry == 0) - 0.5).abs() < 0.06);
    assert!(all.is_sorted_by(|a, b| a.at_ms <= b.at_ms));
}

/// Guards against a flood that changes the other requests or is not five times the capacity.
#[test]
fn a_flood_adds_five_times_the_capacity_to_the_same_requests() {
    let steady = arrivals::arrivals(&small_settings());
    for (workload, rank, client_account) in [
        (Workload::FloodLate, Some(2), None),
        (Workload::FloodUrgent, Some(0), None),
        (Workload::FloodClientAccount, None, Some(1)),
    ] {
        let settings = LoadSettings {
            workload,
            ..small_settings()
        };
        let flooded = arrivals::arrivals(&settings);
        let added: Vec<_> = flooded.iter().filter(|a| !steady.contains(a)).collect();
        assert_eq!(added.len() + steady.len(), flooded.len());
        // 50 requests per second for 50 s.
        assert!((2_300..=2_700).contains(&added.len()), "{}", added.len());
        assert!(added.iter().all(|a| rank.is_none_or(|rank| a.rank == rank)));
        assert!(
            added
                .iter()
                .all(|a| client_account.is_none_or(|index| a.client_account == index))
        );
        let (start_ms, end_ms) = arrivals::measurement_window_ms(&settings);
        let mut times = added.iter().map(|a| a.at_ms);
        assert!(times.all(|at_ms| (start_ms..end_ms).contains(&at_ms)));
    }
}

/// Guards against a swing that does not change the request lengths.
#[test]
fn swing_alternates_between_the_request_lengths() {
    let settings = LoadSettings {
        workload: Workload::Swing,
        ..small_settings()
    };
    for arrival in arrivals::arrivals(&settings) {
        let is_first_half = arrival.at_ms % settings.swing_period_ms < 15_000.0;
        let mix = match is_first_half {
            true => settings.prompt_heavy,
            false => settings.output_heavy,
        };
        assert_eq!(arrival.prompt_tokens, mix.prompt_tokens);
    }
}

/// Guards against a workload whose name the command line or a settings file does not accept.
#[test]
fn workloads_are_named_the_same_everywhere() {
    for (workload, name) in Workload::ALL {
        assert_eq!(workload.name(), name);
        assert_eq!(name.parse::<Workload>().ok(), Some(workload));
        let settings: LoadSettings =
            toml::from_str(&format!("workload = \"{name}\"")).expect("valid settings");
        assert_eq!(settings.workload, workload);
    }
    assert!("storm".parse::<Workload>().is_err());
}

/// Guards against answers that count towards the goodput although they are late, slow or incomplete.
#[test]
fn goodput_counts_complete_answers_within_every_target() {
    let rank = |name, worth| RankLoad {
        name: Name::from_static_str(name),
        target_first_token_ms: 100.0,
        target_between_tokens_ms: 20.0,
        target_total_ms: 1_000.0,
        worth,
        ..RankLoad::default()
    };
    let settings = LoadSettings {
        duration_ms: 2_000.0,
        ranks: vec![rank("urgent", 10.0), rank("late", 1.0)],
        ..small_settings()
    };
    let in_target_outcome = |rank| RequestOutcome {
        rank,
        is_complete: true,
        failure_reason: None,
        first_token_ms: Some(100.0),
        total_ms: 140.0,
        token_times_ms: vec![100.0, 120.0, 140.0],
        send_delay_ms: 1.0,
    };
    let outcomes = [
        in_target_outcome(0),
        in_target_outcome(1),
        in_target_outcome(1),
        RequestOutcome {
            first_token_ms: Some(101.0),
            ..in_target_outcome(0)
        },
        RequestOutcome {
            token_times_ms: vec![100.0, 121.0, 142.0],
            ..in_target_outcome(0)
        },
        RequestOutcome {
            total_ms: 1_001.0,
            ..in_target_outcome(0)
        },
        RequestOutcome {
            is_complete: false,
            failure_reason: Some("cut".into()),
            ..in_target_outcome(1)
        },
    ];
    let report = LoadRunReport::new(&settings, &outcomes);
    assert_eq!((report.ranks[0].offered, report.ranks[0].in_target), (4, 1));
    assert_eq!(
        (report.ranks[1].complete, report.ranks[1].in_target),
        (2, 2)
    );
    assert_eq!(report.total.goodput_per_s, 1.5);
    assert_eq!(report.total.worth_per_s, 6.0);
    assert_eq!(report.ranks[1].failures["cut"], 1);
    assert_eq!(report.ranks[0].token_share, 12.0 / 21.0);
    assert_eq!(report.to_string().lines().count(), 5);
}

/// Guards against a generator that loses requests or misjudges their answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_against_engines_accounts_for_every_request() {
    let engine_settings = engine::Settings {
        time_scale: 20.0,
        ..engine::Settings::default()
    };
    let engines = start_engines(&engine_settings, 2);
    let mix = RequestLengths {
        prompt_tokens: 500,
        output_tokens: 20,
    };
    let settings = LoadSettings {
        entries: engines
            .iter()
            .map(|engine| Name::from(engine.address().to_string()))
            .collect(),
        time_scale: 20.0,
        duration_ms: 20_000.0,
        capacity_requests_per_s: 10.0,
        mix,
        ..LoadSettings::default()
    };
    let offered = arrivals::arrivals(&settings).len() as u64;
    let report = tokio::time::timeout(Duration::from_secs(60), load::run(settings))
        .await
        .expect("the run ends")
        .expect("the run returns a report");
    assert_eq!(report.total.offered, offered);
    assert_eq!(report.total.complete, offered, "{report}");
    assert!(report.total.failures.is_empty(), "{report}");
}

/// Guards against refusals that the report does not count.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_counted_by_reason() {
    let engine_settings = engine::Settings {
        max_running: 1,
        max_waiting: 0,
        ..engine::Settings::default()
    };
    let engines = start_engines(&engine_settings, 1);
    let settings = LoadSettings {
        entries: vec![Name::from(engines[0].address().to_string())],
        duration_ms: 500.0,
        capacity_requests_per_s: 100.0,
        ..LoadSettings::default()
    };
    let report = load::run(settings).await.expect("the run returns a report");
    let refused = report.total.failures["503 queue is full (no run field)"];
    assert_eq!(report.total.complete + refused, report.total.offered);
    assert!(refused > 0, "{report}");
}
