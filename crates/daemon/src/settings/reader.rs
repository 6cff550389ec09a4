//! Reads settings files and collects all problems instead of stopping at the first.

use super::gateway::read_gateway;
use super::limits::read_limits;
use super::section::{Located, Problems, Section, line_of};
use super::{OperatorRole, OperatorToken, SeedSettings, Settings, Voter};
use dockwood_api::ResultCode;
use dockwood_api::digest::secret_digest;
use dockwood_control::LEADER_LEASES_UP_TO;
use marked_yaml::{LoadError, Node};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Settings with the line numbers of the fields that are validated later.
pub(super) struct LocatedSettings {
    pub values: Settings,
    pub lines: BTreeMap<String, usize>,
}

const DEFAULT_ENTRY_LIFETIME_SECONDS: u64 = 10;
const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;
const DEFAULT_DEADLINE_MS: u64 = 60_000;
const DEFAULT_TRAFFIC_THREADS: u64 = 2;
const DEFAULT_LOSSES_TOLERATED: u64 = 1;
const MAX_LOSSES_TOLERATED: u64 = 3;
/// To tolerate the loss of two zones, the members would have to be spread over five zones.
const MAX_ZONE_LOSSES_TOLERATED: u64 = 1;
/// Number of ports per process in a port range: one for other daemons and one for HTTP.
const PORTS_PER_SLOT: u64 = 2;
const LOG_LEVELS: [&str; 6] = ["trace", "debug", "info", "warn", "error", "critical"];

pub(super) fn read(path: &Path, problems: &mut Problems) -> Option<LocatedSettings> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            problems.add(ResultCode::SettingsUnreadable, 0, "", error.to_string());
            return None;
        }
    };
    let options = marked_yaml::LoaderOptions::default().error_on_duplicate_keys(true);
    match marked_yaml::parse_yaml_with_options(0, text, options) {
        Ok(node) => read_document(&node, problems),
        Err(error) => {
            report_load_error(&error, problems);
            None
        }
    }
}

fn report_load_error(error: &LoadError, problems: &mut Problems) {
    let (code, line, message) = match error {
        LoadError::DuplicateKey(inner) => {
            let message = format!("key '{}' stands twice", inner.key.as_str());
            (ResultCode::SettingsDuplicate, line_of(inner.key.span()), message)
        }
        LoadError::TopLevelMustBeMapping(at)
        | LoadError::TopLevelMustBeSequence(at)
        | LoadError::UnexpectedAnchor(at)
        | LoadError::MappingKeyMustBeScalar(at)
        | LoadError::UnexpectedTag(at)
        | LoadError::ScanError(at, _) => (ResultCode::SettingsNotYaml, at.line(), error.to_string()),
    };
    problems.add(code, line, "", message);
}

fn read_document(node: &Node, problems: &mut Problems) -> Option<LocatedSettings> {
    let known = [
        "name", "region", "zone", "listen", "control", "tokens", "platform", "traffic", "log", "gateway",
        "limits",
    ];
    let top = Section::new(node, "", &known, problems)?;
    let mut lines = BTreeMap::new();
    let name = top.name("name", problems);
    let region = top.name("region", problems);
    let zone = top.name("zone", problems);
    let listen = top.required("listen", problems).and_then(|node| read_listen(node, problems));
    let control = top.required("control", problems).and_then(|node| read_control(node, &mut lines, problems));
    let gateway = match top.optional("gateway") {
        None => Some(None),
        Some(node) => read_gateway(node, problems).map(Some),
    };
    let tokens = match top.optional("tokens") {
        None if top.optional("gateway").is_some() => Some(Vec::new()),
        _ => top.required("tokens", problems).map(|node| read_tokens(&top, node, problems)),
    };
    let platform = match top.optional("platform") {
        None => Some(None),
        Some(_) => top.address("platform", problems).map(|found| Some(found.value)),
    };
    let traffic = read_traffic(top.optional("traffic"), problems);
    let log = read_log(top.optional("log"), problems);
    let limits = read_limits(top.optional("limits"), problems);

    let (listen, control, traffic, log) = (listen?, control?, traffic?, log?);
    lines.insert(listen.http.path, listen.http.line);
    lines.insert(listen.peer.path, listen.peer.line);
    let peer_bind = listen.peer_bind.map_or(listen.peer.value, |bind| {
        lines.insert(bind.path, bind.line);
        bind.value
    });
    let name = name?;
    lines.insert(name.path, name.line);
    let values = Settings {
        name: name.value,
        region: region?.value,
        zone: zone?.value,
        http: listen.http.value,
        peer: listen.peer.value,
        peer_bind,
        voters: control.voters,
        seeds: control.seeds,
        gateway: gateway?,
        data_folder: control.data_folder,
        leader_leases_up_to: control.leader_leases_up_to,
        tokens: tokens?,
        platform: platform?,
        entry_lifetime: Duration::from_secs(traffic.entry_lifetime_seconds),
        max_body_bytes: traffic.max_body_bytes as usize,
        default_deadline: Duration::from_millis(traffic.default_deadline_ms),
        traffic_threads: traffic.threads as usize,
        limits: limits?,
        log_level: log.level,
        log_file: log.file,
    };
    Some(LocatedSettings { values, lines })
}

