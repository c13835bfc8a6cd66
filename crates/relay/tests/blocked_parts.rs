//! The operators' view of blocked parts.

use quarantine::Verdict;
use relay::blocked_parts::{find, list};

/// Guards against keys in the list that the call to lift a block does not accept.
#[test]
fn a_listed_key_names_its_part() {
    let verdict = |part, is_blocked| Verdict {
        part,
        is_blocked,
        crashes: 3,
        retry_in_ms: 60_000,
        ..Verdict::default()
    };
    let verdicts = [verdict(0xab, true), verdict(7, false)];
    let listed = list(&verdicts);
    assert_eq!(
        listed,
        "[{\"part\":\"00000000000000ab\",\"crashes\":3,\"trials\":0,\"age_ms\":0,\"retry_in_ms\":60000}]"
    );
    assert_eq!(find(&verdicts, "00000000000000ab"), Some(0xab));
    assert_eq!(find(&verdicts, "7"), None);
    assert_eq!(find(&verdicts, "x"), None);
}
