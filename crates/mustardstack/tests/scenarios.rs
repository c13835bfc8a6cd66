//! Scenarios against instances and stand-ins that run as processes of their own.
//!
//! `UPDATE_GOLDENFILES=1 cargo test -p mustardstack --test scenarios` writes the expected output
//! of a new scenario.

mod support;

use support::runner::ScenarioRunner;

fn run(name: &str) {
    let mut runner = ScenarioRunner::new().expect("the scenario's folder and runtime");
    let result = goldenscript::run(&mut runner, format!("tests/scenarios/{name}"));
    if let Err(error) = result {
        runner.print_logs();
        panic!("scenario {name}: {error}");
    }
}

/// Guards against a scenario language whose stand-ins do not run as processes.
#[test]
fn standins() {
    run("standins");
}

/// Guards against a path from caller to upstream that loses, cuts or repeats a request.
#[test]
fn whole_path() {
    run("whole_path");
}
