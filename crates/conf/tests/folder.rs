//! Tests of loading configurations from folders and from apply requests.

use std::fs;

use conf::admin::{ApplyRequest, FileText};
use conf::load::{self, Error};
use tempfile::TempDir;

const SERVICE: &str = include_str!("data/service.toml");

// Guards against merging editor backups and hidden files, and against merging in directory order.
#[test]
fn only_toml_files_are_read_in_the_order_of_their_names() {
    let folder = TempDir::new().unwrap();
    let names = [
        "20.toml",
        "10.toml",
        "9.toml",
        "10.toml~",
        ".30.toml",
        "readme.md",
        "toml",
    ];
    for name in names {
        fs::write(folder.path().join(name), name).unwrap();
    }
    let files = load::read_folder(folder.path()).unwrap();
    let names: Vec<_> = files.iter().map(|file| file.name.as_str()).collect();
    assert_eq!(names, ["10.toml", "20.toml", "9.toml"]);
}

// Guards against accepting a folder without files, or with unreadable files, as a configuration.
#[test]
fn unreadable_folders_are_errors() {
    let folder = TempDir::new().unwrap();
    assert!(matches!(
        load::settings(folder.path()),
        Err(Error::Empty { .. })
    ));
    fs::write(folder.path().join("a.toml"), [0xff, 0xfe]).unwrap();
    assert!(matches!(
        load::settings(folder.path()),
        Err(Error::Read { .. })
    ));
    fs::remove_file(folder.path().join("a.toml")).unwrap();
    fs::create_dir(folder.path().join("b.toml")).unwrap();
    assert!(matches!(
        load::settings(folder.path()),
        Err(Error::Read { .. })
    ));
}

// Guards against a request whose files, canonical text and content id disagree. A later return to its revision would
// put another configuration in force than the one that was applied.
#[test]
fn parts_of_a_request_agree() {
    let files = vec![FileText {
        name: "a".into(),
        text: SERVICE.into(),
    }];
    let canonical = load::service_from_files(files.clone())
        .unwrap()
        .value
        .canonical_text();
    let valid = ApplyRequest {
        content_id: conf::content_id(&canonical),
        canonical: canonical.into(),
        files,
        ..ApplyRequest::default()
    };
    assert!(load::apply_request(&valid).is_ok());
    let reason = |request: ApplyRequest| load::apply_request(&request).unwrap_err().join("\n");
    let wrong_content_id = ApplyRequest {
        content_id: conf::content_id(""),
        ..valid.clone()
    };
    assert!(reason(wrong_content_id).starts_with("the content id does not match"));
    let spaced = format!("{} ", valid.canonical);
    let wrong_canonical_text = ApplyRequest {
        content_id: conf::content_id(&spaced),
        canonical: spaced.into(),
        ..valid.clone()
    };
    assert!(reason(wrong_canonical_text).starts_with("the files do not produce"));
    let no_files = ApplyRequest {
        files: Vec::new(),
        ..valid
    };
    assert!(reason(no_files).contains("exactly 3"));
}
