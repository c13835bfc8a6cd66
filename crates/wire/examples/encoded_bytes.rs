//! Prints the encoded size of each message between instances, and the time to encode and decode it.
//!
//! `cargo run --release -p wire --example encoded_bytes`

use std::time::Instant;

use conf::admin::FileText;
use conf::{ClientAccount, Model, Name, Service, ServiceConfig, Upstream};
use fleet::{
    ClusterView, Command, CommandReply, ConfigRevision, Configure, Gate, GateHolder, InstanceInfo,
    InstanceReport, InstanceView, LeaderReply, LoadDigest, PeerMessage, Proposal, ProposalId,
    ProposeReply,
};
use ledger::{Answer, AttemptId, Begin, BeginReply, Finish, Key, Outcome};
use quorum::{Entry, EntryBody, Message, ReplicaId};

const MODELS: usize = 17;
const ZONES: usize = 7;
/// Minimum time for which each measured operation is repeated, in milliseconds.
const MIN_MEASURED_MS: u128 = 30;

fn main() {
    println!(
        "message                      upstreams instances tenants   bytes  encode_us  decode_us"
    );
    measure_fixed_size_messages();
    for instances in [8, 46, 160, 320] {
        measure(
            "report reply with view",
            0,
            instances,
            0,
            &view_reply(0, instances),
        );
    }
    for upstreams in [13, 186, 650, 1_300] {
        measure(
            "report reply with view",
            upstreams,
            8,
            0,
            &view_reply(upstreams, 8),
        );
        measure("digest", upstreams, 0, 0, &digest(upstreams));
    }
    measure(
        "report reply with view",
        1_300,
        320,
        0,
        &view_reply(1_300, 320),
    );
    let sizes = [
        (13, 100),
        (186, 100),
        (650, 100),
        (1_300, 100),
        (13, 1_000),
        (13, 11_000),
        (1_300, 11_000),
    ];
    for (upstreams, accounts) in sizes {
        let config = config(upstreams, accounts);
        let text = config.canonical_text();
        println!(
            "canonical text               {upstreams:>9} {:>9} {accounts:>7} {:>8}",
            0,
            text.len()
        );
        let reply = config_reply(&text, Vec::new());
        measure("reply with config", upstreams, 0, accounts, &reply);
        let files = files(&text);
        measure(
            "reply with config and files",
            upstreams,
            0,
            accounts,
            &config_reply(&text, files.clone()),
        );
        let configure = Command::Configure(Configure {
            base_revision: 1,
            content_id: conf::content_id(&text),
            canonical: text.clone().into(),
            files,
            author: "operator".into(),
        });
        measure(
            "propose configure",
            upstreams,
            0,
            accounts,
            &propose(configure),
        );
    }
}

fn measure(name: &str, upstreams: usize, instances: usize, accounts: usize, message: &PeerMessage) {
    match wire::encode_message(message) {
        Err(error) => {
            println!("{name:<28} {upstreams:>9} {instances:>9} {accounts:>7} {error}")
        }
        Ok(data) => {
            let encode_us = mean_duration_us(|| drop(wire::encode_message(message)));
            let decode_us = mean_duration_us(|| drop(wire::decode_message(&data)));
            println!(
                "{name:<28} {upstreams:>9} {instances:>9} {accounts:>7} {:>8} {encode_us:>10.2} {decode_us:>10.2}",
                data.len()
            );
        }
    }
}

