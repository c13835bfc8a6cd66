//! Messages, inputs and outputs of a replica.

use bytes::Bytes;
use faststr::FastStr;

/// Identity of a replica: a voter that returns with an empty disk has a new storage id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplicaId {
    /// Instance that runs the replica.
    pub instance: FastStr,
    /// Random id, written when the data folder is created. Zero in `Output::Send` stands for whichever replica runs
    /// on the instance; no replica has it.
    pub storage_id: u64,
}

/// The replicas that vote and those that only follow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberSet {
    /// Index of the entry that carries the set; 0 before the log has been formed.
    pub index: u64,
    /// Replicas whose votes and acknowledgements count, sorted.
    pub voters: Vec<ReplicaId>,
    /// Replicas that receive the log without counting, sorted.
    pub learners: Vec<ReplicaId>,
    /// Instances that may run a voter, sorted: the initial voters until an operator replaces one.
    pub instances: Vec<FastStr>,
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
    /// Term of the leader that appended it.
    pub term: u64,
    /// Content.
    pub body: EntryBody,
}

/// The state machine's state up to and including an index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last index that the snapshot covers.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Member set in force at that index.
    pub members: MemberSet,
    /// Encoded state of the state machine.
    pub state: Bytes,
}

/// A message between replicas. Any message may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks whether a vote in `term` would be granted; changes nothing at the receiver. `voter_storage_id` names the
    /// identity that the candidate's member set lists as a voter; another replica of the instance does not answer.
    PreVote {
        term: u64,
        last_index: u64,
        last_term: u64,
        voter_storage_id: u64,
    },
    /// Answers `PreVote`.
    PreVoteReply { term: u64, granted: bool },
    /// Asks for a vote in `term`. `voter_storage_id` has the same meaning as in `PreVote`.
    Vote {
        term: u64,
        last_index: u64,
        last_term: u64,
        voter_storage_id: u64,
    },
    /// Answers `Vote`, once the vote is synced.
    VoteReply { term: u64, granted: bool },
    /// Appends entries after `prev_index`; with no entries it is a heartbeat.
    Append {
        term: u64,
        prev_index: u64,
        prev_term: u64,
        commit: u64,
        read_sequence: u64,
        entries: Vec<Entry>,
    },
    /// Answers `Append`. On success, `match_index` is the last synced index that agrees with the leader. Otherwise,
    /// `match_index` and `match_term` are the latest position of the sender at which the logs may still agree.
    AppendReply {
        term: u64,
        success: bool,
        match_index: u64,
        match_term: u64,
        read_sequence: u64,
    },
    /// One chunk of a snapshot, from `offset_bytes` of `total_bytes`.
    SnapshotChunk {
        term: u64,
        index: u64,
        snapshot_term: u64,
        members: MemberSet,
        offset_bytes: u64,
        total_bytes: u64,
        data: Bytes,
    },
    /// Answers `SnapshotChunk` with the number of bytes held.
    SnapshotReply {
        term: u64,
        index: u64,
        received_bytes: u64,
    },
    /// Sent by a replica that is in no member set it knows of, or that no leader speaks to: asks to be let in. `members_index` is the latest one
    /// received in a `JoinReply`; it proves to the leader that the replica has been alive since that change.
    Join { formed: bool, members_index: u64 },
    /// Answers `Join` of the replica with `storage_id`. `formed` is false while the sender holds no log.
    /// `members_index` is the index of the committed member set if the sender leads, otherwise 0.
    JoinReply {
        storage_id: u64,
        formed: bool,
        members_index: u64,
        members: MemberSet,
    },
}

/// A durable write. Writes are carried out in order.
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
    /// Replaces the log up to the snapshot's index.
    Snapshot(Snapshot),
}

/// What a replica found on its disk at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Current term.
    pub term: u64,
    /// Vote in the current term.
    pub voted_for: Option<ReplicaId>,
    /// Latest snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An input to [`crate::Replica::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from another replica.
    Receive { from: ReplicaId, message: Message },
    /// All writes up to and including `ticket` are synced.
    Persisted { ticket: u64 },
    /// Appends a command if this replica leads; answered by `Output::Appended` or `Output::NotLeader`.
    Propose { token: u64, command: Bytes },
    /// Lets `new` run a voter in place of `old`; answered by `Output::Appended`, `Output::NotLeader` or
    /// `Output::ChangeRefused`. The voter of `old` is removed once the replica of `new` has been promoted.
    ReplaceVoter {
        token: u64,
        old: FastStr,
        new: FastStr,
    },
    /// Lets `new` run a voter in addition to the present ones; answered like `ReplaceVoter`.
    AddVoter { token: u64, new: FastStr },
    /// Asks for an index at which a current read may be served; answered by `Output::ReadReady` or `Output::NotLeader`.
    Read { token: u64 },
    /// The state machine's encoded state at `index`, in answer to `Output::TakeSnapshot`.
    StateAt { index: u64, state: Bytes },
}

/// An output of [`crate::Replica::step`], to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make `write` durable, then report `Input::Persisted` with the highest ticket synced.
    Persist { ticket: u64, write: Write },
    /// Send a message to the replica on `to.instance`.
    Send { to: ReplicaId, message: Message },
    /// The proposal `token` was appended at `index` in `term`; it is committed when that entry is applied.
    Appended { token: u64, index: u64, term: u64 },
    /// The proposal or read `token` was refused.
    NotLeader { token: u64, leader: Option<FastStr> },
    /// The member change `token` was refused: another one is in progress, `old` may not run a voter or `new` already may.
    ChangeRefused { token: u64 },
    /// A read at `index` is current: every write acknowledged before the read is at or below it.
    ReadReady { token: u64, index: u64 },
    /// A committed entry, in order of its index.
    Apply(Entry),
    /// Replace the state machine's state. Emitted by the first step if the disk held a snapshot.
    Restore(Snapshot),
    /// The log has grown: pass the state machine's state back as `Input::StateAt`. All entries up to `index` and none
    /// after it have been applied when this output is reached.
    TakeSnapshot { index: u64 },
    /// The leader known to this replica has changed.
    LeaderChanged { term: u64, leader: Option<FastStr> },
}

/// A replica's state for `status` and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Current term.
    pub term: u64,
    /// Instance of the known leader.
    pub leader: Option<FastStr>,
    /// Whether this replica leads and has confirmed it with a majority within the election timeout.
    pub is_leader: bool,
    /// Last index in the log.
    pub last_index: u64,
    /// Highest committed index.
    pub commit_index: u64,
    /// Member set in force.
    pub members: MemberSet,
}
