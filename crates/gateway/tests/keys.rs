//! API keys that are taken away while entries and replicas are cut off, frozen or late.

mod support;

use conf::Name;
use fleet::{InstanceInfo, PeerMessage, WatchReply};
use gateway::control::Answer;
use gateway::entry::{Entry, EntryEffect, EntryEvent, EntrySettings};
use gateway::revocation::Confirmation;
use gateway::{Accounts, Config, KeyHasher, KeyPolicy, Limits};
use std::sync::Arc;
use support::Cluster;

const REVOKE_MS: u64 = 5_000;
const POLICY: KeyPolicy = KeyPolicy {
    revoke_ms: Some(REVOKE_MS),
};
const REPLICAS: usize = 5;
const REPLICA: &str = "10.0.0.9";
const TICK_MS: u64 = 25;

/// An entry with accounts, whose messages the test answers.
struct Fixture {
    now_ms: u64,
    entry: Entry,
    /// Number of the entry's last message.
    sequence: u64,
}

impl Fixture {
    fn new(key_policy: KeyPolicy) -> Self {
        let contact = InstanceInfo {
            id: REPLICA.into(),
            ..InstanceInfo::default()
        };
        let entry = Entry::new(EntrySettings {
            contacts: vec![contact],
            key_policy,
            ..EntrySettings::default()
        });
        let mut fixture = Self {
            now_ms: 1_000,
            entry,
            sequence: 0,
        };
        fixture.step(EntryEvent::Tick);
        fixture
    }

    fn step(&mut self, event: EntryEvent) {
        let mut effects = Vec::new();
        self.entry.step(self.now_ms, event, &mut effects);
        for effect in effects {
            if let EntryEffect::Send { message, .. } = effect
                && let PeerMessage::Watch(watch) = *message
            {
                self.sequence = watch.sequence;
            }
        }
    }

    /// Replies to the message with a number, with the document if `sends_document`.
    fn reply(&mut self, sequence: u64, version: u64, age_ms: Option<u64>, sends_document: bool) {
        let reply = WatchReply {
            sequence,
            version,
            document_age_ms: age_ms,
            is_current: true,
            ..WatchReply::default()
        };
        let accounts = Accounts::new(KeyHasher::new(&[7; 32]), Vec::new());
        let config = Config::new(version, Vec::new(), Vec::new(), Limits::default())
            .expect("the configuration is valid")
            .with_accounts(accounts.expect("the accounts are valid"));
        self.step(EntryEvent::WatchReply {
            from: Name::from(REPLICA),
            reply: Box::new(reply),
            config: sends_document.then(|| Arc::new(config)),
        });
    }

    /// Runs the entry without replies and returns for how long it still takes keys and is ready.
    fn cut(&mut self) -> (u64, u64) {
        let begin_ms = self.now_ms;
        let (mut taken_ms, mut ready_ms) = (0, 0);
        while self.now_ms < begin_ms + 2 * REVOKE_MS {
            if self.entry.takes_keys(self.now_ms) {
                taken_ms = self.now_ms - begin_ms;
            }
            if self.entry.is_confirmed(self.now_ms) {
                ready_ms = self.now_ms - begin_ms;
            }
            self.now_ms += TICK_MS;
            self.step(EntryEvent::Tick);
        }
        (taken_ms, ready_ms)
    }
}

/// Guards against an entry that is cut off and serves a key for longer than allowed, or gives up sooner than it must, and
/// against one that refuses keys before the load balancer has turned away.
#[test]
fn a_cut_entry_takes_keys_for_a_bounded_time() {
    for age_ms in [0, 900] {
        let mut fixture = Fixture::new(POLICY);
        fixture.reply(fixture.sequence, 1, Some(age_ms), true);
        assert!(fixture.entry.takes_keys(fixture.now_ms));
        let (taken_ms, ready_ms) = fixture.cut();
        assert!(taken_ms + age_ms < REVOKE_MS, "{taken_ms}");
        assert!(taken_ms >= REVOKE_MS * 3 / 5, "{taken_ms}");
        assert!(taken_ms >= ready_ms + 1_900, "{ready_ms} {taken_ms}");
        fixture.reply(fixture.sequence, 1, Some(age_ms), false);
        assert!(fixture.entry.takes_keys(fixture.now_ms));
    }
}

/// Guards against an entry that refuses keys although nothing asks it to.
#[test]
fn keys_are_taken_for_ever_without_a_bound() {
    let mut fixture = Fixture::new(KeyPolicy::default());
    fixture.reply(fixture.sequence, 1, None, true);
    assert_eq!(
        fixture.cut(),
        (2 * REVOKE_MS - TICK_MS, 2 * REVOKE_MS - TICK_MS)
    );
}

/// Guards against a late reply, a reply to a message that was never sent, and a reply about a document that the entry does
/// not have, any of which counts as a fresh confirmation: after a freeze, old replies wait in the socket.
#[test]
fn only_a_reply_to_a_recent_message_about_the_held_document_confirms_it() {
    let mut fixture = Fixture::new(POLICY);
    let first = fixture.sequence;
    fixture.reply(first, 1, None, true);
    assert!(!fixture.entry.takes_keys(fixture.now_ms), "unknown age");
    fixture.now_ms += REVOKE_MS;
    fixture.reply(first, 1, Some(0), false);
    assert!(!fixture.entry.takes_keys(fixture.now_ms), "late");
    fixture.reply(first + 7, 1, Some(0), false);
    assert!(!fixture.entry.takes_keys(fixture.now_ms), "never sent");
    fixture.step(EntryEvent::Tick);
    assert!(fixture.sequence > first);
    fixture.reply(fixture.sequence, 2, Some(0), false);
    assert!(!fixture.entry.takes_keys(fixture.now_ms), "not held");
    fixture.reply(fixture.sequence, 2, Some(0), true);
    assert!(fixture.entry.takes_keys(fixture.now_ms));
}

