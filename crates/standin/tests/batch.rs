//! Tests of the engine's batch in simulated time.

use conf::{Name, Role};
use standin::batch::{Batch, BatchRequest, BatchSettings};

fn settings() -> BatchSettings {
    BatchSettings {
        prefill_tokens_per_s: 10_000.0,
        decode_tokens_per_s: 1_000.0,
        request_tokens_per_s: 100.0,
        off_role_speed: 0.25,
        mixed_speed: 0.75,
        max_running: 2,
        max_waiting: 2,
        chunk_tokens: 1_000,
    }
}

fn request(
    id: &'static str,
    priority: u32,
    prompt_tokens: u32,
    answer_tokens: u32,
) -> BatchRequest {
    BatchRequest {
        id: Name::from_static_str(id),
        priority,
        prompt_tokens,
        answer_tokens,
        ..BatchRequest::default()
    }
}

/// Returns the number of steps of 1 ms until the request ends.
fn steps_to_end(batch: &mut Batch, id: &str, role: Role) -> u32 {
    let ends = |batch: &mut Batch| {
        let progress = batch.step(1.0, role);
        progress.iter().any(|p| p.id == id && p.finished)
    };
    (1..100_000)
        .find(|_| ends(batch))
        .expect("the request ends")
}

/// Guards against speeds that do not follow the settings.
#[test]
fn a_single_request_takes_prefill_time_plus_decode_time() {
    let mut batch = Batch::new(settings(), 8);
    batch.push(request("a", 0, 5_000, 100));
    // 5,000 prompt tokens take 500 ms and 100 output tokens take 1,000 ms.
    let time_ms = steps_to_end(&mut batch, "a", Role::Mixed);
    assert!((1_498..=1_502).contains(&time_ms), "{time_ms} ms");
    assert!(batch.is_idle());
}

/// Guards against roles without an effect on the speeds, which would make role changes pointless for a planner.
#[test]
fn work_that_does_not_fit_the_role_is_slower() {
    let mut mixed = Batch::new(settings(), 8);
    mixed.push(request("a", 0, 5_000, 10));
    let mixed_ms = steps_to_end(&mut mixed, "a", Role::Mixed);
    let mut decode = Batch::new(settings(), 8);
    decode.push(request("a", 0, 5_000, 10));
    let decode_ms = steps_to_end(&mut decode, "a", Role::Decode);
    assert!(decode_ms > 3 * mixed_ms, "{decode_ms} ms, {mixed_ms} ms");
}

/// Guards against a queue that ignores priority or order of arrival.
#[test]
fn the_most_urgent_waiting_request_runs_next() {
    let mut batch = Batch::new(
        BatchSettings {
            max_running: 1,
            ..settings()
        },
        8,
    );
    batch.push(request("running", 2, 10, 10));
    batch.step(1.0, Role::Mixed);
    batch.push(request("late", 2, 10, 10));
    batch.push(request("urgent", 0, 10, 10));
    batch.push(request("urgent2", 0, 10, 10));
    let mut order = Vec::new();
    while !batch.is_idle() {
        let progress = batch.step(1.0, Role::Mixed);
        order.extend(progress.into_iter().filter(|p| p.finished).map(|p| p.id));
    }
    assert_eq!(order, ["running", "urgent", "urgent2", "late"]);
}

/// Guards against an unbounded queue.
#[test]
fn the_running_set_and_the_queue_are_bounded() {
    let mut batch = Batch::new(settings(), 8);
    for id in ["a", "b", "c"] {
        batch.push(request(id, 0, 100, 10));
        batch.step(0.0, Role::Mixed);
        assert!(!batch.is_full());
    }
    batch.push(request("d", 0, 100, 10));
    assert!(batch.is_full());
    let counts = batch.counts();
    assert_eq!((counts.running, counts.waiting), (2, 2));
    assert_eq!(counts.prompt_tokens_waiting, 400);
}

/// Guards against a cache hit that saves no prefill time, and against eviction in the wrong order.
#[test]
fn a_cached_prefix_is_not_prefilled_again_until_it_is_evicted() {
    let mut batch = Batch::new(settings(), 2);
    let with_chunks = |id, chunk_hashes: &[u64]| BatchRequest {
        chunk_hashes: chunk_hashes.to_vec(),
        ..request(id, 0, 2_000, 1)
    };
    batch.push(with_chunks("a", &[1, 2]));
    let cold_ms = steps_to_end(&mut batch, "a", Role::Mixed);
    batch.push(with_chunks("b", &[1, 2]));
    let warm_ms = steps_to_end(&mut batch, "b", Role::Mixed);
    assert!(warm_ms + 150 < cold_ms, "{warm_ms} ms, {cold_ms} ms");
    batch.cache_mut().store(&[3]);
    assert!(!batch.cache().contains(1));
    assert!(batch.cache().contains(2));
    assert_eq!(batch.cache().len(), 2);
}

/// Guards against a cancelled request that still generates tokens.
#[test]
fn a_cancelled_request_generates_no_more_tokens() {
    let mut batch = Batch::new(settings(), 8);
    batch.push(request("a", 0, 10, 100));
    batch.step(50.0, Role::Mixed);
    batch.step(50.0, Role::Mixed);
    assert_eq!(batch.cancel(&"a".into()), Some(5));
    assert_eq!(batch.cancel(&"a".into()), None);
    assert!(batch.step(50.0, Role::Mixed).is_empty());
}

seeded::quickcheck! {
    /// Guards against lost or repeated tokens, whatever the lengths and step sizes.
    fn every_token_is_generated_exactly_once(lengths: Vec<(u8, u8)>, steps: Vec<u8>) -> bool {
        let mut batch = Batch::new(settings(), 4);
        let lengths: Vec<(u8, u8)> = lengths.into_iter().take(4).collect();
        for (number, (prompt, answer)) in lengths.iter().enumerate() {
            let id = Name::from(number.to_string());
            batch.push(BatchRequest { id, ..request("", 0, (*prompt).into(), (*answer).into()) });
        }
        let mut next = vec![0; lengths.len()];
        let mut finished = 0;
        let steps = steps.into_iter().map(f64::from).chain(std::iter::repeat(20.0));
        for elapsed_ms in steps.take(5_000) {
            for progress in batch.step(elapsed_ms, Role::Mixed) {
                let number: usize = progress.id.parse().expect("the id is a number");
                if progress.from != next[number] {
                    return false;
                }
                next[number] = progress.to;
                finished += usize::from(progress.finished);
            }
        }
        let expected: Vec<u32> = lengths.iter().map(|(_, answer)| (*answer).into()).collect();
        next == expected && finished == lengths.len() && batch.is_idle()
    }
}
