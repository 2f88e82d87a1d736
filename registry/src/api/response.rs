//! The type of all responses of the API.

use hyper::Response;
use vanepath_cluster::node::Body;

/// A response of the API.
pub type ApiResponse = Response<Body>;
