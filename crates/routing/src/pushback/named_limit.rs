//! Parses the header in which a server declares its limit in requests per second for all senders together.

use dockwood_api::gateway::RequestRate;

/// Larger values are clamped to this rate, which limits no sender.
const MAX_PER_SECOND: f64 = 100_000.0;

/// The limit that an answer declares for its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedLimit {
    /// No limit is declared.
    #[default]
    Absent,
    /// The header cannot be parsed. The known limit is left unchanged.
    Unreadable,
    /// Maximum request rate of all senders together.
    Rate(RequestRate),
}

impl NamedLimit {
    /// Parses the values of all headers of that name in one answer. The lowest of several values applies.
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

    /// The rate, if one is declared.
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Absent | NamedLimit::Unreadable => None,
        }
    }
}

fn read_rate(value: &[u8]) -> Option<RequestRate> {
    let per_second = super::signals::read_decimal(std::str::from_utf8(value).ok()?.trim())?;
    Some(RequestRate::from_per_second(per_second.min(MAX_PER_SECOND)))
}
