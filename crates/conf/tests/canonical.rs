//! Checks of a configuration that arrives as canonical text and not from files.

use conf::{ServiceConfig, Severity, check};

// Guards against names that a merged folder can't have, but a request can.
#[test]
fn names_are_present_and_unique() {
    let text = r#"{"models": [{"name": "m", "version": "1"}, {"name": "m", "version": "2"}, {"version": "3"}]}"#;
    let config = ServiceConfig::from_canonical_text(text).unwrap();
    let found = check::service(&config);
    let errors = found
        .iter()
        .filter(|found| found.severity == Severity::Error);
    let errors: Vec<_> = errors.map(ToString::to_string).collect();
    assert_eq!(
        errors,
        [
            "error: ranks: there must be exactly 3, but there are 0",
            "error: models.m: the name is used twice",
            "error: models: an item has no name",
        ]
    );
}

// Guards against keys of a newer version that are dropped silently.
#[test]
fn unknown_keys_are_refused() {
    assert!(ServiceConfig::from_canonical_text(r#"{"rank": []}"#).is_err());
    assert!(ServiceConfig::from_canonical_text(r#"{"ranks": [{"flor": 1}]}"#).is_err());
}
