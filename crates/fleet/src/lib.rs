//! The replicated control state machine, and the membership of instances and upstreams.
#![forbid(unsafe_code)]

pub mod command;
pub mod control;
pub mod follower;
pub mod grant;
pub mod message;
pub mod order_gate;
pub mod platform;
pub mod roster;

pub use command::{
    Command, CommandReply, ConfigRevision, Configure, ConfigureReply, GateHolder, GrantEvidence,
    Order, OrderChange, OrderOutcome, Proposal, ProposalId,
};
pub use control::{ControlParts, ControlState, GateState, engines};
pub use follower::Follower;
pub use message::{
    Backlog, ClusterView, Gate, InstanceInfo, InstanceReport, InstanceView, LeaderReply,
    LoadDigest, PartUse, PeerMessage, ProposeReply, ServiceDemand, UpstreamRecord, Watch,
    WatchReply,
};
pub use order_gate::{EngineState, GateAction, OrderAnswer, OrderWriter};
pub use platform::{ListedState, PlatformList};
pub use roster::{InForceCounts, Roster};
