//! The shared string type and the hash maps and sets of the workspace.

/// An immutable string that is cheap to clone: the name of a configured item, or any other shared text.
pub type Name = faststr::FastStr;

/// A hash map with a fast hasher. Its iteration order is the same on every run.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::FixedState>;

/// A hash set with a fast hasher. Its iteration order is the same on every run.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::FixedState>;
