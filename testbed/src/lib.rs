//! The project's own proof: stand-in servers, platform and callers, and a harness that runs a
//! whole fleet as processes on one machine (design 10).

pub mod harness;
pub mod http;
pub mod relay;
pub mod replay;
pub mod scale;
pub mod sim;
pub mod soak;
pub mod stub;
pub mod topology;
pub mod traffic;
