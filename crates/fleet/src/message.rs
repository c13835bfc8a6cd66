//! Messages between instances. Any message may be lost, duplicated or reordered.

use std::sync::{Arc, OnceLock};

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
    /// Replies to `Propose`.
    ProposeReply { id: ProposalId, reply: ProposeReply },
    /// Reports the sender's state to the leader.
    Report(InstanceReport),
    /// Replies to `Report`.
    ReportReply(LeaderReply),
    /// Carries the load of upstreams that the sender has read.
    Digest(Vec<LoadDigest>),
    /// Asks for the revision that the receiver has in force. `info` holds the address for the reply, since a receiver
    /// that is partitioned from the leader may not know an instance that has just started.
    AskConfig { token: u64, info: InstanceInfo },
    /// Replies to `AskConfig` and lists the instances that the sender knows.
    Config {
        token: u64,
        config: Option<ConfigRevision>,
        instances: Vec<InstanceInfo>,
    },
    /// Subscribes to a replica's configuration and list of upstreams.
    Watch(Watch),
    /// Replies to `Watch`; sent again whenever the configuration or the list of upstreams has changed.
    WatchReply(WatchReply),
}

impl PeerMessage {
    /// Returns whether the message states ages.
    pub fn has_ages(&self) -> bool {
        match self {
            Self::Watch(_)
            | Self::WatchReply(_)
            | Self::Digest(_)
            | Self::Report(_)
            | Self::ReportReply(_) => true,
            Self::Quorum { .. }
            | Self::Propose(_)
            | Self::ProposeReply { .. }
            | Self::AskConfig { .. }
            | Self::Config { .. } => false,
        }
    }

    /// Adds the time for which the message has waited to be sent to all ages that it states, in milliseconds.
    pub fn add_age(&mut self, waited_ms: u64) {
        match self {
            Self::Watch(watch) => {
                let limits = watch.limits.iter_mut().map(|limit| &mut limit.age_ms);
                limits.for_each(|age_ms| *age_ms += waited_ms);
                add_age_of_speeds(&mut watch.speeds, waited_ms);
                watch.quarantine.add_age(waited_ms);
            }
            Self::WatchReply(reply) => {
                reply.listing_age_ms = reply.listing_age_ms.saturating_add(waited_ms);
                reply.document_age_ms = reply.document_age_ms.map(|age_ms| age_ms + waited_ms);
                add_age_of_speeds(&mut reply.speeds, waited_ms);
                reply.quarantine.add_age(waited_ms);
            }
            Self::Digest(loads) => loads.iter_mut().for_each(|load| load.age_ms += waited_ms),
            Self::Report(report) => report.quarantine.add_age(waited_ms),
            Self::ReportReply(reply) => reply.quarantine.add_age(waited_ms),
            Self::Quorum { .. }
            | Self::Propose(_)
            | Self::ProposeReply { .. }
            | Self::AskConfig { .. }
            | Self::Config { .. } => {}
        }
    }
}

fn add_age_of_speeds(speeds: &mut [SpeedReport], waited_ms: u64) {
    let waited_ms = u16::try_from(waited_ms).unwrap_or(u16::MAX);
    for speed in speeds {
        speed.age_ms = speed.age_ms.saturating_add(waited_ms);
    }
}

/// Subscription of an instance to a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Watch {
    /// Identity, availability zone and peer address of the subscriber.
    pub info: InstanceInfo,
    /// Number of the `Watch` message within the process.
    pub sequence: u64,
    /// Whether the subscriber is an entry instance. Replicas also subscribe, to discover each other.
    pub accepts_callers: bool,
    /// Whether the sender only asks whether the replica is current. It gets one reply and does not become a subscriber.
    pub is_probe: bool,
    /// Version of the configuration document that the subscriber holds; 0 if it holds none.
    pub version: u64,
    /// Version of the list of upstreams that the subscriber holds; 0 if it holds none, and the highest value if it needs
    /// none.
    pub listing: u64,
    /// Unfinished work that the subscriber has sent to upstreams.
    pub loads: Vec<UpstreamLoad>,
    /// Shared prompt prefixes that the subscriber has sent to engines since its previous message.
    pub prefix_uses: Vec<PrefixUse>,
    /// What the subscriber has observed of crashes of engines.
    pub quarantine: quarantine::Report,
    /// Limits on requests that upstreams have stated to the subscriber.
    pub limits: Vec<LimitReport>,
    /// Requests that upstreams have begun to run, as far as the receiver may not know of them.
    pub usage: Vec<UsageCount>,
    /// Work that callers of the subscriber, or of a replica's subscribers, ask for.
    pub demand: Vec<ServiceRate>,
    /// What the subscriber has observed of the speed of upstreams since its previous message.
    pub speeds: Vec<SpeedReport>,
    /// Upstreams that have announced their end to the sender.
    pub leaving: Vec<LeavingUpstream>,
}

