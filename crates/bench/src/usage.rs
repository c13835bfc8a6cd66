//! Resource usage of a process: CPU time and counters from its metrics.

/// Clock ticks per second in which Linux reports CPU time.
const TICKS_PER_S: f64 = 100.0;

/// Index of the user time among the fields after the command name in `/proc/PID/stat`.
const USER_TIME_INDEX: usize = 11;

/// Returns the user and system CPU time in seconds from the text of `/proc/PID/stat`, or `None` if it is malformed.
pub fn cpu_s(stat: &str) -> Option<f64> {
    // The command name is in parentheses and may contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME_INDEX);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}

/// Returns the sum of a counter over all its label sets, from metrics in the Prometheus text format.
pub fn counter_sum(metrics: &str, name: &str) -> f64 {
    metrics
        .lines()
        .filter(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with(['{', ' ']))
        })
        .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
        .sum()
}

/// Resource usage of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time in seconds.
    pub cpu_s: f64,
    /// Bytes sent to peers.
    pub peer_sent_bytes: f64,
    /// Number of attempts after the first attempt of a request.
    pub retries: f64,
    /// Number of role changes that were ordered.
    pub role_changes: f64,
}

impl Usage {
    /// Parses the texts of `/proc/PID/stat` and of the metrics. Values that are missing are 0.
    pub fn read(stat: &str, metrics: &str) -> Self {
        Self {
            cpu_s: cpu_s(stat).unwrap_or_default(),
            peer_sent_bytes: counter_sum(metrics, "mustardstack_peer_sent_bytes_total"),
            retries: counter_sum(metrics, "mustardstack_retries_total"),
            role_changes: counter_sum(metrics, "mustardstack_role_changes_total"),
        }
    }

    /// Returns the usage since `earlier`.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            cpu_s: self.cpu_s - earlier.cpu_s,
            peer_sent_bytes: self.peer_sent_bytes - earlier.peer_sent_bytes,
            retries: self.retries - earlier.retries,
            role_changes: self.role_changes - earlier.role_changes,
        }
    }
}
