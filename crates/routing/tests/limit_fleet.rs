//! Simulates a fleet of entries that send to one server with a declared limit. Each entry has its own limit
//! table, one of two daemons allocates the limit, and a leader forwards announcements. All randomness is
//! derived from a seed.

use dockwood_api::gateway::{RequestRate, ServerLimit, ServerStart, TurnsElsewhere};
use dockwood_routing::pushback::{
    LimitObservation, LimitTable, NamedLimit, StandInTurns, Turn, TurnAllocator, TurnShare,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use yare::parameterized;

/// Duration of a run, in milliseconds.
const RUN_MS: u64 = 20_000;
/// Maximum network delay of a message, in milliseconds.
const MAX_DELAY_MS: u64 = 5;
/// Time for an entry's announcement to reach all others via the leader, in milliseconds.
const ANNOUNCEMENT_DELAY_MS: u64 = 350;
/// A turn request without a reply is abandoned after this time, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 60;
/// A turn granted later than this after it was requested is not used, in milliseconds.
const TURN_VALID_MS: u64 = 150;
/// Time until the failure of the daemon that allocates the limit is detected, in milliseconds.
const FAILURE_DETECTION_MS: u64 = 2_500;
/// Length of the window over which arrivals are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time from the first limit until windows are checked, in milliseconds.
const CHECK_AFTER_MS: u64 = 3_000;
/// Time from which on an entry that has learned of the limit must keep it, in milliseconds.
const ENTRY_GRACE_MS: u64 = 500;

/// The server's rate from each point in time on, in thousandths of a request per second; `None` if it is
/// unlimited.
type Schedule = Vec<(u64, Option<u64>)>;

/// Parameters of one run.
struct Scenario {
    entries: usize,
    /// Requests per second that the whole fleet has for the server.
    demand: f64,
    schedule: Schedule,
    /// When the daemon that allocates the limit stops.
    allocator_stops_at: Option<u64>,
    /// An entry, and when and for how long it is paused.
    paused: Option<(usize, u64, u64)>,
    /// An entry that repeatedly gets no reply from the daemon that allocates the limit.
    unanswered: Option<Unanswered>,
}

/// An entry whose turn requests are not answered at the start of each period, so that it asks the stand-in.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    entry: usize,
    period_ms: u64,
    for_ms: u64,
}

/// A message in transit.
enum Message {
    /// A request to the server, with the entry that sent it.
    Request { entry: usize, sent_at: u64 },
    /// The head of an answer.
    Answer { entry: usize, sent_at: u64, named: Option<u64> },
    /// A turn request to a daemon that allocates the limit.
    TurnRequest {
        entry: usize,
        requested_at: u64,
        allocator: usize,
        limit: ServerLimit,
        elsewhere: Option<TurnsElsewhere>,
    },
    /// The reply to a turn request.
    TurnReply {
        entry: usize,
        requested_at: u64,
        allocator: usize,
        turn: Turn,
        limit: Option<ServerLimit>,
        elsewhere: Option<TurnsElsewhere>,
    },
    /// A turn request has timed out.
    TurnTimeout { entry: usize, requested_at: u64 },
    /// An announcement to all entries but its sender.
    Announcement { limit: ServerLimit, from: usize },
}

struct Entry {
    limits: LimitTable,
    stand_in_turns: StandInTurns,
    /// When the turn was requested for which a reply is outstanding.
    waiting_since: Option<u64>,
    informed_at: Option<u64>,
}

struct Fleet {
    scenario: Scenario,
    random: StdRng,
    now: u64,
    entries: Vec<Entry>,
    /// The daemons that allocate the limit: the second stands in for the first.
    allocators: [(TurnAllocator, LimitTable); 2],
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    turn_requests: usize,
    /// Times at which requests arrived, and the entries that sent them.
    arrivals: Vec<(u64, usize)>,
}

fn address(allocator: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + allocator as u16))
}

fn server() -> ServerStart {
    ServerStart { id: "server".to_string(), started_ms: Some(1) }
}

