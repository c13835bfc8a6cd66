//! The bounded buffer of log lines.

use relay::logs::{BUFFER_BYTES, Buffer, Importance};

fn fill(buffer: &mut Buffer, importance: Importance, lines: usize) {
    for _ in 0..lines {
        buffer.push(importance, "x".repeat(1_000));
    }
}

/// Guards against a buffer that grows while nobody reads, and against lines of failed requests that are dropped before
/// those of requests that go well.
#[test]
fn the_least_important_lines_are_dropped_first() {
    let mut buffer = Buffer::default();
    let many = BUFFER_BYTES / 1_000 * 2;
    fill(&mut buffer, Importance::Step, many);
    let [steps, beliefs, failures] = buffer.dropped();
    assert!(steps > 0 && beliefs == 0 && failures == 0);
    fill(&mut buffer, Importance::StateChange, 50);
    fill(&mut buffer, Importance::Failure, 50);
    assert_eq!(buffer.dropped()[1..], [0, 0]);
    fill(&mut buffer, Importance::Failure, many);
    assert!(buffer.dropped()[2] > 0);
    assert!(buffer.take_batch("i").len() <= BUFFER_BYTES + 200);
}

/// Guards against lines that are dropped without a word.
#[test]
fn a_batch_says_how_many_lines_were_dropped() {
    let mut buffer = Buffer::default();
    fill(&mut buffer, Importance::Step, BUFFER_BYTES / 1_000 * 2);
    let dropped = buffer.dropped()[0];
    let batch = String::from_utf8(buffer.take_batch("10.0.0.1")).expect("lines are text");
    assert!(batch.ends_with(&format!(
        "outcome=dropped steps={dropped} beliefs=0 failures=0\n"
    )));
    assert_eq!(buffer.dropped(), [0; 3]);
}
