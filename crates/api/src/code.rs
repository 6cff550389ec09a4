//! Numbered result codes. Each has a number, a name, an HTTP status and a meaning.
//!
//! A test checks docs/RESULT-CODES.md against this table. Numbers are never reused.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! result_codes {
    ($($name:ident = $number:literal, $status:literal, $meaning:literal;)*) => {
        /// A result code. The thousands digit is the family: 1 success, 2 refused and not run,
        /// 3 run but not answered completely, 4 resource API, 5 control, 6 storage, 7 settings.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum ResultCode { $(#[doc = $meaning] $name,)* }

        impl ResultCode {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)*];

            /// Returns the number, which never changes.
            pub const fn number(self) -> u16 { match self { $(ResultCode::$name => $number,)* } }

            /// Returns the HTTP status of responses with this code.
            pub const fn http_status(self) -> u16 { match self { $(ResultCode::$name => $status,)* } }

            /// Returns the meaning, as shown in the table in the docs.
            pub const fn meaning(self) -> &'static str { match self { $(ResultCode::$name => $meaning,)* } }

            /// Returns the name, as used in responses and docs.
            pub const fn name(self) -> &'static str { match self { $(ResultCode::$name => stringify!($name),)* } }
        }
    };
}

result_codes! {
    Ok = 1000, 200, "The call succeeded.";
    Accepted = 1001, 202, "The change is committed; it is in force once status.inForce is true.";
    Resent = 1002, 200, "The change id was seen before; this is its first answer.";
    BadJson = 2001, 400, "The request body is not the JSON that this path takes; not run.";
    UnknownModel = 2002, 404, "No deployment serves the named model or adapter to this tenant; not run.";
    BodyTooLarge = 2003, 413, "The request body is larger than the settings allow; not run.";
    UnknownTenant = 2004, 401, "The tenant key is missing or belongs to no tenant; not run.";
    QueueFull = 2005, 429, "The pool's queue is full; not run, retry after the stated time.";
    DeadlineUnreachable = 2006, 429, "The deadline can't be met; not run, retry after the stated time.";
    NoLease = 2007, 503, "This daemon holds no configuration lease; not run, use the other addresses.";
    DaemonLeaving = 2008, 503, "This daemon is leaving; not run, use the other addresses.";
    NoServingReplica = 2009, 503, "No replica of the deployment is serving; not run, retry after the stated time.";
    TenantLimit = 2010, 429, "The tenant is over its own limit; not run, retry after the stated time.";
    BadHeader = 2011, 400, "A request header has a value that can't be used; not run.";
    UnknownService = 2012, 404, "No service has this name; not run.";
    IdempotencyKeyReused = 2013, 422, "The idempotency key was used with other content; not run.";
    RequestIdTooOld = 2014, 409, "The request id is older than claims are kept; not run.";
    BackendUnreachable = 2015, 503, "No back end could be reached, and none received the request; not run.";
    ClaimRefused = 2016, 503, "The claim on a non-repeatable request could not be committed; not run.";
    BackendRefused = 2017, 502, "The back end refused the request before running it; not run.";
    NoRoute = 2018, 404, "No route has this host and path; not run.";
    NoConfiguration = 2019, 503, "This daemon knows no configuration yet; not run, retry after the stated time.";
    Overloaded = 2020, 503, "All servers of the service are busy; not run, retry after the stated time.";
    NoServer = 2021, 503, "No server of the service takes work; not run, retry after the stated time.";
    DeadlineInQueue = 2022, 503, "The time ran out before the request was sent to a server; not run.";
    ZoneEvacuated = 2026, 503, "All servers that could take the request stand in evacuated zones; not run, retry after the stated time.";
    NoServerInRegion = 2030, 503, "No server takes work in the regions that the route and the tenant allow; not run, retry after the stated time if one is given.";
    TrialUnderWay = 2031, 503, "A server ended while it ran this request, and another try of it is under way; not run, retry after the stated time.";
    ServerOnTrial = 2032, 503, "The server runs another request that may end it; not run, another server is to be chosen.";
    ServersResting = 2033, 503, "All servers that could take the request asked to be sent nothing for a while; not run, retry after the stated time.";
    ServersAtLimit = 2034, 503, "All servers that could take the request get as many as they said they take; not run, retry after the stated time.";
    BodyTimeout = 2035, 408, "The request's body did not arrive in time; not run.";
    MemoryExhausted = 2036, 503, "The daemon holds as much for clients as its memory allows; not run, retry after the stated time.";
    Interrupted = 3001, 502, "The run was cut short and may not be continued; what was generated is incomplete.";
    OutcomeUnknown = 3002, 502, "The request was sent and its outcome can't be established; it is not run again.";
    DeadlinePassed = 3003, 504, "The deadline passed while the request was running; the run was cancelled.";
    BackendFailed = 3004, 502, "The back end reported a failure after it had begun.";
    AlreadyRunning = 3005, 409, "A request with this id is running; ask for its outcome.";
    RequestNotFound = 3006, 404, "No daemon that was asked holds a record of this request id.";
    CallerLeft = 3007, 499, "The caller left before the answer was whole; what ran for it was cancelled.";
    RanBefore = 3008, 503, "Refused now, and an earlier sending under the same id may have run; a repeatable request may be sent again.";
    RequestQuarantined = 3009, 502, "Servers ended each time they ran this request, or others that share a part of its prompt: it is under quarantine and is not sent; an operator can release it.";
    BadResource = 4001, 400, "The body is not a resource: malformed JSON or an unknown field.";
    UnknownKind = 4002, 404, "There is no such resource kind.";
    ValidationFailed = 4003, 422, "The resource's spec has values that are not allowed.";
    NotFound = 4004, 404, "There is no resource of this kind and name.";
    Conflict = 4005, 409, "The resource has changed since the given resourceVersion; the current one is attached.";
    AlreadyExists = 4006, 409, "A resource of this kind and name exists.";
    HasDependants = 4007, 409, "Other resources refer to this one; they are named in the message.";
    ChangeIdReused = 4008, 409, "The change id was used for another change.";
    TokenMissing = 4009, 401, "The call needs an operator token.";
    TokenWrong = 4010, 401, "The operator token is not known.";
    RoleInsufficient = 4011, 403, "The operator token's role does not allow this call.";
    ReadOnlyKind = 4012, 405, "Resources of this kind are written by dockwood alone.";
    WatchTooOld = 4013, 410, "The watch starts before the retained changes; list again and watch from there.";
    MachineInOtherReplica = 4014, 409, "A machine is still part of another replica.";
    EpochStale = 4015, 409, "The command names an epoch or fence that is no longer the current one.";
    BadQuery = 4016, 400, "A query parameter has a value that can't be used.";
    NameMismatch = 4017, 400, "The name or kind in the body differs from the path.";
    NoSuchPath = 4018, 404, "There is no such path in this API version.";
    ConfigurationUnreadable = 4019, 400, "The configuration can't be read whole; nothing was changed.";
    RouteInvalid = 4020, 400, "A route of the configuration has a value that is not allowed; nothing was changed.";
    RouteUnknownService = 4021, 400, "A route names a service that is not declared; nothing was changed.";
    RouteDuplicate = 4022, 400, "Two routes share host and path prefix; nothing was changed.";
    TenantKeyShared = 4023, 400, "Two tenants share a key; nothing was changed.";
    ServiceInvalid = 4024, 400, "A service of the configuration has a value that is not allowed; nothing was changed.";
    ZoneMalformed = 4026, 400, "The path names no zone: empty, too long, or with characters that no zone has; nothing was changed.";
    ZoneUnknown = 4027, 404, "The settings declare no zone of this name; nothing was changed.";
    EvacuationOvertaken = 4028, 503, "The zone's evacuation was changed by another call meanwhile; nothing was changed, repeat the call.";
    FingerprintMalformed = 4029, 400, "The path names no fingerprint: 32 hexadecimal digits; nothing was changed.";
    NoLeader = 5001, 503, "There is no known control leader; try again.";
    NotLeader = 5002, 503, "This daemon is not the control leader; the leader is attached where known.";
    ProposalDropped = 5003, 503, "The change was not committed; resend it with the same change id.";
    ControlTimeout = 5004, 504, "The control leader did not answer in time; resend with the same change id.";
    PeerUnreachable = 5005, 503, "Another daemon could not be reached.";
    VotersUnbalanced = 5006, 503, "One zone holds half of the voters or more: its loss would leave no majority.";
    DataFolderLocked = 6001, 500, "Another process uses the data folder.";
    LogDamaged = 6002, 500, "A log segment is damaged before its tail; nothing was changed.";
    SnapshotDamaged = 6003, 500, "A snapshot's checksum does not match; nothing was changed.";
    SyncFailed = 6004, 500, "The disk refused to sync; the process stops.";
    FormatUnknown = 6005, 500, "The data folder was written by an unknown format version.";
    StorageIo = 6006, 500, "A file operation in the data folder failed.";
    StorageFull = 6007, 500, "The disk of the data folder is full; the voter waits for room.";
    SettingsUnreadable = 7001, 500, "The settings file can't be read.";
    SettingsNotYaml = 7002, 500, "The settings file is not YAML.";
    SettingsUnknownKey = 7003, 500, "A settings key is not known.";
    SettingsMissing = 7004, 500, "A required settings key is missing.";
    SettingsBadValue = 7005, 500, "A settings value is of the wrong type or out of range.";
    SettingsBadAddress = 7006, 500, "A settings value is not an address of the form IP:PORT.";
    SettingsOverlap = 7007, 500, "Two settings name the same address and port.";
    SettingsNoDataFolder = 7008, 500, "A voter needs a data folder.";
    SettingsDuplicate = 7009, 500, "A name or key stands twice in the settings.";
    ListenFailed = 7010, 500, "An address of the settings can't be listened on.";
}

impl ResultCode {
    /// Returns the code with this number, if it exists.
    pub fn from_number(number: u16) -> Option<ResultCode> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }

    /// Whether the code guarantees that the request was not run.
    pub const fn is_not_run(self) -> bool {
        self.number() / 1000 == 2
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