struct Listen {
    http: Located<SocketAddr>,
    peer: Located<SocketAddr>,
    /// Where connections to `peer` arrive, if another program forwards them.
    peer_bind: Option<Located<SocketAddr>>,
}

fn read_listen(node: &Node, problems: &mut Problems) -> Option<Listen> {
    let section =
        Section::new(node, "listen", &["http", "peer", "peerBind", "ip", "ports", "slot"], problems)?;
    if section.optional("ports").is_some() {
        return read_listen_range(&section, problems);
    }
    let http = section.address("http", problems);
    let peer = section.address("peer", problems);
    let peer_bind = match section.optional("peerBind") {
        None => Some(None),
        Some(_) => section.address("peerBind", problems).map(Some),
    };
    Some(Listen { http: http?, peer: peer?, peer_bind: peer_bind? })
}

/// Derives the addresses from a port range: each process on a machine has its own slot of two ports.
fn read_listen_range(section: &Section<'_>, problems: &mut Problems) -> Option<Listen> {
    let ip_node = section.required("ip", problems)?;
    let parse = |text: &str| text.parse::<IpAddr>().ok();
    let ip = section.parse("ip", ip_node, problems, ResultCode::SettingsBadAddress, "an IP number", parse)?;
    let range = section.required("ports", problems)?;
    let ports = Section::new(range, "listen.ports", &["first", "last"], problems)?;
    let first = ports.number("first", 0, (1, 65_535), problems)?;
    let last = ports.number("last", 65_535, (1, 65_535), problems)?;
    let slot = section.number("slot", 0, (0, 1_000), problems)?;
    let (peer, http) = (first + slot * PORTS_PER_SLOT, first + slot * PORTS_PER_SLOT + 1);
    if http > last {
        let message = format!("slot {slot} needs port {http}, and the last one is {last}");
        problems.add(ResultCode::SettingsBadValue, section.line, &section.path_of("slot"), message);
        return None;
    }
    let located = |name: &str, port: u64| Located {
        value: SocketAddr::new(ip.value, port as u16),
        line: ip.line,
        path: section.path_of(name),
    };
    Some(Listen { http: located("http", http), peer: located("peer", peer), peer_bind: None })
}

struct Control {
    seeds: SeedSettings,
    voters: Vec<Voter>,
    data_folder: Option<PathBuf>,
    leader_leases_up_to: usize,
}

fn read_control(
    node: &Node,
    lines: &mut BTreeMap<String, usize>,
    problems: &mut Problems,
) -> Option<Control> {
    let known = [
        "voters",
        "dataFolder",
        "seeds",
        "seedPeerPort",
        "founding",
        "member",
        "lossesTolerated",
        "zoneLossesTolerated",
        "leaderLeasesUpTo",
    ];
    let section = Section::new(node, "control", &known, problems)?;
    let seeds = read_seeds(&section, problems);
    let leader_leases =
        section.number("leaderLeasesUpTo", LEADER_LEASES_UP_TO as u64, (0, 1_000_000), problems);
    let voters_node = match section.optional("seeds") {
        Some(_) => section.optional("voters"),
        None => section.required("voters", problems),
    };
    let items = voters_node.map(|node| section.items("voters", node, problems)).unwrap_or_default();
    let mut voters = Vec::new();
    for (path, item) in items {
        let Some(entry) = Section::new(item, &path, &["id", "name", "peer"], problems) else { continue };
        entry.required("id", problems);
        let id = entry.number("id", 0, (1, u64::MAX), problems);
        let name = entry.name("name", problems);
        let peer = entry.address("peer", problems);
        if let (Some(id), Some(name), Some(peer)) = (id, name, peer) {
            lines.insert(path, entry.line);
            voters.push(Voter { id, name: name.value, peer: peer.value });
        }
    }
    lines.insert(section.path.clone(), section.line);
    let data_folder = match section.optional("dataFolder") {
        None => None,
        Some(_) => Some(PathBuf::from(section.text("dataFolder", problems)?.value)),
    };
    let leader_leases_up_to = leader_leases? as usize;
    Some(Control { voters, seeds: seeds?, data_folder, leader_leases_up_to })
}

