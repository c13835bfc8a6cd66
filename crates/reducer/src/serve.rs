//! Periodic tasks of serving callers: reads of upstreams, unrecorded and stalled answers, and preemption.

use crate::attempt::resume_stalled;
use crate::effect::Effect;
use crate::outcome::deliver_unrecorded;
use crate::preempt::preempt;
use crate::state::State;
use crate::watch::Read;

/// Starts the reads that are due, delivers answers held back too long, resumes stalled answers and preempts requests.
pub(crate) fn tick(state: &mut State, effects: &mut Vec<Effect>) {
    for read in state.read_timers.due(state.now_ms) {
        effects.push(match read {
            Read::Load { upstream, address } => Effect::ReadLoad { upstream, address },
            Read::CacheEvents { upstream, address } => {
                let after = state.routing_table.cache_events_seen(&upstream);
                Effect::ReadCacheEvents {
                    upstream,
                    address,
                    after,
                }
            }
            Read::PlatformList => Effect::ReadPlatformList,
        });
    }
    deliver_unrecorded(state, effects);
    resume_stalled(state, effects);
    preempt(state, effects);
}
