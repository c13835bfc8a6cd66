//! The replicated control state machine, the messages between instances, the leader's grants of gates, and the sending
//! of orders by the holders of gates.
#![forbid(unsafe_code)]

pub mod command;
pub mod control;
pub mod grant;
pub mod leader_client;
pub mod message;
pub mod order_gate;
pub mod platform;
pub mod roster;

pub use command::{
    Command, CommandReply, ConfigRevision, Configure, ConfigureReply, GateHolder, GrantEvidence,
    Order, OrderChange, OrderOutcome, Proposal, ProposalId,
};
pub use control::{ControlParts, ControlState, GateState, engines};
pub use leader_client::LeaderClient;
pub use message::{
    ClusterView, Gate, InstanceInfo, InstanceReport, InstanceView, LeaderReply, LeavingUpstream,
    LimitReport, LimitShare, ListingUpdate, LoadDigest, PeerMessage, PrefixUse, ProposeReply,
    ServiceDemand, ServiceRate, SpeedReport, UpstreamList, UpstreamLoad, UpstreamRecord,
    UsageCount, Watch, WatchReply,
};
pub use order_gate::{EngineState, GateAction, OrderAnswer, OrderSender};
pub use platform::{ListedState, PlatformList};
pub use roster::{InForceCounts, Roster};
