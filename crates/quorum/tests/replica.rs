//! Tests of a single replica with scripted inputs.

use bytes::Bytes;
use quorum::{
    Entry, EntryBody, Input, MemberSet, Message, Output, RecoveredState, Replica, ReplicaId,
    ReplicaSettings, Write,
};

const ELECTION_MIN_MS: u64 = 600;
const ELECTION_MAX_MS: u64 = 1200;

fn id(storage_id: u64) -> ReplicaId {
    let instance = format!("voter-{storage_id}").into();
    ReplicaId {
        instance,
        storage_id,
    }
}

fn members(voters: u64) -> MemberSet {
    MemberSet {
        index: 1,
        voters: (1..=voters).map(id).collect(),
        learners: Vec::new(),
        instances: (1..=voters).map(|voter| id(voter).instance).collect(),
        superseded: Vec::new(),
    }
}

fn command(index: u64, term: u64) -> Entry {
    let body = EntryBody::Command(Bytes::from_static(b"command"));
    Entry { index, term, body }
}

fn initial_members_entry(voters: u64) -> Entry {
    Entry {
        index: 1,
        term: 1,
        body: EntryBody::Members(members(voters)),
    }
}

/// The replica `id(1)` and the outputs that it has emitted since the test last took the outputs.
struct Driver {
    replica: Replica,
    now_ms: u64,
    last_ticket: u64,
    out: Vec<Output>,
}

impl Driver {
    /// Starts the replica with a log of the initial member set and one command for each of the given terms.
    fn with_log(voters: u64, terms: &[u64]) -> Self {
        let mut entries = vec![initial_members_entry(voters)];
        entries.extend((2..).zip(terms).map(|(index, term)| command(index, *term)));
        let term = terms.last().copied().unwrap_or(1);
        Self::recovered(RecoveredState {
            term,
            entries,
            ..RecoveredState::default()
        })
    }

    fn recovered(recovered: RecoveredState) -> Self {
        let settings = ReplicaSettings {
            id: id(1),
            initial_ids: Vec::new(),
            initial_voters: (1..=3).map(|voter| id(voter).instance).collect(),
            heartbeat_interval_ms: 100,
            election_timeout_min_ms: ELECTION_MIN_MS,
            election_timeout_max_ms: ELECTION_MAX_MS,
            snapshot_entries: 1000,
            seed: 1,
        };
        Self {
            replica: Replica::new(settings, recovered, 0),
            now_ms: 0,
            last_ticket: 0,
            out: Vec::new(),
        }
    }

    fn input(&mut self, input: Input) {
        let start = self.out.len();
        self.replica.step(self.now_ms, input, &mut self.out);
        for output in &self.out[start..] {
            if let Output::Persist { ticket, .. } = output {
                self.last_ticket = *ticket;
            }
        }
    }

    fn receive(&mut self, from: u64, message: Message) {
        let from = id(from);
        self.input(Input::Receive { from, message });
    }

    fn sync(&mut self) {
        let ticket = self.last_ticket;
        self.input(Input::Persisted { ticket });
    }

    fn append(&mut self, from: u64, term: u64, prev: (u64, u64), entries: Vec<Entry>) {
        self.append_committed(from, term, prev, entries, 0);
    }

    fn append_committed(
        &mut self,
        from: u64,
        term: u64,
        prev: (u64, u64),
        entries: Vec<Entry>,
        commit: u64,
    ) {
        let (prev_index, prev_term) = prev;
        let message = Message::Append {
            term,
            prev_index,
            prev_term,
            commit,
            read_sequence: 1,
            entries,
        };
        self.receive(from, message);
    }

    fn acknowledge(&mut self, from: u64, term: u64, match_index: u64) {
        let message = Message::AppendReply {
            term,
            success: true,
            match_index,
            match_term: 0,
            read_sequence: 0,
        };
        self.receive(from, message);
    }

    fn vote_request(&mut self, from: u64, term: u64, last: (u64, u64)) {
        let (last_index, last_term) = last;
        let message = Message::Vote {
            term,
            last_index,
            last_term,
            voter_storage_id: 1,
        };
        self.receive(from, message);
    }

    /// Makes this replica win an election with its own vote and the vote of `id(2)`; returns the new term.
    fn win_election(&mut self) -> u64 {
        self.now_ms += ELECTION_MAX_MS;
        self.input(Input::Tick);
        let term = self.replica.status().term + 1;
        let granted = true;
        self.receive(2, Message::PreVoteReply { term, granted });
        self.sync();
        self.receive(2, Message::VoteReply { term, granted });
        assert!(self.replica.status().is_leader);
        term
    }