fn named(thousandths: Option<u64>) -> NamedLimit {
    thousandths.map_or(NamedLimit::Absent, |rate| NamedLimit::Rate(RequestRate::from_thousandths(rate)))
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Fleet {
        let entry = |number| Entry {
            limits: LimitTable::default(),
            stand_in_turns: StandInTurns::new(number as u64),
            waiting_since: None,
            informed_at: None,
        };
        Fleet {
            entries: (0..scenario.entries).map(entry).collect(),
            scenario,
            random: StdRng::seed_from_u64(seed),
            now: 0,
            allocators: Default::default(),
            messages: BTreeMap::new(),
            sent: 0,
            turn_requests: 0,
            arrivals: Vec::new(),
        }
    }

    fn limit_at(&self, at: u64) -> Option<u64> {
        let current = self.scenario.schedule.iter().rev().find(|(from, _)| *from <= at);
        current.and_then(|(_, limit)| *limit)
    }

    fn send(&mut self, delay_ms: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + delay_ms, self.sent), message);
    }

    fn network_delay(&mut self) -> u64 {
        self.random.random_range(1..=MAX_DELAY_MS)
    }

    fn paused_until(&self, entry: usize) -> Option<u64> {
        let (paused, from, for_ms) = self.scenario.paused?;
        (paused == entry && (from..from + for_ms).contains(&self.now)).then_some(from + for_ms)
    }

    fn is_unanswered(&self, entry: usize) -> bool {
        let unanswered = self.scenario.unanswered.filter(|unanswered| unanswered.entry == entry);
        unanswered.is_some_and(|unanswered| self.now % unanswered.period_ms < unanswered.for_ms)
    }

    fn run(&mut self) {
        let requests_per_ms = self.scenario.demand / 1_000.0;
        while self.now < RUN_MS {
            while let Some(first) = self.messages.first_entry().filter(|first| first.key().0 <= self.now) {
                let message = first.remove();
                self.deliver(message);
            }
            let requests = requests_per_ms.floor() as usize
                + usize::from(self.random.random::<f64>() < requests_per_ms.fract());
            for _ in 0..requests {
                let entry = self.random.random_range(0..self.scenario.entries);
                self.handle_demand(entry);
            }
            self.now += 1;
        }
    }

    /// The entry has a request for the server and sends it if it may.
    fn handle_demand(&mut self, entry: usize) {
        let now = self.now;
        if self.paused_until(entry).is_some() || self.entries[entry].waiting_since.is_some() {
            return;
        }
        let limits = &self.entries[entry].limits;
        if limits.held_until(now, &server()).is_some() {
            return;
        }
        if limits.rate(now, &server()).is_none() {
            return self.send_request(entry);
        }
        self.entries[entry].waiting_since = Some(now);
        let is_replaced = self.scenario.allocator_stops_at.is_some_and(|at| now >= at + FAILURE_DETECTION_MS);
        let allocator = usize::from(is_replaced || self.is_unanswered(entry));
        self.request_turn(entry, now, allocator);
    }

    fn request_turn(&mut self, entry: usize, requested_at: u64, allocator: usize) {
        let known = self.entries[entry].limits.tell(self.now, &server());
        let Some(limit) = known else { return };
        let elsewhere = match self.share_of(allocator) {
            TurnShare::Whole => {
                self.entries[entry].stand_in_turns.report(self.now, &server(), address(allocator))
            }
            _ => None,
        };
        let network_delay = self.network_delay();
        self.turn_requests += 1;
        self.send(network_delay, Message::TurnRequest { entry, requested_at, allocator, limit, elsewhere });
    }

    fn send_request(&mut self, entry: usize) {
        let network_delay = self.network_delay();
        self.send(network_delay, Message::Request { entry, sent_at: self.now });
    }

    fn deliver(&mut self, message: Message) {
        // Messages to a paused entry are delivered when it resumes.
        let receiver = match &message {
            Message::Answer { entry, .. }
            | Message::TurnReply { entry, .. }
            | Message::TurnTimeout { entry, .. } => Some(*entry),
            _ => None,
        };
        if let Some(until) = receiver.and_then(|entry| self.paused_until(entry)) {
            return self.send(until - self.now, message);
        }
        match message {
            Message::Request { entry, sent_at } => self.handle_request(entry, sent_at),
            Message::Answer { entry, sent_at, named: limit } => self.handle_answer(entry, sent_at, limit),
            Message::TurnRequest { entry, requested_at, allocator, limit, elsewhere } => {
                self.allocate_turn(entry, requested_at, allocator, &limit, elsewhere)
            }
            Message::TurnReply { entry, requested_at, allocator, turn, limit, elsewhere } => {
                if let Some(reported) = elsewhere {
                    self.entries[entry].stand_in_turns.acknowledge(&server(), &reported);
                }
                self.handle_turn_reply(entry, requested_at, allocator, turn, limit)
            }
            Message::TurnTimeout { entry, requested_at } => {
                if self.entries[entry].waiting_since == Some(requested_at) {
                    self.request_turn(entry, requested_at, 1);
                }
            }
            Message::Announcement { limit, from } => {
                let now = self.now;
                let others = self.entries.iter_mut().enumerate().filter(|(entry, _)| *entry != from);
                let heard = ServerLimit { heard_ago_ms: limit.heard_ago_ms + ANNOUNCEMENT_DELAY_MS, ..limit };
                others.for_each(|(_, entry)| {
                    entry.limits.merge(now, &heard, false);
                });
            }
        }
    }

    fn handle_request(&mut self, entry: usize, sent_at: u64) {
        self.arrivals.push((self.now, entry));
        let (named, network_delay) = (self.limit_at(self.now), self.network_delay());
        self.send(network_delay, Message::Answer { entry, sent_at, named });
    }

    fn handle_answer(&mut self, entry: usize, sent_at: u64, limit: Option<u64>) {
        let now = self.now;
        let state = &mut self.entries[entry];
        if limit.is_some() {
            state.informed_at.get_or_insert(now);
        }
        state.limits.heard(
            now,
            &server(),
            LimitObservation { named: named(limit), sent_at, may_end_limit: true },
        );
        for limit in state.limits.take_news(now) {
            self.send(ANNOUNCEMENT_DELAY_MS, Message::Announcement { limit, from: entry });
        }
    }

    /// The part of the rate that one of the daemons allocates: the second stands in for the first.
    fn share_of(&self, allocator: usize) -> TurnShare {
        let stops_at = self.scenario.allocator_stops_at;
        let is_first = allocator == 0 || stops_at.is_some_and(|at| self.now >= at + FAILURE_DETECTION_MS);
        if is_first { TurnShare::Whole } else { TurnShare::InPlaceOfAnother }
    }

    fn allocate_turn(
        &mut self,
        entry: usize,
        requested_at: u64,
        allocator: usize,
        limit: &ServerLimit,
        elsewhere: Option<TurnsElsewhere>,
    ) {
        let now = self.now;
        if allocator == 0 && self.scenario.allocator_stops_at.is_some_and(|at| now >= at) {
            return self.send(REPLY_TIMEOUT_MS, Message::TurnTimeout { entry, requested_at });
        }
        let share = self.share_of(allocator);
        let (book, limits) = &mut self.allocators[allocator];
        limits.merge(now, limit, false);
        let rate = limits.rate(now, &server());
        if let Some((rate, reported)) = rate.zip(elsewhere) {
            book.charge(now, &server(), rate, share, &reported);
        }
        let turn = rate.map_or(Turn::Given, |rate| book.take(now, &server(), rate, share, 0));
        let limit = limits.tell(now, &server());
        let network_delay = self.network_delay();
        let reply = Message::TurnReply { entry, requested_at, allocator, turn, limit, elsewhere };
        self.send(network_delay, reply);
    }

    fn handle_turn_reply(
        &mut self,
        entry: usize,
        requested_at: u64,
        allocator: usize,
        turn: Turn,
        limit: Option<ServerLimit>,
    ) {
        let now = self.now;
        let share = self.share_of(allocator);
        let state = &mut self.entries[entry];
        state.waiting_since = None;
        limit.iter().for_each(|limit| {
            state.limits.merge(now, limit, false);
        });
        match turn {
            Turn::Given if now < requested_at + TURN_VALID_MS => {
                if share == TurnShare::InPlaceOfAnother {
                    state.stand_in_turns.record(now, &server(), Some(address(allocator)));
                }
                self.send_request(entry);
            }
            Turn::Given => {}
            Turn::NotBefore(until) => state.limits.hold(&server(), until),
        }
    }

    /// The highest limit in force during a window; `None` if there was no limit at some time within it.
    fn max_limit(&self, until: u64) -> Option<f64> {
        let since = until.saturating_sub(WINDOW_MS + ENTRY_GRACE_MS);
        let mut limits = (since..=until).map(|at| self.limit_at(at));
        let highest = limits.try_fold(0, |highest: u64, limit| Some(highest.max(limit?)))?;
        Some(highest as f64 / 1_000.0)
    }

    /// Asserts that in no window the informed entries send more than is allowed.
    fn assert_limit_kept(&self, seed: u64) {
        let first_named =
            self.scenario.schedule.iter().find(|(_, limit)| limit.is_some()).map_or(0, |(at, _)| *at);
        for (until, _) in self.arrivals.iter().filter(|(at, _)| *at >= first_named + CHECK_AFTER_MS) {
            let Some(limit) = self.max_limit(*until) else { continue };
            let counts = |(at, entry): &&(u64, usize)| {
                let is_informed = self.entries[*entry]
                    .informed_at
                    .is_some_and(|informed_at| *at >= informed_at + ENTRY_GRACE_MS);
                *at + WINDOW_MS > *until && at <= until && is_informed
            };
            let received = self.arrivals.iter().filter(counts).count();
            let allowed = 1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0;
            assert!(
                received as f64 <= allowed,
                "seed {seed}: {received} requests in the 4 s until {until}, {allowed} allowed"
            );
        }
    }

    /// The highest number of requests that arrived within a window, from any entry, of the windows that end after `from`.
    fn most_arrivals_in_a_window(&self, from: u64) -> usize {
        let ends = self.arrivals.iter().map(|(at, _)| *at).filter(|at| *at >= from);
        ends.map(|until| self.arrivals_in(until + 1 - WINDOW_MS..until + 1)).max().unwrap_or(0)
    }

    /// Number of requests that arrived within a period, from any entry.
    fn arrivals_in(&self, period: std::ops::Range<u64>) -> usize {
        self.arrivals.iter().filter(|(at, _)| period.contains(at)).count()
    }
}

