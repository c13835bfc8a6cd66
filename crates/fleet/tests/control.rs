//! Applies commands to the control state one at a time: revision history, orders and gates.

use conf::Role;
use conf::admin::FileText;
use fleet::{
    Command, CommandReply, Configure, ConfigureReply, ControlState, GateHolder, GrantEvidence,
    OrderChange, Proposal, ProposalId,
};

/// Two engines of one service: `strict` enforces fencing, `lax` does not.
const CONFIG: &str = include_str!("data/engines.toml");

fn proposal(sequence: u64, command: Command) -> Proposal {
    Proposal {
        id: ProposalId {
            instance: "voter-1".into(),
            incarnation: 1,
            sequence,
        },
        at_ms: 1_000,
        command,
    }
}

fn apply(state: &mut ControlState, sequence: u64, command: Command) -> CommandReply {
    state.apply(&proposal(sequence, command))
}

fn configured() -> ControlState {
    let file = FileText {
        name: "engines.toml".into(),
        text: CONFIG.into(),
    };
    let config = conf::load::service_from_files(vec![file]).expect("a valid configuration");
    let canonical = config.value.canonical_text();
    let mut state = ControlState::default();
    let configure = Configure {
        content_id: conf::content_id(&canonical),
        canonical: canonical.into(),
        ..Configure::default()
    };
    apply(&mut state, 1, Command::Configure(configure));
    state
}

fn grant(upstream: &str, instance: &str, from_epoch: u64, evidence: GrantEvidence) -> Command {
    Command::GrantGate {
        upstream: conf::Name::new(upstream),
        holder: GateHolder {
            instance: conf::Name::new(instance),
            incarnation: 1,
        },
        from_epoch,
        evidence,
    }
}

fn order(role: Role) -> Command {
    Command::Order {
        upstream: "strict".into(),
        change: OrderChange {
            role: Some(role),
            ..OrderChange::default()
        },
    }
}

/// Guards against a revision history that grows without limit in the memory of every voter.
#[test]
fn old_texts_are_dropped_and_their_ids_kept() {
    let mut state = ControlState::default();
    let text = "x".repeat(10 * 1024 * 1024);
    for base_revision in 0..6 {
        let configure = Configure {
            base_revision,
            content_id: format!("content-{base_revision}").into(),
            canonical: text.clone().into(),
            ..Configure::default()
        };
        apply(&mut state, base_revision, Command::Configure(configure));
    }
    let has_text = |revision: &&fleet::ConfigRevision| !revision.canonical.is_empty();
    assert_eq!(state.revisions.iter().filter(has_text).count(), 3);
    assert!(has_text(&state.current_config().expect("a revision")));
    // A repetition of the oldest change is still detected by its content id.
    let repeated = Configure {
        content_id: "content-0".into(),
        ..Configure::default()
    };
    let reply = apply(&mut state, 99, Command::Configure(repeated));
    let accepted = ConfigureReply::Accepted { revision: 1 };
    assert_eq!(reply, CommandReply::Configure(accepted));
}

/// Guards against a grant on evidence that does not suffice for the engine, so that two processes send orders.
#[test]
fn a_gate_is_granted_only_on_sufficient_evidence() {
    let mut state = configured();
    for upstream in ["strict", "lax"] {
        apply(
            &mut state,
            2,
            grant(upstream, "a", 0, GrantEvidence::Vacant),
        );
        let vacant = grant(upstream, "b", 1, GrantEvidence::Vacant);
        assert!(matches!(
            apply(&mut state, 3, vacant),
            CommandReply::Refused(_)
        ));
    }
    let expired = grant("lax", "b", 1, GrantEvidence::LeaseExpired);
    assert!(matches!(
        apply(&mut state, 4, expired),
        CommandReply::Refused(_)
    ));
    let unconfirmed = grant("lax", "b", 1, GrantEvidence::ConfirmedDead);
    assert!(matches!(
        apply(&mut state, 5, unconfirmed),
        CommandReply::Refused(_)
    ));
    let expired = grant("strict", "b", 1, GrantEvidence::LeaseExpired);
    assert_eq!(apply(&mut state, 6, expired), CommandReply::Applied);
    assert_eq!(state.gates["strict"].epoch, 2);
    let confirm = Command::ConfirmDead {
        instance: "a".into(),
        incarnation: 1,
    };
    apply(&mut state, 7, confirm);
    let confirmed = grant("lax", "b", 1, GrantEvidence::ConfirmedDead);
    assert_eq!(apply(&mut state, 8, confirmed), CommandReply::Applied);
    assert_eq!(state.gates["lax"].epoch, 2);
}

/// Guards against a grant that was decided before another grant was applied.
#[test]
fn a_grant_from_an_older_epoch_is_refused() {
    let mut state = configured();
    apply(
        &mut state,
        2,
        grant("strict", "a", 0, GrantEvidence::Vacant),
    );
    apply(
        &mut state,
        3,
        grant("strict", "b", 1, GrantEvidence::LeaseExpired),
    );
    let late = grant("strict", "c", 1, GrantEvidence::LeaseExpired);
    assert!(matches!(
        apply(&mut state, 4, late),
        CommandReply::Refused(_)
    ));
    let holder = state.gates["strict"].holder.clone().expect("a holder");
    assert_eq!(holder.instance, "b");
}

/// Guards against an order that is applied twice because its proposal was repeated after a lost reply.
#[test]
fn a_repeated_order_proposal_is_applied_once() {
    let mut state = configured();
    apply(&mut state, 2, order(Role::Decode));
    apply(&mut state, 3, order(Role::Prefill));
    apply(&mut state, 2, order(Role::Decode));
    let order = state.gates["strict"].order.clone().expect("an order");
    assert_eq!(
        (order.sequence, order.change.role),
        (2, Some(Role::Prefill))
    );
}

/// Guards against a replica that loses state when it is restored from a snapshot.
#[test]
fn a_state_rebuilt_from_its_parts_is_equal() {
    let mut state = configured();
    apply(
        &mut state,
        2,
        grant("strict", "a", 0, GrantEvidence::Vacant),
    );
    apply(&mut state, 3, order(Role::Decode));
    assert_eq!(ControlState::from_parts(state.to_parts()), state);
}
