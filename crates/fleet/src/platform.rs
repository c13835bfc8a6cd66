//! The platform's list of live and leaving instances and upstreams, which lags.

use conf::{Map, Name};

/// State of an instance or upstream by the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Running.
    Live,
    /// About to be withdrawn.
    Leaving,
    /// Withdrawn.
    Gone,
}

/// The latest list, with the time since which each state has been reported.
///
/// "Leaving" and "gone" are believed at once, because acting on them early costs little. "Live"
/// says nothing: the list lags, so only an instance's own reports show that it is there.
#[derive(Clone, Debug, Default)]
pub struct PlatformList {
    entries: Map<Name, Listing>,
}

#[derive(Clone, Copy, Debug)]
struct Listing {
    state: ListedState,
    since_ms: u64,
}

impl PlatformList {
    /// Takes over a list that was read at `now_ms`.
    pub fn update(&mut self, now_ms: u64, list: impl IntoIterator<Item = (Name, ListedState)>) {
        let mut entries = Map::default();
        for (id, state) in list {
            let since_ms = match self.entries.get(&id) {
                Some(earlier) if earlier.state == state => earlier.since_ms,
                _ => now_ms,
            };
            entries.insert(id, Listing { state, since_ms });
        }
        self.entries = entries;
    }

    /// Returns whether the platform reports that `id` is leaving or gone.
    pub fn is_leaving(&self, id: &Name) -> bool {
        self.entries
            .get(id)
            .is_some_and(|listing| listing.state != ListedState::Live)
    }

    /// Returns for how long `id` has been reported gone without interruption, in milliseconds.
    pub fn gone_for_ms(&self, now_ms: u64, id: &Name) -> Option<u64> {
        let listing = self.entries.get(id)?;
        (listing.state == ListedState::Gone).then(|| now_ms.saturating_sub(listing.since_ms))
    }
}
