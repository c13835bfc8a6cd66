//! The role planner.

#[path = "../examples/fake/mod.rs"]
mod fake;

use conf::{Name, Role};
use fake::Mix;
use plan::{Demand, Engine, Planner, PlannerConfig, PlannerMode, RoleChange};
use quickcheck::{Gen, QuickCheck, Testable};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const LENGTH_MS: u64 = 1_800_000;

/// Checks a property on 200 cases. The seed is fixed, so that a failure repeats; `SEED` sets another one.
fn check<A: Testable>(property: A) {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    let generator = Gen::from_size_and_seed(40, seed.unwrap_or(1));
    QuickCheck::new()
        .rng(generator)
        .tests(200)
        .quickcheck(property);
}

fn role(number: u8) -> Role {
    [Role::Mixed, Role::Prefill, Role::Decode][number as usize % 3]
}

fn engine(index: usize, role: Role) -> Engine {
    Engine {
        name: format!("e{index}").into(),
        availability_zone: "z0".into(),
        role,
        ..Engine::default()
    }
}

fn demand(prompt_per_s: f64, output_per_s: f64) -> Demand {
    Demand {
        prompt_tokens: prompt_per_s * 5.0,
        output_tokens: output_per_s * 5.0,
        window_ms: 5_000,
    }
}

fn planner(mode: PlannerMode) -> Planner {
    Planner::new(PlannerConfig {
        mode,
        ..PlannerConfig::default()
    })
}

/// Plans the same demand until the planner returns a change, for at most 20 windows.
fn first_change(planner: &mut Planner, demand: &Demand, engines: &[Engine]) -> Option<RoleChange> {
    (0..20).find_map(|window| planner.plan(window * 5_000, &"chat".into(), demand, engines))
}

fn covers(engines: &[Engine], zone: &Name, role: Role, without: &Name) -> bool {
    engines.iter().any(|engine| {
        engine.availability_zone == *zone
            && !engine.draining
            && engine.name != *without
            && (engine.role == role || engine.role == Role::Mixed)
    })
}

/// Guards against a change that leaves a zone without an engine for a needed role, and against two changes at the same
/// time.
#[test]
fn changes_come_one_at_a_time_and_keep_each_needed_role() {
    fn property(engines: Vec<(u8, u8, bool)>, demands: Vec<(u16, u16)>, mode: bool) -> bool {
        let mut engines: Vec<Engine> = engines
            .iter()
            .enumerate()
            .map(|(index, (zone, number, draining))| Engine {
                availability_zone: format!("z{}", zone % 3).into(),
                draining: *draining,
                ..engine(index, role(*number))
            })
            .collect();
        let mut planner = planner(if mode {
            PlannerMode::Hysteresis
        } else {
            PlannerMode::NoHysteresis
        });
        let mut pending: Option<(RoleChange, u64)> = None;
        for (window, (prompt, output)) in (0..).zip(demands) {
            let now_ms = window * 5_000;
            let done = pending.take_if(|(_, done_ms)| *done_ms <= now_ms);
            if let Some((change, _)) = done {
                let index = engines
                    .iter()
                    .position(|engine| engine.name == change.upstream);
                engines[index.unwrap()].role = change.to;
            }
            let demand = demand(f64::from(prompt) * 10.0, f64::from(output) / 2.0);
            let Some(change) = planner.plan(now_ms, &"chat".into(), &demand, &engines) else {
                continue;
            };
            let found = engines.iter().find(|engine| engine.name == change.upstream);
            let changed = found.unwrap();
            let zone = &changed.availability_zone;
            let prompt_kept =
                prompt == 0 || covers(&engines, zone, Role::Prefill, &change.upstream);
            let output_kept = output < 2 || covers(&engines, zone, Role::Decode, &change.upstream);
            if pending.is_some() || changed.draining || !prompt_kept || !output_kept {
                return false;
            }
            pending = Some((change, now_ms + 15_000));
        }
        true
    }
    check(property as fn(_, _, _) -> _);
}

