//! The client accounts of a configuration: their API keys, and the look-up of the account of a request.
//!
//! Keys are kept only as hashes under a secret of the process, so that neither a dump of its memory nor the duration of
//! a look-up tells anything about a key.

use std::fmt;

use conf::Name;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::config::ConfigError;

/// Largest API key, in bytes. A key must fit into the head of a request.
const MAX_KEY_BYTES: usize = 4_096;
/// Number of leading bytes of a hash by which keys are searched.
const SEARCH_BYTES: usize = 8;

/// Hash of an API key under the secret of the process.
type KeyHash = [u8; 32];

/// The secret under which a process hashes API keys.
#[derive(Clone)]
pub struct KeyHasher {
    keyed: Hmac<Sha256>,
}

impl KeyHasher {
    /// Creates a hasher from random bytes, which are to be new for each process.
    pub fn new(secret: &[u8; 32]) -> Self {
        let keyed = Hmac::<Sha256>::new_from_slice(secret);
        Self {
            keyed: keyed.expect("a key of this type may have any length"),
        }
    }

    fn hash(&self, api_key: &[u8]) -> KeyHash {
        let mut keyed = self.keyed.clone();
        keyed.update(api_key);
        keyed.finalize().into_bytes().into()
    }
}

impl fmt::Debug for KeyHasher {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHasher")
    }
}

/// A client account, with its API keys as the operator wrote them.
pub struct AccountKeys {
    /// The account without its keys.
    pub account: Account,
    /// API keys. An account without keys is valid, and no request belongs to it.
    pub api_keys: Vec<Vec<u8>>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub name: Name,
    /// Rank of the account's requests, which goes before the rank of their route.
    pub rank: Option<u8>,
}

/// What the API key of a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyCheck<'a> {
    /// The request needs no key and belongs to no account.
    NotNeeded,
    /// The key belongs to an account.
    Known(&'a Account),
    /// The request needs a key and has none, an unknown one, or several.
    Unknown,
}

/// The client accounts of a configuration.
#[derive(Clone)]
pub struct Accounts {
    hasher: KeyHasher,
    accounts: Vec<Account>,
    /// Hashes of all keys in ascending order, each with the index of its account.
    keys: Vec<(KeyHash, u32)>,
}

impl Accounts {
    /// Hashes the keys of accounts and validates them.
    ///
    /// # Errors
    /// Returns the first fault found. The error names accounts and fields, but no key.
    pub fn new(hasher: KeyHasher, accounts: Vec<AccountKeys>) -> Result<Self, ConfigError> {
        let mut keys = Vec::new();
        let mut named = Vec::new();
        for AccountKeys { account, api_keys } in accounts {
            let invalid = |field, reason| ConfigError::InvalidAccount {
                account: account.name.clone(),
                field,
                reason,
            };
            validate_header_value(account.name.as_bytes())
                .map_err(|reason| invalid("name", reason))?;
            let index = named.len() as u32;
            for api_key in api_keys {
                validate_header_value(&api_key).map_err(|reason| invalid("keys", reason))?;
                keys.push((hasher.hash(&api_key), index));
            }
            named.push(account);
        }
        keys.sort_unstable();
        // An account may list a key twice.
        keys.dedup();
        let shared = keys.windows(2).find(|pair| pair[0].0 == pair[1].0);
        if let Some([(_, first), (_, second)]) = shared {
            return Err(ConfigError::SharedKey {
                first: named[*first as usize].name.clone(),
                second: named[*second as usize].name.clone(),
            });
        }
        keys.shrink_to_fit();
        Ok(Self {
            hasher,
            accounts: named,
            keys,
        })
    }

    /// Returns the account that has an API key. The duration does not depend on how much of the key is right.
    pub fn find(&self, api_key: &[u8]) -> Option<&Account> {
        let hash = self.hasher.hash(api_key);
        let search = |hash: &KeyHash| -> [u8; SEARCH_BYTES] { std::array::from_fn(|i| hash[i]) };
        let begin = search(&hash);
        // The search reveals leading bytes of a hash at most, from which nothing follows without the secret.
        let first = self
            .keys
            .partition_point(|(known, _)| search(known) < begin);
        let candidates = self.keys[first..].iter();
        let mut found = None;
        for (known, index) in candidates.take_while(|(known, _)| search(known) == begin) {
            if bool::from(known.ct_eq(&hash)) {
                found = Some(*index);
            }
        }
        self.accounts.get(found? as usize)
    }

    /// Returns the number of accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the number of keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}

impl fmt::Debug for Accounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Accounts")
            .field("accounts", &self.accounts)
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl PartialEq for Accounts {
    fn eq(&self, other: &Self) -> bool {
        self.accounts == other.accounts && self.keys == other.keys
    }
}

impl Eq for Accounts {}

/// Checks that a header can carry a value.
fn validate_header_value(value: &[u8]) -> Result<(), &'static str> {
    let (Some(first), Some(last)) = (value.first(), value.last()) else {
        return Err("is empty");
    };
    if value.len() > MAX_KEY_BYTES {
        return Err("is longer than 4096 bytes");
    }
    let is_blank = |byte: &u8| matches!(byte, b' ' | b'\t');
    if is_blank(first) || is_blank(last) {
        return Err("begins or ends with a blank");
    }
    let is_carried = |byte: &u8| *byte == b'\t' || (*byte >= b' ' && *byte != 0x7f);
    match value.iter().all(is_carried) {
        true => Ok(()),
        false => Err("contains a byte that a header cannot carry"),
    }
}
