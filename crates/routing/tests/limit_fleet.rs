//! A fleet of entries that send to one server that names a limit, in simulated time: each entry has its own table, one of them
//! shares the limit out, and a leader passes news on. Every random draw follows from a seed.

use dockwood_api::gateway::{RequestRate, ServerLimit, ServerStart};
use dockwood_routing::pushback::{Heard, LimitTable, NamedLimit, Turn, TurnBook, TurnShare};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use yare::parameterized;

/// How long a run takes, in milliseconds.
const SPAN_MS: u64 = 20_000;
/// Longest way of a message, in milliseconds.
const LONGEST_WAY_MS: u64 = 5;
/// How long an entry's word takes to all others by way of the leader, in milliseconds.
const NEWS_TAKE_MS: u64 = 350;
/// An answer that takes longer is given up, in milliseconds.
const ANSWER_LIMIT_MS: u64 = 60;
/// A turn that comes later than this after it was asked for is not used, in milliseconds.
const TURN_VALID_MS: u64 = 150;
/// How long a daemon that has ended is still taken for one that shares limits out, in milliseconds.
const LOSS_KNOWN_AFTER_MS: u64 = 2_500;
/// The window over which arrivals are summed, when it is judged, and from when on an entry counts, in milliseconds.
const WINDOW_MS: u64 = 4_000;
const JUDGED_AFTER_MS: u64 = 3_000;
const TOLD_AFTER_MS: u64 = 500;

/// What the server takes from a time on, in thousandths of a request a second; `None` for whatever comes.
type Schedule = Vec<(u64, Option<u64>)>;

/// One run.
struct Case {
    entries: usize,
    /// Requests a second of the whole fleet that would go to the server.
    demand: f64,
    schedule: Schedule,
    /// The daemon that shares the limit out ends then.
    giver_ends_at: Option<u64>,
    /// An entry is stopped from then on for so long.
    stopped: Option<(usize, u64, u64)>,
}

/// What is on its way.
enum Message {
    /// To the server, from an entry that wrote it then.
    Request { entry: usize, sent_at: u64 },
    /// The head of an answer.
    Answer { entry: usize, sent_at: u64, named: Option<u64> },
    /// An entry asks one of those that share the limit out.
    Ask { entry: usize, asked_at: u64, giver: usize, limit: ServerLimit },
    /// It is answered.
    Reply { entry: usize, asked_at: u64, turn: Turn, limit: Option<ServerLimit> },
    /// Nobody has answered an entry in time.
    NoAnswer { entry: usize, asked_at: u64 },
    /// News for all but the one that told them.
    News { limit: ServerLimit, from: usize },
}

struct Entry {
    limits: LimitTable,
    /// When it asked for a turn that it has had no answer to.
    asking_since: Option<u64>,
    told_at: Option<u64>,
}

struct Fleet {
    case: Case,
    random: StdRng,
    now: u64,
    entries: Vec<Entry>,
    /// Two daemons share the limit out: the second takes the place of the first.
    givers: [(TurnBook, LimitTable); 2],
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    asked: usize,
    /// When requests arrived, and from whom.
    arrivals: Vec<(u64, usize)>,
}

fn server() -> ServerStart {
    ServerStart { id: "server".to_string(), started_ms: Some(1) }
}

