//! Writes the reference page of all keys, `docs/settings.md`.

use std::fmt::Write;

use serde::Serialize;
use serde_json::Value;

use crate::keys::{self, Key, Kind, Section, Shape};
use crate::settings::Voter;
use crate::{Model, RankPolicy, Route, Service, Settings, Tenant, Upstream};

const INTRODUCTION: &str = "\
# Settings

This page is generated from `crates/conf/src/keys.rs` and the defaults of the types. A test compares it with them; run
`UPDATE_GOLDENFILES=1 cargo test -p conf --test reference` after a change.

There are two kinds of configuration, each a folder of files whose names end in `.toml`. Files whose names start with a
dot are left out. The files are merged in the order of their names:

- A value in a later file replaces the same value of an earlier file. An array of strings is one value.
- Tables in a list, such as `[[upstreams]]`, are merged by `name`, and `[[voters]]` by `id`. A later file changes single
  fields of an item or adds an item. An item is written once in a file.
- `remove = true` in a later file removes an item. Beside it stands only the name.
- The order of the ranks is the order of first mention.

An unknown key, a value of the wrong kind or out of range, or a failed check makes the whole configuration invalid, and
everything that is wrong is reported at once with its file and line. `mustardstack check` prints every value with the
file and line that it comes from, and what a later file overrides.
";

/// Writes the page.
pub fn page() -> String {
    let mut page = INTRODUCTION.to_owned();
    let about = "Read once at start by `mustardstack serve FOLDER`.";
    add_part(&mut page, "Instance settings", about, keys::SETTINGS);
    let about = "Put in force on all instances by `mustardstack apply FOLDER`.";
    add_part(&mut page, "Service configuration", about, keys::SERVICE);
    page
}

/// Returns the defaults of a section, or of one item of a list. Null if the section is unknown.
pub fn defaults(section: &Section) -> Value {
    let defaults = Settings::default();
    match section.name {
        "instance" => value(&defaults.instance),
        "voters" => value(&Voter::default()),
        "platform" => value(&defaults.platform),
        "log" => value(&defaults.log),
        "timing" => value(&defaults.timing),
        "limits" => value(&defaults.limits),
        "decisions" => value(&defaults.decisions),
        "ranks" => value(&RankPolicy::default()),
        "tenants" => value(&Tenant::default()),
        "models" => value(&Model::default()),
        "services" => value(&Service::default()),
        "routes" => value(&Route::default()),
        "upstreams" => value(&Upstream::default()),
        _ => Value::Null,
    }
}

fn value(defaults: &impl Serialize) -> Value {
    serde_json::to_value(defaults).unwrap_or_default()
}

fn add_part(page: &mut String, title: &str, about: &str, sections: &[Section]) {
    let _ = write!(page, "\n## {title}\n\n{about}\n");
    for section in sections {
        add_section(page, section);
    }
}

fn add_section(page: &mut String, section: &Section) {
    let name = section.name;
    let heading = match section.shape {
        Shape::Table => format!("[{name}]"),
        Shape::List { .. } => format!("[[{name}]]"),
    };
    let _ = write!(page, "\n### `{heading}`\n\n{}\n\n", section.about);
    page.push_str("| key | value | unit | default | meaning |\n|---|---|---|---|---|\n");
    let defaults = defaults(section);
    for key in section.keys {
        let kind = kind(key);
        let default = match key.required {
            true => "required".to_owned(),
            false => format!("`{}`", defaults[key.name]),
        };
        let Key {
            name, unit, about, ..
        } = key;
        let _ = writeln!(page, "| `{name}` | {kind} | {unit} | {default} | {about} |");
    }
}

fn kind(key: &Key) -> String {
    match key.kind {
        Kind::Text => "string".to_owned(),
        Kind::Texts => "array of strings".to_owned(),
        Kind::Flag => "`true` or `false`".to_owned(),
        Kind::Choice(choices) => format!("`{}`", choices.join("`, `")),
        Kind::Integer { min, max } => format!("integer, {min} to {max}"),
        Kind::Number { min, max } => format!("number, {min} to {max}"),
    }
}