    fn sent(&mut self) -> Vec<Message> {
        let sent_message = |output| match output {
            Output::Send { message, .. } => Some(message),
            _ => None,
        };
        std::mem::take(&mut self.out)
            .into_iter()
            .filter_map(sent_message)
            .collect()
    }

    fn granted_votes(&mut self) -> usize {
        let is_grant =
            |message: &Message| matches!(message, Message::VoteReply { granted: true, .. });
        self.sent()
            .iter()
            .filter(|message| is_grant(message))
            .count()
    }

    fn acknowledged(&mut self) -> Vec<u64> {
        let match_index = |message| match message {
            Message::AppendReply {
                success: true,
                match_index,
                ..
            } => Some(match_index),
            _ => None,
        };
        self.sent().into_iter().filter_map(match_index).collect()
    }
}

/// Guards against a vote that is sent before it is durable and that the voter loses in a crash.
#[test]
fn vote_is_sent_once_synced() {
    let mut driver = Driver::with_log(3, &[]);
    driver.vote_request(2, 2, (1, 1));
    assert_eq!(driver.granted_votes(), 0);
    driver.sync();
    assert_eq!(driver.granted_votes(), 1);
}

/// Guards against a second vote in a term after a restart.
#[test]
fn vote_survives_a_restart() {
    let mut driver = Driver::recovered(RecoveredState {
        term: 2,
        voted_for: Some(id(2)),
        entries: vec![initial_members_entry(3)],
        ..RecoveredState::default()
    });
    driver.vote_request(3, 2, (1, 1));
    assert_eq!(driver.granted_votes(), 0);
    driver.vote_request(2, 2, (1, 1));
    assert_eq!(driver.granted_votes(), 1);
}

/// Guards against a candidate that requests votes in a term before that term is durable. After a crash, it could
/// request votes in the same term again.
#[test]
fn votes_are_requested_once_the_own_vote_is_synced() {
    let mut driver = Driver::with_log(3, &[]);
    driver.now_ms = ELECTION_MAX_MS;
    driver.input(Input::Tick);
    driver.sent();
    let granted = true;
    driver.receive(2, Message::PreVoteReply { term: 2, granted });
    assert_eq!(driver.sent(), []);
    driver.sync();
    let requests = driver.sent();
    assert_eq!(requests.len(), 2);
    assert!(
        requests
            .iter()
            .all(|m| matches!(m, Message::Vote { term: 2, .. }))
    );
}

/// Guards against a candidate that counts its own vote before that vote is synced.
#[test]
fn only_voter_leads_once_its_vote_is_synced() {
    let mut driver = Driver::with_log(1, &[]);
    driver.now_ms = ELECTION_MAX_MS;
    driver.input(Input::Tick);
    assert!(!driver.replica.status().is_leader);
    driver.sync();
    assert!(driver.replica.status().is_leader);
}

/// Guards against counting a vote from an identity that the member set does not list.
#[test]
fn vote_of_another_identity_does_not_count() {
    let mut driver = Driver::with_log(3, &[]);
    driver.now_ms = ELECTION_MAX_MS;
    driver.input(Input::Tick);
    let granted = true;
    driver.receive(2, Message::PreVoteReply { term: 2, granted });
    driver.sync();
    let from = ReplicaId {
        storage_id: 99,
        ..id(2)
    };
    let message = Message::VoteReply { term: 2, granted };
    driver.input(Input::Receive { from, message });
    assert!(!driver.replica.status().is_leader);
    driver.receive(3, Message::VoteReply { term: 2, granted });
    assert!(driver.replica.status().is_leader);
}

/// Guards against the election of a replica that lacks committed entries.
#[test]
fn vote_needs_an_up_to_date_log() {
    for (last, granted) in [
        ((3, 2), 1),
        ((4, 2), 1),
        ((2, 3), 1),
        ((2, 2), 0),
        ((9, 1), 0),
    ] {
        let mut driver = Driver::with_log(3, &[2, 2]);
        driver.vote_request(2, 5, last);
        driver.sync();
        assert_eq!(driver.granted_votes(), granted, "last entry {last:?}");
    }
}