fn scenario(entries: usize, schedule: Schedule) -> Scenario {
    Scenario { entries, demand: 200.0, schedule, allocator_stops_at: None, paused: None, unanswered: None }
}

fn run_scenario(seed: u64, scenario: Scenario) -> Fleet {
    let mut fleet = Fleet::new(scenario, seed);
    fleet.run();
    fleet.assert_limit_kept(seed);
    fleet
}

#[parameterized(three = { 3 }, nine = { 9 }, many = { 330 })]
fn the_total_rate_is_kept_for_any_number_of_entries(entries: usize) {
    for (seed, thousandths) in [100, 500, 2_500, 20_000, 100_000].into_iter().enumerate() {
        let fleet = run_scenario(seed as u64, scenario(entries, vec![(1_000, Some(thousandths))]));
        let expected = thousandths as f64 / 1_000.0 * 16.0;
        let received = fleet.arrivals_in(3_000..19_000) as f64;
        assert!(received <= expected * 1.02 + 2.0, "{received} requests where {expected} are allowed");
        assert!(
            received >= expected * 0.85 - 2.0,
            "the server's rate must be used: {received} of {expected}"
        );
    }
}

#[parameterized(
    falling = { vec![(1_000, Some(20_000)), (5_000, Some(5_000)), (10_000, Some(500))] },
    rising = { vec![(1_000, Some(500)), (6_000, Some(5_000)), (11_000, Some(20_000))] },
    down_to_zero = { vec![(1_000, Some(5_000)), (5_000, Some(0))] },
    ended_and_declared_again = { vec![(1_000, Some(2_500)), (6_000, None), (12_000, Some(2_500))] },
    changed_each_second = { (1..20).map(|at| (at * 1_000, Some(1_000 + at * 997 % 3_000))).collect() },
    toggled_each_second = { (1..20).map(|at| (at * 1_000, (at % 2 == 0).then_some(2_500))).collect() },
)]
fn a_changing_limit_is_kept(schedule: Schedule) {
    for entries in [9, 330] {
        for seed in 0..4 {
            run_scenario(seed, scenario(entries, schedule.clone()));
        }
    }
}

