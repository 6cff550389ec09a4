//! How evidence against requests is summed, which of them come under quarantine, and how they leave it.

use dockwood_api::ResultCode;
use dockwood_api::gateway::{Fingerprint, InstanceState, RequestIdentity};
use dockwood_state::{
    Command, CommandBody, GatewayCommand, GatewayTables, InstanceRow, Outcome, ServerEnd, Standing, State,
    SuspectTry, TrialRequest,
};

const MINUTE_MS: u64 = 60_000;
/// Servers of one zone that end under a request before it comes under quarantine.
const CRASHES_IN_ONE_ZONE: usize = 5;
/// A time for which any quarantine is over, and none is forgotten.
const PROBATION_MS: u64 = 11 * MINUTE_MS;
/// Servers end some seconds apart, unless a test says otherwise.
const APART_MS: u64 = 3_000;

/// The fingerprint of a tenant's request.
fn request(name: &str) -> Fingerprint {
    let identity = RequestIdentity {
        tenant: Some("tenant"),
        method: "POST",
        host: "h",
        path: "/",
        body: name.as_bytes(),
    };
    Fingerprint::of(&identity)
}

/// A fleet's table at a time.
#[derive(Default)]
struct World {
    tables: GatewayTables,
    now_ms: u64,
    trials: u64,
    /// All commands, in order.
    told: Vec<GatewayCommand>,
}

impl World {
    fn apply(&mut self, command: GatewayCommand) -> Outcome {
        let outcome = self.tables.apply(&command).outcome;
        self.told.push(command);
        outcome
    }

    fn register(&mut self, id: &str, state: InstanceState) {
        let row = InstanceRow {
            started_ms: None,
            id: id.to_string(),
            service: "s".to_string(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], id.len() as u16)),
            zone: "z".to_string(),
            slots: 4,
            state,
            is_cold: false,
            domain: Some("d".to_string()),
        };
        self.apply(GatewayCommand::Register(row));
    }

    fn end_told_by(&mut self, daemon: &str, instance: &str, zone: &str, requests: &[&str]) {
        let tried = |name: &&str| SuspectTry {
            fingerprint: request(name),
            request: format!("try-{name}"),
            tenant: Some("tenant".to_string()),
            route: "route".to_string(),
        };
        let (instance, zone, daemon) = (instance.to_string(), zone.to_string(), daemon.to_string());
        let tries = requests.iter().map(tried).collect();
        self.apply(GatewayCommand::ServerEnded(ServerEnd {
            instance,
            zone,
            at_ms: self.now_ms,
            daemon,
            tries,
        }));
    }

    /// A server ends with these requests; some seconds pass.
    fn end(&mut self, instance: &str, zone: &str, requests: &[&str]) {
        self.end_told_by("entry", instance, zone, requests);
        self.now_ms += APART_MS;
    }

    fn standing(&self, name: &str) -> Standing {
        self.tables.suspicion.standing(request(name), self.now_ms)
    }

    fn asks(&mut self, name: &str, instance: &str, may_share: bool) -> Outcome {
        self.trials += 1;
        let (fingerprint, trial, at_ms) = (request(name), self.trials, self.now_ms);
        let instance = instance.to_string();
        self.apply(GatewayCommand::BeginTrial(TrialRequest {
            fingerprint,
            trial,
            instance,
            may_share,
            at_ms,
        }))
    }

    fn clear(&mut self, name: &str) {
        let reason = String::new();
        self.apply(GatewayCommand::ClearRequest { fingerprint: request(name), reason });
    }
}

fn refused(outcome: Outcome) -> Option<ResultCode> {
    match outcome {
        Outcome::Refused(error) => Some(error.code()),
        _ => None,
    }
}

#[test]
fn the_third_server_in_more_than_one_zone_puts_a_request_under_quarantine() {
    let mut world = World::default();
    world.end("a", "z", &["fatal", "one"]);
    world.end("b", "y", &["fatal", "two"]);
    assert_eq!(world.standing("fatal"), Standing::Suspect);
    world.end("c", "z", &["fatal", "three"]);
    assert_eq!(world.standing("fatal"), Standing::Quarantined);
    for name in ["one", "two", "three"] {
        assert_eq!(world.standing(name), Standing::Unsuspected, "{name} shared one server with it");
    }
    let row = &world.tables.suspicion.quarantined[&request("fatal")];
    assert_eq!(row.evidence.len(), 3);
    assert_eq!(row.evidence.iter().filter(|evidence| evidence.request == "try-fatal").count(), 3);
}

