//! Commands of the replicated log and the replies to them.

use conf::admin::{DrainTarget, FileText};
use conf::{Name, Role};
use ledger::{Begin, BeginReply, Finish};

/// Identifies a proposal, so that a proposal that is repeated after a lost reply is applied once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProposalId {
    /// Id of the proposing instance.
    pub instance: Name,
    /// Incarnation of the proposing process.
    pub incarnation: u64,
    /// Number of the proposal within the process.
    pub sequence: u64,
}

/// A command that is proposed for the replicated log.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Identity of the proposal.
    pub id: ProposalId,
    /// Leader's wall-clock time when it appended the command, in milliseconds since the Unix epoch; 0 before that.
    pub at_ms: u64,
    /// The command.
    pub command: Command,
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Replaces the service configuration.
    Configure(Configure),
    /// Requests the right to run a non-idempotent request.
    Begin(Begin),
    /// Records how a non-idempotent request ended.
    Finish(Finish),
    /// Grants the gate of `upstream` to `holder` under the next epoch, if the current epoch is `from_epoch`.
    GrantGate {
        upstream: Name,
        holder: GateHolder,
        from_epoch: u64,
        evidence: GrantEvidence,
    },
    /// Releases the gate of `upstream`, if `holder` holds it under `epoch`.
    ReleaseGate {
        upstream: Name,
        holder: GateHolder,
        epoch: u64,
    },
    /// Sets the desired role, or a model or adapter to load or unload, of an upstream.
    Order { upstream: Name, change: OrderChange },
    /// Records the outcome of the order `sequence`.
    OrderDone {
        upstream: Name,
        epoch: u64,
        sequence: u64,
        outcome: OrderOutcome,
    },
    /// Sets or clears a drain mark.
    Drain { target: DrainTarget, draining: bool },
    /// Records an operator's confirmation that the processes of an instance up to `incarnation` have ended.
    ConfirmDead { instance: Name, incarnation: u64 },
    /// Replaces the voter `old` by `new`. The leader's replica carries out the replacement when the command is applied.
    ReplaceVoter { old: Name, new: Name },
    /// Advances the cluster clock, so that deadlines pass even if no other commands are committed.
    Advance,
}

/// A new service configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configure {
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

/// An accepted service configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigRevision {
    /// Number of the revision, from 1.
    pub revision: u64,
    /// Revision that the change was made from.
    pub base_revision: u64,
    /// SHA-256 of `canonical`.
    pub content_id: Name,
    /// Merged configuration in canonical form.
    pub canonical: Name,
    /// The files as the operator wrote them.
    pub files: Vec<FileText>,
    /// Who applied the change.
    pub author: Name,
    /// Commit time on the cluster clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

impl ConfigRevision {
    /// Returns the size of the canonical text and the files, in bytes.
    pub fn text_bytes(&self) -> usize {
        let files = self.files.iter().map(|file| file.text.len());
        self.canonical.len() + files.sum::<usize>()
    }
}

/// The change that an order requests of an engine. Fields that are `None` leave the engine's state as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OrderChange {
    /// Role that the engine changes to.
    pub role: Option<Role>,
    /// Model or adapter to load, as `MODEL@VERSION` or `MODEL:ADAPTER`.
    pub load: Option<Name>,
    /// Model or adapter to unload.
    pub unload: Option<Name>,
}

/// A committed order in the form in which the gate's holder sends it to the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Order {
    /// Upstream that receives the order.
    pub upstream: Name,
    /// Number of the order for this upstream, from 1.
    pub sequence: u64,
    /// Requested change.
    pub change: OrderChange,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order has taken effect according to the engine's state.
    Done,
    /// The engine refused the order.
    Refused,
}

/// Reply to a command that was applied.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandReply {
    /// Reply to `Configure`.
    Configure(ConfigureReply),
    /// Reply to `Begin`.
    Begin(BeginReply),
    /// The command has been applied, now or earlier.
    Applied,
    /// The command is not allowed in the current state; holds the reason.
    Refused(Name),
}

/// Reply to `Configure`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigureReply {
    /// The change was accepted as this revision, now or when the same change was sent earlier.
    Accepted { revision: u64 },
    /// The base revision of the change is no longer the current one, since another change was accepted.
    Conflict {
        current_revision: u64,
        current_content_id: Name,
        author: Name,
    },
}

/// A process that may send orders to an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GateHolder {
    /// Instance id.
    pub instance: Name,
    /// Incarnation of the instance's process.
    pub incarnation: u64,
}

/// Evidence that orders of the previous holder of a gate can no longer take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantEvidence {
    /// No process holds the gate.
    Vacant,
    /// The holder's gate lease has expired. This suffices only for upstreams that refuse old epochs.
    LeaseExpired,
    /// A later process of the same instance listens on the holder's address.
    Restarted,
    /// The platform has listed the holder as gone for the whole quarantine time.
    ReportedGone,
    /// An operator has confirmed that the holder's process has ended.
    ConfirmedDead,
}
