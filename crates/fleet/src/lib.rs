//! The control state machine and the membership of instances and upstreams.
#![forbid(unsafe_code)]

pub mod command;
pub mod message;

pub use command::{
    Command, CommandReply, ConfigRevision, Configure, ConfigureReply, GateHolder, GrantEvidence,
    Order, OrderChange, OrderOutcome, Proposal, ProposalId,
};
pub use message::{
    ClusterView, Gate, InstanceInfo, InstanceReport, InstanceView, LeaderReply, LoadDigest,
    PeerMessage, ProposeReply,
};
