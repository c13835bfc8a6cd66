//! The decisions of an entry when upstreams fail, drain or change their role.

mod entry_support;

use conf::{Name, Role};
use entry_support::{Driver, OTHER_ZONE, ZONE, engine, expect_call, expect_refusal, plain};
use gateway::entry::{EntryEffect, EntryEvent};
use gateway::exchange::Task;
use gateway::{Directive, Outcome, RefusalReason, RequestKind};

fn plain_driver() -> Driver {
    Driver::new(vec![plain("near", ZONE), plain("far", OTHER_ZONE)])
}

/// Guards against a non-idempotent request that runs twice, and against a refusal that reports the request as not run
/// although it may have run.
#[test]
fn a_non_idempotent_request_that_may_have_run_is_not_sent_again() {
    for outcome in [Outcome::Broken, Outcome::TimedOut] {
        let mut driver = plain_driver();
        let request = driver.request(RequestKind::NonIdempotent, 0);
        let (exchange, directive) = driver.arrive(request);
        expect_call(directive);
        let refusal = expect_refusal(driver.fail_call(exchange, outcome));
        assert!(!refusal.reason.is_not_run(), "{refusal:?}");
    }
}

/// Guards against the refusal of a request that no upstream has run.
#[test]
fn a_non_idempotent_request_that_has_not_run_is_sent_to_another_upstream() {
    for outcome in [
        Outcome::Unreachable,
        Outcome::Rejected,
        Outcome::Misdirected,
    ] {
        let mut driver = plain_driver();
        let request = driver.request(RequestKind::NonIdempotent, 0);
        let (exchange, directive) = driver.arrive(request);
        let first = expect_call(directive);
        let second = expect_call(driver.fail_call(exchange, outcome));
        assert_ne!(first.upstream, second.upstream);
    }
}

/// Guards against more runs of a request than its route allows.
#[test]
fn a_retryable_request_runs_on_no_more_upstreams_than_allowed() {
    let upstreams = vec![plain("a1", ZONE), plain("a2", ZONE), plain("a3", ZONE)];
    let mut driver = Driver::new(upstreams);
    let request = driver.request(RequestKind::Idempotent, 0);
    let (exchange, directive) = driver.arrive(request);
    expect_call(directive);
    expect_call(driver.fail_call(exchange, Outcome::Broken));
    let refusal = expect_refusal(driver.fail_call(exchange, Outcome::Broken));
    assert_eq!(refusal.reason, RefusalReason::Failed);
}

/// Guards against a failed answer of an upstream that is replaced by an error of the entry.
#[test]
fn a_failed_answer_without_a_retry_is_forwarded() {
    let mut driver = plain_driver();
    let request = driver.request(RequestKind::NonIdempotent, 0);
    let (exchange, directive) = driver.arrive(request);
    expect_call(directive);
    assert_eq!(
        driver.fail_call(exchange, Outcome::FailedAnswer),
        Some(Directive::ForwardFailure)
    );
}

/// Guards against a 502 in place of the first upstream's failed answer if the second upstream cannot be reached.
#[test]
fn a_failed_answer_is_forwarded_if_the_retry_gets_no_answer() {
    let mut driver = plain_driver();
    let request = driver.request(RequestKind::Idempotent, 0);
    let (exchange, directive) = driver.arrive(request);
    expect_call(directive);
    expect_call(driver.fail_call(exchange, Outcome::FailedAnswer));
    driver.now_ms += 4_990;
    assert_eq!(
        driver.fail_call(exchange, Outcome::Unreachable),
        Some(Directive::ForwardFailure)
    );
}

/// Guards against new requests to a draining upstream, also after an outdated list that still shows it as ready.
#[test]
fn a_draining_upstream_gets_no_new_requests() {
    let mut driver = plain_driver();
    let mut draining_upstream = plain("near", ZONE);
    draining_upstream.draining = true;
    driver.list(vec![draining_upstream, plain("far", OTHER_ZONE)]);
    driver.list(vec![plain("near", ZONE), plain("far", OTHER_ZONE)]);
    let request = driver.request(RequestKind::Idempotent, 0);
    assert_eq!(expect_call(driver.arrive(request).1).upstream, "far");
}

/// Guards against an upstream restarted under the same id that inherits the state of the previous process.
#[test]
fn a_restarted_upstream_gets_requests_again() {
    let mut driver = plain_driver();
    let mut draining_upstream = plain("near", ZONE);
    draining_upstream.draining = true;
    driver.list(vec![draining_upstream, plain("far", OTHER_ZONE)]);
    let mut restarted = plain("near", ZONE);
    restarted.born_ms = 77;
    driver.list(vec![restarted, plain("far", OTHER_ZONE)]);
    let request = driver.request(RequestKind::Idempotent, 0);
    assert_eq!(expect_call(driver.arrive(request).1).upstream, "near");
}

