//! Parsing of settings, presets, CPU times and metrics.

use bench::{Case, Error, Policy, Settings, usage};

/// Guards against a preset that no longer parses or no longer has the sizes of the modelled deployment.
#[test]
fn presets_have_the_sizes_of_the_deployments() {
    for (name, engines) in [("cooperative", 10), ("trust", 20)] {
        let settings: Settings = format!("preset = \"{name}\"").parse().unwrap();
        let preset = settings.preset().unwrap();
        assert_eq!((preset.engines, preset.workers), (engines, 3));
        assert_eq!((preset.entries, preset.voters), (6, 3));
        assert_eq!(preset.availability_zones.len(), 3);
        assert_eq!(preset.floors.len(), preset.load.ranks.len());
        assert_eq!(preset.queue_limits.len(), preset.load.ranks.len());
        assert!(preset.floors.iter().sum::<f64>() <= 1.0);
    }
}

/// Guards against settings with an unknown preset, an unknown key, no baseline or no seeds that are accepted.
#[test]
fn invalid_settings_are_refused() {
    let unknown: Settings = "preset = \"guild\"".parse().unwrap();
    assert!(matches!(unknown.preset(), Err(Error::Invalid(_))));
    assert!("sedes = [1]".parse::<Settings>().is_err());
    assert!("policies = [\"own\"]".parse::<Settings>().is_err());
    assert!("seeds = []".parse::<Settings>().is_err());
}

/// Guards against a case or policy whose name in settings differs from its name in the table.
#[test]
fn names_in_settings_are_those_of_the_table() {
    for (case, name) in Case::ALL {
        let text = format!("cases = [\"{name}\"]");
        assert_eq!(text.parse::<Settings>().unwrap().cases, [case]);
    }
    for (policy, name) in Policy::ALL {
        let text = format!("policies = [\"{name}\", \"least_outstanding\"]");
        assert_eq!(text.parse::<Settings>().unwrap().policies[0], policy);
    }
}

/// Guards against a command name with spaces or parentheses that shifts the fields.
#[test]
fn cpu_time_is_found_after_any_command_name() {
    let stat = "12 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20";
    assert_eq!(usage::cpu_s(stat), Some(2.0));
    assert_eq!(usage::cpu_s("12 (a"), None);
}

/// Guards against sums that include counters with a longer name, or that miss labels with spaces.
#[test]
fn counters_are_summed_over_their_labels() {
    let text = "# TYPE a_total counter\na_total{x=\"1 2\"} 3\na_total{x=\"2\"} 4\na_total_more 9\n";
    assert_eq!(usage::counter_sum(text, "a_total"), 7.0);
    assert_eq!(usage::counter_sum("b_total 5\n", "b_total"), 5.0);
}
