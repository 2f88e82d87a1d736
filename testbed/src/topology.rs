//! The two deployments of the users, scaled to one machine.

#[derive(Clone, Debug)]
pub struct Topology {
    pub name: &'static str,
    /// Zone and region; core machines stand in the first zone of each region.
    pub zones: Vec<(&'static str, &'static str)>,
    pub proxies: usize,
    /// Core machines, with a registry and a store each.
    pub stores: usize,
    /// Label `app`, and how many servers of it.
    pub servers: Vec<(&'static str, usize)>,
    pub config: String,
    /// Requests a second in all, and of each kind in hundredths: lookups, filings, downloads.
    pub requests_per_second: f64,
    pub traffic_mix: [u32; 3],
    pub lookup_path: &'static str,
    pub filing_path: &'static str,
    pub bulk_path: &'static str,
}

const ZONES: [(&str, &str); 6] = [
    ("north-1", "north"),
    ("middle-1", "middle"),
    ("south-1", "south"),
    ("north-2", "north"),
    ("middle-2", "middle"),
    ("south-2", "south"),
];

fn places() -> String {
    let places: Vec<String> = ZONES
        .iter()
        .map(|(zone, region)| format!(r#"{{"zone": "{zone}", "region": "{region}"}}"#))
        .collect();
    places.join(", ")
}

/// A wholesaler for bike shops: stock, prices, orders, catalogues and invoices.
pub fn raiocerto() -> Topology {
    let setup = format!(
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
        places()
    );
    Topology {
        name: "raiocerto",
        zones: ZONES.to_vec(),
        proxies: 8,
        stores: 3,
        servers: vec![("ordering", 20), ("documents", 10), ("spare", 5)],
        config: setup,
        requests_per_second: 200.0,
        traffic_mix: [60, 25, 15],
        lookup_path: "/stock",
        filing_path: "/orders",
        bulk_path: "/documents",
    }
}

/// A guild of assessors: parcels, appeals, roll extracts; appeals of the north stay there.
pub fn guild() -> Topology {
    let setup = format!(
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
        places()
    );
    Topology {
        name: "guild",
        zones: ZONES.to_vec(),
        proxies: 12,
        stores: 3,
        servers: vec![("rolls", 35), ("extracts", 10)],
        config: setup,
        requests_per_second: 450.0,
        traffic_mix: [65, 20, 15],
        lookup_path: "/parcels",
        filing_path: "/appeals",
        bulk_path: "/extracts",
    }
}
