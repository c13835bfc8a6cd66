//! How much an entry looks at to choose an engine.

mod entry_support;

use std::cell::Cell;

use conf::{Name, Role};
use entry_support::{ZONE, engine};
use fleet::UpstreamRecord;
use gateway::Prompt;
use gateway::place::{self, Situation};
use gateway::upstream::Upstream;

const ENGINES: usize = 140;
/// Times that a choice may look at each engine: once for each thing it needs to know of all of them.
const MOST_LOOKS: usize = 8;

/// Guards against a choice whose work grows with the square of the engines. Entries have a tenth of a core; with 140 engines
/// they fell behind at peaks and sent requests on whose callers had left.
#[test]
fn a_choice_looks_at_each_engine_a_few_times() {
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
    let situation = Situation {
        now_ms: 1_000,
        zone: ZONE,
        tried: &[],
        draw: 7,
    };
    let prompt = Prompt {
        parts: vec![(1, 13_000), (2, 4_000)],
        tokens: 17_000,
        max_output_tokens: 50,
    };
    for rank in [0, 2] {
        let looks = Cell::new(0);
        let seen = engines.iter().inspect(|_| looks.set(looks.get() + 1));
        assert!(place::engine(&situation, &prompt, rank, seen).is_some());
        assert!(looks.get() <= MOST_LOOKS * ENGINES, "{}", looks.get());
    }
}
