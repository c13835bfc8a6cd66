//! Generators of arbitrary values of the domain types.

use std::sync::Arc;

use bytes::Bytes;
use conf::admin::{DrainTarget, FileText};
use conf::{Name, Role};
use fleet::*;
use ledger::{Answer, AttemptId, Begin, BeginReply, Finish, Key, Outcome, Record, RecordState};
use quickcheck::{Arbitrary, Gen};
use quorum::{Entry, EntryBody, MemberSet, Message, ReplicaId};

#[derive(Clone, Debug)]
pub struct AnyMessage(pub PeerMessage);

#[derive(Clone, Debug)]
pub struct AnyProposal(pub Proposal);

#[derive(Clone, Debug)]
pub struct AnyControl(pub ControlParts);

impl Arbitrary for AnyControl {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(ControlParts {
            time_ms: number(g),
            revisions: list(g, config_revision),
            gates: list(g, |g| (name(g), gate_state(g))),
            drains: list(g, drain_target),
            dead: list(g, |g| (name(g), number(g))),
            applied_orders: list(g, proposal_id),
            records: list(g, |g| (key(g), ledger_record(g))),
        })
    }
}

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(message(g))
    }
}

impl Arbitrary for AnyProposal {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(proposal(g))
    }
}

fn name(g: &mut Gen) -> Name {
    Name::from(String::arbitrary(g))
}

fn bytes(g: &mut Gen) -> Bytes {
    Bytes::from(Vec::<u8>::arbitrary(g))
}

fn number(g: &mut Gen) -> u64 {
    u64::arbitrary(g)
}

fn flag(g: &mut Gen) -> bool {
    bool::arbitrary(g)
}

fn below(g: &mut Gen, count: u64) -> u64 {
    number(g) % count
}

fn list<T>(g: &mut Gen, item: fn(&mut Gen) -> T) -> Vec<T> {
    (0..below(g, 4)).map(|_| item(g)).collect()
}

fn option<T>(g: &mut Gen, item: fn(&mut Gen) -> T) -> Option<T> {
    flag(g).then(|| item(g))
}

fn message(g: &mut Gen) -> PeerMessage {
    match below(g, 10) {
        0 => PeerMessage::Quorum {
            from: replica_id(g),
            to: replica_id(g),
            message: quorum_message(g),
        },
        1 => PeerMessage::Propose(proposal(g)),
        2 => PeerMessage::ProposeReply {
            id: proposal_id(g),
            reply: propose_reply(g),
        },
        3 => PeerMessage::Report(InstanceReport {
            info: instance_info(g),
            sequence: number(g),
            revision: number(g),
            stopping: flag(g),
            view_version: number(g),
            demand: list(g, service_demand),
            quarantine: quarantine_report(g),
        }),
        4 => PeerMessage::ReportReply(leader_reply(g)),
        5 => PeerMessage::Digest(list(g, load_digest)),
        6 => PeerMessage::AskConfig {
            token: number(g),
            info: instance_info(g),
        },
        7 => PeerMessage::Watch(watch(g)),
        8 => PeerMessage::WatchReply(watch_reply(g)),
        _ => PeerMessage::Config {
            token: number(g),
            config: option(g, config_revision),
            instances: list(g, instance_info),
        },
    }
}

fn watch(g: &mut Gen) -> Watch {
    Watch {
        info: instance_info(g),
        sequence: number(g),
        accepts_callers: flag(g),
        is_probe: flag(g),
        version: number(g),
        listing: number(g),
        loads: list(g, upstream_load),
        prefix_uses: list(g, prefix_use),
        quarantine: quarantine_report(g),
        limits: list(g, limit_report),
        usage: list(g, usage_count),
        demand: list(g, service_rate),
        speeds: list(g, speed_report),
        leaving: list(g, |g| fleet::LeavingUpstream {
            upstream_key: number(g),
            born_ms: number(g),
        }),
    }
}

fn usage_count(g: &mut Gen) -> fleet::UsageCount {
    fleet::UsageCount {
        source: number(g),
        window: number(g),
        account: name(g),
        count: u32::arbitrary(g),
    }
}

fn service_rate(g: &mut Gen) -> fleet::ServiceRate {
    fleet::ServiceRate {
        service: name(g),
        availability_zone: name(g),
        requests_per_s: rate(g),
        prompt_tokens_per_s: rate(g),
        output_tokens_per_s: rate(g),
        late_requests_per_s: rate(g),
    }
}

fn speed_report(g: &mut Gen) -> fleet::SpeedReport {
    fleet::SpeedReport {
        upstream_key: number(g),
        stated_percent: u16::arbitrary(g),
        age_ms: u16::arbitrary(g),
        prompt_percent: u16::arbitrary(g),
        output_percent: u16::arbitrary(g),
    }
}

