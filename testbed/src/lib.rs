//! The test bed of vanepath (design 10): a simulator, a harness that runs a whole fleet as processes on one
//! machine, stub servers, a stub platform, test clients and soak tests.

pub mod design_size;
pub mod harness;
pub mod http;
pub mod raw_client;
pub mod relay;
pub mod replay;
pub mod sim;
pub mod soak;
pub mod stub;
pub mod topology;
pub mod traffic;
