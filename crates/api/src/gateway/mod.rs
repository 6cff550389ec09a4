//! Types of the gateway: the versioned configuration of routes, services and tenants; registrations of servers;
//! groups of servers that serve one model; and load reports from entries to the control leader.

mod configuration;
mod fingerprint;
mod group;
mod instance;
mod limit;
mod load;
mod prompt_part;
mod validation;

pub use configuration::{
    ColdStart, EngineProfile, GatewayConfiguration, ModelProfile, RequestLimits, Route, RouteKind,
    ServiceProfile, TenantKeys, WeightedService,
};
pub use fingerprint::{Fingerprint, ParseFingerprintError, RequestIdentity};
pub use group::{GroupCommand, GroupOrder, OrderAnswer};
pub use instance::{InstanceReport, InstanceState, MembershipReport, MembershipState};
pub use limit::{LimitUpdate, RequestRate, ServerLimit, ServerStart, TurnReply, TurnRequest, TurnsElsewhere};
pub use load::{
    DispatchScope, EventPace, GroupLoad, LimitedGroup, LoadDigest, LoadReport, ModelLoad, PlaceReply,
    PlaceRequest, SharedGroupLoad,
};
pub use prompt_part::{PartSet, PromptPart};
pub use validation::{ConfigurationFault, validate_configuration};
