//! `check`: validates a folder and shows where its values come from.

use conf::Loaded;
use conf::load::ValueOrigin;
use conf::merge::Override;

use crate::cli::Check;
use crate::error::Error;
use crate::terminal::print;

/// Prints the merged result, or everything that is wrong.
pub fn run(options: &Check) -> Result<(), Error> {
    match options.settings {
        true => report(&conf::load::settings(&options.folder)?),
        false => {
            let loaded = conf::load::service(&options.folder)?;
            report(&loaded);
            print(format!("content id {}", loaded.value.content_id()));
        }
    }
    Ok(())
}

fn report<T>(loaded: &Loaded<T>) {
    loaded.values.iter().map(value_line).for_each(print);
    loaded.overrides.iter().map(override_line).for_each(print);
    loaded.warnings.iter().for_each(print);
    let names: Vec<_> = loaded.files.iter().map(|file| file.name.as_str()).collect();
    print(format!("valid, merged from {}", names.join(", ")));
}

fn value_line(found: &ValueOrigin) -> String {
    match &found.origin {
        Some(origin) => format!("{} = {}  # {origin}", found.path, found.value),
        None => format!("{} = {}  # default", found.path, found.value),
    }
}

fn override_line(found: &Override) -> String {
    let Override {
        path,
        earlier_origin,
        later_origin,
        ..
    } = found;
    match (&found.earlier_value, &found.later_value) {
        (Some(from), Some(to)) => {
            format!("override: {path}: {from} ({earlier_origin}) -> {to} ({later_origin})")
        }
        _ => format!("override: {path}: {later_origin} removes the item of {earlier_origin}"),
    }
}
