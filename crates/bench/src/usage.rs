//! What a process has used: CPU time and counters of its metrics.

/// Clock ticks in a second, as Linux reports CPU time.
const TICKS_PER_S: f64 = 100.0;

/// Position of the user time after the command name in `/proc/PID/stat`.
const USER_TIME: usize = 11;

/// CPU time in seconds, user and system, from the text of `/proc/PID/stat`.
pub fn cpu_s(stat: &str) -> Option<f64> {
    // The command name is in parentheses and may hold spaces.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}

/// Sum of a counter over all its labels, from metrics in the text format of Prometheus.
pub fn counter(metrics: &str, name: &str) -> f64 {
    metrics
        .lines()
        .filter(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with(['{', ' ']))
        })
        .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
        .sum()
}

/// Use of one instance, or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time in seconds.
    pub cpu_s: f64,
    /// Bytes sent to peers.
    pub peer_sent_bytes: f64,
    /// Attempts after the first.
    pub retries: f64,
    /// Role changes that were ordered.
    pub role_changes: f64,
}

impl Usage {
    /// Reads the texts of `/proc/PID/stat` and of the metrics.
    pub fn read(stat: &str, metrics: &str) -> Self {
        Self {
            cpu_s: cpu_s(stat).unwrap_or_default(),
            peer_sent_bytes: counter(metrics, "mustardstack_peer_sent_bytes_total"),
            retries: counter(metrics, "mustardstack_retries_total"),
            role_changes: counter(metrics, "mustardstack_role_changes_total"),
        }
    }

    /// What was used since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            cpu_s: self.cpu_s - earlier.cpu_s,
            peer_sent_bytes: self.peer_sent_bytes - earlier.peer_sent_bytes,
            retries: self.retries - earlier.retries,
            role_changes: self.role_changes - earlier.role_changes,
        }
    }
}
