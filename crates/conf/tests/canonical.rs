//! Tests of the checks of a configuration that is read from canonical text instead of files.

use conf::{ServiceConfig, check};

// Guards against missing and duplicate names. A merged folder cannot contain them, but a request can.
#[test]
fn names_are_present_and_unique() {
    for section in conf::keys::SERVICE {
        let name = section.name;
        let text = format!(r#"{{"{name}": [{{"name": "m"}}, {{"name": "m"}}, {{}}]}}"#);
        let config = ServiceConfig::from_canonical_text(&text).unwrap();
        let errors: Vec<_> = check::service(&config)
            .iter()
            .map(ToString::to_string)
            .collect();
        assert!(errors.contains(&format!("error: {name}.m: two items have this name")));
        assert!(errors.contains(&format!("error: {name}: an item has no name")));
    }
}

// Guards against values out of range, which the loader checks separately.
#[test]
fn ranges_are_checked() {
    let mut config = ServiceConfig::default();
    for name in ["a", "b", "b"] {
        let name = name.into();
        let rank = conf::RankPolicy {
            name,
            floor: -1.0,
            ..Default::default()
        };
        config.ranks.push(rank);
    }
    config.ranks[0].worth = f64::NAN;
    let errors: Vec<_> = check::service(&config)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        errors,
        [
            "error: ranks.a.worth: must be a number from 0 to 1000000000, but is null",
            "error: ranks.a.floor: must be a number from 0 to 1, but is -1.0",
            "error: ranks.b.floor: must be a number from 0 to 1, but is -1.0",
            "error: ranks.b.floor: must be a number from 0 to 1, but is -1.0",
            "error: ranks.b: two items have this name",
        ]
    );
}

// Guards against dropping the keys of a newer version silently.
#[test]
fn unknown_keys_are_rejected() {
    assert!(ServiceConfig::from_canonical_text(r#"{"rank": []}"#).is_err());
    assert!(ServiceConfig::from_canonical_text(r#"{"ranks": [{"flor": 1}]}"#).is_err());
}
