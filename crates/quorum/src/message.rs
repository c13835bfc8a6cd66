//! Messages, inputs and outputs of a replica.

use bytes::Bytes;
use faststr::FastStr;

/// Identity of a replica. A replica that restarts with an empty disk has a new storage id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaId {
    /// Instance that runs the replica.
    pub instance: FastStr,
    /// Random id, written when the data folder is created. Zero is reserved: in `Output::Send`, zero addresses any
    /// replica that runs on the instance.
    pub storage_id: u64,
}

/// The replicas that vote (voters) and the replicas that only receive the log (learners).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSet {
    /// Index of the entry that carries the set; 0 before the log is bootstrapped.
    pub index: u64,
    /// Replicas whose votes and acknowledgements count towards a majority, sorted.
    pub voters: Vec<ReplicaId>,
    /// Replicas that receive the log without counting towards a majority, sorted.
    pub learners: Vec<ReplicaId>,
    /// Instances that may run a voter, sorted: the initial voters until an operator replaces one.
    pub instances: Vec<FastStr>,
    /// Instances for which the caller has named a newer instance, earliest first. They may vanish without a signal.
    pub superseded: Vec<FastStr>,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryBody {
    /// Appended by a new leader to commit the entries of earlier terms.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// A change of the member set, in force from the moment it is appended.
    Members(MemberSet),
}

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Content of the entry.
    pub body: EntryBody,
}

/// The state machine's state after all entries up to and including an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last index that the snapshot covers.
    pub index: u64,
    /// Term of the entry at that index.
    pub term: u64,
    /// Member set in force at that index.
    pub members: MemberSet,
    /// Encoded state of the state machine.
    pub state: Bytes,
}

/// A message between replicas. Any message may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks whether a vote in `term` would be granted, without changing the receiver's term or vote. `voter_storage_id`
    /// is the storage id that the candidate's member set lists for the voter; a replica with another storage id ignores
    /// the message.
    PreVote {
        term: u64,
        last_index: u64,
        last_term: u64,
        voter_storage_id: u64,
    },
    /// Replies to `PreVote`.
    PreVoteReply { term: u64, granted: bool },
    /// Requests a vote in `term`. `voter_storage_id` has the same meaning as in `PreVote`.
    Vote {
        term: u64,
        last_index: u64,
        last_term: u64,
        voter_storage_id: u64,
    },
    /// Replies to `Vote` once the vote is synced.
    VoteReply { term: u64, granted: bool },
    /// Appends entries after `prev_index`. A message without entries is a heartbeat. `read_sequence` is the
    /// number of the latest heartbeat round.
    Append {
        term: u64,
        prev_index: u64,
        prev_term: u64,
        commit: u64,
        read_sequence: u64,
        entries: Vec<Entry>,
    },
    /// Replies to `Append`. On success, `match_index` is the last synced index up to which the sender's log matches the
    /// leader's log. Otherwise, `match_index` and `match_term` are the latest position in the sender's log at which
    /// both logs may still match.
    AppendReply {
        term: u64,
        success: bool,
        match_index: u64,
        match_term: u64,
        read_sequence: u64,
    },
    /// Carries one chunk of a snapshot, starting at `offset_bytes` of `total_bytes`.
    SnapshotChunk {
        term: u64,
        index: u64,
        snapshot_term: u64,
        members: MemberSet,
        offset_bytes: u64,
        total_bytes: u64,
        data: Bytes,
    },
    /// Replies to `SnapshotChunk` with the number of snapshot bytes that the sender has received.
    SnapshotReply {
        term: u64,
        index: u64,
        received_bytes: u64,
    },
    /// Asks to join the member set. Sent by a replica that is in no member set known to it, or that receives no
    /// messages from a leader. `formed` is whether the sender holds a log. `members_index` is the latest index received
    /// in a `JoinReply`; it proves to the leader that the replica has been running since that membership change.
    /// `initial` is whether the sender has taken part in the first start of the whole system.
    Join {
        formed: bool,
        members_index: u64,
        initial: bool,
    },
    /// Replies to the `Join` message of the replica with `storage_id`. `formed` is whether the sender holds a log.
    /// `members_index` is the index of the committed member set if the sender is the leader and may change that set,
    /// otherwise 0.
    JoinReply {
        storage_id: u64,
        formed: bool,
        members_index: u64,
        members: MemberSet,
    },
    /// Tells the leader that the sender's process is to stop. Repeated until the leader replies.
    Leave,
    /// Tells the replica with `storage_id` that its process may stop.
    LeaveReply { storage_id: u64 },
}

