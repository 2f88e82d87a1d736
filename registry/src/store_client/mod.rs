//! Requests to the stores (design 7.5): one request is sent to one store after the other until one of
//! them can answer it. [`StoreRequest`] is pure; `execute` drives it over the transport.

mod execute;
mod request;

pub(crate) use execute::execute;
pub use request::{ATTEMPT_TIMEOUT, NextAction, StoreRequest, TIMEOUT, stores};

#[cfg(test)]
mod tests;
