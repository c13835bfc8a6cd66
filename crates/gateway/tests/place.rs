//! The cost of choosing an engine, in visits of engines.

mod entry_support;

use std::cell::Cell;

use conf::{Name, Role};
use entry_support::{ZONE, engine};
use fleet::UpstreamRecord;
use gateway::Prompt;
use gateway::place::{self, PlacementContext};
use gateway::upstream::Upstream;

const ENGINES: usize = 140;
/// Largest number of visits of each engine in one choice: one for each property that the choice needs of all engines.
const MAX_VISITS: usize = 8;

/// Guards against a choice whose cost grows with the square of the number of engines. Entries have a tenth of a core;
/// with 140 engines they could not keep up at peaks and sent requests whose callers had already disconnected.
#[test]
fn a_choice_visits_each_engine_a_few_times() {
    let engines: Vec<Upstream> = (0..ENGINES)
        .map(|index| {
            let role = if index % 4 == 0 {
                Role::Decode
            } else {
                Role::Prefill
            };
            Upstream::new(UpstreamRecord {
                id: Name::from(format!("engine-{index}")),
                ..engine("engine", ZONE, role)
            })
        })
        .collect();
    let context = PlacementContext {
        now_ms: 1_000,
        zone: ZONE,
        failed_upstreams: &[],
        request_hash: 7,
        gap_ms: 150,
        entries: 2,
        queued_ahead: 0,
        prefix_costs: None,
    };
    let prompt = Prompt {
        parts: vec![(1, 13_000), (2, 4_000)],
        tokens: 17_000,
        max_output_tokens: 50,
    };
    for rank in [0, 2] {
        let visits = Cell::new(0);
        let counted_engines = engines.iter().inspect(|_| visits.set(visits.get() + 1));
        let other_zones = std::iter::empty();
        let choice = place::choose_engine(&context, &prompt, rank, counted_engines, other_zones);
        assert!(choice.is_some());
        assert!(visits.get() <= MAX_VISITS * ENGINES, "{}", visits.get());
    }
}
