//! Prints the time to look up an API key and the memory of the client accounts.
//!
//! `cargo run --release -p gateway --example key_lookup`

use std::hint::black_box;
use std::time::Instant;

use gateway::{Account, AccountKeys, Accounts, KeyHasher};

const LOOKUPS: usize = 200_000;
const KEYS_PER_ACCOUNT: usize = 4;
const PAGE_BYTES: usize = 4_096;

fn api_key(account: usize, number: usize) -> Vec<u8> {
    format!("k{:019x}", account * 1_000_003 + number).into_bytes()
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("the figures are readable");
    let pages = text.split_whitespace().nth(1).expect("a count of pages");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

fn main() {
    println!("accounts    keys  known_ns  unknown_ns  resident_bytes_per_key");
    for count in [77, 1_000, 10_000] {
        let before = resident_bytes();
        let listed = (0..count).map(|account| AccountKeys {
            account: Account {
                name: format!("account-{account}").into(),
                rank: None,
            },
            api_keys: (0..KEYS_PER_ACCOUNT)
                .map(|number| api_key(account, number))
                .collect(),
        });
        let accounts = Accounts::new(KeyHasher::new(&[7; 32]), listed.collect());
        let accounts = accounts.expect("the keys differ");
        let grown = resident_bytes().saturating_sub(before);
        let lookup_ns = |is_known: bool| {
            let offset = if is_known { 0 } else { KEYS_PER_ACCOUNT };
            let keys: Vec<Vec<u8>> = (0..count).map(|account| api_key(account, offset)).collect();
            let start = Instant::now();
            for key in keys.iter().cycle().take(LOOKUPS) {
                assert_eq!(black_box(accounts.find(key)).is_some(), is_known);
            }
            start.elapsed().as_nanos() / LOOKUPS as u128
        };
        println!(
            "{count:8}  {:6}  {:8}  {:10}  {:22}",
            accounts.key_count(),
            lookup_ns(true),
            lookup_ns(false),
            grown / accounts.key_count(),
        );
    }
}
