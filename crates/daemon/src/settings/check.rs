//! Validates settings across fields, after each field was read by itself.

use super::Settings;
use super::reader::LocatedSettings;
use super::section::Problems;
use dockwood_api::ResultCode;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub(super) fn check(settings: &LocatedSettings, problems: &mut Problems) {
    let line = |field: &str| settings.lines.get(field).copied().unwrap_or(0);
    let values = &settings.values;
    if is_conflicting(values.http, values.peer_bind) {
        let message = format!("is the address of listen.http too: {}", values.http);
        let field = if values.peer_bind == values.peer { "listen.peer" } else { "listen.peerBind" };
        problems.add(ResultCode::SettingsOverlap, line(field), field, message);
    }
    check_voters(values, &line, problems);
    check_tokens(values, problems);
}

/// Returns whether two listen addresses conflict: the same port on the same address, or on a wildcard address.
fn is_conflicting(left: SocketAddr, right: SocketAddr) -> bool {
    let has_same_ip = left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() == right.port() && has_same_ip
}

fn check_voters(values: &Settings, line: &dyn Fn(&str) -> usize, problems: &mut Problems) {
    if values.voters.is_empty() && values.seeds.peers.is_empty() {
        problems.add(
            ResultCode::SettingsMissing,
            line("control"),
            "control.voters",
            "needs at least one voter",
        );
    }
    let mut ids = BTreeMap::new();
    let mut names = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for (position, voter) in values.voters.iter().enumerate() {
        let field = format!("control.voters[{position}]");
        let at = line(&field);
        if let Some(earlier) = ids.insert(voter.id, position) {
            let message = format!("id {} is also that of voter {earlier}", voter.id);
            problems.add(ResultCode::SettingsDuplicate, at, &field, message);
        }
        if let Some(earlier) = names.insert(voter.name.clone(), position) {
            let message = format!("name '{}' is also that of voter {earlier}", voter.name);
            problems.add(ResultCode::SettingsDuplicate, at, &field, message);
        }
        if let Some(earlier) = addresses.insert(voter.peer, position) {
            let message = format!("{} is also the address of voter {earlier}", voter.peer);
            problems.add(ResultCode::SettingsOverlap, at, &field, message);
        }
        if voter.name == values.name && voter.peer != values.peer {
            let message = format!("is this daemon, whose listen.peer is {}", values.peer);
            problems.add(ResultCode::SettingsBadValue, at, &field, message);
        }
    }
    if values.is_control_member() && values.data_folder.is_none() {
        let message = "this daemon is a voter and needs a data folder";
        problems.add(ResultCode::SettingsNoDataFolder, line("control"), "control.dataFolder", message);
    }
}

fn check_tokens(values: &Settings, problems: &mut Problems) {
    // A gateway may run without the resource API, which needs the tokens.
    if values.tokens.is_empty() && values.gateway.is_none() {
        problems.add(ResultCode::SettingsMissing, 0, "tokens", "needs at least one token");
    }
    for (position, token) in values.tokens.iter().enumerate() {
        let earlier = &values.tokens[..position];
        if earlier.iter().any(|other| other.name == token.name || other.digest == token.digest) {
            let field = format!("tokens[{position}]");
            let message = format!("the name or token of '{}' stands twice", token.name);
            problems.add(ResultCode::SettingsDuplicate, 0, &field, message);
        }
    }
}
