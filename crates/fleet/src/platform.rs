//! The platform's list of instances and upstreams and their states, which may be out of date.

use conf::{Map, Name};

/// State of an instance or upstream according to the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The instance or upstream is running.
    Live,
    /// The platform is about to remove the instance or upstream.
    Leaving,
    /// The platform has removed the instance or upstream.
    Gone,
}

/// The latest platform list, with the time since which each state has been listed.
///
/// `Leaving` and `Gone` are trusted at once, because acting on them early costs little. `Live` is not trusted: the list
/// may be out of date, so only an instance's own reports show that it is running.
#[derive(Clone, Debug, Default)]
pub struct PlatformList {
    states: Map<Name, TimedState>,
}

/// A listed state and the time since which the platform has listed it.
#[derive(Clone, Copy, Debug)]
struct TimedState {
    state: ListedState,
    since_ms: u64,
}

impl PlatformList {
    /// Replaces the list by one that was read at `now_ms`. A state that has not changed keeps its start time.
    pub fn update(&mut self, now_ms: u64, list: impl IntoIterator<Item = (Name, ListedState)>) {
        let mut states = Map::default();
        for (id, state) in list {
            let since_ms = match self.states.get(&id) {
                Some(earlier) if earlier.state == state => earlier.since_ms,
                _ => now_ms,
            };
            states.insert(id, TimedState { state, since_ms });
        }
        self.states = states;
    }

    /// Returns whether the platform lists `id` as leaving or gone.
    pub fn is_leaving(&self, id: &Name) -> bool {
        self.states
            .get(id)
            .is_some_and(|listed| listed.state != ListedState::Live)
    }

    /// Returns for how long the platform has listed `id` as gone without interruption, in milliseconds, or `None` if
    /// `id` is not listed as gone.
    pub fn gone_for_ms(&self, now_ms: u64, id: &Name) -> Option<u64> {
        let listed = self.states.get(id)?;
        (listed.state == ListedState::Gone).then(|| now_ms.saturating_sub(listed.since_ms))
    }
}
