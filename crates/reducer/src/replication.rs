//! The control replica of a voter: the replicated log with the control state applied to it.

use std::collections::BTreeMap;

use bytes::Bytes;
use conf::{Map, Name};
use fleet::{Command, CommandReply, ControlState, Proposal, ProposalId};
use quorum::{EntryBody, Input, Output, Replica, ReplicaId, Status};

/// Time for which the origin of a forwarded proposal is remembered, in milliseconds.
const ORIGIN_RETENTION_MS: u64 = 10_000;

/// A control replica.
#[derive(Debug)]
pub(crate) struct Replication {
    id: ReplicaId,
    replica: Replica,
    control: ControlState,
    /// Changes of the control state outside the ledger.
    control_changes: u64,
    applied_term: u64,
    origins: BTreeMap<ProposalId, Origin>,
    proposals: Map<u64, ProposalId>,
    next_token: u64,
}

/// The instance that waits for a proposal's reply.
#[derive(Clone, Debug)]
struct Origin {
    instance: Name,
    deadline_ms: u64,
}

/// What the replica asks of the rest of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Request {
    Persist {
        ticket: u64,
        write: quorum::Write,
    },
    Send {
        to: ReplicaId,
        message: quorum::Message,
    },
    Applied {
        proposal: Proposal,
        reply: CommandReply,
        origin: Option<Name>,
    },
    Refused {
        id: ProposalId,
        origin: Option<Name>,
        leader: Option<Name>,
    },
    Restored,
    LeaderChanged {
        term: u64,
        leader: Option<Name>,
    },
    Undecodable {
        index: u64,
    },
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
            proposals: Map::default(),
            next_token: 0,
        }
    }

    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    pub fn control(&self) -> &ControlState {
        &self.control
    }

    /// Returns a number that grows with each change of the control state outside the ledger.
    pub fn control_changes(&self) -> u64 {
        self.control_changes
    }

    pub fn status(&self) -> Status {
        self.replica.status()
    }

    /// Returns whether this replica leads and has applied every entry of earlier terms.
    pub fn leads(&self) -> bool {
        let status = self.replica.status();
        status.is_leader && self.applied_term == status.term
    }

    /// Passes an input to the replica and returns what follows from it.
    pub fn input(&mut self, now_ms: u64, input: Input) -> Vec<Request> {
        let mut requests = Vec::new();
        let mut outputs = Vec::new();
        self.replica.step(now_ms, input, &mut outputs);
        while !outputs.is_empty() {
            let mut follow_ups = Vec::new();
            for output in outputs.drain(..) {
                if let Some(input) = self.output(output, &mut requests) {
                    follow_ups.push(input);
                }
            }
            for input in follow_ups {
                self.replica.step(now_ms, input, &mut outputs);
            }
        }
        requests
    }

    /// Appends a proposal for `origin` if this replica leads.
    pub fn propose(
        &mut self,
        now_ms: u64,
        unix_ms: u64,
        origin: Name,
        proposal: &Proposal,
    ) -> Vec<Request> {
        self.forget_origins(now_ms);
        let stamped = Proposal {
            at_ms: unix_ms,
            ..proposal.clone()
        };
        let Ok(command) = wire::encode_proposal(&stamped) else {
            return vec![Request::Undecodable { index: 0 }];
        };
        let waiting = Origin {
            instance: origin,
            deadline_ms: now_ms + ORIGIN_RETENTION_MS,
        };
        self.origins.insert(proposal.id.clone(), waiting);
        self.next_token += 1;
        let token = self.next_token;
        self.proposals.insert(token, proposal.id.clone());
        self.input(now_ms, Input::Propose { token, command })
    }

    fn output(&mut self, output: Output, requests: &mut Vec<Request>) -> Option<Input> {
        match output {
            Output::Persist { ticket, write } => requests.push(Request::Persist { ticket, write }),
            Output::Send { to, message } => requests.push(Request::Send { to, message }),
            Output::Appended { token, .. } => {
                self.proposals.remove(&token);
            }
            Output::NotLeader { token, leader } => {
                if let Some(id) = self.proposals.remove(&token) {
                    let origin = self.origins.remove(&id).map(|origin| origin.instance);
                    requests.push(Request::Refused { id, origin, leader });
                }
            }
            Output::Apply(entry) => {
                self.applied_term = self.applied_term.max(entry.term);
                if let EntryBody::Command(command) = &entry.body {
                    return self.apply(entry.index, command, requests);
                }
            }
            Output::Restore(snapshot) => {
                self.applied_term = self.applied_term.max(snapshot.term);
                match wire::decode_control(&snapshot.state) {
                    Ok(parts) => {
                        self.control = ControlState::from_parts(parts);
                        self.control_changes += 1;
                        requests.push(Request::Restored);
                    }
                    Err(_) => requests.push(Request::Undecodable {
                        index: snapshot.index,
                    }),
                }
            }
            Output::TakeSnapshot { index } => {
                match wire::encode_control(&self.control.to_parts()) {
                    Ok(state) => return Some(Input::SnapshotState { index, state }),
                    // No snapshot is taken from here on, and the log is not cut any more.
                    Err(_) => requests.push(Request::Undecodable { index }),
                }
            }
            Output::LeaderChanged { term, leader } => {
                requests.push(Request::LeaderChanged { term, leader });
            }
            Output::ReadReady { .. } | Output::ChangeRefused { .. } => {}
        }
        None
    }

    fn apply(&mut self, index: u64, command: &Bytes, requests: &mut Vec<Request>) -> Option<Input> {
        let Ok(proposal) = wire::decode_proposal(command) else {
            requests.push(Request::Undecodable { index });
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
        requests.push(Request::Applied {
            proposal,
            reply,
            origin,
        });
        change
    }

    // Only the leader's replica may change the member set; the others apply the command without effect.
    fn voter_change(&mut self, command: &Command) -> Option<Input> {
        let Command::ReplaceVoter { old, new } = command else {
            return None;
        };
        if !self.replica.status().is_leader {
            return None;
        }
        self.next_token += 1;
        Some(Input::ReplaceVoter {
            token: self.next_token,
            old: old.clone(),
            new: new.clone(),
        })
    }

    fn forget_origins(&mut self, now_ms: u64) {
        self.origins.retain(|_, origin| now_ms < origin.deadline_ms);
    }
}

fn is_ledger_only(command: &Command) -> bool {
    matches!(
        command,
        Command::Begin(_) | Command::Finish(_) | Command::Advance
    )
}
