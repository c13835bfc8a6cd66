//! `check`: validates a folder and prints the file and line of each value.

use conf::Loaded;
use conf::load::ValueOrigin;
use conf::merge::Override;

use crate::cli::Check;
use crate::error::Error;
use crate::terminal::print;

/// Prints the merged values of a folder, or returns all errors in the folder.
pub fn run(options: &Check) -> Result<(), Error> {
    match options.settings {
        true => print_loaded(&conf::load::settings(&options.folder)?),
        false => {
            let loaded = conf::load::service(&options.folder)?;
            print_loaded(&loaded);
            print(format!("content id {}", loaded.value.content_id()));
        }
    }
    Ok(())
}

fn print_loaded<T>(loaded: &Loaded<T>) {
    loaded.values.iter().map(value_line).for_each(print);
    loaded.overrides.iter().map(override_line).for_each(print);
    loaded.warnings.iter().for_each(print);
    let names: Vec<_> = loaded.files.iter().map(|file| file.name.as_str()).collect();
    print(format!("valid, merged from {}", names.join(", ")));
}

fn value_line(value: &ValueOrigin) -> String {
    match &value.origin {
        Some(origin) => format!("{} = {}  # {origin}", value.path, value.value),
        None => format!("{} = {}  # default", value.path, value.value),
    }
}

fn override_line(entry: &Override) -> String {
    let Override {
        path,
        earlier_origin,
        later_origin,
        ..
    } = entry;
    match (&entry.earlier_value, &entry.later_value) {
        (Some(from), Some(to)) => {
            format!("override: {path}: {from} ({earlier_origin}) -> {to} ({later_origin})")
        }
        _ => format!("override: {path}: {later_origin} removes the item of {earlier_origin}"),
    }
}
