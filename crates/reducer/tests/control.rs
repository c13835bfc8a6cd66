//! Tests of the control state and of non-idempotent requests under failures, with a virtual clock.
//!
//! A payment is a non-idempotent request to the plain service. The engine `lax` ignores epochs, the engine `strict`
//! refuses orders with an old epoch.

mod support;

use conf::admin::{ApplyReply, ChangeReply, DrainTarget};
use conf::{Name, Role};
use reducer::{AdminReply, AdminRequest, Refusal};
use support::config::config;
use support::{Cluster, Outcome};

fn start(seed: u64, others: usize) -> Cluster {
    let mut cluster = Cluster::with_upstreams(seed, others);
    assert!(cluster.run_until(10_000, |c| c.leader().is_some()));
    let token = cluster.apply(&"v0".into(), 0, &config(1));
    assert!(cluster.run_until(10_000, |c| c.all_in_force(1)));
    assert_eq!(
        cluster.apply_reply(token),
        Some(&ApplyReply::Accepted { revision: 1 })
    );
    cluster
}

fn wait_for_outcome(cluster: &mut Cluster, exchange: &(Name, u64)) -> Outcome {
    let done = |c: &Cluster| c.outcomes.contains_key(exchange) || c.answered.contains(exchange);
    assert!(cluster.run_until(3_000, done), "{exchange:?} does not end");
    // A model's answer is streamed without passing through the reducer, so it has no effect to record.
    let outcome = cluster.outcomes.get(exchange).cloned();
    outcome.unwrap_or(Outcome::Answered)
}

