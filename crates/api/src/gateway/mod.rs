//! The gateway's types: one versioned configuration of routes, services and tenants; servers that register
//! themselves; groups of servers that hold one model; and the load that entries tell the control leader.

mod configuration;
mod fingerprint;
mod group;
mod instance;
mod limit;
mod load;
mod validation;

pub use configuration::{
    ColdStart, EngineProfile, GatewayConfiguration, ModelProfile, RequestLimits, Route, RouteKind,
    ServiceProfile, TenantKeys, WeightedService,
};
pub use fingerprint::{Fingerprint, NoFingerprint, RequestIdentity};
pub use group::{GroupCommand, GroupOrder, OrderAnswer};
pub use instance::{InstanceReport, InstanceState, MembershipReport, MembershipState};
pub use limit::{LimitNews, RequestRate, ServerLimit, ServerStart, TurnReply, TurnRequest};
pub use load::{
    DispatchScope, EventPace, GroupLoad, LimitedGroup, LoadDigest, LoadReport, ModelLoad, PlaceReply,
    PlaceRequest, SharedGroupLoad,
};
pub use validation::{ConfigurationFault, faults};