#[test]
fn the_total_rate_is_kept_while_the_allocating_daemon_is_replaced() {
    for seed in 0..10 {
        let ends_at = 4_000 + seed * 700;
        let limited = scenario(30, vec![(1_000, Some(10_000))]);
        let fleet = run_scenario(seed, Scenario { allocator_stops_at: Some(ends_at), ..limited });
        let after = fleet.arrivals_in(ends_at + FAILURE_DETECTION_MS + 500..RUN_MS);
        let period_s = (RUN_MS - ends_at - FAILURE_DETECTION_MS - 500) as f64 / 1_000.0;
        assert!(
            after as f64 >= 0.85 * 10.0 * period_s,
            "the successor must allocate the whole rate: {after} in {period_s} s"
        );
    }
}

#[test]
fn an_entry_does_not_use_turns_granted_before_it_was_paused() {
    for seed in 0..10 {
        let limited = scenario(9, vec![(1_000, Some(5_000)), (8_000, Some(500))]);
        run_scenario(
            seed,
            Scenario { paused: Some((seed as usize % 9, 6_000 + seed * 200, 4_000)), ..limited },
        );
    }
}

/// Guards against a fault in which two entries sent 15 requests in a window in which 14 are allowed: one of them used turns
/// of a stand-in, and the daemon that allocates the limit granted as many as before.
#[parameterized(
    often = { 2, 900, 300 },
    very_often = { 2, 450, 300 },
    rarely = { 2, 3_000, 300 },
    longer = { 2, 2_500, 1_200 },
    of_many_entries = { 30, 900, 300 },
)]
fn turns_of_a_stand_in_count_against_the_rate(entries: usize, period_ms: u64, for_ms: u64) {
    for seed in 0..10 {
        for entry in 0..2 {
            let limited = scenario(entries, vec![(1_000, Some(2_500))]);
            let unanswered = Some(Unanswered { entry, period_ms, for_ms });
            let fleet = run_scenario(seed, Scenario { unanswered, ..limited });
            let busiest = fleet.most_arrivals_in_a_window(2_000 + WINDOW_MS);
            let allowed = 2.5 * WINDOW_MS as f64 / 1_000.0 + 4.0;
            assert!(busiest as f64 <= allowed, "seed {seed}: {busiest} requests in 4 s, {allowed} allowed");
            let received = fleet.arrivals_in(4_000..RUN_MS);
            assert!(received as f64 >= 0.8 * 2.5 * 16.0, "seed {seed}: {received} of 40 requests in 16 s");
        }
    }
}

/// Guards the cost of a limit: the number of turn requests per request sent, if each of many entries has
/// requests for the server.
#[test]
fn entries_do_not_send_excessive_turn_requests() {
    let fleet = run_scenario(1, scenario(330, vec![(1_000, Some(2_500))]));
    let given = fleet.arrivals_in(2_000..RUN_MS);
    let turn_requests_per_request = fleet.turn_requests as f64 / given as f64;
    assert!(turn_requests_per_request <= 25.0, "{turn_requests_per_request} turn requests per request sent");
}