fn mean_duration_us(mut operation: impl FnMut()) -> f64 {
    let started = Instant::now();
    let mut repetitions = 0;
    while started.elapsed().as_millis() < MIN_MEASURED_MS {
        operation();
        repetitions += 1;
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(repetitions)
}

fn measure_fixed_size_messages() {
    measure("report", 0, 0, 0, &PeerMessage::Report(report()));
    measure("report reply", 0, 0, 0, &PeerMessage::ReportReply(reply()));
    let request = PeerMessage::AskConfig {
        token: 1,
        info: info(5),
    };
    measure("ask config", 0, 0, 0, &request);
    measure("append, heartbeat", 0, 0, 0, &append(Vec::new()));
    let append_reply = Message::AppendReply {
        term: 3,
        success: true,
        match_index: 1_000,
        match_term: 3,
        read_sequence: 7,
    };
    measure("append reply", 0, 0, 0, &quorum_message(append_reply));
    for (name, command) in [("begin", begin()), ("finish, 512 B answer", finish(512))] {
        measure(
            &format!("propose {name}"),
            0,
            0,
            0,
            &propose(command.clone()),
        );
        let entry = entry(command);
        measure(&format!("append {name}"), 0, 0, 0, &append(vec![entry]));
    }
    measure(
        "propose finish, 256 KiB",
        0,
        0,
        0,
        &propose(finish(256 * 1024)),
    );
    let granted = CommandReply::Begin(BeginReply::Granted);
    for (name, reply) in [("begin", granted), ("finish", CommandReply::Applied)] {
        let message = PeerMessage::ProposeReply {
            id: proposal_id(),
            reply: ProposeReply::Applied(reply),
        };
        measure(&format!("reply to {name}"), 0, 0, 0, &message);
    }
}

fn zone(n: usize) -> Name {
    format!("region-{}-zone-{}", n % 3, n % ZONES).into()
}

fn info(n: usize) -> InstanceInfo {
    InstanceInfo {
        id: format!("instance-{n:03}").into(),
        incarnation: 1_700_000_000_000,
        availability_zone: zone(n),
        peer_address: format!("10.0.{}.{}:7000", n / 250, n % 250).into(),
    }
}

fn report() -> InstanceReport {
    InstanceReport {
        info: info(17),
        sequence: 9,
        revision: 3,
        stopping: false,
        view_version: 77,
        demand: Vec::new(),
        quarantine: quarantine::Report::default(),
    }
}

fn reply() -> LeaderReply {
    LeaderReply {
        sequence: 9,
        is_leader: true,
        leader: Some(info(0).id),
        term: 3,
        revision: 3,
        live_instances: 320,
        instances_in_force: 320,
        ..LeaderReply::default()
    }
}

fn view_reply(upstreams: usize, instances: usize) -> PeerMessage {
    let gate = |n: usize| Gate {
        upstream: format!("upstream-{n:04}").into(),
        holder: Some(GateHolder {
            instance: info(n % instances).id,
            incarnation: 1_700_000_000_000,
        }),
        epoch: 1,
        order: None,
    };
    let view = ClusterView {
        version: 1,
        instances: (0..instances)
            .map(|n| InstanceView {
                info: info(n),
                draining: false,
                revision: 3,
            })
            .collect(),
        draining_upstreams: Vec::new(),
        gates: (0..upstreams).map(gate).collect(),
    };
    PeerMessage::ReportReply(LeaderReply {
        view: Some(view),
        ..reply()
    })
}

fn digest(upstreams: usize) -> PeerMessage {
    let digest = |n: usize| LoadDigest {
        upstream: format!("upstream-{n:04}").into(),
        age_ms: 10,
        running: 10,
        waiting: 1,
        prompt_tokens_waiting: 1_000,
        kv_chunks_used: 20,
    };
    PeerMessage::Digest((0..upstreams).map(digest).collect())
}

fn config(upstreams: usize, accounts: usize) -> ServiceConfig {
    let model = |n: usize| Name::from(format!("model-{n:02}"));
    ServiceConfig {
        ranks: ["urgent", "normal", "late"]
            .map(|name| conf::RankPolicy {
                name: name.into(),
                ..conf::RankPolicy::default()
            })
            .into(),
        client_accounts: (0..accounts)
            .map(|n| ClientAccount {
                name: format!("tenant-{n:05}").into(),
                key_sha256: conf::content_id(&format!("key-{n}")),
                ranks: vec!["normal".into(), "urgent".into(), "late".into()],
                ..ClientAccount::default()
            })
            .collect(),
        models: (0..MODELS)
            .map(|n| Model {
                name: model(n),
                version: "1".into(),
                ..Model::default()
            })
            .collect(),
        services: vec![Service {
            name: "assistant".into(),
            models: (0..MODELS).map(model).collect(),
            ..Service::default()
        }],
        upstreams: (0..upstreams)
            .map(|n| Upstream {
                name: format!("upstream-{n:04}").into(),
                service: "assistant".into(),
                address: format!("10.1.{}.{}:8000", n / 250, n % 250).into(),
                availability_zone: zone(n),
                ..Upstream::default()
            })
            .collect(),
        ..ServiceConfig::default()
    }
}

// Returns an operator's files, which are assumed to be as long as the canonical text.
fn files(text: &str) -> Vec<FileText> {
    vec![FileText {
        name: "50-services.toml".into(),
        text: text.to_owned().into(),
    }]
}

fn config_reply(text: &str, files: Vec<FileText>) -> PeerMessage {
    PeerMessage::ReportReply(LeaderReply {
        config: Some(ConfigRevision {
            revision: 3,
            base_revision: 2,
            content_id: conf::content_id(text),
            canonical: text.to_owned().into(),
            files,
            author: "operator".into(),
            at_ms: 1,
        }),
        ..reply()
    })
}

fn proposal_id() -> ProposalId {
    ProposalId {
        instance: info(17).id,
        incarnation: 1_700_000_000_000,
        sequence: 9,
    }
}

fn propose(command: Command) -> PeerMessage {
    PeerMessage::Propose(proposal(command))
}

fn proposal(command: Command) -> Proposal {
    Proposal {
        id: proposal_id(),
        at_ms: 0,
        command,
    }
}

fn key() -> Key {
    Key {
        client_account: "tenant-00042".into(),
        key: "4fd8a3c1-06c5-4f7c-8f3a-2d6e3b0f9a11".into(),
    }
}

fn attempt() -> AttemptId {
    AttemptId {
        instance: info(17).id,
        incarnation: 1_700_000_000_000,
        sequence: 9,
    }
}

fn begin() -> Command {
    Command::Begin(Begin {
        key: key(),
        body_sha256: [7; 32],
        attempt: attempt(),
        answer_timeout_ms: 12_000,
        retention_ms: 86_400_000,
    })
}

fn finish(body_bytes: usize) -> Command {
    Command::Finish(Finish {
        key: key(),
        attempt: attempt(),
        outcome: Outcome::Answered(Answer {
            status: 200,
            headers: vec![("content-type".into(), "application/json".into())],
            body: vec![b'x'; body_bytes].into(),
            truncated: false,
        }),
    })
}

fn entry(command: Command) -> Entry {
    let data = wire::encode_proposal(&proposal(command)).expect("the command fits");
    Entry {
        index: 1_000,
        term: 3,
        body: EntryBody::Command(data),
    }
}

fn append(entries: Vec<Entry>) -> PeerMessage {
    quorum_message(Message::Append {
        term: 3,
        prev_index: 999,
        prev_term: 3,
        commit: 999,
        read_sequence: 7,
        entries,
    })
}

fn quorum_message(message: Message) -> PeerMessage {
    let replica = |n: usize| ReplicaId {
        instance: info(n).id,
        storage_id: 0x1234_5678_9abc_def0,
    };
    PeerMessage::Quorum {
        from: replica(0),
        to: replica(1),
        message,
    }
}