/// Guards against an entry that replaces its configuration by an older one from a replica that lags.
#[test]
fn a_configuration_is_never_replaced_by_an_older_version() {
    let mut driver = plain_driver();
    driver.configure(9);
    driver.configure(4);
    let version = driver.entry.config().map(|config| config.version());
    assert_eq!(version, Some(9));
}

/// Guards against requests that are still sent to an upstream which accepts no connections.
#[test]
fn an_unreachable_upstream_gets_no_requests_until_its_circuit_closes() {
    let mut driver = plain_driver();
    let request = driver.request(RequestKind::Idempotent, 0);
    let (exchange, directive) = driver.arrive(request);
    assert_eq!(expect_call(directive).upstream, "near");
    driver.fail_call(exchange, Outcome::Unreachable);
    let request = driver.request(RequestKind::Idempotent, 0);
    assert_eq!(expect_call(driver.arrive(request).1).upstream, "far");
    driver.now_ms += 5_000;
    let request = driver.request(RequestKind::Idempotent, 0);
    assert_eq!(expect_call(driver.arrive(request).1).upstream, "near");
}

/// Guards against thousands of requests to an engine that rejects everything while it changes its role.
#[test]
fn an_engine_that_rejects_with_free_slots_gets_no_requests() {
    let upstreams = vec![
        engine("read", ZONE, Role::Prefill),
        engine("write-1", ZONE, Role::Decode),
        engine("write-2", ZONE, Role::Decode),
    ];
    let mut driver = Driver::new(upstreams);
    let mut rejecting = None;
    for _ in 0..20 {
        // So long that the prompt goes through the prefill engine.
        let request = driver.prompt(0, (1, 100), 16_000);
        let (exchange, directive) = driver.arrive(request);
        let call = expect_call(directive);
        assert_eq!(call.task, Task::Prefill);
        let handle = "handle".into();
        let effects = driver.step(EntryEvent::Prefilled { exchange, handle });
        let call = expect_call(entry_support::directive(&effects, exchange));
        match &rejecting {
            None => {
                rejecting = Some(call.upstream.clone());
                driver.fail_call(exchange, Outcome::Rejected);
                let is_complete = false;
                driver.step(EntryEvent::Closed {
                    exchange,
                    is_complete,
                });
            }
            Some(id) => assert_ne!(call.upstream, *id),
        }
    }
}

/// Guards against a retry with a handoff, which takes two calls, when the budget allows only one. Such a request runs
/// without a prefill engine, or ends.
#[test]
fn calls_of_retried_handoffs_stay_within_the_budget() {
    let upstreams = vec![
        engine("read-1", ZONE, Role::Prefill),
        engine("read-2", ZONE, Role::Prefill),
        engine("write-1", ZONE, Role::Decode),
        engine("write-2", ZONE, Role::Decode),
    ];
    let mut driver = Driver::new(upstreams);
    let mut retries = 0;
    for _ in 0..100 {
        driver.now_ms += 50;
        let request = driver.prompt(0, (1, 100), 500);
        let (exchange, mut next) = driver.arrive(request);
        let (mut prefills, mut runs) = (0, 0);
        while let Some(Directive::Call(call)) = next {
            if call.task == Task::Prefill {
                prefills += 1;
                let handle = "handle".into();
                let event = EntryEvent::Prefilled { exchange, handle };
                let effects = driver.step(event);
                next = entry_support::directive(&effects, exchange);
            } else {
                runs += 1;
                next = driver.fail_call(exchange, Outcome::Rejected);
            }
        }
        retries += (prefills + runs as u32).saturating_sub(2);
    }
    // The ratio of 0.2 per request and this entry's share of the slack of 50.
    assert!(retries <= 20 + 50 / 6, "{retries}");
}

/// Guards against refusals while a quarter of the engines refuses connections. Calls that reach no upstream repeat no
/// work; if they counted as retries, the budget would be spent within a second after a crash.
#[test]
fn calls_that_reach_no_upstream_take_nothing_out_of_the_budget() {
    let ids = [
        "near-1", "near-2", "near-3", "near-4", "near-5", "near-6", "near-7", "near-8", "near-9",
        "near-10", "near-11", "near-12",
    ];
    let mut driver = Driver::new(ids.map(|id| plain(id, ZONE)).into());
    for _ in 0..100 {
        driver.now_ms += 1_000;
        let (exchange, directive) = driver.arrive(driver.request(RequestKind::NonIdempotent, 0));
        expect_call(directive);
        expect_call(driver.fail_call(exchange, Outcome::Unreachable));
        expect_call(driver.fail_call(exchange, Outcome::Unreachable));
        let is_complete = true;
        driver.step(EntryEvent::Closed {
            exchange,
            is_complete,
        });
    }
}

