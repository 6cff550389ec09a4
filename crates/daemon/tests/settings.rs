//! Settings: each problem has its code, line and field, and all are reported at once.

use dockwood_daemon::settings::{Problem, Settings};
use std::io::Write;
use std::time::Duration;
use yare::parameterized;

const VALID: &str = "\
name: e1
region: r
zone: z
listen:
  http: 127.0.0.1:7000
  peer: 127.0.0.1:7001
control:
  voters:
    - {id: 1, name: e1, peer: 127.0.0.1:7001}
    - {id: 2, name: e2, peer: 127.0.0.2:7001}
  dataFolder: data
tokens:
  - {name: ops, role: write, token: a-token}
";

fn read(text: &str) -> Result<Settings, Vec<Problem>> {
    let mut file = tempfile::NamedTempFile::new().unwrap_or_else(|error| panic!("{error}"));
    file.write_all(text.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
    Settings::read(file.path())
}

fn problems(text: &str) -> Vec<(u16, usize, String)> {
    let found = read(text).err().unwrap_or_default();
    found.into_iter().map(|problem| (problem.code.number(), problem.line, problem.field)).collect()
}

#[test]
fn valid_settings_are_read_with_defaults() {
    let settings = read(VALID).unwrap_or_else(|problems| panic!("{problems:?}"));
    assert_eq!(settings.own_voter().map(|voter| voter.id), Some(1));
    assert_eq!(settings.entry_lifetime.as_secs(), 10);
    assert_eq!(settings.peer_bind, settings.peer);
    assert!(settings.tokens[0].digest.starts_with("sha256:"));
}

#[parameterized(
    unknown_key = { "zone: z\n", "zone: z\nzoom: 1\n", 7003, 4, "zoom" },
    unknown_nested_key = { "  peer: 127.0.0.1:7001\ncontrol", "  peer: 127.0.0.1:7001\n  pear: 1\ncontrol", 7003, 7, "listen.pear" },
    missing_key = { "zone: z\n", "", 7004, 1, "zone" },
    bad_name = { "name: e1\nregion", "name: E_1\nregion", 7005, 1, "name" },
    bad_address = { "http: 127.0.0.1:7000", "http: localhost", 7006, 5, "listen.http" },
    port_zero = { "http: 127.0.0.1:7000", "http: 127.0.0.1:0", 7006, 5, "listen.http" },
    overlapping_port = { "http: 127.0.0.1:7000", "http: 0.0.0.0:7001", 7007, 6, "listen.peer" },
    voters_share_an_address = { "127.0.0.2:7001", "127.0.0.1:7001", 7007, 10, "control.voters[1]" },
    voters_share_an_id = { "id: 2", "id: 1", 7009, 10, "control.voters[1]" },
    voter_without_folder = { "  dataFolder: data\n", "", 7008, 8, "control.dataFolder" },
    own_voter_with_other_address = { "name: e1, peer: 127.0.0.1:7001", "name: e1, peer: 127.0.0.9:7001", 7005, 9, "control.voters[0]" },
    bad_peer_bind = { "  peer: 127.0.0.1:7001\ncontrol", "  peer: 127.0.0.1:7001\n  peerBind: nowhere\ncontrol", 7006, 7, "listen.peerBind" },
    overlapping_peer_bind = { "  peer: 127.0.0.1:7001\ncontrol", "  peer: 127.0.0.1:7001\n  peerBind: 127.0.0.1:7000\ncontrol", 7007, 7, "listen.peerBind" },
    bad_role = { "role: write", "role: admin", 7005, 13, "tokens[0].role" },
    duplicate_key = { "zone: z\n", "zone: z\nzone: y\n", 7009, 4, "" },
    invalid_yaml = { "tokens:\n", "tokens: [\n", 7002, 13, "" },
)]
fn a_problem_has_its_code_line_and_field(from: &str, to: &str, code: u16, line: usize, field: &str) {
    assert!(VALID.contains(from));
    let found = problems(&VALID.replacen(from, to, 1));
    assert!(found.contains(&(code, line, field.to_string())), "{found:?}");
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = VALID
        .replace("zone: z", "zone: z\nzoom: 1")
        .replace("http: 127.0.0.1:7000", "http: nowhere")
        .replace("role: write", "role: admin")
        .replace("id: 2", "id: none");
    let codes: Vec<u16> = problems(&text).into_iter().map(|problem| problem.0).collect();
    assert_eq!(codes, [7003, 7006, 7005, 7005]);
}

