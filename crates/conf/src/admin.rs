//! Requests and replies of the administration interface, which are sent as JSON.

use serde::{Deserialize, Serialize};

use crate::Name;

/// One file of an applied folder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileText {
    /// File name without its folder.
    pub name: Name,
    /// Text of the file.
    pub text: Name,
}

/// Body of `POST /admin/apply`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Revision that the change is based on.
    pub base_revision: u64,
    /// SHA-256 of the canonical text, in lower-case hexadecimal.
    pub content_id: Name,
    /// Canonical text of the merged configuration.
    pub canonical: Name,
    /// The files as the operator wrote them.
    pub files: Vec<FileText>,
    /// Name of the operator who applies the change.
    pub author: Name,
}

/// Reply to `POST /admin/apply`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ApplyReply {
    /// The change is committed on a majority as `revision`.
    Accepted {
        /// The new revision. For a resent change, the revision of the first commit.
        revision: u64,
    },
    /// Another change to the same base revision was accepted before.
    Conflict {
        /// The current revision.
        current_revision: u64,
        /// Content id of the current revision.
        current_content_id: Name,
        /// Name of the operator who applied the current revision.
        author: Name,
    },
    /// The configuration is invalid.
    Invalid {
        /// All errors in the configuration.
        errors: Vec<Name>,
    },
    /// No majority could be reached. The change may still be accepted, and resending it is safe.
    Unavailable {
        /// Reason why the outcome is not known.
        message: Name,
    },
}

/// One accepted revision, as listed by `GET /admin/history` and `GET /admin/config`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInfo {
    /// Revision number.
    pub revision: u64,
    /// SHA-256 of the canonical text, in lower-case hexadecimal.
    pub content_id: Name,
    /// Name of the operator who applied the revision.
    pub author: Name,
    /// Time of the commit on the cluster clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The files as the operator wrote them. Empty in listings.
    pub files: Vec<FileText>,
    /// Canonical text of the merged configuration. Empty in listings.
    pub canonical: Name,
}

/// Body of `POST /admin/drain` and `POST /admin/undrain`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// The instance with this id.
    Instance(Name),
    /// The upstream with this name.
    Upstream(Name),
}

/// Body of `POST /admin/order`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Upstream that receives the order.
    pub upstream: Name,
    /// Role that the upstream is to take. `None` leaves the role unchanged.
    pub role: Option<crate::Role>,
    /// Model or adapter to load, as `MODEL@VERSION` or `MODEL:ADAPTER`.
    pub load: Option<Name>,
    /// Model or adapter to unload.
    pub unload: Option<Name>,
}

/// Body of `POST /admin/confirm-dead`, with which an operator confirms that the process of an instance has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmDeadRequest {
    /// Id of the instance whose process has ended.
    pub instance: Name,
}

/// Body of `POST /admin/voters`, which replaces an instance that runs a voter by another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceVoterRequest {
    /// Id of the instance that runs a voter now.
    pub old: Name,
    /// Id of the instance that replaces it. The new instance needs a data folder and settings that list it as a voter.
    pub new: Name,
}

/// Reply to drain, undrain, order, confirm-dead and voter replacement requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ChangeReply {
    /// The change is committed on a majority.
    Accepted,
    /// The request names an item that does not exist, or the change is not allowed now.
    Refused {
        /// Reason for the refusal.
        message: Name,
    },
    /// No majority could be reached. Resending the request is safe.
    Unavailable {
        /// Reason why no majority could be reached.
        message: Name,
    },
}

/// Reply to `GET /admin/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Id of the answering instance.
    pub instance: Name,
    /// Availability zone of the answering instance.
    pub availability_zone: Name,
    /// Whether the answering instance is ready for callers.
    pub ready: bool,
    /// Whether the answering instance is draining or stopping.
    pub draining: bool,
    /// Revision in force on the answering instance.
    pub revision: u64,
    /// Whether the configuration lease of the answering instance is valid.
    pub config_current: bool,
    /// Instance that leads the replicated log, if known.
    pub leader: Option<Name>,
    /// Current term. `None` if the answering instance has no replica of the log.
    pub term: Option<u64>,
    /// Highest committed log index. `None` if the answering instance has no replica of the log.
    pub commit_index: Option<u64>,
    /// Voters as `INSTANCE/STORAGE_ID`. Empty if the answering instance has no replica.
    pub voters: Vec<Name>,
    /// Learners as `INSTANCE/STORAGE_ID`. Empty if the answering instance has no replica.
    pub learners: Vec<Name>,
    /// All known instances.
    pub instances: Vec<InstanceStatus>,
    /// Number of instances with a valid configuration lease. 0 if the answering instance does not know the number.
    pub live_instances: u64,
    /// Number of live instances that have the current revision in force.
    pub instances_in_force: u64,
    /// All upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Number of waiting requests of each rank on the answering instance, most urgent rank first.
    pub queued_by_rank: Vec<u64>,
    /// Number of open exchanges on the answering instance.
    pub open_exchanges: u64,
    /// Sentences that say what is degraded. Empty if nothing is degraded.
    pub degraded: Vec<Name>,
}

/// An instance in the status reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Instance id.
    pub id: Name,
    /// Availability zone.
    pub availability_zone: Name,
    /// Whether the instance has reported within its lease.
    pub live: bool,
    /// Whether the instance is draining or stopping.
    pub draining: bool,
    /// Revision in force on the instance.
    pub revision: u64,
}

/// An upstream in the status reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Upstream name.
    pub name: Name,
    /// Service name.
    pub service: Name,
    /// Availability zone.
    pub availability_zone: Name,
    /// Role in the upstream's last report: `prefill`, `decode` or `mixed`.
    pub role: Name,
    /// Id of the instance that holds the order gate of the upstream and may send orders to it.
    pub gate: Option<Name>,
    /// Epoch of the order gate.
    pub epoch: u64,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Whether the answering instance can reach the upstream.
    pub reachable: bool,
    /// Number of running requests in the upstream's last report.
    pub running: u32,
    /// Number of waiting requests in the upstream's last report.
    pub waiting: u32,
}