fn named(thousandths: Option<u64>) -> NamedLimit {
    thousandths.map_or(NamedLimit::Absent, |rate| NamedLimit::Rate(RequestRate::of_thousandths(rate)))
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Fleet {
        let entry = |_| Entry { limits: LimitTable::default(), asking_since: None, told_at: None };
        Fleet {
            entries: (0..case.entries).map(entry).collect(),
            case,
            random: StdRng::seed_from_u64(seed),
            now: 0,
            givers: Default::default(),
            messages: BTreeMap::new(),
            sent: 0,
            asked: 0,
            arrivals: Vec::new(),
        }
    }

    fn limit_at(&self, at: u64) -> Option<u64> {
        let begun = self.case.schedule.iter().rev().find(|(from, _)| *from <= at);
        begun.and_then(|(_, limit)| *limit)
    }

    fn send(&mut self, delay_ms: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + delay_ms, self.sent), message);
    }

    fn way(&mut self) -> u64 {
        self.random.random_range(1..=LONGEST_WAY_MS)
    }

    fn is_stopped(&self, entry: usize) -> Option<u64> {
        let (stopped, from, for_ms) = self.case.stopped?;
        (stopped == entry && (from..from + for_ms).contains(&self.now)).then_some(from + for_ms)
    }

    fn run(&mut self) {
        let chance = self.case.demand / 1_000.0;
        while self.now < SPAN_MS {
            while let Some(first) = self.messages.first_entry().filter(|first| first.key().0 <= self.now) {
                let message = first.remove();
                self.take(message);
            }
            let requests =
                chance.floor() as usize + usize::from(self.random.random::<f64>() < chance.fract());
            for _ in 0..requests {
                let entry = self.random.random_range(0..self.case.entries);
                self.want_to_send(entry);
            }
            self.now += 1;
        }
    }

    /// An entry has a request that it would send to this server.
    fn want_to_send(&mut self, entry: usize) {
        let now = self.now;
        if self.is_stopped(entry).is_some() || self.entries[entry].asking_since.is_some() {
            return;
        }
        let limits = &self.entries[entry].limits;
        if limits.held_until(now, &server()).is_some() {
            return;
        }
        if limits.rate(now, &server()).is_none() {
            return self.write(entry);
        }
        self.entries[entry].asking_since = Some(now);
        let giver = usize::from(self.case.giver_ends_at.is_some_and(|at| now >= at + LOSS_KNOWN_AFTER_MS));
        self.ask(entry, now, giver);
    }

    fn ask(&mut self, entry: usize, asked_at: u64, giver: usize) {
        let known = self.entries[entry].limits.tell(self.now, &server());
        let Some(limit) = known else { return };
        let way = self.way();
        self.asked += 1;
        self.send(way, Message::Ask { entry, asked_at, giver, limit });
    }

    fn write(&mut self, entry: usize) {
        let way = self.way();
        self.send(way, Message::Request { entry, sent_at: self.now });
    }

    fn take(&mut self, message: Message) {
        // What comes for an entry that is stopped waits for it.
        let receiver = match &message {
            Message::Answer { entry, .. }
            | Message::Reply { entry, .. }
            | Message::NoAnswer { entry, .. } => Some(*entry),
            _ => None,
        };
        if let Some(until) = receiver.and_then(|entry| self.is_stopped(entry)) {
            return self.send(until - self.now, message);
        }
        match message {
            Message::Request { entry, sent_at } => self.arrive(entry, sent_at),
            Message::Answer { entry, sent_at, named: limit } => self.learn(entry, sent_at, limit),
            Message::Ask { entry, asked_at, giver, limit } => self.give(entry, asked_at, giver, &limit),
            Message::Reply { entry, asked_at, turn, limit } => self.replied(entry, asked_at, turn, limit),
            Message::NoAnswer { entry, asked_at } => {
                if self.entries[entry].asking_since == Some(asked_at) {
                    self.ask(entry, asked_at, 1);
                }
            }
            Message::News { limit, from } => {
                let now = self.now;
                let others = self.entries.iter_mut().enumerate().filter(|(entry, _)| *entry != from);
                let heard = ServerLimit { heard_ago_ms: limit.heard_ago_ms + NEWS_TAKE_MS, ..limit };
                others.for_each(|(_, entry)| {
                    entry.limits.merge(now, &heard, false);
                });
            }
        }
    }

    fn arrive(&mut self, entry: usize, sent_at: u64) {
        self.arrivals.push((self.now, entry));
        let (named, way) = (self.limit_at(self.now), self.way());
        self.send(way, Message::Answer { entry, sent_at, named });
    }

    fn learn(&mut self, entry: usize, sent_at: u64, limit: Option<u64>) {
        let now = self.now;
        let one = &mut self.entries[entry];
        if limit.is_some() {
            one.told_at.get_or_insert(now);
        }
        one.limits.heard(now, &server(), Heard { named: named(limit), sent_at, may_end_limit: true });
        for limit in one.limits.take_news(now) {
            self.send(NEWS_TAKE_MS, Message::News { limit, from: entry });
        }
    }

    fn give(&mut self, entry: usize, asked_at: u64, giver: usize, limit: &ServerLimit) {
        let now = self.now;
        if giver == 0 && self.case.giver_ends_at.is_some_and(|at| now >= at) {
            return self.send(ANSWER_LIMIT_MS, Message::NoAnswer { entry, asked_at });
        }
        let (book, limits) = &mut self.givers[giver];
        limits.merge(now, limit, false);
        let is_first =
            giver == 0 || self.case.giver_ends_at.is_some_and(|at| now >= at + LOSS_KNOWN_AFTER_MS);
        let share = if is_first { TurnShare::Whole } else { TurnShare::InPlaceOfAnother };
        let rate = limits.rate(now, &server());
        let turn = rate.map_or(Turn::Given, |rate| book.take(now, &server(), rate, share, 0));
        let limit = limits.tell(now, &server());
        let way = self.way();
        self.send(way, Message::Reply { entry, asked_at, turn, limit });
    }

    fn replied(&mut self, entry: usize, asked_at: u64, turn: Turn, limit: Option<ServerLimit>) {
        let now = self.now;
        let one = &mut self.entries[entry];
        one.asking_since = None;
        limit.iter().for_each(|limit| {
            one.limits.merge(now, limit, false);
        });
        match turn {
            Turn::Given if now < asked_at + TURN_VALID_MS => self.write(entry),
            Turn::Given => {}
            Turn::NotBefore(until) => one.limits.hold(&server(), until),
        }
    }

    /// The highest limit in force within a window; `None` if there was none at some moment of it.
    fn highest_limit(&self, until: u64) -> Option<f64> {
        let since = until.saturating_sub(WINDOW_MS + TOLD_AFTER_MS);
        let mut limits = (since..=until).map(|at| self.limit_at(at));
        let highest = limits.try_fold(0, |highest: u64, limit| Some(highest.max(limit?)))?;
        Some(highest as f64 / 1_000.0)
    }

    /// Asserts that no window holds more than is allowed, of entries that were told.
    fn assert_kept(&self, seed: u64) {
        let first_named =
            self.case.schedule.iter().find(|(_, limit)| limit.is_some()).map_or(0, |(at, _)| *at);
        for (until, _) in self.arrivals.iter().filter(|(at, _)| *at >= first_named + JUDGED_AFTER_MS) {
            let Some(limit) = self.highest_limit(*until) else { continue };
            let counts = |(at, entry): &&(u64, usize)| {
                let is_told = self.entries[*entry].told_at.is_some_and(|told| *at >= told + TOLD_AFTER_MS);
                *at + WINDOW_MS > *until && at <= until && is_told
            };
            let got = self.arrivals.iter().filter(counts).count();
            let allowed = 1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0;
            assert!(got as f64 <= allowed, "seed {seed}: {got} in 4 s until {until}, {allowed} allowed");
        }
    }

    /// Requests that arrived within a time, whoever sent them.
    fn arrived(&self, span: std::ops::Range<u64>) -> usize {
        self.arrivals.iter().filter(|(at, _)| span.contains(at)).count()
    }
}

