//! Shares and deadlines of ranks and client accounts while one of them sends more requests than the capacity.

mod common;

use admit::Discipline;
use common::{CAPACITY_PER_S, Counts, Stream, client_account, config, run, shares};

const FLOORS: [f64; 3] = [0.2, 0.3, 0.1];
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const LENGTH_MS: u64 = 30_000;

fn stream(rank: u8, load: f64) -> Stream {
    Stream {
        client_account: "t",
        rank,
        rate: load * CAPACITY_PER_S,
        allowed_ms: [2_000, 5_000, 20_000][rank as usize],
    }
}

fn in_time_share(count: &Counts) -> f64 {
    f64::from(count.in_time) / f64::from(count.offered)
}

/// Guards against urgent requests that wait behind a flood of requests of the least urgent rank.
#[test]
fn urgent_answers_are_in_time_in_a_flood_of_the_least_urgent_rank() {
    for seed in SEEDS {
        let streams = [stream(0, 0.3), stream(1, 0.2), stream(2, 5.0)];
        let counts = run(
            &config(FLOORS),
            Discipline::Ranked,
            &streams,
            LENGTH_MS,
            seed,
        );
        let urgent = in_time_share(&counts[0]);
        assert!(urgent >= 0.99, "seed {seed}: {urgent}, {counts:?}");
    }
}

/// Guards against a rank that is dispatched less than its floor while one rank floods, the most urgent rank included.
#[test]
fn each_rank_keeps_its_floor_in_a_flood_of_any_rank() {
    for seed in SEEDS {
        for flooding in 0..3 {
            let mut streams = [stream(0, 1.5), stream(1, 1.5), stream(2, 1.5)];
            streams[flooding].rate *= 5.0;
            let counts = run(
                &config(FLOORS),
                Discipline::Ranked,
                &streams,
                LENGTH_MS,
                seed,
            );
            for (rank, share) in shares(&counts).into_iter().enumerate() {
                let least = FLOORS[rank] * 0.9;
                assert!(
                    share >= least,
                    "seed {seed}, flood {flooding}, rank {rank}: {share}"
                );
            }
        }
    }
}

/// Guards against a rank whose demand is below its floor and that still gets less than it requests.
#[test]
fn a_rank_below_its_floor_gets_all_that_it_requests() {
    for seed in SEEDS {
        let streams = [stream(0, 5.0), stream(1, 0.1), stream(2, 0.05)];
        let counts = run(
            &config(FLOORS),
            Discipline::Ranked,
            &streams,
            LENGTH_MS,
            seed,
        );
        for rank in [1, 2] {
            let share = in_time_share(&counts[rank]);
            assert!(share >= 0.9, "seed {seed}, rank {rank}: {share}");
        }
    }
}

/// Guards against a client account that starves the other accounts of its rank by filling the queue or by going first.
#[test]
fn a_flooding_client_account_does_not_starve_others_of_its_rank() {
    for seed in SEEDS {
        let mut config = config([0.0; 3]);
        config.client_accounts = vec![
            client_account("flood", 1.0),
            client_account("calm", 1.0),
            client_account("heavy", 2.0),
        ];
        let account_stream = |client_account, load| Stream {
            client_account,
            ..stream(1, load)
        };
        let streams = [
            account_stream("flood", 10.0),
            account_stream("calm", 0.2),
            account_stream("heavy", 0.4),
        ];
        let counts = run(&config, Discipline::Ranked, &streams, LENGTH_MS, seed);
        for (index, count) in counts.iter().enumerate().skip(1) {
            let share = in_time_share(count);
            assert!(
                share >= 0.95,
                "seed {seed}, stream {index}: {share}, {count:?}"
            );
        }
    }
}

/// Guards against client accounts that share the capacity by their demand instead of by their weights.
#[test]
fn client_accounts_share_a_rank_by_their_weights() {
    for seed in SEEDS {
        let mut config = config([0.0; 3]);
        config.client_accounts = vec![client_account("light", 1.0), client_account("heavy", 3.0)];
        let account_stream = |client_account, load| Stream {
            client_account,
            ..stream(1, load)
        };
        let streams = [account_stream("light", 9.0), account_stream("heavy", 3.0)];
        let counts = run(&config, Discipline::Ranked, &streams, LENGTH_MS, seed);
        let heavy = shares(&counts)[1];
        assert!((0.70..0.80).contains(&heavy), "seed {seed}: {heavy}");
    }
}

/// Guards against requests that are refused although the capacity suffices, and against requests that are admitted
/// although their deadlines cannot be met.
#[test]
fn refusals_are_early_and_accurate() {
    for seed in SEEDS {
        let light = [stream(0, 0.2), stream(1, 0.3), stream(2, 0.3)];
        let counts = run(&config(FLOORS), Discipline::Ranked, &light, LENGTH_MS, seed);
        let refused: u32 = counts
            .iter()
            .map(|count| count.refused + count.expired)
            .sum();
        assert_eq!(refused, 0, "seed {seed}: {counts:?}");
        // One rank alone at twice the capacity: half of the requests fit, and most of the others are refused on
        // arrival.
        let heavy = [stream(1, 2.0)];
        let mut long_queue = config(FLOORS);
        long_queue.ranks[1].queue_limit = 10_000;
        let counts = run(&long_queue, Discipline::Ranked, &heavy, LENGTH_MS, seed);
        let share = in_time_share(&counts[0]);
        assert!(share >= 0.45, "seed {seed}: {counts:?}");
        assert!(
            counts[0].refused > 4 * counts[0].expired,
            "seed {seed}: {counts:?}"
        );
    }
}

/// Shows that the ranks are the cause of the properties above: the single queue does not put urgent requests before the
/// flood.
#[test]
fn a_single_queue_misses_the_urgent_deadlines() {
    for seed in SEEDS {
        let streams = [stream(0, 0.3), stream(1, 0.2), stream(2, 5.0)];
        let counts = run(
            &config(FLOORS),
            Discipline::SingleQueue,
            &streams,
            LENGTH_MS,
            seed,
        );
        let urgent = in_time_share(&counts[0]);
        assert!(urgent < 0.5, "seed {seed}: {urgent}");
    }
}