fn limit_report(g: &mut Gen) -> fleet::LimitReport {
    fleet::LimitReport {
        upstream_key: number(g),
        per_s: option(g, rate),
        age_ms: number(g),
    }
}

fn limit_share(g: &mut Gen) -> fleet::LimitShare {
    fleet::LimitShare {
        upstream_key: number(g),
        per_s: option(g, rate),
        share_per_s: rate(g),
    }
}

fn rate(g: &mut Gen) -> f64 {
    f64::from(u32::arbitrary(g)) / 7.0
}

fn quarantine_report(g: &mut Gen) -> quarantine::Report {
    quarantine::Report {
        crashes: list(g, crash_report),
        sound: list(g, sound_report),
        refused: list(g, number),
        version: number(g),
        verdicts: list(g, verdict),
    }
}

fn quarantine_update(g: &mut Gen) -> quarantine::Update {
    quarantine::Update {
        watched: list(g, number),
        version: number(g),
        verdicts: list(g, verdict),
        trials: list(g, number),
    }
}

fn crash_report(g: &mut Gen) -> quarantine::CrashReport {
    quarantine::CrashReport {
        engine: number(g),
        parts: list(g, |g| quarantine::SuspectPart {
            key: number(g),
            depth: u32::arbitrary(g),
        }),
        age_ms: number(g),
    }
}

fn sound_report(g: &mut Gen) -> quarantine::SoundReport {
    quarantine::SoundReport {
        part: number(g),
        age_ms: number(g),
    }
}

fn verdict(g: &mut Gen) -> quarantine::Verdict {
    quarantine::Verdict {
        part: number(g),
        revision: number(g),
        is_blocked: flag(g),
        crashes: u32::arbitrary(g),
        trials: u32::arbitrary(g),
        age_ms: number(g),
        retry_in_ms: number(g),
    }
}

fn watch_reply(g: &mut Gen) -> WatchReply {
    WatchReply {
        sequence: number(g),
        is_current: flag(g),
        version: number(g),
        document_age_ms: option(g, |g| u64::from(u32::arbitrary(g))),
        document: option(g, bytes),
        listing: number(g),
        listing_age_ms: number(g),
        listing_update: option(g, listing_update),
        replicas: list(g, instance_info),
        entries: u32::arbitrary(g),
        watch_interval_ms: number(g),
        loads: option(g, |g| list(g, upstream_load)),
        prefix_uses: list(g, prefix_use),
        quarantine: quarantine_update(g),
        limit_shares: list(g, limit_share),
        speeds: list(g, speed_report),
    }
}

fn listing_update(g: &mut Gen) -> ListingUpdate {
    match flag(g) {
        true => ListingUpdate::Complete(Arc::new(UpstreamList::new(list(g, upstream_record)))),
        false => ListingUpdate::Changes {
            base: number(g),
            changed: list(g, upstream_record),
            removed: list(g, name),
        },
    }
}

fn prefix_use(g: &mut Gen) -> PrefixUse {
    PrefixUse {
        key: number(g),
        upstream_key: number(g),
    }
}

fn upstream_load(g: &mut Gen) -> UpstreamLoad {
    UpstreamLoad {
        upstream_key: number(g),
        running: u32::arbitrary(g),
        prompt_tokens: u32::arbitrary(g),
    }
}

fn upstream_record(g: &mut Gen) -> UpstreamRecord {
    UpstreamRecord {
        id: name(g),
        service: name(g),
        address: name(g),
        availability_zone: name(g),
        slots: u32::arbitrary(g),
        draining: flag(g),
        born_ms: number(g),
        role: option(g, |g| {
            *g.choose(&[Role::Prefill, Role::Decode, Role::Mixed])
                .unwrap()
        }),
        is_changing: flag(g),
        is_reclaimable: flag(g),
    }
}

fn service_demand(g: &mut Gen) -> fleet::ServiceDemand {
    fleet::ServiceDemand {
        service: name(g),
        prompt_tokens: number(g),
        output_tokens: number(g),
    }
}

fn replica_id(g: &mut Gen) -> ReplicaId {
    ReplicaId {
        instance: name(g),
        storage_id: number(g),
    }
}

fn member_set(g: &mut Gen) -> MemberSet {
    MemberSet {
        index: number(g),
        voters: list(g, replica_id),
        learners: list(g, replica_id),
        instances: list(g, name),
        superseded: list(g, name),
    }
}

fn entry(g: &mut Gen) -> Entry {
    let body = match below(g, 3) {
        0 => EntryBody::Empty,
        1 => EntryBody::Command(bytes(g)),
        _ => EntryBody::Members(member_set(g)),
    };
    Entry {
        index: number(g),
        term: number(g),
        body,
    }
}