fn case(entries: usize, schedule: Schedule) -> Case {
    Case { entries, demand: 200.0, schedule, giver_ends_at: None, stopped: None }
}

fn play(seed: u64, case: Case) -> Fleet {
    let mut fleet = Fleet::new(case, seed);
    fleet.run();
    fleet.assert_kept(seed);
    fleet
}

#[parameterized(three = { 3 }, nine = { 9 }, many = { 330 })]
fn the_sum_is_kept_however_many_entries_there_are(entries: usize) {
    for (seed, thousandths) in [100, 500, 2_500, 20_000, 100_000].into_iter().enumerate() {
        let fleet = play(seed as u64, case(entries, vec![(1_000, Some(thousandths))]));
        let aim = thousandths as f64 / 1_000.0 * 16.0;
        let got = fleet.arrived(3_000..19_000) as f64;
        assert!(got <= aim * 1.02 + 2.0, "{got} where {aim} are taken");
        assert!(got >= aim * 0.85 - 2.0, "what the server takes is not wasted: {got} of {aim}");
    }
}

#[parameterized(
    falling = { vec![(1_000, Some(20_000)), (5_000, Some(5_000)), (10_000, Some(500))] },
    rising = { vec![(1_000, Some(500)), (6_000, Some(5_000)), (11_000, Some(20_000))] },
    down_to_nothing = { vec![(1_000, Some(5_000)), (5_000, Some(0))] },
    ended_and_back = { vec![(1_000, Some(2_500)), (6_000, None), (12_000, Some(2_500))] },
    drawn_anew_each_second = { (1..20).map(|at| (at * 1_000, Some(1_000 + at * 997 % 3_000))).collect() },
    there_and_gone_each_second = { (1..20).map(|at| (at * 1_000, (at % 2 == 0).then_some(2_500))).collect() },
)]
fn a_limit_that_changes_is_kept(schedule: Schedule) {
    for entries in [9, 330] {
        for seed in 0..4 {
            play(seed, case(entries, schedule.clone()));
        }
    }
}

#[test]
fn while_the_daemon_that_shares_it_out_is_replaced_the_sum_is_kept() {
    for seed in 0..10 {
        let ends_at = 4_000 + seed * 700;
        let limited = case(30, vec![(1_000, Some(10_000))]);
        let fleet = play(seed, Case { giver_ends_at: Some(ends_at), ..limited });
        let after = fleet.arrived(ends_at + LOSS_KNOWN_AFTER_MS + 500..SPAN_MS);
        let span_s = (SPAN_MS - ends_at - LOSS_KNOWN_AFTER_MS - 500) as f64 / 1_000.0;
        assert!(after as f64 >= 0.85 * 10.0 * span_s, "its successor gives all of it: {after} in {span_s} s");
    }
}

#[test]
fn an_entry_that_was_stopped_sends_nothing_on_what_it_was_given_before() {
    for seed in 0..10 {
        let limited = case(9, vec![(1_000, Some(5_000)), (8_000, Some(500))]);
        play(seed, Case { stopped: Some((seed as usize % 9, 6_000 + seed * 200, 4_000)), ..limited });
    }
}

/// What a limit costs: calls for turns, a second, where each of many entries has requests for the server.
#[test]
fn entries_do_not_ask_more_often_than_is_of_use() {
    let fleet = play(1, case(330, vec![(1_000, Some(2_500))]));
    let given = fleet.arrived(2_000..SPAN_MS);
    let asked_for_each = fleet.asked as f64 / given as f64;
    assert!(asked_for_each <= 25.0, "{asked_for_each} calls for each request that is sent");
}