/// Guards against a candidate that deposes a leader whose messages still arrive.
#[test]
fn vote_is_not_granted_while_a_leader_is_active() {
    let mut driver = Driver::with_log(3, &[]);
    driver.append(2, 2, (1, 1), Vec::new());
    driver.sync();
    driver.now_ms = ELECTION_MIN_MS - 1;
    driver.vote_request(3, 9, (9, 9));
    assert_eq!(driver.replica.status().term, 2);
    driver.now_ms = ELECTION_MIN_MS;
    driver.vote_request(3, 9, (9, 9));
    assert_eq!(driver.replica.status().term, 9);
}

/// Guards against committing an entry of an earlier term because a majority holds it: a later leader may still replace
/// the entry.
#[test]
fn entry_of_an_earlier_term_commits_with_one_of_the_current_term() {
    let mut driver = Driver::with_log(3, &[2]);
    let term = driver.win_election();
    driver.sync();
    driver.acknowledge(2, term, 2);
    assert_eq!(driver.replica.status().commit_index, 0);
    driver.acknowledge(2, term, 3);
    assert_eq!(driver.replica.status().commit_index, 3);
}

/// Guards against a member set that stays in force after the entry that carries it has been replaced.
#[test]
fn truncation_restores_the_member_set() {
    let mut driver = Driver::with_log(3, &[]);
    let changed = MemberSet {
        index: 2,
        learners: vec![id(4)],
        ..members(3)
    };
    let change = Entry {
        index: 2,
        term: 2,
        body: EntryBody::Members(changed.clone()),
    };
    driver.append(2, 2, (1, 1), vec![change]);
    assert_eq!(driver.replica.status().members, changed);
    driver.append(3, 3, (1, 1), vec![command(2, 3)]);
    assert_eq!(driver.replica.status().members, members(3));
}

/// Guards against two concurrent membership changes, and against a membership change before the leader has committed
/// an entry of its own term.
#[test]
fn membership_changes_wait_for_each_other() {
    let mut driver = Driver::with_log(3, &[]);
    // The previous leader has committed the current member set.
    driver.append_committed(2, 2, (1, 1), Vec::new(), 1);
    let term = driver.win_election();
    driver.sync();
    let replace = |driver: &mut Driver, old: u64, new: u64| {
        driver.out.clear();
        let replace = Input::ReplaceVoter {
            token: 1,
            old: id(old).instance,
            new: id(new).instance,
            superseded: Vec::new(),
        };
        driver.input(replace);
        !driver.out.contains(&Output::ChangeRefused { token: 1 })
    };
    assert!(
        !replace(&mut driver, 2, 4),
        "the leader accepted a change before an entry of its term was committed"
    );
    driver.acknowledge(2, term, 2);
    assert!(replace(&mut driver, 2, 4));
    assert!(
        !replace(&mut driver, 3, 5),
        "the leader accepted a second change during another one"
    );
    driver.sync();
    driver.acknowledge(2, term, 3);
    assert!(replace(&mut driver, 3, 5));
}

/// Guards against an instance that counts as silent, and is replaced, right after it was added, because another one asked
/// to join first.
#[test]
fn an_added_instance_is_active_since_its_last_request() {
    let mut driver = Driver::with_log(3, &[]);
    driver.append_committed(2, 2, (1, 1), Vec::new(), 1);
    let term = driver.win_election();
    driver.sync();
    driver.acknowledge(2, term, 2);
    let join = |members_index| Message::Join {
        formed: false,
        members_index,
        initial: false,
    };
    driver.receive(4, join(1));
    driver.receive(5, join(1));
    let new = id(4).instance;
    driver.input(Input::AddVoter {
        token: 1,
        new,
        superseded: Vec::new(),
    });
    driver.sync();
    driver.acknowledge(2, term, 3);
    driver.receive(5, join(3));
    let ages = driver.replica.member_activity_ages_ms();
    assert!(ages.contains(&(id(4).instance, 0)), "{ages:?}");
}

/// Guards against an acknowledgement of entries that were replaced while the acknowledgement waited for the disk.
#[test]
fn acknowledgement_covers_only_entries_still_in_the_log() {
    let mut driver = Driver::with_log(3, &[]);
    let entries = (2..=5).map(|index| command(index, 2)).collect();
    driver.append(2, 2, (1, 1), entries);
    driver.append(3, 3, (1, 1), vec![command(2, 3)]);
    assert_eq!(driver.acknowledged(), []);
    driver.sync();
    assert_eq!(driver.acknowledged(), [1, 2]);
}

