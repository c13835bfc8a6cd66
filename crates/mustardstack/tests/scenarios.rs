//! Runs the scenarios in `tests/scenarios` against instances and stand-ins, each in its own process.
//!
//! `UPDATE_GOLDENFILES=1 cargo test -p mustardstack --test scenarios` writes the expected output
//! of a new scenario.
#![forbid(unsafe_code)]

mod support;

use std::{
    net::TcpListener,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
};

use support::{port, runner::ScenarioRunner};

fn run(name: &str) {
    let mut runner = ScenarioRunner::new()
        .expect("the scenario's folder, runtime and HTTP client can be created");
    let result = goldenscript::run(&mut runner, format!("tests/scenarios/{name}"));
    if let Err(error) = result {
        panic!("scenario {name}: {error}");
    }
}

/// Guards against scenario commands that do not work on stand-ins.
#[test]
fn standins() {
    run("standins");
}

/// Guards against requests that are lost, truncated or run twice between caller and upstream.
#[test]
fn whole_path() {
    run("whole_path");
}

/// Guards against an engine crash that causes an error or a truncated answer at a caller.
#[test]
fn engine_crash() {
    run("engine_crash");
}

/// Guards against a killed voter that causes the loss of accepted changes or idempotency records, or failed requests.
#[test]
fn killed_voters() {
    run("killed_voters");
}

/// Guards against accepted changes or idempotency records that are kept only in memory.
#[test]
fn full_restart() {
    run("full_restart");
}

/// Guards against non-idempotent requests that run without a committed record, or that run after a "not run" refusal.
#[test]
fn majority_lost() {
    run("majority_lost");
}

/// Guards against a paused leader that blocks the other voters, or that still acts as leader after it is resumed.
#[test]
fn frozen_voters() {
    run("frozen_voters");
}

/// Guards against a voter with a wiped disk that votes under its old identity, or that never becomes a voter again.
#[test]
fn wiped_voter() {
    run("wiped_voter");
}

/// Guards against a partitioned leader that continues without a majority, or a partitioned voter that never catches up.
#[test]
fn cut_voters() {
    run("cut_voters");
}

/// Guards against a draining upstream that receives new requests or whose open requests are truncated.
#[test]
fn drained_upstream() {
    run("drained_upstream");
}

/// Guards against an order that is lost, is carried out twice or truncates answers.
#[test]
fn ordered_engine() {
    run("ordered_engine");
}

/// Guards against a partitioned instance that stops serving, runs non-idempotent requests without a record, or reverts
/// its configuration.
#[test]
fn cut_entry() {
    run("cut_entry");
}

/// Guards against an `apply` subcommand that does not put a configuration in force.
#[test]
fn cli_apply() {
    run("cli_apply");
}

/// Guards against two instances that may send orders to the same engine, and against an order gate that never moves.
#[test]
fn frozen_gate() {
    run("frozen_gate");
}

/// Guards against an engine that does not complete its role change after a crash.
#[test]
fn crashed_change() {
    run("crashed_change");
}

/// Guards against a non-idempotent call that runs again after the entry instance that sent it was killed.
#[test]
fn killed_entry() {
    run("killed_entry");
}

/// Guards against two accepted changes with the same base, and against a resent change that is accepted twice.
#[test]
fn racing_operators() {
    run("racing_operators");
}

/// Guards against a change that is lost or accepted twice when the leader is killed.
#[test]
fn leader_killed_during_apply() {
    run("leader_killed_during_apply");
}

/// Guards against revisions that are lost when all processes are killed after hundreds of changes.
#[test]
fn many_changes() {
    run("many_changes");
}

/// Guards against a drained instance that truncates answers or does not serve again after the drain.
#[test]
fn drained_entry() {
    run("drained_entry");
}

/// Guards against a port that is still held by a process which another scenario has just started.
#[test]
fn a_free_address_can_be_bound_while_processes_start() {
    const ADDRESSES: usize = 2_000;
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !is_done.load(Ordering::Relaxed) {
                    let child = port::spawn(&mut Command::new("true"));
                    child
                        .and_then(|mut child| child.wait())
                        .expect("the process runs");
                }
            });
        }
        let taken = (0..ADDRESSES)
            .map(|_| port::free_address().expect("a port is free"))
            .filter(|address| TcpListener::bind(address).is_err())
            .count();
        is_done.store(true, Ordering::Relaxed);
        assert_eq!(taken, 0, "of {ADDRESSES} addresses");
    });
}