/// Reads the seeds: each is any address of a member of the control group, whose port is replaced by `seedPeerPort`.
fn read_seeds(section: &Section<'_>, problems: &mut Problems) -> Option<SeedSettings> {
    let Some(node) = section.optional("seeds") else { return Some(SeedSettings::default()) };
    let port = section.number("seedPeerPort", 0, (1, 65_535), problems)? as u16;
    let mut peers = Vec::new();
    for (path, item) in section.items("seeds", node, problems) {
        let address = item.as_scalar().and_then(|scalar| scalar.as_str().parse::<SocketAddr>().ok());
        match address {
            Some(address) => peers.push(SocketAddr::new(address.ip(), port)),
            None => {
                let message = "must be an address of the form IP:PORT";
                problems.add(ResultCode::SettingsBadAddress, line_of(item.span()), &path, message);
            }
        }
    }
    let founding = section.flag("founding", problems)?;
    let member = section.flag("member", problems)?;
    let losses =
        section.number("lossesTolerated", DEFAULT_LOSSES_TOLERATED, (0, MAX_LOSSES_TOLERATED), problems)?;
    let zone_losses = section.number("zoneLossesTolerated", 0, (0, MAX_ZONE_LOSSES_TOLERATED), problems)?;
    Some(SeedSettings {
        peers,
        founding,
        member,
        losses_tolerated: losses as usize,
        tolerates_zone_loss: zone_losses > 0,
    })
}

fn read_tokens(top: &Section<'_>, node: &Node, problems: &mut Problems) -> Vec<OperatorToken> {
    let mut tokens = Vec::new();
    for (path, item) in top.items("tokens", node, problems) {
        let Some(entry) = Section::new(item, &path, &["name", "role", "token"], problems) else { continue };
        let name = entry.name("name", problems);
        let role_node = entry.required("role", problems);
        let parse_role = |text: &str| match text {
            "read" => Some(OperatorRole::Read),
            "write" => Some(OperatorRole::Write),
            _ => None,
        };
        let role = role_node.and_then(|node| {
            entry.parse("role", node, problems, ResultCode::SettingsBadValue, "'read' or 'write'", parse_role)
        });
        let token = entry.text("token", problems);
        if let (Some(name), Some(role), Some(token)) = (name, role, token) {
            let digest = secret_digest(&token.value);
            tokens.push(OperatorToken { name: name.value, role: role.value, digest });
        }
    }
    tokens
}

struct Traffic {
    entry_lifetime_seconds: u64,
    max_body_bytes: u64,
    default_deadline_ms: u64,
    threads: u64,
}

fn read_traffic(node: Option<&Node>, problems: &mut Problems) -> Option<Traffic> {
    let defaults = Traffic {
        entry_lifetime_seconds: DEFAULT_ENTRY_LIFETIME_SECONDS,
        max_body_bytes: DEFAULT_MAX_BODY_BYTES,
        default_deadline_ms: DEFAULT_DEADLINE_MS,
        threads: DEFAULT_TRAFFIC_THREADS,
    };
    let Some(node) = node else { return Some(defaults) };
    let known = ["entryLifetimeSeconds", "maxBodyBytes", "defaultDeadlineMs", "threads"];
    let section = Section::new(node, "traffic", &known, problems)?;
    let lifetime =
        section.number("entryLifetimeSeconds", defaults.entry_lifetime_seconds, (1, 3_600), problems);
    let body = section.number("maxBodyBytes", defaults.max_body_bytes, (1_024, 1 << 30), problems);
    let deadline =
        section.number("defaultDeadlineMs", defaults.default_deadline_ms, (100, 3_600_000), problems);
    let threads = section.number("threads", defaults.threads, (1, 256), problems);
    Some(Traffic {
        entry_lifetime_seconds: lifetime?,
        max_body_bytes: body?,
        default_deadline_ms: deadline?,
        threads: threads?,
    })
}

struct Log {
    level: String,
    file: Option<PathBuf>,
}

fn read_log(node: Option<&Node>, problems: &mut Problems) -> Option<Log> {
    let default_level = "info".to_string();
    let Some(node) = node else { return Some(Log { level: default_level, file: None }) };
    let section = Section::new(node, "log", &["level", "file"], problems)?;
    let parse = |text: &str| LOG_LEVELS.contains(&text).then(|| text.to_string());
    let level = match section.optional("level") {
        None => Some(default_level),
        Some(node) => {
            let expected = format!("one of {}", LOG_LEVELS.join(", "));
            let found =
                section.parse("level", node, problems, ResultCode::SettingsBadValue, &expected, parse);
            found.map(|found| found.value)
        }
    };
    let file = match section.optional("file") {
        None => Some(None),
        Some(_) => section.text("file", problems).map(|found| Some(PathBuf::from(found.value))),
    };
    Some(Log { level: level?, file: file? })
}
