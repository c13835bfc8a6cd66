//! The first start of the replicas, as processes on loopback.

mod join_support;

use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use join_support::{Processes, free_ports, join, send, wait_for};
use serde_json::{Value, json};

const REPLICAS: usize = 3;

/// Returns the settings of a replica. Those of a restart do not name the founders.
fn settings(folder: &Path, ports: (u16, u16), index: usize, is_first_start: bool) -> Value {
    let ip = |index: usize| format!("127.0.3.{}", index + 1);
    let (control, peers) = ports;
    let seeds: Vec<_> = (0..REPLICAS)
        .map(|index| format!("{}:{control}", ip(index)))
        .collect();
    json!({
        "Serves": ["control"], "Ip": ip(index), "Zone": format!("zone-{index}"),
        "Listen": { "Control": seeds[index] }, "InternalPorts": [peers, peers], "Seeds": seeds,
        "Bootstrap": is_first_start, "DataDir": folder.join(format!("data-{index}")),
        "FaultTolerance": { "Machines": 1 },
        "Bounds": { "GraceS": 8, "BudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 50, "LeaseMs": 500 },
        "Cloud": { "Address": format!("127.0.3.100:{control}"), "Duties": [] },
    })
}

/// Guards against a log that is never formed because each founder was restarted before it could form the log, and no longer
/// knows that it is a founder.
#[test]
fn the_log_is_formed_although_all_founders_were_restarted() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let [control, peers, ..] = free_ports();
    let start = |index: usize, is_first_start: bool| {
        let settings = settings(folder.path(), (control, peers), index, is_first_start);
        let path = folder.path().join(format!("settings-{index}.yaml"));
        join(&path, &settings)
    };
    let mut processes = Processes(Vec::new());
    for index in 0..REPLICAS {
        let address = format!("127.0.3.{}:{control}", index + 1);
        let mut first = start(index, true);
        wait_for("the replica", || TcpStream::connect(&address).is_ok());
        std::thread::sleep(Duration::from_millis(100));
        // No log can be formed without the last founder.
        first.kill().expect("the process runs");
        first.wait().expect("the process has ended");
        if index + 1 < REPLICAS {
            continue;
        }
        processes.0 = (0..REPLICAS).map(|index| start(index, false)).collect();
    }
    let document = json!({ "Version": 1, "Routes": [], "Services": [] }).to_string();
    wait_for("the configuration", || {
        (0..REPLICAS).any(|index| {
            let address = format!("127.0.3.{}:{control}", index + 1);
            let answer = send(&address, "POST /Config.Replace", "", &document);
            answer.is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
        })
    });
}
