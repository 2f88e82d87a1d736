//! The wire format of a platform that serves its endpoint list by zone.

use std::collections::BTreeMap;
use std::time::Duration;
use vanepath_config::ValidationError;
use vanepath_config::model::Config;
use vanepath_config::wire_format::{EndpointListPage, HeaderNames, NATIVE_FORMAT, WireFormat};

/// The format of a platform that serves its list by zone.
pub struct ZonedFormat;

impl WireFormat for ZonedFormat {
    fn headers(&self) -> &HeaderNames {
        NATIVE_FORMAT.headers()
    }

    fn parse_config(&self, bytes: &[u8]) -> Result<Config, Vec<ValidationError>> {
        NATIVE_FORMAT.parse_config(bytes)
    }

    fn zone_path(&self, path: &str, zone: &str) -> Option<String> {
        Some(format!("{path}?zone={zone}"))
    }

    fn parse_page(
        &self,
        bytes: &[u8],
        path: &str,
        zones: &BTreeMap<String, String>,
    ) -> Result<EndpointListPage, Vec<ValidationError>> {
        NATIVE_FORMAT.parse_page(bytes, path, zones)
    }

    fn parse_load(&self, text: &str) -> Option<u32> {
        NATIVE_FORMAT.parse_load(text)
    }

    fn retry_after(&self, delay: Duration) -> String {
        NATIVE_FORMAT.retry_after(delay)
    }
}