/// Guards against roles that follow each swing of the mix, so that the drains lose more tokens than the changes gain.
#[test]
fn swings_cause_few_changes_at_no_loss() {
    let periods = [20_000, 60_000, 240_000];
    for (efficiency, period_ms) in periods.into_iter().flat_map(|ms| [(0.9, ms), (0.6, ms)]) {
        let mix = Mix::Swing { period_ms };
        for seed in SEEDS {
            let with_hysteresis =
                fake::run(PlannerMode::Hysteresis, mix, efficiency, seed, LENGTH_MS);
            let without_hysteresis =
                fake::run(PlannerMode::NoHysteresis, mix, efficiency, seed, LENGTH_MS);
            let context = format!(
                "{efficiency}, {period_ms} ms, seed {seed}: {with_hysteresis:?}, {without_hysteresis:?}"
            );
            assert!(
                with_hysteresis.changes * 3 <= without_hysteresis.changes,
                "{context}"
            );
            assert!(
                with_hysteresis.served_tokens >= without_hysteresis.served_tokens,
                "{context}"
            );
        }
    }
}

/// Guards against hysteresis that never follows a permanent change of the mix.
#[test]
fn roles_follow_a_lasting_shift() {
    for seed in SEEDS {
        let planned = fake::run(PlannerMode::Hysteresis, Mix::Shift, 0.9, seed, LENGTH_MS);
        let unplanned = fake::run(PlannerMode::Static, Mix::Shift, 0.9, seed, LENGTH_MS);
        assert!(planned.changes > 0);
        assert_eq!(unplanned.changes, 0);
        assert!(
            planned.served_tokens > unplanned.served_tokens * 1.05,
            "{planned:?}, {unplanned:?}"
        );
    }
}

/// Guards against a change while the whole demand is served.
#[test]
fn no_role_changes_without_a_gain() {
    let engines = [
        engine(0, Role::Prefill),
        engine(1, Role::Decode),
        engine(2, Role::Mixed),
    ];
    for mode in [
        PlannerMode::Hysteresis,
        PlannerMode::NoHysteresis,
        PlannerMode::Static,
    ] {
        let change = first_change(&mut planner(mode), &demand(10_000.0, 500.0), &engines);
        assert_eq!(change, None, "{mode:?}");
    }
}

/// Guards against a change to a dedicated role where a mixed role serves as many tokens.
#[test]
fn mixed_roles_are_preferred() {
    let engines = [
        engine(0, Role::Prefill),
        engine(1, Role::Prefill),
        engine(2, Role::Decode),
    ];
    let change = first_change(
        &mut planner(PlannerMode::Hysteresis),
        &demand(1_000.0, 1_500.0),
        &engines,
    );
    assert_eq!(change.map(|change| change.to), Some(Role::Mixed));
}

/// Guards against a cache that counts as lost although the engine can export it, and against the loss of a cache that
/// cannot be exported.
#[test]
fn an_exported_cache_is_not_lost() {
    let with_export = |exports_kv| {
        let cached = |index, role| Engine {
            cached_tokens: 1e9,
            exports_kv,
            ..engine(index, role)
        };
        [
            cached(0, Role::Prefill),
            cached(1, Role::Prefill),
            cached(2, Role::Decode),
        ]
    };
    let demand = demand(1_000.0, 1_900.0);
    let change = first_change(
        &mut planner(PlannerMode::Hysteresis),
        &demand,
        &with_export(true),
    );
    assert!(change.expect("the gain exceeds the loss").export_kv);
    let change = first_change(
        &mut planner(PlannerMode::Hysteresis),
        &demand,
        &with_export(false),
    );
    assert_eq!(change, None);
}

/// Guards against a planner that waits forever for a change that was refused, that failed or whose engine has left.
#[test]
fn a_failed_change_does_not_block_the_next() {
    let engines = [
        engine(0, Role::Prefill),
        engine(1, Role::Prefill),
        engine(2, Role::Decode),
    ];
    let demand = demand(1_000.0, 1_900.0);
    let chat: Name = "chat".into();
    let plan_from = |planner: &mut Planner, from_ms: u64, engines: &[Engine]| {
        (0..30).find_map(|window| planner.plan(from_ms + window * 5_000, &chat, &demand, engines))
    };
    let mut planner = planner(PlannerMode::Hysteresis);
    let first = plan_from(&mut planner, 0, &engines).unwrap();
    assert_eq!(planner.plan(100_000, &chat, &demand, &engines), None);
    planner.on_refused(&chat);
    assert!(plan_from(&mut planner, 100_000, &engines).is_some());
    assert!(
        plan_from(&mut planner, 300_000, &engines).is_some(),
        "the second change timed out"
    );
    let left: Vec<Engine> = engines
        .into_iter()
        .filter(|engine| engine.name != first.upstream)
        .collect();
    assert_eq!(left.len(), 2);
    assert!(
        plan_from(&mut planner, 500_000, &left).is_none(),
        "each role is needed"
    );
}
