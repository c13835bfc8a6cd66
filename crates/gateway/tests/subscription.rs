//! The choice of the replica to which an entry subscribes, while replicas are cut off or gone.

mod support;

use conf::Name;
use fleet::{
    InstanceInfo, ListingUpdate, PeerMessage, UpstreamList, UpstreamRecord, Watch, WatchReply,
};
use gateway::entry::{Entry, EntryEffect, EntryEvent, EntrySettings};
use gateway::listing::{record_hash, version};
use support::Cluster;

const TICK_MS: u64 = 25;
/// Time from a message to the arrival of its reply, in milliseconds.
const ROUND_TRIP_MS: u64 = 4;
/// Longest time without a current reply when the replica of the entry fails, in milliseconds: the timeout of replies, two
/// ticks and a round trip.
const MAX_GAP_MS: u64 = 900 + 2 * TICK_MS + 2 * ROUND_TRIP_MS + 100;

fn replica(name: &str, zone: &str) -> InstanceInfo {
    InstanceInfo {
        id: Name::from(name.to_owned()),
        availability_zone: Name::from(zone.to_owned()),
        peer_address: Name::from(format!("{name}:7000")),
        ..InstanceInfo::default()
    }
}

/// An entry of zone `a` whose messages running replicas answer.
struct Fixture {
    now_ms: u64,
    entry: Entry,
    /// Replicas that the running ones name.
    named: Vec<InstanceInfo>,
    running: Vec<Name>,
    answers: Vec<(u64, Name, Watch)>,
    /// When the last reply from a running replica arrived.
    replied_ms: u64,
    longest_gap_ms: u64,
    last_receiver: Name,
}

impl Fixture {
    fn new(running: &[InstanceInfo], gone: &[InstanceInfo]) -> Self {
        let entry = Entry::new(EntrySettings {
            info: replica("entry", "a"),
            contacts: running.to_vec(),
            ..EntrySettings::default()
        });
        Self {
            now_ms: 1_000,
            entry,
            named: running.iter().chain(gone).cloned().collect(),
            running: running.iter().map(|info| info.id.clone()).collect(),
            answers: Vec::new(),
            replied_ms: 1_000,
            longest_gap_ms: 0,
            last_receiver: Name::default(),
        }
    }

    fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            let (due, later) = std::mem::take(&mut self.answers)
                .into_iter()
                .partition(|(at_ms, ..)| *at_ms <= self.now_ms);
            self.answers = later;
            let due: Vec<(u64, Name, Watch)> = due;
            for (_, from, watch) in due {
                let reply = WatchReply {
                    sequence: watch.sequence,
                    is_current: true,
                    replicas: self.named.clone(),
                    ..WatchReply::default()
                };
                self.reply(from, reply);
            }
            self.step(EntryEvent::Tick);
        }
    }

    fn reply(&mut self, from: Name, reply: WatchReply) {
        let gap_ms = self.now_ms - self.replied_ms;
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.replied_ms = self.now_ms;
        self.step(EntryEvent::WatchReply {
            from,
            reply: Box::new(reply),
            config: None,
        });
    }

    fn step(&mut self, event: EntryEvent) {
        let mut effects = Vec::new();
        self.entry.step(self.now_ms, event, &mut effects);
        for effect in effects {
            if let EntryEffect::Send { to, message, .. } = effect
                && let PeerMessage::Watch(watch) = *message
            {
                self.last_receiver = to.clone();
                if self.running.contains(&to) {
                    self.answers.push((self.now_ms + ROUND_TRIP_MS, to, watch));
                }
            }
        }
    }

    fn cut(&mut self, id: &str) {
        self.running.retain(|running| running.as_str() != id);
    }
}

fn three_zones() -> Vec<InstanceInfo> {
    vec![replica("a1", "a"), replica("b1", "b"), replica("c1", "c")]
}

