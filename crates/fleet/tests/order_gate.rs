//! The holder of a gate with engines that apply orders slowly, do not answer, or have a new holder.

use conf::{Name, Role};
use fleet::{
    ClusterView, Command, EngineState, Gate, GateAction, GateHolder, Order, OrderAnswer,
    OrderChange, OrderOutcome, OrderSender,
};

fn holder() -> GateHolder {
    GateHolder {
        instance: "entry-1".into(),
        incarnation: 7,
    }
}

fn order(sequence: u64, role: Role) -> Order {
    Order {
        upstream: "engine".into(),
        sequence,
        change: OrderChange {
            role: Some(role),
            ..OrderChange::default()
        },
    }
}

fn view(epoch: u64, order: Option<Order>) -> ClusterView {
    ClusterView {
        gates: vec![Gate {
            upstream: "engine".into(),
            holder: Some(holder()),
            epoch,
            order,
        }],
        ..ClusterView::default()
    }
}

fn engine(epoch: u64, sequence: u64, changing: bool) -> EngineState {
    EngineState {
        epoch,
        sequence,
        changing,
        ..EngineState::default()
    }
}

fn sender_with(outstanding: Order) -> OrderSender {
    let mut sender = OrderSender::new(holder());
    sender.on_view(&view(2, Some(outstanding)));
    sender
}

fn upstream() -> Name {
    "engine".into()
}

/// Guards against an order that is sent to an engine whose state is unknown.
#[test]
fn an_engine_is_read_before_an_order_is_sent() {
    let mut sender = sender_with(order(1, Role::Decode));
    let read = GateAction::Read {
        upstream: upstream(),
    };
    assert_eq!(sender.tick(0, true, false), std::slice::from_ref(&read));
    // No order is sent while the read is in progress.
    assert!(sender.tick(20, true, false).is_empty());
    // An earlier order is still taking effect, so the engine is read again and no order is sent.
    sender.on_read(40, &upstream(), Some(&engine(1, 0, true)));
    assert!(sender.tick(60, true, false).is_empty());
    assert_eq!(sender.tick(300, true, false), [read]);
    sender.on_read(320, &upstream(), Some(&engine(1, 0, false)));
    let send = GateAction::Send {
        upstream: upstream(),
        epoch: 2,
        order: order(1, Role::Decode),
    };
    assert_eq!(sender.tick(340, true, false), [send]);
}

/// Guards against orders from a process whose gate lease has expired.
#[test]
fn no_order_is_sent_without_a_lease() {
    let mut sender = sender_with(order(1, Role::Decode));
    sender.tick(0, true, false);
    sender.on_read(20, &upstream(), Some(&engine(1, 0, false)));
    assert!(sender.tick(40, false, false).is_empty());
}

/// Guards against orders from a process that does not know yet that the gate has a new holder.
#[test]
fn no_order_is_sent_to_an_engine_with_a_later_epoch() {
    let mut sender = sender_with(order(1, Role::Decode));
    sender.tick(0, true, false);
    sender.on_read(20, &upstream(), Some(&engine(3, 0, false)));
    assert!(sender.tick(40, true, false).is_empty());
    assert!(sender.tick(20_000, true, false).is_empty());
}

/// Guards against two orders in flight to one engine.
#[test]
fn a_newer_order_waits_for_the_answer_to_the_one_in_flight() {
    let mut sender = sender_with(order(1, Role::Decode));
    sender.tick(0, true, false);
    sender.on_read(20, &upstream(), Some(&engine(1, 0, false)));
    assert!(matches!(
        sender.tick(40, true, false)[..],
        [GateAction::Send { .. }]
    ));
    sender.on_view(&view(2, Some(order(2, Role::Prefill))));
    assert!(sender.tick(60, true, false).is_empty());
    sender.on_answer(80, &upstream(), 2, 1, &OrderAnswer::Accepted);
    assert!(matches!(
        sender.tick(100, true, false)[..],
        [GateAction::Read { .. }]
    ));
}

/// Guards against an outcome that is proposed before the engine has changed, or not at all.
#[test]
fn the_outcome_is_proposed_once_the_engine_shows_it() {
    let mut sender = sender_with(order(1, Role::Decode));
    sender.tick(0, true, false);
    sender.on_read(20, &upstream(), Some(&engine(1, 0, false)));
    sender.tick(40, true, false);
    sender.on_answer(60, &upstream(), 2, 1, &OrderAnswer::Lost);
    sender.tick(80, true, false);
    sender.on_read(100, &upstream(), Some(&engine(2, 1, false)));
    let done = GateAction::Propose(Command::OrderDone {
        upstream: upstream(),
        epoch: 2,
        sequence: 1,
        outcome: OrderOutcome::Done,
    });
    assert_eq!(sender.tick(120, true, false), [done]);
}

/// Guards against a leaving instance that keeps its gates, and against orders after the release.
#[test]
fn a_leaving_holder_releases_its_gate_and_sends_no_orders() {
    let mut sender = sender_with(order(1, Role::Decode));
    let release = GateAction::Propose(Command::ReleaseGate {
        upstream: upstream(),
        holder: holder(),
        epoch: 2,
    });
    assert_eq!(sender.tick(0, true, true), [release]);
    assert!(sender.tick(20, true, true).is_empty());
    sender.on_read(40, &upstream(), Some(&engine(1, 0, false)));
    assert!(sender.tick(60, true, false).is_empty());
}
