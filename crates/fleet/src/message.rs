//! Messages between instances. Any message may be lost, duplicated or reordered.

use bytes::Bytes;
use conf::Name;
use conf::service::Role;
use quorum::ReplicaId;

use crate::command::{CommandReply, ConfigRevision, GateHolder, Order, Proposal, ProposalId};

/// A message between two instances.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// A message of the replicated log.
    Quorum {
        from: ReplicaId,
        to: ReplicaId,
        message: quorum::Message,
    },
    /// Asks the leader to append a command.
    Propose(Proposal),
    /// Answers `Propose`.
    ProposeReply { id: ProposalId, reply: ProposeReply },
    /// An instance reports itself.
    Report(InstanceReport),
    /// Answers `Report`.
    ReportReply(LeaderReply),
    /// Load of upstreams, as seen by the sender.
    Digest(Vec<LoadDigest>),
    /// Asks for the highest revision that the receiver has in force. `info` tells where to answer,
    /// since a receiver that is cut off may not know an instance that has just started.
    AskConfig { token: u64, info: InstanceInfo },
    /// Answers `AskConfig`, with the instances that the sender knows.
    Config {
        token: u64,
        config: Option<ConfigRevision>,
        instances: Vec<InstanceInfo>,
    },
    /// Subscribes to a replica's configuration and list of upstreams.
    Watch(Watch),
    /// Answers `Watch`, and is sent again when something has changed.
    WatchReply(WatchReply),
}

/// Subscription of an instance to a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watch {
    /// Identity and addresses of the subscriber.
    pub info: InstanceInfo,
    /// Number of the message within the process.
    pub sequence: u64,
    /// Whether the subscriber is an entry. Replicas subscribe to find each other.
    pub accepts_callers: bool,
    /// Version of the document that the subscriber holds, 0 for none.
    pub version: u64,
    /// Listing that the subscriber holds, 0 for none.
    pub listing: u64,
    /// Work that the subscriber has sent to upstreams of its availability zone.
    pub backlog: Vec<Backlog>,
    /// Shared prompt parts that engines have got since the message before.
    pub parts: Vec<PartUse>,
}

/// What a replica tells a subscriber.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchReply {
    /// Number of the message that is answered.
    pub sequence: u64,
    /// Whether the replica has heard from the leader lately, so that the version is recent.
    pub is_current: bool,
    /// Version of the document in force.
    pub version: u64,
    /// The document, if the subscriber holds an older one.
    pub document: Option<Bytes>,
    /// Listing that the replica holds.
    pub listing: u64,
    /// The upstreams, if the subscriber holds another listing.
    pub upstreams: Option<Vec<UpstreamRecord>>,
    /// Replicas that the sender knows.
    pub replicas: Vec<InstanceInfo>,
    /// Entries that subscribe to any replica, as far as the sender knows.
    pub entries: u32,
    /// Work of the other entries of the subscriber's availability zone.
    pub backlog: Vec<Backlog>,
    /// Shared prompt parts that engines have got through other entries.
    pub parts: Vec<PartUse>,
}

/// A shared prompt part that an engine has computed or fetched.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartUse {
    /// Hash of the part's id.
    pub key: u64,
    /// Instance id of the engine.
    pub upstream: Name,
}

/// Work sent to one upstream and not finished.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Instance id of the upstream.
    pub upstream: Name,
    /// Requests sent and not finished.
    pub running: u32,
    /// Prompt tokens sent and not read yet, by rank.
    pub prompt_tokens: Vec<u32>,
}

/// An upstream on the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Id of its present incarnation.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// IP address and port.
    pub address: Name,
    /// Availability zone that it runs in.
    pub availability_zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Unix time of its start, in milliseconds; 0 if not known.
    pub born_ms: u64,
    /// Role of an engine; none for plain services.
    pub role: Option<Role>,
}

/// Answer of a voter to a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposeReply {
    /// The command was committed and applied.
    Applied(CommandReply),
    /// The receiver does not lead; `leader` may.
    NotLeader { leader: Option<Name> },
}

/// What an instance tells the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceReport {
    /// Identity and addresses.
    pub info: InstanceInfo,
    /// Number of the report within the process.
    pub sequence: u64,
    /// Revision that is in force.
    pub revision: u64,
    /// Whether the instance is stopping.
    pub stopping: bool,
    /// Version of the view that the instance has.
    pub view_version: u64,
    /// Tokens asked of model services through this process.
    pub demand: Vec<ServiceDemand>,
}

/// Tokens asked of a service through one process since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceDemand {
    /// The service.
    pub service: Name,
    /// Prompt tokens that were not expected in a cache.
    pub prompt_tokens: u64,
    /// Output tokens, expected or generated.
    pub output_tokens: u64,
}

/// An instance as others know it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InstanceInfo {
    /// Instance id.
    pub id: Name,
    /// Incarnation of its process, increasing over restarts.
    pub incarnation: u64,
    /// Availability zone.
    pub availability_zone: Name,
    /// IP address and port of its peer listener.
    pub peer_address: Name,
}

/// The right to write orders to one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gate {
    /// The upstream.
    pub upstream: Name,
    /// Process that holds the right, if any.
    pub holder: Option<GateHolder>,
    /// Epoch of the right.
    pub epoch: u64,
    /// Order that is to be in effect, if any.
    pub order: Option<Order>,
}

/// Answer to a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderReply {
    /// Number of the report that is answered.
    pub sequence: u64,
    /// Whether the sender leads. If not, only `leader` is set.
    pub is_leader: bool,
    /// Known leader.
    pub leader: Option<Name>,
    /// Term of the leader.
    pub term: u64,
    /// Current revision.
    pub revision: u64,
    /// The current configuration, if the instance reported an older one.
    pub config: Option<ConfigRevision>,
    /// The leader's view, if the instance reported another version of it.
    pub view: Option<ClusterView>,
    /// Instances with a valid configuration lease.
    pub live_instances: u64,
    /// Live instances that have the current revision in force.
    pub instances_in_force: u64,
}

/// What the leader knows of instances and upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClusterView {
    /// Hash of the content.
    pub version: u64,
    /// Live instances.
    pub instances: Vec<InstanceView>,
    /// Upstreams with a drain mark.
    pub draining_upstreams: Vec<Name>,
    /// Gates of all engines.
    pub gates: Vec<Gate>,
}

/// An instance in the leader's view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InstanceView {
    /// Identity and addresses.
    pub info: InstanceInfo,
    /// Whether it has a drain mark or is stopping.
    pub draining: bool,
    /// Revision that it has in force.
    pub revision: u64,
}

/// Load of one upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadDigest {
    /// The upstream.
    pub upstream: Name,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens that wait to be computed.
    pub prompt_tokens_waiting: u32,
    /// KV chunks in use.
    pub kv_chunks_used: u32,
}