/// Guards against prompts that are computed again because the chosen decode engine could not be reached.
#[test]
fn a_computed_prompt_is_handed_off_to_another_engine_if_the_first_cannot_be_reached() {
    let upstreams = vec![
        engine("read", ZONE, Role::Prefill),
        engine("write-1", ZONE, Role::Decode),
        engine("write-2", ZONE, Role::Decode),
    ];
    for outcome in [Outcome::Unreachable, Outcome::Misdirected] {
        let mut driver = Driver::new(upstreams.clone());
        let (exchange, _) = driver.arrive(driver.prompt(0, (1, 100), 500));
        let handle = "handle".into();
        let effects = driver.step(EntryEvent::Prefilled { exchange, handle });
        let first = expect_call(entry_support::directive(&effects, exchange));
        let second = expect_call(driver.fail_call(exchange, outcome));
        assert_ne!(second.upstream, first.upstream);
        assert_eq!(second.task, first.task);
    }
}

/// Guards against KV cache that stays in an engine's memory after its request has ended.
#[test]
fn a_handle_that_no_engine_can_take_is_freed() {
    let upstreams = vec![
        engine("read", ZONE, Role::Prefill),
        engine("write", ZONE, Role::Decode),
    ];
    let mut driver = Driver::new(upstreams);
    let (exchange, _) = driver.arrive(driver.prompt(0, (1, 100), 500));
    let handle = Name::from("handle");
    driver.step(EntryEvent::Prefilled { exchange, handle });
    let outcome = Outcome::Unreachable;
    let effects = driver.step(EntryEvent::CallFailed { exchange, outcome });
    let is_freed = |effect: &EntryEffect| matches!(effect, EntryEffect::FreeHandle { handle, .. } if handle == "handle");
    assert!(effects.iter().any(is_freed), "{effects:?}");
}

/// Guards against a request that a stopping entry sends to an engine although its answer would be cut off, and against
/// the refusal of one that can end in time.
#[test]
fn a_stopping_entry_refuses_what_it_cannot_finish() {
    let mut driver = Driver::new(vec![
        engine("read", ZONE, Role::Prefill),
        engine("write", ZONE, Role::Decode),
    ]);
    // Streams have lasted for half a second.
    for _ in 0..100 {
        let (exchange, directive) = driver.arrive(driver.prompt(0, (1, 0), 100));
        expect_call(directive);
        driver.step(EntryEvent::Started { exchange });
        driver.now_ms += 500;
        driver.step(EntryEvent::Closed {
            exchange,
            is_complete: true,
        });
    }
    let ends_ms = driver.now_ms + 4_000;
    driver.step(EntryEvent::Stopping { ends_ms });
    let (exchange, directive) = driver.arrive(driver.prompt(0, (1, 0), 100));
    let call = expect_call(directive);
    assert!(call.deadline_ms <= ends_ms);
    driver.step(EntryEvent::Closed {
        exchange,
        is_complete: true,
    });
    driver.now_ms += 3_000;
    let refusal = expect_refusal(driver.arrive(driver.prompt(0, (1, 0), 100)).1);
    assert!(refusal.reason.is_not_run(), "{refusal:?}");
}

/// Guards against a plain request that arrives late at a stopping entry and is sent to an upstream although its answer may be
/// cut off, above all one that must not run twice.
#[test]
fn a_stopping_entry_sends_no_plain_request_that_it_may_cut() {
    let mut driver = Driver::new(vec![plain("p-1", ZONE)]);
    let ends_ms = driver.now_ms + 7_000;
    driver.step(EntryEvent::Stopping { ends_ms });
    // Requests of the driver have a deadline after 5 s and an objective of 400 ms.
    let unsafe_request = driver.request(RequestKind::NonIdempotent, 0);
    expect_call(driver.arrive(unsafe_request).1);
    driver.now_ms += 2_500;
    let unsafe_request = driver.request(RequestKind::NonIdempotent, 0);
    let refusal = expect_refusal(driver.arrive(unsafe_request).1);
    assert!(refusal.reason.is_not_run(), "{refusal:?}");
    let safe = driver.request(RequestKind::Idempotent, 0);
    let call = expect_call(driver.arrive(safe).1);
    assert!(call.deadline_ms <= ends_ms);
    driver.now_ms = ends_ms - 200;
    let safe = driver.request(RequestKind::Idempotent, 0);
    let refusal = expect_refusal(driver.arrive(safe).1);
    assert!(refusal.reason.is_not_run(), "{refusal:?}");
}

/// Guards against requests to an engine that takes none while it changes its role.
#[test]
fn an_engine_that_changes_its_role_gets_no_requests() {
    let changing = |is_changing| fleet::UpstreamRecord {
        is_changing,
        ..engine("write-1", ZONE, Role::Decode)
    };
    let mut driver = Driver::new(vec![changing(true), engine("write-2", ZONE, Role::Decode)]);
    for _ in 0..5 {
        let (_, directive) = driver.arrive(driver.prompt(0, (1, 0), 500));
        assert_eq!(expect_call(directive).upstream, "write-2");
    }
    driver.list(vec![changing(false), engine("write-2", ZONE, Role::Decode)]);
    let (_, directive) = driver.arrive(driver.prompt(0, (1, 0), 500));
    assert_eq!(expect_call(directive).upstream, "write-1");
}
