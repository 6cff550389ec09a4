//! Reads how many requests a second a server says that it takes, from all senders together.

/// Requests that are counted in thousandths: servers name fractions of a request.
const THOUSANDTHS: f64 = 1_000.0;
/// Nothing beyond this many requests a second limits anybody.
const MOST_PER_SECOND: f64 = 100_000.0;

/// A rate of requests, in thousandths of a request a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate {
    thousandths: u64,
}

impl RequestRate {
    /// So many thousandths of a request a second.
    pub const fn of_thousandths(thousandths: u64) -> RequestRate {
        RequestRate { thousandths }
    }

    /// Thousandths of a request a second.
    pub const fn thousandths(self) -> u64 {
        self.thousandths
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.thousandths as f64 / THOUSANDTHS
    }
}

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
    // Down, so that the rate is never above what the server takes.
    let thousandths = (per_second.min(MOST_PER_SECOND) * THOUSANDTHS).floor() as u64;
    Some(RequestRate { thousandths })
}