/// A durable write. Writes are executed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Records the current term and the vote in it.
    Term {
        term: u64,
        voted_for: Option<ReplicaId>,
    },
    /// Removes every entry from `from_index` on, then appends `entries`.
    Append {
        from_index: u64,
        entries: Vec<Entry>,
    },
    /// Stores a snapshot, which replaces the log up to the snapshot's index.
    Snapshot(Snapshot),
}

/// The state that a replica recovered from its disk at startup.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Current term.
    pub term: u64,
    /// Replica voted for in the current term.
    pub voted_for: Option<ReplicaId>,
    /// Latest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An input to [`crate::Replica::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Lets the replica act on the time that has passed.
    Tick,
    /// Delivers a message from another replica.
    Receive { from: ReplicaId, message: Message },
    /// Reports that all writes up to and including `ticket` are synced.
    Persisted { ticket: u64 },
    /// Appends a command if this replica is the leader; answered by `Output::Appended` or `Output::NotLeader`.
    Propose { token: u64, command: Bytes },
    /// Allows instance `new` to run a voter in place of instance `old`; answered by `Output::Appended`,
    /// `Output::NotLeader` or `Output::ChangeRefused`. The voter on `old` is removed once the replica on `new` has been
    /// promoted to voter. The instances of `superseded` are recorded in the member set.
    ReplaceVoter {
        token: u64,
        old: FastStr,
        new: FastStr,
        superseded: Vec<FastStr>,
    },
    /// Allows instance `new` to run a voter in addition to the current instances; answered like `ReplaceVoter`.
    AddVoter {
        token: u64,
        new: FastStr,
        superseded: Vec<FastStr>,
    },
    /// Removes the voter on instance `old` without a replacement; answered like `ReplaceVoter`.
    RemoveVoter { token: u64, old: FastStr },
    /// Prepares the stop of this replica's process: its vote moves to another replica if one can take it over.
    /// `Replica::has_left` then tells when the process may stop.
    Leave,
    /// Requests an index at which a linearizable read may be served; answered by `Output::ReadReady` or
    /// `Output::NotLeader`.
    Read { token: u64 },
    /// Delivers the state machine's encoded state at `index`, in answer to `Output::TakeSnapshot`.
    SnapshotState { index: u64, state: Bytes },
}

/// An output of [`crate::Replica::step`]. The caller executes the outputs in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Requests that the caller make `write` durable and then report `Input::Persisted` with the highest synced ticket.
    Persist { ticket: u64, write: Write },
    /// Sends a message to the replica on `to.instance`.
    Send { to: ReplicaId, message: Message },
    /// Reports that the proposal or membership change `token` was appended at `index` in `term`. It is committed once
    /// the entry with that index and term is applied.
    Appended { token: u64, index: u64, term: u64 },
    /// Reports that this replica is not the leader and refused the proposal, membership change or
    /// read `token`.
    NotLeader { token: u64, leader: Option<FastStr> },
    /// Reports that the membership change `token` was refused: another change is in progress, `old` is not allowed to
    /// run a voter or `new` is already allowed to run one.
    ChangeRefused { token: u64 },
    /// Reports that the read `token` is linearizable at `index`: every write acknowledged before the read has an index
    /// at or below `index`.
    ReadReady { token: u64, index: u64 },
    /// Applies a committed entry to the state machine. Entries are emitted in the order of their indexes.
    Apply(Entry),
    /// Replaces the state machine's state by a snapshot that was received from a leader. The first step also emits this
    /// output if the disk held a snapshot.
    Restore(Snapshot),
    /// Requests the state machine's encoded state as `Input::SnapshotState`, so that the log can be compacted. All
    /// entries up to `index` and none after it have been applied when the caller executes this output.
    TakeSnapshot { index: u64 },
    /// Reports that this replica's term or the leader known to it has changed.
    LeaderChanged { term: u64, leader: Option<FastStr> },
}

/// An instance that asks to join the member set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JoinRequest {
    /// Instance that asks.
    pub instance: FastStr,
    /// Whether it holds a log, as a former voter does.
    pub holds_log: bool,
    /// Whether it has taken part in the first start of the whole system.
    pub is_initial: bool,
}

/// A replica's state for `status` and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Current term.
    pub term: u64,
    /// Instance of the known leader.
    pub leader: Option<FastStr>,
    /// Whether this replica is the leader. A leader steps down if no majority has replied to a heartbeat round sent
    /// within the minimum election timeout.
    pub is_leader: bool,
    /// Last index in the log.
    pub last_index: u64,
    /// Highest committed index.
    pub commit_index: u64,
    /// Member set in force.
    pub members: MemberSet,
}