/// A rack that fails one machine after the other takes the requests with it that are moved within its zone.
#[test]
fn servers_of_one_zone_take_two_more() {
    let mut world = World::default();
    for (number, instance) in ["a", "b", "c", "d"].into_iter().enumerate() {
        world.end(instance, "z", &["moved"]);
        assert_eq!(world.standing("moved"), Standing::Suspect, "after {} servers", number + 1);
    }
    world.end("e", "z", &["moved"]);
    assert_eq!(world.standing("moved"), Standing::Quarantined);
}

#[test]
fn one_end_counts_once_whoever_tells_of_it_and_however_often() {
    let mut world = World::default();
    for daemon in ["entry-1", "entry-2", "entry-1"] {
        world.end_told_by(daemon, "a", "z", &["fatal"]);
        world.end_told_by(daemon, "b", "y", &["fatal"]);
    }
    assert_eq!(world.standing("fatal"), Standing::Suspect);
    assert_eq!(world.tables.suspicion.crashes_against(request("fatal")).len(), 2);
}

#[test]
fn a_new_try_that_ends_the_same_instance_a_second_later_is_another_end() {
    let mut world = World::default();
    for number in 0..CRASHES_IN_ONE_ZONE {
        let tried = SuspectTry {
            fingerprint: request("fatal"),
            request: format!("try-{number}"),
            tenant: None,
            route: "route".to_string(),
        };
        let (instance, zone, daemon) = ("a".to_string(), "z".to_string(), "entry".to_string());
        let end = ServerEnd { instance, zone, at_ms: world.now_ms, daemon, tries: vec![tried] };
        // A repetition of the same word is of the same end, whenever it arrives.
        world.apply(GatewayCommand::ServerEnded(end.clone()));
        world.apply(GatewayCommand::ServerEnded(end));
        world.now_ms += 700;
    }
    assert_eq!(world.standing("fatal"), Standing::Quarantined);
}

/// A server may start again under its id.
#[test]
fn a_later_end_of_the_same_instance_is_another_one() {
    let mut world = World::default();
    for zone in ["z", "y", "z"] {
        world.end("a", zone, &["fatal"]);
    }
    assert_eq!(world.standing("fatal"), Standing::Quarantined);
}

#[test]
fn what_only_shared_servers_with_a_stronger_suspect_is_not_suspected() {
    let mut world = World::default();
    world.end("a", "z", &["fatal", "one"]);
    assert_eq!(world.standing("one"), Standing::Suspect, "nothing tells them apart yet");
    world.end("b", "y", &["fatal", "two"]);
    assert_eq!(world.standing("one"), Standing::Unsuspected);
    assert_eq!(world.standing("two"), Standing::Unsuspected);
    assert_eq!(world.standing("fatal"), Standing::Suspect);
}

#[test]
fn a_whole_answer_clears_a_request() {
    let mut world = World::default();
    world.end("a", "z", &["innocent"]);
    world.end("b", "y", &["innocent"]);
    world.clear("innocent");
    assert_eq!(world.standing("innocent"), Standing::Unsuspected);
    world.end("c", "z", &["innocent"]);
    assert_eq!(world.standing("innocent"), Standing::Suspect, "what was before doesn't count");
}

#[test]
fn a_request_is_tried_at_one_server_at_a_time() {
    let mut world = World::default();
    world.end("a", "z", &["fatal"]);
    assert_eq!(refused(world.asks("fatal", "b", false)), None);
    assert_eq!(refused(world.asks("fatal", "c", false)), Some(ResultCode::TrialUnderWay));
    // The trial tells something: its server ends.
    world.end("b", "y", &["fatal"]);
    assert_eq!(refused(world.asks("fatal", "c", false)), None);
    // Its daemon is lost with it: it ends by its time.
    world.now_ms += APART_MS;
    assert_eq!(refused(world.asks("fatal", "d", false)), None);
}

#[test]
fn a_trial_that_is_asked_for_again_after_a_lost_answer_is_the_same() {
    let mut world = World::default();
    world.end("a", "z", &["fatal"]);
    assert_eq!(refused(world.asks("fatal", "b", false)), None);
    world.trials -= 1;
    assert_eq!(refused(world.asks("fatal", "b", false)), None);
}

