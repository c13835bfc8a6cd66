//! The look-up of client accounts by their API keys.

use gateway::{
    Account, AccountKeys, Accounts, Config, ConfigError, KeyCheck, KeyHasher, Limits, RequestKind,
    Route, Service,
};

fn account(name: &'static str, rank: Option<u8>, api_keys: &[&str]) -> AccountKeys {
    let api_keys = api_keys.iter().map(|key| key.as_bytes().to_vec());
    AccountKeys {
        account: Account {
            name: name.into(),
            rank,
        },
        api_keys: api_keys.collect(),
    }
}

fn accounts(accounts: Vec<AccountKeys>) -> Result<Accounts, ConfigError> {
    Accounts::new(KeyHasher::new(&[7; 32]), accounts)
}

fn config(is_public: bool, known: Option<Accounts>) -> Config {
    let route = Route {
        name: "route".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RequestKind::Idempotent,
        timeout_ms: 5_000,
        objective_ms: 400,
        gap_ms: 200,
        rank: 0,
        targets: vec![("plain".into(), 1)],
        max_runs: 2,
        is_public,
    };
    let service = Service {
        name: "plain".into(),
        max_connections: 100,
        engine: None,
        scaling: None,
    };
    let config = Config::new(1, vec![route], vec![service], Limits::default());
    let config = config.expect("the configuration is valid");
    match known {
        Some(known) => config.with_accounts(known),
        None => config,
    }
}

fn check<'a>(config: &'a Config, api_keys: &[&'a str]) -> KeyCheck<'a> {
    let route = config.route("host", "/").expect("the route exists");
    config.check_key(route, api_keys.iter().map(|key| key.as_bytes()))
}

/// Guards against a request that passes without a known key, or that needs one where none is asked for.
#[test]
fn only_requests_with_a_known_key_pass() {
    let known = accounts(vec![
        account("a", None, &["ka", "ka", "kb"]),
        account("b", Some(2), &["kc"]),
        account("without", None, &[]),
    ]);
    let known = known.expect("the accounts are valid");
    let keyed = config(false, Some(known.clone()));
    let KeyCheck::Known(found) = check(&keyed, &["kc"]) else {
        panic!("the key is known");
    };
    assert_eq!((found.name.as_str(), found.rank), ("b", Some(2)));
    assert!(matches!(check(&keyed, &["kb"]), KeyCheck::Known(found) if found.name == "a"));
    for api_keys in [
        &[][..],
        &[""],
        &["k"],
        &["kaa"],
        &["KA"],
        &["ka", "ka"],
        &["ka", "no"],
    ] {
        assert_eq!(check(&keyed, api_keys), KeyCheck::Unknown, "{api_keys:?}");
    }
    let public = config(true, Some(known));
    assert_eq!(check(&public, &["ka"]), KeyCheck::NotNeeded);
    assert_eq!(check(&config(false, None), &[]), KeyCheck::NotNeeded);
    let empty = config(false, accounts(Vec::new()).ok());
    assert_eq!(check(&empty, &["ka"]), KeyCheck::Unknown);
}

/// Guards against accounts that are accepted although a key does not tell them apart or cannot be sent, and against
/// refusals and debug output that contain a key.
#[test]
fn invalid_accounts_are_refused_without_their_keys() {
    let long = "k".repeat(4_097);
    let shared = accounts(vec![
        account("a", None, &["secret-1", "x"]),
        account("b", None, &["y", "secret-1"]),
    ]);
    let Err(ConfigError::SharedKey { first, second }) = &shared else {
        panic!("{shared:?}");
    };
    assert_eq!((first.as_str(), second.as_str()), ("a", "b"));
    assert!(!shared.unwrap_err().to_string().contains("secret"));
    for api_key in ["", " secret", "secret\t", "sec\nret", "secret\0", &long] {
        let refused = accounts(vec![account("a", None, &[api_key])]);
        let Err(ConfigError::InvalidAccount { account, field, .. }) = &refused else {
            panic!("{refused:?}");
        };
        assert_eq!((account.as_str(), *field), ("a", "keys"));
        assert!(!refused.unwrap_err().to_string().contains("secret"));
    }
    assert!(accounts(vec![account("\n", None, &["k"])]).is_err());
    let valid = accounts(vec![account(
        "a",
        None,
        &["secret key", &long[1..], "sécret"],
    )]);
    let valid = valid.expect("a header can carry these keys");
    assert_eq!((valid.account_count(), valid.key_count()), (1, 3));
    assert!(!format!("{:?}", config(false, Some(valid))).contains("cret"));
}

seeded::quickcheck! {
    /// Guards against a look-up that finds another account than a plain search does.
    fn a_lookup_equals_a_plain_search(owners: Vec<u8>, asked: Vec<u8>) -> bool {
        let key = |number: u8| format!("key-{number}").into_bytes();
        let mut named: Vec<AccountKeys> = Vec::new();
        for number in 0..=u8::MAX {
            if let Some(owner) = owners.get(usize::from(number)) {
                let name = format!("account-{}", owner % 5);
                let known = named.iter_mut().find(|known| known.account.name == name);
                match known {
                    Some(known) => known.api_keys.push(key(number)),
                    None => named.push(AccountKeys {
                        account: Account { name: name.into(), rank: None },
                        api_keys: vec![key(number)],
                    }),
                }
            }
        }
        let known = accounts(named).expect("the keys differ");
        asked.iter().all(|number| {
            let owner = owners.get(usize::from(*number));
            let expected = owner.map(|owner| format!("account-{}", owner % 5));
            known.find(&key(*number)).map(|found| found.name.to_string()) == expected
        })
    }
}
