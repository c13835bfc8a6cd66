//! Replicas whose disks are full for some time, as processes on loopback.

mod join_support;

use std::cell::Cell;
use std::path::Path;
use std::time::{Duration, Instant};

use join_support::{
    Processes, free_ports, join_with_refusable_writes, send, set_largest_file, wait_for,
};
use serde_json::{Value, json};

const REPLICAS: usize = 3;
/// Time for which a disk is full.
const FULL: Duration = Duration::from_millis(2_500);

struct Deployment<'a> {
    folder: &'a Path,
    control: u16,
    peers: u16,
    version: Cell<u64>,
}

impl Deployment<'_> {
    fn ip(index: usize) -> String {
        format!("127.0.4.{}", index + 1)
    }

    fn address(&self, index: usize) -> String {
        format!("{}:{}", Self::ip(index), self.control)
    }

    fn settings(&self, index: usize) -> Value {
        let seeds: Vec<_> = (0..REPLICAS).map(|index| self.address(index)).collect();
        json!({
            "Serves": ["control"], "Ip": Self::ip(index), "Zone": format!("zone-{index}"),
            "Listen": { "Control": seeds[index] }, "InternalPorts": [self.peers, self.peers], "Seeds": seeds,
            "Bootstrap": true, "DataDir": self.folder.join(format!("data-{index}")),
            "FaultTolerance": { "Machines": 1 },
            "Bounds": { "GraceS": 8, "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 50, "LeaseMs": 500 },
            "Cloud": { "Address": format!("127.0.4.100:{}", self.control), "Duties": [] },
        })
    }

    /// Publishes the next version. Returns whether a replica has acknowledged it.
    fn publish(&self) -> bool {
        self.version.set(self.version.get() + 1);
        let document = json!({ "Version": self.version.get(), "Routes": [], "Services": [] });
        (0..REPLICAS).any(|index| {
            let answer = send(
                &self.address(index),
                "POST /Config.Replace",
                "",
                &document.to_string(),
            );
            answer.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
        })
    }

    /// Returns whether the leader describes the version that was published last.
    fn describes_newest(&self) -> bool {
        let newest = format!("\"Version\":{}", self.version.get());
        (0..REPLICAS).any(|index| {
            let answer = send(&self.address(index), "GET /Config.Describe", "", "");
            answer.is_ok_and(|answer| answer.contains(&newest))
        })
    }
}

/// Guards against a replica that ends, or never takes part again, because its disk was full for some time: at the first start,
/// when a process that was started anew would no longer be a founder, or later, one replica after the other.
#[test]
fn disks_that_are_full_one_after_the_other_leave_the_log_writable() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let [control, peers, ..] = free_ports();
    let deployment = Deployment {
        folder: folder.path(),
        control,
        peers,
        version: Cell::default(),
    };
    let mut processes = Processes(Vec::new());
    for index in 0..REPLICAS {
        let path = folder.path().join(format!("settings-{index}.yaml"));
        let process = join_with_refusable_writes(&path, &deployment.settings(index));
        // The process of the first replica has no room from its start on.
        if index == 0 {
            set_largest_file(&process, Some(0));
        }
        processes.0.push(process);
    }
    std::thread::sleep(FULL);
    set_largest_file(&processes.0[0], None);
    wait_for("the log", || deployment.publish());
    for full in 0..REPLICAS {
        set_largest_file(&processes.0[full], Some(0));
        let end = Instant::now() + FULL;
        while Instant::now() < end {
            deployment.publish();
            std::thread::sleep(Duration::from_millis(100));
        }
        set_largest_file(&processes.0[full], None);
        wait_for("a further version", || deployment.publish());
    }
    wait_for("a further version", || deployment.publish());
    wait_for("the newest version", || deployment.describes_newest());
    for process in &mut processes.0 {
        let ended = process.try_wait().expect("the process was started");
        assert!(ended.is_none(), "a replica has ended: {ended:?}");
    }
}