/// Guards against an entry that asks replicas that are gone one after the other while its own replica is cut off, and that
/// leaves a good replica for them.
#[test]
fn replicas_that_are_gone_do_not_lengthen_the_time_without_a_list() {
    let gone: Vec<InstanceInfo> = (0..12)
        .map(|index| {
            replica(
                &format!("gone-{index}"),
                ["a", "b", "c"][index as usize % 3],
            )
        })
        .collect();
    for first_gone in 0..gone.len() {
        let mut fixture = Fixture::new(&three_zones(), &gone[first_gone..]);
        fixture.run(8_000);
        fixture.longest_gap_ms = 0;
        fixture.cut("a1");
        fixture.run(30_000);
        assert!(
            fixture.longest_gap_ms <= MAX_GAP_MS,
            "{} ms with {} replicas that are gone",
            fixture.longest_gap_ms,
            gone.len() - first_gone
        );
    }
}

/// Guards against an entry that stays with the replica of another zone after the one of its own zone is back.
#[test]
fn an_entry_returns_to_the_replica_of_its_zone() {
    let mut fixture = Fixture::new(&three_zones(), &[]);
    fixture.run(2_000);
    assert_eq!(fixture.last_receiver, "a1");
    fixture.cut("a1");
    fixture.run(12_000);
    assert_ne!(fixture.last_receiver, "a1");
    fixture.running.push("a1".into());
    fixture.longest_gap_ms = 0;
    fixture.run(12_000);
    assert_eq!(fixture.last_receiver, "a1");
    assert!(fixture.longest_gap_ms < 300, "{}", fixture.longest_gap_ms);
}

fn listed(id: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: Name::from(id.to_owned()),
        ..UpstreamRecord::default()
    }
}

/// Returns a reply with a list that was read from the platform `age_ms` ago.
fn reply_with_list(upstreams: &[&str], age_ms: u64) -> WatchReply {
    let records: Vec<UpstreamRecord> = upstreams.iter().map(|id| listed(id)).collect();
    WatchReply {
        listing: version(records.iter().map(record_hash)),
        listing_age_ms: age_ms,
        listing_update: Some(ListingUpdate::Complete(UpstreamList::new(records).into())),
        ..WatchReply::default()
    }
}

/// Guards against a newer list that is dropped because another replica than the subscribed one has sent it, and against an
/// older list that replaces it.
#[test]
fn the_newest_list_is_taken_from_any_replica() {
    let mut fixture = Fixture::new(&three_zones(), &[]);
    fixture.run(2_000);
    let old = reply_with_list(&["i-1", "i-2"], 1_500);
    let new = reply_with_list(&["i-2"], 100);
    fixture.reply("a1".into(), old.clone());
    assert_eq!(fixture.entry.listing(), old.listing);
    fixture.reply("b1".into(), new.clone());
    assert_eq!(fixture.entry.listing(), new.listing);
    fixture.reply("a1".into(), old);
    assert_eq!(fixture.entry.listing(), new.listing);
}

/// Guards against a list that is refused as older than changes that the entry could not apply, so that the entry goes on sending
/// requests to upstreams that have left the list.
#[test]
fn changes_that_do_not_apply_make_no_list_older() {
    let mut fixture = Fixture::new(&three_zones(), &[]);
    fixture.run(2_000);
    fixture.reply("a1".into(), reply_with_list(&["i-1", "i-2"], 1_500));
    let newest = reply_with_list(&["i-2"], 0);
    let changes = WatchReply {
        listing_update: Some(ListingUpdate::Changes {
            base: reply_with_list(&["i-1", "i-2", "i-3"], 0).listing,
            changed: Vec::new(),
            removed: vec!["i-1".into(), "i-3".into()],
        }),
        ..newest.clone()
    };
    fixture.reply("b1".into(), changes);
    let newer = reply_with_list(&["i-2"], 100);
    fixture.reply("a1".into(), newer.clone());
    assert_eq!(fixture.entry.listing(), newer.listing);
}

/// Guards against replicas that name replaced ones for ever.
#[test]
fn replaced_replicas_are_no_longer_named() {
    let mut cluster = Cluster::new(3, 3);
    cluster.run(3_000);
    for replaced in 0..8 {
        cluster.add_with_contacts(replaced..replaced + 3);
        cluster.run(3_000);
        assert!(cluster.stop(replaced));
    }
    cluster.run(4_000);
    for index in 8..11 {
        assert_eq!(cluster.subscribed_reply(index).replicas.len(), 3);
    }
}
