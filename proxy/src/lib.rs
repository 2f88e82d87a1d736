//! The proxy forwards requests of clients to servers. It stores nothing on disk (design 8).

#![warn(missing_docs)]

pub mod admission;
pub mod authentication;
pub mod bandwidth_limiter;
pub mod client_deadlines;
pub mod connector;
pub mod early_response;
pub mod endpoints;
pub mod forward;
pub mod health;
pub mod latency_model;
pub mod lifecycle;
pub mod load_balancing;
pub mod pipelining;
pub mod request_rates;
pub mod retry_budget;
pub mod shell;
pub mod throttled_body;
pub mod upload;
