//! The operators' view of the parts of prompts under which engines crash.

use quarantine::Verdict;

/// Path of the list of blocked parts. The key of a part follows it in the path of the call that lifts a block.
pub const BLOCKED_PARTS_PATH: &str = "/blocked-parts/";

/// Returns the blocked parts as a JSON array.
pub fn list(verdicts: &[Verdict]) -> String {
    let blocked = verdicts.iter().filter(|verdict| verdict.is_blocked);
    let entries: Vec<String> = blocked
        .map(|verdict| {
            format!(
                "{{\"part\":\"{:016x}\",\"crashes\":{},\"trials\":{},\"age_ms\":{},\"retry_in_ms\":{}}}",
                verdict.part,
                verdict.crashes,
                verdict.trials,
                verdict.age_ms,
                verdict.retry_in_ms
            )
        })
        .collect();
    format!("[{}]", entries.join(","))
}

/// Returns the blocked part with a key as it is shown in the list and in log lines.
pub fn find(verdicts: &[Verdict], key: &str) -> Option<u64> {
    let part = u64::from_str_radix(key, 16).ok()?;
    let is_blocked = |verdict: &&Verdict| verdict.is_blocked && verdict.part == part;
    verdicts.iter().find(is_blocked).map(|verdict| verdict.part)
}
