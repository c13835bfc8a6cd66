//! Commands of the replicated log and their replies.

use conf::admin::{DrainTarget, FileText};
use conf::{Name, Role};
use ledger::{Begin, BeginReply, Finish};

/// Names a proposal, so that one proposed again after a lost reply is applied once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProposalId {
    /// Proposing instance.
    pub instance: Name,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Number within the process.
    pub sequence: u64,
}

/// A command on its way to the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Identity of the proposal.
    pub id: ProposalId,
    /// Leader's wall clock when it appended the command, in milliseconds since the Unix epoch. 0 until then.
    pub at_ms: u64,
    /// The command.
    pub command: Command,
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Replaces the service configuration.
    Configure(Configure),
    /// Asks for the right to run a non-idempotent request.
    Begin(Begin),
    /// Records how such a request ended.
    Finish(Finish),
    /// Gives the right to order `upstream` to a process under the next epoch, if the present epoch is `from_epoch`.
    GrantGate {
        upstream: Name,
        holder: GateHolder,
        from_epoch: u64,
        evidence: GrantEvidence,
    },
    /// Gives the right back.
    ReleaseGate {
        upstream: Name,
        holder: GateHolder,
        epoch: u64,
    },
    /// Sets what an upstream is to become.
    Order { upstream: Name, change: OrderChange },
    /// Records the outcome of an order.
    OrderDone {
        upstream: Name,
        epoch: u64,
        sequence: u64,
        outcome: OrderOutcome,
    },
    /// Sets or clears a drain mark.
    Drain { target: DrainTarget, draining: bool },
    /// Vouches that the process of an instance has ended.
    ConfirmDead { instance: Name, incarnation: u64 },
    /// Lets `new` run a voter in place of `old`. The leader's replica carries it out when the command is applied.
    ReplaceVoter { old: Name, new: Name },
    /// Moves the cluster clock, so that deadlines pass without other commands.
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

/// What an order asks of an engine. Only the fields that are set change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OrderChange {
    /// Role to take.
    pub role: Option<Role>,
    /// Model or adapter to load, as `MODEL@VERSION` or `MODEL:ADAPTER`.
    pub load: Option<Name>,
    /// Model or adapter to unload.
    pub unload: Option<Name>,
}

/// A committed order as its gate sends it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Order {
    /// Upstream that receives it.
    pub upstream: Name,
    /// Number of the order for this upstream, from 1.
    pub sequence: u64,
    /// What it asks for.
    pub change: OrderChange,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine reports the desired state.
    Done,
    /// The engine refused the order.
    Refused,
}

/// Reply to a command after it was applied.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandReply {
    /// Reply to `Configure`.
    Configure(ConfigureReply),
    /// Reply to `Begin`.
    Begin(BeginReply),
    /// The command took effect, or had done so before.
    Applied,
    /// The command is not allowed in the present state.
    Refused(Name),
}

/// Reply to `Configure`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigureReply {
    /// Accepted as this revision, now or at an earlier send of the same change.
    Accepted { revision: u64 },
    /// Another change was accepted against the same base.
    Conflict {
        current_revision: u64,
        current_content_id: Name,
        author: Name,
    },
}

/// The process that may write orders to an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GateHolder {
    /// Instance id.
    pub instance: Name,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// Why the previous holder of a gate can write no more orders that take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantEvidence {
    /// No process holds the gate.
    Vacant,
    /// The holder's lease has run out. Suffices only if the upstream refuses old epochs.
    LeaseExpired,
    /// A later process of the same instance listens on the holder's address.
    Restarted,
    /// The platform has reported the holder gone for the whole quarantine.
    ReportedGone,
    /// An operator has confirmed that the holder's process has ended.
    ConfirmedDead,
}
