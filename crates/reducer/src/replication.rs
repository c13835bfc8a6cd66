//! The control replica of a voter: its copy of the replicated log and the control state that results from it.

use std::collections::BTreeMap;

use bytes::Bytes;
use conf::{Map, Name};
use fleet::{Command, CommandReply, ControlState, Proposal, ProposalId};
use quorum::{EntryBody, Input, Output, Replica, ReplicaId, Status};

/// Time for which the origin of a forwarded proposal is kept, in milliseconds.
const ORIGIN_RETENTION_MS: u64 = 10_000;

/// Control replica of a voter.
#[derive(Debug)]
pub(crate) struct Replication {
    id: ReplicaId,
    replica: Replica,
    control: ControlState,
    /// Number of changes of the control state other than those of the ledger.
    control_changes: u64,
    applied_term: u64,
    origins: BTreeMap<ProposalId, Origin>,
    /// Ids of proposals that the replica has neither appended nor refused yet, by token.
    unresolved_proposals: Map<u64, ProposalId>,
    last_token: u64,
}

/// The instance that waits for the reply to a proposal.
#[derive(Clone, Debug)]
struct Origin {
    instance: Name,
    deadline_ms: u64,
}

/// A consequence of the replica's outputs that the rest of the reducer handles.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Make a write of the replica durable.
    Persist { ticket: u64, write: quorum::Write },
    /// Send a message to another replica.
    Send {
        to: ReplicaId,
        message: quorum::Message,
    },
    /// A proposal was applied to the control state. `origin` is the instance that sent the proposal to this replica; on
    /// other replicas it is `None`.
    Applied {
        proposal: Proposal,
        reply: CommandReply,
        origin: Option<Name>,
    },
    /// A proposal was refused because this replica is not the leader.
    Refused {
        id: ProposalId,
        origin: Option<Name>,
        leader: Option<Name>,
    },
    /// The control state was replaced by that of a snapshot.
    Restored,
    /// The term or the known leader has changed.
    LeaderChanged { term: u64, leader: Option<Name> },
    /// The log entry or snapshot `index` cannot be decoded or encoded; 0 for a proposal that has no entry yet.
    Undecodable { index: u64 },
}

impl Replication {
    pub fn new(id: ReplicaId, replica: Replica) -> Self {
        Self {
            id,
            replica,
            control: ControlState::default(),
            control_changes: 0,
            applied_term: 0,
            origins: BTreeMap::new(),
            unresolved_proposals: Map::default(),
            last_token: 0,
        }
    }

    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    pub fn control(&self) -> &ControlState {
        &self.control
    }

    /// Returns the number of changes of the control state other than those of the ledger.
    pub fn control_changes(&self) -> u64 {
        self.control_changes
    }

    pub fn status(&self) -> Status {
        self.replica.status()
    }

    /// Returns whether this replica is the leader and has applied every entry of earlier terms.
    pub fn leads(&self) -> bool {
        let status = self.replica.status();
        status.is_leader && self.applied_term == status.term
    }

    /// Passes an input to the replica and returns the resulting actions.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut outputs = Vec::new();
        self.replica.step(now_ms, input, &mut outputs);
        while !outputs.is_empty() {
            let mut follow_ups = Vec::new();
            for output in outputs.drain(..) {
                if let Some(input) = self.handle_output(output, &mut actions) {
                    follow_ups.push(input);
                }
            }
            for input in follow_ups {
                self.replica.step(now_ms, input, &mut outputs);
            }
        }
        actions
    }

    /// Appends a proposal of instance `origin` if this replica is the leader.
    pub fn propose(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        origin: Name,
        proposal: &Proposal,
    ) -> Vec<Action> {
        self.remove_expired_origins(now_ms);
        let stamped = Proposal {
            at_ms: unix_ms,
            ..proposal.clone()
        };
        let Ok(command) = wire::encode_proposal(&stamped) else {
            return vec![Action::Undecodable { index: 0 }];
        };
        let waiting = Origin {
            instance: origin,
            deadline_ms: now_ms + ORIGIN_RETENTION_MS,
        };
        self.origins.insert(proposal.id.clone(), waiting);
        self.last_token += 1;
        let token = self.last_token;
        self.unresolved_proposals.insert(token, proposal.id.clone());
        self.step(now_ms, Input::Propose { token, command })
    }

    fn handle_output(&mut self, output: Output, actions: &mut Vec<Action>) -> Option<Input> {
        match output {
            Output::Persist { ticket, write } => actions.push(Action::Persist { ticket, write }),
            Output::Send { to, message } => actions.push(Action::Send { to, message }),
            Output::Appended { token, .. } => {
                self.unresolved_proposals.remove(&token);
            }
            Output::NotLeader { token, leader } => {
                if let Some(id) = self.unresolved_proposals.remove(&token) {
                    let origin = self.origins.remove(&id).map(|origin| origin.instance);
                    actions.push(Action::Refused { id, origin, leader });
                }
            }
            Output::Apply(entry) => {
                self.applied_term = self.applied_term.max(entry.term);
                if let EntryBody::Command(command) = &entry.body {
                    return self.apply(entry.index, command, actions);
                }
            }
            Output::Restore(snapshot) => {
                self.applied_term = self.applied_term.max(snapshot.term);
                match wire::decode_control(&snapshot.state) {
                    Ok(parts) => {
                        self.control = ControlState::from_parts(parts);
                        self.control_changes += 1;
                        actions.push(Action::Restored);
                    }
                    Err(_) => actions.push(Action::Undecodable {
                        index: snapshot.index,
                    }),
                }
            }
            Output::TakeSnapshot { index } => {
                match wire::encode_control(&self.control.to_parts()) {
                    Ok(state) => return Some(Input::SnapshotState { index, state }),
                    // From here on no snapshot is taken, so the log is not truncated any more.
                    Err(_) => actions.push(Action::Undecodable { index }),
                }
            }
            Output::LeaderChanged { term, leader } => {
                actions.push(Action::LeaderChanged { term, leader });
            }
            Output::ReadReady { .. } | Output::ChangeRefused { .. } => {}
        }
        None
    }

    fn apply(&mut self, index: u64, command: &Bytes, actions: &mut Vec<Action>) -> Option<Input> {
        let Ok(proposal) = wire::decode_proposal(command) else {
            actions.push(Action::Undecodable { index });
            return None;
        };
        let change = self.voter_change(&proposal.command);
        let reply = self.control.apply(&proposal);
        if !is_ledger_only(&proposal.command) {
            self.control_changes += 1;
        }
        let origin = self
            .origins
            .remove(&proposal.id)
            .map(|origin| origin.instance);
        actions.push(Action::Applied {
            proposal,
            reply,
            origin,
        });
        change
    }

    /// Returns the input that replaces a voter. Only the leader's replica may change the member set; on other replicas
    /// the command has no effect.
    fn voter_change(&mut self, command: &Command) -> Option<Input> {
        let Command::ReplaceVoter { old, new } = command else {
            return None;
        };
        if !self.replica.status().is_leader {
            return None;
        }
        self.last_token += 1;
        Some(Input::ReplaceVoter {
            token: self.last_token,
            old: old.clone(),
            new: new.clone(),
            superseded: Vec::new(),
        })
    }

    fn remove_expired_origins(&mut self, now_ms: u64) {
        self.origins.retain(|_, origin| now_ms < origin.deadline_ms);
    }
}

fn is_ledger_only(command: &Command) -> bool {
    matches!(
        command,
        Command::Begin(_) | Command::Finish(_) | Command::Advance
    )
}