#[test]
fn a_missing_file_has_its_own_code() {
    let found = Settings::read(std::path::Path::new("/nonexistent/settings.yaml")).err().unwrap_or_default();
    assert_eq!(found.iter().map(|problem| problem.code.number()).collect::<Vec<_>>(), [7001]);
}

#[test]
fn tokens_are_not_contained_in_debug_output() {
    let settings = read(VALID).unwrap_or_else(|problems| panic!("{problems:?}"));
    assert!(!format!("{settings:?}").contains("a-token"));
}

#[test]
fn seeds_and_tolerated_losses_are_read() {
    let by_seeds = |losses: &str| {
        let control =
            format!("  seeds: [\"127.0.0.1:9\"]\n  seedPeerPort: 7001\n  lossesTolerated: {losses}\n");
        let head = VALID.split("control:").next().unwrap_or_default().to_string();
        let tokens = "tokens:\n  - {name: ops, role: write, token: a-token}\n";
        format!("{head}control:\n{control}  founding: false\n  member: true\n  dataFolder: data\n{tokens}")
    };
    let settings = read(&by_seeds("2")).unwrap_or_else(|problems| panic!("{problems:?}"));
    assert_eq!(settings.seeds.losses_tolerated, 2);
    assert!(!settings.seeds.tolerates_zone_loss);
    let codes = |losses: &str| -> Vec<u16> {
        problems(&by_seeds(losses)).into_iter().map(|problem| problem.0).collect()
    };
    assert_eq!(codes("many"), [7005]);
    let settings =
        read(&by_seeds("1\n  zoneLossesTolerated: 1")).unwrap_or_else(|problems| panic!("{problems:?}"));
    assert!(settings.seeds.tolerates_zone_loss);
    assert_eq!(codes("1\n  zoneLossesTolerated: 2"), [7005]);
}

const GATEWAY: &str = "\
gateway:
  operators: 127.0.0.1:7002
  stopLimitSeconds: 7.25
  stallMs: 6000.0
  revokedWithinMs: 5000.9
  retryBudget: {ratio: 0.2, windowSeconds: 2.5, extra: 3.16}
";

/// Guards against the failure of a scaled-down deployment: the platform divided numbers in the settings, which were no longer
/// whole, and every entry rejected its settings and exited.
#[test]
fn numbers_with_a_fraction_are_rounded_down() {
    let settings = read(&format!("{VALID}{GATEWAY}")).unwrap_or_else(|problems| panic!("{problems:?}"));
    let Some(gateway) = settings.gateway else { panic!("the settings have no gateway") };
    assert_eq!(gateway.stop_limit, Duration::from_millis(7_250));
    assert_eq!(gateway.stall, Duration::from_secs(6));
    assert_eq!(gateway.revoked_within, Some(Duration::from_secs(5)));
    assert_eq!((gateway.retry_budget.window, gateway.retry_budget.extra), (Duration::from_millis(2_500), 3));
}

#[parameterized(
    negative = { "extra: 3.16", "extra: -1", "gateway.retryBudget.extra" },
    not_a_number = { "extra: 3.16", "extra: NaN", "gateway.retryBudget.extra" },
    infinite = { "extra: 3.16", "extra: inf", "gateway.retryBudget.extra" },
    too_many = { "extra: 3.16", "extra: 1e9", "gateway.retryBudget.extra" },
    not_a_duration = { "windowSeconds: 2.5", "windowSeconds: soon", "gateway.retryBudget.windowSeconds" },
    too_short = { "stopLimitSeconds: 7.25", "stopLimitSeconds: 0.5", "gateway.stopLimitSeconds" },
)]
fn an_invalid_number_is_rejected(from: &str, to: &str, field: &str) {
    let found = problems(&format!("{VALID}{}", GATEWAY.replacen(from, to, 1)));
    assert!(found.iter().any(|(code, _, found)| *code == 7005 && found == field), "{found:?}");
}