/// Versions that operators have got an acknowledgement for, with the time of each, in milliseconds.
type Acknowledged = Vec<(u64, u64)>;

/// Returns whether a document of some version may be called the newest of `age_ms` ago.
fn is_true(acknowledged: &Acknowledged, now_ms: u64, version: u64, age_ms: Option<u64>) -> bool {
    age_ms.is_none_or(|age_ms| {
        acknowledged
            .iter()
            .all(|(at_ms, newer)| *newer <= version || now_ms.saturating_sub(age_ms) <= *at_ms)
    })
}

/// Plays cuts, freezes and changes of the document with an entry that asks all replicas and gets late replies. Returns
/// whether all ages that the replicas state and that the entry derives are true.
fn all_ages_are_true(actions: &[u8]) -> bool {
    let mut cluster = Cluster::new(REPLICAS, REPLICAS);
    cluster.run(4_000);
    let mut confirmation = Confirmation::default();
    let (mut sequence, mut held_version) = (0, 0);
    let mut late: Vec<(u64, u64, WatchReply)> = Vec::new();
    let mut acknowledged = Acknowledged::new();
    for (number, action) in (0..).zip(actions) {
        let index = usize::from(action / 8) % REPLICAS;
        let leader = cluster.leader().unwrap_or(index);
        match action % 8 {
            0 | 1 => {
                let answer = cluster.publish(number + 1, "document");
                if matches!(answer, Some(Answer::Acknowledged { .. })) {
                    acknowledged.push((cluster.now_ms(), number + 1));
                }
            }
            2 => cluster.partition(index),
            3 => cluster.pause(index),
            4 => cluster.pause(leader),
            5 => (0..REPLICAS).for_each(|index| cluster.resume(index)),
            6 => (0..REPLICAS).for_each(|index| cluster.heal(index)),
            _ => cluster.run(600),
        }
        for _ in 0..4 {
            let now_ms = cluster.now_ms();
            sequence += 1;
            confirmation.on_sent(now_ms, sequence);
            for asked in 0..REPLICAS {
                if !cluster.is_running(asked) {
                    continue;
                }
                let reply = cluster.subscribed_reply(asked);
                if !is_true(&acknowledged, now_ms, reply.version, reply.document_age_ms) {
                    return false;
                }
                let delay_ms = [0, 90, 1_500][(asked + usize::from(*action)) % 3];
                late.push((now_ms + delay_ms, sequence, reply));
            }
            cluster.run(100);
            let now_ms = cluster.now_ms();
            late.retain(|(arrives_ms, sequence, reply)| {
                if *arrives_ms > now_ms {
                    return true;
                }
                held_version = held_version.max(reply.version);
                let age_ms = reply.document_age_ms;
                confirmation.on_reply(*sequence, reply.version, age_ms, held_version);
                false
            });
            let age_ms = confirmation.age_ms(now_ms, None);
            if !is_true(&acknowledged, now_ms, held_version, age_ms) {
                return false;
            }
        }
    }
    true
}

/// Guards against replicas and entries that take a document for newer than it is, whatever is cut off, frozen or late, an
/// old leader included.
#[test]
fn no_document_is_taken_for_newer_than_it_is() {
    fn property(actions: Vec<u8>) -> bool {
        all_ages_are_true(&actions)
    }
    seeded::tester()
        .tests(40)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

/// Guards against a leader that is frozen, and states right after it wakes that its document is the newest although another
/// leader has acknowledged a newer one.
#[test]
fn a_leader_that_wakes_states_the_age_of_its_document() {
    let mut cluster = Cluster::new(REPLICAS, REPLICAS);
    cluster.run(4_000);
    cluster.publish(1, "document");
    let frozen = cluster.leader().expect("a leader is elected");
    cluster.pause(frozen);
    cluster.partition(frozen);
    cluster.run(3_000);
    assert!(cluster.publish(2, "document").is_some());
    let acknowledged = vec![(cluster.now_ms(), 2)];
    cluster.run(500);
    cluster.resume(frozen);
    let reply = cluster.subscribed_reply(frozen);
    assert_eq!(reply.version, 1);
    let age_ms = reply.document_age_ms;
    assert!(
        is_true(&acknowledged, cluster.now_ms(), 1, age_ms),
        "{age_ms:?}"
    );
}

/// Guards against entries that refuse keys while the log is elected anew, and against an age that grows although all is
/// well.
#[test]
fn keys_are_taken_through_an_election() {
    let mut cluster = Cluster::new(REPLICAS, REPLICAS);
    cluster.run(4_000);
    assert!(cluster.publish(1, "document").is_some());
    let mut oldest_ms = 0;
    for round in 0..120 {
        if round == 40 {
            let leader = cluster.leader().expect("a leader is elected");
            cluster.partition(leader);
        }
        cluster.run(50);
        let index = (0..REPLICAS).find(|index| !cluster.is_partitioned(*index));
        let reply = cluster.subscribed_reply(index.expect("a majority runs"));
        let age_ms = reply.document_age_ms.expect("the age is known");
        assert!(round >= 40 || age_ms < 800, "{age_ms}");
        oldest_ms = oldest_ms.max(age_ms);
    }
    assert!(POLICY.takes_keys(Some(oldest_ms)), "{oldest_ms}");
}
