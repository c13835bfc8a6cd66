//! Tests of orders, fencing and loaded models.

use conf::{Fencing, Name, Role};
use standin::order::{Order, OrderDecision, OrderHandler};

fn orders(fencing: Fencing) -> OrderHandler {
    OrderHandler::new(fencing, Role::Mixed, vec!["assistant@1".into()])
}

fn role_order(epoch: u64, sequence: u64, role: Role) -> Order {
    Order {
        epoch,
        sequence,
        role: Some(role),
        ..Order::default()
    }
}

/// Guards against an engine that accepts an order of a sender that has lost the engine's order gate.
#[test]
fn an_old_fencing_number_is_refused_only_where_it_is_enforced() {
    let mut enforced = orders(Fencing::Enforced);
    let newer = role_order(4, 2, Role::Mixed);
    assert_eq!(
        enforced.receive(newer.clone(), 0.0, 0.0),
        OrderDecision::Accepted
    );
    assert_eq!(
        enforced.receive(newer.clone(), 0.0, 0.0),
        OrderDecision::Repeated
    );
    let older = role_order(3, 9, Role::Decode);
    assert_eq!(
        enforced.receive(older.clone(), 0.0, 0.0),
        OrderDecision::Stale
    );
    assert_eq!(enforced.state().role, Role::Mixed);
    let mut ignored = orders(Fencing::Ignored);
    assert_eq!(ignored.receive(newer, 0.0, 0.0), OrderDecision::Accepted);
    assert_eq!(ignored.receive(older, 0.0, 0.0), OrderDecision::Accepted);
    let outcomes: Vec<OrderDecision> = enforced.records().iter().map(|r| r.outcome).collect();
    let expected = [
        OrderDecision::Accepted,
        OrderDecision::Repeated,
        OrderDecision::Stale,
    ];
    assert_eq!(outcomes, expected);
}

/// Guards against two orders that are in progress on one engine at the same time.
#[test]
fn a_role_change_waits_for_its_time_and_for_running_work() {
    let mut orders = orders(Fencing::Enforced);
    orders.receive(role_order(1, 1, Role::Decode), 0.0, 100.0);
    let next = role_order(1, 2, Role::Prefill);
    assert_eq!(
        orders.receive(next.clone(), 50.0, 100.0),
        OrderDecision::Busy
    );
    orders.finish_role_change(50.0, true);
    assert!(orders.is_changing());
    orders.finish_role_change(150.0, false);
    assert!(orders.is_changing());
    orders.finish_role_change(150.0, true);
    assert_eq!(orders.state().role, Role::Decode);
    assert_eq!(orders.receive(next, 150.0, 100.0), OrderDecision::Accepted);
}

/// Guards against an engine that serves two versions of a model, or a model that is not loaded.
#[test]
fn a_new_version_replaces_the_old_one() {
    let mut orders = orders(Fencing::Enforced);
    let load = |sequence, name: &'static str| Order {
        epoch: 1,
        sequence,
        load: Some(Name::from_static_str(name)),
        ..Order::default()
    };
    orders.receive(load(1, "assistant@2"), 0.0, 0.0);
    assert_eq!(orders.state().models, ["assistant@1"]);
    orders.finish_load(&"assistant@2".into());
    assert_eq!(orders.state().models, ["assistant@2"]);
    orders.receive(load(2, "assistant:rota"), 0.0, 0.0);
    orders.finish_load(&"assistant:rota".into());
    assert!(orders.serves("assistant"));
    assert!(orders.serves("assistant:rota"));
    let unload = Order {
        epoch: 1,
        sequence: 3,
        unload: Some("assistant".into()),
        ..Order::default()
    };
    orders.receive(unload, 0.0, 0.0);
    assert!(!orders.serves("assistant"));
    orders.receive(load(4, "broken@1"), 0.0, 0.0);
    orders.abandon_load(&"broken@1".into());
    assert!(!orders.serves("broken"));
}
