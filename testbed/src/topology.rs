//! The two reference deployments, scaled down to one machine.

/// A deployment: its daemons, servers, configuration and traffic.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Name of the deployment.
    pub name: &'static str,
    /// Zones with their regions. The core machines are distributed round-robin over the zones, from the first one on.
    pub zones: Vec<(&'static str, &'static str)>,
    /// Number of proxies, distributed round-robin over the zones.
    pub proxies: usize,
    /// Number of core machines, with a registry and a store each.
    pub stores: usize,
    /// Values of the label `app`, each with its number of servers. The servers of each value are distributed
    /// round-robin over the zones.
    pub servers: Vec<(&'static str, usize)>,
    /// The configuration document.
    pub config: String,
    /// Rate of requests of all kinds.
    pub requests_per_second: f64,
    /// Shares of the kinds of requests.
    pub traffic_mix: TrafficMix,
    /// Path prefix of lookups.
    pub lookup_path: &'static str,
    /// Path of filings, which are executed at most once.
    pub filing_path: &'static str,
    /// Path prefix of downloads.
    pub bulk_path: &'static str,
}

/// Shares of the kinds of requests in percent; the remaining requests are downloads.
#[derive(Clone, Copy, Debug)]
pub struct TrafficMix {
    /// Share of lookups.
    pub lookup_percent: u32,
    /// Share of filings.
    pub filing_percent: u32,
}

impl Topology {
    /// Zone and region of the proxy or server with this index; indices are distributed round-robin over the
    /// zones.
    pub fn zone(&self, index: usize) -> (&'static str, &'static str) {
        self.zones[index % self.zones.len()]
    }
}

const ZONES: [(&str, &str); 6] = [
    ("north-1", "north"),
    ("middle-1", "middle"),
    ("south-1", "south"),
    ("north-2", "north"),
    ("middle-2", "middle"),
    ("south-2", "south"),
];

/// The zones as JSON objects for the configuration document.
fn zones_as_json(zones: &[(&str, &str)]) -> String {
    let zones: Vec<String> = zones
        .iter()
        .map(|(zone, region)| format!(r#"{{"zone": "{zone}", "region": "{region}"}}"#))
        .collect();
    zones.join(", ")
}

/// A wholesaler for bike shops: stock, prices, orders, catalogues and invoices.
pub fn raiocerto() -> Topology {
    raiocerto_with_zones(ZONES.to_vec())
}

/// The same deployment in other zones.
pub fn raiocerto_with_zones(zones: Vec<(&'static str, &'static str)>) -> Topology {
    let config = format!(
        r#"{{
  "places": [{}],
  "classes": [
    {{"name": "lookup", "urgency": 1, "kind": "repeatable", "deadlineMs": 5000}},
    {{"name": "order", "urgency": 0, "kind": "once", "deadlineMs": 10000}},
    {{"name": "download", "urgency": 5, "kind": "repeatable", "room": 64, "deadlineMs": 30000,
      "borrows": [{{"from": "lookup", "most": 128}}]}}
  ],
  "services": [
    {{"name": "ordering", "selector": "app = ordering", "livenessPath": "/live",
      "cold": {{"ratePerSecond": 10, "periodMs": 4000}}}},
    {{"name": "documents", "selector": "app = documents", "livenessPath": "/live",
      "cold": {{"ratePerSecond": 10, "periodMs": 4000}}}}
  ],
  "rules": [
    {{"name": "orders", "match": {{"methods": ["POST"], "pathPrefix": "/orders"}},
      "class": "order", "service": "ordering"}},
    {{"name": "documents", "match": {{"methods": ["GET", "HEAD"], "pathPrefix": "/documents"}},
      "class": "download", "service": "documents", "spill": ["ordering"]}},
    {{"name": "lookups", "match": {{"methods": ["GET", "HEAD"]}},
      "class": "lookup", "service": "ordering"}}
  ]
}}"#,
        zones_as_json(&zones)
    );
    Topology {
        name: "raiocerto",
        zones,
        proxies: 8,
        stores: 3,
        servers: vec![("ordering", 20), ("documents", 10), ("spare", 5)],
        config,
        requests_per_second: 200.0,
        traffic_mix: TrafficMix { lookup_percent: 60, filing_percent: 25 },
        lookup_path: "/stock",
        filing_path: "/orders",
        bulk_path: "/documents",
    }
}

/// An association of property assessors: parcels, appeals and extracts of the rolls. Appeals of region
/// north are served only there.
pub fn guild() -> Topology {
    let config = format!(
        r#"{{
  "places": [{}],
  "classes": [
    {{"name": "lookup", "urgency": 1, "kind": "repeatable", "deadlineMs": 5000}},
    {{"name": "filing", "urgency": 0, "kind": "once", "deadlineMs": 10000}},
    {{"name": "extract", "urgency": 5, "kind": "repeatable", "room": 64, "deadlineMs": 30000,
      "borrows": [{{"from": "lookup", "most": 128}}]}}
  ],
  "services": [
    {{"name": "rolls", "selector": "app = rolls", "livenessPath": "/live",
      "cold": {{"ratePerSecond": 10, "periodMs": 4000}}}},
    {{"name": "extracts", "selector": "app = extracts", "livenessPath": "/live",
      "cold": {{"ratePerSecond": 10, "periodMs": 4000}}}}
  ],
  "rules": [
    {{"name": "north-appeals", "match": {{"pathPrefix": "/appeals/north"}},
      "class": "filing", "service": "rolls", "regions": ["north"]}},
    {{"name": "appeals", "match": {{"methods": ["POST"], "pathPrefix": "/appeals"}},
      "class": "filing", "service": "rolls"}},
    {{"name": "extracts", "match": {{"methods": ["GET", "HEAD"], "pathPrefix": "/extracts"}},
      "class": "extract", "service": "extracts", "spill": ["rolls"]}},
    {{"name": "parcels", "match": {{"methods": ["GET", "HEAD"]}},
      "class": "lookup", "service": "rolls"}}
  ]
}}"#,
        zones_as_json(&ZONES)
    );
    Topology {
        name: "guild",
        zones: ZONES.to_vec(),
        proxies: 12,
        stores: 3,
        servers: vec![("rolls", 35), ("extracts", 10)],
        config,
        requests_per_second: 450.0,
        traffic_mix: TrafficMix { lookup_percent: 65, filing_percent: 20 },
        lookup_path: "/parcels",
        filing_path: "/appeals",
        bulk_path: "/extracts",
    }
}
