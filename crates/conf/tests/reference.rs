//! Compares the table of keys with the configuration types, and the reference page with the table.

use std::collections::BTreeSet;

use conf::admin::FileText;
use conf::keys::{self, Section, Shape};
use conf::{ServiceConfig, Settings, load, reference};
use serde_json::Value;

const PAGE: &str = "../../docs/settings.md";

// Guards against a field without an entry in the table, an entry without a field, and a default out of its valid range.
#[test]
fn table_agrees_with_the_defaults() {
    compare(
        keys::SETTINGS,
        &serde_json::to_value(Settings::default()).unwrap(),
    );
    compare(
        keys::SERVICE,
        &serde_json::to_value(ServiceConfig::default()).unwrap(),
    );
}

fn compare(sections: &[Section], config_json: &Value) {
    let names: BTreeSet<&str> = sections.iter().map(|section| section.name).collect();
    assert_eq!(names, keys_of(config_json));
    for section in sections {
        let defaults = reference::defaults(section);
        let names: BTreeSet<&str> = section.keys.iter().map(|key| key.name).collect();
        assert_eq!(names, keys_of(&defaults), "{}", section.name);
        for key in section.keys {
            let accepted = key.kind.validate(&defaults[key.name]);
            assert_eq!(accepted, Ok(()), "{}.{}", section.name, key.name);
        }
    }
}

fn keys_of(table: &Value) -> BTreeSet<&str> {
    let table = table.as_object().expect("a table");
    table.keys().map(String::as_str).collect()
}

// Guards against a key that the page calls required but the loader does not require.
#[test]
fn required_keys_must_be_present() {
    let texts = (lists(keys::SERVICE), lists(keys::SETTINGS));
    let service = load::service_from_files(vec![file(texts.0)]).unwrap_err();
    let settings = load::settings_from_files(vec![file(texts.1)]).unwrap_err();
    let problems = service.0.iter().chain(&settings.0);
    let reported_paths: BTreeSet<String> =
        problems.map(|problem| problem.path.to_string()).collect();
    for section in keys::SERVICE.iter().chain(keys::SETTINGS) {
        let item = match section.shape {
            Shape::Table => section.name.to_owned(),
            Shape::List { .. } => format!("{}.x", section.name),
        };
        let required = section.keys.iter().filter(|key| key.required);
        for key in required.filter(|key| section.shape != Shape::List { id: key.name }) {
            let path = format!("{item}.{}", key.name);
            assert!(reported_paths.contains(&path), "{path}");
        }
    }
}

/// Returns a text with one item that has only a name for each list.
fn lists(sections: &[Section]) -> String {
    let items = sections.iter().filter_map(|section| match section.shape {
        Shape::Table => None,
        Shape::List { id } => Some(format!("[[{}]]\n{id} = 'x'\n", section.name)),
    });
    items.collect()
}

fn file(text: String) -> FileText {
    FileText {
        name: "a".into(),
        text: text.into(),
    }
}

// Guards against a page that differs from the table of keys.
#[test]
fn page_is_current() {
    if std::env::var_os("UPDATE_GOLDENFILES").is_some() {
        std::fs::write(PAGE, reference::render_page()).unwrap();
    }
    let committed = std::fs::read_to_string(PAGE).unwrap();
    assert!(
        committed == reference::render_page(),
        "run with UPDATE_GOLDENFILES=1 and commit {PAGE}"
    );
}
