//! Requests and replies of the administration interface, as JSON on the wire.

use serde::{Deserialize, Serialize};

use crate::Name;

/// One file of an applied folder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileText {
    /// File name without its folder.
    pub name: Name,
    /// Content.
    pub text: Name,
}

/// Body of `POST /admin/apply`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Revision that the change was made from.
    pub base_revision: u64,
    /// SHA-256 of `canonical`, in lower-case hexadecimal.
    pub content_id: Name,
    /// Merged configuration in canonical form.
    pub canonical: Name,
    /// The files as the operator wrote them.
    pub files: Vec<FileText>,
    /// Who applied the change.
    pub author: Name,
}

/// Outcome of an apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ApplyReply {
    /// Committed on a majority as `revision`.
    Accepted {
        /// The new revision, or the first one for a resent change.
        revision: u64,
    },
    /// Another change was accepted against the same base.
    Conflict {
        /// Revision now current.
        current_revision: u64,
        /// Its content id.
        current_content_id: Name,
        /// Who applied it.
        author: Name,
    },
    /// The configuration is invalid.
    Invalid {
        /// Every error found.
        errors: Vec<Name>,
    },
    /// No majority could be reached; the change may still be accepted. Resending it is safe.
    Unavailable {
        /// Reason.
        message: Name,
    },
}

/// One accepted revision, as listed by `GET /admin/history` and `GET /admin/config`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionInfo {
    /// Revision number.
    pub revision: u64,
    /// SHA-256 of the canonical text.
    pub content_id: Name,
    /// Who applied it.
    pub author: Name,
    /// Commit time on the cluster clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The files as the operator wrote them. Empty in listings.
    pub files: Vec<FileText>,
    /// Merged configuration in canonical form. Empty in listings.
    pub canonical: Name,
}

/// What `POST /admin/drain` and `POST /admin/undrain` name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTarget {
    /// An instance by id.
    Instance(Name),
    /// An upstream by name.
    Upstream(Name),
}

/// Body of `POST /admin/order`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Upstream that receives the order.
    pub upstream: Name,
    /// Desired role.
    pub role: Option<crate::Role>,
    /// Model or adapter to load, as `MODEL@VERSION` or `MODEL:ADAPTER`.
    pub load: Option<Name>,
    /// Model or adapter to unload.
    pub unload: Option<Name>,
}

/// Body of `POST /admin/confirm-dead`: an operator vouches that a process has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmDeadRequest {
    /// Instance id of the process.
    pub instance: Name,
}

/// Body of `POST /admin/voters`: lets one instance run a voter in place of another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplaceVoterRequest {
    /// Instance that runs a voter now.
    pub old: Name,
    /// Instance that takes its place. It needs a data folder and settings that list it as a voter.
    pub new: Name,
}

/// Outcome of drain, order and confirm-dead requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum ChangeReply {
    /// Committed on a majority.
    Accepted,
    /// The request names something that does not exist or is not allowed now.
    Refused {
        /// Reason.
        message: Name,
    },
    /// No majority could be reached. Resending is safe.
    Unavailable {
        /// Reason.
        message: Name,
    },
}

/// Reply of `GET /admin/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Id of the answering instance.
    pub instance: Name,
    /// Availability zone of the answering instance.
    pub availability_zone: Name,
    /// Whether it is ready for callers.
    pub ready: bool,
    /// Whether it is stopping or drained.
    pub draining: bool,
    /// Revision in force on the answering instance.
    pub revision: u64,
    /// Whether its configuration lease is valid.
    pub config_current: bool,
    /// Instance that leads the replicated log, if known.
    pub leader: Option<Name>,
    /// Current term, on a voter.
    pub term: Option<u64>,
    /// Highest committed log index, on a voter.
    pub commit_index: Option<u64>,
    /// Voters as `INSTANCE/STORAGE_ID`, on a voter.
    pub voters: Vec<Name>,
    /// Learners as `INSTANCE/STORAGE_ID`, on a voter.
    pub learners: Vec<Name>,
    /// All known instances.
    pub instances: Vec<InstanceStatus>,
    /// Instances with a valid configuration lease; 0 if this instance does not know.
    pub live_instances: u64,
    /// Live instances that have the current revision in force.
    pub instances_in_force: u64,
    /// All upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Waiting requests by rank, most urgent first.
    pub queued_by_rank: Vec<u64>,
    /// Open exchanges.
    pub open_exchanges: u64,
    /// Plain sentences on what is degraded. Empty if nothing is.
    pub degraded: Vec<Name>,
}

/// An instance in the status reply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Instance id.
    pub id: Name,
    /// Availability zone.
    pub availability_zone: Name,
    /// Whether it has reported within its lease.
    pub live: bool,
    /// Whether it is draining or stopping.
    pub draining: bool,
    /// Revision it has in force.
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
    /// Role by the last report: `prefill`, `decode` or `mixed`.
    pub role: Name,
    /// Instance that may write orders to it.
    pub gate: Option<Name>,
    /// Epoch of that right.
    pub epoch: u64,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether this instance can reach it.
    pub reachable: bool,
    /// Requests running by the last report.
    pub running: u32,
    /// Requests waiting by the last report.
    pub waiting: u32,
}