/// An upstream that has announced its end in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeavingUpstream {
    /// Hash of the upstream's instance id.
    pub upstream_key: u64,
    /// Start time of the upstream in milliseconds since the Unix epoch, which tells it from a later incarnation with the
    /// same id.
    pub born_ms: u64,
}

/// Requests of a client account that upstreams have begun to run in one window. Counts of a source only increase, so
/// that a receiver keeps the highest one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageCount {
    /// Random number of the entry process that has counted.
    pub source: u64,
    /// Number of the window, counted from the Unix epoch.
    pub window: u64,
    /// Name of the client account.
    pub account: Name,
    /// Number of requests so far.
    pub count: u32,
}

/// Work that callers in an availability zone ask of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceRate {
    /// The service.
    pub service: Name,
    /// Availability zone of the entries that receive the requests.
    pub availability_zone: Name,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Prompt tokens per second that are not expected to be cached at an engine.
    pub prompt_tokens_per_s: f64,
    /// Output tokens per second, expected or generated.
    pub output_tokens_per_s: f64,
    /// Requests per second that were refused for lack of capacity or began after their objective.
    pub late_requests_per_s: f64,
}

/// Reply of a replica to a subscriber.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchReply {
    /// Number of the `Watch` message that the reply belongs to.
    pub sequence: u64,
    /// Whether the replica has recently received a message from the leader, so that `version` is recent.
    pub is_current: bool,
    /// Version of the configuration document in force.
    pub version: u64,
    /// Time since that version is known to have been the newest acknowledged one, in milliseconds; none if it is not
    /// known.
    pub document_age_ms: Option<u64>,
    /// The configuration document, if the subscriber holds an older version.
    pub document: Option<Bytes>,
    /// Version of the list of upstreams that the replica holds.
    pub listing: u64,
    /// Time since the platform confirmed that version, in milliseconds.
    pub listing_age_ms: u64,
    /// What the subscriber lacks of that version.
    pub listing_update: Option<ListingUpdate>,
    /// Replicas that the sender knows; empty in most replies.
    pub replicas: Vec<InstanceInfo>,
    /// Number of entry instances that the sender knows to be subscribed to any replica.
    pub entries: u32,
    /// Interval at which the subscriber is to send its messages, in milliseconds.
    pub watch_interval_ms: u64,
    /// Unfinished work that the other entry instances of the subscriber's availability zone have sent; none if the
    /// message does not reply to a message of the subscriber.
    pub loads: Option<Vec<UpstreamLoad>>,
    /// Shared prompt prefixes that other entry instances have sent to engines.
    pub prefix_uses: Vec<PrefixUse>,
    /// Parts of prompts under which engines crash.
    pub quarantine: quarantine::Update,
    /// The subscriber's shares of the limits on requests that upstreams have stated; empty in most replies.
    pub limit_shares: Vec<LimitShare>,
    /// What other entry instances have observed of the speed of upstreams.
    pub speeds: Vec<SpeedReport>,
}

/// What a subscriber lacks of a version of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListingUpdate {
    /// The whole list.
    Complete(Arc<UpstreamList>),
    /// The changes since version `base`.
    Changes {
        base: u64,
        /// Records that were added or changed.
        changed: Vec<UpstreamRecord>,
        /// Instance ids of the upstreams that were removed.
        removed: Vec<Name>,
    },
}

/// A whole list of upstreams. It is encoded once for all messages that carry it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    /// Records of the upstreams.
    pub records: Vec<UpstreamRecord>,
    /// Encoded records, once a message has been encoded.
    pub encoded: OnceLock<Bytes>,
}

impl UpstreamList {
    /// Creates a list that has not been encoded.
    pub fn new(records: Vec<UpstreamRecord>) -> Self {
        Self {
            records,
            encoded: OnceLock::new(),
        }
    }
}

impl PartialEq for UpstreamList {
    fn eq(&self, other: &Self) -> bool {
        self.records == other.records
    }
}

impl Eq for UpstreamList {}

/// Limit on requests that an upstream has stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// Hash of the upstream's instance id.
    pub upstream_key: u64,
    /// Requests per second from all instances together; none if the limit has ended.
    pub per_s: Option<f64>,
    /// Time since an answer stated that, in milliseconds.
    pub age_ms: u64,
}

/// Share of an instance of the limit on requests that an upstream has stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitShare {
    /// Hash of the upstream's instance id.
    pub upstream_key: u64,
    /// Requests per second from all instances together; none if the limit has ended.
    pub per_s: Option<f64>,
    /// Requests per second that the receiver may send.
    pub share_per_s: f64,
}

/// What an entry has observed of the speed of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedReport {
    /// Hash of the upstream's instance id.
    pub upstream_key: u64,
    /// Duration of work that the upstream states, in percent of the usual; 0 if it has stated none.
    pub stated_percent: u16,
    /// Time since the upstream stated that, in milliseconds.
    pub age_ms: u16,
    /// Latest measured duration of prompts or plain requests, in percent of what the stated one leads to expect; 0 if
    /// none was measured.
    pub prompt_percent: u16,
    /// Latest measured duration of output, likewise.
    pub output_percent: u16,
}

