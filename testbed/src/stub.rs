//! Stub servers, which count the requests that they execute and can simulate faults, and a stub platform,
//! which serves the endpoint list.

mod body;
mod faulty_stream;
mod platform;
mod server;

pub use body::pattern;
pub use platform::{ListedServer, StubPlatform};
pub use server::{Arrival, Behavior, ServerState, StubServer};
