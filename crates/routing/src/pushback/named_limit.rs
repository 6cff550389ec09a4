//! Reads how many requests a second a server says that it takes, from all senders together.

use dockwood_api::gateway::RequestRate;

/// Nothing beyond this many requests a second limits anybody.
const MOST_PER_SECOND: f64 = 100_000.0;

/// What an answer says of its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedLimit {
    /// Nothing: the server takes what comes.
    #[default]
    Absent,
    /// There is a limit that can't be read. It changes nothing.
    Unreadable,
    /// So many requests, from all senders together.
    Rate(RequestRate),
}

impl NamedLimit {
    /// Reads the values of all headers of that name in one answer. Of several the lowest counts.
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> NamedLimit {
        let mut named = NamedLimit::Absent;
        for value in values {
            named = match (named, read_rate(value)) {
                (NamedLimit::Rate(known), Some(rate)) => NamedLimit::Rate(known.min(rate)),
                (_, Some(rate)) => NamedLimit::Rate(rate),
                (NamedLimit::Absent, None) => NamedLimit::Unreadable,
                (other, None) => other,
            };
        }
        named
    }

    /// The rate, if one is named.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Absent | NamedLimit::Unreadable => None,
        }
    }
}

fn read_rate(value: &[u8]) -> Option<RequestRate> {
    let per_second = super::signals::read_decimal(std::str::from_utf8(value).ok()?.trim())?;
    Some(RequestRate::of_requests(per_second.min(MOST_PER_SECOND)))
}
