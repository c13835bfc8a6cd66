//! The fields of an entry's log lines, checked against the table of fields in docs/OPERATIONS.md.

mod entry_support;

use std::collections::BTreeSet;

use conf::Role;
use entry_support::{Driver, ZONE, engine, plain};
use gateway::entry::{EntryEffect, EntryEvent};
use gateway::{Outcome, RequestKind};

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the documented fields: the names in backquotes in the first column of the page's table.
fn documented() -> BTreeSet<&'static str> {
    let section = OPERATIONS
        .split("## Explaining a failed request")
        .nth(1)
        .expect("the page has the section");
    let table = section
        .split("| field | meaning |")
        .nth(1)
        .expect("a table");
    table
        .lines()
        .skip(1)
        .take_while(|line| line.starts_with('|'))
        .filter_map(|line| line.split('|').nth(1))
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .collect()
}

fn lines(effects: &[EntryEffect]) -> Vec<String> {
    let text = |effect: &EntryEffect| match effect {
        EntryEffect::Log { text, .. } => Some(text.clone()),
        _ => None,
    };
    effects.iter().filter_map(text).collect()
}

/// Runs requests that are answered, handed off, retried, refused and timed out, and returns their log lines.
fn simulated_lines() -> Vec<String> {
    let mut driver = Driver::new(vec![
        plain("near", ZONE),
        engine("read", ZONE, Role::Prefill),
        engine("write-1", ZONE, Role::Decode),
        engine("write-2", ZONE, Role::Decode),
    ]);
    let mut effects = Vec::new();
    let mut events = Vec::new();
    for exchange in 1..=4 {
        let request = match exchange {
            1 => driver.request(RequestKind::NonIdempotent, 0),
            _ => driver.prompt(2, (exchange, 13_000), 4_000),
        };
        events.push(EntryEvent::Arrived { exchange, request });
    }
    let (exchange, is_complete) = (2, true);
    let handle = "handle".into();
    events.extend([
        EntryEvent::CallFailed {
            exchange: 1,
            outcome: Outcome::Broken,
        },
        EntryEvent::Prefilled { exchange, handle },
        EntryEvent::CallFailed {
            exchange,
            outcome: Outcome::Unreachable,
        },
        EntryEvent::Started { exchange },
        EntryEvent::Closed {
            exchange,
            is_complete,
        },
    ]);
    for event in events {
        effects.extend(driver.step(event));
    }
    driver.now_ms += 10_000;
    effects.extend(driver.step(EntryEvent::Tick));
    lines(&effects)
}

/// Guards against log lines that cannot be split into fields, and against fields that the page does not explain.
#[test]
fn the_page_explains_each_field_of_a_request() {
    let documented = documented();
    let lines = simulated_lines();
    for line in &lines {
        for field in line.split(' ') {
            let (name, value) = field.split_once('=').unwrap_or((field, ""));
            assert!(!value.is_empty(), "{field} in {line}");
            assert!(documented.contains(name), "{name} in {line}");
        }
    }
    for expected in [
        "decision=send",
        "decision=wait",
        "outcome=refused",
        "outcome=answered",
    ] {
        assert!(
            lines.iter().any(|line| line.contains(expected)),
            "{expected}: {lines:#?}"
        );
    }
}
