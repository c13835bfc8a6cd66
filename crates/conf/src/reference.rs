//! Generates `docs/settings.md`, the reference page of all configuration keys.

use std::fmt::Write;

use serde::Serialize;
use serde_json::Value;

use crate::keys::{self, Key, Section, Shape, ValueKind};
use crate::settings::Voter;
use crate::{ClientAccount, Model, RankPolicy, Route, Service, Settings, Upstream};

const INTRODUCTION: &str = "\
# Settings

This page is generated from `crates/conf/src/keys.rs` and the defaults of the types. A test checks that the page
is current. After a change, `UPDATE_GOLDENFILES=1 cargo test -p conf --test reference` updates the page.

There are two kinds of configuration, each a folder of files whose names end in `.toml`. Files whose names start with a
dot are ignored. The files are merged in the order of their names:

- A value in a later file replaces the same value of an earlier file. An array of strings is one value.
- Tables in a list, such as `[[upstreams]]`, are merged by `name`, and `[[voters]]` by `id`. A later file changes single
  fields of an item or adds an item. A file may contain an item only once.
- An item with `remove = true` removes the item of an earlier file. It has no other keys than `remove` and its `name` or
  `id`.
- The order of the ranks is the order of first mention.

An unknown key, a value of the wrong kind or out of range, or a failed check makes the whole configuration invalid. All
errors are reported at once with their file and line. `mustardstack check` prints every value with its file and line,
and the values and items that later files change or remove.
";

/// Returns the text of the page.
pub fn render_page() -> String {
    let mut page = INTRODUCTION.to_owned();
    let description = "Read once at start by `mustardstack serve FOLDER`.";
    add_part(&mut page, "Instance settings", description, keys::SETTINGS);
    let description = "Put in force on all instances by `mustardstack apply FOLDER`.";
    add_part(
        &mut page,
        "Service configuration",
        description,
        keys::SERVICE,
    );
    page
}

/// Returns the default values of a table, or of one item of a list of tables. Null if the section is unknown.
pub fn defaults(section: &Section) -> Value {
    let defaults = Settings::default();
    match section.name {
        "instance" => to_json(&defaults.instance),
        "voters" => to_json(&Voter::default()),
        "platform" => to_json(&defaults.platform),
        "log" => to_json(&defaults.log),
        "timing" => to_json(&defaults.timing),
        "limits" => to_json(&defaults.limits),
        "decisions" => to_json(&defaults.decisions),
        "ranks" => to_json(&RankPolicy::default()),
        "tenants" => to_json(&ClientAccount::default()),
        "models" => to_json(&Model::default()),
        "services" => to_json(&Service::default()),
        "routes" => to_json(&Route::default()),
        "upstreams" => to_json(&Upstream::default()),
        _ => Value::Null,
    }
}

fn to_json(defaults: &impl Serialize) -> Value {
    serde_json::to_value(defaults).unwrap_or_default()
}

fn add_part(page: &mut String, title: &str, description: &str, sections: &[Section]) {
    let _ = write!(page, "\n## {title}\n\n{description}\n");
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
    let _ = write!(page, "\n### `{heading}`\n\n{}\n\n", section.description);
    page.push_str("| key | value | unit | default | meaning |\n|---|---|---|---|---|\n");
    let defaults = defaults(section);
    for key in section.keys {
        let value_type = type_text(key);
        let default = match key.required {
            true => "required".to_owned(),
            false => format!("`{}`", defaults[key.name]),
        };
        let Key {
            name,
            unit,
            description,
            ..
        } = key;
        let _ = writeln!(
            page,
            "| `{name}` | {value_type} | {unit} | {default} | {description} |"
        );
    }
}

fn type_text(key: &Key) -> String {
    match key.kind {
        ValueKind::Text => "string".to_owned(),
        ValueKind::TextList => "array of strings".to_owned(),
        ValueKind::Boolean => "`true` or `false`".to_owned(),
        ValueKind::Choice(choices) => format!("`{}`", choices.join("`, `")),
        ValueKind::Integer { min, max } => format!("integer, {min} to {max}"),
        ValueKind::Number { min, max } => format!("number, {min} to {max}"),
    }
}