#[test]
fn a_trial_that_tells_nothing_makes_room_for_the_next() {
    let mut world = World::default();
    world.end("a", "z", &["fatal"]);
    world.asks("fatal", "b", false);
    let trial = world.trials;
    world.apply(GatewayCommand::EndTrial { fingerprint: request("fatal"), trial: trial + 1 });
    assert_eq!(
        refused(world.asks("fatal", "c", false)),
        Some(ResultCode::TrialUnderWay),
        "another one's end"
    );
    world.apply(GatewayCommand::EndTrial { fingerprint: request("fatal"), trial });
    assert_eq!(refused(world.asks("fatal", "c", false)), None);
}

#[test]
fn suspects_share_a_server_only_if_they_may_and_were_at_one_end_each() {
    let mut world = World::default();
    world.end("a", "z", &["one", "two"]);
    assert_eq!(refused(world.asks("one", "b", false)), None);
    assert_eq!(refused(world.asks("two", "b", false)), Some(ResultCode::ServerOnTrial));
    assert_eq!(refused(world.asks("two", "b", true)), None);
    world.end("b", "y", &["one", "two"]);
    assert_eq!(refused(world.asks("one", "c", true)), None);
    assert_eq!(refused(world.asks("two", "c", true)), Some(ResultCode::ServerOnTrial));
    assert!(world.tables.suspicion.is_in_danger("c"));
    assert!(!world.tables.suspicion.is_in_danger("b"));
}

#[test]
fn after_its_time_a_request_is_on_probation_and_the_next_server_doubles_it() {
    let mut world = World::default();
    for (instance, zone) in [("a", "z"), ("b", "y"), ("c", "z")] {
        world.end(instance, zone, &["fatal"]);
    }
    assert_eq!(refused(world.asks("fatal", "d", false)), Some(ResultCode::RequestQuarantined));
    let first = world.tables.suspicion.quarantined[&request("fatal")].clone();
    world.now_ms += PROBATION_MS;
    assert_eq!(world.standing("fatal"), Standing::Suspect);
    assert_eq!(refused(world.asks("fatal", "d", false)), None);
    world.end("d", "z", &["fatal", "beside"]);
    assert_eq!(world.standing("fatal"), Standing::Quarantined);
    assert_eq!(world.standing("beside"), Standing::Unsuspected, "the cause is known");
    let second = &world.tables.suspicion.quarantined[&request("fatal")];
    assert_eq!(second.until_ms - second.since_ms, 2 * (first.until_ms - first.since_ms));
}

/// Tries that were on their way when it came under quarantine tell nothing new.
#[test]
fn more_servers_that_end_under_quarantine_do_not_renew_it() {
    let mut world = World::default();
    for (instance, zone) in [("a", "z"), ("b", "y"), ("c", "z")] {
        world.end(instance, zone, &["fatal"]);
    }
    let until = world.tables.suspicion.quarantined[&request("fatal")].until_ms;
    world.end("d", "y", &["fatal"]);
    let row = &world.tables.suspicion.quarantined[&request("fatal")];
    assert_eq!((row.until_ms, row.offences, row.evidence.len()), (until, 1, 4));
}

#[test]
fn an_operator_releases_a_request_and_a_whole_answer_proves_a_quarantine_wrong() {
    let mut world = World::default();
    for (instance, zone) in [("a", "z"), ("b", "y"), ("c", "z")] {
        world.end(instance, zone, &["fatal"]);
    }
    world.clear("fatal");
    assert_eq!(world.standing("fatal"), Standing::Unsuspected);
    assert!(world.tables.suspicion.quarantined.is_empty());
}

/// A server that leaves as planned may end before what it ran is whole.
#[test]
fn the_end_of_a_server_that_leaves_speaks_against_nothing() {
    let mut world = World::default();
    world.register("a", InstanceState::Draining);
    world.end("a", "z", &["innocent"]);
    assert_eq!(world.standing("innocent"), Standing::Unsuspected);
    world.register("b", InstanceState::Ready);
    world.apply(GatewayCommand::Remove { id: "b".to_string() });
    world.end("b", "z", &["innocent"]);
    assert_eq!(world.standing("innocent"), Standing::Unsuspected);
}

