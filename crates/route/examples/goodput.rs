//! Compares routing policies on the same traces while the mix of prompt and output tokens alternates.

#[path = "fake/mod.rs"]
mod fake;

use admit::Discipline;
use fake::{Arrival, Chooser, Setup};
use route::Policy;

const PHASE_MS: u64 = 20_000;
const PHASES: u64 = 4;
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// A workload: questions over long shared documents, or short prompts without shared prefixes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Workload {
    Documents,
    ShortPrompts,
}

impl Workload {
    fn engines(self) -> usize {
        match self {
            Self::Documents => 20,
            Self::ShortPrompts => 10,
        }
    }

    fn instances(self) -> usize {
        match self {
            Self::Documents => 8,
            Self::ShortPrompts => 6,
        }
    }

    /// Returns the rates of questions and of long answers in a phase, in requests per second.
    fn rates(self, phase: u64) -> (f64, f64) {
        match (self, phase % 2) {
            (Self::Documents, 0) => (60.0, 10.0),
            (Self::Documents, _) => (15.0, 40.0),
            (Self::ShortPrompts, 0) => (60.0, 5.0),
            (Self::ShortPrompts, _) => (10.0, 20.0),
        }
    }

    fn question(self, rng: &mut fastrand::Rng) -> Arrival {
        match self {
            Self::Documents => fake::document_question(rng, self.instances(), 150),
            Self::ShortPrompts => Arrival {
                prompt_tokens: rng.u32(500..3_500),
                chunk_hashes: Vec::new(),
                ..fake::document_question(rng, self.instances(), 1)
            },
        }
    }
}

fn trace(workload: Workload, seed: u64, load: f64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut trace = Vec::new();
    for phase in 0..PHASES {
        let (from_ms, to_ms) = (phase * PHASE_MS, (phase + 1) * PHASE_MS);
        let (questions, answers) = workload.rates(phase);
        let question = |rng: &mut fastrand::Rng| workload.question(rng);
        let answer = |rng: &mut fastrand::Rng| fake::long_answer(rng, workload.instances());
        trace.extend(fake::arrivals(
            &mut rng,
            from_ms,
            to_ms,
            load * questions,
            question,
        ));
        trace.extend(fake::arrivals(
            &mut rng,
            from_ms,
            to_ms,
            load * answers,
            answer,
        ));
    }
    trace.sort_by_key(|arrival| arrival.at_ms);
    trace
}

fn main() {
    let rows = [
        (
            "cost-based, ranked queue",
            Chooser::Instance(Policy::CostBased),
            Discipline::Ranked,
        ),
        ("oracle, ranked queue", Chooser::Oracle, Discipline::Ranked),
        (
            "round robin",
            Chooser::Instance(Policy::RoundRobin),
            Discipline::SingleQueue,
        ),
        (
            "least outstanding",
            Chooser::Instance(Policy::LeastOutstanding),
            Discipline::SingleQueue,
        ),
        (
            "prefix hash",
            Chooser::Instance(Policy::PrefixHash),
            Discipline::SingleQueue,
        ),
    ];
    println!(
        "| load | policy | in target, % of offered: mean (min to max) | late % | refused % | prompt tokens computed, millions |"
    );
    println!("|---|---|---|---|---|---|---|");
    for ((workload, label), load) in [
        (Workload::Documents, "Sheets"),
        (Workload::ShortPrompts, "Short"),
    ]
    .into_iter()
    .flat_map(|workload| [0.7, 1.0, 1.3, 1.6].map(|load| (workload, load)))
    {
        let config = fake::fleet(workload.engines(), [0.0; 3]);
        for (name, chooser, discipline) in rows {
            let mut goodput = Vec::new();
            let (mut late, mut refused, mut offered, mut prompt) = (0, 0, 0, 0.0);
            for seed in SEEDS {
                let trace = trace(workload, seed, load);
                let setup = Setup {
                    chooser,
                    discipline,
                    instances: workload.instances(),
                    seed,
                };
                let outcome = fake::run(&config, &trace, setup);
                goodput.push(f64::from(outcome.good()) * 100.0 / trace.len() as f64);
                late += outcome.late.iter().sum::<u32>();
                refused += outcome.refused.iter().sum::<u32>();
                offered += trace.len();
                prompt += outcome.prompt_tokens_computed / 1e6;
            }
            let mean = goodput.iter().sum::<f64>() / goodput.len() as f64;
            let min = goodput.iter().copied().fold(f64::INFINITY, f64::min);
            let max = goodput.iter().copied().fold(0.0, f64::max);
            println!(
                "| {label} | {load} | {name} | {mean:.1} ({min:.1} to {max:.1}) | {:.1} | {:.1} | {:.1} |",
                f64::from(late) * 100.0 / offered as f64,
                f64::from(refused) * 100.0 / offered as f64,
                prompt / SEEDS.len() as f64,
            );
        }
    }
}
