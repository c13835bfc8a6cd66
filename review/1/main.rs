//! Two core machines are replaced as planned, one second after the other; their successors started long before.

use std::path::Path;

use common::{
    BROKEN, Deployment, HELD, List, Process, Recorder, SIGTERM, configuration, give_up,
    has_trouble, sleep_ms,
};

/// The successors have run for this long when the first machine is stopped: `CatchUpS` (4) and more.
const SUCCESSOR_HEAD_START_MS: u64 = 10_000;
/// From the end of the first machine's process to the SIGTERM of the second one.
const GAP_MS: u64 = 1_000;
/// Time for which the machine without its disk is down (VARIANT=disk).
const DOWN_MS: u64 = 1_000;
/// `CatchUpS` and `RecoveryS` after the last event, and twice the latter.
const CATCH_UP_MS: u64 = 4_000;
const RECOVERY_MS: u64 = 12_000;
const READ_MS: u64 = 24_000;

fn main() {
    let folder = std::env::args()
        .nth(1)
        .unwrap_or_else(|| give_up("no folder"));
    let recorder = Recorder::new(Path::new(&folder));
    let code = play(&recorder);
    recorder.write(&format!("exit code {code}"));
    std::process::exit(code);
}

fn play(recorder: &Recorder) -> i32 {
    // VARIANT=one: only the first machine is replaced. VARIANT=disk: instead of being replaced, the second machine loses its
    // disk and is back a second later.
    let variant = std::env::var("VARIANT").unwrap_or_default();
    let deployment = Deployment::new("1", recorder.clone());
    let list = List::default();
    list.serve(deployment.list_address);
    let (a, b, c) = (
        deployment.core_ip(1, 1),
        deployment.core_ip(2, 1),
        deployment.core_ip(3, 1),
    );
    let (a_next, b_next) = (deployment.core_ip(1, 2), deployment.core_ip(2, 2));
    let mut first = deployment.start_core(a, 1, true, "disk-a");
    let mut second = deployment.start_core(b, 2, true, "disk-b");
    let _third = deployment.start_core(c, 3, true, "disk-c");
    if !deployment.publish(&[a, b, c], &configuration(7, "rota-app"), 10_000) {
        give_up("the first configuration was not acknowledged");
    }

    // Planned work: the successors first, at new addresses and with empty disks.
    let _first_next = deployment.start_core(a_next, 1, false, "disk-a-next");
    let _second_next =
        (variant != "disk").then(|| deployment.start_core(b_next, 2, false, "disk-b-next"));
    sleep_ms(SUCCESSOR_HEAD_START_MS);
    if !deployment.publish(&[a, b, c], &configuration(9, "rota-app"), 10_000) {
        give_up("the second configuration was not acknowledged");
    }
    let mut cores = vec![a, b, c, a_next];
    if variant != "disk" {
        cores.push(b_next);
    }
    let _second_again;
    if has_trouble() {
        stop(&mut first);
        cores.retain(|core| *core != a);
        sleep_ms(GAP_MS);
        match variant.as_str() {
            "one" => {}
            "disk" => {
                second.kill();
                recorder.write("the disk of that machine is lost");
                sleep_ms(DOWN_MS);
                _second_again = deployment.start_core(b, 2, false, "disk-b-empty");
            }
            _ => {
                stop(&mut second);
                cores.retain(|core| *core != b);
            }
        }
    }
    sleep_ms(CATCH_UP_MS + RECOVERY_MS);

    let read = deployment.describe(&cores, READ_MS);
    let has_newest = read
        .as_ref()
        .is_some_and(|body| body.contains("\"Version\":9"));
    recorder.write(match (&read, has_newest) {
        (None, _) => "CONFIG: read back, the acknowledged version 9 doesn't come",
        (Some(_), false) => {
            "CONFIG: read back, the configuration is older than the acknowledged version 9"
        }
        (Some(_), true) => "read back, the configuration is the acknowledged version 9",
    });
    let is_accepted = deployment.publish(&cores, &configuration(11, "rota-app"), 8_000);
    recorder.write(&format!(
        "a further configuration was acknowledged: {is_accepted}"
    ));
    match has_newest {
        true => HELD,
        false => BROKEN,
    }
}

/// Stops a machine's process, which ends by itself and never comes back.
fn stop(process: &mut Process) {
    process.signal(SIGTERM);
    if !process.wait(8_000) {
        give_up("the process did not end within GraceS");
    }
}