/// Use of a shared prompt prefix at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixUse {
    /// Hash of the prefix's id.
    pub key: u64,
    /// Hash of the engine's instance id.
    pub upstream_key: u64,
}

/// Unfinished work that has been sent to one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Hash of the upstream's instance id.
    pub upstream_key: u64,
    /// Number of unfinished requests.
    pub running: u32,
    /// Prompt tokens that were sent and that the engine has not computed yet.
    pub prompt_tokens: u32,
}

/// An upstream on the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Instance id of the upstream, which identifies the upstream's current incarnation.
    pub id: Name,
    /// Service that the upstream belongs to.
    pub service: Name,
    /// IP address and port.
    pub address: Name,
    /// Availability zone that the upstream runs in.
    pub availability_zone: Name,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is draining, so that it gets no new requests.
    pub draining: bool,
    /// Start time of the upstream in milliseconds since the Unix epoch. If the list states none, the number of restarts that
    /// the list has shown.
    pub born_ms: u64,
    /// Role of an engine; `None` for plain services.
    pub role: Option<Role>,
    /// Whether the engine has been ordered to change its role and takes no requests until it has.
    pub is_changing: bool,
    /// Whether the platform may take the upstream away at short notice.
    pub is_reclaimable: bool,
}

/// Reply of a voter to a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposeReply {
    /// The command was committed and applied.
    Applied(CommandReply),
    /// The voter is not the leader; `leader` is the leader that it knows, if any.
    NotLeader { leader: Option<Name> },
}

/// State that an instance reports to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstanceReport {
    /// Identity, availability zone and peer address of the instance.
    pub info: InstanceInfo,
    /// Number of the report within the process.
    pub sequence: u64,
    /// Revision that the instance has in force.
    pub revision: u64,
    /// Whether the instance is stopping.
    pub stopping: bool,
    /// Version of the cluster view that the instance holds.
    pub view_version: u64,
    /// Tokens that callers have requested of model services through this process.
    pub demand: Vec<ServiceDemand>,
    /// What the instance has observed of crashes of engines.
    pub quarantine: quarantine::Report,
}

/// Tokens that callers have requested of a service through one process since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceDemand {
    /// The service.
    pub service: Name,
    /// Prompt tokens that were not expected to be in a cache.
    pub prompt_tokens: u64,
    /// Output tokens, expected or generated.
    pub output_tokens: u64,
}

/// Identity, availability zone and peer address of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InstanceInfo {
    /// Instance id.
    pub id: Name,
    /// Incarnation of the instance's process, which increases with each restart.
    pub incarnation: u64,
    /// Availability zone.
    pub availability_zone: Name,
    /// IP address and port of the instance's peer listener.
    pub peer_address: Name,
}

/// The right to send orders to one upstream, and the order that is outstanding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gate {
    /// The upstream.
    pub upstream: Name,
    /// Process that holds the right, if any.
    pub holder: Option<GateHolder>,
    /// Epoch of the latest grant; 0 before the first one.
    pub epoch: u64,
    /// Outstanding order, if any.
    pub order: Option<Order>,
}

/// Reply of the leader, or of another voter, to a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderReply {
    /// Number of the report that the reply belongs to.
    pub sequence: u64,
    /// Whether the sender is the leader. If it is not, only `sequence` and `leader` are set.
    pub is_leader: bool,
    /// Leader that the sender knows, if any.
    pub leader: Option<Name>,
    /// Term of the leader.
    pub term: u64,
    /// Current revision.
    pub revision: u64,
    /// The current configuration, if the instance reported an older one.
    pub config: Option<ConfigRevision>,
    /// The leader's cluster view, if the instance reported another version of it.
    pub view: Option<ClusterView>,
    /// Number of instances with a valid configuration lease.
    pub live_instances: u64,
    /// Number of live instances that have the current revision in force.
    pub instances_in_force: u64,
    /// Parts of prompts under which engines crash.
    pub quarantine: quarantine::Update,
}

/// The leader's view of instances, gates and drain marks, which it sends to instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClusterView {
    /// Hash of the other fields.
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
    /// Identity, availability zone and peer address of the instance.
    pub info: InstanceInfo,
    /// Whether the instance is stopping, has a drain mark or is listed as leaving by the platform.
    pub draining: bool,
    /// Revision that the instance has in force.
    pub revision: u64,
}

/// Load of one upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadDigest {
    /// The upstream.
    pub upstream: Name,
    /// Age of the upstream's load report when the digest was sent, in milliseconds.
    pub age_ms: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Prompt tokens that have not been prefilled yet.
    pub prompt_tokens_waiting: u32,
    /// Number of KV chunks in use.
    pub kv_chunks_used: u32,
}