#[test]
fn zones_are_read_with_their_regions() {
    let settings = read(&format!("{VALID}gateway:\n  zones: {{ a-1: a, a-2: a, b-1: b }}\n"));
    let gateway = settings.unwrap_or_else(|problems| panic!("{problems:?}")).gateway;
    let regions = gateway.map(|gateway| gateway.zone_regions).unwrap_or_default();
    assert_eq!(regions.get("a-2").map(String::as_str), Some("a"));
    assert_eq!(regions.len(), 3);
}

#[parameterized(
    not_a_mapping = { "zones: a", 7005, "gateway.zones" },
    region_missing = { "zones: { a-1: [] }", 7005, "gateway.zones.a-1" },
)]
fn zones_without_regions_are_rejected(zones: &str, code: u16, field: &str) {
    let found = problems(&format!("{VALID}gateway:\n  {zones}\n"));
    assert_eq!(found, [(code, 15, field.to_string())]);
}

#[parameterized(
    absent = { "operators: 127.0.0.1:7002", 100, 0 },
    both = { "coldLimit: { overshoot: 1.5, extra: 5 }", 150, 5 },
    fractions_are_rounded_down = { "coldLimit: { overshoot: 1.239, extra: 5.9 }", 123, 5 },
    below_the_declared_rate = { "coldLimit: { overshoot: 0.5 }", 50, 0 },
)]
fn the_limit_of_cold_servers_is_read(line: &str, overshoot_percent: u64, extra: u64) {
    let settings = read(&format!("{VALID}gateway:\n  {line}\n"));
    let limit = settings.unwrap_or_else(|problems| panic!("{problems:?}")).cold_limit();
    assert_eq!((limit.overshoot_percent, limit.extra), (overshoot_percent, extra));
}

#[parameterized(
    negative = { "{ overshoot: -1.5 }", "overshoot" },
    zero = { "{ overshoot: 0 }", "overshoot" },
    below_one_percent = { "{ overshoot: 0.001 }", "overshoot" },
    too_large = { "{ overshoot: 1e9 }", "overshoot" },
    not_a_number = { "{ overshoot: NaN }", "overshoot" },
    infinite = { "{ overshoot: inf }", "overshoot" },
    negative_extra = { "{ extra: -1 }", "extra" },
    too_large_extra = { "{ extra: 1e9 }", "extra" },
    not_a_number_extra = { "{ extra: many }", "extra" },
)]
fn an_invalid_limit_of_cold_servers_is_rejected(limit: &str, field: &str) {
    let found = problems(&format!("{VALID}gateway:\n  coldLimit: {limit}\n"));
    assert_eq!(found, [(7005, 15, format!("gateway.coldLimit.{field}"))]);
}

#[test]
fn limits_are_read_and_the_others_have_defaults() {
    let limits = |text: &str| read(text).unwrap_or_else(|problems| panic!("{problems:?}")).limits;
    let read = limits(&format!(
        "{VALID}limits: {{ memoryMegabytes: 112.5, fileDescriptors: 2870, headTimeoutMs: 2500 }}\n"
    ));
    assert_eq!((read.memory_bytes, read.file_descriptors), (112 << 20, 2_870));
    assert_eq!(read.head_timeout, Duration::from_millis(2_500));
    let defaults = limits(VALID);
    assert_eq!((read.head_bytes, read.body_timeout), (defaults.head_bytes, defaults.body_timeout));
    assert_eq!(defaults.memory_bytes, 256 << 20);
}

#[parameterized(
    too_little_memory = { "memoryMegabytes: 15", 7005, "limits.memoryMegabytes" },
    too_few_descriptors = { "fileDescriptors: 0", 7005, "limits.fileDescriptors" },
    small_heads = { "headBytes: 100", 7005, "limits.headBytes" },
    no_time_for_heads = { "headTimeoutMs: 0", 7005, "limits.headTimeoutMs" },
    no_time_for_bodies = { "bodyTimeoutMs: never", 7005, "limits.bodyTimeoutMs" },
    unknown = { "memory: 112", 7003, "limits.memory" },
)]
fn an_invalid_limit_is_rejected(line: &str, code: u16, field: &str) {
    let found = problems(&format!("{VALID}limits:\n  {line}\n"));
    assert_eq!(found, [(code, 15, field.to_string())]);
}
