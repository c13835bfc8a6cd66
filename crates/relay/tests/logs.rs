//! The bounded buffer of log lines.

use relay::logs::{BUFFER_BYTES, Buffer, Importance};

fn fill(buffer: &mut Buffer, importance: Importance, lines: usize) {
    for _ in 0..lines {
        buffer.push(importance, "x".repeat(1_000));
    }
}

/// Guards against a buffer that grows without limit while no lines are written, and against lines of failed requests
/// that are dropped before those of successful requests.
#[test]
fn the_least_important_lines_are_dropped_first() {
    let mut buffer = Buffer::default();
    let overflowing_lines = BUFFER_BYTES / 1_000 * 2;
    fill(&mut buffer, Importance::Step, overflowing_lines);
    let [steps, changes, failures] = buffer.dropped();
    assert!(steps > 0 && changes == 0 && failures == 0);
    fill(&mut buffer, Importance::StateChange, 50);
    fill(&mut buffer, Importance::Failure, 50);
    assert_eq!(buffer.dropped()[1..], [0, 0]);
    fill(&mut buffer, Importance::Failure, overflowing_lines);
    assert!(buffer.dropped()[2] > 0);
    assert!(buffer.take_batch("i").len() <= BUFFER_BYTES + 200);
}

/// Guards against lines that are dropped without a report.
#[test]
fn a_batch_reports_the_number_of_dropped_lines() {
    let mut buffer = Buffer::default();
    fill(&mut buffer, Importance::Step, BUFFER_BYTES / 1_000 * 2);
    let dropped = buffer.dropped()[0];
    let batch = String::from_utf8(buffer.take_batch("10.0.0.1")).expect("lines are text");
    assert!(batch.ends_with(&format!(
        "outcome=dropped steps={dropped} beliefs=0 failures=0\n"
    )));
    assert_eq!(buffer.dropped(), [0; 3]);
}
