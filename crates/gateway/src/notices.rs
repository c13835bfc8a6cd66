//! What upstreams announce of themselves in the heads of their answers: their end, and pauses.

use conf::{Map, Name};
use fleet::{LeavingUpstream, UpstreamRecord};

use crate::listing;

/// Longest pause that an upstream may ask for, in milliseconds. A longer one is cut, so that a faulty statement does not
/// take the upstream out of service for good.
const MAX_PAUSE_MS: f64 = 60_000.0;
/// Time for which an announced end is remembered after the upstream was last listed, in milliseconds.
const RETENTION_MS: u64 = 60_000;
/// Upstreams that are remembered at most. Each takes about 40 bytes.
const MAX_LEAVING: usize = 4_096;

/// Announcements in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the upstream is about to end and wants no new requests.
    pub is_leaving: bool,
    /// Pause that the upstream asks for with a rejection.
    pub pause: StatedPause,
}

/// The pause that a rejection states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedPause {
    /// The answer states no pause.
    #[default]
    Absent,
    /// The upstream wants no requests of this instance before that time, in milliseconds.
    Until(u64),
    /// The answer states something that is no pause.
    Invalid,
}

impl StatedPause {
    /// Returns the pause for a number of seconds from `now_ms` on. Zero and negative numbers are no pause.
    pub fn from_seconds(now_ms: u64, seconds: f64) -> Self {
        match seconds {
            _ if !seconds.is_finite() => Self::Invalid,
            _ if seconds <= 0.0 => Self::Absent,
            _ => Self::Until(now_ms + (seconds * 1_000.0).ceil().min(MAX_PAUSE_MS) as u64),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    /// When the upstream was announced or last listed, in milliseconds.
    last_seen_ms: u64,
    /// Whether the list shows the upstream as draining, so that all instances know.
    is_listed: bool,
}

/// Upstreams that have announced their end. An incarnation that has done so gets no new requests any more, whatever the
/// platform's list says.
#[derive(Clone, Debug, Default)]
pub struct LeavingUpstreams {
    marks: Map<LeavingUpstream, Mark>,
}

impl LeavingUpstreams {
    /// Records an announcement. Returns whether it is new.
    pub fn insert(&mut self, now_ms: u64, upstream: LeavingUpstream) -> bool {
        if let Some(mark) = self.marks.get_mut(&upstream) {
            mark.last_seen_ms = now_ms;
            return false;
        }
        if self.marks.len() >= MAX_LEAVING {
            let oldest = self.marks.iter().min_by_key(|(_, mark)| mark.last_seen_ms);
            if let Some(oldest) = oldest.map(|(upstream, _)| *upstream) {
                self.marks.remove(&oldest);
            }
        }
        let mark = Mark {
            last_seen_ms: now_ms,
            is_listed: false,
        };
        self.marks.insert(upstream, mark);
        true
    }

    /// Returns whether an upstream has announced its end.
    pub fn contains(&self, record: &UpstreamRecord) -> bool {
        !self.marks.is_empty() && self.marks.contains_key(&key(&record.id, record.born_ms))
    }

    /// Records the list that all instances get, and forgets upstreams that have not been listed for long.
    pub fn on_listed(&mut self, now_ms: u64, records: &[UpstreamRecord]) {
        if self.marks.is_empty() {
            return;
        }
        for record in records {
            if let Some(mark) = self.marks.get_mut(&key(&record.id, record.born_ms)) {
                mark.last_seen_ms = now_ms;
                mark.is_listed = record.draining;
            }
        }
        self.marks
            .retain(|_, mark| now_ms.saturating_sub(mark.last_seen_ms) <= RETENTION_MS);
    }

    /// Returns the announcements that the list does not show yet, for other instances.
    pub fn unlisted(&self) -> Vec<LeavingUpstream> {
        let unlisted = self.marks.iter().filter(|(_, mark)| !mark.is_listed);
        unlisted.map(|(upstream, _)| *upstream).collect()
    }
}

/// Returns what stands for one incarnation of an upstream in messages.
pub fn key(id: &Name, born_ms: u64) -> LeavingUpstream {
    LeavingUpstream {
        upstream_key: listing::upstream_key(id),
        born_ms,
    }
}