fn quorum_message(g: &mut Gen) -> Message {
    let term = number(g);
    match below(g, 12) {
        0 => Message::PreVote {
            term,
            last_index: number(g),
            last_term: number(g),
            voter_storage_id: number(g),
        },
        1 => Message::PreVoteReply {
            term,
            granted: flag(g),
        },
        2 => Message::Vote {
            term,
            last_index: number(g),
            last_term: number(g),
            voter_storage_id: number(g),
        },
        3 => Message::VoteReply {
            term,
            granted: flag(g),
        },
        4 => Message::Append {
            term,
            prev_index: number(g),
            prev_term: number(g),
            commit: number(g),
            read_sequence: number(g),
            entries: list(g, entry),
        },
        5 => Message::AppendReply {
            term,
            success: flag(g),
            match_index: number(g),
            match_term: number(g),
            read_sequence: number(g),
        },
        6 => Message::SnapshotChunk {
            term,
            index: number(g),
            snapshot_term: number(g),
            members: member_set(g),
            offset_bytes: number(g),
            total_bytes: number(g),
            data: bytes(g),
        },
        7 => Message::SnapshotReply {
            term,
            index: number(g),
            received_bytes: number(g),
        },
        8 => Message::Join {
            formed: flag(g),
            members_index: number(g),
            initial: flag(g),
        },
        9 => Message::JoinReply {
            storage_id: number(g),
            formed: flag(g),
            members_index: number(g),
            members: member_set(g),
        },
        10 => Message::Leave,
        _ => Message::LeaveReply {
            storage_id: number(g),
        },
    }
}

fn proposal_id(g: &mut Gen) -> ProposalId {
    ProposalId {
        instance: name(g),
        incarnation: number(g),
        sequence: number(g),
    }
}

fn proposal(g: &mut Gen) -> Proposal {
    Proposal {
        id: proposal_id(g),
        at_ms: number(g),
        command: command(g),
    }
}

fn command(g: &mut Gen) -> Command {
    match below(g, 11) {
        0 => Command::Configure(Configure {
            base_revision: number(g),
            content_id: name(g),
            canonical: name(g),
            files: list(g, file_text),
            author: name(g),
        }),
        1 => Command::Begin(Begin {
            key: key(g),
            body_sha256: std::array::from_fn(|_| u8::arbitrary(g)),
            attempt: attempt_id(g),
            answer_timeout_ms: number(g),
            retention_ms: number(g),
        }),
        2 => Command::Finish(Finish {
            key: key(g),
            attempt: attempt_id(g),
            outcome: outcome(g),
        }),
        3 => Command::GrantGate {
            upstream: name(g),
            holder: gate_holder(g),
            from_epoch: number(g),
            evidence: *g
                .choose(&[
                    GrantEvidence::Vacant,
                    GrantEvidence::LeaseExpired,
                    GrantEvidence::Restarted,
                    GrantEvidence::ReportedGone,
                    GrantEvidence::ConfirmedDead,
                ])
                .unwrap(),
        },
        4 => Command::ReleaseGate {
            upstream: name(g),
            holder: gate_holder(g),
            epoch: number(g),
        },
        5 => Command::Order {
            upstream: name(g),
            change: order_change(g),
        },
        6 => Command::OrderDone {
            upstream: name(g),
            epoch: number(g),
            sequence: number(g),
            outcome: *g
                .choose(&[OrderOutcome::Done, OrderOutcome::Refused])
                .unwrap(),
        },
        7 => Command::Drain {
            target: drain_target(g),
            draining: flag(g),
        },
        8 => Command::ConfirmDead {
            instance: name(g),
            incarnation: number(g),
        },
        9 => Command::ReplaceVoter {
            old: name(g),
            new: name(g),
        },
        _ => Command::Advance,
    }
}

fn drain_target(g: &mut Gen) -> DrainTarget {
    if flag(g) {
        DrainTarget::Instance(name(g))
    } else {
        DrainTarget::Upstream(name(g))
    }
}

fn file_text(g: &mut Gen) -> FileText {
    FileText {
        name: name(g),
        text: name(g),
    }
}

fn config_revision(g: &mut Gen) -> ConfigRevision {
    ConfigRevision {
        revision: number(g),
        base_revision: number(g),
        content_id: name(g),
        canonical: name(g),
        files: list(g, file_text),
        author: name(g),
        at_ms: number(g),
    }
}

fn role(g: &mut Gen) -> Role {
    *g.choose(&[Role::Prefill, Role::Decode, Role::Mixed])
        .unwrap()
}

fn order_change(g: &mut Gen) -> OrderChange {
    OrderChange {
        role: option(g, role),
        load: option(g, name),
        unload: option(g, name),
    }
}