/// Guards against entries that conflict with a snapshot and that reappear after it because of a crash during its
/// installation.
#[test]
fn conflicting_entries_are_removed_before_a_snapshot_is_written() {
    let mut driver = Driver::with_log(3, &[2, 2, 2, 2]);
    let chunk = Message::SnapshotChunk {
        term: 4,
        index: 4,
        snapshot_term: 3,
        members: members(3),
        offset_bytes: 0,
        total_bytes: 5,
        data: Bytes::from_static(b"state"),
    };
    driver.receive(2, chunk);
    let writes = driver.out.iter().filter_map(|output| match output {
        Output::Persist { write, .. } => Some(write),
        _ => None,
    });
    let writes: Vec<&Write> = writes.collect();
    let removal = Write::Append {
        from_index: 4,
        entries: Vec::new(),
    };
    assert!(matches!(writes[0], Write::Term { term: 4, .. }));
    assert_eq!(*writes[1], removal);
    assert!(matches!(writes[2], Write::Snapshot(snapshot) if snapshot.index == 4));
}

/// Guards against a replica that never joins again after the entry that admitted it was truncated.
#[test]
fn replica_without_leader_messages_requests_to_join_again() {
    let mut driver = Driver::with_log(3, &[]);
    let admitted = MemberSet {
        index: 2,
        voters: vec![id(2), id(3)],
        learners: vec![id(1)],
        ..members(3)
    };
    let entry = Entry {
        index: 2,
        term: 2,
        body: EntryBody::Members(admitted),
    };
    driver.append(2, 2, (1, 1), vec![entry]);
    driver.sync();
    driver.sent();
    driver.now_ms = ELECTION_MAX_MS;
    driver.input(Input::Tick);
    assert_eq!(driver.sent(), []);
    driver.now_ms = ELECTION_MAX_MS + 1;
    driver.input(Input::Tick);
    let sent = driver.sent();
    assert!(
        sent.iter()
            .any(|m| matches!(m, Message::Join { formed: true, .. }))
    );
}

/// Guards against replicas that never elect a leader because the only one with a recent log is a former leader that was
/// restarted while its own removal was not committed.
#[test]
fn a_restarted_leader_whose_removal_is_not_committed_asks_for_votes() {
    let set = members(3);
    let removal = MemberSet {
        index: 2,
        voters: set.voters[1..].to_vec(),
        ..set
    };
    let removal = Entry {
        index: 2,
        term: 1,
        body: EntryBody::Members(removal),
    };
    let mut driver = Driver::recovered(RecoveredState {
        term: 1,
        entries: vec![initial_members_entry(3), removal],
        ..RecoveredState::default()
    });
    driver.now_ms = 2 * ELECTION_MAX_MS;
    driver.input(Input::Tick);
    let asks = |output: &Output| {
        let Output::Send { message, .. } = output else {
            return false;
        };
        matches!(message, Message::PreVote { last_index: 2, .. })
    };
    assert_eq!(driver.out.iter().filter(|output| asks(output)).count(), 2);
}

/// Guards against a leader that handles inputs after a long pause before it checks its quorum.
#[test]
fn paused_leader_steps_down_before_it_handles_inputs() {
    let mut driver = Driver::with_log(3, &[]);
    driver.win_election();
    driver.sync();
    driver.now_ms += ELECTION_MIN_MS + 1;
    let token = 7;
    let command = Bytes::new();
    driver.out.clear();
    driver.input(Input::Propose { token, command });
    assert!(driver.out.contains(&Output::NotLeader {
        token,
        leader: None
    }));
}

/// Guards against a stale read: only replies to a heartbeat round that was sent after the read arrived confirm the
/// read.
#[test]
fn read_is_confirmed_by_a_round_after_it() {
    let mut driver = Driver::with_log(3, &[]);
    let term = driver.win_election();
    driver.sync();
    driver.acknowledge(2, term, 2);
    let sequences = |driver: &mut Driver| {
        let sequence = |message| match message {
            Message::Append { read_sequence, .. } => Some(read_sequence),
            _ => None,
        };
        driver.sent().into_iter().filter_map(sequence).max()
    };
    let before = sequences(&mut driver).expect("a heartbeat was sent");
    let token = 7;
    driver.input(Input::Read { token });
    let ready = Output::ReadReady { token, index: 2 };
    let mut reply = |read_sequence: u64| {
        let message = Message::AppendReply {
            term,
            success: true,
            match_index: 2,
            match_term: 0,
            read_sequence,
        };
        driver.receive(2, message);
        driver.out.contains(&ready)
    };
    assert!(
        !reply(before),
        "an earlier heartbeat round confirmed the read"
    );
    assert!(reply(before + 1));
}
