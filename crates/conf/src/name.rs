//! Shared immutable names and the map types keyed by them.

/// A shared immutable string that names an instance, tenant, upstream or any other configured item.
pub type Name = faststr::FastStr;

/// A hash map with a fast hasher. Its iteration order is the same on every run.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::FixedState>;

/// A hash set with a fast hasher. Its iteration order is the same on every run.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::FixedState>;