fn order(g: &mut Gen) -> Order {
    Order {
        upstream: name(g),
        sequence: number(g),
        change: order_change(g),
    }
}

fn key(g: &mut Gen) -> Key {
    Key {
        client_account: name(g),
        key: name(g),
    }
}

fn attempt_id(g: &mut Gen) -> AttemptId {
    AttemptId {
        instance: name(g),
        incarnation: number(g),
        sequence: number(g),
    }
}

fn header(g: &mut Gen) -> (Name, Name) {
    (name(g), name(g))
}

fn answer(g: &mut Gen) -> Answer {
    Answer {
        status: u16::arbitrary(g),
        headers: list(g, header),
        body: bytes(g),
        truncated: flag(g),
    }
}

fn outcome(g: &mut Gen) -> Outcome {
    match below(g, 3) {
        0 => Outcome::Answered(answer(g)),
        1 => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

fn begin_reply(g: &mut Gen) -> BeginReply {
    match below(g, 5) {
        0 => BeginReply::Granted,
        1 => BeginReply::Answered(answer(g)),
        2 => BeginReply::Running,
        3 => BeginReply::Unknown,
        _ => BeginReply::BodyMismatch,
    }
}

fn configure_reply(g: &mut Gen) -> ConfigureReply {
    if flag(g) {
        return ConfigureReply::Accepted {
            revision: number(g),
        };
    }
    ConfigureReply::Conflict {
        current_revision: number(g),
        current_content_id: name(g),
        author: name(g),
    }
}

fn propose_reply(g: &mut Gen) -> ProposeReply {
    match below(g, 5) {
        0 => ProposeReply::NotLeader {
            leader: option(g, name),
        },
        1 => ProposeReply::Applied(CommandReply::Configure(configure_reply(g))),
        2 => ProposeReply::Applied(CommandReply::Begin(begin_reply(g))),
        3 => ProposeReply::Applied(CommandReply::Applied),
        _ => ProposeReply::Applied(CommandReply::Refused(name(g))),
    }
}

fn instance_info(g: &mut Gen) -> InstanceInfo {
    InstanceInfo {
        id: name(g),
        incarnation: number(g),
        availability_zone: name(g),
        peer_address: name(g),
    }
}

fn gate(g: &mut Gen) -> Gate {
    Gate {
        upstream: name(g),
        holder: option(g, gate_holder),
        epoch: number(g),
        order: option(g, order),
    }
}

fn gate_holder(g: &mut Gen) -> GateHolder {
    GateHolder {
        instance: name(g),
        incarnation: number(g),
    }
}

fn instance_view(g: &mut Gen) -> InstanceView {
    InstanceView {
        info: instance_info(g),
        draining: flag(g),
        revision: number(g),
    }
}

fn cluster_view(g: &mut Gen) -> ClusterView {
    ClusterView {
        version: number(g),
        instances: list(g, instance_view),
        draining_upstreams: list(g, name),
        gates: list(g, gate),
    }
}

fn leader_reply(g: &mut Gen) -> LeaderReply {
    LeaderReply {
        sequence: number(g),
        is_leader: flag(g),
        leader: option(g, name),
        term: number(g),
        revision: number(g),
        config: option(g, config_revision),
        view: option(g, cluster_view),
        live_instances: number(g),
        instances_in_force: number(g),
        quarantine: quarantine_update(g),
    }
}

fn load_digest(g: &mut Gen) -> LoadDigest {
    LoadDigest {
        upstream: name(g),
        age_ms: number(g),
        running: u32::arbitrary(g),
        waiting: u32::arbitrary(g),
        prompt_tokens_waiting: u32::arbitrary(g),
        kv_chunks_used: u32::arbitrary(g),
    }
}

fn order_outcome(g: &mut Gen) -> OrderOutcome {
    *g.choose(&[OrderOutcome::Done, OrderOutcome::Refused])
        .unwrap()
}

fn gate_state(g: &mut Gen) -> GateState {
    GateState {
        holder: option(g, gate_holder),
        epoch: number(g),
        order: option(g, order),
        outcome: option(g, order_outcome),
    }
}

fn ledger_record(g: &mut Gen) -> Record {
    Record {
        body_sha256: std::array::from_fn(|_| u8::arbitrary(g)),
        attempt: attempt_id(g),
        answer_deadline_ms: number(g),
        expiry_deadline_ms: number(g),
        ended_attempts: list(g, attempt_id),
        state: match below(g, 4) {
            0 => RecordState::Begun,
            1 => RecordState::Answered(answer(g)),
            2 => RecordState::NotRun,
            _ => RecordState::Unknown,
        },
    }
}
