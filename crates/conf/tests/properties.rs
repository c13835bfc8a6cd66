//! Properties that hold for any text of a file and any layout of files.

use conf::admin::FileText;
use conf::load::{service_from_files, settings_from_files};
use conf::{ServiceConfig, check, content_id, diff};
use quickcheck::{Arbitrary, Gen};

const SERVICE: &str = include_str!("data/service.toml");
const SETTINGS: &str = include_str!("data/settings.toml");

fn file(name: impl Into<String>, text: impl Into<String>) -> FileText {
    FileText {
        name: name.into().into(),
        text: text.into().into(),
    }
}

/// A valid service configuration and valid settings, each with up to 4 random edits.
#[derive(Clone, Debug)]
struct MutatedFiles {
    service: String,
    settings: String,
}

impl Arbitrary for MutatedFiles {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut mutated = Self {
            service: SERVICE.to_owned(),
            settings: SETTINGS.to_owned(),
        };
        for _ in 0..1 + u8::arbitrary(g) % 4 {
            mutate(&mut mutated.service, g);
            mutate(&mut mutated.settings, g);
        }
        mutated
    }
}

fn mutate(text: &mut String, g: &mut Gen) {
    let starts: Vec<usize> = text.char_indices().map(|(start, _)| start).collect();
    let from = g.choose(&starts).copied().unwrap_or(0);
    let upto = g.choose(&starts).copied().unwrap_or(0);
    let (from, upto) = (from.min(upto), from.max(upto).min(from.min(upto) + 40));
    let upto = starts
        .iter()
        .copied()
        .find(|start| *start >= upto)
        .unwrap_or(from);
    let piece = text[from..upto].to_owned();
    let fragment = g.choose(&SYNTAX_FRAGMENTS).copied().unwrap_or_default();
    match u8::arbitrary(g) % 4 {
        0 => text.replace_range(from..upto, ""),
        1 => text.insert_str(from, &piece),
        2 => text.replace_range(from..upto, fragment),
        _ => text.insert(from, char::arbitrary(g)),
    }
}

const SYNTAX_FRAGMENTS: [&str; 16] = [
    "[[",
    "]]",
    "[ranks]",
    "[[upstreams]]\n",
    "= {",
    "}",
    "[1, [2]]",
    "\"",
    "\"\"\"",
    "\n",
    "-1",
    "nan",
    "1e999",
    "99999999999999999999",
    "remove = true\n",
    "name = \"\"\n",
];

/// A valid configuration whose numbers have many digits.
#[derive(Clone, Debug)]
struct ValidConfig(ServiceConfig);

impl Arbitrary for ValidConfig {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut config = service_from_files(vec![file("a", SERVICE)]).unwrap().value;
        let share = |g: &mut Gen| f64::from(u32::arbitrary(g)) / f64::from(u32::MAX);
        for rank in &mut config.ranks {
            rank.floor = share(g) / 3.0;
            rank.worth = share(g) * 1e6;
        }
        for client_account in &mut config.client_accounts {
            client_account.weight = 0.001 + share(g);
        }
        config.upstreams[0].max_running = u32::arbitrary(g).max(1);
        Self(config)
    }
}

seeded::quickcheck! {
    // Guards against a panic on random text.
    fn random_text_is_rejected(texts: Vec<String>) -> bool {
        let files = texts.iter().enumerate();
        let files: Vec<_> = files.map(|(index, text)| file(index.to_string(), text)).collect();
        service_from_files(files.clone()).is_err() && settings_from_files(files).is_err()
    }

    // Guards against a panic after parsing, and against a loaded value that the checks reject.
    fn mutated_service_is_rejected_or_valid(text: MutatedFiles) -> bool {
        let files = vec![file("1", SERVICE), file("2", text.service)];
        service_from_files(files).map_or(true, |loaded| {
            let problems = check::service(&loaded.value);
            let text = loaded.value.canonical_text();
            let read = ServiceConfig::from_canonical_text(&text).unwrap();
            read == loaded.value && problems.len() == loaded.warnings.len()
        })
    }

    fn mutated_settings_are_rejected_or_valid(text: MutatedFiles) -> bool {
        let files = vec![file("1", SETTINGS), file("2", text.settings)];
        settings_from_files(files).map_or(true, |loaded| {
            check::settings(&loaded.value).len() == loaded.warnings.len()
        })
    }

    // Guards against a panic on a canonical text from the network.
    fn mutated_canonical_text_is_rejected_or_read(config: ValidConfig, offset: usize, byte: char) -> bool {
        let mut text = config.0.canonical_text();
        let cut = offset % text.len();
        // A text without its final newline still contains the whole configuration.
        let truncated = ServiceConfig::from_canonical_text(&text[..cut]);
        let is_whole = truncated.map_or(true, |read| read == config.0);
        text.replace_range(cut..=cut, &byte.to_string());
        let read = ServiceConfig::from_canonical_text(&text);
        is_whole && read.map_or(true, |config| check::service(&config).len() < 1000)
    }

    // Guards against numbers that lose digits when the canonical text is written and read back.
    fn canonical_text_is_read_back(config: ValidConfig) -> bool {
        let text = config.0.canonical_text();
        let read = ServiceConfig::from_canonical_text(&text).unwrap();
        read == config.0 && read.canonical_text() == text && content_id(&text) == read.content_id()
    }

    // Guards against a content id that depends on how the items are spread over files.
    fn content_id_does_not_depend_on_layout(order: Vec<u8>) -> bool {
        let items: Vec<&str> = SERVICE.split("\n\n").collect();
        let key = |index: usize| order.get(index).copied().unwrap_or(0);
        let name = |index: usize, item: &str| match item.starts_with("[[ranks]]") {
            true => format!("0-{index}"),
            false => format!("1-{}-{index}", key(index)),
        };
        let files = items.iter().enumerate().map(|(index, item)| file(name(index, item), *item));
        let whole = service_from_files(vec![file("a", SERVICE)]).unwrap().value;
        let split = service_from_files(files.collect()).unwrap().value;
        split.content_id() == whole.content_id() && split == whole
    }

    // Guards against differences that are not reported, and against reported differences between equal configurations.
    fn difference_is_empty_only_for_equal(one: ValidConfig, other: ValidConfig) -> bool {
        let equal = one.0.content_id() == other.0.content_id();
        diff::service(&one.0, &other.0).is_empty() == equal
            && diff::service(&one.0, &one.0).is_empty()
    }
}
