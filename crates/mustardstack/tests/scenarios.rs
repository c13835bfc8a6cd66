//! Scenarios against instances and stand-ins that run as processes of their own.
//!
//! `UPDATE_GOLDENFILES=1 cargo test -p mustardstack --test scenarios` writes the expected output
//! of a new scenario.
#![forbid(unsafe_code)]

mod support;

use support::runner::ScenarioRunner;

fn run(name: &str) {
    let mut runner = ScenarioRunner::new().expect("the scenario's folder and runtime");
    let result = goldenscript::run(&mut runner, format!("tests/scenarios/{name}"));
    if let Err(error) = result {
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

/// Guards against an engine crash that a caller sees.
#[test]
fn engine_crash() {
    run("engine_crash");
}

/// Guards against a killed voter that takes accepted changes, records or the service with it.
#[test]
fn killed_voters() {
    run("killed_voters");
}

/// Guards against accepted changes or records that only live in memory.
#[test]
fn full_restart() {
    run("full_restart");
}

/// Guards against non-idempotent work that runs without a record, or a refusal that is not true.
#[test]
fn majority_lost() {
    run("majority_lost");
}

/// Guards against a paused leader that stops the others, or that acts on old authority when it goes on.
#[test]
fn frozen_voters() {
    run("frozen_voters");
}

/// Guards against a voter that votes under its old identity, or never counts again.
#[test]
fn wiped_voter() {
    run("wiped_voter");
}

/// Guards against a leader that goes on alone, or a cut-off voter that never catches up.
#[test]
fn cut_voters() {
    run("cut_voters");
}

/// Guards against a leaving upstream that still receives work or cuts what it carries.
#[test]
fn drained_upstream() {
    run("drained_upstream");
}

/// Guards against an order that is lost, repeated or cuts answers.
#[test]
fn ordered_engine() {
    run("ordered_engine");
}

/// Guards against a cut-off instance that stops serving, runs work without a record or reverts.
#[test]
fn cut_entry() {
    run("cut_entry");
}

/// Guards against a command line that cannot put a configuration in force.
#[test]
fn cli_apply() {
    run("cli_apply");
}

/// Guards against two processes that may order one engine, and against a gate that never moves.
#[test]
fn frozen_gate() {
    run("frozen_gate");
}

/// Guards against an engine that is left half changed after a crash.
#[test]
fn crashed_change() {
    run("crashed_change");
}

/// Guards against a call that runs again because the entry that sent it has died.
#[test]
fn killed_entry() {
    run("killed_entry");
}

/// Guards against two accepted changes with one base, and a resend that counts twice.
#[test]
fn racing_operators() {
    run("racing_operators");
}

/// Guards against a change that is lost or accepted twice when the leader dies.
#[test]
fn leader_killed_during_apply() {
    run("leader_killed_during_apply");
}

/// Guards against revisions that are lost when every process is killed after hundreds of changes.
#[test]
fn many_changes() {
    run("many_changes");
}

/// Guards against a drained instance that cuts answers or does not come back.
#[test]
fn drained_entry() {
    run("drained_entry");
}
