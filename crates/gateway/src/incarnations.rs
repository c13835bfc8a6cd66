//! Incarnations of upstreams that start again under their ids, where the platform's list does not state when.

use conf::{Map, Name, Set};
use fleet::UpstreamRecord;

/// Time for which an upstream is remembered after it was last listed, in milliseconds.
const RETENTION_MS: u64 = 60_000;
/// Time for which a list that another replica has shown as draining must show an upstream as ready before it counts as
/// restarted, in milliseconds. The other replica may have marked the upstream for an announcement, which the list shows
/// within a few seconds.
const READY_AFTER_MS: u64 = 10_000;

/// Whether an upstream has left in its latest known incarnation.
#[derive(Clone, Copy, Debug)]
enum Departure {
    None,
    /// This replica's own reads have shown it as draining or no longer listed.
    Read,
    /// A list of another replica shows it as draining; `ready_since_ms` is the first own read since that shows it as ready.
    Received {
        ready_since_ms: Option<u64>,
    },
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    born_ms: u64,
    departure: Departure,
    last_listed_ms: u64,
}

/// The latest incarnation of each upstream, by the reads of the list so far.
///
/// Where the list states no start, an upstream that is ready again after it has left has restarted. The reads of one replica
/// are in order, so that a late list cannot look like that. The number of such restarts then stands for the start, and
/// replicas that have seen the same states count the same.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    seen: Map<Name, Seen>,
}

impl Incarnations {
    /// Records a list that another replica has read, for the next read of this one.
    pub fn on_received(&mut self, now_ms: u64, records: &[UpstreamRecord]) {
        for record in records {
            let known = self.seen.get(&record.id);
            let known = known.filter(|seen| seen.born_ms == record.born_ms);
            let departure = match known.map_or(Departure::None, |seen| seen.departure) {
                Departure::None if record.draining => Departure::Received {
                    ready_since_ms: None,
                },
                departure => departure,
            };
            self.record(now_ms, record, departure);
        }
        self.expire(now_ms);
    }

    /// Sets the start of those records of a read that state none.
    pub fn resolve(&mut self, now_ms: u64, records: &mut [UpstreamRecord]) {
        let listed: Set<&Name> = records.iter().map(|record| &record.id).collect();
        for (id, seen) in &mut self.seen {
            if !listed.contains(id) {
                seen.departure = Departure::Read;
            }
        }
        for record in records {
            let departure = match self.seen.get(&record.id) {
                Some(seen) if record.born_ms == 0 => {
                    let (has_restarted, departure) = seen.departure.next(now_ms, record.draining);
                    record.born_ms = seen.born_ms + u64::from(has_restarted);
                    departure
                }
                _ => Departure::None.next(now_ms, record.draining).1,
            };
            self.record(now_ms, record, departure);
        }
        self.expire(now_ms);
    }

    fn record(&mut self, now_ms: u64, record: &UpstreamRecord, departure: Departure) {
        let seen = Seen {
            born_ms: record.born_ms,
            departure,
            last_listed_ms: now_ms,
        };
        self.seen.insert(record.id.clone(), seen);
    }

    fn expire(&mut self, now_ms: u64) {
        self.seen
            .retain(|_, seen| now_ms.saturating_sub(seen.last_listed_ms) <= RETENTION_MS);
    }
}

impl Departure {
    /// Returns whether an own read shows a restart, and the departure of the incarnation that it shows.
    fn next(self, now_ms: u64, is_draining: bool) -> (bool, Self) {
        match self {
            _ if is_draining => (false, Self::Read),
            Self::None => (false, Self::None),
            Self::Read => (true, Self::None),
            Self::Received { ready_since_ms } => {
                let since_ms = ready_since_ms.unwrap_or(now_ms);
                match now_ms - since_ms >= READY_AFTER_MS {
                    true => (true, Self::None),
                    false => {
                        let ready_since_ms = Some(since_ms);
                        (false, Self::Received { ready_since_ms })
                    }
                }
            }
        }
    }
}
