//! The command `measure-tenants`: measures what tenants cost a node: bytes and parsing of a configuration, the
//! memory of the model, and the authentication of a request.

use std::hint::black_box;
use std::time::{Duration, Instant};
use vanepath_config::model::{Config, parse};
use vanepath_proxy::authentication::{ConfigCurrency, PresentedKey, authenticate};

const RULES: usize = 1_100;
/// Numbers of tenants; the last one is the design size.
const TENANT_COUNTS: [usize; 4] = [0, 220, 2_200, 22_000];
const KEYS_PER_TENANT: usize = 2;
const PARSE_ROUNDS: u32 = 5;
const LOOKUPS: usize = 200_000;
/// Copies of the model that are kept to measure its memory.
const COPIES: usize = 8;
const API_KEY_HEADER: &str = "vanepath-api-key";

/// Prints a line for each number of tenants.
///
/// # Errors
/// If a generated configuration is not valid.
pub fn run() -> miette::Result<()> {
    for tenants in TENANT_COUNTS {
        let document = document(tenants);
        let (config, parse_time) = measure_parse(&document)?;
        let memory_kb = measure_memory_kb(&config);
        let lookup = measure_authentication(&config, tenants);
        println!(
            "{RULES} rules, {tenants} tenants: {} kB, parsed in {:.1} ms, {memory_kb} kB of memory, \
             {} ns to authenticate a request",
            document.len() / 1000,
            parse_time.as_secs_f64() * 1000.0,
            lookup.as_nanos()
        );
    }
    Ok(())
}

fn key(tenant: usize, number: usize) -> String {
    format!("measured-key-{tenant:05}-{number}")
}

fn document(tenants: usize) -> String {
    let rules: Vec<String> = (0..RULES)
        .map(|rule| {
            format!(
                r#"{{"name": "r{rule}", "match": {{"host": "h{}.example", "pathPrefix": "/p{rule}"}},
                    "class": "c", "service": "s"}}"#,
                rule % 50
            )
        })
        .collect();
    let tenants: Vec<String> = (0..tenants)
        .map(|tenant| {
            let keys: Vec<String> =
                (0..KEYS_PER_TENANT).map(|number| format!("\"{}\"", key(tenant, number))).collect();
            format!(r#"{{"name": "t{tenant}", "keys": [{}], "urgency": 1}}"#, keys.join(", "))
        })
        .collect();
    format!(
        r#"{{"classes": [{{"name": "c", "urgency": 1, "kind": "repeatable"}}],
            "services": [{{"name": "s", "selector": "all", "livenessPath": "/live"}}],
            "rules": [{}], "tenants": [{}]}}"#,
        rules.join(", "),
        tenants.join(", ")
    )
}

fn measure_parse(document: &str) -> miette::Result<(Config, Duration)> {
    let parse = || {
        parse(document.as_bytes()).map_err(|errors| {
            miette::miette!("the generated configuration is invalid: {}", errors[0])
        })
    };
    let config = parse()?;
    let started_at = Instant::now();
    for _ in 0..PARSE_ROUNDS {
        black_box(parse()?);
    }
    Ok((config, started_at.elapsed() / PARSE_ROUNDS))
}

/// Growth of the resident set for each of several copies of the model.
fn measure_memory_kb(config: &Config) -> u64 {
    let before = resident_kb();
    let copies: Vec<Config> = (0..COPIES).map(|_| config.clone()).collect();
    let grown = resident_kb().saturating_sub(before);
    black_box(&copies);
    grown / COPIES as u64
}

fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Time to read the key field of a request and to find its tenant.
fn measure_authentication(config: &Config, tenants: usize) -> Duration {
    let requests: Vec<hyper::HeaderMap> = (0..tenants.clamp(1, 1000))
        .map(|tenant| {
            let value = key(tenant * tenants / 1000 % tenants.max(1), tenant % KEYS_PER_TENANT);
            let value = value.parse().expect("a key is a valid field value");
            [(hyper::header::HeaderName::from_static(API_KEY_HEADER), value)].into_iter().collect()
        })
        .collect();
    let started_at = Instant::now();
    for lookup in 0..LOOKUPS {
        let key = PresentedKey::from_headers(&requests[lookup % requests.len()], API_KEY_HEADER);
        let tenant = authenticate(config.tenants.as_ref(), false, key, ConfigCurrency::Leased);
        black_box(tenant.ok());
    }
    started_at.elapsed() / LOOKUPS as u32
}