/// Guards against a cluster that does not elect a leader, apply a configuration or serve requests on every instance.
#[test]
fn a_payment_runs_once_through_every_instance() {
    let mut cluster = start(1, 2);
    for id in ["v0", "v1", "v2", "e0", "e1"] {
        let key = format!("pay-{id}");
        let exchange = cluster.pay(&id.into(), &key);
        assert_eq!(wait_for_outcome(&mut cluster, &exchange), Outcome::Answered);
        assert_eq!(cluster.runs(&key), 1);
        let repeat = cluster.pay(&"v1".into(), &key);
        assert_eq!(wait_for_outcome(&mut cluster, &repeat), Outcome::Replayed);
        assert_eq!(cluster.runs(&key), 1);
    }
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// Guards against a status that counts instances with an earlier revision as having the new revision in force. A voter
/// takes the new revision from the log before the leader has counted the instances that have it.
#[test]
fn status_does_not_count_instances_that_lack_the_revision() {
    let mut cluster = start(11, 2);
    assert!(cluster.run_until(10_000, |c| c.leader().is_some()));
    cluster.run(5_000);
    cluster.apply(&"v0".into(), 1, &config(2));
    for _ in 0..200 {
        cluster.run(10);
        let voters = ["v0", "v1", "v2"].map(Name::new);
        let tokens = voters.map(|id| cluster.admin(&id, AdminRequest::Status));
        cluster.run(1);
        for token in tokens {
            let Some(AdminReply::Status(status)) = cluster.admin_replies.get(&token) else {
                panic!("no status");
            };
            let counts_all = status.instances_in_force >= status.live_instances;
            let claims = status.revision == 2 && status.live_instances > 0 && counts_all;
            assert!(!claims || cluster.all_in_force(2), "{status:?}");
        }
    }
    assert!(cluster.all_in_force(2));
}

/// Guards against accepting two changes with the same base revision, and against applying a resent change twice.
#[test]
fn one_of_two_concurrent_changes_is_accepted_and_a_resend_is_recognised() {
    let mut cluster = start(2, 1);
    let first = cluster.apply(&"v0".into(), 1, &config(2));
    let second = cluster.apply(&"e0".into(), 1, &config(3));
    assert!(cluster.run_until(10_000, |c| c.all_in_force(2)));
    let replies = [cluster.apply_reply(first), cluster.apply_reply(second)];
    let accepted =
        |reply: &Option<&ApplyReply>| matches!(reply, Some(ApplyReply::Accepted { revision: 2 }));
    let conflict = |reply: &Option<&ApplyReply>| {
        matches!(
            reply,
            Some(ApplyReply::Conflict {
                current_revision: 2,
                ..
            })
        )
    };
    assert_eq!(replies.iter().filter(|r| accepted(r)).count(), 1);
    assert_eq!(replies.iter().filter(|r| conflict(r)).count(), 1);
    let winner = if accepted(&replies[0]) { 2 } else { 3 };
    let resend = cluster.apply(&"v2".into(), 1, &config(winner));
    cluster.run(1_000);
    assert!(accepted(&cluster.apply_reply(resend)));
    assert!(cluster.all_in_force(2));
}

/// Guards against losing a change whose leader crashes while the change is being applied.
#[test]
fn a_change_survives_a_crash_of_the_leader() {
    let mut cluster = start(3, 1);
    let leader = cluster.leader().expect("a leader");
    let token = cluster.apply(&"e0".into(), 1, &config(2));
    cluster.run(3);
    cluster.crash(&leader);
    assert!(cluster.run_until(10_000, |c| c.apply_reply(token).is_some()));
    assert_eq!(
        cluster.apply_reply(token),
        Some(&ApplyReply::Accepted { revision: 2 })
    );
    cluster.start(&leader);
    assert!(cluster.run_until(10_000, |c| c.all_in_force(2)));
}

/// Guards against running a payment again after the instance that sent it has crashed.
#[test]
fn a_payment_of_a_crashed_instance_is_not_run_again() {
    let mut cluster = start(4, 2);
    cluster.pay(&"e0".into(), "p");
    assert!(cluster.run_until(3_000, |c| c.runs("p") == 1));
    cluster.crash(&"e0".into());
    let early = cluster.pay(&"e1".into(), "p");
    assert_eq!(
        wait_for_outcome(&mut cluster, &early),
        Outcome::Refused(Refusal::Running)
    );
    cluster.run(20_000);
    let late = cluster.pay(&"e1".into(), "p");
    assert_eq!(
        wait_for_outcome(&mut cluster, &late),
        Outcome::Refused(Refusal::MayHaveRun)
    );
    assert_eq!(cluster.runs("p"), 1);
}

/// Guards against a suspended instance that sends a payment after its right to run has expired.
#[test]
fn an_instance_suspended_before_its_write_sends_nothing() {
    let mut cluster = start(5, 2);
    let exchange = cluster.pay(&"e0".into(), "p");
    cluster.run(3);
    cluster.suspend(&"e0".into(), 30_000);
    cluster.run(31_000);
    assert_eq!(cluster.runs("p"), 0);
    let outcome = wait_for_outcome(&mut cluster, &exchange);
    assert!(outcome.says_not_run(), "{outcome:?}");
}

/// Guards against a partitioned zone that runs payments although it refuses them as not run.
#[test]
fn a_partitioned_zone_refuses_payments_and_serves_models() {
    let mut cluster = start(6, 3);
    cluster.partition_zone("az1");
    cluster.run(6_000);
    let payment = cluster.pay(&"e1".into(), "p");
    let outcome = wait_for_outcome(&mut cluster, &payment);
    assert!(matches!(
        outcome,
        Outcome::Refused(Refusal::LedgerUnavailable { .. })
    ));
    assert_eq!(cluster.runs("p"), 0);
    let chat = cluster.chat(&"e1".into());
    assert_eq!(wait_for_outcome(&mut cluster, &chat), Outcome::Answered);

    let token = cluster.apply(&"v0".into(), 1, &config(2));
    let token_2 = cluster.apply(&"v2".into(), 1, &config(2));
    cluster.run(6_000);
    assert!(cluster.apply_reply(token).is_some() && cluster.apply_reply(token_2).is_some());
    assert_eq!(cluster.revision_of("e1"), 1);
    cluster.restore_links();
    assert!(cluster.run_until(10_000, |c| c.all_in_force(2)));
}

/// Guards against an instance that restarts in a partitioned zone without the configuration of its zone.
#[test]
fn a_restart_in_a_partitioned_zone_takes_the_zones_revision() {
    let mut cluster = start(7, 3);
    cluster.partition_zone("az1");
    cluster.run(2_000);
    cluster.crash(&"e1".into());
    cluster.start(&"e1".into());
    assert!(cluster.run_until(15_000, |c| c.revision_of("e1") == 1));
    let chat = cluster.chat(&"e1".into());
    assert_eq!(wait_for_outcome(&mut cluster, &chat), Outcome::Answered);
}

/// Guards against orders from a suspended gate holder after its successor has sent orders to an engine that checks
/// epochs.
#[test]
fn a_resumed_gate_holder_cannot_order_an_engine_that_checks_epochs() {
    let mut cluster = start(8, 3);
    cluster.run(3_000);
    let holder = holder_of(&cluster, "strict");
    let operator = other_voter(&holder);
    cluster.suspend_before_order = Some((holder.clone(), 30_000));
    cluster.order_role(&operator, "strict", Role::Prefill);
    assert!(cluster.run_until(5_000, |c| has_order(c, &holder, "strict")));
    assert!(cluster.engines["strict"].applied_orders.is_empty());
    let token = cluster.order_role(&operator, "strict", Role::Decode);
    assert!(cluster.run_until(20_000, |c| { c.engines["strict"].role == Role::Decode }));
    assert!(matches!(
        cluster.change_reply(token),
        Some(ChangeReply::Accepted)
    ));
    cluster.run(40_000);
    let engine = &cluster.engines["strict"];
    assert_eq!(engine.role, Role::Decode);
    assert!(
        engine
            .applied_orders
            .windows(2)
            .all(|w| w[0].epoch <= w[1].epoch)
    );
}

/// Guards against two gate holders of an engine that ignores epochs while the first holder is only suspended.
#[test]
fn a_suspended_gate_holder_of_an_engine_that_ignores_epochs_is_not_replaced() {
    let mut cluster = start(9, 3);
    cluster.run(3_000);
    let holder = holder_of(&cluster, "lax");
    let operator = other_voter(&holder);
    cluster.suspend(&holder, 60_000);
    cluster.order_role(&operator, "lax", Role::Decode);
    cluster.run(50_000);
    assert!(cluster.engines["lax"].applied_orders.is_empty());
    cluster.run(30_000);
    let engine = &cluster.engines["lax"];
    assert_eq!(engine.role, Role::Decode);
    assert!(
        engine
            .applied_orders
            .iter()
            .all(|applied| applied.from == holder)
    );
}

/// Guards against conflicting orders at an engine that ignores epochs. The gate holder is suspended between the
/// decision on an order and its write, and resumes after another leader has decided on a newer order.
#[test]
fn a_gate_holder_suspended_before_its_write_sends_its_orders_in_sequence() {
    let mut cluster = start(17, 3);
    cluster.run(3_000);
    let holder = holder_of(&cluster, "lax");
    let operator = other_voter(&holder);
    cluster.suspend_before_order = Some((holder.clone(), 40_000));
    cluster.order_role(&operator, "lax", Role::Prefill);
    assert!(cluster.run_until(5_000, |c| has_order(c, &holder, "lax")));
    assert!(cluster.engines["lax"].applied_orders.is_empty());
    cluster.order_role(&operator, "lax", Role::Decode);
    cluster.run(35_000);
    assert!(cluster.engines["lax"].applied_orders.is_empty());
    cluster.run(25_000);
    let engine = &cluster.engines["lax"];
    let sequences: Vec<u64> = engine
        .applied_orders
        .iter()
        .map(|applied| applied.order.sequence)
        .collect();
    assert_eq!(sequences, [1, 2]);
    assert!(
        engine
            .applied_orders
            .iter()
            .all(|applied| applied.from == holder)
    );
    assert_eq!(engine.role, Role::Decode);
}

/// Guards against an engine that keeps a partial role change after it crashes during the change.
#[test]
fn an_engine_that_crashes_during_a_change_gets_the_order_again() {
    let mut cluster = start(10, 3);
    cluster.run(3_000);
    cluster.engines.get_mut("strict").expect("engine").is_down = true;
    cluster.order_role(&"v0".into(), "strict", Role::Decode);
    cluster.run(5_000);
    let engine = cluster.engines.get_mut("strict").expect("engine");
    engine.crash();
    engine.is_down = false;
    assert!(cluster.run_until(15_000, |c| c.engines["strict"].role == Role::Decode));
}

/// Guards against losing revisions when every process crashes after hundreds of changes.
#[test]
fn five_hundred_changes_survive_a_crash_of_all_processes() {
    let mut cluster = start(11, 1);
    for revision in 1..500 {
        cluster.apply(&"v0".into(), revision, &config(revision + 1));
        assert!(cluster.run_until(10_000, |c| c.revision_of("v0") == revision + 1));
    }
    let ids: Vec<Name> = cluster.instances.keys().cloned().collect();
    for id in &ids {
        cluster.crash(id);
    }
    for id in &ids {
        cluster.start(id);
    }
    assert!(cluster.run_until(20_000, |c| c.all_in_force(500)));
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
}

/// Guards against a graceful stop that aborts an open request or loses its outcome.
#[test]
fn a_stopping_instance_ends_its_exchanges_first() {
    let mut cluster = start(12, 1);
    let exchange = cluster.pay(&"e0".into(), "p");
    cluster.run(5);
    cluster.stop(&"e0".into());
    assert!(cluster.run_until(10_000, |c| c.instances["e0"].exited));
    assert_eq!(wait_for_outcome(&mut cluster, &exchange), Outcome::Answered);
    assert_eq!(cluster.runs("p"), 1);
    let repeat = cluster.pay(&"v0".into(), "p");
    assert_eq!(wait_for_outcome(&mut cluster, &repeat), Outcome::Replayed);
}

/// Guards against delivering an answer whose record is lost when the instance crashes.
#[test]
fn an_answer_is_delivered_once_its_record_is_committed() {
    let mut cluster = start(15, 2);
    let exchange = cluster.pay(&"e0".into(), "p");
    assert!(cluster.run_until(3_000, |c| c.runs("p") == 1));
    cluster.isolate(&"e0".into());
    cluster.run(500);
    assert_eq!(cluster.outcomes.get(&exchange), None);
    cluster.restore_links();
    assert!(cluster.run_until(1_000, |c| c.outcomes.contains_key(&exchange)));
    cluster.crash(&"e0".into());
    let repeat = cluster.pay(&"e1".into(), "p");
    assert_eq!(wait_for_outcome(&mut cluster, &repeat), Outcome::Replayed);
}

/// Guards against sending a payment, or leaving its key blocked, after its caller has disconnected.
#[test]
fn a_right_to_run_is_returned_if_the_caller_has_disconnected() {
    let mut cluster = start(14, 1);
    let exchange = cluster.pay(&"e0".into(), "p");
    cluster.run(1);
    cluster.disconnect_caller(&exchange);
    cluster.run(2_000);
    assert_eq!(cluster.runs("p"), 0);
    let repeat = cluster.pay(&"v0".into(), "p");
    assert_eq!(wait_for_outcome(&mut cluster, &repeat), Outcome::Answered);
    assert_eq!(cluster.runs("p"), 1);
}

/// Guards against dispatching requests to an upstream that an operator drains through another instance.
#[test]
fn a_drained_upstream_gets_nothing_new_from_any_instance() {
    let mut cluster = start(16, 2);
    let drain = |draining| AdminRequest::Drain {
        target: DrainTarget::Upstream("lax".into()),
        draining,
    };
    cluster.admin(&"v0".into(), drain(true));
    cluster.run(3_000);
    let before = cluster.engines["lax"].received;
    for id in ["v0", "v1", "e0", "e1"] {
        for _ in 0..5 {
            let chat = cluster.chat(&id.into());
            assert_eq!(wait_for_outcome(&mut cluster, &chat), Outcome::Answered);
        }
    }
    assert_eq!(cluster.engines["lax"].received, before);
    cluster.admin(&"e0".into(), drain(false));
    cluster.run(3_000);
    for _ in 0..20 {
        cluster.chat(&"e1".into());
    }
    cluster.run(1_000);
    assert!(cluster.engines["lax"].received > before);
}

/// Guards against an answer that waits forever for a suspended engine.
#[test]
fn an_answer_of_a_suspended_engine_is_resumed_elsewhere() {
    let mut cluster = start(13, 1);
    cluster.engines.get_mut("lax").expect("engine").is_suspended = true;
    let chats: Vec<_> = (0..6).map(|_| cluster.chat(&"v0".into())).collect();
    cluster.run(10_000);
    for chat in &chats {
        assert!(cluster.answered.contains(chat), "{chat:?}");
        assert_eq!(cluster.outcomes.get(chat), None);
    }
}

fn holder_of(cluster: &Cluster, upstream: &str) -> Name {
    let leader = cluster.leader().expect("a leader");
    let control = cluster.instances[&leader]
        .state
        .as_ref()
        .and_then(|s| s.control());
    let gate = &control.expect("a voter").gates[upstream];
    gate.holder.as_ref().expect("a holder").instance.clone()
}

fn other_voter(holder: &Name) -> Name {
    ["v0", "v1", "v2"]
        .into_iter()
        .map(Name::from)
        .find(|id| id != holder)
        .expect("three voters")
}

fn has_order(cluster: &Cluster, holder: &Name, upstream: &str) -> bool {
    let text = format!("is sent to upstream {upstream}");
    cluster
        .logs
        .iter()
        .any(|line| line.contains(&text) && line.contains(holder.as_str()))
}
