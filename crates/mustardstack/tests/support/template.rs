//! Templates of configuration folders with placeholders for addresses.

use std::{collections::BTreeMap, fs, path::Path};

use super::Result;

/// Copies the files of the folder `from` to the folder `to` and replaces each `{{NAME}}` by its value. An existing
/// folder `to` is removed first.
///
/// # Errors
///
/// Returns an error if a file cannot be copied or a placeholder has no value.
pub fn fill(from: &Path, to: &Path, values: &BTreeMap<String, String>) -> Result<()> {
    if to.exists() {
        fs::remove_dir_all(to)?;
    }
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let mut text = fs::read_to_string(entry.path())?;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), value);
        }
        if let Some((_, rest)) = text.split_once("{{") {
            let name = rest.split("}}").next().unwrap_or_default();
            return Err(format!(
                "there is no value for the placeholder {name} in {:?}",
                entry.path()
            )
            .into());
        }
        fs::write(to.join(entry.file_name()), text)?;
    }
    Ok(())
}