/// Daemons that are not voters learn of it command by command, or by a copy, and come to the same.
#[test]
fn followers_judge_as_voters_do() {
    let mut voter = State::default();
    let mut follower = State::default();
    let mut world = World::default();
    world.register("leaving", InstanceState::Draining);
    for round in 0..40_u64 {
        let (instance, zone) = (format!("a-{round}"), if round % 3 == 0 { "z" } else { "y" });
        let instance = if round % 7 == 0 { "leaving".to_string() } else { instance };
        let names = [format!("fatal-{}", round % 4), format!("beside-{round}")];
        world.end(&instance, zone, &[&names[0], &names[1]]);
        world.asks(&names[0], "b", true);
        if round % 11 == 10 {
            world.clear(&names[0]);
        }
    }
    for command in std::mem::take(&mut world.told) {
        let command = Command { at_ms: 1, body: CommandBody::Gateway(command) };
        voter.apply(&command);
        if let Some(told) = command.for_followers(&voter.tables) {
            follower.apply(&told);
        }
    }
    let (voter, follower) = (voter.tables.gateway.suspicion, follower.tables.gateway.suspicion);
    assert_eq!(voter.crashes, follower.crashes);
    assert_eq!(voter.quarantined, follower.quarantined);
    assert!(!voter.quarantined.is_empty() && !voter.crashes.is_empty());
}

#[test]
fn old_evidence_and_probations_are_forgotten() {
    let mut world = World::default();
    world.end("a", "z", &["innocent"]);
    for (instance, zone) in [("b", "z"), ("c", "y"), ("d", "z")] {
        world.end(instance, zone, &["fatal"]);
    }
    assert!(!world.tables.suspicion.has_expired(world.now_ms));
    world.now_ms += 2 * PROBATION_MS;
    assert!(world.tables.suspicion.has_expired(world.now_ms));
    world.apply(GatewayCommand::ExpireSuspicions { at_ms: world.now_ms });
    assert_eq!(world.standing("innocent"), Standing::Unsuspected);
    assert_eq!(world.standing("fatal"), Standing::Unsuspected);
    assert!(world.tables.suspicion.crashes.is_empty());
}

/// A caller that sends ever new requests of this kind fills nothing; the oldest evidence goes first.
#[test]
fn what_is_kept_is_bounded() {
    let mut world = World::default();
    for number in 0..3_000_u32 {
        let name = format!("fatal-{number}");
        let many: Vec<String> = (0..20).map(|other| format!("beside-{number}-{other}")).collect();
        let mut requests: Vec<&str> = many.iter().map(String::as_str).collect();
        requests.push(&name);
        world.end(&format!("a-{number}"), "z", &requests);
        for zone in ["y", "z"].iter().take(2 * (number as usize % 2)) {
            world.end(&format!("{zone}-{number}"), zone, &[&name]);
        }
    }
    assert!(world.tables.suspicion.crashes.len() <= 256, "{}", world.tables.suspicion.crashes.len());
    assert!(world.tables.suspicion.quarantined.len() <= 1_024);
    assert_eq!(world.standing("fatal-2999"), Standing::Quarantined, "the newest is kept");
    assert_eq!(world.standing("fatal-1"), Standing::Unsuspected, "the oldest is not");
}

#[test]
fn a_daemon_that_starts_anew_or_lags_is_sent_all_that_it_needs() {
    let mut world = World::default();
    world.end("a", "z", &["innocent"]);
    for (instance, zone) in [("b", "z"), ("c", "y"), ("d", "z")] {
        world.end(instance, zone, &["fatal"]);
    }
    let mut state = State::default();
    state.tables.gateway = world.tables;
    for bytes in [state.encode(), state.encode_for_followers()] {
        let read = State::decode(&bytes).unwrap_or_else(|error| panic!("{error}"));
        let suspicion = &read.tables.gateway.suspicion;
        assert_eq!(suspicion.standing(request("fatal"), world.now_ms), Standing::Quarantined);
        assert_eq!(suspicion.standing(request("innocent"), world.now_ms), Standing::Suspect);
    }
}

/// What the version before this table wrote: the first byte names it.
#[test]
fn a_state_without_suspicions_is_read() {
    const BEFORE: u8 = 3;
    let mut bytes = State::default().encode();
    // Nothing is stored of an empty table but four empty parts.
    bytes.truncate(bytes.len() - 4);
    bytes[0] = BEFORE;
    assert_eq!(State::decode(&bytes), Ok(State::default()));
}
