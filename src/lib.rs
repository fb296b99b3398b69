//! A rate-limiting gateway in front of a fleet of servers. All gateways together limit each tenant to the
//! quota of its plan, and each gateway chooses a server for every request that it forwards.
//!
//! [`policy::Gateway`] makes the decisions of one gateway. It is created from [`settings`] and a seed,
//! handles [`event`]s, and returns the [`action`]s to execute. It does no I/O and reads no clock: its caller
//! passes the current time with each event. [`net`] runs a gateway on real sockets, [`simulator`] runs
//! gateways behind the simulator's protocol, and [`config`] reads the settings for both.
//!
//! ```
//! use rate_limiting_gateway::action::Action;
//! use rate_limiting_gateway::event::{Endpoint, EndpointUpdate, Event, Request};
//! use rate_limiting_gateway::ids::{RequestId, ServerId};
//! use rate_limiting_gateway::policy::Gateway;
//! use rate_limiting_gateway::settings::{Class, Plan, Settings};
//!
//! let settings = Settings {
//! classes: vec![Class { latency_objective: 500.0, deadline: 1500.0, ..Class::default() }],
//! plans: vec![Plan { rate: 5.0, burst: 10.0, ..Plan::default() }],
//! ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 7);
//! let mut actions = Vec::new();
//! let entries = vec![Endpoint { server: ServerId(1), ..Endpoint::default() }];
//! gateway.handle(0.0, Event::EndpointsChanged { update: EndpointUpdate::Complete, entries }, &mut actions);
//! let request = Request { id: RequestId(9), time_left: 1500.0, ..Request::default() };
//! gateway.handle(1.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Forward { server: ServerId(1), .. })));
//! ```

pub mod action;
pub mod config;
pub mod event;
pub mod ids;
pub mod net;
pub mod policy;
pub mod settings;
pub mod simulator;
